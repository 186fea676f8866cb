#ifndef RADISHRAIL_POOL_ROUTER_H_
#define RADISHRAIL_POOL_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/decision_log.h"
#include "radishrail/job.h"
#include "radishrail/metrics.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/pool_ownership.h"
#include "radishrail/pool_view.h"
#include "radishrail/random.h"
#include "radishrail/routed_documents.h"
#include "radishrail/timeline.h"

namespace radishrail {

namespace internal {
class RetrySchedule;
}

// The entry daemon's side of dispatch to pools: chooses the pool of each job,
// forwards the job to the pool's owner and matches the reply. A job that an
// owner refused as not run is offered to other pools. If the owner becomes
// unresponsive, the caller gets an unknown outcome and a cancellation is sent
// to the owner. Single-threaded.
class PoolRouter {
 public:
  using AnswerCallback = std::function<void(const JobAnswer&)>;
  // Dispatches a job to a pool that this daemon owns.
  using LocalSubmit =
      std::function<void(JobSpec job,
                         std::shared_ptr<const VersionedDocument> document,
                         AnswerCallback callback)>;
  // Cancels a job that was dispatched by `LocalSubmit`.
  using LocalCancel = std::function<void(const std::string& key)>;

  PoolRouter(std::string failure_domain,
             uint64_t first_request,
             const Clock& clock,
             PeerTransport& transport,
             const PoolOwnership& ownership,
             LocalSubmit submit_local,
             LocalCancel cancel_local,
             Random& random,
             Metrics& metrics,
             Timeline& timeline,
             DecisionLog& log);
  ~PoolRouter();

  // `callback` runs exactly once, unless the submission is abandoned before. A
  // submission of a job that has no final answer yet joins it. Returns the
  // number of the submission.
  uint64_t Submit(JobSpec job,
                  const RoutedDocument& route,
                  AnswerCallback callback);
  // Drops the answer to a caller that disconnected, and cancels the job if no
  // other caller waits for it.
  void Abandon(uint64_t submission);
  // Ensures that the job is offered to no further pool: the pool that refuses
  // it next ends it. Returns whether the job has no final answer yet.
  bool Withdraw(const std::string& key);
  void OnReply(const PoolJobReply& reply);
  void OnPeerDisconnected(const std::string& peer_address);
  // Stores the load of a pool from a claim that its owner sent at `sent`.
  void OnClaim(const PoolClaim& claim, absl::Time sent);
  // Offers no job to the pools of these failure domains from now on.
  void SetEvacuated(std::set<std::string> domains) {
    evacuated_ = std::move(domains);
  }
  // `domains`: the failure domain of each rack. A task runs `remote_run_factor`
  // times as long off its preferred rack.
  void SetRacks(absl::flat_hash_map<std::string, std::string> domains,
                double remote_run_factor) {
    domain_of_rack_ = std::move(domains);
    remote_run_factor_ = remote_run_factor;
  }
  // Fails jobs whose owner is unresponsive or replaced, or whose deadline has
  // passed.
  void Tick();

  size_t pending() const { return pending_.size(); }
  // True if jobs of this daemon are pending at the peer, or were until recently
  // and may continue there.
  bool HasPendingAt(const std::string& address) const;
  // Number of the oldest request that is pending at the peer, or of the next
  // one.
  uint64_t OldestRequestAt(const std::string& address) const;

 private:
  // A job and the pools that it was offered to.
  struct Offer {
    JobSpec job;
    std::shared_ptr<const VersionedDocument> document;
    RoomDemand demand;
    absl::Time deadline;
    std::vector<std::string> tried;
    bool withdrawn = false;     // offered to no further pool
    bool overloaded = false;    // a pool refused it for lack of room
    bool fits_nowhere = false;  // no untried pool can run it in time
    // Callers that wait for the answer, by number of their submission. Empty
    // once the job has its final answer or is abandoned.
    std::map<uint64_t, AnswerCallback> callers;
  };
  using OfferPointer = std::shared_ptr<Offer>;

  struct Pending {
    OfferPointer offer;
    std::string pool;
    std::string address;
    uint64_t fence = 0;
    absl::Time deadline;
  };

  // Claim of the untried pool that the job is offered to. A job that was
  // refused for lack of room is offered only where it may keep its promise. A
  // copy, since the owner may time out before the offer is made.
  std::optional<PoolClaim> ChoosePool(const Offer& offer);
  // True if an accepting owner was not offered the job yet.
  bool HasUntriedPool(const Offer& offer) const;
  // Limits the promised time of a refused job to the rest of it.
  void ReducePromise(Offer& offer, const std::string& pool) const;
  // How much longer the job takes in the pool since the preferred racks of its
  // tasks are elsewhere.
  absl::Duration RackPenalty(const Offer& offer, const std::string& pool) const;
  absl::Duration SilencePenalty(const std::string& pool,
                                const PoolLoad& load) const;
  // Answer to a job that no pool can be offered.
  JobAnswer NoPoolAnswer(const JobSpec& job) const;
  void MakeOffer(const OfferPointer& offer, const PoolClaim& pool);
  void Answer(const OfferPointer& offer, JobAnswer answer);
  // The time after which the caller of a refused job returns.
  absl::Duration RetryAfter(const Offer& offer, const JobAnswer& answer);
  void Forward(const PoolClaim& owner, const OfferPointer& offer);
  // Offers a job that was refused to another pool, or answers the caller.
  void OnAnswer(const OfferPointer& offer, const JobAnswer& answer);
  void Fail(uint64_t request, ErrorCode code, const char* reason);
  void RecordEvent(EventType type,
                   const std::string& job,
                   const std::string& peer,
                   std::string cause);
  // Cancels a job that no caller waits for.
  void CancelAbandoned(const OfferPointer& offer);

  const std::string failure_domain_;
  const Clock& clock_;
  PeerTransport& transport_;
  const PoolOwnership& ownership_;
  const LocalSubmit submit_local_;
  const LocalCancel cancel_local_;
  Counter& forwarded_;
  Counter& unknown_;
  Counter& without_owner_;
  Counter& offered_again_;
  Counter& offered_for_room_;
  Counter& fits_nowhere_;
  Timeline& timeline_;
  DecisionLog& log_;
  uint64_t next_request_;
  std::map<uint64_t, Pending> pending_;
  // Jobs without a final answer, by key.
  absl::flat_hash_map<std::string, OfferPointer> open_;
  absl::flat_hash_map<uint64_t, OfferPointer> submissions_;
  uint64_t next_submission_ = 1;
  // Peers at which jobs were given up, and until when they are told so.
  absl::flat_hash_map<std::string, absl::Time> given_up_until_;
  PoolView view_;
  absl::flat_hash_map<std::string, std::string> domain_of_rack_;
  double remote_run_factor_ = 1;
  std::set<std::string> evacuated_;
  std::unique_ptr<internal::RetrySchedule> retries_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_ROUTER_H_
