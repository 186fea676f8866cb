#ifndef RADISHRAIL_STORE_H_
#define RADISHRAIL_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail {

// A row of the platform's table. Version 0 means that the row is absent; the
// platform increases the version with each write.
struct Row {
  std::string key;
  std::string value;
  int64_t version = 0;
};

struct RowCheck {
  std::string key;
  int64_t version = 0;  // 0: the row must be absent
};

struct RowWrite {
  std::string key;
  std::optional<std::string> value;  // nullopt deletes the row
};

// All writes are applied if all checks hold, otherwise none.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

enum class TransactionOutcome {
  kCommitted,
  kConflict,  // a check did not hold; nothing was written
  kUnknown,   // no response: may have been committed or may yet be
};

enum class VmRole { kEntry, kUpstream };
enum class VmState { kLive, kLeaving };

// One entry of the platform's list of VMs, which lags behind their real state.
struct VmInfo {
  std::string vm;
  VmRole role = VmRole::kUpstream;
  std::string address;  // "ip:port"; of an entry VM, that of its peer listener
  std::string failure_domain;
  VmState state = VmState::kLive;
  std::string upstream_class;
  int slots = 0;
  // Distinguishes successive VMs with the same name; 0: unknown.
  int64_t incarnation = 0;
  // Upstreams only; empty if the platform does not report them.
  std::string hardware_kind = {};
  std::string rack = {};
  // Time for which a recently started upstream remains slow.
  absl::Duration cold_remaining = absl::ZeroDuration();
  // The end of that time on the monotonic clock, set by the reader of the list.
  absl::Time cold_until = absl::InfinitePast();
};

// The platform's table, object store and VM list. Calls do not block; each
// callback runs exactly once, on the control thread. nullopt with an error
// means that the platform could not be read.
class Store {
 public:
  using ReadCallback = std::function<void(std::optional<Row>, Error)>;
  using ListCallback =
      std::function<void(std::optional<std::vector<Row>>, Error)>;
  // `conflict` names the row whose check did not hold.
  using TransactCallback =
      std::function<void(TransactionOutcome, std::string conflict, Error)>;
  using ObjectCallback = std::function<void(std::optional<std::string>, Error)>;
  using VmCallback =
      std::function<void(std::optional<std::vector<VmInfo>>, Error)>;

  virtual ~Store() = default;
  // An absent row is a row of version 0, not an error.
  virtual void Read(const std::string& key, ReadCallback callback) = 0;
  // All rows whose key begins with `prefix`, in the order of their keys.
  virtual void List(const std::string& prefix, ListCallback callback) = 0;
  virtual void Transact(Transaction transaction, TransactCallback callback) = 0;
  virtual void GetObject(const std::string& name, ObjectCallback callback) = 0;
  // Passes the stored body to the callback. Each object is written once, under
  // a new name, so that a repeated write is idempotent.
  virtual void PutObject(const std::string& name,
                         std::string body,
                         ObjectCallback callback) = 0;
  virtual void ListVms(VmCallback callback) = 0;

  struct Changes {
    std::vector<Row> rows;  // deleted rows have version 0
    int64_t next = 0;       // version for the next call of `Watch`
    // The answer was full: the next call returns further changes at once.
    bool truncated = false;
  };
  using WatchCallback = std::function<void(std::optional<Changes>, Error)>;
  // All rows whose key begins with `prefix`, as of one point in time.
  virtual void Snapshot(const std::string& prefix, WatchCallback callback) {
    static_cast<void>(prefix);
    ReportWatchUnsupported(std::move(callback));
  }
  // Waits until a row whose key begins with `prefix` changes after `version`,
  // at most `wait`, and passes the changed rows. The error code `kNotFound`
  // means that the changes after `version` are no longer available: take a new
  // snapshot.
  virtual void Watch(const std::string& prefix,
                     int64_t version,
                     absl::Duration wait,
                     WatchCallback callback) {
    static_cast<void>(prefix);
    static_cast<void>(version);
    static_cast<void>(wait);
    ReportWatchUnsupported(std::move(callback));
  }

 private:
  static void ReportWatchUnsupported(WatchCallback&& callback) {
    const WatchCallback report = std::move(callback);
    report(std::nullopt, {ErrorCode::kInfeasible, Step::kPlatformRead, "",
                          "the store does not support watching for changes"});
  }
};

}  // namespace radishrail

#endif  // RADISHRAIL_STORE_H_
