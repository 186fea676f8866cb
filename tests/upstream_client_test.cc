#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "../tools/standin_upstream/upstream_standin.h"
#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_upstream_client.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

class UpstreamClientTest : public testing::Test {
 protected:
  UpstreamClientTest()
      : upstream_(std::make_unique<UpstreamStandin>(Slots(1),
                                                    upstream_loop_,
                                                    ledger_)),
        client_(std::make_unique<HttpUpstreamClient>(HttpUpstreamSettings(),
                                                     clock_,
                                                     loop_,
                                                     metrics_)),
        admin_(std::make_unique<HttpClient>(HttpClientSettings(), loop_)) {
    EXPECT_TRUE(upstream_->Start(nullptr));
  }
  ~UpstreamClientTest() override {
    client_->Stop();
    admin_->Stop();
    loop_.Stop();
    upstream_->Stop();
    upstream_loop_.Stop();
  }

  static UpstreamStandinSettings Slots(int slots) {
    UpstreamStandinSettings settings;
    settings.slots = slots;
    return settings;
  }

  TaskStart Task(const std::string& payload = "sleep_ms=0") const {
    TaskStart start;
    start.job_key = "job";
    start.task_id = "task";
    start.kind = "quote";
    start.payload = payload;
    start.address = upstream_->address();
    start.start_by_monotonic = clock_.Monotonic() + absl::Minutes(1);
    // The stand-in compares this with the wall clock.
    start.start_by_wall = absl::Now() + absl::Minutes(5);
    start.timeout = kTestWait;
    return start;
  }

  Pending<TaskResult> StartAsync(TaskStart start) {
    Pending<TaskResult> pending;
    client_->Start(std::move(start), [pending](TaskResult result) mutable {
      pending.Set(std::move(result));
    });
    return pending;
  }

  TaskResult Start(TaskStart start) {
    return StartAsync(std::move(start)).Wait();
  }

  void SetFaults(const std::string& faults) {
    HttpClientRequest request;
    request.method = "POST";
    request.address = upstream_->address();
    request.target = "/admin/faults";
    request.body = faults;
    EXPECT_EQ(SendAsync(*admin_, request).Wait().status, 200);
  }

  // Result of a task whose upstream sends `response` and closes.
  TaskResult StartWithRawResponse(std::string_view response) {
    RawListener listener;
    TaskStart start = Task();
    start.address = listener.address();
    auto pending = StartAsync(start);
    auto connection = listener.Accept();
    connection.ReadUntil("}");
    connection.Write(response);
    connection.Close();
    return pending.Wait();
  }

  FakeClock clock_;
  Metrics metrics_;
  StartLedger ledger_;
  ControlLoop loop_;
  ControlLoop upstream_loop_;
  std::unique_ptr<UpstreamStandin> upstream_;
  std::unique_ptr<HttpUpstreamClient> client_;
  std::unique_ptr<HttpClient> admin_;
};

TEST_F(UpstreamClientTest, Start_TaskRuns_IsDoneWithOutputAndRunTime) {
  const TaskResult result = Start(Task("{\"sleep_ms\": 2}"));
  EXPECT_EQ(result.outcome, TaskOutcome::kDone);
  EXPECT_EQ(result.output, "job/task");
  EXPECT_EQ(result.run_time, absl::Milliseconds(2));
  EXPECT_FALSE(result.upstream_leaving);
  EXPECT_EQ(ledger_.total(), 1u);
}

TEST_F(UpstreamClientTest, Start_UpstreamReportsFailure_IsFailed) {
  SetFaults(R"({"fail_all": true})");
  const TaskResult result = Start(Task());
  EXPECT_EQ(result.outcome, TaskOutcome::kFailed);
  EXPECT_EQ(result.error.code, ErrorCode::kUpstreamFailed);
  EXPECT_EQ(result.error.step, Step::kExecution);
}

