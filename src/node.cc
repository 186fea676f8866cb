#include "radishrail/node.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "json_text.h"
#include "radishrail/forwarder.h"
#include "radishrail/job_controller.h"
#include "radishrail/job_json.h"
#include "radishrail/job_key.h"
#include "radishrail/log.h"
#include "radishrail/slot_broker.h"
#include "radishrail/upstream_registry.h"
#include "request_filters.h"
#include "request_retrier.h"

namespace radishrail {

namespace {

constexpr absl::Duration kBusyTickInterval = absl::Milliseconds(5);
constexpr absl::Duration kIdleTickInterval = absl::Milliseconds(50);
constexpr absl::Duration kMembershipInterval = absl::Milliseconds(100);
constexpr absl::Duration kOwnershipInterval = absl::Milliseconds(200);
constexpr absl::Duration kDocumentInterval = absl::Milliseconds(100);
constexpr absl::Duration kRegistryInterval = absl::Milliseconds(200);
constexpr absl::Duration kBrokerInterval = absl::Milliseconds(50);
constexpr absl::Duration kMaxVmListBackoff = absl::Seconds(10);

// An action that `Node::Tick` runs periodically.
struct Periodic {
  absl::Duration interval;
  std::function<void()> run;
  absl::Time next = absl::InfinitePast();
};

OwnershipSettings MakeOwnershipSettings(const Settings& settings,
                                        uint64_t incarnation) {
  OwnershipSettings ownership;
  ownership.failure_domain = settings.failure_domain;
  ownership.vm = settings.vm;
  ownership.incarnation = incarnation;
  ownership.lease_length = settings.lease_length;
  ownership.renew_interval = settings.lease_renew_interval;
  return ownership;
}

MemberRecord MakeSelf(const Settings& settings, uint64_t incarnation) {
  MemberRecord self;
  self.vm = settings.vm;
  self.incarnation = incarnation;
  self.failure_domain = settings.failure_domain;
  self.peer_address = AdvertisedPeerAddress(settings);
  self.state = MemberState::kStarting;
  self.weight = settings.weight;
  return self;
}

UpstreamSettings MakeUpstreamSettings(const Settings& settings) {
  UpstreamSettings upstreams;
  upstreams.failure_domain = settings.failure_domain;
  return upstreams;
}

}  // namespace

class Node::Impl {
 public:
  Impl(const Settings& settings,
       uint64_t incarnation,
       const NodeDependencies& env,
       std::unique_ptr<Scheduler> scheduler)
      : settings_(settings),
        env_(env),
        scheduler_(std::move(scheduler)),
        membership_(env.clock,
                    env.random,
                    env.transport,
                    MakeSelf(settings, incarnation),
                    settings.seeds),
        documents_(env.clock,
                   env.random,
                   env.store,
                   env.transport,
                   [this] { return membership_.Reachable(); }),
        ownership_(MakeOwnershipSettings(settings, incarnation),
                   env.clock,
                   env.store,
                   env.transport,
                   membership_),
        registry_(MakeUpstreamSettings(settings), env.clock),
        broker_(env.clock, env.random, env.transport, membership_),
        client_(*this),
        jobs_(env.clock,
              env.random,
              *scheduler_,
              registry_,
              client_,
              env.metrics,
              env.timeline),
        forwarder_(env.clock, env.transport, membership_, env.metrics),
        filter_chain_(MakeFilters()),
        retrier_(env.clock,
                 env.metrics,
                 [this](CallerRequest request, CallerResponder respond) {
                   RunFilters(std::move(request), std::move(respond));
                 }),
        periodic_(MakePeriodic()) {
    ownership_.SetKeySource([this](const std::vector<uint32_t>& ranges) {
      return jobs_.ExportKeysInRanges(ranges);
    });
    RecordEvent(EventType::kDaemonStarted);
  }

  absl::Duration Tick() {
    const absl::Time now = env_.clock.Monotonic();
    for (auto& it : periodic_) {
      if (it.next <= now) {
        it.next = now + it.interval;
        it.run();
      }
    }
    AdvanceDrain();
    jobs_.Tick();
    UpdateReadiness();
    return jobs_.jobs_in_progress() > 0 ? kBusyTickInterval : kIdleTickInterval;
  }

