#include "cancellations.h"

#include <algorithm>
#include <utility>

namespace radishrail::internal {

namespace {

// A client waits this long for the owners, which answer within milliseconds.
constexpr absl::Duration kWait = absl::Milliseconds(400);
constexpr absl::Duration kResendInterval = absl::Milliseconds(400);
// A client that cancelled a job at work is told so after this time even if not
// all pools have confirmed it. Starts are tolerated for 3 s after the answer,
// so the two cover the usual partitions (up to 5.2 s), and the answer still
// arrives within the 4 s that the platform grants for it.
constexpr absl::Duration kMaxUnconfirmed = absl::Milliseconds(2500);
// As long as owners remember a cancelled key.
constexpr absl::Duration kRetention = absl::Seconds(60);
// Replies that come later are not needed, since the request is sent again.
constexpr absl::Duration kReplyTimeout = absl::Seconds(2);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(50);
// Bounds the memory and what is sent at the end of a partition.
constexpr size_t kMaxOpen = 2000;

}  // namespace

void Cancellations::Cancel(const std::string& key,
                           bool known,
                           Callback callback) {
  const absl::Time now = clock_.Monotonic();
  auto it = open_.find(key);
  if (it == open_.end()) {
    if (open_.size() >= kMaxOpen) {
      callback(known ? CancelResult::kCancelled : CancelResult::kUnconfirmed);
      return;
    }
    it = open_.try_emplace(key).first;
    it->second.requested = now;
  }
  Open& open = it->second;
  open.known = open.known || known;
  open.waiters.push_back({std::move(callback), now + kWait});
  Send(key, open);
  FinishIfConfirmed(key);
}

void Cancellations::Send(const std::string& key, Open& open) {
  const absl::Time now = clock_.Monotonic();
  std::map<std::string, std::set<std::string>> pools_of;  // by owner
  for (const auto& pool : pools_()) {
    if (open.confirmed.contains(pool)) {
      continue;
    }
    const PoolHolder holder = holder_(pool);
    if (holder.kind == PoolHolder::Kind::kSelf) {
      open.confirmed.insert(pool);
    } else if (holder.kind == PoolHolder::Kind::kPeer) {
      pools_of[holder.address].insert(pool);
    }
  }
  for (auto& [address, pools] : pools_of) {
    const uint64_t request = next_request_++;
    if (transport_.Send(address, PoolJobCancel{request, key})) {
      sent_[request] = {key, std::move(pools), now};
      open.next_send = now + kResendInterval;
    }
  }
}

void Cancellations::OnReply(const PoolJobCancelReply& reply) {
  const auto sent = sent_.find(reply.request);
  if (sent == sent_.end()) {
    return;
  }
  const Sent request = std::move(sent->second);
  sent_.erase(sent);
  const auto it = open_.find(request.key);
  if (it == open_.end()) {
    return;
  }
  it->second.known = it->second.known || reply.known;
  if (!reply.in_doubt) {
    it->second.confirmed.insert(request.pools.begin(), request.pools.end());
  }
  FinishIfConfirmed(request.key);
}

bool Cancellations::IsConfirmed(const Open& open) const {
  const std::vector<std::string> pools = pools_();
  return std::all_of(pools.begin(), pools.end(), [&](const auto& it) {
    return open.confirmed.contains(it);
  });
}

void Cancellations::FinishIfConfirmed(const std::string& key) {
  const auto it = open_.find(key);
  if (it == open_.end() || !IsConfirmed(it->second)) {
    return;
  }
  const Open open = std::move(it->second);
  open_.erase(it);
  for (const auto& waiter : open.waiters) {
    waiter.callback(open.known ? CancelResult::kCancelled
                               : CancelResult::kNotFound);
  }
}

void Cancellations::ExpireWaiters(Open& open, absl::Time now) {
  const bool final = open.known && now - open.requested >= kMaxUnconfirmed;
  for (auto& waiter : std::exchange(open.waiters, {})) {
    if (final) {
      waiter.callback(CancelResult::kCancelled);
    } else if (waiter.deadline <= now) {
      waiter.callback(CancelResult::kUnconfirmed);
    } else {
      open.waiters.push_back(std::move(waiter));
    }
  }
}

void Cancellations::RemoveExpired(absl::Time now) {
  while (!sent_.empty() && sent_.begin()->second.time + kReplyTimeout <= now) {
    sent_.erase(sent_.begin());
  }
  std::erase_if(open_, [now](const auto& it) {
    return it.second.waiters.empty() && it.second.requested + kRetention <= now;
  });
}

void Cancellations::Tick() {
  const absl::Time now = clock_.Monotonic();
  if (open_.empty() || now < next_check_) {
    return;
  }
  next_check_ = now + kCheckInterval;
  RemoveExpired(now);
  std::vector<std::string> keys;
  keys.reserve(open_.size());
  for (auto& [key, open] : open_) {
    ExpireWaiters(open, now);
    keys.push_back(key);
  }
  for (const auto& key : keys) {
    Open& open = open_[key];
    if (open.next_send <= now) {
      Send(key, open);
    }
    FinishIfConfirmed(key);
  }
}

}  // namespace radishrail::internal
