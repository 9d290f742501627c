#include "simulator/scheduler.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

namespace {
/// Start of virtual time, in microseconds since the Unix epoch: 2026-01-01T00:00:00Z.
constexpr std::int64_t kEpochMicros = 1'767'225'600'000'000;
}  // namespace

Scheduler::Scheduler(std::uint64_t seed) : now_(base::fromMicros(kEpochMicros)), random_(seed) {}

bool Scheduler::later(const Event& left, const Event& right) {
  if (left.time != right.time) {
    return left.time > right.time;
  }
  return left.sequence > right.sequence;
}

void Scheduler::at(base::TimePoint time, Task task) {
  heap_.push_back(Event{std::max(time, now_), nextSequence_++, std::move(task)});
  std::push_heap(heap_.begin(), heap_.end(), later);
}

void Scheduler::runUntil(base::TimePoint end) {
  while (!heap_.empty() && heap_.front().time <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), later);
    Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = event.time;
    ++tasksRun_;
    event.task();
  }
  now_ = std::max(now_, end);
}

}  // namespace walnut::simulator
