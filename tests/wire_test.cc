#include "wire.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail::platform {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

class WireTest : public testing::Test {
 protected:
  static std::string Job(const std::string& step,
                         const std::string& fields = "\"bestEffort\":true,") {
    return absl::StrCat("{", fields, "\"spec\":\"text\",\"steps\":[{", step,
                        "}]}");
  }
  static std::string Entry(const std::string& state) {
    return absl::StrCat(
        R"({"service":"svc","address":"10.0.0.1:80","zone":"z1","state":")",
        state,
        R"(","capacity":{"cpu":16000,"memMb":32768,"gpu":0},"born":77})");
  }
  Error error_;
};

TEST_F(WireTest, DecodeJob_OneStep_ReturnsItsTasks) {
  const auto job = DecodeJob(
      Job(R"("count":3,"cpu":6800,"memMb":64,"estimateMs":51)"), &error_);
  ASSERT_TRUE(job.has_value()) << error_.ToString();
  ASSERT_EQ(job->tasks.size(), 3u);
  EXPECT_EQ(job->tasks[2].id, "0.0.2");
  EXPECT_EQ(job->tasks[0].declared_slots, 28);  // 250 millicores each
  EXPECT_EQ(job->tasks[0].declared_run, absl::Milliseconds(51));
  EXPECT_TRUE(job->tasks[0].restartable);
  EXPECT_EQ(job->payload, "text");
}

// Guards against jobs that cost many times the size of their body.
TEST_F(WireTest, DecodeJob_LongTextsOrManyValues_AreRefused) {
  const std::string longest_spec(16'000, 'x');
  EXPECT_TRUE(DecodeJob(R"({"bestEffort":true,"spec":")" + longest_spec +
                            R"(","steps":[{"count":1}]})",
                        &error_)
                  .has_value());
  EXPECT_FALSE(DecodeJob(R"({"bestEffort":true,"spec":"x)" + longest_spec +
                             R"(","steps":[{"count":1}]})",
                         &error_)
                   .has_value());
  EXPECT_EQ(error_.code, ErrorCode::kInvalidArgument);
  const std::string rack(201, 'r');
  EXPECT_FALSE(
      DecodeJob(Job(R"("count":2,"affinity":")" + rack + "\""), &error_)
          .has_value());
  EXPECT_EQ(error_.code, ErrorCode::kInvalidArgument);
  std::string list = "0";
  for (int i = 0; i < 20'000; ++i) {
    list += ",0";
  }
  EXPECT_FALSE(
      DecodeJob(Job(R"("count":1,"dependsOn":[)" + list + "]"), &error_)
          .has_value());
  // Status 503, which promises that the job never runs.
  EXPECT_EQ(error_.code, ErrorCode::kInfeasible);
}

// Guards against running a job while ignoring one of its requirements.
TEST_F(WireTest, DecodeJob_UnsupportedFeature_IsInfeasible) {
  for (const char* it :
       {R"("count":1,"gang":true)", R"("count":1,"sameRack":true)",
        R"("count":1,"allowDuplicates":true)", R"("count":1,"perpetual":true)",
        R"("count":1,"fills":true)", R"("count":1,"requires":"gpu")",
        R"("count":1,"antiAffinity":2)", R"("count":1,"mayMiss":1)",
        R"("count":1,"targetMs":50)"}) {
    EXPECT_FALSE(DecodeJob(Job(it), &error_).has_value()) << it;
    EXPECT_EQ(error_.code, ErrorCode::kInfeasible) << it;
  }
  EXPECT_FALSE(DecodeJob(Job(R"("count":1)", ""), &error_).has_value());
  EXPECT_THAT(error_.detail, HasSubstr("stored"));
}

// Guards against a daemon that ends with an exception since a client named a
// job by bytes that are no text.
TEST_F(WireTest, EncodeOrders_TextIsNotUtf8_IsReplaced) {
  StartOrder start;
  start.job_key = "\xff\xfe";
  start.task_id = "0.0.0";
  start.payload = "\xc3";
  EXPECT_THAT(EncodeStart(start), HasSubstr("0.0.0"));
  StopOrder stop;
  stop.job_key = "\xff";
  stop.task_id = "0.0.0";
  EXPECT_THAT(EncodeStop(stop), HasSubstr("0.0.0"));
}

// Guards against claims of pools that wait behind the writes of all other rows
// in a slow store, which executes the transactions of a part one by one.
TEST_F(WireTest, EncodeTransaction_RowOfPool_HasPartOfItsOwn) {
  Transaction claim;
  claim.checks.push_back({"pools/yard", 4});
  claim.writes.push_back({"pools/yard", "x"});
  EXPECT_THAT(EncodeTransaction(claim), HasSubstr(R"("part":"yard")"));
  EXPECT_THAT(EncodeTransaction(claim), Not(HasSubstr(R"("part":"")")));
  EXPECT_EQ(SplitKey("pools/yard").part, "yard");
  EXPECT_EQ(SplitKey("members/vm").part, "");
}

