#include "radishrail/job_controller.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "fakes.h"
#include "gtest/gtest.h"
#include "job_fakes.h"
#include "radishrail/job_answers.h"
#include "radishrail/job_json.h"

namespace radishrail {
namespace {

constexpr absl::Duration kMargin = absl::Milliseconds(50);

class JobControllerTest : public testing::Test {
 protected:
  JobControllerTest() { upstreams_.OnVmList(TestVms(2)); }

  // Returns the index of the answer in `answers_`.
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

// Guards against a free slot that stays idle until the next Tick.
TEST_F(JobControllerTest, TaskEnds_PlaceTasks_StartsNextTaskWithoutTick) {
  Submit(TestJob("k", 17));
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 16u);  // 2 upstreams of 8 slots
  Respond(0, Done());
  jobs_.PlaceTasks();
  ASSERT_EQ(client_.calls.size(), 17u);
  jobs_.PlaceTasks();
  EXPECT_EQ(client_.calls.size(), 17u);
}

// Guards against a recursion depth that grows with the number of tasks, and
// against a nested call that starts a task twice.
TEST_F(JobControllerTest, PlaceTasks_CalledWhilePlacing_DoesNothing) {
  int depth = 0;
  client_.on_start = [&](const TaskStart&) {
    EXPECT_EQ(++depth, 1);
    jobs_.PlaceTasks();
    --depth;
  };
  Submit(TestJob("k", 16));
  jobs_.PlaceTasks();
  EXPECT_EQ(client_.calls.size(), 16u);
}

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
TEST_F(JobControllerTest, Conflict_OtherBodyOrEnvironment_HasSameError) {
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
  EXPECT_FALSE(jobs_.HasKey("k"));
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

// Guards against a start after the deadline when the process was paused between
// acceptance and placement.
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

// Guards against a retry storm while all upstreams refuse all tasks.
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
  // Two upstreams with a burst of 20 each, plus the tokens added in 3 s.
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
  EXPECT_EQ(scheduler_.running_tasks(), 1u) << "the last run has not ended";
  Respond(15, Outcome(TaskOutcome::kUnknown));
  EXPECT_EQ(scheduler_.running_tasks(), 0u);
  EXPECT_EQ(scheduler_.invalid_releases, 0);
}

// Guards against a job that is answered as failed for good although its task
// may fail again, since its deadline leaves no time for that.
TEST_F(JobControllerTest,
       TaskFailure_FailuresLeftButNoTime_IsDeadlineExceeded) {
  JobSpec job = TestJob("k", 1, absl::Milliseconds(200));
  job.tasks[0].max_failures = 3;
  job.tasks[0].restartable = true;
  Submit(job);
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 1u);
  Advance(absl::Milliseconds(195));
  Respond(0, Outcome(TaskOutcome::kFailed, ErrorCode::kUpstreamFailed));
  ASSERT_TRUE(answers_[0].has_value());
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[0]->error.code, ErrorCode::kDeadlineExceeded);
}

// Guards against a job that waits for its deadline although its last unfinished
// task certainly did not start.
TEST_F(JobControllerTest, NotStarted_AfterOtherTaskFailed_EndsJobAtOnce) {
  Submit(TestJob("k", 2));
  jobs_.Tick();
  Respond(0, Outcome(TaskOutcome::kFailed));
  Respond(1, Outcome(TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy));
  ASSERT_TRUE(answers_[0].has_value());
  EXPECT_EQ(answers_[0]->tasks[1].status, TaskStatus::kNotRun);
}

// Guards against a second start caused by an invalid placement.
TEST_F(JobControllerTest, Placement_OfRunningOrUnknownTask_IsNotDispatched) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  const uint64_t job = scheduler_.last_demand.job;
  for (const TaskRef ref : {TaskRef{job, 0}, TaskRef{job, 9}, TaskRef{99, 0}}) {
    scheduler_.forced_placement = Placement{ref, 1};
    jobs_.Tick();
  }
  EXPECT_EQ(client_.calls.size(), 1u);
  EXPECT_EQ(Count("radishrail_placements_invalid_total"), 3u);
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
  EXPECT_EQ(scheduler_.invalid_releases, 0);
}

