#include "radishrail/timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "json_text.h"
#include "name_table.h"

namespace radishrail {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view,
                     static_cast<size_t>(EventType::kMaxValue) + 1>
    kEventTypeNames = {"daemon_started",
                       "daemon_ready",
                       "daemon_draining",
                       "job_received",
                       "job_forwarded",
                       "job_joined",
                       "job_accepted",
                       "job_refused",
                       "job_cancelled",
                       "job_answered",
                       "task_handed_over",
                       "task_not_started",
                       "task_finished",
                       "run_ordered",
                       "late_answer_dropped",
                       "lease_renewed",
                       "lease_extended_by_peers",
                       "lease_lost",
                       "ranges_taken_over",
                       "ranges_handed_over",
                       "document_applied",
                       "upstream_ejected",
                       "upstream_readmitted",
                       "upstream_leaving",
                       "peer_suspected",
                       "peer_gone",
                       "platform_unavailable",
                       "platform_restored"};

// A text field of an event and its JSON name.
struct TextField {
  std::string_view name;
  std::string Event::*field;
};

constexpr std::array<TextField, 6> kTextFields = {
    {{"vm", &Event::vm},
     {"job", &Event::job},
     {"task", &Event::task},
     {"upstream", &Event::upstream},
     {"peer", &Event::peer},
     {"cause", &Event::cause}}};

Json EventToJson(const Event& event) {
  Json json;
  json["type"] = EventTypeName(event.type);
  json["wall_us"] = absl::ToUnixMicros(event.wall);
  json["monotonic_us"] = absl::ToUnixMicros(event.monotonic);
  for (const auto& it : kTextFields) {
    if (!(event.*it.field).empty()) {
      json[std::string(it.name)] = event.*it.field;
    }
  }
  if (event.document_version != 0) {
    json["document_version"] = event.document_version;
  }
  return json;
}

std::optional<int64_t> IntegerField(const Json& json, const char* name) {
  const auto it = json.find(name);
  if (it == json.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

std::optional<Event> EventFromJson(const Json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto type = json.find("type");
  if (type == json.end() || !type->is_string()) {
    return std::nullopt;
  }
  const auto event_type = EventTypeFromName(type->get<std::string>());
  const auto wall = IntegerField(json, "wall_us");
  const auto monotonic = IntegerField(json, "monotonic_us");
  if (!event_type.has_value() || !wall.has_value() || !monotonic.has_value()) {
    return std::nullopt;
  }
  Event event;
  event.type = *event_type;
  event.wall = absl::FromUnixMicros(*wall);
  event.monotonic = absl::FromUnixMicros(*monotonic);
  event.document_version = IntegerField(json, "document_version").value_or(0);
  for (const auto& it : kTextFields) {
    const auto text = json.find(std::string(it.name));
    if (text != json.end()) {
      if (!text->is_string()) {
        return std::nullopt;
      }
      event.*it.field = text->get<std::string>();
    }
  }
  return event;
}

// Replaces control characters in external input, which could control the
// terminal.
void AppendPrintable(std::string* text, std::string_view value) {
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    text->push_back(byte < 0x20 || byte == 0x7f ? '?' : c);
  }
}

// Event types that begin or end a span of a trace.
bool BeginsSpan(EventType type) {
  return type == EventType::kJobAccepted || type == EventType::kTaskHandedOver;
}

bool EndsSpan(EventType type) {
  return type == EventType::kJobAnswered || type == EventType::kTaskFinished ||
         type == EventType::kTaskNotStarted;
}

Json TraceEvent(const Event& event, size_t process) {
  Json json;
  const bool is_span =
      !event.job.empty() && (BeginsSpan(event.type) || EndsSpan(event.type));
  if (is_span) {
    const bool is_task = !event.task.empty();
    json["name"] = is_task ? event.task : event.job;
    json["cat"] = is_task ? "task" : "job";
    json["ph"] = BeginsSpan(event.type) ? "b" : "e";
    json["id"] = is_task ? absl::StrCat(event.job, "/", event.task) : event.job;
  } else {
    json["name"] = EventTypeName(event.type);
    json["ph"] = "i";
    json["s"] = "p";
  }
  json["ts"] = absl::ToUnixMicros(event.wall);
  json["pid"] = process;
  json["tid"] = 0;
  json["args"] = EventToJson(event);
  return json;
}

}  // namespace

std::string_view EventTypeName(EventType type) {
  return internal::NameOf(kEventTypeNames, type);
}

std::optional<EventType> EventTypeFromName(std::string_view name) {
  return internal::FromName<EventType>(kEventTypeNames, name);
}

Timeline::Timeline(const Clock& clock, std::string vm, size_t capacity)
    : clock_(clock),
      vm_(std::move(vm)),
      capacity_(std::max<size_t>(capacity, 1)) {}

void Timeline::Record(Event event) {
  event.vm = vm_;
  const std::lock_guard<std::mutex> lock(mutex_);
  // Times are read under the lock, so that events are stored in the order of
  // their monotonic times.
  event.wall = clock_.Wall();
  event.monotonic = clock_.Monotonic();
  if (ring_.size() < capacity_) {
    ring_.emplace_back();
  } else {
    ForgetOldest();
  }
  ++recorded_;
  uint64_t previous = 0;
  if (!event.job.empty()) {
    previous = std::exchange(newest_of_job_[event.job], recorded_);
  }
  EntryOf(recorded_) = {std::move(event), previous};
}

void Timeline::ForgetOldest() {
  const uint64_t oldest = OldestNumber();
  const auto it = newest_of_job_.find(EntryOf(oldest).event.job);
  if (it != newest_of_job_.end() && it->second == oldest) {
    newest_of_job_.erase(it);
  }
}

std::vector<Event> Timeline::Select(std::string_view job,
                                    absl::Time since_wall) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return job.empty() ? SelectAll(since_wall) : SelectJob(job, since_wall);
}

