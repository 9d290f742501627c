#pragma once
/// @file
/// The event loop of a process: sockets (by POCO's poll set), timers and calls from other threads.

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

/// Receives the readiness events of a registered socket.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  /// Called when the socket is ready. The handler may remove its own socket and others.
  /// @param mode bit mask of PollSet modes.
  virtual void onReady(int mode) = 0;
};

/// Event loop. Not thread safe, except for `post` and `stop`. Order of an iteration: sockets,
/// timers, posted calls, deferred calls, the end-of-iteration callback.
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

  /// Runs `callback` on the event loop's thread. May be called from any thread.
  void post(std::function<void()> callback);

  /// Sets a callback that runs once at the end of each iteration, after all other callbacks.
  void setEndOfTurn(std::function<void()> callback) { endOfIteration_ = std::move(callback); }

  /// Runs iterations until `stop` is called.
  void run();
  /// Ends `run`. May be called from any thread.
  void stop();
  /// Runs one iteration.
  /// @param longestWait longest time to wait for sockets and timers.
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
  std::function<void()> endOfIteration_;
  base::TimePoint now_;
  std::atomic<bool> stopped_ = false;

  std::mutex postedMutex_;
  std::vector<std::function<void()>> posted_;
};

}  // namespace walnut::event
