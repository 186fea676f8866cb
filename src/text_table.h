#ifndef RADISHRAIL_SRC_TEXT_TABLE_H_
#define RADISHRAIL_SRC_TEXT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace radishrail::internal {

// Aligns the columns of rows for people; the first row is the heading. Control
// characters are replaced, so that data cannot control the terminal.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Replaces control characters and cuts after `max_bytes`, between UTF-8
// characters.
std::string Printable(std::string_view text, size_t max_bytes);

// Lines of `before` and `after`, with "-", "+" or " " in front; empty if they
// are equal. Quadratic in the number of lines that differ.
std::string DiffLines(std::string_view before, std::string_view after);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_TEXT_TABLE_H_
