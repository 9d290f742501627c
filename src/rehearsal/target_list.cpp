#include "rehearsal/target_list.h"

#include <algorithm>
#include <sstream>

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

constexpr std::size_t kColumns = 4;

std::vector<std::string> splitTabs(const std::string& line) {
  std::vector<std::string> columns(1);
  for (const char character : line) {
    if (character == '\t') {
      columns.emplace_back();
    } else {
      columns.back() += character;
    }
  }
  return columns;
}

Target& targetNamed(std::vector<Target>& targets, const std::string& name) {
  const auto found = std::find_if(targets.begin(), targets.end(),
                                  [&](const Target& target) { return target.name == name; });
  return found != targets.end() ? *found : targets.emplace_back(Target{name, {}});
}

}  // namespace

base::Result<std::vector<Target>> parseTargets(const std::string& text) {
  std::vector<Target> targets;
  std::istringstream lines(text);
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) {
      continue;
    }
    const std::vector<std::string> columns = splitTabs(line);
    if (columns.size() != kColumns || columns[0].empty() || columns[1].empty()) {
      return Error{ErrorCode::malformedInput, "line " + std::to_string(number),
                   "expected: name, model, version, adapter, separated by tabs"};
    }
    targetNamed(targets, columns[0]).servables.push_back({columns[1], columns[2], columns[3]});
  }
  if (targets.empty()) {
    return Error{ErrorCode::missingField, "targets", "no target"};
  }
  return targets;
}

std::string formatTargets(const std::vector<Target>& targets) {
  std::string text;
  for (const Target& target : targets) {
    for (const resource::Servable& servable : target.servables) {
      text += target.name + "\t" + servable.model + "\t" + servable.version + "\t" +
              servable.adapter + "\n";
    }
  }
  return text;
}

}  // namespace walnut::rehearsal
