#ifndef RADISHRAIL_LOG_H_
#define RADISHRAIL_LOG_H_

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/metrics.h"

namespace radishrail {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kMaxValue = kError };

std::string_view LogLevelName(LogLevel level);
std::optional<LogLevel> LogLevelFromName(std::string_view name);

struct LogField {
  std::string_view name;
  std::string value;
};

// Starts logging to standard output in JSON lines, each with the field
// `process`. A background thread writes the lines, so that a blocked output
// does not block the callers. Lines that exceed the queue of `kLogQueueLines`
// are dropped and counted.
inline constexpr size_t kLogQueueLines = 4096;
void InitLogging(LogLevel level, std::string process);
void SetLogLevel(LogLevel level);
// Writes the queued lines and stops the thread. Lines that cannot be written
// within `kLogStopTimeout`, because the output is blocked, are lost.
inline constexpr absl::Duration kLogStopTimeout = absl::Milliseconds(500);
void StopLogging();
// Sets the gauge of the lines dropped since the process started.
void RecordDroppedLogLines(Metrics& metrics);

// Writes one JSON line. Each distinct `message` has a budget of
// `kLogLinesPerSecond`; the next line with it states how many were suppressed.
// `message` and `fields` must not contain tokens or payloads.
inline constexpr int kLogLinesPerSecond = 50;
void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields = {});
void LogFailure(std::string_view message, const Error& error);

namespace internal {

// Writes a line without a rate limit; the caller limits the number of lines.
void WriteLogLine(LogLevel level,
                  std::string_view message,
                  std::span<const LogField> fields);

}  // namespace internal

}  // namespace radishrail

#endif  // RADISHRAIL_LOG_H_
