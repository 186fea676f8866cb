#ifndef RADISHRAIL_SRC_DAEMON_CALLER_API_H_
#define RADISHRAIL_SRC_DAEMON_CALLER_API_H_

#include "radishrail/executor.h"
#include "radishrail/http_server.h"
#include "radishrail/metrics.h"
#include "radishrail/node.h"

namespace radishrail {

// Translates callers' HTTP requests into requests to the node. Runs on the
// threads of the HTTP server; bodies are parsed there.
class CallerApi {
 public:
  CallerApi(Executor& control, Node& node, Metrics& metrics);
  void Handle(HttpRequest request, HttpResponder respond);

 private:
  void HandleJob(HttpRequest request, HttpResponder respond, std::string key);
  void HandleKey(HttpResponder respond);

  Executor& control_;
  Node& node_;
  Counter& rejected_;
  Histogram& response_time_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_CALLER_API_H_
