#include "radishrail/log.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warning",
                                                     "error"};

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", int)

std::string& ProcessName() {
  static auto* name = new std::string("radishrail");
  return *name;
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return internal::NameOf(kLevels, level);
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  return internal::FromName<LogLevel>(kLevels, name);
}

void InitLogging(LogLevel level, std::string process) {
  namespace logging = boost::log;
  ProcessName() = std::move(process);
  logging::core::get()->remove_all_sinks();
  logging::add_console_log(
      std::cerr, logging::keywords::auto_flush = true,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage);
  logging::core::get()->set_filter(severity >= static_cast<int>(level));
}

void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields) {
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
  // Invalid UTF-8 from outside is replaced, so that a line is always JSON.
  BOOST_LOG_SEV(*logger, static_cast<int>(level))
      << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void LogFailure(std::string_view message, const Error& error) {
  Log(LogLevel::kWarning, message,
      {{"code", std::string(ErrorCodeName(error.code))},
       {"step", std::string(StepName(error.step))},
       {"peer", error.peer},
       {"detail", error.detail}});
}

}  // namespace radishrail