TEST_F(UpstreamClientTest, Start_UpstreamBusy_IsNotStarted) {
  auto occupying = StartAsync(Task("sleep_ms=3600000"));
  // The slot is occupied as soon as a second task is refused.
  TaskResult result;
  do {
    result = Start(Task());
  } while (result.outcome == TaskOutcome::kDone);
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kUpstreamBusy);
  EXPECT_FALSE(occupying.ready());
}

TEST_F(UpstreamClientTest,
       Start_UpstreamLeaving_IsNotStartedAndReportsLeaving) {
  SetFaults(R"({"leaving": true})");
  const TaskResult result = Start(Task());
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kUpstreamLeaving);
  EXPECT_TRUE(result.upstream_leaving);
}

TEST_F(UpstreamClientTest, Start_ExpiredAtUpstream_IsNotStarted) {
  TaskStart start = Task();
  start.start_by_wall = absl::Now() - absl::Seconds(1);
  const TaskResult result = Start(start);
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_EQ(ledger_.total(), 0u);
}

// Guards against a start after the time for which the job key is remembered.
TEST_F(UpstreamClientTest, Start_StartByWithinMargin_IsNotSent) {
  TaskStart start = Task();
  start.start_by_monotonic = clock_.Monotonic() + kTransmissionMargin;
  const TaskResult result = Start(start);
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_EQ(metrics_.counter("radishrail_upstream_requests_total").value(), 0u);
  start.start_by_monotonic += absl::Milliseconds(1);
  EXPECT_EQ(Start(start).outcome, TaskOutcome::kDone);
}

TEST_F(UpstreamClientTest, Start_ConnectionRefused_IsNotStarted) {
  RawListener listener;
  TaskStart start = Task();
  start.address = listener.address();
  listener.Close();
  const TaskResult result = Start(start);
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kUnreachable);
}

// Guards against a retry of a task that ran but whose response was lost.
TEST_F(UpstreamClientTest, Start_ResponseDropped_IsUnknown) {
  SetFaults(R"({"drop_response": 1.0})");
  const TaskResult result = Start(Task());
  EXPECT_EQ(result.outcome, TaskOutcome::kUnknown);
  EXPECT_EQ(result.error.code, ErrorCode::kConnectionBroken);
  EXPECT_EQ(ledger_.total(), 1u);
}

TEST_F(UpstreamClientTest, Start_MalformedOk_IsUnknown) {
  const TaskResult result =
      StartWithRawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_EQ(result.outcome, TaskOutcome::kUnknown);
  EXPECT_EQ(result.error.code, ErrorCode::kProtocol);
}

// Guards against treating every 503 as a refusal: an intermediate server may
// send one after the upstream has started the task.
TEST_F(UpstreamClientTest, Start_503WithoutNotStarted_IsUnknown) {
  EXPECT_EQ(StartWithRawResponse("HTTP/1.1 503 Service Unavailable\r\n"
                                 "Content-Length: 4\r\n\r\nbusy")
                .outcome,
            TaskOutcome::kUnknown);
}

TEST_F(UpstreamClientTest, Start_NotStartedWithOtherStatus_IsUnknown) {
  EXPECT_EQ(StartWithRawResponse("HTTP/1.1 500 Error\r\nContent-Length: 24\r\n"
                                 "\r\n{\"status\":\"not_started\"}")
                .outcome,
            TaskOutcome::kUnknown);
}

TEST_F(UpstreamClientTest, Start_PayloadNotUtf8_IsNotStarted) {
  const TaskResult result = Start(Task("\xff"));
  EXPECT_EQ(result.outcome, TaskOutcome::kNotStarted);
  EXPECT_EQ(result.error.code, ErrorCode::kInvalidArgument);
}

TEST_F(UpstreamClientTest, Stop_TaskInProgress_IsUnknown) {
  auto pending = StartAsync(Task("sleep_ms=3600000"));
  while (ledger_.total() == 0) {
    std::this_thread::yield();
  }
  client_->Stop();
  EXPECT_EQ(pending.Wait().outcome, TaskOutcome::kUnknown);
}

}  // namespace
}  // namespace radishrail
