#ifndef RADISHRAIL_SRC_DOCUMENT_SYNC_H_
#define RADISHRAIL_SRC_DOCUMENT_SYNC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "document_table.h"
#include "radishrail/store.h"

namespace radishrail::internal {

// One poll of the platform: reads `documents/head` and all changes that the
// table lacks. Callbacks hold weak references, so releasing the last reference
// cancels the poll.
class DocumentSync : public std::enable_shared_from_this<DocumentSync> {
 public:
  // `error` is not ok if the platform could not be read; the table is then
  // unchanged or at an intermediate revision.
  using DoneFunction = std::function<void(Error error)>;

  DocumentSync(Store& store, DocumentTable& table, DoneFunction done);

  void Start();

 private:
  struct NewChange {
    DocumentChange change;
    std::string body_hash;
  };

  void OnHead(int64_t revision);
  void ReadLog();
  void OnLogRow(size_t index, const Row& row);
  void ListEnvironments();
  void OnEnvironments(const std::vector<Row>& rows);

  void FetchBodies();
  void ContinueFetch();
  void OnBody(size_t index, std::string body);
  void Apply();
  // Calls `done` once; callbacks that arrive later have no effect.
  void Finish(const Error& error);

  Store& store_;
  DocumentTable& table_;
  DoneFunction done_;
  int64_t head_revision_ = 0;
  // Revision of the table once `changes_` are applied.
  int64_t target_revision_ = 0;
  std::vector<NewChange> changes_;
  size_t pending_reads_ = 0;
  size_t next_fetch_ = 0;
  bool log_has_gap_ = false;
  bool finished_ = false;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_DOCUMENT_SYNC_H_
