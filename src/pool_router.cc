#include "radishrail/pool_router.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "radishrail/job_answers.h"
#include "retry_schedule.h"

namespace radishrail {

namespace {

// Owners report ten times a second. An owner that is silent for longer may be
// gone; its jobs would be lost when it counts as unresponsive.
constexpr absl::Duration kReportOverdue = absl::Milliseconds(250);
// Time after a job's deadline in which the owner's reply is still accepted.
constexpr absl::Duration kReplyGracePeriod = absl::Milliseconds(200);
// Number of pools that a job is offered to before it is refused.
constexpr size_t kMaxOffers = 3;
// An owner takes a promised time of zero for an absent one.
constexpr absl::Duration kMinPromise = absl::Milliseconds(1);
constexpr absl::Duration kNoOwnerRetry = absl::Milliseconds(500);
// Evacuations take longer than takeovers of pools.
constexpr absl::Duration kEvacuatedRetry = absl::Seconds(1);
// Exceeds the time after which an owner cancels the jobs of an entry daemon
// that it does not hear.
constexpr absl::Duration kGivenUpNoticeTime = absl::Seconds(2);

constexpr std::string_view kClientDisconnected = "the client disconnected";

RoomDemand DemandOf(const JobSpec& job) {
  RoomDemand demand;
  for (const auto& it : job.tasks) {
    demand.slots += it.declared_slots;
    demand.task_slots = std::max(demand.task_slots, it.declared_slots);
    demand.longest = std::max(demand.longest, it.declared_run);
  }
  return demand;
}

// Encodes consecutive equal tasks as one step.
std::vector<PoolStep> EncodeTasks(const JobSpec& job) {
  std::vector<PoolStep> steps;
  for (const auto& it : job.tasks) {
    const auto declared_ms =
        static_cast<uint32_t>(absl::ToInt64Milliseconds(it.declared_run));
    const auto slots = static_cast<uint32_t>(it.declared_slots);
    if (steps.empty() || steps.back().slots != slots ||
        steps.back().declared_ms != declared_ms ||
        steps.back().preferred_rack != it.preferred_rack) {
      steps.push_back({0, slots, declared_ms, it.preferred_rack});
    }
    ++steps.back().count;
  }
  return steps;
}

}  // namespace

PoolRouter::PoolRouter(std::string failure_domain,
                       uint64_t first_request,
                       const Clock& clock,
                       PeerTransport& transport,
                       const PoolOwnership& ownership,
                       LocalSubmit submit_local,
                       LocalCancel cancel_local,
                       Random& random,
                       Metrics& metrics,
                       Timeline& timeline,
                       DecisionLog& log)
    : failure_domain_(std::move(failure_domain)),
      clock_(clock),
      transport_(transport),
      ownership_(ownership),
      submit_local_(std::move(submit_local)),
      cancel_local_(std::move(cancel_local)),
      forwarded_(metrics.counter("radishrail_pool_jobs_forwarded_total",
                                 "Jobs handed to the owner of a pool")),
      unknown_(metrics.counter("radishrail_pool_jobs_unknown_total",
                               "Jobs whose owner fell silent")),
      without_owner_(
          metrics.counter("radishrail_pool_jobs_without_owner_total",
                          "Jobs refused since no pool had an owner")),
      offered_again_(
          metrics.counter("radishrail_pool_jobs_offered_again_total",
                          "Jobs that a pool refused, offered to another")),
      offered_for_room_(metrics.counter(
          "radishrail_pool_jobs_offered_for_room_total",
          "Jobs first offered outside of the daemon's failure domain")),
      fits_nowhere_(metrics.counter(
          "radishrail_pool_jobs_fit_nowhere_total",
          "Jobs not offered again since they fit in no other pool in time")),
      timeline_(timeline),
      log_(log),
      next_request_(first_request),
      view_(failure_domain_, random),
      retries_(std::make_unique<internal::RetrySchedule>(random)) {}
PoolRouter::~PoolRouter() = default;

void PoolRouter::OnClaim(const PoolClaim& claim, absl::Time sent) {
  view_.OnReport(
      claim.pool,
      {static_cast<int>(claim.slots), static_cast<int>(claim.busy_slots),
       absl::Milliseconds(claim.backlog_ms), DecodeRoom(claim.room), sent,
       clock_.Monotonic()});
}

std::optional<PoolClaim> PoolRouter::ChoosePool(const Offer& offer) {
  const absl::Time now = clock_.Monotonic();
  std::vector<PoolView::Candidate> candidates;
  for (const auto& name : ownership_.Pools()) {
    const PoolClaim* owner = ownership_.Owner(name);
    const PoolLoad* load = view_.Find(name);
    if (owner == nullptr || load == nullptr || !owner->accepting ||
        load->slots == 0 || evacuated_.contains(name) ||
        std::find(offer.tried.begin(), offer.tried.end(), name) !=
            offer.tried.end()) {
      continue;
    }
    if (offer.overloaded && !view_.MayFit(name, offer.demand, now)) {
      continue;
    }
    candidates.push_back(
        {name, SilencePenalty(name, *load) + RackPenalty(offer, name)});
  }
  const auto pool = view_.Choose(candidates, offer.demand, now);
  const PoolClaim* owner = pool.has_value() ? ownership_.Owner(*pool) : nullptr;
  return owner != nullptr ? std::optional(*owner) : std::nullopt;
}

// A job waits at a silent owner for at least as long as the silence has lasted.
absl::Duration PoolRouter::SilencePenalty(const std::string& pool,
                                          const PoolLoad& load) const {
  const absl::Duration age = clock_.Monotonic() - load.reported;
  return age <= kReportOverdue || ownership_.OwnedFence(pool) != 0
             ? absl::ZeroDuration()
             : age;
}

// A job ends with its last task.
absl::Duration PoolRouter::RackPenalty(const Offer& offer,
                                       const std::string& pool) const {
  absl::Duration longest = absl::ZeroDuration();
  for (const auto& it : offer.job.tasks) {
    const auto domain = domain_of_rack_.find(it.preferred_rack);
    if (domain != domain_of_rack_.end() && domain->second != pool) {
      longest = std::max(longest, it.declared_run);
    }
  }
  return longest * (remote_run_factor_ - 1);
}

uint64_t PoolRouter::Submit(JobSpec job,
                            const RoutedDocument& route,
                            AnswerCallback callback) {
  const uint64_t submission = next_submission_++;
  const auto open = open_.find(job.key);
  if (open != open_.end()) {
    log_.Write(Decision::kJobJoined, job.key, "in progress", {});
    RecordEvent(EventType::kJobJoined, job.key, "", "");
    open->second->callers[submission] = std::move(callback);
    submissions_[submission] = open->second;
    return submission;
  }
  RecordEvent(EventType::kJobReceived, job.key, "", "");
  const RoomDemand demand = DemandOf(job);
  job.environment = route.document->document.environment;
  job.upstream_class = route.upstream_class;
  job.priority = route.priority;
  job.promised = route.base + route.stretch * demand.longest;
  for (auto& it : job.tasks) {
    it.kind = job.environment;
    it.max_failures = route.max_failures;
  }
  auto offer = std::make_shared<Offer>();
  offer->demand = demand;
  offer->demand.promise_by = job.promised > absl::ZeroDuration()
                                 ? clock_.Monotonic() + job.promised
                                 : absl::InfiniteFuture();
  offer->deadline = clock_.Monotonic() + job.deadline;
  offer->job = std::move(job);
  offer->document = route.document;
  offer->callers[submission] = std::move(callback);
  submissions_[submission] = offer;
  open_[offer->job.key] = offer;
  const auto pool = ChoosePool(*offer);
  if (!pool.has_value()) {
    without_owner_.Add();
    Answer(offer, NoPoolAnswer(offer->job));
    return submission;
  }
  MakeOffer(offer, *pool);
  return submission;
}

JobAnswer PoolRouter::NoPoolAnswer(const JobSpec& job) const {
  const Error error = {
      ErrorCode::kNoOwner, Step::kOwnership, "",
      evacuated_.empty()
          ? "no pool has a live owner that accepts jobs"
          : absl::StrCat("no pool has a live owner that accepts jobs; "
                         "evacuated: ",
                         absl::StrJoin(evacuated_, ", "))};
  return NotRunAnswer(job, error,
                      evacuated_.empty() ? kNoOwnerRetry : kEvacuatedRetry,
                      TaskErrors::kOmitted);
}

// Where the room is unknown, whether the rest suffices is unknown as well.
void PoolRouter::ReducePromise(Offer& offer, const std::string& pool) const {
  if (offer.tried.size() > 1 &&
      offer.demand.promise_by != absl::InfiniteFuture() &&
      view_.IsRoomKnown(pool, offer.demand)) {
    offer.job.promised =
        std::max(offer.demand.promise_by - clock_.Monotonic(), kMinPromise);
  }
}

bool PoolRouter::HasUntriedPool(const Offer& offer) const {
  const auto pools = ownership_.Pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& name) {
    const PoolClaim* owner = ownership_.Owner(name);
    return owner != nullptr && owner->accepting && !evacuated_.contains(name) &&
           std::find(offer.tried.begin(), offer.tried.end(), name) ==
               offer.tried.end();
  });
}