// Guards against names of tasks that cannot be split again.
TEST_F(WireTest, IsJobId_OtherCharactersOrLength_IsFalse) {
  EXPECT_TRUE(IsJobId("5c0e7a21d94b36f8"));
  EXPECT_TRUE(IsJobId("a-B_9"));
  for (const char* it : {"", "\xff", "a.b", "a/b", "a b", "a\n"}) {
    EXPECT_FALSE(IsJobId(it)) << it;
  }
  EXPECT_FALSE(IsJobId(std::string(65, 'a')));
}

TEST_F(WireTest, DecodeJob_Malformed_IsInvalid) {
  for (const char* it : {"", "[]", "{", "{\"steps\":[]}"}) {
    EXPECT_FALSE(DecodeJob(it, &error_).has_value()) << it;
    EXPECT_EQ(error_.code, ErrorCode::kInvalidArgument) << it;
  }
  EXPECT_FALSE(DecodeJob(Job(R"("count":0)"), &error_).has_value());
  EXPECT_FALSE(DecodeJob(Job(R"("count":100000)"), &error_).has_value());
}

// Guards against dropping where the data of a step lies.
TEST_F(WireTest, DecodeJob_StepHasAffinity_TasksPreferTheRack) {
  const auto job =
      DecodeJob(Job(R"("count":2,"cpu":500,"affinity":"r1-3")"), &error_);
  ASSERT_TRUE(job.has_value()) << error_.ToString();
  EXPECT_EQ(job->tasks[1].preferred_rack, "r1-3");
}

TEST_F(WireTest, DecodeRunnerEntry_Valid_ReturnsAllFields) {
  const auto vm = DecodeRunnerEntry("i-1", Entry("ready"), &error_);
  ASSERT_TRUE(vm.has_value()) << error_.ToString();
  EXPECT_EQ(vm->vm, "i-1");
  EXPECT_EQ(vm->failure_domain, "z1");
  EXPECT_EQ(vm->upstream_class, "svc");
  EXPECT_EQ(vm->slots, 64);
  EXPECT_EQ(vm->incarnation, 77);
  EXPECT_EQ(vm->state, VmState::kLive);
  EXPECT_EQ(DecodeRunnerEntry("i-1", Entry("draining"), &error_)->state,
            VmState::kLeaving);
}

// Guards against losing what the placement of tasks needs, and against taking
// labels of another form for a rack.
TEST_F(WireTest, DecodeRunnerEntry_LabelsAndColdTime_ReturnsThem) {
  std::string entry = Entry("ready");
  entry.insert(1, R"("labels":["a","r1-2"],"coldRemainingMs":1500,)");
  const auto vm = DecodeRunnerEntry("i-1", entry, &error_);
  ASSERT_TRUE(vm.has_value()) << error_.ToString();
  EXPECT_EQ(vm->hardware_kind, "a");
  EXPECT_EQ(vm->rack, "r1-2");
  EXPECT_EQ(vm->cold_remaining, absl::Milliseconds(1500));
  for (const char* it : {"{}", "[]", "[1,2]", "\"r1-2\"", "[\"a\",null]"}) {
    entry = Entry("ready");
    entry.insert(1, absl::StrCat("\"labels\":", it, ","));
    const auto other = DecodeRunnerEntry("i-1", entry, &error_);
    ASSERT_TRUE(other.has_value()) << it;
    EXPECT_EQ(other->rack, "") << it;
  }
}

// Guards against using a runner whose entry another process has overwritten.
TEST_F(WireTest, DecodeRunnerEntry_Malformed_Fails) {
  for (const std::string& it :
       {std::string("\xff\xfe"), std::string("{}"), Entry("asleep"),
        std::string(
            R"({"service":1,"address":"a","zone":"z","state":"ready"})"),
        std::string(
            R"({"service":"s","address":"a","zone":"z","state":"ready"})")}) {
    EXPECT_FALSE(DecodeRunnerEntry("i-1", it, &error_).has_value()) << it;
  }
}

