#ifndef RADISHRAIL_EVACUATION_TABLE_H_
#define RADISHRAIL_EVACUATION_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/peer_message.h"
#include "radishrail/store.h"

namespace radishrail {

// Operators' requests to evacuate failure domains, from the store's rows and
// from peers. Per domain, the state with the highest version of the store
// counts, so that neither a late message nor a restart brings a withdrawn
// request back. Does no I/O; single-threaded.
class EvacuationTable {
 public:
  struct Change {
    std::string domain;
    bool active = false;
    int64_t version = 0;
  };

  // The row of a domain has the key `prefix` + name of the domain.
  EvacuationTable(std::string prefix, const Clock& clock);

  // Merges rows of the store; those with another prefix are ignored.
  // `is_snapshot`: `rows` are all rows; otherwise those that changed.
  // `version`: of the store, as of which this is known.
  // Returns the domains whose state changed, as does `OnPeer`.
  std::vector<Change> OnRows(const std::vector<Row>& rows,
                             bool is_snapshot,
                             int64_t version);
  // Merges all states that a peer knows.
  std::vector<Change> OnPeer(const std::vector<PoolEvacuation>& states);

  bool IsActive(std::string_view domain) const;
  // Share of the domain's upstreams that may get tasks: 0 while it is
  // evacuated, then rising to 1.
  double UsableShare(std::string_view domain) const;
  // True while the share of any domain rises.
  bool IsReturning() const;
  std::set<std::string> ActiveDomains() const;

  // Highest version of all states; a peer with a lower one misses some.
  int64_t version() const;
  // All states, for peers.
  std::vector<PoolEvacuation> States() const;

 private:
  struct State {
    bool active = false;
    int64_t version = 0;
    absl::Time withdrawn_at = absl::InfinitePast();  // as noticed here
  };

  // Applies a newer state and adds it to `changes` if it differs.
  void Apply(const std::string& domain,
             bool active,
             int64_t version,
             std::vector<Change>* changes);
  void MakeRoom();

  const std::string prefix_;
  const Clock& clock_;
  std::map<std::string, State, std::less<>> states_;
  // The store's rows are known as of this version.
  int64_t known_version_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_EVACUATION_TABLE_H_
