#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "gtest/gtest.h"
#include "radishrail/clock.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"
#include "runner_client.h"
#include "socket_test_util.h"
#include "table_store.h"

namespace radishrail::platform {
namespace {

// Runs a server that answers each path with a fixed response and records the
// requests.
class PlatformAdapterTest : public testing::Test {
 protected:
  PlatformAdapterTest() {
    HttpServerSettings settings;
    settings.request_headers = {"X-Expected-Instance", "If-None-Match"};
    server_ = std::make_unique<HttpServer>(
        settings, [this](HttpRequest request, const HttpResponder& respond) {
          const std::lock_guard lock(mutex_);
          HttpResponse response = responses_[request.path];
          requests_.push_back(std::move(request));
          response.status == 0 ? respond.CloseConnection()
                               : respond(std::move(response));
        });
    EXPECT_TRUE(server_->Start(nullptr));
    store_ = std::make_unique<TableStore>(server_->address(), kTestWait,
                                          client_, metrics_);
  }
  ~PlatformAdapterTest() override {
    client_.Stop();
    loop_.Stop();
  }

  void Respond(const std::string& path, int status, std::string body) {
    const std::lock_guard lock(mutex_);
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    responses_[path] = std::move(response);
  }

  static std::string MakeRows(const std::string& rows, int64_t version) {
    return absl::StrCat(R"({"rows":[)", rows, R"(],"ver":)", version, "}");
  }
  static std::string MakeRow(const std::string& key, const std::string& value) {
    return absl::StrCat(R"({"table":"t","key":")", key, R"(","value":")",
                        absl::Base64Escape(value), R"(","ver":4})");
  }

  std::pair<std::optional<Store::Changes>, Error> Watch() {
    Pending<std::pair<std::optional<Store::Changes>, Error>> pending;
    store_->Watch(
        "t/", 3, absl::ZeroDuration(),
        [pending](std::optional<Store::Changes> changes, Error error) mutable {
          pending.Set({std::move(changes), std::move(error)});
        });
    return pending.Wait();
  }

  TransactionOutcome Transact() {
    Pending<TransactionOutcome> pending;
    Transaction transaction;
    transaction.checks = {{"t/a", 1}};
    transaction.writes = {{"t/a", "x"}};
    store_->Transact(std::move(transaction),
                     [pending](TransactionOutcome outcome, const std::string&,
                               const Error&) mutable { pending.Set(outcome); });
    return pending.Wait();
  }

  SystemClock clock_;
  Metrics metrics_;
  ControlLoop loop_;
  HttpClient client_{HttpClientSettings(), loop_};
  std::mutex mutex_;
  std::map<std::string, HttpResponse> responses_;
  std::vector<HttpRequest> requests_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<TableStore> store_;
};

TEST_F(PlatformAdapterTest, Read_AbsentRow_HasVersionZero) {
  Respond("/rows-get", 200, MakeRows(MakeRow("ab", "other"), 9));
  Pending<Row> pending;
  store_->Read("t/a",
               [pending](const std::optional<Row>& row, const Error&) mutable {
                 pending.Set(row.value_or(Row{"failed", "", -1}));
               });
  const Row row = pending.Wait();
  EXPECT_EQ(row.key, "t/a");
  EXPECT_EQ(row.version, 0);
  EXPECT_EQ(requests_[0].Query("table"), "t");
  EXPECT_EQ(requests_[0].Query("from"), "a");
}

TEST_F(PlatformAdapterTest, Watch_RowChanged_PassesRowAndNextVersion) {
  Respond("/rows-feed", 200, MakeRows(MakeRow("a", "x"), 12));
  const auto [changes, error] = Watch();
  ASSERT_TRUE(changes.has_value());
  EXPECT_EQ(changes->next, 12);
  EXPECT_EQ(changes->rows[0].value, "x");
}

// Guards against a full answer that is taken for all changes.
TEST_F(PlatformAdapterTest, Watch_AnswerTruncated_SaysSo) {
  Respond("/rows-feed", 200,
          absl::StrCat(R"({"rows":[)", MakeRow("a", "x"),
                       R"(],"ver":12,"truncated":true})"));
  const auto [changes, error] = Watch();
  ASSERT_TRUE(changes.has_value());
  EXPECT_TRUE(changes->truncated);
}

