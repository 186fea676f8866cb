#include "radishrail/slot_broker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

namespace radishrail {

namespace {

// The borrower counts the duration of a loan from the receipt of the grant; the
// home daemon adds this margin, which covers the transmission.
constexpr absl::Duration kLoanTransmissionMargin = absl::Milliseconds(200);
// Age at which loans are renewed; short enough that a loan survives one lost
// renewal.
constexpr absl::Duration kRenewAfter = absl::Milliseconds(700);
// Minimum delay before another request for slots to the same home daemon; it
// restarts when that daemon grants nothing.
constexpr absl::Duration kHomeRequestBackoff = absl::Milliseconds(200);
// A reservation for a requester expires unless the request is repeated.
constexpr absl::Duration kReservationDuration = absl::Milliseconds(600);
constexpr size_t kHomeRequestsPerTick = 2;
// Homes are not recomputed at each tick: iterating over 300 members costs more
// than the rest of a tick.
constexpr absl::Duration kHomeCheckInterval = absl::Milliseconds(500);

uint64_t RendezvousScore(const std::string& upstream, const MemberRecord& it) {
  const std::string text = absl::StrCat(upstream, "/", it.vm);
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

class SlotBroker::Impl {
 public:
  Impl(const Clock& clock,
       Random& random,
       PeerTransport& transport,
       const Membership& membership)
      : clock_(clock),
        random_(random),
        transport_(transport),
        membership_(membership) {}

  void SetUpstream(const std::string& name,
                   const std::string& failure_domain,
                   int slots) {
    Upstream& upstream = upstreams_[name];
    upstream.name = name;
    upstream.failure_domain = failure_domain;
    upstream.slots = slots;
    members_hash_ = 0;  // recompute the homes at the next tick
  }

  void RemoveUpstream(const std::string& name) {
    const auto it = upstreams_.find(name);
    if (it != upstreams_.end()) {
      Publish(name, 0);
      published_.erase(name);
      std::erase(home_upstreams_, &it->second);
      std::erase(borrowed_, &it->second);
      std::erase(in_use_, &it->second);
      upstreams_.erase(it);
    }
  }

  void SetDemand(int queued_tasks, const std::vector<SlotUse>& use) {
    queued_ = queued_tasks;
    for (Upstream* it : in_use_) {
      it->running = 0;
    }
    in_use_.clear();
    for (const auto& it : use) {
      const auto found = upstreams_.find(it.upstream);
      if (found != upstreams_.end()) {
        found->second.running = it.running;
        in_use_.push_back(&found->second);
      }
    }
  }

  void Tick() {
    const absl::Time now = clock_.Monotonic();
    RefillRequestBudget(now);
    RecomputeHomes(now);
    ExpireLoans(now);
    PublishAllowances();
    RenewLoans(now);
    BorrowSlots(now);
  }

  void OnRequest(const MemberRecord& sender, const SlotRequest& request) {
    const absl::Time now = clock_.Monotonic();
    RenewOrEndLoans(sender.vm, request.keep, now);
    LendIdleSlots(sender.vm, request, now);
    SlotGrant grant;
    grant.duration_ms =
        static_cast<uint32_t>(absl::ToInt64Milliseconds(kSlotLoanDuration));
    for (const Upstream* home_upstream : home_upstreams_) {
      const auto it = home_upstream->lent.find(sender.vm);
      if (it != home_upstream->lent.end() && it->second.slots > 0) {
        grant.loans.push_back(
            {home_upstream->name, static_cast<uint32_t>(it->second.slots)});
      }
    }
    grant.queued = static_cast<uint32_t>(queued_);
    grant.slots = static_cast<uint32_t>(TotalAllowance());
    ++messages_sent_;
    transport_.Send(sender.peer_address, grant);
    PublishAllowances();
  }

  void OnGrant(const MemberRecord& sender, const SlotGrant& grant) {
    const absl::Time now = clock_.Monotonic();
    HomeState& home = home_states_[sender.vm];
    home.answered = true;
    if (home.wanted > 0 && grant.loans.empty()) {
      ++empty_grants_;
      home.next_request_time =
          now + kHomeRequestBackoff + absl::Milliseconds(random_.Below(100));
    }
    for (Upstream* it : borrowed_) {
      if (it->lender == sender.vm) {
        it->borrowed = 0;
        it->usable = 0;
      }
    }
    for (const auto& it : grant.loans) {
      const auto found = upstreams_.find(it.upstream);
      if (found == upstreams_.end() || found->second.home == self()) {
        continue;
      }
      found->second.lender = sender.vm;
      if (std::find(borrowed_.begin(), borrowed_.end(), &found->second) ==
          borrowed_.end()) {
        borrowed_.push_back(&found->second);
      }
      // A valid grant never exceeds the slots of the upstream.
      found->second.borrowed = std::min<int>(
          static_cast<int>(std::min<uint32_t>(it.slots, 1U << 20)),
          found->second.slots);
      found->second.borrowed_until =
          now +
          std::min(kSlotLoanDuration, absl::Milliseconds(grant.duration_ms));
      found->second.usable = found->second.borrowed;
      found->second.renew_at = now + kRenewAfter;
    }
    DrainExcessLoans(sender.vm, grant);
    PublishAllowances();
  }

  std::vector<SlotAllowance> TakeChanges() {
    return std::exchange(changes_, {});
  }

  uint64_t messages_sent() const { return messages_sent_; }
  uint64_t empty_grants() const { return empty_grants_; }

 private:
  struct Loan {
    int slots = 0;
    absl::Time until;
  };

  struct Upstream {
    std::string name;
    std::string failure_domain;
    int slots = 0;
    std::string home;
    int running = 0;  // tasks of this daemon
    // Used by the home daemon, by vm of the borrower or requester.
    std::map<std::string, Loan> lent;
    std::map<std::string, Loan> reserved;
    // Used by a borrower.
    std::string lender;
    int borrowed = 0;
    int usable = 0;  // at most `borrowed`; the rest is being returned
    absl::Time borrowed_until = absl::InfinitePast();
    absl::Time renew_at = absl::InfiniteFuture();
  };

  // State of the requests to another home daemon.
  struct HomeState {
    int wanted = 0;
    bool answered = true;
    absl::Time next_request_time = absl::InfinitePast();
  };

  const std::string& self() const { return membership_.self().vm; }

  static int Sum(const std::map<std::string, Loan>& loans) {
    int n = 0;
    for (const auto& [vm, loan] : loans) {
      n += loan.slots;
    }
    return n;
  }

  int Allowance(const Upstream& upstream) const {
    if (upstream.home == self()) {
      return std::max(
          0, upstream.slots - Sum(upstream.lent) - Sum(upstream.reserved));
    }
    return std::min(upstream.borrowed, upstream.usable);
  }

  // Slots of an upstream homed here that are neither lent nor in use. Reserved
  // slots count as idle: they are held back for lending.
  int IdleSlots(const Upstream& upstream) const {
    return std::max(0, upstream.slots - Sum(upstream.lent) - upstream.running);
  }

  int TotalAllowance() const {
    int n = 0;
    for (const Upstream* it : home_upstreams_) {
      n += Allowance(*it);
    }
    for (const Upstream* it : borrowed_) {
      n += Allowance(*it);
    }
    return n;
  }

  void RefillRequestBudget(absl::Time now) {
    if (last_refill_ != absl::InfinitePast()) {
      request_budget_ +=
          absl::ToDoubleSeconds(now - last_refill_) * kMaxSlotRequestsPerSecond;
    }
    last_refill_ = now;
    request_budget_ =
        std::min<double>(request_budget_, kMaxSlotRequestsPerSecond / 4.0);
  }

  bool ConsumeRequestBudget() {
    if (request_budget_ < 1.0) {
      return false;
    }
    request_budget_ -= 1.0;
    return true;
  }

  // Homes depend only on the reachable members that are ready; they are
  // recomputed when that set or the set of upstreams changes.
  void RecomputeHomes(absl::Time now) {
    if (members_hash_ != 0 && now < next_home_check_) {
      return;
    }
    next_home_check_ = now + kHomeCheckInterval;
    std::vector<MemberRecord> members = membership_.Reachable();
    members.push_back(membership_.self());
    uint64_t hash = 1;
    for (const auto& it : members) {
      if (it.state == MemberState::kReady || it.vm == self()) {
        hash = XXH64(it.vm.data(), it.vm.size(), hash);
      }
    }
    if (hash == members_hash_) {
      return;
    }
    members_hash_ = hash;
    home_upstreams_.clear();
    std::map<std::string, std::vector<MemberRecord>> members_of_domain;
    for (auto& it : members) {
      if (it.state == MemberState::kReady || it.vm == self()) {
        members_of_domain[it.failure_domain].push_back(std::move(it));
      }
    }
    for (auto& [name, upstream] : upstreams_) {
      AssignHome(name, upstream, members_of_domain[upstream.failure_domain]);
      if (upstream.home == self()) {
        home_upstreams_.push_back(&upstream);
      } else {
        Publish(name, Allowance(upstream));
      }
    }
  }

  // `members` are the ready ones of the upstream's failure domain.
  void AssignHome(const std::string& name,
                  Upstream& upstream,
                  const std::vector<MemberRecord>& members) {
    std::string home;
    double best = -std::numeric_limits<double>::infinity();
    for (const auto& it : members) {
      // Weighted rendezvous hashing: a VM with twice the weight is the home of
      // twice as many upstreams.
      const double uniform =
          (static_cast<double>(RendezvousScore(name, it) >> 11) + 1.0) *
          0x1.0p-53;
      const double score = static_cast<double>(it.weight) / -std::log(uniform);
      if (score > best) {
        best = score;
        home = it.vm;
      }
    }
    if (home != upstream.home) {
      upstream.home = home;
      upstream.lent.clear();
      upstream.reserved.clear();
      upstream.borrowed = 0;
      upstream.lender.clear();
    }
  }

  void ExpireLoans(absl::Time now) {
    for (Upstream* it : home_upstreams_) {
      const auto is_expired = [&](const auto& loan) {
        return loan.second.until <= now;
      };
      std::erase_if(it->lent, is_expired);
      std::erase_if(it->reserved, is_expired);
    }
    for (Upstream* it : borrowed_) {
      if (it->borrowed > 0 && it->borrowed_until <= now) {
        it->borrowed = 0;
      }
    }
  }

  void Publish(const std::string& name, int slots) {
    int& published = published_[name];
    if (published != slots) {
      published = slots;
      changes_.push_back({name, slots});
    }
  }

  void PublishAllowances() {
    for (const Upstream* it : home_upstreams_) {
      Publish(it->name, Allowance(*it));
    }
    for (const Upstream* it : borrowed_) {
      Publish(it->name, Allowance(*it));
    }
    std::erase_if(borrowed_,
                  [](const Upstream* it) { return it->borrowed == 0; });
  }

  void RenewOrEndLoans(const std::string& vm,
                       const std::vector<SlotLoan>& keep,
                       absl::Time now) {
    for (Upstream* home_upstream : home_upstreams_) {
      Upstream& upstream = *home_upstream;
      const auto it = std::find_if(
          keep.begin(), keep.end(),
          [&](const auto& loan) { return loan.upstream == upstream.name; });
      if (it == keep.end()) {
        upstream.lent.erase(vm);
        continue;
      }
      // A loan without a record here was granted by the previous home daemon;
      // it is adopted as far as the slots are not lent to others.
      const int others =
          Sum(upstream.lent) -
          (upstream.lent.contains(vm) ? upstream.lent[vm].slots : 0);
      const int kept = std::min<int>(
          static_cast<int>(std::min<uint32_t>(it->slots, 1U << 20)),
          upstream.slots - others);
      if (kept > 0) {
        upstream.lent[vm] = {kept,
                             now + kSlotLoanDuration + kLoanTransmissionMargin};
      } else {
        upstream.lent.erase(vm);
      }
    }
  }

  // Size x of the loan after which both daemons have the same number of queued
  // tasks per slot: q_r / (s_r + x) = q_h / (s_h - x). Both slot counts are
  // those without loans between the two: s_h includes the slots already lent,
  // s_r does not.
  static int FairLoan(double requester_queue,
                      double requester_slots,
                      double home_queue,
                      double home_slots) {
    if (requester_queue <= 0) {
      return 0;
    }
    const double x =
        (requester_queue * home_slots - home_queue * requester_slots) /
        (requester_queue + home_queue);
    return static_cast<int>(std::clamp(x, 0.0, home_slots));
  }

  // Stops using borrowed slots beyond the fair loan when the home daemon has
  // more queued tasks per slot. They are returned when their tasks have ended.
  void DrainExcessLoans(const std::string& home, const SlotGrant& grant) {
    int borrowed = 0;
    for (const Upstream* it : borrowed_) {
      borrowed += it->lender == home ? it->borrowed : 0;
    }
    const int own = TotalAllowance() - borrowed;
    int excess =
        borrowed - FairLoan(queued_, own, grant.queued,
                            static_cast<double>(grant.slots) + borrowed);
    if (queued_ == 0 || grant.queued == 0) {
      return;  // idle loans are returned anyway; an idle home needs no slots
    }
    for (Upstream* it : borrowed_) {
      if (it->lender == home && excess > 0) {
        const int n = std::min(excess, it->usable);
        it->usable -= n;
        excess -= n;
      }
    }
  }

  void LendIdleSlots(const std::string& vm,
                     const SlotRequest& request,
                     absl::Time now) {
    int lent = 0;
    for (Upstream* home_upstream : home_upstreams_) {
      home_upstream->reserved.erase(vm);
      const auto it = home_upstream->lent.find(vm);
      lent += it == home_upstream->lent.end() ? 0 : it->second.slots;
    }
    const int fair =
        FairLoan(request.queued,
                 std::max(0.0, static_cast<double>(request.slots) - lent),
                 queued_, TotalAllowance() + lent);
    int wanted = std::min<int>(
        static_cast<int>(std::min<uint32_t>(request.wanted, 1U << 20)),
        std::max(0, fair - lent));
    std::vector<Upstream*> candidates = home_upstreams_;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [this](const Upstream* a, const Upstream* b) {
                       return IdleSlots(*a) > IdleSlots(*b);
                     });
    for (Upstream* it : candidates) {
      const int n = std::min(wanted, LendableSlots(*it));
      if (n > 0) {
        Loan& loan = it->lent[vm];
        loan = {loan.slots + n,
                now + kSlotLoanDuration + kLoanTransmissionMargin};
        wanted -= n;
      }
    }
    ReserveSlots(vm, wanted, candidates, now);
  }

  // Idle slots that are not reserved for other requesters.
  int LendableSlots(const Upstream& upstream) const {
    return std::max(0, IdleSlots(upstream) - Sum(upstream.reserved));
  }

  // Reserves slots that are busy now, round-robin over the upstreams, so that
  // they are idle when the requester repeats its request.
  void ReserveSlots(const std::string& vm,
                    int wanted,
                    const std::vector<Upstream*>& candidates,
                    absl::Time now) {
    bool progress = true;
    while (wanted > 0 && progress) {
      progress = false;
      for (Upstream* it : candidates) {
        if (wanted > 0 && Allowance(*it) > 0) {
          Loan& reservation = it->reserved[vm];
          reservation = {reservation.slots + 1, now + kReservationDuration};
          --wanted;
          progress = true;
        }
      }
    }
  }

  // The part of a home daemon's loans that this daemon still needs: the slots
  // in use and, while tasks are queued, all usable ones.
  std::vector<SlotLoan> LoansToKeep(const std::string& home) const {
    std::vector<SlotLoan> keep;
    for (const Upstream* it : borrowed_) {
      const Upstream& upstream = *it;
      if (upstream.lender != home || upstream.borrowed == 0) {
        continue;
      }
      const int needed =
          std::max(queued_ > 0 ? upstream.usable : 0, upstream.running);
      const int n = std::min(upstream.borrowed, needed);
      if (n > 0) {
        keep.push_back({upstream.name, static_cast<uint32_t>(n)});
      }
    }
    return keep;
  }

  bool Request(const MemberRecord& home, int wanted) {
    if (!ConsumeRequestBudget()) {
      return false;
    }
    SlotRequest request;
    request.keep = LoansToKeep(home.vm);
    request.wanted = static_cast<uint32_t>(wanted);
    request.queued = static_cast<uint32_t>(queued_);
    request.slots = static_cast<uint32_t>(TotalAllowance());
    // Returned slots must not be used once the message is sent.
    for (Upstream* it : borrowed_) {
      if (it->lender == home.vm) {
        const int needed = std::max(queued_ > 0 ? it->usable : 0, it->running);
        it->borrowed = std::min(it->borrowed, needed);
      }
    }
    HomeState& state = home_states_[home.vm];
    state.wanted = wanted;
    state.answered = false;
    state.next_request_time = clock_.Monotonic() + kHomeRequestBackoff;
    ++messages_sent_;
    return transport_.Send(home.peer_address, request);
  }

  void RenewLoans(absl::Time now) {
    std::map<std::string, bool> lenders;
    for (Upstream* it : borrowed_) {
      if (it->borrowed > 0 && it->renew_at <= now) {
        lenders[it->lender] = true;
        it->renew_at = now + kRenewAfter;
      }
    }
    for (const auto& [vm, unused] : lenders) {
      const auto home = membership_.Find(vm);
      if (home.has_value() && membership_.IsReachable(vm)) {
        Request(*home, 0);
      }
    }
    PublishAllowances();
  }

  // Requests slots while more tasks are queued than slots are free: first from
  // home daemons in this daemon's failure domain, from others if each of those
  // was sent a request or granted nothing within about `kHomeRequestBackoff`.
  void BorrowSlots(absl::Time now) {
    int running = 0;
    for (const Upstream* it : in_use_) {
      running += it->running;
    }
    const int free = TotalAllowance() - running;
    const int wanted = queued_ - std::max(0, free);
    if (wanted <= 0) {
      return;
    }
    std::vector<MemberRecord> candidates = RequestableHomes(
        membership_.ReachableIn(membership_.self().failure_domain), now);
    if (candidates.empty()) {
      candidates = RequestableHomes(membership_.Reachable(), now);
    }
    for (size_t i = 0; i < kHomeRequestsPerTick && !candidates.empty(); ++i) {
      const size_t n = random_.Below(candidates.size());
      Request(candidates[n], wanted);
      candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(n));
    }
    PublishAllowances();
  }

