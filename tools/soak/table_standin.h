#ifndef RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_
#define RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "pool_world.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"

namespace radishrail {

// Stand-in for the table service of the users' platform, with the calls that
// the daemons make. All state is used on the loop's thread only.
class TableStandin {
 public:
  explicit TableStandin(ControlLoop& loop);

  bool Start(Error* error) { return server_.Start(error); }
  void Stop() { server_.Stop(absl::ZeroDuration()); }
  std::string address() const { return server_.address(); }

  // Answers the watches whose table has changed or whose wait time is over.
  void Tick();
  void Put(const std::string& key, const std::string& value);
  // Returns the value of a row, or an empty string.
  std::string Get(const std::string& key) const;
  // Discards the history: later watches from older versions get status 410.
  void DropHistory() { oldest_version_ = rows_.version; }

  struct Faults {
    // Every call is answered with status 503.
    bool unavailable = false;
    // Transactions are committed but not answered.
    bool drop_transaction_answers = false;
    absl::Duration delay;
  };
  Faults faults;
  // Returns the value of a row as the reader sees it that calls the table under
  // the address `host`.
  std::function<std::string(const std::string& host, const std::string& value)>
      value_for_reader =
          [](const std::string&, const std::string& value) { return value; };

 private:
  struct Watch {
    std::string table;
    int64_t version = 0;
    std::string host;
    absl::Time deadline;
    HttpResponder respond;
  };

  void HandleRequest(const HttpRequest& request, const HttpResponder& respond);
  void Transact(const HttpRequest& request, const HttpResponder& respond);
  std::string RowsResponseBody(const std::string& table,
                               const std::string& from,
                               int64_t after,
                               const std::string& host) const;

  ControlLoop& loop_;
  SharedRows rows_;
  int64_t oldest_version_ = 0;
  std::vector<Watch> watches_;
  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_
