#include "radishrail/settings.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "ini.h"

namespace radishrail {

namespace {

enum class Type {
  kName,
  kNameList,
  kAddress,
  kAddressList,
  kSecret,
  kInteger,
  kThousandths,  // a decimal number, stored in thousandths
  kBytes,
  kDuration,
  kLogLevel,
  kAdmissionPolicy,
  kSharePolicy,
};

using Field = std::variant<std::string Settings::*,
                           std::vector<std::string> Settings::*,
                           uint32_t Settings::*,
                           int Settings::*,
                           size_t Settings::*,
                           absl::Duration Settings::*,
                           LogLevel Settings::*,
                           AdmissionPolicy Settings::*,
                           SharePolicy Settings::*>;

struct Key {
  std::string_view section;
  std::string_view name;
  Type type;
  Field field;
  // Allowed range of a number, of a decimal number in thousandths, of a
  // duration in milliseconds, or of the length of a secret in characters.
  int64_t min;
  int64_t max;
  bool required;
  std::string_view description;
};

constexpr size_t kMaxNameLength = 32;
constexpr int64_t kMinSecretLength = 8;
constexpr int64_t kMaxSecretLength = 256;
// Enough for the addresses of 300 daemons, the target size of a fleet.
constexpr int kMaxLineBytes = 8192;

constexpr std::array kKeys = {
    Key{"daemon", "vm", Type::kName, &Settings::vm, 0, 0, true,
        "name of this VM, unique in the deployment"},
    Key{"daemon", "failure_domain", Type::kName, &Settings::failure_domain, 0,
        0, true, "failure domain of this VM, one of `failure_domains`"},
    Key{"daemon", "failure_domains", Type::kNameList,
        &Settings::failure_domains, 0, 0, true,
        "all failure domains, in the same order on all daemons"},
    Key{"daemon", "weight", Type::kInteger, &Settings::weight, 1, 1000, false,
        "relative size of this VM"},
    Key{"daemon", "cpu_share", Type::kThousandths, &Settings::cpu_millicores, 1,
        1000000, false,
        "processor cores of this VM, with `--platform`; larger VMs are "
        "preferred as owners of pools"},
    Key{"daemon", "memory_mb", Type::kInteger, &Settings::memory_mb, 16,
        1048576, false, "memory of this VM, in MiB"},
    Key{"daemon", "caller_address", Type::kAddress, &Settings::caller_address,
        0, 0, false, "listener for callers"},
    Key{"daemon", "operator_address", Type::kAddress,
        &Settings::operator_address, 0, 0, false, "listener for operators"},
    Key{"daemon", "peer_address", Type::kAddress, &Settings::peer_address, 0, 0,
        false, "listener for other daemons"},
    Key{"daemon", "advertised_peer_address", Type::kAddress,
        &Settings::advertised_peer_address, 0, 0, false,
        "address that other daemons use, if it is not `peer_address`"},
    Key{"daemon", "ready_address", Type::kAddress, &Settings::ready_address, 0,
        0, false,
        "listener for the balancer's readiness probes, with `--platform`"},
    Key{"daemon", "caller_threads", Type::kInteger, &Settings::caller_threads,
        1, 64, false, "threads that serve callers"},
    Key{"daemon", "upstream_threads", Type::kInteger,
        &Settings::upstream_threads, 1, 64, false,
        "threads that send tasks to upstreams"},
    Key{"daemon", "log_level", Type::kLogLevel, &Settings::log_level, 0, 0,
        false, "least severe level that is logged"},
    Key{"daemon", "timeline_events", Type::kInteger, &Settings::timeline_events,
        100, 1000000, false, "events kept in memory for `radishrail timeline`"},
    Key{"platform", "address", Type::kAddress, &Settings::platform_address, 0,
        0, false, "address of the platform's service"},
    Key{"platform", "timeout", Type::kDuration, &Settings::platform_timeout,
        100, 60000, false, "time limit of one request to the platform"},
    // The upper bound ensures that a leaving upstream stops receiving new work
    // within less than 3 s.
    Key{"platform", "vm_list_interval", Type::kDuration,
        &Settings::vm_list_interval, 100, 2000, false,
        "time between two reads of the VM list"},
    Key{"peers", "seeds", Type::kAddressList, &Settings::seeds, 0, 0, false,
        "peer addresses to contact first"},
    Key{"peers", "cluster_key", Type::kSecret, &Settings::cluster_key,
        kMinSecretLength, kMaxSecretLength, true,
        "shared secret of all daemons"},
    Key{"operators", "token", Type::kSecret, &Settings::operator_token,
        kMinSecretLength, kMaxSecretLength, true, "token of the operators"},
    Key{"lease", "length", Type::kDuration, &Settings::lease_length, 1000,
        60000, false, "validity of a lease after its renewal"},
    Key{"lease", "renew_interval", Type::kDuration,
        &Settings::lease_renew_interval, 100, 20000, false,
        "time between two renewals, at most a third of `length`"},
    Key{"drain", "balancer_delay", Type::kDuration,
        &Settings::drain_balancer_delay, 0, 60000, false,
        "time for the load balancer to notice that the daemon is not ready"},
    Key{"drain", "timeout", Type::kDuration, &Settings::drain_timeout, 1000,
        600000, false, "longest wait for requests in progress"},
    Key{"requests", "client_memory_mb", Type::kInteger,
        &Settings::client_memory_mb, 0, 1048576, false,
        "memory that clients may occupy, in MiB; 0: a quarter of `memory_mb`"},
    Key{"requests", "socket_buffer_bytes", Type::kInteger,
        &Settings::socket_buffer_bytes, 4096, 4 * 1024 * 1024, false,
        "receive and send buffer of each HTTP connection in the kernel, "
        "which may hold twice as much"},
    Key{"requests", "max_body_bytes", Type::kBytes, &Settings::max_body_bytes,
        1024, 4 * 1024 * 1024, false, "largest request body"},
    Key{"requests", "max_connections", Type::kInteger,
        &Settings::max_connections, 1, 65536, false,
        "callers' connections open at once"},
    Key{"requests", "idle_timeout", Type::kDuration, &Settings::idle_timeout,
        1000, 600000, false, "time after which an idle connection is closed"},
    Key{"scheduling", "admission", Type::kAdmissionPolicy, &Settings::admission,
        0, 0, false,
        "with `--platform`, what admits a job: the queued work of smaller "
        "jobs, "
        "or room beside all admitted jobs"},
    Key{"scheduling", "shares", Type::kSharePolicy, &Settings::shares, 0, 0,
        false,
        "with `--platform`, where shares act: on the order of tasks while much "
        "work is queued, or at admission as well, if `admission` is "
        "`reserved`"},
    Key{"scheduling", "remote_run_factor", Type::kThousandths,
        &Settings::remote_run_thousandths, 1000, 100000, false,
        "run time of a task off the rack of its data, as a multiple of that on "
        "it, with `--platform`; 1: racks are ignored"},
};

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '_' || c == '-';
         });
}

