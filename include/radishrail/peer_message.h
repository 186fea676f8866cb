#ifndef RADISHRAIL_PEER_MESSAGE_H_
#define RADISHRAIL_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "msgpack.hpp"
#include "radishrail/error.h"

namespace radishrail {

// Lifecycle state of a daemon as seen by its peers.
enum class MemberState {
  kStarting,
  kReady,
  kDraining,
  kGone,
  kMaxValue = kGone,
};

std::string_view MemberStateName(MemberState state);

// State of a member, sent by the member itself or relayed by another daemon. A
// higher incarnation replaces a lower one of the same vm; within an
// incarnation, the higher sequence wins.
struct MemberRecord {
  std::string vm;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string failure_domain;
  std::string peer_address;  // "ip:port"
  MemberState state = MemberState::kStarting;
  uint32_t weight = 1;  // relative size of the vm
  MSGPACK_DEFINE(vm,
                 incarnation,
                 sequence,
                 failure_domain,
                 peer_address,
                 state,
                 weight);
};

// First message on a connection, in both directions.
struct Hello {
  MemberRecord sender;
  std::string cluster_key;
  // The sender confirms received messages with `Received`. Older releases
  // don't.
  bool confirms = false;
  MSGPACK_DEFINE(sender, cluster_key, confirms);
};

// Membership heartbeat; at most 256 bytes encoded with 4 records.
struct Heartbeat {
  MemberRecord sender;
  int64_t document_revision = 0;
  std::vector<MemberRecord> others;
  MSGPACK_DEFINE(sender, document_revision, others);
};

// Asks the owner of key ranges to require the sender's promise when it extends
// its lease by promises.
struct AcknowledgeRequest {
  uint64_t incarnation = 0;        // of the sender
  uint64_t owner_incarnation = 0;  // of the receiver, according to the sender
  MSGPACK_DEFINE(incarnation, owner_incarnation);
};

struct AcknowledgeReply {
  uint64_t incarnation = 0;  // of the acknowledged peer
  uint64_t owner_incarnation = 0;
  MSGPACK_DEFINE(incarnation, owner_incarnation);
};

// Asks for a promise not to take over the sender's key ranges.
struct PromiseRequest {
  uint64_t owner_incarnation = 0;
  uint64_t request = 0;
  MSGPACK_DEFINE(owner_incarnation, request);
};

struct PromiseReply {
  uint64_t owner_incarnation = 0;
  uint64_t request = 0;
  bool granted = false;
  MSGPACK_DEFINE(owner_incarnation, request, granted);
};

// Asks an owner directly whether its lease is valid, before a takeover.
struct OwnerProbe {
  uint64_t owner_incarnation = 0;
  MSGPACK_DEFINE(owner_incarnation);
};

struct OwnerProbeReply {
  uint64_t owner_incarnation = 0;
  bool lease_valid = false;
  MSGPACK_DEFINE(owner_incarnation, lease_valid);
};

// The sender stops permanently; its incarnation no longer accepts jobs.
struct Leave {
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(incarnation);
};

// One remembered key in a handover of ranges.
struct RememberedKey {
  std::string key;
  std::string environment;
  uint64_t body_hash = 0;
  bool finished = false;
  int64_t accepted_unix_ms = 0;
  std::string answer_json;  // empty while the job is running
  MSGPACK_DEFINE(key,
                 environment,
                 body_hash,
                 finished,
                 accepted_unix_ms,
                 answer_json);
};

// Part of a handover; the receiver replies after the part marked `last`.
struct RangeHandover {
  uint64_t incarnation = 0;  // of the sender
  uint64_t transfer = 0;     // number of the handover within the incarnation
  uint32_t part = 0;         // from 0; a gap shows that a part was lost
  std::vector<uint32_t> ranges;
  std::vector<RememberedKey> keys;
  bool last = false;
  MSGPACK_DEFINE(incarnation, transfer, part, ranges, keys, last);
};

struct RangeHandoverReply {
  uint64_t incarnation = 0;  // of the daemon that hands over
  uint64_t transfer = 0;
  bool accepted = false;
  MSGPACK_DEFINE(incarnation, transfer, accepted);
};

enum class ForwardMethod { kSubmit, kStatus, kCancel, kMaxValue = kCancel };

// A caller's request forwarded to the owner of its key. The receiver
// deduplicates by key, so resending it is idempotent.
struct ForwardRequest {
  uint64_t request = 0;
  ForwardMethod method = ForwardMethod::kSubmit;
  std::string key;
  std::string token;
  std::string body;
  uint32_t hops = 0;
  MSGPACK_DEFINE(request, method, key, token, body, hops);
};

struct ForwardReply {
  uint64_t request = 0;
  std::string key;
  int http_status = 0;
  std::string body;
  uint32_t retry_after_ms = 0;
  bool transient = false;  // the entry daemon may retry the request
  MSGPACK_DEFINE(request, key, http_status, body, retry_after_ms, transient);
};

// Asks for all accepted document changes after a revision.
struct DocumentPull {
  int64_t after_revision = 0;
  MSGPACK_DEFINE(after_revision);
};

struct DocumentChange {
  int64_t revision = 0;
  std::string environment;
  std::string stage;  // "trial" or "production"
  int64_t version = 0;
  std::string body;
  MSGPACK_DEFINE(revision, environment, stage, version, body);
};

// A reply to a pull, or a single accepted change that is pushed immediately.
// `changes` is complete for the revisions after `after_revision` up to and
// including `revision`.
struct DocumentPush {
  int64_t revision = 0;
  int64_t after_revision = 0;
  std::vector<DocumentChange> changes;
  bool reply = false;  // to a pull
  bool last = true;    // false: the receiver pulls the next part
  MSGPACK_DEFINE(revision, after_revision, changes, reply, last);
};

struct SlotLoan {
  std::string upstream;
  uint32_t slots = 0;
  MSGPACK_DEFINE(upstream, slots);
};

// Asks a home daemon to renew the loans in `keep` and to lend `wanted` more
// slots. Loans that are not in `keep` are returned by this message.
struct SlotRequest {
  std::vector<SlotLoan> keep;
  uint32_t wanted = 0;
  uint32_t queued = 0;  // queued tasks of the sender
  uint32_t slots = 0;   // slots that the sender may currently use
  MSGPACK_DEFINE(keep, wanted, queued, slots);
};

// All loans from the sender to the receiver, valid for `duration_ms` after
// receipt.
struct SlotGrant {
  std::vector<SlotLoan> loans;
  uint32_t duration_ms = 0;
  uint32_t queued = 0;  // queued tasks of the sender
  uint32_t slots = 0;   // slots that the sender may currently use
  MSGPACK_DEFINE(loans, duration_ms, queued, slots);
};

// Announces to peers that an upstream is leaving.
struct UpstreamLeaving {
  std::string upstream;
  MSGPACK_DEFINE(upstream);
};

// How many tasks of a size fit on the upstreams of a pool now, and when the
// next one will.
struct PoolRoom {
  uint32_t slots = 0;  // of the task
  uint32_t fitting = 0;
  uint32_t next_ms = 0;
  MSGPACK_DEFINE(slots, fitting, next_ms);
};

// The sender's claim to dispatch to the upstreams of a failure domain.
struct PoolClaim {
  std::string pool;
  uint64_t fence = 0;
  std::string owner;  // vm
  std::string address;
  bool accepting = false;  // accepts new jobs
  uint32_t slots = 0;
  uint32_t busy_slots = 0;
  uint32_t backlog_ms = 0;     // queued work divided by the capacity
  std::vector<PoolRoom> room;  // by ascending `slots`
  MSGPACK_DEFINE(pool,
                 fence,
                 owner,
                 address,
                 accepting,
                 slots,
                 busy_slots,
                 backlog_ms,
                 room);
};

struct PoolRunFate {
  std::string job_key;
  std::string task_id;
  std::string vm;
  uint32_t fate = 0;  // UpstreamFate
  int64_t incarnation = 0;
  MSGPACK_DEFINE(job_key, task_id, vm, fate, incarnation);
};

// State of an operator's request to evacuate a failure domain.
struct PoolEvacuation {
  std::string domain;
  int64_t version = 0;  // of the store, as of which the state is known
  bool active = false;  // false: the request is withdrawn
  MSGPACK_DEFINE(domain, version, active);
};

// Sent several times per second: shows that the sender is alive, which pools it
// owns and which configuration version it has.
struct PoolStatus {
  std::vector<PoolClaim> claims;
  int64_t document_version = 0;
  int64_t sent_us = 0;  // on the sender's monotonic clock
  // The sender no longer waits for answers to its job requests with lower
  // numbers, which the receiver cancels.
  uint64_t oldest_request = 0;
  // Upstreams that were lost under a task, or answer again, a moment ago.
  std::vector<PoolRunFate> run_fates;
  // When the sender's clients were last known to be connected to it, on its
  // monotonic clock; zero: `sent_us`.
  int64_t client_contact_us = 0;
  // Of the jobs that `client_contact_us` renews: it rises when the sender may
  // have lost clients without noticing it.
  uint32_t contact_epoch = 0;
  // Highest version among the evacuations that the sender knows.
  int64_t evacuation_version = 0;
  // All evacuations that the sender knows, if the receiver misses some.
  std::vector<PoolEvacuation> evacuations;
  MSGPACK_DEFINE(claims,
                 document_version,
                 sent_us,
                 oldest_request,
                 run_fates,
                 client_contact_us,
                 contact_epoch,
                 evacuation_version,
                 evacuations);
};

// Identical tasks of a job.
struct PoolStep {
  uint32_t count = 0;
  uint32_t slots = 0;
  uint32_t declared_ms = 0;
  std::string preferred_rack = {};  // empty: none
  MSGPACK_DEFINE(count, slots, declared_ms, preferred_rack);
};

// A job sent by the entry daemon to the owner of a pool.
struct PoolJobRequest {
  uint64_t request = 0;  // unique among the requests of the sender
  std::string pool;
  std::string key;
  std::string environment;
  std::string upstream_class;
  std::string payload;
  std::vector<PoolStep> steps;
  uint32_t deadline_ms = 0;
  uint32_t promised_ms = 0;
  uint32_t max_failures = 1;
  int64_t document_version = 0;
  int64_t sent_us = 0;  // on the sender's monotonic clock
  // When the job arrived at the sender, on its monotonic clock; zero:
  // `sent_us`.
  int64_t arrived_us = 0;
  uint32_t contact_epoch = 0;  // as in `PoolStatus`, when the job arrived
  int32_t priority = 0;        // of the environment; 0 is served first
  MSGPACK_DEFINE(request,
                 pool,
                 key,
                 environment,
                 upstream_class,
                 payload,
                 steps,
                 deadline_ms,
                 promised_ms,
                 max_failures,
                 document_version,
                 sent_us,
                 arrived_us,
                 contact_epoch,
                 priority);
};

struct PoolJobReply {
  uint64_t request = 0;
  std::string key;
  uint32_t status = 0;  // JobStatus
  uint32_t error = 0;   // ErrorCode
  std::string detail;
  uint32_t retry_after_ms = 0;
  // Load of the pool, as in `PoolClaim`.
  uint32_t busy_slots = 0;
  uint32_t backlog_ms = 0;
  std::vector<PoolRoom> room;  // refusals only
  MSGPACK_DEFINE(request,
                 key,
                 status,
                 error,
                 detail,
                 retry_after_ms,
                 busy_slots,
                 backlog_ms,
                 room);
};

// Ends a queued or running job. Request 0: the caller has disconnected and no
// reply is expected; otherwise the caller cancels the job.
struct PoolJobCancel {
  uint64_t request = 0;
  std::string key;
  // With request 0, the number of the `PoolJobRequest` that is given up; a
  // later one for the same key goes on. Zero: all of them.
  uint64_t job_request = 0;
  MSGPACK_DEFINE(request, key, job_request);
};

struct PoolJobCancelReply {
  uint64_t request = 0;
  bool known = false;  // the receiver had the job
  // The receiver has taken a pool over, and the former owner may still act.
  bool in_doubt = false;
  MSGPACK_DEFINE(request, known, in_doubt);
};

// Confirms to the sender of messages that its connection still reaches the
// peer. Sent on the same connection, and only to peers that confirm messages as
// well.
struct Received {
  uint64_t messages = 0;  // on this connection so far
  MSGPACK_DEFINE(messages);
};

// Asks a peer for the keys of jobs that clients cancelled.
struct CancelledKeysRequest {
  uint64_t request = 0;
  MSGPACK_DEFINE(request);
};

struct CancelledKey {
  std::string key;
  uint32_t age_ms = 0;  // of the cancellation
  MSGPACK_DEFINE(key, age_ms);
};

struct CancelledKeysReply {
  uint64_t request = 0;
  std::vector<CancelledKey> keys;  // oldest first
  MSGPACK_DEFINE(request, keys);
};

// New types are added at the end: the index is the type on the wire.
using PeerMessage = std::variant<Hello,
                                 Heartbeat,
                                 AcknowledgeRequest,
                                 AcknowledgeReply,
                                 PromiseRequest,
                                 PromiseReply,
                                 OwnerProbe,
                                 OwnerProbeReply,
                                 Leave,
                                 RangeHandover,
                                 RangeHandoverReply,
                                 ForwardRequest,
                                 ForwardReply,
                                 DocumentPull,
                                 DocumentPush,
                                 SlotRequest,
                                 SlotGrant,
                                 UpstreamLeaving,
                                 PoolStatus,
                                 PoolJobRequest,
                                 PoolJobReply,
                                 PoolJobCancel,
                                 PoolJobCancelReply,
                                 Received,
                                 CancelledKeysRequest,
                                 CancelledKeysReply>;

// Maximum payload of one frame; larger transfers are sent in parts.
inline constexpr size_t kMaxPeerFrameBytes = 8 * 1024 * 1024;

// Encodes a message without the length prefix.
std::string EncodePeerMessage(const PeerMessage& message);
// Decodes the payload of one frame; never throws and never reads past
// `payload`.
std::optional<PeerMessage> DecodePeerMessage(std::string_view payload,
                                             Error* error);
std::string_view PeerMessageName(const PeerMessage& message);

}  // namespace radishrail

MSGPACK_ADD_ENUM(radishrail::MemberState);
MSGPACK_ADD_ENUM(radishrail::ForwardMethod);

#endif  // RADISHRAIL_PEER_MESSAGE_H_
