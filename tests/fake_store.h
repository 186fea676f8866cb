#ifndef RADISHRAIL_TESTS_FAKE_STORE_H_
#define RADISHRAIL_TESTS_FAKE_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "radishrail/store.h"

namespace radishrail {

// Rows, objects and VM list that several `FakeStore`s share.
class FakePlatform {
 public:
  Row Get(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? Row{key, "", 0} : it->second;
  }

  std::vector<Row> List(const std::string& prefix) const {
    std::vector<Row> rows;
    for (auto it = rows_.lower_bound(prefix);
         it != rows_.end() && it->first.starts_with(prefix); ++it) {
      rows.push_back(it->second);
    }
    return rows;
  }

  // Returns false and sets `conflict` to the row whose check did not hold if
  // nothing was written.
  bool Commit(const Transaction& transaction, std::string* conflict) {
    for (const auto& it : transaction.checks) {
      if (Get(it.key).version != it.version) {
        *conflict = it.key;
        return false;
      }
    }
    for (const auto& it : transaction.writes) {
      if (!it.value.has_value()) {
        rows_.erase(it.key);
        continue;
      }
      // Versions are never reused, not even after a deletion.
      rows_[it.key] = {it.key, *it.value, ++last_version_};
      history.emplace_back(it.key, *it.value);
    }
    return true;
  }

  std::map<std::string, std::string> objects;
  // All rows ever written, in order.
  std::vector<std::pair<std::string, std::string>> history;
  std::vector<VmInfo> vms;

 private:
  std::map<std::string, Row> rows_;
  int64_t last_version_ = 0;
};

// A daemon's connection to a `FakePlatform`. Requests are queued; the test runs
// them, with their callbacks, by `Pump` and `PumpOne`.
class FakeStore : public Store {
 public:
  explicit FakeStore(FakePlatform& platform) : platform_(platform) {}

  void Read(const std::string& key, ReadCallback callback) override {
    Enqueue([this, key, callback = std::move(callback)] {
      ++reads;
      down ? callback(std::nullopt, Unavailable())
           : callback(platform_.Get(key), {});
    });
  }

  void List(const std::string& prefix, ListCallback callback) override {
    Enqueue([this, prefix, callback = std::move(callback)] {
      ++lists;
      down ? callback(std::nullopt, Unavailable())
           : callback(platform_.List(prefix), {});
    });
  }

  void Transact(Transaction transaction, TransactCallback callback) override {
    Enqueue([this, transaction = std::move(transaction),
             callback = std::move(callback)] { Run(transaction, callback); });
  }

  void GetObject(const std::string& name, ObjectCallback callback) override {
    Enqueue([this, name, callback = std::move(callback)] {
      ++reads;
      const auto it = platform_.objects.find(name);
      if (down || it == platform_.objects.end()) {
        callback(std::nullopt, Unavailable());
      } else {
        callback(it->second, {});
      }
    });
  }

  void PutObject(const std::string& name,
                 std::string body,
                 ObjectCallback callback) override {
    Enqueue(
        [this, name, body = std::move(body), callback = std::move(callback)] {
          if (down) {
            callback(std::nullopt, Unavailable());
          } else {
            platform_.objects[name] = body;
            callback(body, {});
          }
        });
  }

  void ListVms(VmCallback callback) override {
    Enqueue([this, callback = std::move(callback)] {
      down ? callback(std::nullopt, Unavailable())
           : callback(platform_.vms, {});
    });
  }

  // Runs the oldest request; false if there is none.
  bool PumpOne() {
    if (queue_.empty()) {
      return false;
    }
    const auto request = std::move(queue_.front());
    queue_.pop_front();
    request();
    return true;
  }

  void Pump() {
    while (PumpOne()) {
    }
  }

  // Runs the transactions whose requests were delayed in transit.
  void DeliverDelayed() {
    for (const auto& it : std::exchange(delayed_transactions_, {})) {
      std::string conflict;
      platform_.Commit(it, &conflict);
    }
  }

  bool down = false;
  // Faults to inject, each as the number of transactions that it will affect.
  int lose_responses = 0;  // applied, but the response is lost
  int lose_requests = 0;   // not applied, no response
  int delay_requests = 0;  // no response; applied by `DeliverDelayed`
  int conflicts = 0;       // not applied, reported as a conflict

  int reads = 0;
  int lists = 0;
  int transactions = 0;

 private:
  static Error Unavailable() {
    return {ErrorCode::kPlatformUnavailable, Step::kPlatformRead, "platform",
            "made unavailable by the test"};
  }

  // True, once for each of the transactions that a fault still has to affect.
  static bool ConsumeFault(int& count) { return count > 0 && count-- > 0; }

  void Run(const Transaction& transaction, const TransactCallback& callback) {
    ++transactions;
    std::string conflict;
    bool answered = !down && !ConsumeFault(lose_requests);
    bool committed = false;
    if (answered && ConsumeFault(delay_requests)) {
      delayed_transactions_.push_back(transaction);
      answered = false;
    } else if (answered && ConsumeFault(conflicts)) {
      conflict = "documents/head";
    } else if (answered) {
      committed = platform_.Commit(transaction, &conflict);
      answered = !committed || !ConsumeFault(lose_responses);
    }
    if (!answered) {
      callback(TransactionOutcome::kUnknown, "", Unavailable());
    } else if (committed) {
      callback(TransactionOutcome::kCommitted, "", {});
    } else {
      callback(TransactionOutcome::kConflict, conflict, {});
    }
  }

  void Enqueue(std::function<void()> request) {
    queue_.push_back(std::move(request));
  }

  FakePlatform& platform_;
  std::deque<std::function<void()>> queue_;
  std::vector<Transaction> delayed_transactions_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_FAKE_STORE_H_