// Parses decimal digits only; signs and blanks are errors.
std::optional<int64_t> ParseDigits(std::string_view text) {
  int64_t n = 0;
  if (text.empty() ||
      !std::all_of(text.begin(), text.end(),
                   [](char c) { return c >= '0' && c <= '9'; }) ||
      !absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &n)) {
    return std::nullopt;
  }
  return n;
}

// Parses a decimal number with up to three decimal places to thousandths.
std::optional<int64_t> ParseThousandths(std::string_view text) {
  const size_t point = std::min(text.find('.'), text.size());
  const std::optional<int64_t> whole = ParseDigits(text.substr(0, point));
  std::string decimals(text.substr(std::min(point + 1, text.size())));
  const bool has_point = point < text.size();
  constexpr int64_t kMaxWhole = 1000000;
  if (!whole.has_value() || *whole > kMaxWhole || decimals.size() > 3 ||
      has_point == decimals.empty()) {
    return std::nullopt;
  }
  decimals.resize(3, '0');
  const std::optional<int64_t> fraction = ParseDigits(decimals);
  if (!fraction.has_value()) {
    return std::nullopt;
  }
  return *whole * 1000 + *fraction;
}

std::string FormatThousandths(int64_t n) {
  std::string text =
      absl::StrCat(n / 1000, ".", absl::Dec(n % 1000, absl::kZeroPad3));
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

// Accepts only numeric IPv4 addresses with a port; host names are not used.
bool IsAddress(std::string_view text) {
  const size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::optional<int64_t> port = ParseDigits(text.substr(colon + 1));
  if (!port.has_value() || *port < 1 || *port > 65535) {
    return false;
  }
  const std::vector<std::string> bytes =
      absl::StrSplit(absl::string_view(text.data(), colon), '.');
  return bytes.size() == 4 &&
         std::all_of(bytes.begin(), bytes.end(), [](const std::string& byte) {
           const std::optional<int64_t> n = ParseDigits(byte);
           return n.has_value() && byte.size() <= 3 && *n <= 255;
         });
}

bool IsSecret(std::string_view text, int64_t min, int64_t max) {
  return static_cast<int64_t>(text.size()) >= min &&
         static_cast<int64_t>(text.size()) <= max &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isgraph(c); });
}

