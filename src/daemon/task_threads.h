#pragma once
/// @file
/// Threads with small stacks for tasks that block for long.

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace walnut::daemon {

/// A thread a task; idle threads are used again. `run` never waits for a thread to come up, as
/// Poco::ThreadPool does: it is called from a decision loop. Thread safe.
class TaskThreads {
 public:
  TaskThreads(std::size_t maxThreads, std::size_t stackBytes);
  /// Waits until all tasks have ended; they have to be told to by other means.
  ~TaskThreads();
  TaskThreads(const TaskThreads&) = delete;
  TaskThreads& operator=(const TaskThreads&) = delete;

  /// Runs a task, which must not throw.
  /// @return false if all threads are taken or none can be made; then the task isn't run.
  bool run(std::function<void()> task);

 private:
  /// What a new thread begins with.
  struct Beginning {
    TaskThreads& owner;
    std::function<void()> task;
  };

  static void* enter(void* beginning);
  bool begin(std::function<void()> task);
  /// @return the next task for an idle thread; empty: the thread should end.
  std::function<void()> awaitTask();

  const std::size_t maxThreads_;
  const std::size_t stackBytes_;
  std::mutex mutex_;
  std::condition_variable taskReady_;
  std::condition_variable threadEnded_;
  std::deque<std::function<void()>> tasks_;  ///< At most one for each idle thread.
  std::size_t live_ = 0;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace walnut::daemon
