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

// Characters, not bytes; good enough for text of one column per character.
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
  const bool cut = text.size() > max_bytes;
  if (cut) {
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
  return cut ? printable + "..." : printable;
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
  size_t head = 0;
  while (head < a.size() && head < b.size() && a[head] == b[head]) {
    ++head;
  }
  size_t tail = 0;
  while (tail < a.size() - head && tail < b.size() - head &&
         a[a.size() - 1 - tail] == b[b.size() - 1 - tail]) {
    ++tail;
  }
  const size_t a_end = a.size() - tail;
  const size_t b_end = b.size() - tail;
  // Length of the longest common subsequence of the rest from (i, j).
  std::vector<std::vector<size_t>> common(
      a_end - head + 1, std::vector<size_t>(b_end - head + 1));
  for (size_t i = a_end; i-- > head;) {
    for (size_t j = b_end; j-- > head;) {
      common[i - head][j - head] =
          a[i] == b[j] ? common[i - head + 1][j - head + 1] + 1
                       : std::max(common[i - head + 1][j - head],
                                  common[i - head][j - head + 1]);
    }
  }
  std::string diff;
  AppendLines(diff, ' ', a, 0, head);
  size_t i = head;
  size_t j = head;
  while (i < a_end && j < b_end) {
    if (a[i] == b[j]) {
      AppendLines(diff, ' ', a, i, i + 1);
      ++i;
      ++j;
    } else if (common[i - head + 1][j - head] >=
               common[i - head][j - head + 1]) {
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
