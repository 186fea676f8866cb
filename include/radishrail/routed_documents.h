#ifndef RADISHRAIL_ROUTED_DOCUMENTS_H_
#define RADISHRAIL_ROUTED_DOCUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/document_controller.h"
#include "radishrail/error.h"

namespace radishrail {

// The environment that serves the requests of one host and path prefix.
struct RoutedDocument {
  std::string host;
  std::string path_prefix;
  std::shared_ptr<const VersionedDocument> document;
  std::string upstream_class;
  int max_failures = 1;
  int priority = 0;  // of the environment; 0 is served first
  // Promised time of a job: `base` + `stretch` * its longest task.
  double stretch = 0;
  absl::Duration base = absl::ZeroDuration();
};

// The routes of one configuration version.
class RoutedDocuments {
 public:
  int64_t version = 0;
  std::string body;  // as stored; sent to peers

  // Of two routes with the same host and prefix, the first one is used.
  void Add(RoutedDocument route);
  // The route with the longest prefix of `path`; nullptr if there is none.
  // Logarithmic in the number of routes.
  const RoutedDocument* Find(std::string_view host,
                             std::string_view path) const;
  // A route to the environment; nullptr if there is none.
  const RoutedDocument* FindEnvironment(std::string_view environment) const;
  size_t size() const { return routes_.size(); }

 private:
  std::vector<RoutedDocument> routes_;
  // Positions in `routes_`.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      by_prefix_of_host_;
  std::map<std::string, size_t, std::less<>> by_environment_;
};

// Decodes a stored body; on failure returns nullopt and sets `error`.
using DocumentsParser =
    std::function<std::optional<RoutedDocuments>(std::string_view body,
                                                 Error* error)>;

}  // namespace radishrail

#endif  // RADISHRAIL_ROUTED_DOCUMENTS_H_
