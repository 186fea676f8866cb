#include "text_table.h"

#include <algorithm>
#include <cstddef>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace radishrail::internal {

namespace {

constexpr size_t kMaxCellBytes = 80;
constexpr size_t kColumnGap = 2;

bool IsContinuationByte(char c) {
  return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
}

// Number of UTF-8 characters; assumes that each occupies one column.
size_t Width(std::string_view text) {
  return static_cast<size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return !IsContinuationByte(c); }));
}

std::vector<std::string> Lines(std::string_view text) {
  if (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  return absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
}

void AppendLines(std::string& diff,
                 char mark,
                 const std::vector<std::string>& lines,
                 size_t begin,
                 size_t end) {
  for (size_t i = begin; i < end; ++i) {
    diff.append({mark, ' '}).append(lines[i]).append("\n");
  }
}

}  // namespace

std::string Printable(std::string_view text, size_t max_bytes) {
  const bool truncated = text.size() > max_bytes;
  if (truncated) {
    while (max_bytes > 0 && IsContinuationByte(text[max_bytes])) {
      --max_bytes;
    }
    text = text.substr(0, max_bytes);
  }
  std::string printable(text);
  for (char& c : printable) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(c))) {
      c = '?';
    }
  }
  return truncated ? printable + "..." : printable;
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::vector<std::string>> cells = rows;
  std::vector<size_t> widths;
  for (auto& row : cells) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      row[i] = Printable(row[i], kMaxCellBytes);
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  std::string text;
  for (const auto& row : cells) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - Width(row[i]) + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string DiffLines(std::string_view before, std::string_view after) {
  if (before == after) {
    return {};
  }
  const std::vector<std::string> a = Lines(before);
  const std::vector<std::string> b = Lines(after);
  size_t prefix = 0;
  while (prefix < a.size() && prefix < b.size() && a[prefix] == b[prefix]) {
    ++prefix;
  }
  size_t suffix = 0;
  while (suffix < a.size() - prefix && suffix < b.size() - prefix &&
         a[a.size() - 1 - suffix] == b[b.size() - 1 - suffix]) {
    ++suffix;
  }
  const size_t a_end = a.size() - suffix;
  const size_t b_end = b.size() - suffix;
  // Length of the longest common subsequence of a[i..a_end) and b[j..b_end).
  std::vector<std::vector<size_t>> common(
      a_end - prefix + 1, std::vector<size_t>(b_end - prefix + 1));
  for (size_t i = a_end; i-- > prefix;) {
    for (size_t j = b_end; j-- > prefix;) {
      common[i - prefix][j - prefix] =
          a[i] == b[j] ? common[i - prefix + 1][j - prefix + 1] + 1
                       : std::max(common[i - prefix + 1][j - prefix],
                                  common[i - prefix][j - prefix + 1]);
    }
  }
  std::string diff;
  AppendLines(diff, ' ', a, 0, prefix);
  size_t i = prefix;
  size_t j = prefix;
  while (i < a_end && j < b_end) {
    if (a[i] == b[j]) {
      AppendLines(diff, ' ', a, i, i + 1);
      ++i;
      ++j;
    } else if (common[i - prefix + 1][j - prefix] >=
               common[i - prefix][j - prefix + 1]) {
      AppendLines(diff, '-', a, i, i + 1);
      ++i;
    } else {
      AppendLines(diff, '+', b, j, j + 1);
      ++j;
    }
  }
  AppendLines(diff, '-', a, i, a_end);
  AppendLines(diff, '+', b, j, b_end);
  AppendLines(diff, ' ', a, a_end, a.size());
  return diff;
}

}  // namespace radishrail::internal
