/// @file
/// The part of an exchange that deals with requests which crash workers, by themselves or by a part
/// of their prompts.

#include <utility>

#include "gateway/exchange.h"
#include "gateway/request_digest.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::string_view kQuarantined = "quarantined";

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string textOf(const std::vector<registry::PromptPartDigest>& parts) {
  std::string text;
  for (const registry::PromptPartDigest& part : parts) {
    text += (text.empty() ? "" : ",") + part.text();
  }
  return text;
}

}  // namespace

const registry::RequestDigest& Exchange::digest() {
  if (!digest_) {
    digest_ = facts_.tenant.empty() ? digestOf(context_.dialect().callerOf(request_), request_)
                                    : digestOf(facts_.tenant, request_);
  }
  return *digest_;
}

const std::vector<registry::PromptPartDigest>& Exchange::sharedParts() {
  if (!sharedParts_) {
    sharedParts_ = sharedPartsOf(service_, facts_.promptParts);
  }
  return *sharedParts_;
}

/// Refuses or delays a request that is suspected of crashing workers. A request that crashed
/// several workers would crash the next one as well, with all other requests there: it is refused
/// at once with the remaining time of its quarantine as Retry-After. While the classification is
/// not certain (held) the request waits, if its deadline permits: most requests that merely ran
/// beside such a request are cleared within 2 s.
/// @return false if the request may be sent.
bool Exchange::stopIfSuspect() {
  if (const auto refusal = partRefusal()) {
    refuseForPart(*refusal);
    return true;
  }
  const auto classification = ownClassification();
  if (!classification || classification->standing == registry::RequestStanding::suspected) {
    return false;
  }
  if (classification->standing == registry::RequestStanding::held &&
      classification->until < deadline_) {
    if (!std::exchange(wasHeld_, true)) {
      logQuarantined(*classification, "held");
    }
    retryTimer_->enableAt(classification->until);
    return true;
  }
  logQuarantined(*classification, "refused");
  refuse(mayHaveRun_ ? kBadGateway : kUnavailable, kQuarantined, classification->until - now());
  return true;
}

std::optional<RequestQuarantine::Classification> Exchange::ownClassification() {
  return context_.hasSuspects() ? context_.classificationOf(digest()) : std::nullopt;
}

void Exchange::logQuarantined(const RequestQuarantine::Classification& classification,
                              std::string_view outcome) {
  context_.metrics().count("walnut_gateway_quarantined_total", std::string(outcome));
  context_.log().write(LogEvent::requestQuarantined,
                       {{"request", facts_.requestId},
                        {"digest", digest().text()},
                        {"outcome", outcome},
                        {"crashes", std::uint64_t{classification.crashes}},
                        {"until-millis", millisOf(classification.until - now())}});
}

std::optional<PartQuarantine::Refusal> Exchange::partRefusal() {
  return context_.hasSuspectParts()
             ? context_.refusalOf(sharedParts(), number_, deliveredAttempts_ == 0)
             : std::nullopt;
}

/// The caller can't know which part it is, and no other attempt is served any sooner.
void Exchange::refuseForPart(const PartQuarantine::Refusal& refusal) {
  context_.metrics().count("walnut_gateway_quarantined_total", "refused");
  context_.log().write(LogEvent::requestQuarantined,
                       {{"request", facts_.requestId},
                        {"part", refusal.part.text()},
                        {"outcome", "refused"},
                        {"crashes", std::uint64_t{refusal.crashes}},
                        {"until-millis", millisOf(refusal.until - now())}});
  refuse(mayHaveRun_ ? kBadGateway : kUnavailable, kQuarantined, refusal.until - now());
}

bool Exchange::isRefusedNow() {
  const auto classification = ownClassification();
  return partRefusal() ||
         (classification && classification->standing == registry::RequestStanding::quarantined);
}

/// A request that is still queued at a worker has not crashed it yet, and is cancelled there if it
/// is now quarantined.
void Exchange::suspectsChanged() {
  if (state_ == State::choosing) {
    wasHeld_ ? choose() : static_cast<void>(stopIfSuspect());
    return;
  }
  if (state_ != State::attempting || isAnswerRecorded_ || !isRefusedNow()) {
    return;
  }
  worker_->breaker.recordNoOutcome(now());
  dropAttempt();
  mayHaveRun_ = true;
  state_ = State::choosing;
  (void)stopIfSuspect();
}

/// Reports a request whose connection was cut: its worker may have crashed because of it. A request
/// that had received part of its response is not reported, as a request that crashes a worker does
/// so before it is answered.
void Exchange::reportCut() {
  if (isAnswerRecorded_ || worker_->view.record.leaving) {
    return;
  }
  context_.log().write(
      LogEvent::requestCut,
      {{"request", facts_.requestId},
       {"digest", digest().text()},
       {"parts", textOf(sharedParts())},
       {"worker", worker_->view.record.id.value},
       {"begun", std::string_view(isHeadReceived_ ? "yes" : "no")},
       {"running", std::uint64_t{worker_->totalRunning()}},
       {"age-millis",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now() - attemptAt_).count())}});
  context_.requestCut(*worker_, digest(), sharedParts(), isHeadReceived_);
}

/// Reports that a suspect request was answered, also with an error of the worker's own: the worker
/// survived the request.
void Exchange::reportSuspectAnswered() {
  if (ownClassification()) {
    context_.suspectAnswered(digest());
  }
}

}  // namespace walnut::gateway
