#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <new>
#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"
#include "radishrail/job_json.h"
#include "radishrail/random.h"
#include "wire.h"

namespace {

// Bytes allocated now, and the most since the last reset.
size_t allocated_bytes = 0;
size_t peak_bytes = 0;

}  // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocated_bytes += malloc_usable_size(memory);
  peak_bytes = std::max(peak_bytes, allocated_bytes);
  return memory;
}

void operator delete(void* memory) noexcept {
  allocated_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  operator delete(memory);
}

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

constexpr size_t kLargeBodyBytes = 256 * 1024;
// Of what a decoder may allocate for a large body.
constexpr size_t kMaxDecodingBytes = 16 * kLargeBodyBytes;

// A body of up to the largest size that consists of small elements after one of
// the starts.
template <size_t N>
std::string GenerateLargeBody(const std::array<std::string_view, N>& starts,
                              Random& random) {
  constexpr std::array<std::string_view, 10> kElements = {
      "[",   "[],", "{},",       "0,",         "{\"\":",
      "\"a", "[[]", R"({"id":)", "{\"a\":0},", "x"};
  constexpr std::array<std::string_view, 4> kEnds = {"", "0]}", "\"}]}",
                                                     "0]}]}"};
  std::string body(starts[random.Below(starts.size())]);
  const std::string_view first = kElements[random.Below(kElements.size())];
  const std::string_view second = kElements[random.Below(kElements.size())];
  const size_t size = random.Below(kLargeBodyBytes);
  while (body.size() < size) {
    body += random.Below(64) == 0 ? second : first;
  }
  body += kEnds[random.Below(kEnds.size())];
  return body;
}

// The most memory that `decode` has allocated at a time.
template <typename Decode>
size_t PeakOf(const Decode& decode) {
  const size_t before = allocated_bytes;
  peak_bytes = before;
  decode();
  return peak_bytes - before;
}

// Guards against bodies of legal size that cost many times their size to parse:
// many small elements, deep nesting, and values that are copied for each task.
TEST(DecoderFuzzTest, JobBody_OfManySmallElements_CostsBoundedMemory) {
  constexpr std::array<std::string_view, 5> kStarts = {
      "", R"({"bestEffort":true,"steps":[)",
      R"({"bestEffort":true,"steps":[{"count":512,"dependsOn":[)",
      R"({"bestEffort":true,"steps":[{"count":512,"affinity":")",
      R"({"environment":"e","tasks":[)"};
  for (uint64_t seed = 1; seed <= 1000 && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SeededRandom random(seed);
    const std::string body = GenerateLargeBody(kStarts, random);
    EXPECT_LE(PeakOf([&] {
                Error error;
                platform::DecodeJob(body, &error);
                ParseJob(body, "key", &error);
              }),
              kMaxDecodingBytes);
  }
}

// Guards against the same in the answers and entries of runners and in the
// answers of the store, one of which would end the process.
TEST(DecoderFuzzTest, Answer_OfManySmallElements_CostsBoundedMemory) {
  constexpr std::array<std::string_view, 5> kStarts = {
      "", R"({"running":[)", R"({"running":[],"endedRuns":[)", R"({"rows":[)",
      R"({"routes":[)"};
  for (uint64_t seed = 1; seed <= 1000 && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SeededRandom random(seed);
    const std::string body = GenerateLargeBody(kStarts, random);
    EXPECT_LE(PeakOf([&] {
                Error error;
                platform::DecodeOrderReply(200, body);
                platform::DecodeHoldReply(200, body);
                platform::DecodeRunnerEntry("id", body, &error);
                platform::DecodeConfig(body, &error);
                platform::DecodeRows(body, &error);
              }),
              kMaxDecodingBytes);
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
