#include "radishrail/job_json.h"

#include <string>

#include "gtest/gtest.h"

namespace radishrail {
namespace {

constexpr std::string_view kBody =
    R"({"environment":"booking","team":"counter","deadline_ms":5000,"tasks":[)"
    R"({"id":"t1","kind":"quote","payload":"a\"é","declared_run_ms":120,)"
    R"("declared_slots":2,"idempotent":true},{"id":"t2","kind":"quote"}]})";

std::string WithTask(const std::string& fields) {
  return R"({"environment":"e","tasks":[{"id":"a","kind":"k",)" + fields +
         "}]}";
}

Error ErrorOf(std::string_view body) {
  Error error;
  EXPECT_FALSE(ParseJob(body, "key", &error).has_value()) << body;
  return error;
}

struct BadBody {
  std::string name;
  std::string body;
  std::vector<std::string> parts;  // that the error must contain
};

class JobJsonRejectTest : public testing::TestWithParam<BadBody> {};

// Guards against errors from which the caller cannot locate the mistake.
TEST_P(JobJsonRejectTest, Parse_BadBody_NamesFieldAllowedAndFound) {
  const Error error = ErrorOf(GetParam().body);
  EXPECT_NE(error.code, ErrorCode::kOk);
  EXPECT_NE(error.code, ErrorCode::kInternal);
  EXPECT_EQ(error.step, Step::kParsing);
  for (const auto& it : GetParam().parts) {
    EXPECT_NE(error.detail.find(it), std::string::npos) << error.detail;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    JobJsonRejectTest,
    testing::Values(
        BadBody{"Empty", "", {"body", "valid JSON"}},
        BadBody{"Array", "[]", {"body must be an object", "an array"}},
        BadBody{"UnknownJobField",
                R"({"enviroment":"e"})",
                {"environment, team", "'enviroment'"}},
        BadBody{"UnknownTaskField",
                WithTask(R"("slots":1)"),
                {"tasks[0]", "declared_slots", "'slots'"}},
        BadBody{"RepeatedField",
                R"({"environment":"e","environment":"f"})",
                {"environment", "once"}},
        BadBody{"MissingEnvironment",
                R"({"tasks":[{"id":"a","kind":"k"}]})",
                {"environment is required"}},
        BadBody{"MissingKind",
                R"({"environment":"e","tasks":[{"id":"a"}]})",
                {"tasks[0].kind is required"}},
        BadBody{"NoTasks",
                R"({"environment":"e","tasks":[]})",
                {"tasks", "1 to 512", "found 0"}},
        BadBody{"NullTasks",
                R"({"environment":"e","tasks":null})",
                {"tasks", "array", "null"}},
        BadBody{"DeadlineZero",
                R"({"deadline_ms":0})",
                {"deadline_ms", "1 to 570000", "found 0"}},
        BadBody{"DeadlineTooLong",
                R"({"deadline_ms":570001})",
                {"deadline_ms", "1 to 570000", "570001"}},
        BadBody{"DeadlineNegative",
                R"({"deadline_ms":-5})",
                {"deadline_ms", "1 to 570000", "-5"}},
        BadBody{"DeadlineFraction",
                R"({"deadline_ms":1.5})",
                {"deadline_ms", "integer", "1.5"}},
        BadBody{"DeadlineString",
                R"({"deadline_ms":"5"})",
                {"deadline_ms", "integer", "a string"}},
        BadBody{"DeadlineHuge",
                R"({"deadline_ms":99999999999999999999999})",
                {"deadline_ms", "integer", "99999999999999999999999"}},
        BadBody{"DeadlineOverflow",
                R"({"deadline_ms":1e999})",
                {"deadline_ms"}},
        BadBody{"SlotsZero",
                WithTask(R"("declared_slots":0)"),
                {"tasks[0].declared_slots", "1 to 1024", "found 0"}},
        BadBody{"IdempotentNumber",
                WithTask(R"("idempotent":1)"),
                {"tasks[0].idempotent", "true or false", "1"}},
        BadBody{"PayloadObject",
                WithTask(R"("payload":{})"),
                {"tasks[0].payload", "a string", "an object"}},
        BadBody{"IdControlCharacter",
                R"({"environment":"e","tasks":[{"id":"a\u0000"}]})",
                {"tasks[0].id", "control characters"}},
        BadBody{"TeamTooLong",
                R"({"team":")" + std::string(129, 'x') + R"("})",
                {"team", "128 bytes", "129"}},
        BadBody{"RepeatedId",
                R"({"environment":"e","tasks":[{"id":"a","kind":"k"},)"
                R"({"id":"a","kind":"k"}]})",
                {"tasks[1].id", "unique", "'a'", "tasks[0]"}},
        BadBody{"InvalidUtf8",
                WithTask("\"payload\":\"\xff\""),
                {"tasks[0].payload", "UTF-8"}},
        BadBody{"TrailingText",
                std::string(kBody) + "x",
                {"body", "valid JSON"}},
        BadBody{"DeepNesting",
                R"({"environment":"e","tasks":)" + std::string(100000, '['),
                {"tasks[0]", "an array"}},
        BadBody{"DeepNestingAtRoot", std::string(1000000, '{'), {"body"}}),
    [](const auto& info) { return info.param.name; });

TEST(JobJsonTest, Parse_FullBody_KeepsAllFields) {
  Error error;
  const auto job = ParseJob(kBody, "my-key", &error);
  ASSERT_TRUE(job.has_value()) << error.ToString();
  EXPECT_EQ(job->key, "my-key");
  EXPECT_EQ(job->environment, "booking");
  EXPECT_EQ(job->team, "counter");
  EXPECT_EQ(job->deadline, absl::Seconds(5));
  ASSERT_EQ(job->tasks.size(), 2u);
  EXPECT_EQ(job->tasks[0].payload, "a\"é");
  EXPECT_EQ(job->tasks[0].declared_run, absl::Milliseconds(120));
  EXPECT_EQ(job->tasks[0].declared_slots, 2);
  EXPECT_TRUE(job->tasks[0].idempotent);
  EXPECT_EQ(job->tasks[1].declared_slots, 1);
}

// Guards against a conflict answer to a resubmission that differs only in
// whitespace, order of fields or explicit defaults.
TEST(JobJsonTest, Parse_SameJobInOtherLayout_HasSameHash) {
  const auto a = ParseJob(kBody, "k", nullptr);
  const auto b = ParseJob(JobToJson(*a), "k", nullptr);
  const auto c = ParseJob(
      R"( {"tasks": [{"kind":"quote","idempotent":true,"declared_slots":2,
      "declared_run_ms":120,"payload":"a\u0022\u00e9","id":"t1"},
      {"id":"t2","kind":"quote","payload":""}],
      "deadline_ms":5000,"team":"counter","environment":"booking"} )",
      "k", nullptr);
  ASSERT_TRUE(a.has_value() && b.has_value() && c.has_value());
  EXPECT_EQ(a->body_hash, b->body_hash);
  EXPECT_EQ(a->body_hash, c->body_hash);
}

