#include "standin/weight_store.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnut::standin {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// What rounding of times to microseconds may leave over of a read.
constexpr double kByteTolerance = 0.5;

}  // namespace

double WeightStore::streamRate() const {
  const double streams = static_cast<double>(std::max<std::size_t>(1, active_.size()));
  const double share = std::min(1.0, static_cast<double>(options_.fullSpeedStreams) / streams);
  return static_cast<double>(options_.bytesPerSecond) * share / slowdown_ / kMicrosPerSecond;
}

void WeightStore::read(base::TimePoint now, ReadId id, const std::string& checkpoint,
                       std::uint64_t bytes) {
  progressTo(now);
  waiting_.push_back({id, checkpoint, static_cast<double>(bytes)});
  progressTo(now);
}

void WeightStore::abandon(base::TimePoint now, ReadId id) {
  progressTo(now);
  const auto isIt = [id](const Read& read) { return read.id == id; };
  std::erase_if(waiting_, isIt);
  std::erase_if(active_, isIt);
}

void WeightStore::setSlowdown(base::TimePoint now, double factor) {
  progressTo(now);
  if (mayBeginAt_ > now) {
    const double wait = static_cast<double>((mayBeginAt_ - now).count()) * factor / slowdown_;
    mayBeginAt_ = now + base::Duration(static_cast<std::int64_t>(wait));
  }
  slowdown_ = factor;
}

base::TimePoint WeightStore::nextBegin() const {
  return waiting_.empty() ? base::kNever : std::max(mayBeginAt_, progressedTo_);
}

base::TimePoint WeightStore::nextEnd() const {
  if (active_.empty()) {
    return base::kNever;
  }
  double least = active_.front().bytesLeft;
  for (const Read& read : active_) {
    least = std::min(least, read.bytesLeft);
  }
  const double micros = std::ceil(std::max(0.0, least - kByteTolerance) / streamRate());
  return progressedTo_ + base::Duration(static_cast<std::int64_t>(micros));
}

base::TimePoint WeightStore::nextWakeup() const {
  return finished_.empty() ? std::min(nextBegin(), nextEnd()) : progressedTo_;
}

void WeightStore::progressTo(base::TimePoint now) {
  while (true) {
    const base::TimePoint step = std::min({now, nextBegin(), nextEnd()});
    if (step > progressedTo_) {
      const double bytes = streamRate() * static_cast<double>((step - progressedTo_).count());
      for (Read& read : active_) {
        read.bytesLeft -= bytes;
      }
      progressedTo_ = step;
    }
    endFinished();
    const bool begins = nextBegin() <= progressedTo_;
    if (begins) {
      beginNext(progressedTo_);
    }
    if (!begins && progressedTo_ >= now) {
      return;
    }
  }
}

void WeightStore::beginNext(base::TimePoint now) {
  active_.push_back(waiting_.front());
  waiting_.erase(waiting_.begin());
  const double micros = kMicrosPerSecond * slowdown_ / options_.loadsPerSecond;
  mayBeginAt_ = now + base::Duration(static_cast<std::int64_t>(micros));
}

void WeightStore::endFinished() {
  for (auto read = active_.begin(); read != active_.end();) {
    if (read->bytesLeft <= kByteTolerance) {
      finished_.push_back({read->id, read->checkpoint, !failing_});
      read = active_.erase(read);
    } else {
      ++read;
    }
  }
}

std::vector<FinishedRead> WeightStore::advance(base::TimePoint now) {
  progressTo(now);
  return std::exchange(finished_, {});
}

}  // namespace walnut::standin