void PoolRouter::MakeOffer(const OfferPointer& offer, const PoolClaim& pool) {
  offer->tried.push_back(pool.pool);
  const absl::Time now = clock_.Monotonic();
  const PoolLoad load = *view_.Find(pool.pool);
  log_.Write(
      offer->tried.size() > 1 ? Decision::kJobOfferedAgain
                              : Decision::kJobOffered,
      offer->job.key, pool.pool,
      {{"owner", pool.owner},
       {"slots_wanted", absl::StrCat(offer->demand.slots)},
       {"task_slots", absl::StrCat(offer->demand.task_slots)},
       {"slots", absl::StrCat(load.slots)},
       {"busy_slots", absl::StrCat(load.busy)},
       {"room", view_.DescribeRoom(pool.pool, offer->demand)},
       {"backlog_ms", absl::StrCat(absl::ToInt64Milliseconds(load.backlog))},
       {"load_age_ms",
        absl::StrCat(absl::ToInt64Milliseconds(now - load.reported))},
       {"config_version", absl::StrCat(offer->document->version)}});
  if (offer->tried.size() == 1 && pool.pool != failure_domain_) {
    offered_for_room_.Add();
  }
  view_.OnOffered(pool.pool, offer->demand, now);
  offer->job.deadline =
      std::max(offer->deadline - clock_.Monotonic(), absl::ZeroDuration());
  ReducePromise(*offer, pool.pool);
  if (ownership_.OwnedFence(pool.pool) != 0) {
    RecordEvent(EventType::kJobForwarded, offer->job.key, "this daemon",
                absl::StrCat("pool ", pool.pool));
    submit_local_(
        offer->job, offer->document,
        [this, offer](const JobAnswer& answer) { OnAnswer(offer, answer); });
    return;
  }
  Forward(pool, offer);
}

