#include "serve.h"

#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

base::Result<void> writeWhole(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  {
    std::ofstream file(temporary);
    file << text;
    if (!file.flush()) {
      return Error{ErrorCode::fileError, temporary, "can't be written"};
    }
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    return Error{ErrorCode::fileError, path, "can't be renamed to"};
  }
  return base::success();
}

}  // namespace

void holdStopSignals() {
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

base::Result<void> announceReady(const base::Endpoint& endpoint, const std::string& readyFile) {
  const std::string line = "ready api=" + runtime::formatEndpoint(endpoint) + "\n";
  std::cout << line << std::flush;
  if (readyFile.empty()) {
    return base::success();
  }
  return writeWhole(readyFile, line);
}

int serveUntilStopped(const base::Endpoint& endpoint, const std::string& readyFile) {
  const auto announced = announceReady(endpoint, readyFile);
  if (!announced) {
    return failToStart(announced.error());
  }
  const sigset_t signals = stopSignals();
  int received = 0;
  sigwait(&signals, &received);
  std::_Exit(static_cast<int>(runtime::ExitCode::ok));
}

int failToStart(const base::Error& error) {
  std::cerr << "walnut-rehearse: " << base::errorCodeName(error.code) << " " << error.field << ": "
            << error.detail << "\n";
  return static_cast<int>(runtime::ExitCode::unavailable);
}

}  // namespace walnut::rehearsal
