#include "radishrail/platform_store.h"

#include <memory>
#include <string>
#include <utility>

#include "../tools/standin_platform/platform_standin.h"
#include "gtest/gtest.h"
#include "radishrail/control_loop.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

struct TransactResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  std::string conflict;
  Error error;
};

template <typename T>
struct ReadResult {
  std::optional<T> value;
  Error error;
};

class PlatformStoreTest : public testing::Test {
 protected:
  PlatformStoreTest() : platform_(PlatformStandinSettings(), platform_loop_) {
    EXPECT_TRUE(platform_.Start(nullptr));
    client_ = std::make_unique<HttpClient>(HttpClientSettings(), loop_);
    store_ = std::make_unique<HttpStore>(
        HttpStoreSettings{platform_.address(), "vm-1", kTestWait}, *client_);
  }
  ~PlatformStoreTest() override {
    client_->Stop();
    loop_.Stop();
    platform_.Stop();
    platform_loop_.Stop();
  }

  void Post(const std::string& target, const std::string& body) {
    HttpClientRequest request;
    request.method = "POST";
    request.address = platform_.address();
    request.target = target;
    request.body = body;
    EXPECT_EQ(SendAsync(*client_, request).Wait().status, 200);
  }

  TransactResult Write(const std::string& key,
                       std::optional<std::string> value,
                       int64_t version) {
    Pending<TransactResult> pending;
    store_->Transact(
        {{{key, version}}, {{key, std::move(value)}}},
        [pending](TransactionOutcome outcome, std::string conflict,
                  Error error) mutable {
          pending.Set({outcome, std::move(conflict), std::move(error)});
        });
    return pending.Wait();
  }

  template <typename T>
  static auto Into(Pending<ReadResult<T>> pending) {
    return [pending](std::optional<T> value, Error error) mutable {
      pending.Set({std::move(value), std::move(error)});
    };
  }

  ReadResult<Row> Read(const std::string& key) {
    Pending<ReadResult<Row>> pending;
    store_->Read(key, Into(pending));
    return pending.Wait();
  }

  ControlLoop platform_loop_;
  ControlLoop loop_;
  PlatformStandin platform_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<HttpStore> store_;
};

TEST_F(PlatformStoreTest, Read_AbsentRow_HasVersionZero) {
  const auto row = Read("lease/yard-a/vm-1");
  ASSERT_TRUE(row.value.has_value()) << row.error.ToString();
  EXPECT_EQ(row.value->version, 0);
}

TEST_F(PlatformStoreTest, Transact_CheckHolds_CommitsAndRaisesVersion) {
  EXPECT_EQ(Write("lease/a b", "one", 0).outcome,
            TransactionOutcome::kCommitted);
  const auto first = Read("lease/a b");
  ASSERT_TRUE(first.value.has_value());
  EXPECT_EQ(first.value->value, "one");
  EXPECT_EQ(Write("lease/a b", "two", first.value->version).outcome,
            TransactionOutcome::kCommitted);
  EXPECT_GT(Read("lease/a b").value->version, first.value->version);
}

TEST_F(PlatformStoreTest, Transact_CheckFails_NamesTheRowAndWritesNothing) {
  Write("k", "one", 0);
  const TransactResult result = Write("k", "two", 0);
  EXPECT_EQ(result.outcome, TransactionOutcome::kConflict);
  EXPECT_EQ(result.conflict, "k");
  EXPECT_EQ(Read("k").value->value, "one");
}

// Guards against reusing a version after a row was deleted: an outdated fencing
// check would hold again.
TEST_F(PlatformStoreTest, Transact_RowDeletedAndWrittenAgain_HasNewVersion) {
  Write("k", "one", 0);
  const int64_t version = Read("k").value->version;
  Write("k", std::nullopt, version);
  EXPECT_EQ(Read("k").value->version, 0);
  Write("k", "one", 0);
  EXPECT_GT(Read("k").value->version, version);
}