// Guards against joining a job with another body under the same key.
TEST(JobJsonTest, Parse_OtherPayload_HasOtherHash) {
  const auto a = ParseJob(WithTask(R"("payload":"1")"), "k", nullptr);
  const auto b = ParseJob(WithTask(R"("payload":"2")"), "k", nullptr);
  EXPECT_NE(a->body_hash, b->body_hash);
}

TEST(JobJsonTest, Parse_513Tasks_IsTooLarge) {
  std::string body = R"({"environment":"e","tasks":[)";
  for (int i = 0; i < 513; ++i) {
    body += (i > 0 ? "," : "") + (R"({"kind":"k","id":")" + std::to_string(i)) +
            "\"}";
  }
  EXPECT_EQ(ErrorOf(body + "]}").code, ErrorCode::kTooLarge);
}

TEST(JobJsonTest, Parse_BodyOver4MiB_IsTooLarge) {
  EXPECT_EQ(ErrorOf(std::string(kMaxJobBodyBytes + 1, ' ')).code,
            ErrorCode::kTooLarge);
}

TEST(JobJsonTest, Answer_RoundTrip_KeepsFields) {
  JobAnswer answer;
  answer.key = "k";
  answer.environment = "e";
  answer.status = JobStatus::kFailed;
  answer.document_version = 3;
  answer.retry_after = absl::Milliseconds(40);
  answer.error = {ErrorCode::kUpstreamFailed, Step::kExecution, "p", "d\n"};
  answer.tasks = {{"t1", TaskStatus::kDone, "out\"", {}},
                  {"t2", TaskStatus::kUnknown, "", answer.error}};
  Error error;
  const auto copy = ParseJobAnswer(JobAnswerToJson(answer), &error);
  ASSERT_TRUE(copy.has_value()) << error.ToString();
  EXPECT_EQ(JobAnswerToJson(*copy), JobAnswerToJson(answer));
  EXPECT_EQ(copy->tasks[0].output, "out\"");
  EXPECT_EQ(copy->tasks[1].error.code, ErrorCode::kUpstreamFailed);
  EXPECT_EQ(copy->retry_after, absl::Milliseconds(40));
}

// Guards against an exception when an upstream sends bytes that are not UTF-8.
TEST(JobJsonTest, Answer_OutputNotUtf8_IsValidJson) {
  JobAnswer answer;
  answer.status = JobStatus::kComplete;
  answer.tasks = {{"t1", TaskStatus::kDone, "\xff\xfe", {}}};
  EXPECT_TRUE(ParseJobAnswer(JobAnswerToJson(answer), nullptr).has_value());
}

TEST(JobJsonTest, Answer_Malformed_FailsWithError) {
  for (const char* body :
       {"", "[]", "{}", R"({"key":1})",
        R"({"key":"k","environment":"e","status":"x","tasks":[]})"}) {
    Error error;
    EXPECT_FALSE(ParseJobAnswer(body, &error).has_value()) << body;
    EXPECT_FALSE(error.ok());
  }
  EXPECT_FALSE(ParseJobAnswer(std::string(100000, '['), nullptr).has_value());
}

TEST(JobJsonTest, HttpStatus_FollowsStatusAndError) {
  JobAnswer answer;
  EXPECT_EQ(HttpStatusOf(answer), 202);
  answer.status = JobStatus::kComplete;
  EXPECT_EQ(HttpStatusOf(answer), 200);
  answer.status = JobStatus::kFailed;
  EXPECT_EQ(HttpStatusOf(answer), 502);
  answer.status = JobStatus::kNotRun;
  EXPECT_EQ(HttpStatusOf(answer), 503);
  answer.error.code = ErrorCode::kQuotaExceeded;
  EXPECT_EQ(HttpStatusOf(answer), 429);
  answer.error.code = ErrorCode::kConflict;
  EXPECT_EQ(HttpStatusOf(answer), 409);
  EXPECT_EQ(HttpStatusOf(Error{ErrorCode::kTooLarge, {}, "", ""}), 413);
  EXPECT_EQ(HttpStatusOf(Error{ErrorCode::kDraining, {}, "", ""}), 503);
}

}  // namespace
}  // namespace radishrail