void PoolRouter::OnAnswer(const OfferPointer& offer, const JobAnswer& answer) {
  if (IsRefusal(answer)) {
    RecordEvent(
        EventType::kJobRefused, offer->job.key, answer.error.peer,
        absl::StrCat("pool ", offer->tried.back(), ": ", answer.error.detail));
  }
  if (offer->withdrawn && IsRefusal(answer)) {
    Answer(offer, NotRunAnswer(offer->job,
                               {ErrorCode::kCancelled, Step::kForward, "",
                                "the job was cancelled between two offers"},
                               absl::ZeroDuration(), TaskErrors::kOmitted));
    return;
  }
  std::optional<PoolClaim> next_pool;
  if (IsRefusal(answer) && offer->tried.size() < kMaxOffers &&
      clock_.Monotonic() < offer->deadline) {
    // Other refusals, as of an owner that has just changed, do not tell that
    // there is too little room.
    offer->overloaded =
        offer->overloaded || answer.error.code == ErrorCode::kOverloaded;
    next_pool = ChoosePool(*offer);
    if (!next_pool.has_value() && HasUntriedPool(*offer)) {
      fits_nowhere_.Add();
      offer->fits_nowhere = true;
    }
  }
  if (!next_pool.has_value()) {
    Answer(offer, answer);
    return;
  }
  offered_again_.Add();
  MakeOffer(offer, *next_pool);
}

// An owner knows when its own pool may have room, but not the others.
absl::Duration PoolRouter::RetryAfter(const Offer& offer,
                                      const JobAnswer& answer) {
  const absl::Time now = clock_.Monotonic();
  absl::Duration wait = answer.retry_after;
  if (answer.error.code == ErrorCode::kOverloaded) {
    wait = view_.EarliestStart(offer.demand, now).value_or(wait);
  }
  return retries_->Next(now, wait);
}

