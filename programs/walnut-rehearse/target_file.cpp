#include "target_file.h"

#include <fstream>
#include <sstream>

namespace walnut::rehearsal {

base::Result<std::vector<Target>> readTargets(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return base::Error{base::ErrorCode::fileError, path, "can't be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseTargets(text.str());
}

Target findTarget(const std::vector<Target>& targets, const std::string& name) {
  for (const Target& target : targets) {
    if (target.name == name) {
      return target;
    }
  }
  return Target{name, {}};
}

}  // namespace walnut::rehearsal
