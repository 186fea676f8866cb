#include "radishrail/run_fate.h"

#include <array>

#include "name_table.h"

namespace radishrail {

std::string_view UpstreamFateName(UpstreamFate fate) {
  static constexpr std::array<std::string_view, 3> kNames = {
      "uncertain", "crashed", "alive"};
  return internal::NameOf(kNames, fate);
}

}  // namespace radishrail