// Parses "10s" or "250ms" to milliseconds.
std::optional<int64_t> ParseMilliseconds(std::string_view text) {
  int64_t unit = 0;
  if (text.ends_with("ms")) {
    unit = 1;
    text.remove_suffix(2);
  } else if (text.ends_with("s")) {
    unit = 1000;
    text.remove_suffix(1);
  } else {
    return std::nullopt;
  }
  const std::optional<int64_t> n = ParseDigits(text);
  constexpr int64_t kMaxNumber = 1000000000;
  if (!n.has_value() || *n > kMaxNumber) {
    return std::nullopt;
  }
  return *n * unit;
}

std::string FormatMilliseconds(int64_t ms) {
  return ms % 1000 == 0 ? absl::StrCat(ms / 1000, "s") : absl::StrCat(ms, "ms");
}

std::string AllowedValues(const Key& key) {
  switch (key.type) {
    case Type::kName:
      return absl::StrCat("1 to ", kMaxNameLength,
                          " characters of A-Z a-z 0-9 _ -");
    case Type::kNameList:
      return absl::StrCat("comma-separated names of 1 to ", kMaxNameLength,
                          " characters of A-Z a-z 0-9 _ -, each once");
    case Type::kAddress:
      return "ip:port";
    case Type::kAddressList:
      return "comma-separated ip:port, may be empty";
    case Type::kSecret:
      return absl::StrCat(key.min, " to ", key.max,
                          " printable characters without blanks");
    case Type::kInteger:
    case Type::kBytes:
      return absl::StrCat(key.min, " to ", key.max);
    case Type::kThousandths:
      return absl::StrCat(FormatThousandths(key.min), " to ",
                          FormatThousandths(key.max),
                          ", up to three decimal places");
    case Type::kDuration:
      return absl::StrCat(FormatMilliseconds(key.min), " to ",
                          FormatMilliseconds(key.max));
    case Type::kLogLevel:
      return "debug, info, warning, error";
    case Type::kAdmissionPolicy:
      return "queued_work, reserved";
    case Type::kSharePolicy:
      return "backlog, admission";
  }
  return "";
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items =
      absl::StrSplit(absl::string_view(text.data(), text.size()), ',');
  for (auto& it : items) {
    absl::StripAsciiWhitespace(&it);
  }
  return items;
}

bool AssignList(const Key& key, std::string_view text, Settings& settings) {
  auto& list =
      settings.*std::get<std::vector<std::string> Settings::*>(key.field);
  if (text.empty()) {
    list.clear();
    return key.type == Type::kAddressList;
  }
  list = SplitList(text);
  const std::set<std::string> unique(list.begin(), list.end());
  return unique.size() == list.size() &&
         std::all_of(list.begin(), list.end(), [&](const std::string& it) {
           return key.type == Type::kNameList ? IsName(it) : IsAddress(it);
         });
}

bool AssignText(const Key& key, std::string_view text, Settings& settings) {
  settings.*std::get<std::string Settings::*>(key.field) = std::string(text);
  switch (key.type) {
    case Type::kName:
      return IsName(text);
    case Type::kAddress:
      return IsAddress(text);
    default:
      return IsSecret(text, key.min, key.max);
  }
}

