#ifndef RADISHRAIL_DOCUMENT_CONTROLLER_H_
#define RADISHRAIL_DOCUMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrail/clock.h"
#include "radishrail/document.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/random.h"
#include "radishrail/store.h"

namespace radishrail {

// An environment document with its version; immutable and shared.
struct VersionedDocument {
  EnvironmentDocument document;
  std::string body;
  int64_t version = 0;
  int64_t revision = 0;
};

struct EnvironmentStatus {
  std::string environment;
  int64_t trial_version = 0;
  int64_t production_version = 0;
  int64_t last_version = 0;
  int64_t revision = 0;
};

// Outcome of an operator's change.
enum class ChangeOutcome {
  kAccepted,
  kRejected,  // never applied, neither now nor later; the error says why
  kUnknown,   // may have been accepted; repeat with the same operation id
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  int64_t version = 0;
  int64_t revision = 0;
  Error error;
};

// Keeps the accepted environment documents of this daemon up to date from the
// platform and from peers, and carries out operators' changes. Single-threaded.
class DocumentController {
 public:
  using ChangeCallback = std::function<void(ChangeResult)>;
  // Lists the reachable peers to which an accepted change is pushed at once.
  using PeerListFunction = std::function<std::vector<MemberRecord>()>;

  DocumentController(const Clock& clock,
                     Random& random,
                     Store& store,
                     PeerTransport& transport,
                     PeerListFunction reachable_peers);
  ~DocumentController();

  // Polls the platform when due (every 2 s; jittered backoff while it fails)
  // and runs delayed steps of pending changes. Call it every 100 ms.
  void Tick();
  // Handles DocumentPull and DocumentPush; a heartbeat's revision is passed to
  // `OnPeerRevision`.
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);
  void OnPeerRevision(const MemberRecord& sender, int64_t revision);

  // True once a poll of the platform has succeeded and the documents have
  // reached the highest revision that peers reported. While the platform cannot
  // be read, the latter suffices 2 s after the first report, if any document
  // change was applied.
  bool ready() const;
  // Revision up to which all changes are applied.
  int64_t revision() const;
  // False while the latest poll of the platform failed.
  bool platform_readable() const;
  // `function` runs for each document that becomes active.
  void set_applied_function(
      std::function<void(Stage, const VersionedDocument&)> function);

  // The active document; nullptr if there is none.
  std::shared_ptr<const VersionedDocument> Find(std::string_view environment,
                                                Stage stage) const;
  std::vector<EnvironmentStatus> List() const;

  // Creates a new trial version from `body`.
  void PutTrial(const std::string& environment,
                const std::string& body,
                const std::string& operation,
                ChangeCallback callback);
  // Moves exactly `version` to production if production is at `replaces`.
  void Promote(const std::string& environment,
               int64_t version,
               int64_t replaces,
               const std::string& operation,
               ChangeCallback callback);

 private:
  class Impl;
  // A shared pointer, since callbacks of the store hold weak references.
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_DOCUMENT_CONTROLLER_H_
