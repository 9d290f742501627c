#pragma once
/// @file
/// Calls from outside that wait for their turn of the event loop.

#include <functional>
#include <list>

#include "walnut/base/time.h"
#include "walnut/net/server.h"

namespace walnut::daemon {

/// Serves calls in the order of their arrival, for a slice of time in each turn, so that the loop
/// gets back to consensus however many calls come. A call whose caller has surely given up is
/// answered without being read.
class CallQueue {
 public:
  using Handler = std::function<void(net::HttpRequest, net::ResponseSink&)>;
  using Clock = std::function<base::TimePoint()>;

  /// @param handle serves a call. @param giveUp answers one that has waited for too long.
  CallQueue(Clock clock, Handler handle, Handler giveUp)
      : clock_(std::move(clock)), handle_(std::move(handle)), giveUp_(std::move(giveUp)) {}

  void add(net::HttpRequest request, net::ResponseSink& sink);
  /// Serves calls for a slice of time. @return true if some are left.
  bool serve();
  std::size_t size() const { return waiting_.size(); }

  /// Callers wait for a second.
  static constexpr base::Duration kPatience = std::chrono::milliseconds(800);
  /// A tenth of the time between two heartbeats of a leader.
  static constexpr base::Duration kSlice = std::chrono::milliseconds(10);

 private:
  struct Waiting {
    net::HttpRequest request;
    net::ResponseSink* sink = nullptr;
    base::TimePoint arrivedAt;
  };

  const Clock clock_;
  const Handler handle_;
  const Handler giveUp_;
  std::list<Waiting> waiting_;  ///< Oldest first.
};

}  // namespace walnut::daemon
