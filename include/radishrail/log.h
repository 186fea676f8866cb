#ifndef RADISHRAIL_LOG_H_
#define RADISHRAIL_LOG_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrail/error.h"

namespace radishrail {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kMaxValue = kError };

std::string_view LogLevelName(LogLevel level);
std::optional<LogLevel> LogLevelFromName(std::string_view name);

struct LogField {
  std::string_view name;
  std::string value;
};

// Starts JSON-lines logging to standard output; `process` is in every line. A
// thread writes the lines, so that a blocked output blocks nothing else; lines
// beyond a queue of `kLogQueueLines` are dropped.
inline constexpr size_t kLogQueueLines = 4096;
void InitLogging(LogLevel level, std::string process);
// Writes the lines that are queued and stops the thread.
void StopLogging();

// Writes one JSON line. Never pass tokens or payloads.
void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields = {});
void Log(LogLevel level,
         std::string_view message,
         const std::vector<LogField>& fields);
void LogFailure(std::string_view message, const Error& error);

}  // namespace radishrail

#endif  // RADISHRAIL_LOG_H_
