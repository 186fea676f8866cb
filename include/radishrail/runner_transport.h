#ifndef RADISHRAIL_RUNNER_TRANSPORT_H_
#define RADISHRAIL_RUNNER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail {

// Outcome of an order to a runner. A rejected order starts or
// stops no run.
enum class OrderStatus {
  kDone,
  kFenced,         // rejected: the runner has seen a higher fencing token
  kStale,          // rejected: the run number was used there before
  kLeaseExpired,   // rejected: the lease in the order had expired
  kNoCapacity,     // rejected: the runner is at capacity
  kOtherInstance,  // rejected: another instance answered at the address
  kUnhealthy,      // rejected: the runner is failing
  kInvalid,        // rejected: the runner cannot parse the order
  kNotSent,        // no byte was sent
  kNoAnswer,       // may have been executed, or may be later
  kMaxValue = kNoAnswer,
};

struct RunnerAddress {
  std::string vm;       // instance name of the runner
  std::string address;  // "ip:port"
};

// Fields in milliseconds are on the runner's clock.
struct StartOrder {
  RunnerAddress runner;
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  std::string payload;
  int64_t lease_until_ms = 0;
  uint64_t fence = 0;
  absl::Duration timeout;
  // The order is not sent after this time (this daemon's monotonic clock).
  absl::Time send_by;
};

struct StopOrder {
  RunnerAddress runner;
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  uint64_t fence = 0;
  absl::Duration timeout;
};

// Reads the runner's lists of active and ended runs with a long poll, which is
// answered after `wait` or when a run ends. It extends the lease of all runs if
// `lease_until_ms` is not zero and acknowledges the ended runs with numbers up
// to `last_seen`.
struct HoldOrder {
  RunnerAddress runner;
  uint64_t fence = 0;
  uint64_t last_seen = 0;
  int64_t lease_until_ms = 0;
  absl::Duration wait;
  absl::Duration timeout;
};

struct OrderReply {
  OrderStatus status = OrderStatus::kNoAnswer;
  int64_t clock_ms = 0;  // the runner's clock; 0: not reported
  Error error;
};

// How a run ended; the values are the platform's.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kAlone,
  kMaxValue = kAlone,
};

struct ActiveRun {
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  int percent = 0;
};

struct EndedRun {
  uint64_t number = 0;  // counts the ended runs of a runner's incarnation
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  RunEnd end = RunEnd::kStopped;
};

struct HoldReply {
  OrderReply order;
  int64_t incarnation = 0;  // of the runner; 0: not reported
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

// Sends orders to runners. Does not block; each callback runs exactly once, on
// the control thread.
class RunnerTransport {
 public:
  using OrderCallback = std::function<void(OrderReply)>;
  using HoldCallback = std::function<void(HoldReply)>;

  virtual ~RunnerTransport() = default;
  virtual void Start(StartOrder order, OrderCallback callback) = 0;
  virtual void Stop(StopOrder order, OrderCallback callback) = 0;
  virtual void Hold(HoldOrder order, HoldCallback callback) = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RUNNER_TRANSPORT_H_
