#include "radishrail/settings.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::Not;

class SettingsTest : public ::testing::Test {
 protected:
  static constexpr char kMinimal[] =
      "[daemon]\n"
      "vm = vm-1\n"
      "failure_domain = north\n"
      "failure_domains = north, south\n"
      "[peers]\n"
      "cluster_key = cluster-secret\n"
      "[operators]\n"
      "token = operator-secret\n";

  static std::string ErrorOf(const std::string& text) {
    Error error;
    EXPECT_FALSE(ParseSettings(text, "test.ini", &error).has_value()) << text;
    EXPECT_EQ(error.step, Step::kSettings);
    return error.detail;
  }
  static std::string ErrorWith(const std::string& addition) {
    return ErrorOf(absl::StrCat(kMinimal, addition));
  }
};

TEST_F(SettingsTest, Parse_RequiredKeysOnly_GivesDefaults) {
  Error error;
  const auto settings = ParseSettings(kMinimal, "test.ini", &error);
  ASSERT_TRUE(settings.has_value()) << error.ToString();
  EXPECT_EQ(settings->vm, "vm-1");
  EXPECT_EQ(settings->failure_domains,
            (std::vector<std::string>{"north", "south"}));
  EXPECT_EQ(settings->lease_length, absl::Seconds(10));
  EXPECT_EQ(settings->max_body_bytes, 4u * 1024 * 1024);
}

TEST_F(SettingsTest, Parse_AllTypes_SetsValues) {
  Error error;
  const auto settings = ParseSettings(
      absl::StrCat("; comment\n# comment\n", kMinimal,
                   "[platform]\n  address = 10.0.0.1:80 ; comment\r\n"
                   "timeout = 250ms\n"
                   "[requests]\nmax_body_bytes = 2048\nidle_timeout = 5s\n"
                   "[daemon]\nlog_level = debug\nweight = 7\n"
                   "cpu_share = 0.09\n"
                   "[peers]\nseeds = 10.0.0.2:1, 10.0.0.3:2\n"
                   "[scheduling]\nadmission = reserved\n"
                   "shares = admission\n"),
      "test.ini", &error);
  ASSERT_TRUE(settings.has_value()) << error.ToString();
  EXPECT_EQ(settings->admission, AdmissionPolicy::kReserved);
  EXPECT_EQ(settings->shares, SharePolicy::kAdmission);
  EXPECT_EQ(settings->platform_address, "10.0.0.1:80");
  EXPECT_EQ(settings->platform_timeout, absl::Milliseconds(250));
  EXPECT_EQ(settings->max_body_bytes, 2048u);
  EXPECT_EQ(settings->idle_timeout, absl::Seconds(5));
  EXPECT_EQ(settings->log_level, LogLevel::kDebug);
  EXPECT_EQ(settings->weight, 7u);
  EXPECT_EQ(settings->cpu_millicores, 90u);
  EXPECT_EQ(settings->seeds.size(), 2u);
}

TEST_F(SettingsTest, Parse_UnknownKey_NamesFileSectionKeyLineAndAllowed) {
  EXPECT_THAT(ErrorWith("[lease]\nlenght = 10s\n"),
              AllOf(HasSubstr("test.ini"), HasSubstr("line 10"),
                    HasSubstr("[lease] lenght"), HasSubstr("renew_interval")));
}

// The library does not report sections without keys, so that an unknown one
// could go unnoticed.
TEST_F(SettingsTest, Parse_UnknownSectionWithoutKeys_Fails) {
  EXPECT_THAT(ErrorWith("[leases]\n"),
              AllOf(HasSubstr("line 9"), HasSubstr("[leases]"),
                    HasSubstr("operators")));
}

TEST_F(SettingsTest, Parse_DuplicateKey_NamesBothLines) {
  EXPECT_THAT(ErrorWith("[daemon]\nvm = vm-2\n"),
              AllOf(HasSubstr("line 10"), HasSubstr("line 2"),
                    HasSubstr("[daemon] vm")));
}

TEST_F(SettingsTest, Parse_MissingRequiredKey_NamesIt) {
  EXPECT_THAT(
      ErrorOf("[daemon]\nvm = vm-1\n"),
      AllOf(HasSubstr("[daemon] failure_domain"), HasSubstr("required")));
}

TEST_F(SettingsTest, Parse_MalformedLine_NamesLine) {
  EXPECT_THAT(ErrorWith("nonsense\n"), HasSubstr("line 9"));
  EXPECT_THAT(ErrorWith("[daemon\n"), HasSubstr("line 9"));
  EXPECT_THAT(ErrorOf("vm = x\n"), HasSubstr("before any [section]"));
}

TEST_F(SettingsTest, Parse_ValueOutOfRangeOrMalformed_Fails) {
  for (const char* it : {"[daemon]\nweight = 0",
                         "[daemon]\nweight = 1001",
                         "[daemon]\nweight = 1x",
                         "[daemon]\nweight = -1",
                         "[daemon]\nweight =",
                         "[daemon]\nweight = 99999999999999999999",
                         "[daemon]\nlog_level = loud",
                         "[scheduling]\nadmission = all",
                         "[scheduling]\nshares = all",
                         "[daemon]\ncaller_address = host:80",
                         "[daemon]\ncaller_address = 127.0.0.1",
                         "[daemon]\ncaller_address = 127.0.0.256:80",
                         "[daemon]\ncaller_address = 127.0.0.1:65536",
                         "[platform]\ntimeout = 10",
                         "[platform]\ntimeout = 99ms",
                         "[platform]\ntimeout = 1.5s",
                         "[platform]\ntimeout = 61s",
                         "[platform]\ntimeout = -1s",
                         "[platform]\ntimeout = s",
                         "[requests]\nmax_body_bytes = 4194305",
                         "[peers]\nseeds = 127.0.0.1:1,,127.0.0.1:2"}) {
    EXPECT_THAT(ErrorWith(it),
                AllOf(HasSubstr("line 10"), HasSubstr("allowed")));
  }
}

