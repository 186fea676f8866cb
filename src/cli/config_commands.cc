#include "absl/strings/str_cat.h"
#include "command.h"
#include "radishrail/settings.h"

namespace radishrail::cli {

namespace {

struct ConfigOptions : CommonOptions {
  std::string file;
};

ExitCode Check(const ConfigOptions& options) {
  Error error;
  const std::optional<Settings> settings = LoadSettings(options.file, &error);
  if (!settings.has_value()) {
    PrintError(options, error);
    return error.code == ErrorCode::kNotFound ? ExitCode::kUnreachable
                                              : ExitCode::kFailed;
  }
  const std::string text = RenderSettings(*settings);
  PrintResult(options, {{"valid", true}, {"settings", text}}, text);
  return ExitCode::kDone;
}

ExitCode Reference(const CommonOptions& options) {
  const std::string text = SettingsReference();
  PrintResult(options, {{"reference", text}}, text);
  return ExitCode::kDone;
}

ExitCode Version(const CommonOptions& options) {
  PrintResult(options, {{"version", RADISHRAIL_VERSION}},
              absl::StrCat("radishrail ", RADISHRAIL_VERSION, "\n"));
  return ExitCode::kDone;
}

}  // namespace

void AddConfigCommands(CLI::App& app, Invocation& invocation) {
  CLI::App* group = app.add_subcommand("config", "Check and explain settings.");
  group->require_subcommand(1);
  const auto check = std::make_shared<ConfigOptions>();
  CLI::App* command =
      AddCommand(*group, invocation, "check",
                 "Check a settings file and print the effective settings.",
                 "radishrail config check radishraild.ini", check,
                 [check] { return Check(*check); });
  command->add_option("file", check->file, "settings file")->required();
  const auto reference = std::make_shared<CommonOptions>();
  AddCommand(*group, invocation, "reference",
             "Print all settings as a Markdown table.",
             "radishrail config reference", reference,
             [reference] { return Reference(*reference); });
  const auto version = std::make_shared<CommonOptions>();
  AddCommand(app, invocation, "version", "Print the version.",
             "radishrail version --json", version,
             [version] { return Version(*version); });
}

}  // namespace radishrail::cli
