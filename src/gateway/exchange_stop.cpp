/// @file
/// The part of an exchange that ends in time for a planned stop of the process.

#include <algorithm>

#include "gateway/exchange.h"

namespace walnut::gateway {

namespace {

/// Allowance over the longest run time seen, where a cancelled request can't be sent again.
constexpr int kOnceFactor = 2;

}  // namespace

/// @return how long an attempt that begins now may run.
base::Duration Exchange::longestRun() const {
  const base::Duration left = deadline_ - now();
  const std::optional<base::Duration> longest = context_.runTimes().longest(route_.name, now());
  return longest ? std::min(left, route_.repeatable() ? *longest : *longest * kOnceFactor) : left;
}

/// Refuses a request that may still run when the process stops: elsewhere it can run whole. Streams
/// are refused on arrival instead, and one that has begun goes on for as long as it can.
/// @return true if it was refused.
bool Exchange::refuseIfStopComesFirst() {
  const std::optional<base::TimePoint> stopsAt = context_.stopsAt();
  if (!stopsAt || isStreaming() || now() + longestRun() <= *stopsAt) {
    return false;
  }
  failFinally("stopping");
  return true;
}

void Exchange::recordRunTime() {
  if (!isStreaming()) {
    context_.runTimes().record(route_.name, now() - attemptAt_, now());
  }
}

void Exchange::stopWaiting() {
  if (state_ == State::choosing && !headSent_) {
    failFinally("stopping");
  }
}

void Exchange::cancel() {
  if (state_ == State::attempting) {
    worker_->breaker.recordNoOutcome(now());
    dropAttempt();
    mayHaveRun_ = true;
    state_ = State::choosing;
  }
  if (state_ == State::choosing) {
    failFinally("stopping");
  }
}

}  // namespace walnut::gateway