TEST_F(SettingsTest, Parse_InvalidVmName_Fails) {
  for (const char* it :
       {"vm.1", "", "vm 1", "a23456789012345678901234567890123"}) {
    EXPECT_THAT(ErrorOf(absl::StrReplaceAll(kMinimal, {{"vm-1", it}})),
                HasSubstr("[daemon] vm"));
  }
}

TEST_F(SettingsTest, Parse_FailureDomainNotListed_Fails) {
  EXPECT_THAT(
      ErrorOf(absl::StrReplaceAll(kMinimal, {{"= north\n", "= west\n"}})),
      AllOf(HasSubstr("line 3"), HasSubstr("north, south")));
}

// Guards against a lease that is too short for two renewals to fail before it
// expires.
TEST_F(SettingsTest, Parse_RenewIntervalOverAThirdOfLength_Fails) {
  EXPECT_THAT(ErrorWith("[lease]\nlength = 8s\n"),
              AllOf(HasSubstr("[lease] renew_interval"), HasSubstr("8s")));
  Error error;
  EXPECT_TRUE(ParseSettings(absl::StrCat(kMinimal, "[lease]\nlength = 9s\n"),
                            "test.ini", &error));
}

// Guards against a long list that the library's line buffer would truncate.
TEST_F(SettingsTest, Parse_LongLine_IsReadWholeOrRefused) {
  std::string seeds = "127.0.0.1:1000";
  for (int i = 1001; i < 1300; ++i) {
    absl::StrAppend(&seeds, ",127.0.0.1:", i);
  }
  Error error;
  const auto settings = ParseSettings(
      absl::StrCat(kMinimal, "[peers]\nseeds = ", seeds), "test.ini", &error);
  ASSERT_TRUE(settings.has_value()) << error.ToString();
  EXPECT_EQ(settings->seeds.size(), 300u);
  EXPECT_THAT(
      ErrorWith(absl::StrCat("[peers]\nseeds = ", std::string(9000, '1'))),
      HasSubstr("at most"));
}

// Guards against secrets in logs and in the output of `config check`.
TEST_F(SettingsTest, Render_Secrets_AreReplaced) {
  Error error;
  const auto settings = ParseSettings(kMinimal, "test.ini", &error);
  ASSERT_TRUE(settings.has_value());
  EXPECT_THAT(RenderSettings(*settings),
              AllOf(HasSubstr("vm = vm-1"), HasSubstr("token = ****"),
                    Not(HasSubstr("-secret"))));
  EXPECT_THAT(ErrorWith("[operators]\ntoken = another-secret\n"),
              Not(HasSubstr("another-secret")));
  EXPECT_THAT(
      ErrorOf(absl::StrReplaceAll(kMinimal, {{"operator-secret", "s3cret"}})),
      Not(HasSubstr("s3cret")));
}

TEST_F(SettingsTest, Render_EffectiveSettings_ParseToTheSame) {
  Error error;
  const auto settings = ParseSettings(kMinimal, "test.ini", &error);
  ASSERT_TRUE(settings.has_value());
  const std::string text = RenderSettings(*settings);
  const auto copy = ParseSettings(text, "copy.ini", &error);
  ASSERT_TRUE(copy.has_value()) << error.ToString();
  EXPECT_EQ(RenderSettings(*copy), text);
}

// Guards against a reload that does not report the changed settings that take
// effect only after a restart.
TEST_F(SettingsTest, ChangedKeys_TwoValuesDiffer_NamesBoth) {
  Settings before;
  Settings after = before;
  EXPECT_TRUE(ChangedKeys(before, after).empty());
  after.max_connections = before.max_connections + 1;
  after.log_level = LogLevel::kDebug;
  EXPECT_EQ(ChangedKeys(before, after),
            (std::vector<std::string>{"[daemon] log_level",
                                      "[requests] max_connections"}));
}

// Guards against a page that differs from the settings that the daemon reads.
TEST_F(SettingsTest, Reference_ConfigurationPage_ContainsIt) {
  const auto page = std::filesystem::path(__FILE__).parent_path() / ".." /
                    "docs" / "configuration.md";
  std::ifstream file(page);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  ASSERT_FALSE(text.empty());
  EXPECT_THAT(text, HasSubstr(SettingsReference()));
}

// Guards against an invalid example on the page.
TEST_F(SettingsTest, Parse_ExampleOfConfigurationPage_Succeeds) {
  const auto page = std::filesystem::path(__FILE__).parent_path() / ".." /
                    "docs" / "configuration.md";
  std::ifstream file(page);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const size_t begin = text.find("```ini\n") + 7;
  Error error;
  EXPECT_TRUE(ParseSettings(text.substr(begin, text.find("```", begin) - begin),
                            "example", &error))
      << error.ToString();
}

TEST_F(SettingsTest, Load_MissingFile_NamesPath) {
  Error error;
  EXPECT_FALSE(LoadSettings("/nonexistent/radishrail.ini", &error));
  EXPECT_THAT(error.detail, HasSubstr("/nonexistent/radishrail.ini"));
}

}  // namespace
}  // namespace radishrail
