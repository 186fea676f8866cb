#include "radishrail/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <cerrno>
#include <climits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "name_table.h"
#include "radishrail/line_budget.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", int)

// Longest time between two checks of the stop deadline.
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(100);

std::atomic<uint64_t> dropped_lines{0};

// Drops and counts lines that do not fit into the queue.
class DropAndCountOnOverflow {
 public:
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&) {
    ++dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

// Writes lines to standard output. It waits with `poll`, since a blocking
// `write` to a full pipe could not be interrupted when the process stops.
class OutputBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char> {
 public:
  void consume(const boost::log::record_view&, const std::string& line) {
    const std::string text = line + '\n';
    size_t written = 0;
    while (written < text.size()) {
      if (!WaitUntilWritable()) {
        ++dropped_lines;
        return;
      }
      // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
      const ssize_t n =
          write(STDOUT_FILENO, text.data() + written,
                std::min<size_t>(text.size() - written, PIPE_BUF));
      if (n < 0 && errno != EINTR && errno != EAGAIN) {
        ++dropped_lines;
        return;
      }
      written += n > 0 ? static_cast<size_t>(n) : 0;
    }
  }
  void SetStopDeadline(absl::Time deadline) { stop_deadline_ = deadline; }

 private:
  // False if the stop deadline passes before the output is writable.
  bool WaitUntilWritable() const {
    while (true) {
      pollfd output = {STDOUT_FILENO, POLLOUT, 0};
      const absl::Duration timeout =
          std::clamp(stop_deadline_.load() - absl::Now(), absl::ZeroDuration(),
                     kStopCheckInterval);
      if (poll(&output, 1,
               static_cast<int>(absl::ToInt64Milliseconds(timeout))) > 0) {
        return true;
      }
      if (absl::Now() >= stop_deadline_.load()) {
        return false;
      }
    }
  }

  std::atomic<absl::Time> stop_deadline_ = absl::InfiniteFuture();
};

using Sink = boost::log::sinks::asynchronous_sink<
    OutputBackend,
    boost::log::sinks::bounded_fifo_queue<kLogQueueLines,
                                          DropAndCountOnOverflow>>;

// The frontend holds the lock of its backend while a line is written, so the
// backend is accessed through a separate pointer.
struct Output {
  boost::shared_ptr<OutputBackend> backend;
  boost::shared_ptr<Sink> sink;
};

Output& CurrentOutput() {
  static auto* output = new Output();
  return *output;
}

std::string& ProcessName() {
  static auto* name = new std::string("radishrail");
  return *name;
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return internal::NameOf(kLevelNames, level);
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  return internal::FromName<LogLevel>(kLevelNames, name);
}

void InitLogging(LogLevel level, std::string process) {
  namespace logging = boost::log;
  ProcessName() = std::move(process);
  logging::core::get()->remove_all_sinks();
  Output& output = CurrentOutput();
  output.backend = boost::make_shared<OutputBackend>();
  output.sink = boost::make_shared<Sink>(output.backend);
  output.sink->set_formatter(logging::expressions::stream
                             << logging::expressions::smessage);
  logging::core::get()->add_sink(output.sink);
  SetLogLevel(level);
}

void SetLogLevel(LogLevel level) {
  boost::log::core::get()->set_filter(severity >= static_cast<int>(level));
}

void StopLogging() {
  Output& output = CurrentOutput();
  if (output.sink != nullptr) {
    boost::log::core::get()->remove_sink(output.sink);
    output.backend->SetStopDeadline(absl::Now() + kLogStopTimeout);
    output.sink->stop();
    output.sink->flush();
    output = {};
  }
}

void RecordDroppedLogLines(Metrics& metrics) {
  metrics
      .gauge("radishrail_log_lines_dropped",
             "Log lines that a blocked output did not take")
      .Set(static_cast<int64_t>(dropped_lines.load()));
}

namespace internal {

void WriteLogLine(LogLevel level,
                  std::string_view message,
                  std::span<const LogField> fields) {
  static auto* logger = new boost::log::sources::severity_logger_mt<int>();
  nlohmann::ordered_json line;
  line["time"] =
      absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone());
  line["level"] = LogLevelName(level);
  line["process"] = ProcessName();
  line["message"] = message;
  for (const auto& it : fields) {
    line[std::string(it.name)] = it.value;
  }
  // Invalid UTF-8 in external input is replaced, so that a line is valid JSON.
  BOOST_LOG_SEV(*logger, static_cast<int>(level))
      << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace internal

namespace {

// Number of lines of the message suppressed before this one; nullopt if its
// budget is exhausted. Messages are literals, which bounds the size of the map.
std::optional<uint64_t> TryConsumeBudget(std::string_view message) {
  static auto* mutex = new std::mutex();
  static auto* budgets = new absl::flat_hash_map<std::string, LineBudget>();
  const std::lock_guard lock(*mutex);
  LineBudget& budget =
      budgets->try_emplace(std::string(message), kLogLinesPerSecond)
          .first->second;
  return budget.TryConsume(absl::Now()) ? std::optional(budget.TakeSuppressed())
                                        : std::nullopt;
}

}  // namespace

void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  const auto suppressed = TryConsumeBudget(message);
  if (!suppressed.has_value()) {
    return;
  }
  std::vector<LogField> all_fields(fields);
  if (*suppressed > 0) {
    all_fields.push_back({"left_out", absl::StrCat(*suppressed)});
  }
  internal::WriteLogLine(level, message, all_fields);
}

void LogFailure(std::string_view message, const Error& error) {
  Log(LogLevel::kWarning, message,
      {{"code", std::string(ErrorCodeName(error.code))},
       {"step", std::string(StepName(error.step))},
       {"peer", error.peer},
       {"detail", error.detail}});
}

}  // namespace radishrail
