#pragma once
/// @file
/// A process that a rehearsal starts, signals and waits for.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "walnut/base/error.h"

namespace walnut::rehearsal {

/// Started process; killed and waited for when destroyed. Owned by one thread.
class ChildProcess {
 public:
  /// @param command program and arguments.
  /// @param logFile file to which the output is appended.
  static base::Result<ChildProcess> start(const std::vector<std::string>& command,
                                          const std::string& logFile);
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ~ChildProcess();

  pid_t id() const { return pid_; }
  /// Does nothing if the process has ended.
  void signal(int number);
  /// @return true while the process has not ended.
  bool isRunning();
  /// @return how it ended, as from waitpid; nothing while it runs.
  std::optional<int> status() const { return status_; }
  /// Waits until it has ended.
  void wait();

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}
  void end();

  pid_t pid_ = 0;  ///< 0: none.
  std::optional<int> status_;
};

}  // namespace walnut::rehearsal
