#ifndef RADISHRAIL_SRC_NAME_TABLE_H_
#define RADISHRAIL_SRC_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace radishrail::internal {

// Name of an enumerator; the enumerators must be consecutive from zero.
template <typename Enum, size_t kSize>
constexpr std::string_view NameOf(
    const std::array<std::string_view, kSize>& names,
    Enum value) {
  static_assert(kSize == static_cast<size_t>(Enum::kMaxValue) + 1);
  return names[static_cast<size_t>(value)];
}

// Inverse of `NameOf`; linear in the number of names.
template <typename Enum, size_t kSize>
constexpr std::optional<Enum> FromName(
    const std::array<std::string_view, kSize>& names,
    std::string_view name) {
  static_assert(kSize == static_cast<size_t>(Enum::kMaxValue) + 1);
  for (size_t i = 0; i < kSize; ++i) {
    if (names[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_NAME_TABLE_H_
