#ifndef RADISHRAIL_JOB_LEASE_H_
#define RADISHRAIL_JOB_LEASE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>

#include "absl/time/time.h"

namespace radishrail {

// Time from the last evidence that a job's client may still wait for it until
// all its runs have ended. A client submits a job again 1.3 s after it lost its
// connection; the rest is for differences between clocks.
inline constexpr absl::Duration kJobLease = absl::Milliseconds(1200);

// When the clients of an entry daemon are last known to have been connected to
// it, on this daemon's monotonic clock.
struct ClientContact {
  absl::Time last = absl::InfinitePast();
  // A daemon that may have lost clients without noticing it begins a new epoch
  // for the clients that come later.
  uint32_t epoch = 0;
};

// Permission to run the tasks of a job. It expires by itself unless the entry
// daemon of the job renews it, so that a run whose stop is lost, or whose owner
// is paused, ends before the client's repetition of the job can start.
class JobLease {
 public:
  // `arrival` is when the entry daemon received the job; `contact` belongs to
  // that daemon.
  JobLease(absl::Time arrival, std::shared_ptr<const ClientContact> contact)
      : arrival_(arrival), contact_(std::move(contact)) {}

  absl::Time arrival() const { return arrival_; }
  uint32_t epoch() const { return contact_->epoch; }
  absl::Time expiry() const {
    return std::max(arrival_, contact_->last) + kJobLease;
  }

 private:
  const absl::Time arrival_;
  const std::shared_ptr<const ClientContact> contact_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_LEASE_H_