  void HandleCaller(CallerRequest request, CallerResponder respond) {
    requests_.Add();
    retrier_.Run(std::move(request), std::move(respond));
  }

  void RunFilters(CallerRequest request, CallerResponder respond) {
    RequestContext context;
    context.request = std::move(request);
    context.respond = std::move(respond);
    filter_chain_.Run(std::move(context));
    jobs_.Tick();
  }

  std::string MintKey() {
    if (drain_ != DrainPhase::kNone) {
      return {};
    }
    return MintJobKey(settings_.failure_domain, settings_.vm,
                      membership_.self().incarnation, env_.clock.Monotonic(),
                      env_.random.HexToken());
  }

  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message) {
    membership_.OnContact(sender);
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      membership_.OnHeartbeat(*heartbeat);
      documents_.OnPeerRevision(sender, heartbeat->document_revision);
    } else if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
      OnForwardRequest(sender, *forward);
    } else if (const auto* reply = std::get_if<ForwardReply>(&message)) {
      forwarder_.OnReply(*reply);
    } else if (const auto* leaving = std::get_if<UpstreamLeaving>(&message)) {
      registry_.OnLeaving(leaving->upstream);
      ApplyUpstreamChanges();
    } else if (const auto* leave = std::get_if<Leave>(&message)) {
      membership_.OnLeave(sender.vm, leave->incarnation);
      ownership_.OnPeerMessage(sender, message);
    } else {
      documents_.OnPeerMessage(sender, message);
      if (std::holds_alternative<SlotRequest>(message)) {
        SetBrokerDemand();  // so that only currently idle slots are lent
      }
      broker_.OnPeerMessage(sender, message);
      ownership_.OnPeerMessage(sender, message);
      ImportHandover();
      ApplyAllowances();
    }
  }

  void OnPeerDisconnected(const std::string& peer_address) {
    forwarder_.OnPeerDisconnected(peer_address);
  }

  void BeginDrain() {
    if (drain_ != DrainPhase::kNone) {
      return;
    }
    drain_ = DrainPhase::kBalancerDelay;
    drain_started_ = env_.clock.Monotonic();
    membership_.SetState(MemberState::kDraining);
    RecordEvent(EventType::kDaemonDraining);
  }

  bool drained() const { return drain_ == DrainPhase::kFinished; }
  bool ready() const { return membership_.self().state == MemberState::kReady; }
  DocumentController& documents() { return documents_; }
  const MemberRecord& self() const { return membership_.self(); }

  std::string FleetJson() const {
    nlohmann::ordered_json fleet;
    const MemberRecord& self = membership_.self();
    fleet["vm"] = self.vm;
    fleet["incarnation"] = self.incarnation;
    fleet["failure_domain"] = self.failure_domain;
    fleet["state"] = MemberStateName(self.state);
    fleet["revision"] = documents_.revision();
    fleet["handover_finished"] = ownership_.handover_finished();
    fleet["forwarded_pending"] = forwarder_.pending();
    fleet["jobs_in_progress"] = jobs_.jobs_in_progress();
    fleet["remembered_keys"] = jobs_.remembered_keys();
    fleet["queued_tasks"] = scheduler_->queued_tasks();
    fleet["running_tasks"] = scheduler_->running_tasks();
    fleet["lease"] = {{"valid", ownership_.IsLeaseValid()},
                      {"ranges", ownership_.OwnedRanges().size()}};
    fleet["members"] = nlohmann::ordered_json::array();
    for (const auto& it : membership_.AllMembers()) {
      fleet["members"].push_back({{"vm", it.vm},
                                  {"incarnation", it.incarnation},
                                  {"failure_domain", it.failure_domain},
                                  {"state", MemberStateName(it.state)},
                                  {"reachable", membership_.IsReachable(it.vm)},
                                  {"peer_address", it.peer_address}});
    }
    fleet["upstreams"] = nlohmann::ordered_json::array();
    for (const auto& it : registry_.All()) {
      fleet["upstreams"].push_back({{"vm", it.info.vm},
                                    {"failure_domain", it.info.failure_domain},
                                    {"state", UpstreamStateName(it.state)},
                                    {"slots", it.info.slots},
                                    {"speed", it.speed}});
    }
    return internal::JsonText(fleet);
  }

 private:
  enum class DrainPhase {
    kNone,
    kBalancerDelay,  // not ready, but still accepts jobs
    kHandover,       // rejects jobs; hands over ranges, finishes requests
    kFinished,
  };

  // Counts the running tasks of each upstream for the slot broker, and handles
  // upstreams that announce that they are leaving.
  class CountingClient : public UpstreamClient {
   public:
    explicit CountingClient(Impl& node) : node_(node) {}
    void Start(TaskStart start, Callback callback) override {
      const std::string address = start.address;
      ++node_.running_tasks_[address];
      node_.env_.upstream_client.Start(
          std::move(start),
          [this, address, callback = std::move(callback)](TaskResult result) {
            node_.OnTaskEnded(address, result);
            callback(std::move(result));
            // Otherwise the freed slot would stay idle until the next Tick.
            node_.jobs_.PlaceTasks();
          });
    }

   private:
    Impl& node_;
  };

  std::vector<std::unique_ptr<RequestFilter>> MakeFilters() {
    std::vector<std::unique_ptr<RequestFilter>> filters;
    filters.push_back(std::make_unique<internal::KeyFilter>(
        settings_.max_body_bytes, settings_.failure_domains));
    filters.push_back(std::make_unique<internal::ParsingFilter>());
    filters.push_back(
        std::make_unique<internal::EnvironmentFilter>(documents_));
    filters.push_back(
        std::make_unique<internal::DeduplicationFilter>(jobs_, documents_));
    filters.push_back(std::make_unique<internal::OwnershipFilter>(
        ownership_, forwarder_, env_.metrics, env_.timeline));
    filters.push_back(std::make_unique<internal::AdmissionFilter>(
        jobs_, [this] { return IsAccepting(); }));
    return filters;
  }

  std::vector<Periodic> MakePeriodic() {
    return {
        {kMembershipInterval,
         [this] { membership_.Tick(documents_.revision()); }},
        {kOwnershipInterval,
         [this] {
           ownership_.Tick();
           ImportHandover();
         }},
        {kDocumentInterval, [this] { documents_.Tick(); }},
        {kRegistryInterval,
         [this] {
           registry_.Tick();
           ApplyUpstreamChanges();
         }},
        {kBrokerInterval, [this] { TickBroker(); }},
        {kForwardInterval,
         [this] {
           forwarder_.Tick();
           retrier_.Tick();
         }},
        {kVmListCheckInterval, [this] { PollVmList(); }},
    };
  }

  bool IsAccepting() const {
    return drain_ == DrainPhase::kNone || drain_ == DrainPhase::kBalancerDelay;
  }

  void RecordEvent(EventType type) {
    Event event;
    event.type = type;
    env_.timeline.Record(std::move(event));
  }

  void OnForwardRequest(const MemberRecord& sender,
                        const ForwardRequest& forward) {
    CallerRequest request;
    request.method = forward.method;
    request.key = forward.key;
    request.token = forward.token;
    request.body = forward.body;
    request.hops = forward.hops;
    HandleCaller(std::move(request), [this, address = sender.peer_address,
                                      key = forward.key, id = forward.request](
                                         const CallerResponse& response) {
      env_.transport.Send(
          address, ForwardReply{id, key, response.http_status, response.body,
                                static_cast<uint32_t>(absl::ToInt64Milliseconds(
                                    response.retry_after)),
                                response.transient});
    });
  }

  void OnTaskEnded(const std::string& address, const TaskResult& result) {
    const auto it = running_tasks_.find(address);
    if (it != running_tasks_.end() && --it->second == 0) {
      running_tasks_.erase(it);
    }
    if (!result.upstream_leaving) {
      return;
    }
    const auto vm = vm_of_address_.find(address);
    if (vm == vm_of_address_.end()) {
      return;
    }
    const auto upstream = registry_.FindByVm(vm->second);
    if (upstream.has_value() && upstream->state != UpstreamState::kLeaving) {
      registry_.OnLeaving(vm->second);
      ApplyUpstreamChanges();
      for (const auto& peer : membership_.Reachable()) {
        env_.transport.Send(peer.peer_address, UpstreamLeaving{vm->second});
      }
    }
  }

  void ImportHandover() {
    const auto keys = ownership_.TakeReceivedKeys();
    if (!keys.empty()) {
      jobs_.Import(keys);
    }
  }

  // Passes changes of upstreams to the scheduler and to the broker, which
  // decides how many of their slots this daemon may use.
  void ApplyUpstreamChanges() {
    for (const auto& it : registry_.TakeChanges()) {
      const auto view = registry_.Find(it.upstream);
      if (!view.has_value()) {
        scheduler_->RemoveUpstream(it.upstream);
        continue;
      }
      const std::string& vm = view->info.vm;
      vm_of_address_[view->info.address] = vm;
      UpstreamCapacity& capacity = capacities_[vm];
      const int allowance = allowances_[vm];
      capacity = it;
      capacity.slots = std::min(allowance, it.slots);
      if (it.accepting) {
        broker_.SetUpstream(vm, view->info.failure_domain, it.slots);
      } else {
        broker_.RemoveUpstream(vm);
      }
      scheduler_->SetUpstream(capacity);
    }
    ApplyAllowances();
  }

  void ApplyAllowances() {
    for (const auto& it : broker_.TakeChanges()) {
      allowances_[it.upstream] = it.slots;
      const auto capacity = capacities_.find(it.upstream);
      if (capacity != capacities_.end()) {
        capacity->second.slots = it.slots;
        scheduler_->SetUpstream(capacity->second);
      }
    }
  }

  void SetBrokerDemand() {
    std::vector<SlotUse> use;
    use.reserve(running_tasks_.size());
    for (const auto& [address, n] : running_tasks_) {
      const auto vm = vm_of_address_.find(address);
      if (vm != vm_of_address_.end()) {
        use.push_back({vm->second, n});
      }
    }
    broker_.SetDemand(static_cast<int>(scheduler_->queued_tasks()), use);
  }

  void TickBroker() {
    SetBrokerDemand();
    broker_.Tick();
    ApplyAllowances();
  }

  void PollVmList() {
    const absl::Time now = env_.clock.Monotonic();
    if (vm_list_pending_ || now < next_vm_list_) {
      return;
    }
    vm_list_pending_ = true;
    env_.store.ListVms(
        [this](std::optional<std::vector<VmInfo>> vms, const Error& error) {
          vm_list_pending_ = false;
          OnVmList(std::move(vms), error);
        });
  }

  void OnVmList(std::optional<std::vector<VmInfo>> vms, const Error& error) {
    const absl::Time now = env_.clock.Monotonic();
    if (!vms.has_value()) {
      if (platform_available_) {
        LogFailure("the platform's VM list cannot be read", error);
        RecordEvent(EventType::kPlatformUnavailable);
      }
      platform_available_ = false;
      vm_list_backoff_ = std::min(vm_list_backoff_ * 2, kMaxVmListBackoff);
      // The jitter spreads the daemons' requests once the platform recovers.
      next_vm_list_ = now + vm_list_backoff_ * (0.5 + env_.random.Unit());
      return;
    }
    if (!platform_available_) {
      RecordEvent(EventType::kPlatformRestored);
    }
    platform_available_ = true;
    vm_list_backoff_ = settings_.vm_list_interval;
    next_vm_list_ =
        now + settings_.vm_list_interval * (0.9 + 0.2 * env_.random.Unit());
    membership_.OnVmList(*vms);
    registry_.OnVmList(*vms);
    ApplyUpstreamChanges();
  }

  void UpdateReadiness() {
    if (membership_.self().state == MemberState::kStarting &&
        documents_.ready() && !documents_.List().empty()) {
      membership_.SetState(MemberState::kReady);
      RecordEvent(EventType::kDaemonReady);
      Log(LogLevel::kInfo, "the daemon is ready");
    }
  }

  void AdvanceDrain() {
    const absl::Time now = env_.clock.Monotonic();
    if (drain_ == DrainPhase::kBalancerDelay &&
        now >= drain_started_ + settings_.drain_balancer_delay) {
      drain_ = DrainPhase::kHandover;
      ownership_.BeginHandover(jobs_.ExportKeys());
    }
    if (drain_ != DrainPhase::kHandover) {
      return;
    }
    const bool idle = ownership_.handover_finished() &&
                      jobs_.jobs_in_progress() == 0 &&
                      forwarder_.pending() == 0 && retrier_.waiting() == 0;
    const bool timed_out = now >= drain_started_ +
                                      settings_.drain_balancer_delay +
                                      settings_.drain_timeout;
    if (!idle && !timed_out) {
      return;
    }
    if (!idle) {
      Log(LogLevel::kWarning, "drain timeout passed with requests in progress");
    }
    for (const auto& it : membership_.Reachable()) {
      env_.transport.Send(it.peer_address,
                          Leave{membership_.self().incarnation});
    }
    membership_.SetState(MemberState::kGone);
    drain_ = DrainPhase::kFinished;
  }

  static constexpr absl::Duration kForwardInterval = absl::Milliseconds(50);
  static constexpr absl::Duration kVmListCheckInterval =
      absl::Milliseconds(100);

  const Settings settings_;
  const NodeDependencies env_;
  const std::unique_ptr<Scheduler> scheduler_;
  Membership membership_;
  DocumentController documents_;
  OwnershipController ownership_;
  UpstreamRegistry registry_;
  SlotBroker broker_;
  CountingClient client_;
  JobController jobs_;
  Forwarder forwarder_;
  FilterChain filter_chain_;
  internal::RequestRetrier retrier_;
  std::vector<Periodic> periodic_;
  Counter& requests_ = env_.metrics.counter(
      "radishrail_caller_requests_total",
      "Callers' requests, including those forwarded by peers");

  std::map<std::string, int> running_tasks_;  // by address of the upstream
  std::map<std::string, std::string> vm_of_address_;
  std::map<std::string, UpstreamCapacity> capacities_;  // by vm
  std::map<std::string, int> allowances_;               // by vm
  bool vm_list_pending_ = false;
  bool platform_available_ = true;
  absl::Time next_vm_list_ = absl::InfinitePast();
  absl::Duration vm_list_backoff_ = settings_.vm_list_interval;
  DrainPhase drain_ = DrainPhase::kNone;
  absl::Time drain_started_ = absl::InfinitePast();
};

