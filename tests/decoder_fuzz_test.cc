#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "radishrail/job_json.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

constexpr int kIterations = 20000;

const std::vector<std::string>& Tokens() {
  static const auto* tokens = new std::vector<std::string>{
      "{",           "}",           "[",
      "]",           ",",           ":",
      "\"",          "\\",          "null",
      "true",        "-1",          "1e999",
      "0.5",         "1",           "\"id\"",
      "\"kind\"",    "\"tasks\"",   "\"environment\"",
      "\"payload\"", "\"\\u0000\"", "\"\\ud800\"",
      "\xff",        "\xc3",        "18446744073709551616"};
  return *tokens;
}

// Inserts, removes or overwrites parts of a valid body.
std::string MutateBody(std::string body, Random& random) {
  for (uint64_t n = 1 + random.Below(4); n > 0; --n) {
    const size_t position = random.Below(body.size() + 1);
    switch (random.Below(3)) {
      case 0:
        body.insert(position, Tokens()[random.Below(Tokens().size())]);
        break;
      case 1:
        body.erase(position, random.Below(8));
        break;
      default:
        if (position < body.size()) {
          body[position] = static_cast<char>(random.Next());
        }
    }
  }
  return body;
}

std::string GenerateBody(Random& random) {
  std::string body;
  for (uint64_t n = random.Below(40); n > 0; --n) {
    body += Tokens()[random.Below(Tokens().size())];
  }
  return body;
}

bool IsPrintable(const std::string& text) {
  for (const char it : text) {
    if (it < 0x20 || it >= 0x7f) {
      return false;
    }
  }
  return true;
}

// Guards against crashes, exceptions, accepted jobs that exceed a limit, and
// errors that contain raw bytes of the request.
void CheckJobBody(const std::string& body) {
  Error error;
  const auto job = ParseJob(body, "key", &error);
  if (!job.has_value()) {
    EXPECT_FALSE(error.ok());
    EXPECT_FALSE(error.detail.empty());
    EXPECT_TRUE(IsPrintable(error.detail)) << error.detail;
    return;
  }
  EXPECT_GE(job->tasks.size(), 1u);
  EXPECT_LE(job->tasks.size(), kMaxTasksPerJob);
  EXPECT_GE(job->deadline, kMinDeadline);
  EXPECT_LE(job->deadline, kMaxDeadline);
  const auto reparsed = ParseJob(JobToJson(*job), "key", &error);
  ASSERT_TRUE(reparsed.has_value()) << error.ToString() << "\n" << body;
  EXPECT_EQ(reparsed->body_hash, job->body_hash);
}

TEST(DecoderFuzzTest, JobBody_MutatedAndGenerated_IsRejectedOrWithinLimits) {
  const std::string valid_body =
      R"({"environment":"e","team":"t","deadline_ms":100,"tasks":[)"
      R"({"id":"a","kind":"k","payload":"p\n","declared_run_ms":1,)"
      R"("declared_slots":1,"idempotent":false},{"id":"b","kind":"k"}]})";
  for (uint64_t seed = 1; seed <= kIterations && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SeededRandom random(seed);
    CheckJobBody(random.Below(4) == 0 ? GenerateBody(random)
                                      : MutateBody(valid_body, random));
  }
}

// Guards against crashes on a malformed response to a forwarded request.
TEST(DecoderFuzzTest, JobAnswer_Mutated_IsRejectedOrWritable) {
  JobAnswer answer;
  answer.key = "k";
  answer.error = {ErrorCode::kOverloaded, Step::kAdmission, "p", "d"};
  answer.tasks = {{"a", TaskStatus::kFailed, "o", answer.error}};
  const std::string valid_body = JobAnswerToJson(answer);
  for (uint64_t seed = 1; seed <= kIterations; ++seed) {
    SeededRandom random(seed);
    Error error;
    const auto reparsed =
        ParseJobAnswer(MutateBody(valid_body, random), &error);
    if (reparsed.has_value()) {
      EXPECT_FALSE(JobAnswerToJson(*reparsed).empty());
    } else {
      EXPECT_FALSE(error.ok()) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace radishrail