// Guards against using an entry of another writer whose numbers cannot be
// represented, or whose address or names cannot be used.
TEST_F(WireTest, DecodeRunnerEntry_FieldOutOfRange_Fails) {
  const std::string valid = Entry("ready");
  ASSERT_TRUE(DecodeRunnerEntry("i-1", valid, &error_).has_value());
  const std::string digits(400, '9');
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"16000", "1e300"},
      {"16000", "-1"},
      {"16000", digits},
      {"32768", "18446744073709551615"},
      {"32768", "\"many\""},
      {"77", "1e300"},
      {"77", "9223372036854775808"},
      {"77", "null"},
      {"\"born\"", "\"seq\":1e300,\"born\""},
      {"10.0.0.1:80", "10.0.0.1:0"},
      {"10.0.0.1:80", "10.0.0.1:65536"},
      {"10.0.0.1:80", "10.0.0.1:-1"},
      {"10.0.0.1:80", "10.0.0.1"},
      {"10.0.0.1:80", "10.0.0.1:80/x?y="},
      {"10.0.0.1:80", ""},
      {"z1", ""},
      {"z1", std::string(100000, 'z')},
      {"svc", std::string(100000, 's')},
      {"ready", std::string(100000, 'r')}};
  for (const auto& [from, to] : changes) {
    std::string altered = valid;
    altered.replace(altered.find(from), from.size(), to);
    EXPECT_FALSE(DecodeRunnerEntry("i-1", altered, &error_).has_value())
        << altered.substr(0, 300);
    // Log lines must not grow with an entry.
    EXPECT_LT(error_.detail.size(), 200u) << error_.detail.substr(0, 300);
  }
}

TEST_F(WireTest, DecodeConfig_NestedPrefixes_LongestMatches) {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[
        {"name":"a","host":"h","pathPrefix":"/x/","service":"s","attempts":4,
         "stretch":1.6,"targetLatencyMs":60},
        {"name":"b","host":"h","pathPrefix":"/x/y/","service":"t"}]})",
      &error_);
  ASSERT_TRUE(config.has_value()) << error_.ToString();
  EXPECT_EQ(config->version, 7);
  EXPECT_EQ(config->Find("h", "/x/1")->document->document.environment, "a");
  EXPECT_EQ(config->Find("h", "/x/y/1")->document->document.environment, "b");
  EXPECT_EQ(config->Find("h", "/z/1"), nullptr);
  EXPECT_EQ(config->Find("other", "/x/1"), nullptr);
  EXPECT_EQ(config->Find("h", "/x/1")->max_failures, 4);
  EXPECT_EQ(config->Find("h", "/x/1")->base, absl::Milliseconds(60));
}

TEST_F(WireTest, DecodeOrderReply_EachStatus_IsMapped) {
  EXPECT_EQ(DecodeOrderReply(200, R"({"clockMs":5})").status,
            OrderStatus::kDone);
  EXPECT_EQ(DecodeOrderReply(200, R"({"clockMs":5})").clock_ms, 5);
  EXPECT_EQ(DecodeOrderReply(409, R"({"reason":"fence"})").status,
            OrderStatus::kFenced);
  EXPECT_EQ(DecodeOrderReply(409, R"({"reason":"old"})").status,
            OrderStatus::kStale);
  EXPECT_EQ(DecodeOrderReply(409, R"({"reason":"late"})").status,
            OrderStatus::kLeaseExpired);
  EXPECT_EQ(DecodeOrderReply(409, R"({"reason":"room"})").status,
            OrderStatus::kNoCapacity);
  EXPECT_EQ(DecodeOrderReply(421, "").status, OrderStatus::kOtherInstance);
  EXPECT_EQ(DecodeOrderReply(503, "").status, OrderStatus::kUnhealthy);
  EXPECT_EQ(DecodeOrderReply(400, "").status, OrderStatus::kInvalid);
}

TEST_F(WireTest, DecodeHoldReply_Valid_ReturnsRuns) {
  const HoldReply reply = DecodeHoldReply(
      200,
      R"({"clockMs":9,"born":3,"running":[["ab.0.1.7",2,"",41,6800],["x",1]],
          "endedRuns":[[58,"ab.0.1.9",1,"done",""],[59,"ab.0.1.8",3,"lapsed",""]]})");
  EXPECT_EQ(reply.order.status, OrderStatus::kDone);
  EXPECT_EQ(reply.incarnation, 3);
  ASSERT_EQ(reply.active.size(), 1u);
  EXPECT_EQ(reply.active[0].job_key, "ab");
  EXPECT_EQ(reply.active[0].task_id, "0.1.7");
  ASSERT_EQ(reply.ended.size(), 2u);
  EXPECT_EQ(reply.ended[0].end, RunEnd::kDone);
  EXPECT_EQ(reply.ended[1].end, RunEnd::kLapsed);
  EXPECT_EQ(reply.ended[1].number, 59u);
}

// Guards against treating a response without lists as one without runs.
TEST_F(WireTest, DecodeHoldReply_ListsMissing_IsInvalid) {
  EXPECT_EQ(DecodeHoldReply(200, R"({"clockMs":9})").order.status,
            OrderStatus::kInvalid);
  EXPECT_EQ(DecodeHoldReply(200, "garbage").order.status,
            OrderStatus::kInvalid);
}

