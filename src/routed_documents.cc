#include "radishrail/routed_documents.h"

#include <algorithm>
#include <utility>

namespace radishrail {

namespace {

size_t CommonPrefixLength(std::string_view a, std::string_view b) {
  const auto end = std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first;
  return static_cast<size_t>(end - a.begin());
}

}  // namespace

void RoutedDocuments::Add(RoutedDocument route) {
  const size_t position = routes_.size();
  by_prefix_of_host_[route.host].try_emplace(route.path_prefix, position);
  by_environment_.try_emplace(route.document->document.environment, position);
  routes_.push_back(std::move(route));
}

const RoutedDocument* RoutedDocuments::Find(std::string_view host,
                                            std::string_view path) const {
  const auto prefixes = by_prefix_of_host_.find(host);
  if (prefixes == by_prefix_of_host_.end()) {
    return nullptr;
  }
  // Every prefix of `rest` sorts before it, the longest one last. An entry in
  // between that is not a prefix shares a beginning with `rest`, and all
  // prefixes of `rest` are prefixes of that beginning.
  std::string_view rest = path;
  while (true) {
    auto it = prefixes->second.upper_bound(rest);
    if (it == prefixes->second.begin()) {
      return nullptr;
    }
    --it;
    const size_t common = CommonPrefixLength(it->first, rest);
    if (common == it->first.size()) {
      return &routes_[it->second];
    }
    rest = rest.substr(0, common);
  }
}

const RoutedDocument* RoutedDocuments::FindEnvironment(
    std::string_view environment) const {
  const auto it = by_environment_.find(environment);
  return it == by_environment_.end() ? nullptr : &routes_[it->second];
}

}  // namespace radishrail
