#include "policy_scheduler_impl.h"

#include <algorithm>
#include <utility>

namespace radishrail {

using scheduling::TeamId;

uint32_t PolicyScheduler::Impl::FindEnvironment(const std::string& name) {
  const auto [it, added] = environment_ids_.try_emplace(
      name, static_cast<uint32_t>(environments_.size()));
  if (added) {
    environments_.emplace_back();
  }
  return it->second;
}

TeamId PolicyScheduler::Impl::FindTeam(uint32_t environment,
                                       const JobDemand& demand) {
  const auto [it, added] = team_ids_.try_emplace(
      std::pair(environment, demand.team), static_cast<TeamId>(teams_.size()));
  if (added) {
    teams_.emplace_back();
    teams_.back().environment = environment;
  }
  Team& team = teams_[it->second];
  const int share = std::max(demand.team_share, 1);
  if (team.queued > 0) {
    environments_[environment].active_shares += share - team.share;
    shares_changed_ = shares_changed_ || share != team.share;
  }
  team.share = share;
  if (team.max_running != demand.team_max_running_tasks) {
    team.max_running = demand.team_max_running_tasks;
    RefreshAllLanes(it->second);
  }
  return it->second;
}

void PolicyScheduler::Impl::AdjustQueuedCount(Job* job, int change) {
  Team& team = teams_[job->team];
  Environment& environment = environments_[team.environment];
  const bool team_was_active = team.queued > 0;
  const bool environment_was_active = environment.queued > 0;
  job->queued += change;
  team.queued += change;
  environment.queued += change;
  queued_ += change;
  if (team_was_active != (team.queued > 0)) {
    shares_changed_ = true;
    environment.active_shares += team.queued > 0 ? team.share : -team.share;
  }
  if (environment_was_active != (environment.queued > 0)) {
    active_environments_ += environment.queued > 0 ? 1 : -1;
  }
}

// Recomputes the value of a team in the trees of a lane. Required after a
// change of its first job, its running tasks, its quota or its share.
void PolicyScheduler::Impl::RefreshTeam(TeamId id, LaneId lane_id) {
  Team& team = teams_[id];
  TeamLane& team_lane = team.lanes[lane_id];
  Lane& lane = lanes_[lane_id];
  if (!team_lane.leaf) {
    team_lane.leaf = lane.teams_within_share.Add();
    lane.teams_over_share.Add();
    lane.teams.push_back(id);
  }
  const double value = IsAtQuota(team) || team_lane.heap.empty()
                           ? internal::TournamentTree::kNone
                           : -team_lane.heap.front().key;
  const bool is_over_share = OverShare(team);
  lane.teams_within_share.Set(
      *team_lane.leaf, is_over_share ? internal::TournamentTree::kNone : value);
  lane.teams_over_share.Set(
      *team_lane.leaf, is_over_share ? value : internal::TournamentTree::kNone);
}

void PolicyScheduler::Impl::RefreshAllLanes(TeamId id) {
  for (LaneId i = 0; i < teams_[id].lanes.size(); ++i) {
    if (teams_[id].lanes[i].leaf) {
      RefreshTeam(id, i);
    }
  }
}

// Shares are enforced only while there is a backlog; otherwise they would
// merely disturb the order of jobs. The threshold has hysteresis (off at half
// the backlog that turns them on), so that they do not toggle with every task.
void PolicyScheduler::Impl::UpdateShares() {
  const double limit = fair_share_backlog_s_ * Capacity();
  const bool apply = queued_work_s_ > (shares_apply_ ? limit / 2 : limit);
  if (apply != shares_apply_ ||
      (apply && (shares_changed_ || pools_.total_slots() != shares_slots_))) {
    ++shares_version_;
  }
  shares_apply_ = apply;
  shares_changed_ = false;
  shares_slots_ = pools_.total_slots();
}

// Teams over their share are served after the others.
bool PolicyScheduler::Impl::OverShare(const Team& team) const {
  const Environment& environment = environments_[team.environment];
  if (!shares_apply_ || team.queued == 0 ||
      (active_environments_ <= 1 && environment.active_shares <= team.share)) {
    return false;
  }
  const double entitled = static_cast<double>(shares_slots_) * team.share /
                          (active_environments_ * environment.active_shares);
  return team.running_slots >= entitled;
}

}  // namespace radishrail
