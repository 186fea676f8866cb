#ifndef RADISHRAIL_PLATFORM_STORE_H_
#define RADISHRAIL_PLATFORM_STORE_H_

#include <string>

#include "absl/time/time.h"
#include "radishrail/http_client.h"
#include "radishrail/store.h"

namespace radishrail {

struct HttpStoreSettings {
  std::string address;  // "ip:port" of the platform
  std::string vm;       // name of this VM, sent in the header Radishrail-Vm
  absl::Duration timeout = absl::Seconds(2);
};

// The platform's table, object store and VM list over HTTP. Callbacks run on
// the client's executor.
class HttpStore : public Store {
 public:
  HttpStore(HttpStoreSettings settings, HttpClient& client);

  void Read(const std::string& key, ReadCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  // Only a well-formed response with status 200 or 409 determines the outcome;
  // anything else, including a refused connection, is `kUnknown`.
  void Transact(Transaction transaction, TransactCallback callback) override;
  // Reports an absent object as nullopt with `kNotFound`.
  void GetObject(const std::string& name, ObjectCallback callback) override;
  void PutObject(const std::string& name,
                 std::string body,
                 ObjectCallback callback) override;
  void ListVms(VmCallback callback) override;

 private:
  HttpClientRequest NewRequest(std::string method, std::string target) const;

  const HttpStoreSettings settings_;
  HttpClient& client_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_PLATFORM_STORE_H_
