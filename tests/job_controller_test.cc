#include "radishrail/job_controller.h"

#include <map>
#include <string>

#include "fakes.h"
#include "gtest/gtest.h"
#include "job_fakes.h"
#include "radishrail/job_json.h"

namespace radishrail {
namespace {

constexpr absl::Duration kMargin = absl::Milliseconds(50);

class JobControllerTest : public testing::Test {
 protected:
  JobControllerTest() { upstreams_.OnVmList(TestVms(2)); }

  // Returns the place of the answer in `answers_`.
  size_t Submit(const JobSpec& job) {
    answers_.emplace_back();
    const size_t index = answers_.size() - 1;
    auto callback = [this, index](const JobAnswer& answer) {
      EXPECT_FALSE(answers_[index].has_value()) << "answered twice";
      answers_[index] = answer;
    };
    if (!jobs_.Join(job, callback)) {
      jobs_.Accept(job, document_, callback);
    }
    return index;
  }
  void Respond(size_t call, TaskResult result) {
    client_.calls[call].callback(std::move(result));
  }
  static TaskResult Done(std::string output = "o") {
    return {TaskOutcome::kDone, std::move(output), {}, absl::Milliseconds(100)};
  }
  static TaskResult Outcome(TaskOutcome outcome,
                            ErrorCode code = ErrorCode::kOk) {
    TaskResult result;
    result.outcome = outcome;
    result.error.code = code;
    return result;
  }
  void Advance(absl::Duration duration) {
    clock_.Advance(duration);
    jobs_.Tick();
  }
  uint64_t Count(std::string_view name) {
    return metrics_.counter(name).value();
  }

  FakeClock clock_;
  SeededRandom random_{1};
  FakeScheduler scheduler_{clock_, 2, 8};
  UpstreamRegistry upstreams_{UpstreamSettings{"fd-a"}, clock_};
  FakeUpstreamClient client_;
  Metrics metrics_;
  Timeline timeline_{clock_, "vm", 1000};
  std::shared_ptr<VersionedDocument> document_ = TestDocument();
  JobController jobs_{clock_,  random_,  scheduler_, upstreams_,
                      client_, metrics_, timeline_};
  std::vector<std::optional<JobAnswer>> answers_;
};

TEST_F(JobControllerTest, Job_AllTasksDone_IsCompleteInOrderOfSubmission) {
  Submit(TestJob("k", 3));
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 3u);
  Respond(2, Done("c"));
  Respond(0, Done("a"));
  EXPECT_FALSE(answers_[0].has_value());
  EXPECT_EQ(jobs_.Find("k")->status, JobStatus::kRunning);
  Respond(1, Done("b"));
  ASSERT_TRUE(answers_[0].has_value());
  EXPECT_EQ(answers_[0]->status, JobStatus::kComplete);
  EXPECT_EQ(answers_[0]->document_version, 4);
  EXPECT_EQ(answers_[0]->tasks[0].output, "a");
  EXPECT_EQ(answers_[0]->tasks[2].output, "c");
  EXPECT_EQ(jobs_.jobs_in_progress(), 0u);
  EXPECT_EQ(scheduler_.running_tasks(), 0u);
  EXPECT_EQ(timeline_.Select("k", {}).size(), 8u);
}

TEST_F(JobControllerTest, Demand_CarriesQuotaAndTimes) {
  const absl::Time now = clock_.Monotonic();
  Submit(TestJob("k", 1));
  EXPECT_EQ(scheduler_.last_demand.team_share, 3);
  EXPECT_EQ(scheduler_.last_demand.team_max_running_tasks, 20);
  EXPECT_EQ(scheduler_.last_demand.promise_by, now + absl::Seconds(2));
  EXPECT_EQ(scheduler_.last_demand.start_by, now + absl::Seconds(5) - kMargin);
}

// Guards against a second run of a job that the caller believes to be lost.
TEST_F(JobControllerTest, Resubmission_WhileRunning_JoinsWithoutDispatch) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Submit(TestJob("k", 1));
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 1u);
  Respond(0, Done());
  EXPECT_EQ(answers_[0]->status, JobStatus::kComplete);
  EXPECT_EQ(answers_[1]->status, JobStatus::kComplete);
}

