#pragma once
/// @file
/// Text tables with aligned columns.

#include <ostream>
#include <string>
#include <vector>

namespace walnut::cli {

using Row = std::vector<std::string>;

/// Writes a heading and rows, each cell as wide as the widest of its column.
/// @param rows each with as many cells as the heading.
void writeTable(std::ostream& out, const Row& heading, const std::vector<Row>& rows);

}  // namespace walnut::cli
