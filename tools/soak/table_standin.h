#ifndef RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_
#define RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "pool_world.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"

namespace radishrail {

// Stand-in of the users' platform's table service, with the calls that the
// daemons make. All state is used on the loop's thread only.
class TableStandin {
 public:
  explicit TableStandin(ControlLoop& loop);

  bool Start(Error* error) { return server_.Start(error); }
  void Stop() { server_.Stop(absl::ZeroDuration()); }
  std::string address() const { return server_.address(); }

  // Answers the watches that are due and ends those whose time is over.
  void Tick();
  void Put(const std::string& key, const std::string& value);
  // Watches of older versions are answered as gone.
  void DropHistory() { oldest_version_ = rows_.version; }

  struct Faults {
    bool refusing = false;  // every call gets 503
    bool losing = false;    // transactions are carried out and not answered
    absl::Duration delay;
  };
  Faults faults;

 private:
  struct Watch {
    std::string table;
    int64_t version = 0;
    absl::Time deadline;
    HttpResponder respond;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void Transact(const HttpRequest& request, const HttpResponder& respond);
  std::string Rows(const std::string& table,
                   const std::string& from,
                   int64_t after) const;

  ControlLoop& loop_;
  SharedRows rows_;
  int64_t oldest_version_ = 0;
  std::vector<Watch> watches_;
  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_TABLE_STANDIN_H_