// Guards against a result of an earlier attempt that ends the current one.
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

// Guards against two runs of a task at a time: the key of a best-effort job is
// forgotten at its deadline, while its run may continue on a silent upstream.
TEST_F(JobControllerTest, Deadline_RunHasNotEnded_RepetitionDoesNotStart) {
  JobSpec job = TestJob("k", 1);
  job.best_effort = true;
  Submit(job);
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 1u);
  Advance(job.deadline);
  ASSERT_TRUE(answers_[0].has_value());
  Submit(job);
  jobs_.Tick();
  EXPECT_EQ(client_.calls.size(), 1u);
  ASSERT_TRUE(answers_[1].has_value());
  EXPECT_EQ(answers_[1]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[1]->error.code, ErrorCode::kOutcomeUnknown);
  Respond(0, Outcome(TaskOutcome::kUnknown));
  Submit(job);
  jobs_.Tick();
  EXPECT_EQ(client_.calls.size(), 2u);
}

// Guards against a job that is offered to another pool as refused although its
// tasks crashed upstreams under an earlier submission.
TEST_F(JobControllerTest, Cancel_UpstreamsLostUnderQueuedJob_IsFailed) {
  Submit(TestJob("a", 1));
  Submit(TestJob("b", 1));
  EXPECT_TRUE(jobs_.Cancel("a", ErrorCode::kUpstreamFailed));
  EXPECT_TRUE(jobs_.Cancel("b", ErrorCode::kOutcomeUnknown));
  EXPECT_EQ(answers_[0]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[1]->status, JobStatus::kFailed);
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

TEST_F(JobControllerTest, LateResult_ThatAnnouncesLeaving_MarksUpstream) {
  Submit(TestJob("k", 1));
  jobs_.Tick();
  Advance(absl::Seconds(5));
  TaskResult result = Done();
  result.upstream_leaving = true;
  Respond(0, result);
  EXPECT_EQ(upstreams_.FindByVm("w0")->state, UpstreamState::kLeaving);
}

// Guards against an unresponsive upstream that keeps receiving its share of the
// tasks. Its timeouts are compared with the learned run time of the kind.
TEST_F(JobControllerTest, Timeouts_FarBeyondLearnedRunTime_EjectUpstream) {
  for (size_t i = 0; i < 10; ++i) {
    Submit(TestJob("warm" + std::to_string(i), 1));
    jobs_.Tick();
    Respond(i, Done());  // 100 ms
  }
  Submit(TestJob("k", 16));
  jobs_.Tick();
  for (size_t i = 10; i < client_.calls.size(); ++i) {
    if (client_.calls[i].start.address == "127.0.0.1:1") {
      Respond(i, Done());
    }
  }
  Advance(absl::Seconds(5));
  EXPECT_EQ(upstreams_.FindByVm("w0")->state, UpstreamState::kEjected);
  EXPECT_EQ(timeline_.Select("", {}).back().type, EventType::kUpstreamEjected);
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
  const std::vector<RememberedKey> keys = jobs_.ExportKeys();
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

// Guards against returning an answer from a handover that is malformed or
// belongs to another key.
TEST_F(JobControllerTest, Import_UnusableAnswer_IsUnknown) {
  JobAnswer foreign;
  foreign.key = "c";
  foreign.status = JobStatus::kComplete;
  jobs_.Import({{"a", "booking", 7, true, 0, "{"},
                {"b", "booking", 7, true, 0, JobAnswerToJson(foreign)}});
  EXPECT_EQ(jobs_.Find("a")->error.code, ErrorCode::kOutcomeUnknown);
  EXPECT_EQ(jobs_.Find("b")->error.code, ErrorCode::kOutcomeUnknown);
}

// Guards against a table that is inconsistent while a callback runs.
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

class JobControllerLeaseTest : public JobControllerTest {
 protected:
  JobSpec LeasedJob(const std::string& key) {
    JobSpec job = TestJob(key, 1);
    job.best_effort = true;
    job.tasks[0].restartable = true;
    job.lease = std::make_shared<JobLease>(clock_.Monotonic(), contact_);
    return job;
  }

  const std::shared_ptr<ClientContact> contact_ =
      std::make_shared<ClientContact>();
};

// Guards against runs of a job whose entry daemon is silent.
TEST_F(JobControllerLeaseTest, Lease_NotRenewed_IsEndingBeforeItExpires) {
  const size_t job = Submit(LeasedJob("k"));
  jobs_.Tick();
  ASSERT_EQ(client_.calls.size(), 1u);
  Advance(kJobLease - absl::Milliseconds(1));
  EXPECT_EQ(jobs_.JobsWithEndingLease(), std::vector<std::string>{"k"});
  jobs_.Cancel("k", ErrorCode::kConnectionBroken);
  EXPECT_TRUE(jobs_.JobsWithEndingLease().empty());
  EXPECT_FALSE(answers_[job].has_value()) << "a run may continue";
}

// Guards against a job that ends although its entry daemon reports.
TEST_F(JobControllerLeaseTest, Lease_Renewed_IsNotEnding) {
  Submit(LeasedJob("k"));
  for (int i = 0; i < 30; ++i) {
    contact_->last = clock_.Monotonic();
    Advance(absl::Milliseconds(100));
    ASSERT_TRUE(jobs_.JobsWithEndingLease().empty());
  }
}

// Guards against a start on an upstream where the run could outlast the lease.
TEST_F(JobControllerLeaseTest, Upstream_HasLongerLease_TaskWaits) {
  client_.can_start = false;
  Submit(LeasedJob("k"));
  Advance(absl::Milliseconds(20));
  EXPECT_TRUE(client_.calls.empty());
  client_.can_start = true;
  Advance(absl::Milliseconds(20));
  EXPECT_EQ(client_.calls.size(), 1u);
}

// Guards against a use after free by a result that arrives after the controller
// was destroyed.
TEST_F(JobControllerTest, Result_AfterDestruction_IsIgnored) {
  {
    JobController jobs(clock_, random_, scheduler_, upstreams_, client_,
                       metrics_, timeline_);
    jobs.Accept(TestJob("k", 1), document_, [](const JobAnswer&) {});
    jobs.Tick();
  }
  Respond(0, Done());
}

TEST_F(JobControllerTest, Client_CallingBackWithinStart_IsServed) {
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

// Drives the job table with random events and checks its invariants after
// each. All randomness comes from one seed.
class JobTableSimulation {
 public:
  explicit JobTableSimulation(uint64_t seed) : random_(seed) {
    upstreams_.OnVmList(TestVms(kUpstreams, kSlots));
    client_.on_start = [this](const TaskStart& it) { OnStart(it); };
  }

  // Returns the trace if an invariant was violated, otherwise nothing.
  std::string Run(int steps) {
    for (int i = 0; i < steps && violation_.empty(); ++i) {
      Step();
    }
    for (int i = 0; i < 8 && violation_.empty(); ++i) {
      ExpireStarts();
      Advance(absl::Seconds(100));
    }
    CheckAtEnd();
    return violation_.empty() ? "" : trace_ + violation_;
  }

  size_t starts() const { return client_.calls.size(); }
  const std::map<JobStatus, int>& statuses() const { return statuses_; }

 private:
  struct Submission {
    JobSpec job;
    bool answered = false;
  };
  // Starts observed for one task of one key.
  struct TaskHistory {
    absl::Time last_start;
    bool may_start = true;
    int attempt = 0;  // of the last start
  };
  using TaskName = std::pair<std::string, std::string>;

  void Trace(const std::string& text) { trace_ += text + "\n"; }
  void Check(bool holds, const std::string& what) {
    if (!holds && violation_.empty()) {
      violation_ = "violated: " + what;
    }
  }

  void Step() {
    switch (random_.Below(10)) {
      case 0:
      case 1:
      case 2:
        Submit();
        break;
      case 3:
        Cancel();
        break;
      case 4:
        Refuse();
        break;
      case 5:
        Advance(absl::Milliseconds(random_.Below(300)));
        break;
      case 6:
        // A pause of the process, rarely longer than the resubmission window.
        Pause();
        break;
      default:
        Respond();
        break;
    }
    ExpireStarts();
    if (random_.Below(2) == 0) {
      jobs_.Tick();
    }
  }

  void Submit() {
    const uint64_t body = random_.Below(8) == 0 ? 1 : 0;
    Submission submission;
    submission.job = TestJob("key" + std::to_string(random_.Below(6)),
                             static_cast<int>(body) + 2,
                             absl::Milliseconds(51 + random_.Below(2000)));
    submission.job.body_hash = body;
    submission.job.environment = random_.Below(8) == 0 ? "other" : "booking";
    for (auto& it : submission.job.tasks) {
      it.payload = Payload(submission.job, it.id);
    }
    submissions_.push_back(submission);
    const size_t index = submissions_.size() - 1;
    Trace("submit " + std::to_string(index) + " " + submission.job.key +
          " body " + std::to_string(body) + " of " +
          submission.job.environment);
    const auto callback = [this, index](const JobAnswer& answer) {
      OnAnswer(submissions_[index], answer);
    };
    if (!jobs_.Join(submission.job, callback)) {
      jobs_.Accept(submission.job, TestDocument(), callback);
    }
  }

  void Cancel() {
    const std::string key = "key" + std::to_string(random_.Below(6));
    Trace("cancel " + key);
    jobs_.Cancel(key);
  }

  void Refuse() {
    if (random_.Below(2) == 0) {
      scheduler_.hopeless = {scheduler_.last_demand.job};
      Trace("hopeless " + std::to_string(scheduler_.last_demand.job));
      return;
    }
    scheduler_.refusal.reset();
    if (random_.Below(4) == 0) {
      scheduler_.refusal =
          Refusal{{ErrorCode::kOverloaded, {}, "", ""}, absl::Seconds(1)};
    }
    Trace("admission changed");
  }

  void Advance(absl::Duration duration) {
    Trace("advance " + absl::FormatDuration(duration));
    clock_.Advance(duration);
    jobs_.Tick();
  }

  void Pause() {
    const uint64_t n = random_.Below(40);
    const absl::Duration pause =
        n == 0 ? absl::Seconds(700) : absl::Milliseconds(n * 50);
    Trace("pause " + absl::FormatDuration(pause));
    clock_.Advance(pause);
  }

  // Calls back for one of the last 12 starts, which may be late or a duplicate.
  void Respond() {
    if (client_.calls.empty()) {
      return;
    }
    const size_t recent = std::min<size_t>(client_.calls.size(), 12);
    const size_t index = client_.calls.size() - 1 - random_.Below(recent);
    static constexpr TaskOutcome kOutcomes[] = {
        TaskOutcome::kNotStarted, TaskOutcome::kNotStarted,
        TaskOutcome::kFailed, TaskOutcome::kUnknown};
    const uint64_t n = random_.Below(24);
    RespondTo(index, n < 4 ? kOutcomes[n] : TaskOutcome::kDone);
  }

  // A client reports an unknown outcome at the latest when a start times out.
  void ExpireStarts() {
    const absl::Time now = clock_.Monotonic();
    const std::set<size_t> starts = unanswered_;
    for (const size_t it : starts) {
      if (started_[it] + client_.calls[it].start.timeout <= now) {
        RespondTo(it, TaskOutcome::kUnknown);
      }
    }
  }

  // A client reports one outcome for a start, however often it calls back.
  void RespondTo(size_t index, TaskOutcome outcome) {
    const auto call = client_.calls[index];
    if (unanswered_.erase(index) > 0) {
      --runs_at_[call.start.address];
    }
    TaskResult result;
    result.outcome = outcomes_.emplace(index, outcome).first->second;
    result.output = call.start.payload;
    result.run_time = absl::Milliseconds(1 + random_.Below(100));
    Trace("respond to start " + std::to_string(index) + " with " +
          std::to_string(static_cast<int>(result.outcome)));
    TaskHistory& history = tasks_[{call.start.job_key, call.start.task_id}];
    if (result.outcome == TaskOutcome::kNotStarted &&
        history.attempt == call.start.attempt &&
        history.last_start == started_[index]) {
      history.may_start = true;
    }
    call.callback(std::move(result));
  }

  void OnStart(const TaskStart& start) {
    const absl::Time now = clock_.Monotonic();
    Trace("start " + std::to_string(client_.calls.size()) + " " +
          start.job_key + " " + start.task_id + " attempt " +
          std::to_string(start.attempt));
    TaskHistory& history = tasks_[{start.job_key, start.task_id}];
    const bool forgotten = now - history.last_start >= kResubmissionWindow;
    Check(history.may_start || forgotten, "task dispatched again");
    Check(now < start.start_by_monotonic, "task dispatched too late");
    history = {now, false, start.attempt};
    unanswered_.insert(started_.size());
    Check(++runs_at_[start.address] <= kSlots,
          "more runs than slots, also of jobs past their deadline");
    started_.push_back(now);
    last_start_[start.payload] = now;
  }

  void OnAnswer(Submission& submission, const JobAnswer& answer) {
    Trace("answer to " + submission.job.key + ": " +
          std::string(JobStatusName(answer.status)));
    Check(!submission.answered, "answered twice");
    submission.answered = true;
    ++statuses_[answer.status];
    Check(answer.key == submission.job.key, "answer to another key");
    Check(answer.environment == submission.job.environment,
          "answer of another environment");
    Check(answer.tasks.size() == submission.job.tasks.size(), "partial answer");
    bool all_done = true;
    for (size_t i = 0; i < answer.tasks.size() && violation_.empty(); ++i) {
      CheckTask(submission.job, i, answer);
      all_done &= answer.tasks[i].status == TaskStatus::kDone;
    }
    Check(all_done == (answer.status == JobStatus::kComplete),
          "status does not match the tasks");
    Check(answer.status != JobStatus::kRunning, "answer is not final");
  }

  void CheckTask(const JobSpec& job, size_t index, const JobAnswer& answer) {
    const TaskAnswer& task = answer.tasks[index];
    const std::string& payload = job.tasks[index].payload;
    Check(task.id == job.tasks[index].id, "tasks in another order");
    Check(task.status != TaskStatus::kQueued &&
              task.status != TaskStatus::kRunning,
          "task without a final status");
    if (task.status == TaskStatus::kDone) {
      Check(task.output == payload, "output of another task");
    }
    if (answer.status == JobStatus::kNotRun && last_start_.contains(payload)) {
      Check(clock_.Monotonic() - last_start_[payload] >= kResubmissionWindow,
            "not_run although a task was dispatched");
    }
  }

  void CheckAtEnd() {
    for (const auto& it : submissions_) {
      Check(it.answered, "no answer to " + it.job.key);
    }
    Check(jobs_.jobs_in_progress() == 0, "job still in progress");
    Check(jobs_.remembered_keys() == 0, "key not forgotten");
    Check(scheduler_.running_tasks() == 0, "slot not released");
    Check(scheduler_.invalid_releases == 0, "slot released twice");
  }

  static std::string Payload(const JobSpec& job, const std::string& task) {
    return job.environment + "/" + job.key + "/" +
           std::to_string(job.body_hash) + "/" + task;
  }

  FakeClock clock_;
  SeededRandom random_;
  static constexpr int kUpstreams = 3;
  static constexpr int kSlots = 4;

  FakeScheduler scheduler_{clock_, kUpstreams, kSlots};
  UpstreamRegistry upstreams_{UpstreamSettings{"fd-a"}, clock_};
  FakeUpstreamClient client_;
  Metrics metrics_;
  Timeline timeline_{clock_, "vm", 10};
  JobController jobs_{clock_,  random_,  scheduler_, upstreams_,
                      client_, metrics_, timeline_};
  std::deque<Submission> submissions_;
  std::map<TaskName, TaskHistory> tasks_;
  std::map<std::string, absl::Time> last_start_;  // by payload
  std::vector<absl::Time> started_;
  std::map<size_t, TaskOutcome> outcomes_;
  std::set<size_t> unanswered_;         // starts
  std::map<std::string, int> runs_at_;  // unanswered starts, by address
  std::map<JobStatus, int> statuses_;
  std::string trace_;
  std::string violation_;
};

TEST(JobControllerRandomTest, RandomEvents_KeepInvariants) {
  size_t starts = 0;
  std::map<JobStatus, int> statuses;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    JobTableSimulation simulation(seed);
    const std::string trace = simulation.Run(400);
    ASSERT_TRUE(trace.empty()) << "seed " << seed << "\n" << trace;
    starts += simulation.starts();
    for (const auto& [status, count] : simulation.statuses()) {
      statuses[status] += count;
    }
  }
  // Guards against a generator that no longer reaches all kinds of answers.
  EXPECT_GT(starts, 10000u);
  EXPECT_GT(statuses[JobStatus::kComplete], 1000);
  EXPECT_GT(statuses[JobStatus::kFailed], 1000);
  EXPECT_GT(statuses[JobStatus::kNotRun], 1000);
}

// Guards against a run-time model and a scheduler that take the run times of
// cold upstreams for those of the kind of task.
TEST_F(JobControllerTest, RunsOnColdUpstreams_Done_TeachNoRunTime) {
  std::vector<VmInfo> vms = TestVms(2);
  for (auto& it : vms) {
    it.cold_until = clock_.Monotonic() + absl::Seconds(1);
  }
  upstreams_.OnVmList(vms);
  const auto run_job = [this](const std::string& key, absl::Duration run) {
    Submit(TestJob(key, 8));
    jobs_.Tick();
    for (int i = 0; i < 8; ++i) {
      TaskResult result = Done();
      result.run_time = run;
      Respond(client_.calls.size() - 1 - i, result);
    }
  };
  run_job("cold", absl::Seconds(1));
  EXPECT_EQ(scheduler_.run_times, 0);
  clock_.Advance(absl::Seconds(2));
  upstreams_.Tick();
  run_job("warm", absl::Milliseconds(100));
  EXPECT_EQ(scheduler_.run_times, 8);
  Submit(TestJob("next", 1));
  jobs_.Tick();
  EXPECT_NEAR(
      absl::ToDoubleMilliseconds(client_.calls.back().start.expected_run), 100,
      1);
}

// Guards against jobs that wait for an upstream which they will not get for
// long, against one that is answered as not run although a task was started,
// and against the end of a job that has all its tasks running.
TEST_F(JobControllerTest, EndQueuedJobs_JobsOfEachKind_EndsThoseWithQueue) {
  const size_t running = Submit(TestJob("running", 8));
  const size_t partly = Submit(TestJob("partly", 16));
  const size_t queued = Submit(TestJob("queued", 1));
  jobs_.Tick();
  EXPECT_EQ(jobs_.EndQueuedJobs("evacuated"), 2u);
  ASSERT_TRUE(answers_[queued].has_value());
  EXPECT_EQ(answers_[queued]->status, JobStatus::kNotRun);
  EXPECT_TRUE(IsRefusal(*answers_[queued]));
  EXPECT_FALSE(answers_[partly].has_value()) << "its runs have not ended";
  for (size_t i = 0; i < client_.calls.size(); ++i) {
    Respond(i, Done());
  }
  EXPECT_EQ(answers_[running]->status, JobStatus::kComplete);
  EXPECT_EQ(answers_[partly]->status, JobStatus::kFailed);
  EXPECT_EQ(answers_[partly]->error.code, ErrorCode::kOutcomeUnknown);
}

}  // namespace
}  // namespace radishrail
