#include "daemon/call_executor.h"

#include <algorithm>
#include <optional>

#include "walnut/runtime/clock.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

/// How often kept connections are looked at.
constexpr base::Duration kHousekeepingInterval = std::chrono::seconds(1);

}  // namespace

struct CallExecutor::Call {
  std::uint64_t id = 0;
  base::Endpoint endpoint;
  http::ClientRequest request;
  base::TimePoint deadline;
  CallCompletion completion;
  bool done = false;      ///< The completion was or is being called. Under the executor's mutex.
  Connection connection;  ///< While it runs. Under the executor's mutex.
};

struct CallExecutor::IdleConnection {
  base::TimePoint since;
  Connection connection;
};

struct CallExecutor::Lane {
  std::deque<CallPointer> waiting;
  std::size_t running = 0;
  bool listed = false;  ///< Is in `turns_`.
  std::vector<IdleConnection> idle;
};

CallExecutor::CallExecutor(const CallExecutorOptions& options) : options_(options) {
  threads_.reserve(options_.threads + 1);
  for (std::size_t index = 0; index < options_.threads; ++index) {
    threads_.emplace_back([this] { work(); });
  }
  threads_.emplace_back([this] { watchDeadlines(); });
}

CallExecutor::~CallExecutor() {
  std::vector<CallPointer> open;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [deadline, call] : deadlines_) {
      open.push_back(call);
    }
  }
  for (const CallPointer& call : open) {
    complete(call, Error{ErrorCode::connectionLost, "call", "the process stops"});
  }
  workReady_.notify_all();
  deadlinesChanged_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void CallExecutor::submit(const base::Endpoint& endpoint, http::ClientRequest request,
                          base::Duration timeout, CallCompletion completion) {
  const auto call = std::make_shared<Call>();
  call->endpoint = endpoint;
  call->request = std::move(request);
  call->deadline = runtime::now() + timeout;
  call->completion = std::move(completion);
  bool early = false;
  {
    const std::lock_guard lock(mutex_);
    call->id = nextCall_++;
    deadlines_.emplace(Deadline{call->deadline, call->id}, call);
    early = call->deadline < nextLook_;
    Lane& lane = lanes_[endpoint];
    lane.waiting.push_back(call);
    list(endpoint, lane);
  }
  workReady_.notify_one();
  if (early) {
    deadlinesChanged_.notify_one();
  }
}

void CallExecutor::list(const base::Endpoint& endpoint, Lane& lane) {
  if (!lane.listed && !lane.waiting.empty() && lane.running < options_.perEndpoint) {
    lane.listed = true;
    turns_.push_back(endpoint);
  }
}

void CallExecutor::dropIfEmpty(const base::Endpoint& endpoint) {
  const auto found = lanes_.find(endpoint);
  const Lane& lane = found->second;
  if (lane.waiting.empty() && lane.running == 0 && lane.idle.empty()) {
    lanes_.erase(found);
  }
}

void CallExecutor::work() {
  std::unique_lock lock(mutex_);
  while (true) {
    workReady_.wait(lock, [this] { return stopping_ || !turns_.empty(); });
    if (stopping_) {
      return;
    }
    const base::Endpoint endpoint = std::move(turns_.front());
    turns_.pop_front();
    Lane& lane = lanes_.at(endpoint);
    lane.listed = false;
    const CallPointer call = std::move(lane.waiting.front());
    lane.waiting.pop_front();
    ++lane.running;
    list(endpoint, lane);
    if (!turns_.empty()) {
      workReady_.notify_one();
    }
    if (!call->done) {
      lock.unlock();
      run(call);
      lock.lock();
    }
    --lane.running;
    list(endpoint, lane);
    dropIfEmpty(endpoint);
  }
}

void CallExecutor::run(const CallPointer& call) {
  Connection connection = takeIdle(call->endpoint);
  const bool fresh = connection == nullptr;
  if (fresh) {
    connection = std::make_shared<http::HttpClientConnection>();
  }
  {
    const std::lock_guard lock(mutex_);
    if (call->done) {
      return;
    }
    call->connection = connection;
  }
  if (fresh) {
    const auto remaining = call->deadline - runtime::now();
    const auto limit = std::max(std::min(options_.connectTimeout, remaining), base::Duration(1));
    const auto connected = connection->connect(call->endpoint, limit);
    if (!connected) {
      complete(call, connected.error());
      return;
    }
  }
  // No time-out of its own: at the deadline the connection is aborted.
  Result<http::Reply> result = connection->exchange(call->request, true, options_.maxReplyBytes);
  const bool keepable = result && connection->wholeReplyRead();
  complete(call, std::move(result));
  if (keepable) {
    keep(call->endpoint, std::move(connection));
  }
}

CallExecutor::Connection CallExecutor::takeIdle(const base::Endpoint& endpoint) {
  const base::TimePoint oldest = runtime::now() - options_.keepIdleFor;
  const std::lock_guard lock(mutex_);
  Lane& lane = lanes_.at(endpoint);
  while (!lane.idle.empty()) {
    const IdleConnection idle = std::move(lane.idle.back());
    lane.idle.pop_back();
    if (idle.since >= oldest && idle.connection->reusable()) {
      return idle.connection;
    }
  }
  return nullptr;
}

void CallExecutor::keep(const base::Endpoint& endpoint, Connection connection) {
  const std::lock_guard lock(mutex_);
  Lane& lane = lanes_.at(endpoint);  // It is there: a call of it is running.
  if (lane.idle.size() < options_.perEndpoint) {
    lane.idle.push_back({runtime::now(), std::move(connection)});
  }
}

void CallExecutor::complete(const CallPointer& call, Result<http::Reply> result) {
  {
    const std::lock_guard lock(mutex_);
    if (call->done) {
      return;
    }
    call->done = true;
    deadlines_.erase(Deadline{call->deadline, call->id});
    if (call->connection && !result) {
      call->connection->abort();  // Its thread, if it still waits, is wanted for other calls.
    }
    call->connection.reset();
  }
  call->completion(std::move(result));
}

void CallExecutor::watchDeadlines() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const base::TimePoint now = runtime::now();
    nextLook_ = now + kHousekeepingInterval;
    if (!deadlines_.empty()) {
      nextLook_ = std::min(nextLook_, deadlines_.begin()->first.first);
    }
    if (nextLook_ > now) {
      deadlinesChanged_.wait_for(lock, nextLook_ - now);
    }
    expireDue(lock);
    closeIdle(runtime::now() - options_.keepIdleFor);
  }
}

void CallExecutor::expireDue(std::unique_lock<std::mutex>& lock) {
  while (!stopping_ && !deadlines_.empty() && deadlines_.begin()->first.first <= runtime::now()) {
    const CallPointer call = deadlines_.begin()->second;
    lock.unlock();
    complete(call, Error{ErrorCode::timedOut, "call", "no result by its deadline"});
    lock.lock();
  }
}

void CallExecutor::closeIdle(base::TimePoint before) {
  for (auto lane = lanes_.begin(); lane != lanes_.end();) {
    const auto entry = lane++;
    std::erase_if(entry->second.idle,
                  [before](const IdleConnection& idle) { return idle.since < before; });
    dropIfEmpty(entry->first);
  }
}

}  // namespace walnut::daemon
