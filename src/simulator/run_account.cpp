#include "simulator/run_account.h"

#include <algorithm>
#include <sstream>

namespace walnut::simulator {

namespace {

/// Statuses by which a caller is promised that its request has not run and never will.
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

void RunAccount::answered(const std::string& request, int status) {
  ++statuses_[status];
  if (status == kTooManyRequests || status == kUnavailable) {
    refused_.insert(request);
  }
}

std::uint64_t RunAccount::ranTwice() const {
  return static_cast<std::uint64_t>(std::count_if(
      runs_.begin(), runs_.end(), [](const auto& entry) { return entry.second > 1; }));
}

std::uint64_t RunAccount::refusedThoughRun() const {
  return static_cast<std::uint64_t>(
      std::count_if(refused_.begin(), refused_.end(),
                    [this](const std::string& request) { return runs_.count(request) != 0; }));
}

std::string RunAccount::description() const {
  std::ostringstream text;
  text << "runs=" << runs_.size() << " repeated-answers=" << repeated_
       << " ran-twice=" << ranTwice() << " refused-though-run=" << refusedThoughRun();
  for (const auto& [status, count] : statuses_) {
    text << " status-" << status << "=" << count;
  }
  return text.str();
}

}  // namespace walnut::simulator
