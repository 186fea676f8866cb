#include "radishrail/forwarder.h"

#include <utility>
#include <vector>

namespace radishrail {

namespace {

// A reply can be lost with its connection. The request is resent after a
// disconnect and also at this interval, in case the loss was not detected.
constexpr absl::Duration kResendInterval = absl::Seconds(5);
constexpr absl::Duration kResendAfterDisconnect = absl::Milliseconds(200);
constexpr absl::Duration kRetryAfterUnreachable = absl::Seconds(1);

}  // namespace

Forwarder::Forwarder(const Clock& clock,
                     PeerTransport& transport,
                     const Membership& membership,
                     Metrics& metrics)
    : clock_(clock),
      transport_(transport),
      membership_(membership),
      forwarded_(metrics.counter("radishrail_forwarded_requests_total",
                                 "Requests forwarded to the owner of the key")),
      resent_(metrics.counter("radishrail_forward_resent_total",
                              "Forwarded requests that were sent again")),
      unknown_(metrics.counter("radishrail_forward_unknown_total",
                               "Forwarded requests with unknown outcome")),
      next_request_(membership.self().incarnation) {}

void Forwarder::Forward(const MemberRecord& target,
                        CallerRequest request,
                        absl::Duration timeout,
                        CallerResponder respond) {
  const absl::Time now = clock_.Monotonic();
  const uint64_t id = next_request_++;
  Pending pending{target, std::move(request), std::move(respond), now + timeout,
                  now + kResendInterval};
  if (!SendTo(id, pending)) {
    FailUnknown(std::move(pending), ErrorCode::kUnreachable,
                "the owner of the key is unreachable; an earlier submission of "
                "the key may have run; repeat with the same key");
    return;
  }
  forwarded_.Add();
  pending_.emplace(id, std::move(pending));
}

bool Forwarder::SendTo(uint64_t id, const Pending& pending) {
  const CallerRequest& request = pending.request;
  return transport_.Send(
      pending.target.peer_address,
      ForwardRequest{id, request.method, request.key, request.token,
                     request.body, request.hops + 1});
}

void Forwarder::OnReply(const ForwardReply& reply) {
  const auto it = pending_.find(reply.request);
  if (it == pending_.end() || it->second.request.key != reply.key) {
    return;  // a duplicate reply, or one to a former incarnation of this daemon
  }
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  pending.respond({reply.http_status, reply.body,
                   absl::Milliseconds(reply.retry_after_ms), reply.transient});
}

void Forwarder::OnPeerDisconnected(const std::string& peer_address) {
  const absl::Time now = clock_.Monotonic();
  for (auto& [id, pending] : pending_) {
    if (pending.target.peer_address == peer_address) {
      pending.resend_at = now + kResendAfterDisconnect;
    }
  }
}

// Never reports "not run": even if nothing was sent now, the owner may have run
// the job for an earlier submission through another daemon.
void Forwarder::FailUnknown(Pending pending,
                            ErrorCode code,
                            std::string detail) {
  unknown_.Add();
  const Error error{code, Step::kForward, pending.target.vm, std::move(detail)};
  if (!pending.request.job.has_value()) {
    pending.respond(ErrorResponse(error, kRetryAfterUnreachable));
    return;
  }
  JobAnswer answer = UnknownAnswer(*pending.request.job, error);
  answer.retry_after = kRetryAfterUnreachable;
  pending.respond(AnswerResponse(answer));
}

void Forwarder::Tick() {
  const absl::Time now = clock_.Monotonic();
  std::vector<uint64_t> ended;
  for (auto& [id, pending] : pending_) {
    if (pending.deadline <= now ||
        membership_.IsProvenGone(pending.target.vm,
                                 pending.target.incarnation)) {
      ended.push_back(id);
    } else if (pending.resend_at <= now) {
      pending.resend_at = now + kResendInterval;
      resent_.Add();
      SendTo(id, pending);
    }
  }
  for (const uint64_t id : ended) {
    const auto it = pending_.find(id);
    Pending pending = std::move(it->second);
    pending_.erase(it);
    FailUnknown(std::move(pending), ErrorCode::kOutcomeUnknown,
                "the owner of the key did not respond; the job may have run");
  }
}

}  // namespace radishrail