bool AssignNumber(const Key& key, std::string_view text, Settings& settings) {
  const std::optional<int64_t> n =
      key.type == Type::kDuration      ? ParseMilliseconds(text)
      : key.type == Type::kThousandths ? ParseThousandths(text)
                                       : ParseDigits(text);
  if (!n.has_value() || *n < key.min || *n > key.max) {
    return false;
  }
  if (const auto* field = std::get_if<absl::Duration Settings::*>(&key.field)) {
    settings.*(*field) = absl::Milliseconds(*n);
  } else if (const auto* field =
                 std::get_if<uint32_t Settings::*>(&key.field)) {
    settings.*(*field) = static_cast<uint32_t>(*n);
  } else if (const auto* field = std::get_if<int Settings::*>(&key.field)) {
    settings.*(*field) = static_cast<int>(*n);
  } else {
    settings.*std::get<size_t Settings::*>(key.field) = static_cast<size_t>(*n);
  }
  return true;
}

// False if `text` is not an allowed value.
bool Assign(const Key& key, std::string_view text, Settings& settings) {
  switch (key.type) {
    case Type::kName:
    case Type::kAddress:
    case Type::kSecret:
      return AssignText(key, text, settings);
    case Type::kNameList:
    case Type::kAddressList:
      return AssignList(key, text, settings);
    case Type::kInteger:
    case Type::kThousandths:
    case Type::kBytes:
    case Type::kDuration:
      return AssignNumber(key, text, settings);
    case Type::kLogLevel: {
      const std::optional<LogLevel> level = LogLevelFromName(text);
      if (level.has_value()) {
        settings.log_level = *level;
      }
      return level.has_value();
    }
    case Type::kAdmissionPolicy: {
      const std::optional<AdmissionPolicy> policy =
          AdmissionPolicyFromName(text);
      settings.admission = policy.value_or(settings.admission);
      return policy.has_value();
    }
    case Type::kSharePolicy: {
      const std::optional<SharePolicy> policy = SharePolicyFromName(text);
      settings.shares = policy.value_or(settings.shares);
      return policy.has_value();
    }
  }
  return false;
}

std::string Format(const Key& key, const Settings& settings) {
  struct Visitor {
    const Key& key;
    const Settings& settings;
    std::string operator()(std::string Settings::*field) const {
      return settings.*field;
    }
    std::string operator()(std::vector<std::string> Settings::*field) const {
      return absl::StrJoin(settings.*field, ", ");
    }
    std::string operator()(absl::Duration Settings::*field) const {
      return FormatMilliseconds(absl::ToInt64Milliseconds(settings.*field));
    }
    std::string operator()(LogLevel Settings::*field) const {
      return std::string(LogLevelName(settings.*field));
    }
    std::string operator()(AdmissionPolicy Settings::*field) const {
      return std::string(AdmissionPolicyName(settings.*field));
    }
    std::string operator()(SharePolicy Settings::*field) const {
      return std::string(SharePolicyName(settings.*field));
    }
    std::string operator()(uint32_t Settings::*field) const {
      return key.type == Type::kThousandths ? FormatThousandths(settings.*field)
                                            : absl::StrCat(settings.*field);
    }
    std::string operator()(int Settings::*field) const {
      return absl::StrCat(settings.*field);
    }
    std::string operator()(size_t Settings::*field) const {
      return absl::StrCat(settings.*field);
    }
  };
  return std::visit(Visitor{key, settings}, key.field);
}