// Guards against reporting a transaction with a lost response as failed.
TEST_F(PlatformStoreTest, Transact_ResponseLost_IsUnknownThoughCommitted) {
  Post("/admin/faults", R"({"lose_answers": 1.0})");
  EXPECT_EQ(Write("k", "one", 0).outcome, TransactionOutcome::kUnknown);
  Post("/admin/faults", R"({"lose_answers": 0.0})");
  EXPECT_EQ(Read("k").value->value, "one");
}

TEST_F(PlatformStoreTest, Calls_VmDenied_FailAndOthersSucceed) {
  Post("/admin/faults", R"({"deny": ["vm-1"]})");
  EXPECT_EQ(Read("k").error.code, ErrorCode::kPlatformUnavailable);
  EXPECT_EQ(Write("k", "one", 0).outcome, TransactionOutcome::kUnknown);
  Post("/admin/faults", R"({"deny": ["vm-2"]})");
  EXPECT_EQ(Read("k").value->version, 0);
}

TEST_F(PlatformStoreTest, Calls_PlatformNotListening_AreUnknownOrFail) {
  platform_.Stop();
  EXPECT_EQ(Write("k", "one", 0).outcome, TransactionOutcome::kUnknown);
  EXPECT_EQ(Read("k").error.code, ErrorCode::kPlatformUnavailable);
}

TEST_F(PlatformStoreTest, List_Prefix_ReturnsItsRowsInOrder) {
  Write("a/2", "two", 0);
  Write("a/1", "one", 0);
  Write("b/1", "other", 0);
  Pending<ReadResult<std::vector<Row>>> pending;
  store_->List("a/", Into(pending));
  const auto rows = pending.Wait().value;
  ASSERT_TRUE(rows.has_value());
  ASSERT_EQ(rows->size(), 2u);
  EXPECT_EQ((*rows)[0].key, "a/1");
  EXPECT_EQ((*rows)[1].value, "two");
}

TEST_F(PlatformStoreTest, Object_WrittenAndRead_IsTheSame) {
  const std::string body("any bytes \x00\xff", 12);
  Pending<ReadResult<std::string>> absent;
  store_->GetObject("environment/booking/1", Into(absent));
  EXPECT_EQ(absent.Wait().error.code, ErrorCode::kNotFound);
  Pending<ReadResult<std::string>> written;
  store_->PutObject("environment/booking/1", body, Into(written));
  EXPECT_EQ(written.Wait().value, body);
  Pending<ReadResult<std::string>> read;
  store_->GetObject("environment/booking/1", Into(read));
  EXPECT_EQ(read.Wait().value, body);
}

TEST_F(PlatformStoreTest, ListVms_SetByAdmin_ReturnsAllFields) {
  Post("/admin/vms", R"([{"vm": "u1", "role": "upstream",
      "address": "127.0.0.1:7500", "failure_domain": "yard-a",
      "state": "leaving", "upstream_class": "runner", "slots": 8}])");
  Pending<ReadResult<std::vector<VmInfo>>> pending;
  store_->ListVms(Into(pending));
  const auto vms = pending.Wait().value;
  ASSERT_TRUE(vms.has_value());
  ASSERT_EQ(vms->size(), 1u);
  EXPECT_EQ((*vms)[0].role, VmRole::kUpstream);
  EXPECT_EQ((*vms)[0].state, VmState::kLeaving);
  EXPECT_EQ((*vms)[0].upstream_class, "runner");
  EXPECT_EQ((*vms)[0].slots, 8);
}

// Guards against treating a malformed list as empty, which would remove all
// upstreams.
TEST_F(PlatformStoreTest, ListVms_Malformed_IsAnError) {
  Post("/admin/vms", R"([{"vm": "u1", "role": "unheard-of"}])");
  Pending<ReadResult<std::vector<VmInfo>>> pending;
  store_->ListVms(Into(pending));
  const auto result = pending.Wait();
  EXPECT_FALSE(result.value.has_value());
  EXPECT_EQ(result.error.code, ErrorCode::kProtocol);
}

}  // namespace
}  // namespace radishrail
