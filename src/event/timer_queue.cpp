#include "event/timer_queue.h"

#include <algorithm>
#include <utility>

namespace walnut::event {

class TimerQueue::TimerImpl : public Timer {
 public:
  TimerImpl(TimerQueue& queue, std::function<void()> callback)
      : queue_(queue), callback_(std::move(callback)), position_(queue.due_.end()) {}
  ~TimerImpl() override { disable(); }
  TimerImpl(const TimerImpl&) = delete;
  TimerImpl& operator=(const TimerImpl&) = delete;

  void enableAt(base::TimePoint time) override {
    disable();
    const base::TimePoint earliest =
        queue_.runningAt_ == base::TimePoint::min() ? time : queue_.runningAt_ + base::Duration(1);
    position_ = queue_.due_.emplace(std::max(time, earliest), this);
  }

  void disable() override {
    if (position_ != queue_.due_.end()) {
      queue_.due_.erase(position_);
      position_ = queue_.due_.end();
    }
  }

  void run() {
    disable();
    callback_();
  }

 private:
  TimerQueue& queue_;
  const std::function<void()> callback_;
  DueTimers::iterator position_;
};

TimerPtr TimerQueue::create(std::function<void()> callback) {
  return std::make_unique<TimerImpl>(*this, std::move(callback));
}

void TimerQueue::runDue(base::TimePoint now) {
  runningAt_ = now;
  while (!due_.empty() && due_.begin()->first <= now) {
    due_.begin()->second->run();
  }
  runningAt_ = base::TimePoint::min();
}

}  // namespace walnut::event
