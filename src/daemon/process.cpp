#include "daemon/process.h"

#include <pthread.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <system_error>
#include <thread>
#include <utility>

#include "walnut/runtime/log.h"

namespace walnut::daemon {

namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void Latch::set() {
  {
    const std::lock_guard lock(mutex_);
    set_ = true;
  }
  changed_.notify_all();
}

void Latch::wait() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return set_; });
}

bool Latch::waitFor(base::Duration timeout) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, timeout, [this] { return set_; });
}

void prepareProcess(const std::string& program) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  runtime::initLog(program);
}

void handleStopSignals(std::function<void()> stop) {
  std::thread([stop = std::move(stop)] {
    const sigset_t signals = stopSignals();
    int signalNumber = 0;
    bool stopped = false;
    while (sigwait(&signals, &signalNumber) == 0) {
      runtime::logNotice("stop-signal", {{"signal", static_cast<std::uint64_t>(signalNumber)},
                                         {"repeated", std::string(stopped ? "true" : "false")}});
      if (!std::exchange(stopped, true)) {
        stop();
      }
    }
  }).detach();
}

base::Result<void> announceReady(const std::string& line, const std::string& readyFile) {
  std::cout << line << std::endl;
  if (readyFile.empty()) {
    return base::success();
  }
  const std::string temporary = readyFile + ".tmp";
  std::ofstream file(temporary, std::ios::trunc);
  file << line << '\n';
  file.close();
  if (!file || std::rename(temporary.c_str(), readyFile.c_str()) != 0) {
    return base::Error{base::ErrorCode::fileError, readyFile,
                       std::generic_category().message(errno)};
  }
  return base::success();
}

}  // namespace walnut::daemon