Node::Node(const Settings& settings,
           uint64_t incarnation,
           const NodeDependencies& environment,
           std::unique_ptr<Scheduler> scheduler)
    : impl_(std::make_unique<Impl>(settings,
                                   incarnation,
                                   environment,
                                   std::move(scheduler))) {}

Node::~Node() = default;

absl::Duration Node::Tick() {
  return impl_->Tick();
}

void Node::HandleCaller(CallerRequest request, CallerResponder respond) {
  impl_->HandleCaller(std::move(request), std::move(respond));
}

std::string Node::MintKey() {
  return impl_->MintKey();
}

void Node::OnPeerMessage(const MemberRecord& sender,
                         const PeerMessage& message) {
  impl_->OnPeerMessage(sender, message);
}

void Node::OnPeerDisconnected(const std::string& peer_address) {
  impl_->OnPeerDisconnected(peer_address);
}
void Node::OnSenderDisconnected(const MemberRecord& sender) {
  impl_->OnPeerDisconnected(sender.peer_address);
}

void Node::BeginDrain() {
  impl_->BeginDrain();
}

bool Node::drained() const {
  return impl_->drained();
}

bool Node::ready() const {
  return impl_->ready();
}

DocumentController& Node::documents() {
  return impl_->documents();
}

const MemberRecord& Node::self() const {
  return impl_->self();
}

std::string Node::FleetJson() const {
  return impl_->FleetJson();
}

}  // namespace radishrail
