#ifndef RADISHRAIL_RUNNER_TRANSPORT_H_
#define RADISHRAIL_RUNNER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail {

// What a runner did with an order.
enum class OrderStatus {
  kDone,
  kFenced,     // it knows a higher fencing token; nothing was done
  kStale,      // this run number was used there before; nothing was done
  kLate,       // the lease in the order had passed; nothing was done
  kNoRoom,     // nothing was done
  kOtherLife,  // another life of the runner answered; nothing was done
  kUnhealthy,  // refused by a failing runner; nothing was done
  kInvalid,    // the runner does not understand the order
  kNotSent,    // no byte was sent
  kNoAnswer,   // may have been or may still be carried out
  kMaxValue = kNoAnswer,
};

struct RunnerAddress {
  std::string vm;       // name of the runner's life
  std::string address;  // "ip:port"
};

// All times are on the runner's clock, in milliseconds.
struct StartOrder {
  RunnerAddress runner;
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  std::string payload;
  int64_t lease_until_ms = 0;
  uint64_t fence = 0;
  absl::Duration timeout;
  // The order is not sent later; on the monotonic clock.
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

// Asks for the lists of runs; extends the lease of all runs if
// `lease_until_ms` is not zero, acknowledges ends up to `last_seen`, and is
// answered after `wait` or when a run ends.
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
  int64_t clock_ms = 0;  // 0: not told
  Error error;
};

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
  uint64_t number = 0;  // rises by one with each end of the runner's life
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  RunEnd end = RunEnd::kStopped;
};

struct HoldReply {
  OrderReply order;
  int64_t incarnation = 0;  // of the runner's life; 0: not told
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
