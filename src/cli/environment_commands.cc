#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "command.h"
#include "radishrail/document.h"
#include "radishrail/random.h"
#include "text_table.h"

namespace radishrail::cli {

namespace {

using internal::NumberField;
using internal::TextField;

constexpr size_t kMaxNameBytes = 64;
// A change with an unknown outcome is retried with the same operation id, so
// that it is made at most once.
constexpr int kMaxAttempts = 3;
// A daemon may need some seconds to determine the outcome of a write whose
// response was lost.
constexpr absl::Duration kChangeTimeout = absl::Seconds(30);

struct EnvironmentOptions : CommonOptions {
  std::string name;
  std::string file;
  std::string operation;
  std::string stage = "trial";
  int64_t version = 0;
  int64_t replaces = -1;
};

// Sends a change up to `kMaxAttempts` times, until its outcome is known.
ExitCode SendChange(const EnvironmentOptions& options, HttpRequest request) {
  request.timeout = kChangeTimeout;
  request.operation = options.operation;
  ExitCode exit_code = ExitCode::kUnknown;
  bool in_doubt = false;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const std::optional<ServerResponse> result =
        SendToAny(options, request, &exit_code);
    if (!result.has_value()) {
      in_doubt |= exit_code == ExitCode::kUnknown;
      continue;
    }
    const HttpResponse& response = result->response;
    const Json json = internal::ParseResponse(response.body);
    exit_code = internal::ChangeExitCode(response.status, json);
    if (exit_code == ExitCode::kDone) {
      PrintResult(
          options, json,
          absl::StrCat("accepted: environment ", options.name, ", version ",
                       NumberField(json, "version"), ", revision ",
                       NumberField(json, "revision"), "\n"));
      return exit_code;
    }
    FailWithResponse(options, response, result->server, exit_code);
    if (exit_code != ExitCode::kUnknown) {
      return exit_code;
    }
    in_doubt = true;
  }
  if (!options.json) {
    std::cerr << "radishrail: repeat the command with --operation "
              << options.operation << "; the change is made at most once\n";
  }
  return in_doubt ? ExitCode::kUnknown : exit_code;
}

void EnsureOperationId(EnvironmentOptions& options) {
  if (options.operation.empty()) {
    options.operation = SystemRandom().HexToken();
  }
}

ExitCode Put(EnvironmentOptions& options) {
  const std::optional<std::string> body = ReadInput(options, options.file);
  if (!body.has_value()) {
    return ExitCode::kUnreachable;
  }
  Error error;
  const auto document = ParseDocument(*body, &error);
  if (document.has_value() && document->environment != options.name) {
    error = {ErrorCode::kInvalidArgument,
             Step::kDocument,
             {},
             absl::StrCat("field environment is \"", document->environment,
                          "\", the name given is \"", options.name, "\"")};
  }
  if (!error.ok()) {
    PrintError(options, error);
    return ExitCode::kUsage;
  }
  EnsureOperationId(options);
  HttpRequest request;
  request.method = "PUT";
  request.path = absl::StrCat("/v1/environments/", options.name,
                              "/trial?operation=", options.operation);
  request.body = *body;
  return SendChange(options, std::move(request));
}

std::optional<Json> Get(const CommonOptions& options,
                        const std::string& path,
                        ExitCode* exit_code) {
  HttpRequest request;
  request.method = "GET";
  request.path = path;
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), exit_code);
  if (!result.has_value()) {
    *exit_code = ExitCode::kUnreachable;
    return std::nullopt;
  }
  const HttpResponse& response = result->response;
  Json json = internal::ParseResponse(response.body);
  *exit_code = internal::RequestExitCode(response.status);
  if (*exit_code == ExitCode::kDone && json.is_null()) {
    *exit_code = ExitCode::kUnreachable;
  }
  if (*exit_code != ExitCode::kDone) {
    FailWithResponse(options, response, result->server, *exit_code);
    return std::nullopt;
  }
  return json;
}

std::optional<Json> ListEnvironments(const CommonOptions& options,
                                     ExitCode* exit_code) {
  std::optional<Json> json = Get(options, "/v1/environments", exit_code);
  if (json.has_value() && json->is_object()) {
    *json = json->value("environments", Json::array());
  }
  return json;
}

ExitCode Promote(EnvironmentOptions& options) {
  ExitCode exit_code = ExitCode::kDone;
  if (options.replaces < 0) {
    const std::optional<Json> list = ListEnvironments(options, &exit_code);
    if (!list.has_value()) {
      return exit_code;
    }
    options.replaces = 0;
    for (const auto& it : *list) {
      if (TextField(it, "environment") == options.name) {
        options.replaces = NumberField(it, "production_version");
      }
    }
  }
  EnsureOperationId(options);
  HttpRequest request;
  request.method = "POST";
  request.path = absl::StrCat("/v1/environments/", options.name, "/promote");
  request.body = Json{{"version", options.version},
                      {"replaces", options.replaces},
                      {"operation", options.operation}}
                     .dump();
  return SendChange(options, std::move(request));
}