TEST_F(JobControllerTest, Resubmission_AfterAnswer_ReceivesRetainedAnswer) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Respond(0, Done("kept"));
  Advance(absl::Seconds(599));
  Submit(TestJob("k", 1));
  jobs_.Tick();
  EXPECT_EQ(client_.calls.size(), 1u);
  EXPECT_EQ(answers_[1]->tasks[0].output, "kept");
}

// Guards against conflict answers from which another environment could learn
// about a job.
TEST_F(JobControllerTest, Conflict_OtherBodyOrEnvironment_LooksTheSame) {
  Submit(TestJob("k", 1));
  JobSpec body = TestJob("k", 1);
  body.body_hash = 8;
  JobSpec environment = TestJob("k", 1);
  environment.environment = "other";
  const size_t a = Submit(body);
  const size_t b = Submit(environment);
  EXPECT_EQ(answers_[a]->error.code, ErrorCode::kConflict);
  EXPECT_EQ(HttpStatusOf(*answers_[a]), 409);
  EXPECT_EQ(ErrorToJson(answers_[a]->error), ErrorToJson(answers_[b]->error));
  EXPECT_EQ(answers_[b]->environment, "other");
  EXPECT_EQ(answers_[b]->document_version, 0);
  EXPECT_FALSE(answers_[0].has_value());
}

TEST_F(JobControllerTest, Refusal_IsNotRunWithRetryAfterAndNotRemembered) {
  scheduler_.refusal =
      Refusal{{ErrorCode::kOverloaded, Step::kAdmission, "", "full"},
              absl::Milliseconds(300)};
  Submit(TestJob("k", 2));
  EXPECT_EQ(answers_[0]->status, JobStatus::kNotRun);
  EXPECT_EQ(answers_[0]->retry_after, absl::Milliseconds(300));
  EXPECT_EQ(answers_[0]->tasks[1].status, TaskStatus::kNotRun);
  EXPECT_FALSE(jobs_.Knows("k"));
}

TEST_F(JobControllerTest, Deadline_WithinTransmissionMargin_IsRefused) {
  Submit(TestJob("k", 1, kMargin));
  EXPECT_EQ(answers_[0]->status, JobStatus::kNotRun);
  EXPECT_EQ(answers_[0]->error.code, ErrorCode::kInfeasible);
}

TEST_F(JobControllerTest, HopelessJob_IsNotRunAndMayBeSubmittedAgain) {
  Submit(TestJob("k", 2));
  scheduler_.hopeless = {scheduler_.last_demand.job};
  jobs_.Tick();
  EXPECT_EQ(answers_[0]->status, JobStatus::kNotRun);
  EXPECT_GT(answers_[0]->retry_after, absl::ZeroDuration());
  EXPECT_TRUE(client_.calls.empty());
  Submit(TestJob("k", 2));
  jobs_.Tick();
  EXPECT_EQ(client_.calls.size(), 2u);
}

