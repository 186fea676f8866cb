#include "radishrail/job_key.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "absl/strings/str_cat.h"

namespace radishrail {

namespace {

// Largest time accepted in a key: year 9999. Larger values would overflow
// arithmetic on times.
constexpr int64_t kMaxUnixMs = 253'402'300'799'999;

bool IsKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' || c == '-';
}

std::nullopt_t FailParsing(Error* error, std::string detail) {
  return Fail(error, ErrorCode::kInvalidArgument, Step::kParsing,
              std::move(detail));
}

// Removes the text up to the next dot from `rest` and returns it; empty if
// there is no dot.
std::string_view ConsumeField(std::string_view* rest) {
  const size_t n = rest->find('.');
  if (n == std::string_view::npos) {
    return {};
  }
  const std::string_view field = rest->substr(0, n);
  rest->remove_prefix(n + 1);
  return field;
}

// Parses a decimal number without sign or leading zeros, so that each key has a
// single spelling.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number n = 0;
  if (text.empty() || text[0] == '-' || (text.size() > 1 && text[0] == '0')) {
    return std::nullopt;
  }
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::optional<absl::Time> ParseTime(std::string_view text) {
  const auto ms = ParseNumber<int64_t>(text);
  if (!ms.has_value() || *ms > kMaxUnixMs) {
    return std::nullopt;
  }
  return absl::FromUnixMillis(*ms);
}

bool ConsumeFailureDomain(const std::vector<std::string>& failure_domains,
                          std::string_view* rest,
                          JobKey* key,
                          Error* error) {
  const std::string_view name = ConsumeField(rest);
  if (std::find(failure_domains.begin(), failure_domains.end(), name) ==
      failure_domains.end()) {
    FailParsing(
        error, absl::StrCat("key names an unknown failure domain: \"",
                            absl::string_view(name.data(), name.size()), "\""));
    return false;
  }
  key->failure_domain = name;
  return true;
}

std::optional<JobKey> ParseMinted(std::string_view rest,
                                  const std::vector<std::string>& domains,
                                  JobKey key,
                                  Error* error) {
  key.form = KeyForm::kMinted;
  if (!ConsumeFailureDomain(domains, &rest, &key, error)) {
    return std::nullopt;
  }
  key.vm = ConsumeField(&rest);
  const auto incarnation = ParseNumber<uint64_t>(ConsumeField(&rest));
  const size_t dash = rest.find('-');
  const auto minted = ParseTime(rest.substr(0, dash));
  if (key.vm.empty() || !incarnation.has_value() || !minted.has_value() ||
      dash == std::string_view::npos || dash + 1 == rest.size() ||
      rest.find('.') != std::string_view::npos) {
    return FailParsing(error,
                       "a minted key must be k1.<failure domain>.<vm>."
                       "<incarnation>.<ms>-<random>");
  }
  key.incarnation = *incarnation;
  key.stamp = *minted;
  return key;
}

std::optional<JobKey> ParseStamped(std::string_view rest,
                                   const std::vector<std::string>& domains,
                                   JobKey key,
                                   Error* error) {
  key.form = KeyForm::kStamped;
  if (!ConsumeFailureDomain(domains, &rest, &key, error)) {
    return std::nullopt;
  }
  const auto stamp = ParseTime(ConsumeField(&rest));
  if (!stamp.has_value() || rest.empty()) {
    return FailParsing(error,
                       "a stamped key must be t1.<failure domain>.<unix ms>."
                       "<caller's part>");
  }
  key.stamp = *stamp;
  key.range = KeyRange(key.text);
  return key;
}

std::optional<JobKey> ParsePlain(std::string_view rest,
                                 const std::vector<std::string>& domains,
                                 JobKey key,
                                 Error* error) {
  if (!ConsumeFailureDomain(domains, &rest, &key, error)) {
    return std::nullopt;
  }
  if (rest.empty()) {
    return FailParsing(error,
                       "a key for a failure domain must be d1.<failure domain>."
                       "<caller's part>");
  }
  key.range = KeyRange(key.text);
  return key;
}

}  // namespace

uint32_t KeyRange(std::string_view text) {
  // The upper half selects the range and the lower half the failure domain, so
  // that the two choices are independent.
  return static_cast<uint32_t>(XXH64(text.data(), text.size(), 0) >> 32) %
         kRangesPerFailureDomain;
}

std::optional<JobKey> ParseJobKey(
    std::string_view text,
    const std::vector<std::string>& failure_domains,
    Error* error) {
  if (text.empty() || text.size() > kMaxKeyBytes) {
    return FailParsing(error, "a key must have 1 to 128 characters");
  }
  if (!std::all_of(text.begin(), text.end(), IsKeyCharacter)) {
    return FailParsing(error, "a key may contain only [A-Za-z0-9._:-]");
  }
  if (failure_domains.empty()) {
    return Fail(error, ErrorCode::kInternal, Step::kParsing,
                "no failure domains are configured");
  }
  JobKey key;
  key.text = text;
  const std::string_view rest = text.substr(std::min<size_t>(3, text.size()));
  if (text.starts_with("k1.")) {
    return ParseMinted(rest, failure_domains, std::move(key), error);
  }
  if (text.starts_with("t1.")) {
    return ParseStamped(rest, failure_domains, std::move(key), error);
  }
  if (text.starts_with("d1.")) {
    return ParsePlain(rest, failure_domains, std::move(key), error);
  }
  const auto hash = static_cast<uint32_t>(XXH64(text.data(), text.size(), 0));
  key.failure_domain = failure_domains[hash % failure_domains.size()];
  key.range = KeyRange(text);
  return key;
}

std::string MintJobKey(std::string_view failure_domain,
                       std::string_view vm,
                       uint64_t incarnation,
                       absl::Time minted,
                       std::string_view random) {
  std::string key = "k1.";
  key.append(failure_domain).append(".").append(vm);
  absl::StrAppend(&key, ".", incarnation, ".", absl::ToUnixMillis(minted), "-");
  return key.append(random);
}

}  // namespace radishrail
