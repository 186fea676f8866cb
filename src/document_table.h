#ifndef RADISHRAIL_SRC_DOCUMENT_TABLE_H_
#define RADISHRAIL_SRC_DOCUMENT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrail/document_controller.h"

namespace radishrail::internal {

// The environment documents that a daemon holds. Invariants: the version of a
// stage never decreases; for every stage of every environment, the table has
// the latest change up to `revision()` or a later one.
class DocumentTable {
 public:
  using AppliedFunction =
      std::function<void(Stage stage, const VersionedDocument& document)>;

  int64_t revision() const { return revision_; }
  void RaiseRevision(int64_t revision);
  void set_applied_function(AppliedFunction function) {
    applied_function_ = std::move(function);
  }

  // Stores a change unless the table has the same or a higher version.
  void Apply(const DocumentChange& change);
  int64_t Version(const std::string& environment, Stage stage) const;
  // The body of a version; nullptr if neither stage is at this version.
  const std::string* FindBody(const std::string& environment,
                              int64_t version) const;
  std::shared_ptr<const VersionedDocument> Find(std::string_view environment,
                                                Stage stage) const;
  std::vector<EnvironmentStatus> List() const;
  // The latest change of each stage with a revision above `after` and up to
  // `revision()`, in the order of revisions. Visits all environments.
  std::vector<DocumentChange> ChangesAfter(int64_t after) const;

 private:
  struct Entry {
    std::shared_ptr<const VersionedDocument> latest;
    // Differs from `latest` if `latest` is not valid for this release.
    std::shared_ptr<const VersionedDocument> active;
  };

  const Entry* FindEntry(std::string_view environment, Stage stage) const;

  std::map<std::string, std::map<Stage, Entry>, std::less<>> environments_;
  int64_t revision_ = 0;
  AppliedFunction applied_function_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_DOCUMENT_TABLE_H_