// Guards against a start after the time that the caller was promised: the
// process was paused between acceptance and placement.
TEST_F(JobControllerTest, Placement_AfterPauseIntoMargin_IsNotDispatched) {
  Submit(TestJob("k", 2));
  Advance(absl::Seconds(5) - kMargin);
  EXPECT_TRUE(client_.calls.empty());
  EXPECT_EQ(answers_[0]->status, JobStatus::kNotRun);
  EXPECT_EQ(answers_[0]->error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_EQ(scheduler_.running_tasks(), 0u);
}

TEST_F(JobControllerTest, Start_CarriesStartByOfBothClocks) {
  const absl::Time monotonic = clock_.Monotonic();
  const absl::Time wall = clock_.Wall();
  Submit(TestJob("k", 1));
  Advance(absl::Seconds(1));
  const TaskStart& start = client_.calls.at(0).start;
  EXPECT_EQ(start.start_by_monotonic, monotonic + absl::Seconds(5) - kMargin);
  EXPECT_EQ(start.start_by_wall, wall + absl::Seconds(5));
  EXPECT_EQ(start.timeout, absl::Seconds(4));
}

TEST_F(JobControllerTest, NotStarted_IsRetriedWithNextAttempt) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Respond(0, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
  Advance(absl::Milliseconds(40));
  ASSERT_EQ(client_.calls.size(), 2u);
  EXPECT_EQ(client_.calls[1].start.attempt, 2);
  Respond(1, Done());
  EXPECT_EQ(answers_[0]->status, JobStatus::kComplete);
}

// Guards against a second start of a task that may have started.
TEST_F(JobControllerTest, UnknownOutcome_IsNeverRetried) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Respond(0, Outcome(TaskOutcome::kUnknown, ErrorCode::kConnectionBroken));
  Advance(absl::Seconds(1));
  EXPECT_EQ(client_.calls.size(), 1u);
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[0]->tasks[0].status, TaskStatus::kUnknown);
  EXPECT_EQ(answers_[0]->tasks[0].error.peer, "w0");
}

TEST_F(JobControllerTest, Retries_EndWithMaxAttempts) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  for (size_t i = 0; i < 3; ++i) {
    Respond(i, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
    Advance(absl::Milliseconds(200));
  }
  EXPECT_EQ(client_.calls.size(), 3u);
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[0]->tasks[0].status, TaskStatus::kNotRun);
}

TEST_F(JobControllerTest, Retry_ThatWouldPassDeadline_IsNotQueued) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  clock_.Advance(absl::Seconds(5) - kMargin - absl::Milliseconds(5));
  Respond(0, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
  ASSERT_TRUE(answers_[0].has_value());
  EXPECT_EQ(answers_[0]->tasks[0].status, TaskStatus::kNotRun);
}

// Guards against a storm of retries against upstreams that refuse everything.
TEST_F(JobControllerTest, Retries_OverBudget_AreDenied) {
  document_->document.retry.max_attempts = 1000;
  for (int i = 0; i < 16; ++i) {
    Submit(TestJob("k" + std::to_string(i), 1, absl::Seconds(570)));
  }
  size_t responded = 0;
  for (int round = 0; round < 100; ++round) {
    jobs_.Tick();
    for (; responded < client_.calls.size(); ++responded) {
      Respond(responded,
              Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
    }
    clock_.Advance(absl::Milliseconds(1));
  }
  Advance(absl::Seconds(3));
  // Two upstreams with a burst of 20 each, and what 3 s of time add.
  EXPECT_LE(client_.calls.size(), 16u + 48u);
  EXPECT_GT(Count("radishrail_task_retries_denied_total"), 0u);
}

TEST_F(JobControllerTest, TaskFailure_DropsQueuedAndAwaitsRunning) {
  Submit(TestJob("k", 18));  // 16 slots
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 16u);
  Respond(0, Outcome(TaskOutcome::kFailed));
  EXPECT_FALSE(answers_[0].has_value());
  Respond(1, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
  for (size_t i = 2; i < 15; ++i) {
    Respond(i, Done());
  }
  jobs_.Tick();
  EXPECT_EQ(client_.calls.size(), 16u);
  EXPECT_FALSE(answers_[0].has_value());
  Advance(absl::Seconds(5));
  ASSERT_TRUE(answers_[0].has_value());
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[0]->error.code, ErrorCode::kUpstreamFailed);
  const auto& tasks = answers_[0]->tasks;
  EXPECT_EQ(tasks[0].status, TaskStatus::kFailed);
  EXPECT_EQ(tasks[1].status, TaskStatus::kNotRun);
  EXPECT_EQ(tasks[2].status, TaskStatus::kDone);
  EXPECT_EQ(tasks[15].status, TaskStatus::kUnknown);
  EXPECT_EQ(tasks[17].status, TaskStatus::kNotRun);
  EXPECT_EQ(scheduler_.running_tasks(), 0u);
  EXPECT_EQ(scheduler_.bad_calls, 0);
}

