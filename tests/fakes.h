#ifndef RADISHRAIL_TESTS_FAKES_H_
#define RADISHRAIL_TESTS_FAKES_H_

#include <string>
#include <utility>
#include <vector>

#include "radishrail/clock.h"
#include "radishrail/peer_transport.h"

namespace radishrail {

// Clock that advances only when a test advances it.
class FakeClock : public Clock {
 public:
  absl::Time Monotonic() const override { return monotonic_; }
  absl::Time Wall() const override { return wall_; }
  void Advance(absl::Duration duration) {
    monotonic_ += duration;
    wall_ += duration;
  }
  void SetWall(absl::Time wall) { wall_ = wall; }

 private:
  absl::Time monotonic_ = absl::FromUnixSeconds(1000);
  absl::Time wall_ = absl::FromUnixSeconds(1'800'000'000);
};

// Records sent messages; sending to an address in `unreachable` fails.
class RecordingTransport : public PeerTransport {
 public:
  bool Send(const std::string& peer_address,
            const PeerMessage& message) override {
    for (const auto& it : unreachable) {
      if (it == peer_address) {
        return false;
      }
    }
    sent.emplace_back(peer_address, message);
    return true;
  }

  std::vector<std::pair<std::string, PeerMessage>> sent;
  std::vector<std::string> unreachable;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_FAKES_H_
