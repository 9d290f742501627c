#include "scale/process_usage.h"

#include <malloc.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace walnut::scale {

namespace {

using base::Error;
using base::ErrorCode;

/// Fields of /proc/PID/stat after the command name, counted from 0 (proc(5)).
constexpr std::size_t kUserTicks = 11;
constexpr std::size_t kSystemTicks = 12;
constexpr std::size_t kThreads = 17;
constexpr std::size_t kResidentPages = 21;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kNanosPerSecond = 1e9;

double seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

}  // namespace

base::Result<ProcessUsage> readProcessUsage(pid_t process) {
  const std::string path = "/proc/" + std::to_string(process) + "/stat";
  std::ifstream file(path);
  std::string line;
  if (!std::getline(file, line)) {
    return Error{ErrorCode::fileError, path, "no such process"};
  }
  // The command name is in parentheses and may contain anything.
  const std::size_t nameEnd = line.rfind(')');
  std::istringstream rest(nameEnd == std::string::npos ? "" : line.substr(nameEnd + 1));
  std::vector<std::string> fields;
  for (std::string field; rest >> field;) {
    fields.push_back(field);
  }
  if (fields.size() <= kResidentPages) {
    return Error{ErrorCode::malformedInput, path, "too few fields"};
  }
  const double ticks = std::stod(fields[kUserTicks]) + std::stod(fields[kSystemTicks]);
  ProcessUsage usage;
  usage.processorSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.threads = std::stoull(fields[kThreads]);
  usage.residentBytes =
      std::stoull(fields[kResidentPages]) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

double ownProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double threadProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanosPerSecond;
}

std::uint64_t heapBytesInUse() {
  const struct mallinfo2 information = mallinfo2();
  return information.uordblks + information.hblkhd;
}

}  // namespace walnut::scale