// Guards against a late result that changes an answer or frees a slot twice.
TEST_F(JobControllerTest, LateAndDuplicateResults_AreCountedAndDropped) {
  Submit(TestJob("k", 2));
  jobs_.Tick();
  Respond(0, Done("first"));
  Respond(0, Done("second"));
  Advance(absl::Seconds(5));
  ASSERT_TRUE(answers_[0].has_value());
  Respond(1, Done("late"));
  EXPECT_EQ(Count("radishrail_task_results_dropped_total"), 2u);
  EXPECT_EQ(answers_[0]->tasks[0].output, "first");
  EXPECT_EQ(jobs_.Find("k")->tasks[1].status, TaskStatus::kUnknown);
  EXPECT_EQ(scheduler_.bad_calls, 0);
}

// Guards against a result of an earlier attempt that ends the present one.
TEST_F(JobControllerTest, DuplicateResult_OfEarlierAttempt_IsDropped) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Respond(0, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
  Advance(absl::Milliseconds(40));
  Respond(0, Done("old"));
  EXPECT_FALSE(answers_[0].has_value());
  Respond(1, Done("new"));
  EXPECT_EQ(answers_[0]->tasks[0].output, "new");
}

TEST_F(JobControllerTest, Cancel_BeforeDispatch_IsNotRunAndStaysRemembered) {
  Submit(TestJob("k", 2));
  EXPECT_TRUE(jobs_.Cancel("k"));
  EXPECT_EQ(answers_[0]->status, JobStatus::kNotRun);
  EXPECT_EQ(answers_[0]->error.code, ErrorCode::kCancelled);
  // Guards against a delayed duplicate of the submission that runs the job.
  Submit(TestJob("k", 2));
  jobs_.Tick();
  EXPECT_TRUE(client_.calls.empty());
  EXPECT_EQ(answers_[1]->status, JobStatus::kNotRun);
  EXPECT_FALSE(jobs_.Cancel("other"));
}

TEST_F(JobControllerTest, Cancel_WithTasksInProgress_AwaitsThem) {
  Submit(TestJob("k", 17));
  jobs_.Tick();
  EXPECT_TRUE(jobs_.Cancel("k"));
  EXPECT_TRUE(jobs_.Cancel("k"));
  EXPECT_FALSE(answers_[0].has_value());
  for (size_t i = 0; i < 16; ++i) {
    Respond(i, Done());
  }
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[0]->tasks[0].status, TaskStatus::kDone);
  EXPECT_EQ(answers_[0]->tasks[16].status, TaskStatus::kNotRun);
}

// Guards against a dispatch in the time between an upstream's announcement and
// the scheduler's next update.
TEST_F(JobControllerTest, Placement_OnLeavingUpstream_IsNotDispatched) {
  upstreams_.OnLeaving("w0");
  Submit(TestJob("k", 4));
  jobs_.Tick();
  for (const auto& it : client_.calls) {
    EXPECT_EQ(it.start.address, "127.0.0.1:1");
  }
  EXPECT_EQ(client_.calls.size(), 2u);
}

TEST_F(JobControllerTest, LateResult_ThatAnnouncesLeaving_IsHeeded) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Advance(absl::Seconds(5));
  TaskResult result = Done();
  result.upstream_leaving = true;
  Respond(0, result);
  EXPECT_EQ(upstreams_.FindByVm("w0")->state, UpstreamState::kLeaving);
}

// Guards against keys that are forgotten while an owner would still accept
// them, and against unbounded work in one Tick.
TEST_F(JobControllerTest, Keys_AreForgottenAfterWindowInBoundedSteps) {
  for (int i = 0; i < 1000; ++i) {
    Submit(TestJob("k" + std::to_string(i), 1));
    jobs_.Cancel("k" + std::to_string(i));
  }
  Advance(absl::Seconds(602));
  EXPECT_EQ(jobs_.remembered_keys(), 1000u);
  Advance(absl::Seconds(3));
  EXPECT_LT(jobs_.remembered_keys(), 1000u);
  EXPECT_GT(jobs_.remembered_keys(), 0u);
  jobs_.Tick();
  EXPECT_EQ(jobs_.remembered_keys(), 0u);
}

