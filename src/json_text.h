#ifndef RADISHRAIL_JSON_TEXT_H_
#define RADISHRAIL_JSON_TEXT_H_

#include <string>

#include "nlohmann/json.hpp"

namespace radishrail::internal {

// Serializes a JSON value. Invalid UTF-8 is replaced: strings of clients and of
// other processes are not checked, and `dump` would throw.
template <typename Json>
std::string JsonText(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace radishrail::internal

#endif  // RADISHRAIL_JSON_TEXT_H_
