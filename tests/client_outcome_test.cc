#include "client_outcome.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

ExitCode ExitCodeOfJob(int http_status, const char* body) {
  return JobExitCode(http_status, ParseResponse(body));
}

TEST(ClientOutcomeTest, JobExitCode_CompleteOrRunning_IsDone) {
  EXPECT_EQ(ExitCodeOfJob(200, R"({"status": "complete"})"), ExitCode::kDone);
  EXPECT_EQ(ExitCodeOfJob(202, R"({"status": "running"})"), ExitCode::kDone);
}

// Guards against treating a truncated or unrelated response as success.
TEST(ClientOutcomeTest, JobExitCode_SuccessStatusWithoutAnswer_IsUnknown) {
  for (const char* it : {"", "{", "[]", "{}", R"({"status": 1})"}) {
    EXPECT_EQ(ExitCodeOfJob(200, it), ExitCode::kUnknown) << it;
  }
}

// Guards against reporting "failed" for a job whose tasks may have run.
TEST(ClientOutcomeTest, JobExitCode_FailedWithUnknownTask_IsUnknown) {
  EXPECT_EQ(ExitCodeOfJob(502, R"({"status": "failed", "tasks": [
                {"id": "a", "status": "done"},
                {"id": "b", "status": "unknown"}]})"),
            ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeOfJob(502, R"({"status": "failed",
                "error": {"code": "quarantined"}})"),
            ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeOfJob(502, "bad gateway"), ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeOfJob(502, R"({"status": "failed", "tasks": [
                {"id": "a", "status": "failed"}]})"),
            ExitCode::kFailed);
}

TEST(ClientOutcomeTest, JobExitCode_Refusals_AreRefused) {
  for (const int it : {401, 403, 404, 409, 429, 503}) {
    EXPECT_EQ(ExitCodeOfJob(it, R"({"status": "not_run"})"),
              ExitCode::kRefused);
  }
  EXPECT_EQ(ExitCodeOfJob(400, "{}"), ExitCode::kUsage);
  EXPECT_EQ(ExitCodeOfJob(500, "{}"), ExitCode::kUnknown);
}

TEST(ClientOutcomeTest, ChangeExitCode_OutcomeField_OverridesStatus) {
  const auto code = [](int status, const char* body) {
    return ChangeExitCode(status, ParseResponse(body));
  };
  EXPECT_EQ(code(200, R"({"outcome": "accepted"})"), ExitCode::kDone);
  EXPECT_EQ(code(409, R"({"outcome": "rejected"})"), ExitCode::kRefused);
  EXPECT_EQ(code(503, R"({"outcome": "rejected"})"), ExitCode::kRefused);
  EXPECT_EQ(code(503, R"({"outcome": "unknown"})"), ExitCode::kUnknown);
  EXPECT_EQ(code(503, ""), ExitCode::kUnknown);
  EXPECT_EQ(code(409, ""), ExitCode::kRefused);
}

TEST(ClientOutcomeTest, ErrorOfResponse_NestedFlatOrMissing_IsRead) {
  Error error =
      ErrorOfResponse(503, ParseResponse(R"({"error": {"code": "lease_invalid",
                        "step": "ownership", "peer": "vm-2",
                        "detail": "expired"}})"),
                      "10.0.0.1:1");
  EXPECT_EQ(error.ToString(), "ownership: lease_invalid: expired (peer vm-2)");
  error = ErrorOfResponse(
      429, ParseResponse(R"({"code": "quota_exceeded", "step": "quota"})"),
      "10.0.0.1:1");
  EXPECT_EQ(error.code, ErrorCode::kQuotaExceeded);
  EXPECT_EQ(error.peer, "10.0.0.1:1");
  error = ErrorOfResponse(401, ParseResponse("no JSON"), "10.0.0.1:1");
  EXPECT_EQ(error.code, ErrorCode::kUnauthenticated);
  // Guards against showing the code of a newer release as another code.
  error = ErrorOfResponse(400, ParseResponse(R"({"code": "new_code"})"), "");
  EXPECT_EQ(error.detail, "new_code: ");
}

}  // namespace
}  // namespace radishrail::internal
