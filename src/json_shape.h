#ifndef RADISHRAIL_SRC_JSON_SHAPE_H_
#define RADISHRAIL_SRC_JSON_SHAPE_H_

#include <cstddef>
#include <string_view>

namespace radishrail::internal {

struct JsonLimits {
  size_t max_values = 0;  // elements of lists and members of objects
  size_t max_depth = 0;
};

// True if `text` has more values or deeper nesting than allowed. It allocates
// nothing and need not be valid JSON: a parser that stops at an error has built
// no more values than counted here.
bool ExceedsJsonLimits(std::string_view text, const JsonLimits& limits);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_JSON_SHAPE_H_
