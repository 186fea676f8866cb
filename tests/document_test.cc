#include "radishrail/document.h"

#include <nlohmann/json.hpp>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

using ::testing::HasSubstr;

constexpr char kBooking[] =
    R"({"environment": "booking", "caller_tokens": ["t-1", "t-2"],
        "promised_ms": 1500, "upstream_classes": ["runner"],
        "max_queued_tasks": 500,
        "teams": [{"name": "counter", "share": 3, "max_running_tasks": 200},
                  {"name": "web"}],
        "retry": {"max_attempts": 4, "backoff_ms": 30, "budget_percent": 5}})";

std::string ErrorOf(std::string_view body) {
  Error error;
  EXPECT_FALSE(ParseDocument(body, &error).has_value()) << body;
  return error.detail;
}

TEST(DocumentTest, Parse_AllFields_SetsValues) {
  Error error;
  const auto document = ParseDocument(kBooking, &error);
  ASSERT_TRUE(document.has_value()) << error.ToString();
  EXPECT_EQ(document->environment, "booking");
  EXPECT_EQ(document->promised, absl::Milliseconds(1500));
  EXPECT_EQ(document->max_queued_tasks, 500);
  EXPECT_EQ(document->upstream_classes, std::vector<std::string>{"runner"});
  ASSERT_NE(document->FindTeam("counter"), nullptr);
  EXPECT_EQ(document->FindTeam("counter")->share, 3);
  EXPECT_EQ(document->FindTeam("web")->max_running_tasks, 0);
  EXPECT_EQ(document->FindTeam("unknown"), nullptr);
  EXPECT_EQ(document->retry.max_attempts, 4);
  EXPECT_EQ(document->retry.backoff, absl::Milliseconds(30));
  EXPECT_EQ(document->retry.budget_percent, 5);
}

TEST(DocumentTest, Parse_EnvironmentOnly_GivesDefaults) {
  Error error;
  const auto document = ParseDocument(R"({"environment": "a"})", &error);
  ASSERT_TRUE(document.has_value()) << error.ToString();
  EXPECT_EQ(document->promised, absl::Seconds(2));
  EXPECT_EQ(document->retry.max_attempts, 3);
  EXPECT_FALSE(document->AllowsToken(""));
}

TEST(DocumentTest, Parse_InvalidField_IsNamedInTheError) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"({})", "environment"},
      {R"({"environment": "a b"})", "environment"},
      {R"({"environment": "a", "promise_ms": 1})", "promise_ms is unknown"},
      {R"({"environment": "a", "promised_ms": 0})", "promised_ms"},
      {R"({"environment": "a", "promised_ms": 1.5})", "promised_ms"},
      {R"({"environment": "a", "promised_ms": "1"})", "promised_ms"},
      {R"({"environment": "a", "promised_ms": 18446744073709551615})",
       "promised_ms"},
      {R"({"environment": "a", "max_queued_tasks": 1e300})",
       "max_queued_tasks"},
      {R"({"environment": "a", "caller_tokens": "t"})", "caller_tokens"},
      {R"({"environment": "a", "caller_tokens": ["t", ""]})",
       "caller_tokens[1]"},
      {R"({"environment": "a", "upstream_classes": [1]})",
       "upstream_classes[0]"},
      {R"({"environment": "a", "teams": [1]})", "teams[0]"},
      {R"({"environment": "a", "teams": [{"name": "x", "share": 0}]})",
       "teams[0].share"},
      {R"({"environment": "a", "teams": [{"name": "x"}, {"name": "x"}]})",
       "teams[1].name"},
      {R"({"environment": "a", "teams": [{"name": "x", "quota": 1}]})",
       "teams[0].quota is unknown"},
      {R"({"environment": "a", "retry": []})", "retry"},
      {R"({"environment": "a", "retry": {"max_attempts": 0}})",
       "retry.max_attempts"},
  };
  for (const auto& [body, expected] : cases) {
    EXPECT_THAT(ErrorOf(body), HasSubstr(expected));
  }
}

// Guards against duplicate names in an object, of which the last would silently
// win; other JSON parsers may resolve them differently.
TEST(DocumentTest, Parse_RepeatedField_Fails) {
  EXPECT_THAT(ErrorOf(R"({"environment": "a", "environment": "b"})"),
              HasSubstr("environment"));
}

TEST(DocumentTest, Parse_MalformedJson_Fails) {
  for (const char* it : {"", "{", "[]", "1", "{\"environment\": \"a\"} x",
                         "{\"environment\": \"\xff\"}"}) {
    EXPECT_FALSE(ErrorOf(it).empty());
  }
  EXPECT_THAT(ErrorOf(std::string(300 * 1024, ' ')), HasSubstr("bytes"));
  EXPECT_FALSE(ErrorOf(std::string(100000, '[')).empty());
}

// Guards against crashes of the parser on altered documents.
TEST(DocumentTest, Parse_AlteredDocuments_NeverCrashes) {
  SeededRandom random(1);
  const std::string good = kBooking;
  for (int i = 0; i < 20000; ++i) {
    std::string buf = good.substr(0, good.size() - random.Below(4) / 3);
    for (size_t n = random.Below(4) + 1; n > 0; --n) {
      buf[random.Below(buf.size())] = static_cast<char>(random.Next());
    }
    Error error;
    const auto document = ParseDocument(buf, &error);
    EXPECT_EQ(document.has_value(), error.ok()) << buf;
  }
}

TEST(DocumentTest, SecretsEqual_DifferentLengthOrContent_IsFalse) {
  EXPECT_TRUE(SecretsEqual("secret", "secret"));
  EXPECT_TRUE(SecretsEqual("", ""));
  for (const char* it :
       {"", "s", "secre", "secreT", "secretsecret", "xecret"}) {
    EXPECT_FALSE(SecretsEqual(it, "secret")) << it;
  }
  EXPECT_FALSE(SecretsEqual("secret", ""));
}

TEST(DocumentTest, AllowsToken_AnyListedToken_IsTrue) {
  Error error;
  const auto document = ParseDocument(kBooking, &error);
  ASSERT_TRUE(document.has_value());
  EXPECT_TRUE(document->AllowsToken("t-1"));
  EXPECT_TRUE(document->AllowsToken("t-2"));
  EXPECT_FALSE(document->AllowsToken("t-3"));
}

}  // namespace
}  // namespace radishrail