const Key* FindKey(std::string_view section, std::string_view name) {
  for (const auto& it : kKeys) {
    if (it.section == section && it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

std::string SectionNames() {
  std::vector<std::string> names;
  for (const auto& it : kKeys) {
    if (names.empty() || names.back() != it.section) {
      names.emplace_back(it.section);
    }
  }
  return absl::StrJoin(names, ", ");
}

std::string KeyNames(std::string_view section) {
  std::vector<std::string> names;
  for (const auto& it : kKeys) {
    if (it.section == section) {
      names.emplace_back(it.name);
    }
  }
  return absl::StrJoin(names, ", ");
}

// Passes the text to the library line by line, to count the lines and check the
// section headers: the library reports neither line numbers nor empty sections
// to its handler.
class Parser {
 public:
  Parser(std::string_view text, std::string name)
      : remaining_(text), name_(std::move(name)) {}

  std::optional<Settings> Parse(Error* error) {
    const int result =
        ini_parse_stream(&Parser::ReadLine, this, &Parser::OnValue, this);
    if (!error_.empty()) {
      return FailWith(error, error_);
    }
    if (result != 0) {
      return FailWith(error,
                      absl::StrCat("line ", result,
                                   ": expected [section], key = value or a "
                                   "comment that begins with ; or #"));
    }
    for (const auto& it : kKeys) {
      if (it.required && !key_lines_.contains({it.section, it.name})) {
        return FailWith(error, absl::StrCat(QualifiedName(it), " is required: ",
                                            AllowedValues(it)));
      }
    }
    return CheckRelatedKeys(error);
  }

 private:
  static std::string QualifiedName(const Key& key) {
    return absl::StrCat("[", std::string(key.section), "] ",
                        std::string(key.name));
  }

  std::nullopt_t FailWith(Error* error, const std::string& detail) const {
    return Fail(error, ErrorCode::kInvalidArgument, Step::kSettings,
                absl::StrCat(name_, ": ", detail));
  }

  // Keeps the first error only; parsing stops after it.
  void SetError(const std::string& detail) {
    if (error_.empty()) {
      error_ = absl::StrCat("line ", line_, ": ", detail);
    }
  }

  static char* ReadLine(char* buf, int size, void* stream) {
    auto& self = *static_cast<Parser*>(stream);
    if (self.remaining_.empty() || !self.error_.empty()) {
      return nullptr;
    }
    const size_t end = self.remaining_.find('\n');
    const std::string_view line = self.remaining_.substr(0, end);
    self.remaining_.remove_prefix(
        end == std::string_view::npos ? self.remaining_.size() : end + 1);
    ++self.line_;
    // The library would silently split a longer line.
    if (line.size() + 2 > static_cast<size_t>(size)) {
      self.SetError(absl::StrCat("a line has at most ", size - 2, " bytes"));
      return nullptr;
    }
    if (line.find('\0') != std::string_view::npos) {
      self.SetError("a line must not contain a zero byte");
      return nullptr;
    }
    self.CheckSection(line);
    if (!self.error_.empty()) {
      return nullptr;
    }
    std::memcpy(buf, line.data(), line.size());
    buf[line.size()] = '\n';
    buf[line.size() + 1] = '\0';
    return buf;
  }

  void CheckSection(std::string_view line) {
    const size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos || line[begin] != '[') {
      return;
    }
    const size_t end = line.find(']', begin);
    const std::string section(line.substr(begin + 1, end - begin - 1));
    if (end != std::string_view::npos && KeyNames(section).empty()) {
      SetError(absl::StrCat("section [", section,
                            "] is unknown; allowed: ", SectionNames()));
    }
  }

  // Returns 0 on an error, as the library requires.
  static int OnValue(void* user,
                     const char* section,
                     const char* name,
                     const char* value) {
    return static_cast<Parser*>(user)->SetValue(section, name, value) ? 1 : 0;
  }

  bool SetValue(const std::string& section,
                const std::string& name,
                const std::string& value) {
    if (!error_.empty()) {
      return false;
    }
    const Key* key = FindKey(section, name);
    if (key == nullptr) {
      SetError(section.empty()
                   ? absl::StrCat("key ", name, " is set before any [section]")
                   : absl::StrCat("[", section, "] ", name,
                                  " is unknown; allowed: ", KeyNames(section)));
      return false;
    }
    const auto [it, added] =
        key_lines_.emplace(std::pair(key->section, key->name), line_);
    if (!added) {
      SetError(absl::StrCat(QualifiedName(*key), " was already set in line ",
                            it->second, "; allowed once"));
      return false;
    }
    if (!Assign(*key, value, settings_)) {
      // Error messages must not contain secrets.
      SetError(absl::StrCat(QualifiedName(*key), ": allowed is ",
                            AllowedValues(*key),
                            key->type == Type::kSecret
                                ? ""
                                : absl::StrCat("; found \"", value, "\"")));
      return false;
    }
    return true;
  }

  std::optional<Settings> CheckRelatedKeys(Error* error) const {
    const auto& domains = settings_.failure_domains;
    if (std::find(domains.begin(), domains.end(), settings_.failure_domain) ==
        domains.end()) {
      return FailWith(error,
                      absl::StrCat(LocationOf("daemon", "failure_domain"),
                                   ": allowed is one of [daemon] "
                                   "failure_domains (",
                                   absl::StrJoin(domains, ", "), "); found \"",
                                   settings_.failure_domain, "\""));
    }
    // Ensures that two renewals can fail before the lease expires.
    if (settings_.lease_renew_interval * 3 > settings_.lease_length) {
      return FailWith(
          error,
          absl::StrCat(LocationOf("lease", "renew_interval"),
                       ": allowed is at most a third of [lease] length (",
                       FormatMilliseconds(
                           absl::ToInt64Milliseconds(settings_.lease_length)),
                       "); found \"",
                       FormatMilliseconds(absl::ToInt64Milliseconds(
                           settings_.lease_renew_interval)),
                       "\""));
    }
    return settings_;
  }

  std::string LocationOf(std::string_view section,
                         std::string_view name) const {
    const auto it = key_lines_.find({section, name});
    const std::string key =
        absl::StrCat("[", std::string(section), "] ", std::string(name));
    return it == key_lines_.end()
               ? absl::StrCat(key, " (default)")
               : absl::StrCat("line ", it->second, ": ", key);
  }

  std::string_view remaining_;
  const std::string name_;
  Settings settings_;
  int line_ = 0;
  std::map<std::pair<std::string_view, std::string_view>, int> key_lines_;
  std::string error_;
};

// The options of the library are global variables.
void ConfigureLibrary() {
  static const bool configured = [] {
    // An indented line is an ordinary line, not the continuation of a value.
    ini_allow_multiline = false;
    ini_max_line = kMaxLineBytes;
    return true;
  }();
  static_cast<void>(configured);
}

std::string_view TypeName(Type type) {
  switch (type) {
    case Type::kName:
      return "name";
    case Type::kNameList:
      return "list of names";
    case Type::kAddress:
      return "address";
    case Type::kAddressList:
      return "list of addresses";
    case Type::kSecret:
      return "secret";
    case Type::kInteger:
    case Type::kBytes:
      return "integer";
    case Type::kThousandths:
      return "decimal number";
    case Type::kDuration:
      return "duration";
    case Type::kLogLevel:
      return "level";
    case Type::kAdmissionPolicy:
    case Type::kSharePolicy:
      return "policy";
  }
  return "";
}

std::string_view UnitName(Type type) {
  switch (type) {
    case Type::kBytes:
      return "bytes";
    case Type::kDuration:
      return "s or ms";
    default:
      return "";
  }
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      const std::string& name,
                                      Error* error) {
  ConfigureLibrary();
  return Parser(text, name).Parse(error);
}

std::optional<Settings> LoadSettings(const std::string& path, Error* error) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Fail(error, ErrorCode::kNotFound, Step::kSettings,
                absl::StrCat(path, ": the file cannot be read or is empty"));
  }
  return ParseSettings(text.str(), path, error);
}

