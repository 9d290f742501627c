#include "rehearsal/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace walnut::rehearsal {

namespace {

constexpr mode_t kLogMode = 0640;

/// File actions that append standard output and error to a file.
class OutputActions {
 public:
  explicit OutputActions(const std::string& logFile) {
    ::posix_spawn_file_actions_init(&actions_);
    ::posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, logFile.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    ::posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
  }
  ~OutputActions() { ::posix_spawn_file_actions_destroy(&actions_); }
  OutputActions(const OutputActions&) = delete;
  OutputActions& operator=(const OutputActions&) = delete;

  const posix_spawn_file_actions_t* get() const { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

}  // namespace

base::Result<ChildProcess> ChildProcess::start(const std::vector<std::string>& command,
                                               const std::string& logFile) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));  // NOLINT: posix_spawn's signature.
  }
  arguments.push_back(nullptr);
  const OutputActions actions(logFile);
  pid_t pid = 0;
  const int failure =
      ::posix_spawn(&pid, arguments.front(), actions.get(), nullptr, arguments.data(), environ);
  if (failure != 0) {
    return base::Error{base::ErrorCode::fileError, command.front(),
                       std::generic_category().message(failure)};
  }
  return ChildProcess(pid);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), status_(other.status_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    end();
    pid_ = std::exchange(other.pid_, 0);
    status_ = other.status_;
  }
  return *this;
}

ChildProcess::~ChildProcess() { end(); }

void ChildProcess::end() {
  if (pid_ != 0 && isRunning()) {
    signal(SIGKILL);
    wait();
  }
}

void ChildProcess::signal(int number) {
  if (isRunning()) {
    ::kill(pid_, number);
  }
}

bool ChildProcess::isRunning() {
  int status = 0;
  if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = status;
  }
  return !status_;
}

void ChildProcess::wait() {
  int status = 0;
  while (!status_) {
    if (::waitpid(pid_, &status, 0) == pid_) {
      status_ = status;
    } else if (errno != EINTR) {
      return;
    }
  }
}

}  // namespace walnut::rehearsal
