#include "event/dispatcher.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <utility>

#include "walnut/runtime/clock.h"

namespace walnut::event {

namespace {

using Poco::Net::PollSet;

/// Longest wait in the poll set. The wait does not advance while the machine is suspended, but the
/// timers' clock does: after a resume, due timers run late by at most this value. It is below the
/// shortest election timeout. Views, heartbeats and checks wake the processes more often than this
/// in any case.
constexpr base::Duration kMaxPollWait = std::chrono::milliseconds(250);

}  // namespace

Dispatcher::Dispatcher() : now_(runtime::now()) {
  pollSet_.add(waker_.socket(), PollSet::POLL_READ);
}

base::TimePoint Dispatcher::readClock() const { return runtime::now(); }

TimerPtr Dispatcher::createTimer(std::function<void()> callback) {
  return timers_.create(std::move(callback));
}

void Dispatcher::runSoon(std::function<void()> callback) {
  deferred_.push_back(std::move(callback));
}

void Dispatcher::add(const Poco::Net::Socket& socket, int mode, SocketHandler& handler) {
  handlers_[socket.impl()] = &handler;
  pollSet_.add(socket, mode);
}

void Dispatcher::update(const Poco::Net::Socket& socket, int mode) {
  pollSet_.update(socket, mode);
}

void Dispatcher::remove(const Poco::Net::Socket& socket) {
  if (handlers_.erase(socket.impl()) == 0) {
    return;
  }
  try {
    pollSet_.remove(socket);
  } catch (const Poco::Exception&) {
    // Removal fails for a closed socket; closing has already removed it from the poll set.
  }
}

void Dispatcher::post(std::function<void()> callback) {
  {
    const std::lock_guard lock(postedMutex_);
    posted_.push_back(std::move(callback));
  }
  waker_.wake();
}

void Dispatcher::run() {
  while (!stopped_) {
    runOnce(kMaxPollWait);
  }
}

void Dispatcher::stop() {
  stopped_ = true;
  waker_.wake();
}

void Dispatcher::runOnce(base::Duration longestWait) {
  const base::TimePoint before = runtime::now();
  const base::TimePoint due = timers_.next();
  base::Duration wait = longestWait;
  if (!deferred_.empty()) {
    wait = base::Duration::zero();
  } else if (due < before + longestWait) {
    wait = std::max(due - before, base::Duration::zero());
  }
  pollSockets(wait);
  timers_.runDue(now_);
  runPosted();
  runDeferred();
  if (endOfIteration_) {
    endOfIteration_();
  }
}

void Dispatcher::pollSockets(base::Duration wait) {
  // The poll set waits in whole milliseconds. Rounding up avoids busy polling just before a
  // deadline.
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait);
  const PollSet::SocketModeMap ready =
      pollSet_.poll(Poco::Timespan(std::chrono::microseconds(millis).count()));
  now_ = runtime::now();
  for (const auto& [socket, mode] : ready) {
    if (socket == waker_.socket()) {
      waker_.drain();
      continue;
    }
    const auto found = handlers_.find(socket.impl());
    if (found != handlers_.end()) {
      found->second->onReady(mode);
    }
  }
}

void Dispatcher::runPosted() {
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(postedMutex_);
    posted.swap(posted_);
  }
  for (const std::function<void()>& callback : posted) {
    callback();
  }
}

void Dispatcher::runDeferred() {
  const std::vector<std::function<void()>> deferred = std::exchange(deferred_, {});
  for (const std::function<void()>& callback : deferred) {
    callback();
  }
}

}  // namespace walnut::event
