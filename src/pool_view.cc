#include "radishrail/pool_view.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

namespace radishrail {

namespace {

// Estimated wait, besides the backlog, of a job for which as many slots are
// missing as the pool has in total; in proportion for other numbers of slots.
constexpr absl::Duration kBusyPoolWait = absl::Milliseconds(120);
// A pool of another failure domain is chosen only if its expected wait is
// shorter by this much.
constexpr absl::Duration kForeignPenalty = absl::Milliseconds(25);
// Offers made this shortly before a report may not be included in it: an owner
// computes its room at most each 10 ms, and an offer takes some milliseconds.
constexpr absl::Duration kMaxOfferTransit = absl::Milliseconds(15);
// Bounds of the difference between waits that reports of some age can tell
// apart. Reports that are older than the upper bound say little in any case.
constexpr absl::Duration kMinUncertainty = absl::Milliseconds(5);
constexpr absl::Duration kMaxUncertainty = absl::Milliseconds(60);
// Older reports are of owners that are gone.
constexpr absl::Duration kMaxReportAge = absl::Seconds(1);
// Weight of the newest interval in the growth of the load from other daemons.
constexpr double kGrowthWeight = 0.5;
// Shorter intervals between reports do not show a trend.
constexpr absl::Duration kMinTrendInterval = absl::Milliseconds(20);
// Share of a pool's slots that counts as room where none is free, so that a
// pool with a short wait is not left out.
constexpr double kMinRoomShare = 0.02;
// The owner serves jobs with less work first, so a job waits on average for
// half of the queued work.
constexpr double kShareOfBacklogAhead = 0.5;
// Declared run times are off by up to 40%, and the fastest runners need 0.6 of
// the mean time. A refusal must be right for the shortest run.
constexpr double kShortestRun = 0.4;

int CeilDivide(int a, int b) {
  return (a + b - 1) / std::max(b, 1);
}

}  // namespace

std::vector<PoolRoom> EncodeRoom(const std::vector<RoomForSize>& room) {
  std::vector<PoolRoom> encoded;
  encoded.reserve(room.size());
  for (const auto& it : room) {
    encoded.push_back({static_cast<uint32_t>(std::max(it.slots, 0)),
                       static_cast<uint32_t>(std::max(it.fitting, 0)),
                       static_cast<uint32_t>(absl::ToInt64Milliseconds(
                           std::max(absl::Ceil(it.next, absl::Milliseconds(1)),
                                    absl::ZeroDuration())))});
  }
  return encoded;
}

std::vector<RoomForSize> DecodeRoom(const std::vector<PoolRoom>& room) {
  std::vector<RoomForSize> decoded;
  decoded.reserve(room.size());
  for (const auto& it : room) {
    decoded.push_back({static_cast<int>(it.slots), static_cast<int>(it.fitting),
                       absl::Milliseconds(it.next_ms)});
  }
  return decoded;
}

PoolView::PoolView(std::string failure_domain, Random& random)
    : failure_domain_(std::move(failure_domain)), random_(random) {}

void PoolView::OnReport(const std::string& name, PoolLoad report) {
  Pool& pool = pools_[name];
  if (report.measured < pool.load.measured) {
    // A reply was faster.
    pool.load.slots = report.slots;
    pool.load.reported = report.reported;
    return;
  }
  const absl::Duration interval = report.measured - pool.load.measured;
  if (interval >= kMinTrendInterval) {
    // `busy` includes what this daemon has offered since, so the difference is
    // due to other daemons and to tasks that ended.
    const double growth = (report.busy - pool.load.busy) /
                          std::max(absl::ToDoubleSeconds(interval), 1e-3);
    pool.growth += kGrowthWeight * (std::max(growth, 0.0) - pool.growth);
  }
  pool.load = std::move(report);
  DropReported(pool);
  for (const auto& it : pool.offered) {
    pool.load.busy += it.slots;
  }
}

void PoolView::OnReply(const std::string& name,
                       const PoolJobReply& reply,
                       absl::Time now) {
  Pool& pool = pools_[name];
  pool.load.busy = static_cast<int>(reply.busy_slots);
  pool.load.backlog = absl::Milliseconds(reply.backlog_ms);
  pool.load.reported = now;
  // Replies to completed jobs carry no room.
  if (!reply.room.empty()) {
    pool.load.room = DecodeRoom(reply.room);
    pool.load.measured = now;
    DropReported(pool);
  }
}

// Later offers are not included in the report.
void PoolView::DropReported(Pool& pool) {
  while (!pool.offered.empty() &&
         pool.offered.front().time < pool.load.measured - kMaxOfferTransit) {
    pool.offered.pop_front();
  }
}

void PoolView::OnOffered(const std::string& name,
                         const RoomDemand& demand,
                         absl::Time now) {
  Pool& pool = pools_[name];
  pool.load.busy += demand.slots;
  // Without reports of room, nothing removes the entries.
  if (!pool.load.room.empty()) {
    pool.offered.push_back({now, demand.slots});
  }
}

const PoolLoad* PoolView::Find(const std::string& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? nullptr : &it->second.load;
}

// Room of the smallest reported size that is not smaller than the task.
const RoomForSize* PoolView::RoomFor(const PoolLoad& load, int task_slots) {
  const auto it =
      std::find_if(load.room.begin(), load.room.end(),
                   [=](const auto& room) { return room.slots >= task_slots; });
  return it == load.room.end() ? nullptr : &*it;
}

PoolView::Estimate PoolView::EstimateWait(const Pool& pool,
                                          const RoomDemand& demand,
                                          absl::Time now) const {
  const PoolLoad& load = pool.load;
  Estimate estimate;
  estimate.age = std::max(now - load.measured, absl::ZeroDuration());
  const RoomForSize* room = RoomFor(load, demand.task_slots);
  if (room == nullptr) {
    const int missing =
        std::clamp(demand.slots - (load.slots - load.busy), 0, demand.slots);
    estimate.wait =
        load.backlog + kBusyPoolWait * missing / std::max(load.slots, 1);
    return estimate;
  }
  estimate.known = true;
  double taken = pool.growth *
                 absl::ToDoubleSeconds(std::min(estimate.age, kMaxUncertainty));
  for (const auto& it : pool.offered) {
    taken += it.slots;
  }
  const double free = static_cast<double>(room->fitting) * room->slots - taken;
  const double needed =
      static_cast<double>(CeilDivide(demand.slots, demand.task_slots)) *
      room->slots;
  estimate.free_slots = std::max(free, 0.0);
  const double missing = std::max(needed - free, 0.0);
  estimate.wait = kBusyPoolWait * missing / std::max(load.slots, 1);
  // The first task starts at once where there is room.
  if (free < room->slots) {
    estimate.wait += std::max(room->next - estimate.age, absl::ZeroDuration()) +
                     load.backlog;
  }
  return estimate;
}

std::optional<std::string> PoolView::Choose(
    const std::vector<Candidate>& candidates,
    const RoomDemand& demand,
    absl::Time now) {
  const Candidate* best = nullptr;
  absl::Duration best_wait = absl::InfiniteDuration();
  std::vector<Estimate> estimates;
  for (const auto& it : candidates) {
    const auto pool = pools_.find(it.pool);
    Estimate estimate;
    if (pool != pools_.end() && pool->second.load.slots > 0) {
      estimate = EstimateWait(pool->second, demand, now);
      estimate.wait += it.penalty;
      if (it.pool != failure_domain_) {
        estimate.wait += kForeignPenalty;
      }
    }
    estimates.push_back(estimate);
    if (estimate.wait < best_wait) {
      best_wait = estimate.wait;
      best = &it;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  // All daemons have the same reports. If each chose the best pool, they would
  // fill it within the age of the report.
  const Estimate& chosen = estimates[best - candidates.data()];
  if (best->pool == failure_domain_ || !chosen.known) {
    return best->pool;
  }
  const absl::Duration limit =
      best_wait + std::clamp(chosen.age, kMinUncertainty, kMaxUncertainty);
  std::vector<double> weights(candidates.size(), 0.0);
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (estimates[i].known && estimates[i].wait <= limit &&
        candidates[i].pool != failure_domain_) {
      weights[i] =
          std::max(estimates[i].free_slots,
                   kMinRoomShare * pools_.at(candidates[i].pool).load.slots);
    }
  }
  double rest =
      random_.Unit() * std::accumulate(weights.begin(), weights.end(), 0.0);
  for (size_t i = 0; i < candidates.size(); ++i) {
    rest -= weights[i];
    if (weights[i] > 0 && rest < 0) {
      return candidates[i].pool;
    }
  }
  return best->pool;
}

bool PoolView::IsRoomKnown(const std::string& pool,
                           const RoomDemand& demand) const {
  const PoolLoad* load = Find(pool);
  return load != nullptr && RoomFor(*load, demand.task_slots) != nullptr;
}

std::optional<absl::Duration> PoolView::EarliestStart(const RoomDemand& demand,
                                                      absl::Time now) const {
  std::optional<absl::Duration> earliest;
  for (const auto& [name, pool] : pools_) {
    const Estimate estimate = EstimateWait(pool, demand, now);
    if (estimate.known && pool.load.slots > 0 &&
        now - pool.load.reported < kMaxReportAge) {
      earliest =
          std::min(earliest.value_or(absl::InfiniteDuration()), estimate.wait);
    }
  }
  return earliest;
}

std::string PoolView::DescribeRoom(const std::string& name,
                                   const RoomDemand& demand) const {
  const PoolLoad* load = Find(name);
  const RoomForSize* room =
      load != nullptr ? RoomFor(*load, demand.task_slots) : nullptr;
  return room == nullptr
             ? ""
             : absl::StrCat(room->fitting, " fit, next in ",
                            absl::ToInt64Milliseconds(room->next), " ms");
}

bool PoolView::MayFit(const std::string& name,
                      const RoomDemand& demand,
                      absl::Time now) const {
  if (!IsRoomKnown(name, demand)) {
    return true;
  }
  const Pool& pool = pools_.at(name);
  const RoomForSize* room = RoomFor(pool.load, demand.task_slots);
  absl::Duration wait = absl::ZeroDuration();
  if (room->fitting == 0) {
    const absl::Duration age =
        std::max(now - pool.load.measured, absl::ZeroDuration());
    wait = std::max({room->next - age,
                     kShareOfBacklogAhead * pool.load.backlog - age,
                     absl::ZeroDuration()});
  }
  return now + wait + kShortestRun * demand.longest <= demand.promise_by;
}

}  // namespace radishrail