// Guards against the same if the answer is full but not marked as truncated.
TEST_F(PlatformAdapterTest, Watch_AnswerHasMaximumOfRows_SaysTruncated) {
  constexpr int kMaxRows = 500;
  std::vector<std::string> rows;
  rows.reserve(kMaxRows);
  for (int i = 0; i < kMaxRows; ++i) {
    rows.push_back(MakeRow(absl::StrCat("a", i), "x"));
  }
  Respond("/rows-feed", 200, MakeRows(absl::StrJoin(rows, ","), 12));
  const auto [changes, error] = Watch();
  ASSERT_TRUE(changes.has_value());
  EXPECT_TRUE(changes->truncated);
}

// Guards against a watch that continues after it has missed changes.
TEST_F(PlatformAdapterTest, Watch_HistoryDiscarded_ReportsNotFound) {
  Respond("/rows-feed", 410, "");
  EXPECT_EQ(Watch().second.code, ErrorCode::kNotFound);
}

// Guards against reporting a write with a lost response as rejected, and a
// rejected one as unknown.
TEST_F(PlatformAdapterTest, Transact_EachResponse_ReportsOutcome) {
  Respond("/rows-tx", 200, R"({"ver":5})");
  EXPECT_EQ(Transact(), TransactionOutcome::kCommitted);
  Respond("/rows-tx", 412, MakeRows(MakeRow("a", "y"), 5));
  EXPECT_EQ(Transact(), TransactionOutcome::kConflict);
  Respond("/rows-tx", 503, "");
  EXPECT_EQ(Transact(), TransactionOutcome::kConflict);
  Respond("/rows-tx", 0, "");
  EXPECT_EQ(Transact(), TransactionOutcome::kUnknown);
}

TEST_F(PlatformAdapterTest, PutObject_ObjectExists_IsNotOverwritten) {
  Respond("/blob-put/a", 412, "");
  Pending<bool> pending;
  store_->PutObject(
      "a", "body",
      [pending](const std::optional<std::string>& body, const Error&) mutable {
        pending.Set(body.has_value());
      });
  EXPECT_TRUE(pending.Wait());
  EXPECT_EQ(requests_[0].Header("If-None-Match"), "*");
}

TEST_F(PlatformAdapterTest, Start_Sent_NamesTheRunnerInstance) {
  Respond("/run-start", 409, R"({"clockMs":7,"reason":"late"})");
  RunnerClient runners(clock_, client_);
  StartOrder order;
  order.runner = {"i-7", server_->address()};
  order.job_key = "ab";
  order.task_id = "0.0.1";
  order.run = 3;
  order.timeout = kTestWait;
  order.send_by = clock_.Monotonic() + kTestWait;
  Pending<OrderReply> pending;
  runners.Start(order, [pending](OrderReply reply) mutable {
    pending.Set(std::move(reply));
  });
  EXPECT_EQ(pending.Wait().status, OrderStatus::kLeaseExpired);
  EXPECT_EQ(requests_[0].Header("X-Expected-Instance"), "i-7");
  EXPECT_NE(requests_[0].body.find("ab.0.0.1"), std::string::npos);
}

// Guards against sending outdated orders after the process was paused.
TEST_F(PlatformAdapterTest, Start_SendByPassed_IsNotSent) {
  RunnerClient runners(clock_, client_);
  StartOrder order;
  order.runner = {"i-7", server_->address()};
  order.timeout = kTestWait;
  order.send_by = clock_.Monotonic() - absl::Milliseconds(1);
  Pending<OrderReply> pending;
  runners.Start(order, [pending](OrderReply reply) mutable {
    pending.Set(std::move(reply));
  });
  EXPECT_EQ(pending.Wait().status, OrderStatus::kNotSent);
  EXPECT_TRUE(requests_.empty());
}

// Guards against treating an order without an answer as not executed.
TEST_F(PlatformAdapterTest, Stop_ConnectionClosed_ReportsNoAnswer) {
  Respond("/run-stop", 0, "");
  RunnerClient runners(clock_, client_);
  StopOrder order;
  order.runner = {"i-7", server_->address()};
  order.timeout = kTestWait;
  Pending<OrderReply> pending;
  runners.Stop(order, [pending](OrderReply reply) mutable {
    pending.Set(std::move(reply));
  });
  EXPECT_EQ(pending.Wait().status, OrderStatus::kNoAnswer);
}

}  // namespace
}  // namespace radishrail::platform