std::vector<Event> Timeline::SelectAll(absl::Time since_wall) const {
  std::vector<Event> events;
  for (uint64_t n = OldestNumber(); n <= recorded_; ++n) {
    if (EntryOf(n).event.wall >= since_wall) {
      events.push_back(EntryOf(n).event);
    }
  }
  return events;
}

std::vector<Event> Timeline::SelectJob(std::string_view job,
                                       absl::Time since_wall) const {
  std::vector<Event> events;
  const auto newest = newest_of_job_.find(std::string(job));
  uint64_t n = newest == newest_of_job_.end() ? 0 : newest->second;
  for (; n >= OldestNumber(); n = EntryOf(n).previous) {
    if (EntryOf(n).event.wall >= since_wall) {
      events.push_back(EntryOf(n).event);
    }
  }
  std::reverse(events.begin(), events.end());
  return events;
}

uint64_t Timeline::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return recorded_ - ring_.size();
}

std::string EventsToJson(const std::vector<Event>& events) {
  Json json = Json::array();
  for (const auto& it : events) {
    json.push_back(EventToJson(it));
  }
  return internal::JsonText(Json{{"events", std::move(json)}});
}

std::optional<std::vector<Event>> EventsFromJson(std::string_view body) {
  const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto list = json.find("events");
  if (list == json.end() || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<Event> events;
  events.reserve(list->size());
  for (const auto& it : *list) {
    std::optional<Event> event = EventFromJson(it);
    if (!event.has_value()) {
      return std::nullopt;
    }
    events.push_back(*std::move(event));
  }
  return events;
}

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> parts) {
  std::vector<Event> events;
  for (auto& part : parts) {
    events.insert(events.end(), std::make_move_iterator(part.begin()),
                  std::make_move_iterator(part.end()));
  }
  // Stable: events of one daemon with the same time keep their order.
  std::stable_sort(
      events.begin(), events.end(),
      [](const Event& a, const Event& b) { return a.wall < b.wall; });
  return events;
}

std::string EventsToText(const std::vector<Event>& events) {
  std::string text;
  for (const auto& event : events) {
    absl::StrAppend(&text,
                    absl::FormatTime("%Y-%m-%d %H:%M:%E6S", event.wall,
                                     absl::UTCTimeZone()),
                    " ");
    AppendPrintable(&text, event.vm);
    absl::StrAppend(&text, " ", std::string(EventTypeName(event.type)));
    for (const auto& it : kTextFields) {
      if (it.field != &Event::vm && !(event.*it.field).empty()) {
        absl::StrAppend(&text, " ", std::string(it.name), "=");
        AppendPrintable(&text, event.*it.field);
      }
    }
    if (event.document_version != 0) {
      absl::StrAppend(&text, " document_version=", event.document_version);
    }
    text.push_back('\n');
  }
  return text;
}

std::string EventsToTrace(const std::vector<Event>& events) {
  Json trace = Json::array();
  // The format identifies processes by number; a metadata event names each.
  std::map<std::string, size_t> processes;
  for (const auto& event : events) {
    const auto [it, added] =
        processes.try_emplace(event.vm, processes.size() + 1);
    if (added) {
      trace.push_back({{"name", "process_name"},
                       {"ph", "M"},
                       {"pid", it->second},
                       {"args", {{"name", event.vm}}}});
    }
    trace.push_back(TraceEvent(event, it->second));
  }
  Json json;
  json["traceEvents"] = std::move(trace);
  json["displayTimeUnit"] = "ms";
  return internal::JsonText(json);
}

}  // namespace radishrail
