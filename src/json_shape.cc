#include "json_shape.h"

namespace radishrail::internal {

namespace {

// Position of the quotation mark that ends the string which begins before
// `start`, or the end of the text.
size_t EndOfString(std::string_view text, size_t start) {
  for (size_t i = start; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i;
    }
  }
  return text.size();
}

}  // namespace

bool ExceedsJsonLimits(std::string_view text, const JsonLimits& limits) {
  size_t values = 1;
  size_t depth = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"':
        i = EndOfString(text, i + 1);
        break;
      case '[':
      case '{':
        ++values;
        ++depth;
        break;
      case ',':
        ++values;
        break;
      case ']':
      case '}':
        depth = depth > 0 ? depth - 1 : 0;
        break;
      default:
        break;
    }
    if (values > limits.max_values || depth > limits.max_depth) {
      return true;
    }
  }
  return false;
}

}  // namespace radishrail::internal