std::vector<std::string> ChangedKeys(const Settings& before,
                                     const Settings& after) {
  std::vector<std::string> names;
  for (const auto& it : kKeys) {
    if (Format(it, before) != Format(it, after)) {
      names.push_back(absl::StrCat("[", std::string(it.section), "] ",
                                   std::string(it.name)));
    }
  }
  return names;
}

std::string RenderSettings(const Settings& settings) {
  std::string text;
  std::string_view section;
  for (const auto& it : kKeys) {
    if (it.section != section) {
      absl::StrAppend(&text, text.empty() ? "" : "\n", "[",
                      std::string(it.section), "]\n");
      section = it.section;
    }
    std::string value = Format(it, settings);
    if (it.type == Type::kAddress && value.empty()) {
      continue;  // not set
    }
    if (it.type == Type::kSecret && !value.empty()) {
      value = "********";
    }
    absl::StrAppend(&text, std::string(it.name), " = ", value, "\n");
  }
  return text;
}

std::string SettingsReference() {
  const Settings defaults;
  std::string text =
      "| section | key | type | unit | range | default | meaning |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& it : kKeys) {
    absl::StrAppend(&text, "| ", std::string(it.section), " | ",
                    std::string(it.name), " | ", std::string(TypeName(it.type)),
                    " | ", std::string(UnitName(it.type)), " | ",
                    AllowedValues(it), " | ",
                    it.required ? "required" : Format(it, defaults));
    absl::StrAppend(&text, " | ", std::string(it.description), " |\n");
  }
  return text;
}

}  // namespace radishrail
