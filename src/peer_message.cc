#include "radishrail/peer_message.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include "name_table.h"
#include "radishrail/job.h"
#include "radishrail/run_fate.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 4> kMemberStates = {"starting", "ready",
                                                           "draining", "gone"};

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    kMessageNames = {"hello",
                     "heartbeat",
                     "acknowledge_request",
                     "acknowledge_reply",
                     "promise_request",
                     "promise_reply",
                     "owner_probe",
                     "owner_probe_reply",
                     "leave",
                     "range_handover",
                     "range_handover_reply",
                     "forward_request",
                     "forward_reply",
                     "document_pull",
                     "document_push",
                     "slot_request",
                     "slot_grant",
                     "upstream_leaving",
                     "pool_status",
                     "pool_job_request",
                     "pool_job_reply",
                     "pool_job_cancel",
                     "pool_job_cancel_reply",
                     "received",
                     "cancelled_keys_request",
                     "cancelled_keys_reply"};

// The payload of a frame is an array of the message type and its fields.
template <size_t kIndex = 0>
std::optional<PeerMessage> DecodeBody(size_t type,
                                      const msgpack::object& body) {
  if constexpr (kIndex == std::variant_size_v<PeerMessage>) {
    return std::nullopt;
  } else {
    if (type != kIndex) {
      return DecodeBody<kIndex + 1>(type, body);
    }
    std::variant_alternative_t<kIndex, PeerMessage> message;
    body.convert(message);
    return message;
  }
}

bool IsValid(const MemberRecord& record) {
  return record.state <= MemberState::kMaxValue;
}

// msgpack converts any integer to an enumeration. Values out of range are
// rejected here, since enumerators index name tables.
bool HasValidEnums(const PeerMessage& message) {
  if (const auto* hello = std::get_if<Hello>(&message)) {
    return IsValid(hello->sender);
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    for (const auto& it : heartbeat->others) {
      if (!IsValid(it)) {
        return false;
      }
    }
    return IsValid(heartbeat->sender);
  }
  if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
    return forward->method <= ForwardMethod::kMaxValue;
  }
  if (const auto* status = std::get_if<PoolStatus>(&message)) {
    return std::all_of(status->run_fates.begin(), status->run_fates.end(),
                       [](const PoolRunFate& it) {
                         return it.fate <=
                                static_cast<uint32_t>(UpstreamFate::kMaxValue);
                       });
  }
  if (const auto* reply = std::get_if<PoolJobReply>(&message)) {
    return reply->status <= static_cast<uint32_t>(JobStatus::kMaxValue) &&
           reply->error <= static_cast<uint32_t>(ErrorCode::kMaxValue);
  }
  return true;
}

// Limits of one frame, which bound the memory that a malformed frame can
// allocate.
msgpack::unpack_limit FrameLimits() {
  constexpr size_t kMaxElements = 100000;
  constexpr size_t kMaxDepth = 8;
  return msgpack::unpack_limit(kMaxElements, kMaxElements, kMaxPeerFrameBytes,
                               kMaxPeerFrameBytes, kMaxPeerFrameBytes,
                               kMaxDepth);
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  return internal::NameOf(kMemberStates, state);
}

std::string EncodePeerMessage(const PeerMessage& message) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(2);
  packer.pack(static_cast<uint32_t>(message.index()));
  std::visit([&](const auto& body) { packer.pack(body); }, message);
  return {buf.data(), buf.size()};
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view payload,
                                             Error* error) {
  // The library throws on malformed input; no exception leaves this function.
  try {
    const msgpack::object_handle handle = msgpack::unpack(
        payload.data(), payload.size(), nullptr, nullptr, FrameLimits());
    const msgpack::object& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2) {
      return Fail(error, ErrorCode::kProtocol, Step::kPeerMessage,
                  "a frame must be an array of type and fields");
    }
    const auto type = root.via.array.ptr[0].as<uint32_t>();
    std::optional<PeerMessage> message =
        DecodeBody(type, root.via.array.ptr[1]);
    if (!message.has_value() || !HasValidEnums(*message)) {
      return Fail(error, ErrorCode::kProtocol, Step::kPeerMessage,
                  "unknown message type or enumerator");
    }
    return message;
  } catch (const std::exception& ec) {
    return Fail(error, ErrorCode::kProtocol, Step::kPeerMessage, ec.what());
  }
}

std::string_view PeerMessageName(const PeerMessage& message) {
  return kMessageNames[message.index()];
}

}  // namespace radishrail
