#include <unistd.h>

#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "command.h"

#include "text_table.h"

namespace radishrail::cli {

namespace {

using internal::NumberField;
using internal::TextField;

// The longest deadline of a job, 570 s, plus 30 s for the response.
constexpr absl::Duration kSubmitTimeout = absl::Seconds(600);
constexpr size_t kMaxKeyBytes = 128;
constexpr char kKeyPunctuation[] = "._:-";

struct JobOptions : CommonOptions {
  std::string file;
  std::string key;
};

// Shows the elapsed time on a terminal, once a second.
std::function<void(absl::Duration)> Progress(const CommonOptions& options) {
  if (options.json || isatty(STDERR_FILENO) == 0) {
    return nullptr;
  }
  return [last = int64_t{0}](absl::Duration elapsed) mutable {
    const int64_t seconds = absl::ToInt64Seconds(elapsed);
    if (seconds > last) {
      last = seconds;
      std::cerr << "\rwaiting for the response: " << seconds << " s"
                << std::flush;
    }
  };
}

std::string JobText(const Json& answer) {
  std::string text = absl::StrCat(
      "job ", internal::Printable(TextField(answer, "key"), kMaxKeyBytes), ": ",
      internal::Printable(TextField(answer, "status"), kMaxKeyBytes));
  const int64_t version = NumberField(answer, "document_version");
  if (version > 0) {
    absl::StrAppend(
        &text, " (environment ",
        internal::Printable(TextField(answer, "environment"), kMaxKeyBytes),
        ", document version ", version, ")");
  }
  absl::StrAppend(&text, "\n");
  std::vector<std::vector<std::string>> rows = {
      {"TASK", "STATUS", "OUTPUT OR ERROR"}};
  const Json tasks = answer.value("tasks", Json::array());
  for (const auto& it : tasks) {
    const std::string output = TextField(it, "output");
    const Error error = internal::ErrorOfResponse(0, it, "");
    const bool has_error = it.is_object() && it.contains("error") &&
                           error.code != ErrorCode::kOk && output.empty();
    rows.push_back({TextField(it, "id"), TextField(it, "status"),
                    has_error ? error.ToString() : output});
  }
  if (rows.size() > 1) {
    text += internal::FormatTable(rows);
  }
  return text;
}

ExitCode ReportJob(const CommonOptions& options, const ServerResponse& result) {
  const HttpResponse& response = result.response;
  const Json answer = internal::ParseResponse(response.body);
  const ExitCode exit_code = internal::JobExitCode(response.status, answer);
  if (!TextField(answer, "status").empty()) {
    PrintResult(options, answer, JobText(answer));
  }
  if (exit_code == ExitCode::kDone) {
    return exit_code;
  }
  FailWithResponse(options, response, result.server, exit_code);
  const int64_t retry_ms = NumberField(answer, "retry_after_ms");
  if (retry_ms > 0 && !options.json) {
    std::cerr << "radishrail: try again after " << retry_ms << " ms\n";
  }
  return exit_code;
}

// Requests a new key. Any server can mint it, since no job is submitted yet.
std::optional<std::string> MintKey(const CommonOptions& options,
                                   ExitCode* exit_code) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/keys";
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), exit_code);
  if (!result.has_value()) {
    *exit_code = ExitCode::kUnreachable;
    return std::nullopt;
  }
  const HttpResponse& response = result->response;
  std::string key = TextField(internal::ParseResponse(response.body), "key");
  if (response.status != 200 || key.empty()) {
    *exit_code = internal::RequestExitCode(response.status);
    if (*exit_code == ExitCode::kDone) {
      *exit_code = ExitCode::kUnreachable;
    }
    FailWithResponse(options, response, result->server, *exit_code);
    return std::nullopt;
  }
  return key;
}

ExitCode Submit(const JobOptions& options) {
  const std::optional<std::string> body = ReadInput(options, options.file);
  if (!body.has_value()) {
    return ExitCode::kUnreachable;
  }
  if (!internal::ParseResponse(*body).is_object()) {
    PrintError(options, {ErrorCode::kInvalidArgument,
                         Step::kParsing,
                         {},
                         absl::StrCat(options.file, " is not a JSON object")});
    return ExitCode::kUsage;
  }
  ExitCode exit_code = ExitCode::kDone;
  std::string key = options.key;
  if (key.empty()) {
    const std::optional<std::string> minted_key = MintKey(options, &exit_code);
    if (!minted_key.has_value()) {
      return exit_code;
    }
    key = *minted_key;
  }
  HttpRequest request;
  request.method = "PUT";
  request.path = absl::StrCat("/v1/jobs/", key);
  request.body = *body;
  request.timeout = kSubmitTimeout;
  request.on_progress = Progress(options);
  const bool shows_progress = request.on_progress != nullptr;
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), &exit_code);
  if (shows_progress) {
    std::cerr << "\r\x1b[K";
  }
  if (!result.has_value()) {
    if (!options.json) {
      std::cerr << "radishrail: submit it again with --key " << key
                << "; it then runs at most once\n";
    }
    return exit_code;
  }
  exit_code = ReportJob(options, *result);
  // A refusal means that this daemon did not run the job. A server tried before
  // it, to which the connection broke, may have run it.
  return result->repeated && exit_code == ExitCode::kRefused
             ? ExitCode::kUnknown
             : exit_code;
}

ExitCode StatusOrCancel(const JobOptions& options, const std::string& method) {
  HttpRequest request;
  request.method = method;
  request.path = absl::StrCat("/v1/jobs/", options.key);
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), &exit_code);
  if (!result.has_value()) {
    return exit_code;
  }
  if (method == "DELETE" && result->response.status / 100 == 2) {
    PrintResult(options, internal::ParseResponse(result->response.body),
                absl::StrCat("job ", options.key, ": cancelled\n"));
    return ExitCode::kDone;
  }
  exit_code = ReportJob(options, *result);
  // An unknown key does not rule out that the job ran, since daemons do not
  // remember keys forever.
  return result->response.status == 404 ? ExitCode::kUnknown : exit_code;
}

}  // namespace

void AddJobCommands(CLI::App& app, Invocation& invocation) {
  const auto submit = std::make_shared<JobOptions>();
  CLI::App* command = AddCommand(
      app, invocation, "submit", "Submit a job and wait for its response.",
      "RADISHRAIL_TOKEN=... radishrail submit job.json --server "
      "10.0.0.1:7300\n  radishrail submit - --key d1.north.order-17 < job.json",
      submit, [submit] { return Submit(*submit); });
  AddServerOptions(command, submit, kCallerServer);
  command->add_option("file", submit->file, "job file, - for standard input")
      ->required();
  command
      ->add_option("--key", submit->key,
                   "key of the job; minted by a daemon if not given")
      ->check(NameValidator(kKeyPunctuation, kMaxKeyBytes));

  for (const bool is_status : {true, false}) {
    const auto options = std::make_shared<JobOptions>();
    const std::string name = is_status ? "status" : "cancel";
    CLI::App* other = AddCommand(
        app, invocation, name,
        is_status ? "Show the present state of a job."
                  : "Cancel the tasks of a job that are still queued.",
        absl::StrCat("radishrail ", name, " d1.north.order-17"), options,
        [options, is_status] {
          return StatusOrCancel(*options, is_status ? "GET" : "DELETE");
        });
    AddServerOptions(other, options, kCallerServer);
    other->add_option("key", options->key, "key of the job")
        ->required()
        ->check(NameValidator(kKeyPunctuation, kMaxKeyBytes));
  }
}

}  // namespace radishrail::cli