  std::vector<MemberRecord> RequestableHomes(std::vector<MemberRecord> members,
                                             absl::Time now) {
    std::erase_if(members, [&](const MemberRecord& it) {
      return it.vm == self() || it.state != MemberState::kReady ||
             home_states_[it.vm].next_request_time > now;
    });
    return members;
  }

  const Clock& clock_;
  Random& random_;
  PeerTransport& transport_;
  const Membership& membership_;
  std::map<std::string, Upstream> upstreams_;
  // The upstreams that a tick iterates over, so that its cost does not grow
  // with the fleet. They point into `upstreams_`.
  std::vector<Upstream*> home_upstreams_;
  std::vector<Upstream*> borrowed_;
  std::vector<Upstream*> in_use_;
  std::map<std::string, HomeState> home_states_;
  std::map<std::string, int> published_;
  std::vector<SlotAllowance> changes_;
  int queued_ = 0;
  uint64_t members_hash_ = 0;
  absl::Time next_home_check_ = absl::InfinitePast();
  absl::Time last_refill_ = absl::InfinitePast();
  double request_budget_ = kMaxSlotRequestsPerSecond / 4.0;
  uint64_t messages_sent_ = 0;
  uint64_t empty_grants_ = 0;
};

SlotBroker::SlotBroker(const Clock& clock,
                       Random& random,
                       PeerTransport& transport,
                       const Membership& membership)
    : impl_(std::make_unique<Impl>(clock, random, transport, membership)) {}

SlotBroker::~SlotBroker() = default;

void SlotBroker::SetUpstream(const std::string& upstream,
                             const std::string& failure_domain,
                             int slots) {
  impl_->SetUpstream(upstream, failure_domain, slots);
}

void SlotBroker::RemoveUpstream(const std::string& upstream) {
  impl_->RemoveUpstream(upstream);
}

void SlotBroker::SetDemand(int queued_tasks, const std::vector<SlotUse>& use) {
  impl_->SetDemand(queued_tasks, use);
}

void SlotBroker::Tick() {
  impl_->Tick();
}

void SlotBroker::OnPeerMessage(const MemberRecord& sender,
                               const PeerMessage& message) {
  if (const auto* request = std::get_if<SlotRequest>(&message)) {
    impl_->OnRequest(sender, *request);
  } else if (const auto* grant = std::get_if<SlotGrant>(&message)) {
    impl_->OnGrant(sender, *grant);
  }
}

std::vector<SlotAllowance> SlotBroker::TakeChanges() {
  return impl_->TakeChanges();
}

uint64_t SlotBroker::messages_sent() const {
  return impl_->messages_sent();
}

uint64_t SlotBroker::empty_grants() const {
  return impl_->empty_grants();
}

}  // namespace radishrail
