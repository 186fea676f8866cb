#ifndef RADISHRAIL_TIMELINE_H_
#define RADISHRAIL_TIMELINE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
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
  kRunOrdered,
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

// Ring buffer of the events of this daemon; the oldest are overwritten. The
// events of a job are found without a scan. Thread-safe.
class Timeline {
 public:
  Timeline(const Clock& clock, std::string vm, size_t capacity);

  // Stores the event with both times and the VM set.
  void Record(Event event);
  // Events in the order of recording; of all jobs if `job` is empty.
  std::vector<Event> Select(std::string_view job, absl::Time since_wall) const;
  uint64_t dropped() const;

 private:
  struct Entry {
    Event event;
    uint64_t previous = 0;  // number of the job's event before; zero: none
  };

  // Events are numbered from 1 in the order of recording.
  Entry& EntryOf(uint64_t number) { return ring_[(number - 1) % capacity_]; }
  const Entry& EntryOf(uint64_t number) const {
    return ring_[(number - 1) % capacity_];
  }
  // Number of the oldest event that is not overwritten.
  uint64_t OldestNumber() const {
    return recorded_ < capacity_ ? 1 : recorded_ - capacity_ + 1;
  }
  std::vector<Event> SelectAll(absl::Time since_wall) const;
  std::vector<Event> SelectJob(std::string_view job,
                               absl::Time since_wall) const;
  void ForgetOldest();

  const Clock& clock_;
  const std::string vm_;
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::vector<Entry> ring_;
  uint64_t recorded_ = 0;
  // Number of the newest event of each job that has events in the buffer.
  absl::flat_hash_map<std::string, uint64_t> newest_of_job_;
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
