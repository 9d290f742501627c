/// @file
/// The part of a serving fleet in which gateways are cut off from all workers, while callers and
/// the leader reach them.

#include <algorithm>

#include "simulator/serving_caller.h"

namespace walnut::simulator {

namespace {

/// After which a connection to a worker that does not answer is given up.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(400);

const base::Error kRefused{base::ErrorCode::connectFailed, "", ""};
const base::Error kReset{base::ErrorCode::connectionLost, "", ""};

}  // namespace

bool FirstTryAccount::broken() const {
  constexpr double kLeastRatio = 2.0 / 3;
  constexpr double kAllowed = 10;
  constexpr double kAllowedShare = 0.02;
  const auto failed = static_cast<double>(cutOff.sent - cutOff.served);
  const auto all = static_cast<double>(cutOff.sent + others.sent);
  return cutOff.servedShare() < kLeastRatio * others.servedShare() &&
         failed > kAllowed + kAllowedShare * all;
}

void ServingFleet::cutFromWorkers(std::size_t gateway, base::Duration duration, WorkerCut how) {
  const base::TimePoint now = scheduler_.now();
  workerCuts_[gateway] = {now, now + duration, how};
  if (how == WorkerCut::refuse) {
    return;
  }
  for (const auto& worker : workers_) {
    for (const std::shared_ptr<ServingCall>& call : worker->running()) {
      if (call->gateway != gateway) {
        continue;
      }
      call->cutOff = true;
      streams_.broken(requestId(*call));
      if (how == WorkerCut::reset) {
        gateways_[gateway]->run([call] {
          if (!call->cancelled) {
            call->callbacks->onResponseFailure(kReset, true);
          }
        });
      }
    }
  }
}

bool ServingFleet::isCutFromWorkers(std::size_t gateway) const {
  return scheduler_.now() < workerCuts_[gateway].end;
}

void ServingFleet::failCall(std::size_t gateway, const std::shared_ptr<ServingCall>& call) {
  streams_.broken(requestId(*call));
  const bool hangs = workerCuts_[gateway].how == WorkerCut::hang;
  ServingGateway* const sender = gateways_[gateway].get();
  scheduler_.after(hangs ? kConnectTimeout : base::Duration::zero(), [sender, call] {
    sender->run([call] {
      if (!call->cancelled) {
        call->callbacks->onResponseFailure(kRefused, false);
      }
    });
  });
}

/// Counts the first try of a caller once it is over.
void ServingFleet::noteFirstTry(const Caller& caller, bool served) {
  const base::TimePoint at = caller.sentAt;
  const auto counts = [at](const CutFromWorkers& cut) {
    return at >= cut.begin + kContact && at < cut.end;
  };
  const bool isFirst =
      caller.sentAt == caller.firstSentAt && !caller.crashing && !caller.crashingPart;
  if (!isFirst || std::none_of(workerCuts_.begin(), workerCuts_.end(), counts)) {
    return;
  }
  const CutFromWorkers& own = workerCuts_[caller.gatewayIndex];
  const bool isCutLately = at >= own.begin && at < std::min(own.begin + kContact, own.end);
  if (isCutLately) {
    return;
  }
  FirstTryAccount::Count& count = counts(own) ? firstTries_.cutOff : firstTries_.others;
  ++count.sent;
  count.served += served ? 1 : 0;
}

}  // namespace walnut::simulator
