#include "cli/table.h"

#include <algorithm>

namespace walnut::cli {

namespace {

constexpr const char* kGap = "  ";
/// Shown for an empty cell, so that every line has the same number of words.
constexpr const char* kEmptyCell = "-";

std::string textOf(const std::string& cell) { return cell.empty() ? kEmptyCell : cell; }

void writeRow(std::ostream& out, const Row& row, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t column = 0; column < row.size(); ++column) {
    std::string cell = textOf(row[column]);
    const bool last = column + 1 == row.size();
    if (!last && cell.size() < widths[column]) {
      cell.append(widths[column] - cell.size(), ' ');
    }
    line += last ? cell : cell + kGap;
  }
  out << line << "\n";
}

}  // namespace

void writeTable(std::ostream& out, const Row& heading, const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < heading.size(); ++column) {
    std::size_t width = heading[column].size();
    for (const Row& row : rows) {
      width = std::max(width, textOf(row[column]).size());
    }
    widths.push_back(width);
  }
  writeRow(out, heading, widths);
  for (const Row& row : rows) {
    writeRow(out, row, widths);
  }
}

}  // namespace walnut::cli