ExitCode List(const EnvironmentOptions& options) {
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<Json> list = ListEnvironments(options, &exit_code);
  if (!list.has_value()) {
    return exit_code;
  }
  std::vector<std::vector<std::string>> rows = {
      {"ENVIRONMENT", "TRIAL", "PRODUCTION", "REVISION"}};
  for (const auto& it : *list) {
    rows.push_back({TextField(it, "environment"),
                    absl::StrCat(NumberField(it, "trial_version")),
                    absl::StrCat(NumberField(it, "production_version")),
                    absl::StrCat(NumberField(it, "revision"))});
  }
  PrintResult(options, *list, internal::FormatTable(rows));
  return ExitCode::kDone;
}

// The document in a response, which may be nested in an object with the
// version.
std::string DocumentText(const Json& json) {
  const Json* document = &json;
  if (json.is_object() && json.contains("document")) {
    document = &json["document"];
  }
  if (document->is_string()) {
    const std::string body = document->get<std::string>();
    const Json parsed = internal::ParseResponse(body);
    return parsed.is_null() ? body : parsed.dump(2) + "\n";
  }
  return document->dump(2) + "\n";
}

std::optional<Json> GetStage(const EnvironmentOptions& options,
                             const std::string& stage,
                             ExitCode* exit_code) {
  return Get(options,
             absl::StrCat("/v1/environments/", options.name, "?stage=", stage),
             exit_code);
}

ExitCode Show(const EnvironmentOptions& options) {
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<Json> json = GetStage(options, options.stage, &exit_code);
  if (json.has_value()) {
    PrintResult(options, *json, DocumentText(*json));
  }
  return exit_code;
}

ExitCode Diff(const EnvironmentOptions& options) {
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<Json> production =
      GetStage(options, "production", &exit_code);
  if (!production.has_value()) {
    return exit_code;
  }
  const std::optional<Json> trial = GetStage(options, "trial", &exit_code);
  if (!trial.has_value()) {
    return exit_code;
  }
  const std::string diff =
      internal::DiffLines(DocumentText(*production), DocumentText(*trial));
  PrintResult(
      options,
      {{"equal", diff.empty()}, {"production", *production}, {"trial", *trial}},
      diff.empty() ? "trial and production are equal\n" : diff);
  return ExitCode::kDone;
}

using EnvironmentFunction = ExitCode (*)(EnvironmentOptions&);

struct EnvironmentCommand {
  const char* name;
  const char* description;
  const char* example;
  EnvironmentFunction run;
};

constexpr EnvironmentCommand kCommands[] = {
    {"put", "Make a document the new trial version.",
     "radishrail env put booking booking.json --server 10.0.0.1:7301",
     [](EnvironmentOptions& options) { return Put(options); }},
    {"promote", "Move a trial version to production.",
     "radishrail env promote booking --version 4 --replaces 3",
     [](EnvironmentOptions& options) { return Promote(options); }},
    {"show", "Show the document of a stage.",
     "radishrail env show booking --stage production",
     [](EnvironmentOptions& options) { return Show(options); }},
    {"list", "List the environments and their versions.", "radishrail env list",
     [](EnvironmentOptions& options) { return List(options); }},
    {"diff", "Compare the production document with the trial document.",
     "radishrail env diff booking",
     [](EnvironmentOptions& options) { return Diff(options); }},
};

void AddArguments(CLI::App* command, EnvironmentOptions& options) {
  const std::string name = command->get_name();
  if (name != "list") {
    command->add_option("name", options.name, "environment")
        ->required()
        ->check(NameValidator("_-", kMaxNameBytes));
  }
  if (name == "put") {
    command
        ->add_option("file", options.file,
                     "document file, - for standard input")
        ->required();
  }
  if (name == "promote") {
    command
        ->add_option("--version", options.version, "trial version to promote")
        ->required()
        ->check(CLI::PositiveNumber);
    command
        ->add_option("--replaces", options.replaces,
                     "production version to be replaced, 0 if there is none; "
                     "by default the present one")
        ->check(CLI::NonNegativeNumber);
  }
  if (name == "put" || name == "promote") {
    command
        ->add_option("--operation", options.operation,
                     "operation id; give that of a former run whose outcome "
                     "is unknown")
        ->check(NameValidator("._:-", kMaxNameBytes));
  }
  if (name == "show") {
    command->add_option("--stage", options.stage, "trial or production")
        ->capture_default_str()
        ->check(CLI::IsMember({"trial", "production"}));
  }
}

}  // namespace

void AddEnvironmentCommands(CLI::App& app, Invocation& invocation) {
  CLI::App* group = app.add_subcommand(
      "env", "Edit, compare and promote environment documents.");
  group->require_subcommand(1);
  for (const auto& it : kCommands) {
    const auto options = std::make_shared<EnvironmentOptions>();
    CLI::App* command =
        AddCommand(*group, invocation, it.name, it.description, it.example,
                   options, [options, run = it.run] { return run(*options); });
    AddServerOptions(command, options, kOperatorServer);
    AddArguments(command, *options);
  }
}

}  // namespace radishrail::cli
