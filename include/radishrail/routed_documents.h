#ifndef RADISHRAIL_ROUTED_DOCUMENTS_H_
#define RADISHRAIL_ROUTED_DOCUMENTS_H_

#include <cstdint>
#include <functional>
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
  // Promised time of a job: `base` + `stretch` * its longest task.
  double stretch = 0;
  absl::Duration base = absl::ZeroDuration();
};

// The routes of one configuration version.
struct RoutedDocuments {
  int64_t version = 0;
  std::string body;  // as stored; sent to peers
  std::vector<RoutedDocument> routes;

  // The route with the longest prefix of `path`; nullptr if there is none.
  // Linear in the number of routes.
  const RoutedDocument* Find(std::string_view host,
                             std::string_view path) const;
};

// Decodes a stored body; on failure returns nullopt and sets `error`.
using DocumentsParser =
    std::function<std::optional<RoutedDocuments>(std::string_view body,
                                                 Error* error)>;

}  // namespace radishrail

#endif  // RADISHRAIL_ROUTED_DOCUMENTS_H_
