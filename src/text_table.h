#ifndef RADISHRAIL_SRC_TEXT_TABLE_H_
#define RADISHRAIL_SRC_TEXT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace radishrail::internal {

// Formats rows as a table with aligned columns; the first row is the heading.
// Control characters are replaced, so that data cannot control the terminal.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Replaces control characters and truncates to `max_bytes` on a UTF-8 character
// boundary; "..." is appended to truncated text.
std::string Printable(std::string_view text, size_t max_bytes);

// Line diff of `before` and `after`, with the prefix "-", "+" or " " on each
// line; empty if they are equal. Quadratic in the number of lines that differ.
std::string DiffLines(std::string_view before, std::string_view after);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_TEXT_TABLE_H_
