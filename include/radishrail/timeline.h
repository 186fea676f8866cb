#ifndef RADISHRAIL_TIMELINE_H_
#define RADISHRAIL_TIMELINE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"

namespace radishrail {

enum class EventType {
  kDaemonStarted,
  kDaemonReady,
  kDaemonDraining,
  kJobReceived,
  kJobForwarded,
  kJobJoined,
  kJobAccepted,
  kJobRefused,
  kJobCancelled,
  kJobAnswered,
  kTaskHandedOver,
  kTaskNotStarted,
  kTaskFinished,
  kLateAnswerDropped,
  kLeaseRenewed,
  kLeaseExtendedByPeers,
  kLeaseLost,
  kRangesTakenOver,
  kRangesHandedOver,
  kDocumentApplied,
  kUpstreamEjected,
  kUpstreamReadmitted,
  kUpstreamLeaving,
  kPeerSuspected,
  kPeerGone,
  kPlatformUnavailable,
  kPlatformRestored,
  kMaxValue = kPlatformRestored,
};

std::string_view EventTypeName(EventType type);
std::optional<EventType> EventTypeFromName(std::string_view name);

// One event; fields that do not apply are empty or zero.
struct Event {
  EventType type = EventType::kDaemonStarted;
  absl::Time wall;
  absl::Time monotonic;
  std::string vm;  // the daemon that recorded it
  std::string job;
  std::string task;
  std::string upstream;
  std::string peer;
  int64_t document_version = 0;
  std::string cause;
};

// Ring buffer of the events of this daemon; the oldest are overwritten.
// Thread-safe.
class Timeline {
 public:
  Timeline(const Clock& clock, std::string vm, size_t capacity);

  // Stores the event with both times and the VM set.
  void Record(Event event);
  // Events in the order of recording; of all jobs if `job` is empty.
  std::vector<Event> Select(std::string_view job, absl::Time since_wall) const;
  uint64_t dropped() const;

 private:
  const Clock& clock_;
  const std::string vm_;
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::vector<Event> ring_;
  size_t next_ = 0;
  uint64_t recorded_ = 0;
};

std::string EventsToJson(const std::vector<Event>& events);
std::optional<std::vector<Event>> EventsFromJson(std::string_view body);
// Orders the events of several daemons by wall time.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> parts);
std::string EventsToText(const std::vector<Event>& events);
// Chrome trace event format, which common trace viewers open.
std::string EventsToTrace(const std::vector<Event>& events);

}  // namespace radishrail

#endif  // RADISHRAIL_TIMELINE_H_
