#pragma once
/// @file
/// The event loop of a process: sockets by POCO's poll set, timers, calls from other threads.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "event/timer_queue.h"
#include "event/waker.h"
#include "walnut/event/scheduler.h"

namespace walnut::event {

/// Told of what a watched socket is ready for.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  /// @param mode PollSet modes. The handler may remove its socket and others.
  virtual void onReady(int mode) = 0;
};

/// Not thread safe but for `post` and `stop`. Order of a turn: sockets, timers, deferred and posted
/// calls, the end-of-turn callback.
class Dispatcher : public Scheduler {
 public:
  Dispatcher();

  base::TimePoint now() const override { return now_; }
  base::TimePoint readClock() const override;
  TimerPtr createTimer(std::function<void()> callback) override;
  void runSoon(std::function<void()> callback) override;

  void add(const Poco::Net::Socket& socket, int mode, SocketHandler& handler);
  void update(const Poco::Net::Socket& socket, int mode);
  void remove(const Poco::Net::Socket& socket);

  /// From any thread.
  void post(std::function<void()> callback);

  /// Called once at the end of each turn, after all its callbacks.
  void setEndOfTurn(std::function<void()> callback) { endOfTurn_ = std::move(callback); }

  /// Runs until `stop`.
  void run();
  /// From any thread.
  void stop();
  /// One turn. @param longestWait for sockets and timers.
  void runOnce(base::Duration longestWait);

 private:
  void pollSockets(base::Duration wait);
  void runDeferred();
  void runPosted();

  TimerQueue timers_;
  Waker waker_;
  Poco::Net::PollSet pollSet_;
  std::unordered_map<const Poco::Net::SocketImpl*, SocketHandler*> handlers_;
  std::vector<std::function<void()>> deferred_;
  std::function<void()> endOfTurn_;
  base::TimePoint now_;
  std::atomic<bool> stopped_ = false;

  std::mutex postedMutex_;
  std::vector<std::function<void()>> posted_;
};

}  // namespace walnut::event
