#include "rehearsal/process_cpu.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

/// Fields between the name, which is in parentheses and may hold spaces, and `utime`.
constexpr int kFieldsBeforeUserTime = 11;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

}  // namespace

base::Result<base::Duration> parseProcessCpu(const std::string& statLine, long ticksPerSecond) {
  const std::size_t nameEnd = statLine.rfind(')');
  if (nameEnd == std::string::npos) {
    return Error{ErrorCode::malformedInput, "stat", "no process name"};
  }
  std::istringstream fields(statLine.substr(nameEnd + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  std::int64_t userTicks = 0;
  std::int64_t systemTicks = 0;
  if (!(fields >> userTicks >> systemTicks)) {
    return Error{ErrorCode::malformedInput, "stat", "no processor times"};
  }
  return base::Duration((userTicks + systemTicks) * kMicrosPerSecond / ticksPerSecond);
}

base::Result<base::Duration> processCpu(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (!std::getline(file, line)) {
    return Error{ErrorCode::notFound, std::to_string(pid), "no such process"};
  }
  return parseProcessCpu(line, sysconf(_SC_CLK_TCK));
}

}  // namespace walnut::rehearsal