void PoolRouter::Answer(const OfferPointer& offer, JobAnswer answer) {
  if (offer->callers.empty()) {
    return;
  }
  if (IsRefusal(answer) && answer.retry_after > absl::ZeroDuration()) {
    answer.retry_after = RetryAfter(*offer, answer);
  } else if (answer.status == JobStatus::kComplete) {
    retries_->OnServed(clock_.Monotonic());
  }
  const auto it = open_.find(offer->job.key);
  if (it != open_.end() && it->second == offer) {
    open_.erase(it);
  }
  if (answer.status == JobStatus::kNotRun) {
    log_.Write(Decision::kJobRefused, offer->job.key,
               ErrorCodeName(answer.error.code),
               {{"pools_tried", absl::StrJoin(offer->tried, ",")},
                {"not_offered_on",
                 offer->fits_nowhere ? "fits in no other pool in time" : ""},
                {"detail", answer.error.detail},
                {"retry_after_ms",
                 absl::StrCat(absl::ToInt64Milliseconds(answer.retry_after))}});
  }
  for (const auto& [submission, callback] : std::exchange(offer->callers, {})) {
    submissions_.erase(submission);
    callback(answer);
  }
}

void PoolRouter::Forward(const PoolClaim& owner, const OfferPointer& offer) {
  const JobSpec& job = offer->job;
  PoolJobRequest request;
  request.request = next_request_++;
  request.pool = owner.pool;
  request.key = job.key;
  request.environment = job.environment;
  request.upstream_class = job.upstream_class;
  request.payload = job.payload;
  request.steps = EncodeTasks(job);
  request.deadline_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(job.deadline));
  request.promised_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(job.promised));
  request.max_failures = static_cast<uint32_t>(job.tasks.front().max_failures);
  request.priority = job.priority;
  request.document_version = offer->document->version;
  request.sent_us = absl::ToUnixMicros(clock_.Monotonic());
  if (job.lease != nullptr) {
    request.arrived_us = absl::ToUnixMicros(job.lease->arrival());
    request.contact_epoch = job.lease->epoch();
  }
  forwarded_.Add();
  RecordEvent(EventType::kJobForwarded, job.key, owner.address,
              absl::StrCat("request ", request.request, " pool ", owner.pool,
                           " fence ", owner.fence));
  const std::string address = owner.address;
  if (!transport_.Send(address, request)) {
    OnAnswer(offer, NotRunAnswer(job,
                                 {ErrorCode::kUnreachable, Step::kForward,
                                  address, "the owner is unreachable"},
                                 kNoOwnerRetry, TaskErrors::kOmitted));
    return;
  }
  pending_[request.request] = {offer, request.pool, address, owner.fence,
                               offer->deadline + kReplyGracePeriod};
}

void PoolRouter::OnReply(const PoolJobReply& reply) {
  const auto it = pending_.find(reply.request);
  if (it == pending_.end() || it->second.offer->job.key != reply.key) {
    return;
  }
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  JobAnswer answer;
  answer.key = reply.key;
  answer.status = static_cast<JobStatus>(reply.status);
  answer.error = {static_cast<ErrorCode>(reply.error), Step::kForward,
                  pending.address, reply.detail};
  answer.retry_after = absl::Milliseconds(reply.retry_after_ms);
  view_.OnReply(pending.pool, reply, clock_.Monotonic());
  OnAnswer(pending.offer, answer);
}

void PoolRouter::Fail(uint64_t request, ErrorCode code, const char* reason) {
  const auto it = pending_.find(request);
  if (it == pending_.end()) {
    return;
  }
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  unknown_.Add();
  const std::string& key = pending.offer->job.key;
  // The owner may be alive and reach its upstreams; it must not continue a job
  // that the caller may submit again. The cancellation may be lost, so the
  // status messages repeat it.
  transport_.Send(pending.address, PoolJobCancel{0, key, request});
  given_up_until_[pending.address] = clock_.Monotonic() + kGivenUpNoticeTime;
  JobAnswer answer;
  answer.key = key;
  answer.status = JobStatus::kFailed;
  answer.error = {code, Step::kForward, pending.address, reason};
  const PoolLoad* load = view_.Find(pending.pool);
  log_.Write(Decision::kJobUnknown, key, ErrorCodeName(code),
             {{"pool", pending.pool},
              {"owner", pending.address},
              {"fence", absl::StrCat(pending.fence)},
              {"entry_request", absl::StrCat(request)},
              {"owner_report_age_ms",
               load == nullptr ? ""
                               : absl::StrCat(absl::ToInt64Milliseconds(
                                     clock_.Monotonic() - load->reported))},
              {"detail", reason}});
  RecordEvent(EventType::kJobCancelled, key, pending.address, reason);
  log_.WriteCancelHistory(key, timeline_);
  Answer(pending.offer, answer);
}