TEST_F(JobControllerTest, Handover_MovesRangeBoundKeysOnly) {
  Submit(TestJob("done", 1));
  Submit(TestJob("running", 2));
  Submit(TestJob("k1.fd-a.vm.7.abc", 1));
  jobs_.Tick();
  Respond(0, Done("kept"));
  const std::vector<RememberedKey> keys = jobs_.Remembered();
  EXPECT_EQ(keys.size(), 2u);

  Metrics metrics;
  JobController successor(clock_, random_, scheduler_, upstreams_, client_,
                          metrics, timeline_);
  std::vector<RememberedKey> with_minted = keys;
  with_minted.push_back({"k1.fd-a.vm.7.xyz", "booking", 7, true, 0, ""});
  successor.Import(with_minted);
  successor.Import(keys);
  EXPECT_EQ(successor.remembered_keys(), 2u);
  std::vector<JobAnswer> answers;
  const auto callback = [&](const JobAnswer& it) { answers.push_back(it); };
  EXPECT_TRUE(successor.Join(TestJob("done", 1), callback));
  EXPECT_TRUE(successor.Join(TestJob("running", 2), callback));
  JobSpec other = TestJob("done", 1);
  other.body_hash = 8;
  EXPECT_TRUE(successor.Join(other, callback));
  ASSERT_EQ(answers.size(), 3u);
  EXPECT_EQ(answers[0].tasks[0].output, "kept");
  EXPECT_EQ(answers[1].status, JobStatus::kFailed);
  EXPECT_EQ(answers[1].error.code, ErrorCode::kOutcomeUnknown);
  ASSERT_EQ(answers[1].tasks.size(), 2u);
  EXPECT_EQ(answers[1].tasks[1].status, TaskStatus::kUnknown);
  EXPECT_EQ(answers[2].error.code, ErrorCode::kConflict);
  successor.Tick();
  EXPECT_EQ(Count("radishrail_tasks_handed_over_total"), 4u);
}

// Guards against a broken or foreign answer in a handover that is passed on.
TEST_F(JobControllerTest, Import_UnusableAnswer_IsUnknown) {
  JobAnswer foreign;
  foreign.key = "c";
  foreign.status = JobStatus::kComplete;
  jobs_.Import({{"a", "booking", 7, true, 0, "{"},
                {"b", "booking", 7, true, 0, JobAnswerToJson(foreign)}});
  EXPECT_EQ(jobs_.Find("a")->error.code, ErrorCode::kOutcomeUnknown);
  EXPECT_EQ(jobs_.Find("b")->error.code, ErrorCode::kOutcomeUnknown);
}

// Guards against a table that is inconsistent while a caller is answered.
TEST_F(JobControllerTest, Callback_ThatSubmits_IsServed) {
  bool second = false;
  jobs_.Accept(TestJob("a", 1), document_, [&](const JobAnswer&) {
    jobs_.Accept(TestJob("b", 1), document_,
                 [&](const JobAnswer&) { second = true; });
    jobs_.Cancel("b");
  });
  jobs_.Tick();
  Respond(0, Done());
  EXPECT_TRUE(second);
}

// Guards against use of the controller by a result that arrives after its end.
TEST_F(JobControllerTest, Result_AfterDestruction_IsIgnored) {
  {
    JobController jobs(clock_, random_, scheduler_, upstreams_, client_,
                       metrics_, timeline_);
    jobs.Accept(TestJob("k", 1), document_, [](const JobAnswer&) {});
    jobs.Tick();
  }
  Respond(0, Done());
}

TEST_F(JobControllerTest, Client_ThatAnswersAtOnce_IsServed) {
  ImmediateUpstreamClient client;
  JobController jobs(clock_, random_, scheduler_, upstreams_, client, metrics_,
                     timeline_);
  std::optional<JobAnswer> answer;
  jobs.Accept(TestJob("k", 40), document_,
              [&](const JobAnswer& it) { answer = it; });
  jobs.Tick();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, JobStatus::kComplete);
}

}  // namespace
}  // namespace radishrail
