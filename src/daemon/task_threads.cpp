#include "daemon/task_threads.h"

#include <pthread.h>

#include <chrono>
#include <memory>
#include <utility>

namespace walnut::daemon {

namespace {

/// An idle thread ends after this.
constexpr std::chrono::seconds kKeepIdle{60};

}  // namespace

TaskThreads::TaskThreads(std::size_t maxThreads, std::size_t stackBytes)
    : maxThreads_(maxThreads), stackBytes_(stackBytes) {}

TaskThreads::~TaskThreads() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  taskReady_.notify_all();
  threadEnded_.wait(lock, [this] { return live_ == 0; });
}

bool TaskThreads::run(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    if (tasks_.size() < idle_) {
      tasks_.push_back(std::move(task));
      taskReady_.notify_one();
      return true;
    }
    if (live_ == maxThreads_) {
      return false;
    }
    ++live_;
  }
  return begin(std::move(task));
}

bool TaskThreads::begin(std::function<void()> task) {
  auto beginning = std::make_unique<Beginning>(Beginning{*this, std::move(task)});
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stackBytes_);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread{};
  const int failure = pthread_create(&thread, &attributes, &TaskThreads::enter, beginning.get());
  pthread_attr_destroy(&attributes);
  if (failure == 0) {
    (void)beginning.release();  // The thread's.
    return true;
  }
  const std::lock_guard lock(mutex_);
  --live_;
  return false;
}

void* TaskThreads::enter(void* beginning) {
  const std::unique_ptr<Beginning> own(static_cast<Beginning*>(beginning));
  TaskThreads& owner = own->owner;
  std::function<void()> task = std::move(own->task);
  while (task) {
    task();
    task = nullptr;
    task = owner.awaitTask();
  }
  return nullptr;
}

std::function<void()> TaskThreads::awaitTask() {
  std::unique_lock lock(mutex_);
  ++idle_;
  taskReady_.wait_for(lock, kKeepIdle, [this] { return stopping_ || !tasks_.empty(); });
  --idle_;
  if (tasks_.empty()) {
    --live_;
    // Under the lock: the owner may be gone as soon as it is released.
    threadEnded_.notify_all();
    return {};
  }
  std::function<void()> task = std::move(tasks_.front());
  tasks_.pop_front();
  return task;
}

}  // namespace walnut::daemon
