#include "daemon/signal_watcher.h"

#include <pthread.h>

#include <csignal>
#include <thread>
#include <utility>

namespace walnut::daemon {

namespace {

sigset_t watchedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void blockWatchedSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  const sigset_t signals = watchedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void watchSignals(SignalCallbacks callbacks) {
  std::thread([callbacks = std::move(callbacks)] {
    const sigset_t signals = watchedSignals();
    int number = 0;
    bool stopped = false;
    while (sigwait(&signals, &number) == 0) {
      if (number == SIGHUP) {
        callbacks.reload();
      } else if (!std::exchange(stopped, true)) {
        callbacks.stop();
      }
    }
  }).detach();
}

}  // namespace walnut::daemon