void PoolRouter::RecordEvent(EventType type,
                             const std::string& job,
                             const std::string& peer,
                             std::string cause) {
  Event event;
  event.type = type;
  event.job = job;
  event.peer = peer;
  event.cause = std::move(cause);
  timeline_.Record(std::move(event));
}

bool PoolRouter::Withdraw(const std::string& key) {
  const auto it = open_.find(key);
  if (it == open_.end()) {
    return false;
  }
  it->second->withdrawn = true;
  return true;
}

void PoolRouter::Abandon(uint64_t submission) {
  const auto it = submissions_.find(submission);
  if (it == submissions_.end()) {
    return;
  }
  const OfferPointer offer = std::move(it->second);
  submissions_.erase(it);
  offer->callers.erase(submission);
  if (offer->callers.empty()) {
    CancelAbandoned(offer);
  }
}

void PoolRouter::CancelAbandoned(const OfferPointer& offer) {
  const std::string& key = offer->job.key;
  offer->withdrawn = true;
  open_.erase(key);
  const auto it = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const auto& pending) { return pending.second.offer == offer; });
  if (it == pending_.end()) {
    log_.Write(Decision::kJobAbandoned, key, kClientDisconnected,
               {{"pools_tried", absl::StrJoin(offer->tried, ",")}});
    cancel_local_(key);
    return;
  }
  transport_.Send(it->second.address, PoolJobCancel{0, key, it->first});
  log_.Write(Decision::kJobAbandoned, key, kClientDisconnected,
             {{"pools_tried", absl::StrJoin(offer->tried, ",")},
              {"owner", it->second.address},
              {"fence", absl::StrCat(it->second.fence)},
              {"entry_request", absl::StrCat(it->first)}});
  RecordEvent(EventType::kJobCancelled, key, it->second.address,
              std::string(kClientDisconnected));
  log_.WriteCancelHistory(key, timeline_);
  given_up_until_[it->second.address] = clock_.Monotonic() + kGivenUpNoticeTime;
  pending_.erase(it);
}

void PoolRouter::OnPeerDisconnected(const std::string& peer_address) {
  std::vector<uint64_t> lost;
  for (const auto& [request, pending] : pending_) {
    if (pending.address == peer_address) {
      lost.push_back(request);
    }
  }
  for (const uint64_t it : lost) {
    Fail(it, ErrorCode::kConnectionBroken, "the connection to the owner broke");
  }
}

void PoolRouter::Tick() {
  const absl::Time now = clock_.Monotonic();
  absl::erase_if(given_up_until_,
                 [now](const auto& it) { return it.second <= now; });
  std::vector<uint64_t> owner_lost;
  std::vector<uint64_t> late;
  for (const auto& [request, pending] : pending_) {
    const PoolClaim* owner = ownership_.Owner(pending.pool);
    if (owner == nullptr || owner->fence != pending.fence) {
      owner_lost.push_back(request);
    } else if (pending.deadline <= now) {
      late.push_back(request);
    }
  }
  for (const uint64_t it : owner_lost) {
    Fail(it, ErrorCode::kOutcomeUnknown,
         "the owner of the pool is unresponsive or was replaced");
  }
  for (const uint64_t it : late) {
    Fail(it, ErrorCode::kDeadlineExceeded, "the owner did not answer in time");
  }
}

uint64_t PoolRouter::OldestRequestAt(const std::string& address) const {
  for (const auto& [request, pending] : pending_) {
    if (pending.address == address) {
      return request;
    }
  }
  return next_request_;
}

bool PoolRouter::HasPendingAt(const std::string& address) const {
  const auto given_up = given_up_until_.find(address);
  if (given_up != given_up_until_.end() &&
      given_up->second > clock_.Monotonic()) {
    return true;
  }
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& it) {
    return it.second.address == address;
  });
}

}  // namespace radishrail
