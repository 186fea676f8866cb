#ifndef RADISHRAIL_SRC_DAEMON_OPERATOR_API_H_
#define RADISHRAIL_SRC_DAEMON_OPERATOR_API_H_

#include <string>

#include "radishrail/executor.h"
#include "radishrail/http_server.h"
#include "radishrail/metrics.h"
#include "radishrail/node.h"
#include "radishrail/timeline.h"

namespace radishrail {

// The operators' HTTP interface: health, metrics, timeline, fleet, drain and
// environment documents. Health and metrics need no token.
class OperatorApi {
 public:
  OperatorApi(std::string token,
              Executor& control,
              Node& node,
              Metrics& metrics,
              Timeline& timeline);
  void Handle(HttpRequest request, HttpResponder respond);

 private:
  bool HandlePublic(const HttpRequest& request, const HttpResponder& respond);
  void HandleEnvironment(HttpRequest request,
                         HttpResponder respond,
                         const std::string& rest);
  void ShowEnvironment(const HttpRequest& request,
                       HttpResponder respond,
                       std::string name);
  void PutTrial(HttpRequest request, HttpResponder respond, std::string name);
  void Promote(const HttpRequest& request,
               HttpResponder respond,
               std::string name);
  void ListEnvironments(HttpResponder respond);

  const std::string token_;
  Executor& control_;
  Node& node_;
  Metrics& metrics_;
  Timeline& timeline_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_OPERATOR_API_H_
