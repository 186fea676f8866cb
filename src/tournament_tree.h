#ifndef RADISHRAIL_SRC_TOURNAMENT_TREE_H_
#define RADISHRAIL_SRC_TOURNAMENT_TREE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace radishrail::internal {

// Tournament tree that yields the leaf with the highest value. An update costs
// logarithmic time. Unlike a sorted container, it needs no reinsertion when a
// value such as a learned speed changes.
class TournamentTree {
 public:
  static constexpr double kNone = std::numeric_limits<double>::lowest();

  // Adds a leaf without a value and returns its number.
  uint32_t Add() {
    const auto leaf = static_cast<uint32_t>(values_.size());
    values_.push_back(kNone);
    if (values_.size() > width_) {
      Rebuild();
    }
    return leaf;
  }

  void Set(uint32_t leaf, double value) {
    if (values_[leaf] == value) {
      return;
    }
    values_[leaf] = value;
    for (size_t node = (leaf + width_) / 2; node >= 1; node /= 2) {
      winners_[node] = Better(Winner(2 * node), Winner(2 * node + 1));
    }
  }

  // The leaf with the highest value; nullopt if no leaf has a value.
  std::optional<uint32_t> Best() const {
    if (width_ == 0) {
      return std::nullopt;
    }
    const uint32_t leaf = Winner(1);
    return Value(leaf) == kNone ? std::nullopt : std::optional(leaf);
  }
  // Like `Best`, but ignores `leaf`.
  std::optional<uint32_t> BestExcept(uint32_t leaf) {
    const double value = values_[leaf];
    Set(leaf, kNone);
    const auto best = Best();
    Set(leaf, value);
    return best;
  }
  double Value(uint32_t leaf) const {
    return leaf < values_.size() ? values_[leaf] : kNone;
  }

 private:
  uint32_t Winner(size_t node) const {
    return node >= width_ ? static_cast<uint32_t>(node - width_)
                          : winners_[node];
  }
  uint32_t Better(uint32_t a, uint32_t b) const {
    return Value(b) > Value(a) ? b : a;
  }
  void Rebuild() {
    width_ = width_ == 0 ? 2 : 2 * width_;
    winners_.assign(width_, 0);
    for (size_t node = width_ - 1; node >= 1; --node) {
      winners_[node] = Better(Winner(2 * node), Winner(2 * node + 1));
    }
  }

  std::vector<double> values_;
  std::vector<uint32_t> winners_;  // inner nodes; the root is node 1
  size_t width_ = 0;               // capacity in leaves, a power of two
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_TOURNAMENT_TREE_H_
