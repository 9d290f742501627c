#pragma once
/// @file
/// Short HTTP calls with a deadline, through a bounded pool of threads and kept connections.

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_client.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::daemon {

struct CallExecutorOptions {
  std::size_t threads = 16;
  /// Calls to one server at once, so that a slow one can't take all threads.
  std::size_t perEndpoint = 2;
  base::Duration connectTimeout = std::chrono::seconds(1);
  /// A kept connection that was idle for longer isn't used again. Below the usual time-outs of
  /// servers, so that a call seldom meets a connection that is just being closed.
  base::Duration keepIdleFor = std::chrono::seconds(5);
  std::size_t maxReplyBytes = 4U << 20U;
};

using CallCompletion = std::function<void(base::Result<http::Reply>)>;

/// Invariant: each call's completion is called exactly once, at its deadline at the latest, on a
/// thread of the executor; with `timedOut` if no result was there by then, and with
/// `connectionLost` if the executor was destroyed before. A result that comes later is dropped.
/// Calls to one server start in the order of `submit`; servers take turns.
class CallExecutor {
 public:
  explicit CallExecutor(const CallExecutorOptions& options);
  ~CallExecutor();
  CallExecutor(const CallExecutor&) = delete;
  CallExecutor& operator=(const CallExecutor&) = delete;

  /// Any thread.
  void submit(const base::Endpoint& endpoint, http::ClientRequest request, base::Duration timeout,
              CallCompletion completion);

 private:
  struct Call;
  struct IdleConnection;
  /// What is there for one server.
  struct Lane;
  using CallPointer = std::shared_ptr<Call>;
  using Connection = std::shared_ptr<http::HttpClientConnection>;
  using Deadline = std::pair<base::TimePoint, std::uint64_t>;

  void work();
  void watchDeadlines();
  void expireDue(std::unique_lock<std::mutex>& lock);
  void run(const CallPointer& call);
  Connection takeIdle(const base::Endpoint& endpoint);
  void keep(const base::Endpoint& endpoint, Connection connection);
  void complete(const CallPointer& call, base::Result<http::Reply> result);

  /// @name With `mutex_` held
  /// @{
  void list(const base::Endpoint& endpoint, Lane& lane);
  void dropIfEmpty(const base::Endpoint& endpoint);
  void closeIdle(base::TimePoint before);
  /// @}

  const CallExecutorOptions options_;
  std::mutex mutex_;
  std::condition_variable workReady_;
  std::condition_variable deadlinesChanged_;
  bool stopping_ = false;
  std::uint64_t nextCall_ = 1;
  std::map<base::Endpoint, Lane> lanes_;
  std::deque<base::Endpoint> turns_;  ///< Servers with a call that may start now.
  std::map<Deadline, CallPointer> deadlines_;
  base::TimePoint nextLook_;  ///< When the deadlines are looked at next, unless a call is earlier.
  std::vector<std::thread> threads_;
};

}  // namespace walnut::daemon
