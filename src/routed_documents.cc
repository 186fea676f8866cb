#include "radishrail/routed_documents.h"

namespace radishrail {

const RoutedDocument* RoutedDocuments::Find(std::string_view host,
                                            std::string_view path) const {
  const RoutedDocument* best = nullptr;
  for (const auto& it : routes) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

}  // namespace radishrail
