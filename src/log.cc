#include "radishrail/log.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warning",
                                                     "error"};

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", int)

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<
    Backend,
    boost::log::sinks::bounded_fifo_queue<kLogQueueLines,
                                          boost::log::sinks::drop_on_overflow>>;

boost::shared_ptr<Sink>& CurrentSink() {
  static auto* sink = new boost::shared_ptr<Sink>();
  return *sink;
}

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
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  CurrentSink() = boost::make_shared<Sink>(backend);
  CurrentSink()->set_formatter(logging::expressions::stream
                               << logging::expressions::smessage);
  logging::core::get()->add_sink(CurrentSink());
  logging::core::get()->set_filter(severity >= static_cast<int>(level));
}

void StopLogging() {
  if (CurrentSink() != nullptr) {
    boost::log::core::get()->remove_sink(CurrentSink());
    CurrentSink()->stop();
    CurrentSink()->flush();
    CurrentSink().reset();
  }
}

namespace {

void WriteLine(LogLevel level,
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
  // Invalid UTF-8 from outside is replaced, so that a line is always JSON.
  BOOST_LOG_SEV(*logger, static_cast<int>(level))
      << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  WriteLine(level, message, {fields.begin(), fields.size()});
}

void Log(LogLevel level,
         std::string_view message,
         const std::vector<LogField>& fields) {
  WriteLine(level, message, fields);
}

void LogFailure(std::string_view message, const Error& error) {
  Log(LogLevel::kWarning, message,
      {{"code", std::string(ErrorCodeName(error.code))},
       {"step", std::string(StepName(error.step))},
       {"peer", error.peer},
       {"detail", error.detail}});
}

}  // namespace radishrail