// Guards against a run that is taken for another one since its number was
// narrowed, and against a clock or a start time that no runner can have.
TEST_F(WireTest, DecodeHoldReply_NumbersOutOfRange_AreLeftOut) {
  const HoldReply reply = DecodeHoldReply(200,
                                          R"({"clockMs":1e300,"born":1e300,
          "running":[["ab.0.0.1",4294967297],["ab.0.0.2",-1],
                     ["ab.0.0.3",1e300],["ab.0.0.4",2,"",1e300]],
          "endedRuns":[[1e300,"ab.0.0.5",1,"done",""],
                       [-1,"ab.0.0.6",1,"done",""],
                       [7,"ab.0.0.7",4294967297,"done",""],
                       [8,"ab.0.0.8",1,"done",""]]})");
  EXPECT_EQ(reply.order.clock_ms, 0);
  EXPECT_EQ(reply.incarnation, 0);
  ASSERT_EQ(reply.active.size(), 1u);
  EXPECT_EQ(reply.active[0].task_id, "0.0.4");
  ASSERT_EQ(reply.ended.size(), 1u);
  EXPECT_EQ(reply.ended[0].number, 8u);
}

// Guards against a row that is left out unnoticed: if it is the last one of a
// page, the rows behind it would not be read.
TEST_F(WireTest, DecodeRows_ValueIsNotBase64_KeepsKeyAndVersion) {
  const auto rows = DecodeRows(
      R"({"rows":[{"table":"t","key":"a","value":"*","ver":4}],"ver":9})",
      &error_);
  ASSERT_TRUE(rows.has_value()) << error_.ToString();
  ASSERT_EQ(rows->rows.size(), 1u);
  EXPECT_EQ(rows->rows[0].key, "t/a");
  EXPECT_EQ(rows->rows[0].value, "");
  EXPECT_EQ(rows->rows[0].version, 4);
}

TEST_F(WireTest, DecodeRows_Tombstone_HasVersionZero) {
  const auto rows = DecodeRows(
      absl::StrCat(R"({"rows":[{"table":"t","key":"a","value":")",
                   absl::Base64Escape("body"), R"(","ver":4},)",
                   R"({"table":"t","key":"b","tombstone":true,"ver":5}],)",
                   R"("ver":9,"truncated":true})"),
      &error_);
  ASSERT_TRUE(rows.has_value()) << error_.ToString();
  EXPECT_EQ(rows->version, 9);
  EXPECT_TRUE(rows->truncated);
  ASSERT_EQ(rows->rows.size(), 2u);
  EXPECT_EQ(rows->rows[0].key, "t/a");
  EXPECT_EQ(rows->rows[0].value, "body");
  EXPECT_EQ(rows->rows[1].version, 0);
}

TEST_F(WireTest, DecodeConflict_VersionDiffers_ReturnsItsKey) {
  Transaction transaction;
  transaction.checks = {{"t/a", 4}, {"t/b", 5}};
  transaction.writes = {{"t/a", "x"}, {"t/b", std::nullopt}};
  EXPECT_THAT(EncodeTransaction(transaction), HasSubstr("\"remove\":[{"));
  EXPECT_EQ(DecodeConflict(
                R"({"rows":[{"table":"t","key":"a","value":"","ver":4},
                            {"table":"t","key":"b","value":"","ver":6}]})",
                transaction),
            "t/b");
}

// Guards against a stack that grows with the depth of what others write.
TEST_F(WireTest, Decoders_DeeplyNested_DoNotCrash) {
  constexpr int kDepth = 200000;
  for (const char* it : {"[", "{\"a\":"}) {
    std::string nested;
    for (int i = 0; i < kDepth; ++i) {
      nested += it;
    }
    for (const std::string& body :
         {nested,
          absl::StrCat(R"({"running":[],"endedRuns":[],"born":)", nested, "}"),
          absl::StrCat(R"({"capacity":{"cpu":)", nested, "}}"),
          absl::StrCat("{\"routes\":[", nested, "]}")}) {
      DecodeJob(body, nullptr);
      DecodeConfig(body, nullptr);
      DecodeRows(body, nullptr);
      DecodeHoldReply(200, body);
      DecodeRunnerEntry("i", body, nullptr);
    }
  }
}

// Decoders read data that other processes write; they must not crash or throw.
TEST_F(WireTest, Decoders_AlteredMessage_DoNotCrash) {
  const std::string body = Job(R"("count":3,"cpu":6800,"memMb":64)");
  for (size_t i = 0; i < body.size(); ++i) {
    for (const char c : {'\0', '"', '{', '9', '\xff'}) {
      std::string altered = body;
      altered[i] = c;
      DecodeJob(altered, nullptr);
      DecodeConfig(altered, nullptr);
      DecodeRows(altered, nullptr);
      DecodeHoldReply(200, altered);
      DecodeRunnerEntry("i", altered, nullptr);
    }
  }
}

}  // namespace
}  // namespace radishrail::platform
