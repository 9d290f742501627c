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
/// Time from the first event of an answer after which the request no longer counts as a possible
/// cause of a crash: a request that crashes its worker does so as the answer begins.
constexpr base::Duration kSurvivalPeriod = std::chrono::seconds(1);

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

std::vector<registry::PromptPartDigest> Exchange::answeringParts() {
  std::vector<registry::PromptPartDigest> parts;
  for (const registry::PromptPartDigest& part : sharedParts()) {
    parts.push_back(answeringDigestOf(part));
  }
  return parts;
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

/// @return the graver one of the classifications by crashes before and after an answer had begun;
/// once it has begun, that by the latter.
std::optional<RequestQuarantine::Classification> Exchange::ownClassification() {
  if (!context_.hasSuspects()) {
    return std::nullopt;
  }
  const auto after = context_.classificationOf(answeringDigestOf(digest()));
  if (isAnswering()) {
    return after;
  }
  const auto before = context_.classificationOf(digest());
  return !before || (after && after->standing > before->standing) ? after : before;
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
  if (!context_.hasSuspectParts()) {
    return std::nullopt;
  }
  const bool mayBeTried = deliveredAttempts_ == 0;
  const auto refusal = context_.refusalOf(answeringParts(), number_, mayBeTried);
  return refusal || isAnswering() ? refusal
                                  : context_.refusalOf(sharedParts(), number_, mayBeTried);
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

/// @return true if a crash of the worker may still be due to the request.
bool Exchange::mayCrashWorker() const {
  return !hasSurvived_ && (!respondedAt_ || now() < *respondedAt_ + kSurvivalPeriod);
}

/// A request that may not have crashed its worker yet is cancelled there if it is now quarantined.
void Exchange::suspectsChanged() {
  if (state_ == State::choosing) {
    wasHeld_ ? choose() : static_cast<void>(stopIfSuspect());
    return;
  }
  if (state_ != State::attempting || !mayCrashWorker() || !isRefusedNow()) {
    return;
  }
  worker_->breaker.recordNoOutcome(now());
  dropAttempt();
  mayHaveRun_ = true;
  state_ = State::choosing;
  (void)stopIfSuspect();
}

/// Reports a request whose connection was cut, if its worker may have crashed because of it.
void Exchange::reportCut() {
  if (!mayCrashWorker() || worker_->view.record.leaving) {
    return;
  }
  const auto reported = isAnswering() ? answeringDigestOf(digest()) : digest();
  const auto parts = isAnswering() ? answeringParts() : sharedParts();
  const bool begun = isHeadReceived_ && !isAnswering();
  context_.log().write(
      LogEvent::requestCut,
      {{"request", facts_.requestId},
       {"digest", reported.text()},
       {"parts", textOf(parts)},
       {"worker", worker_->view.record.id.value},
       {"begun", std::string_view(begun ? "yes" : "no")},
       {"events-millis", respondedAt_ ? std::to_string(millisOf(now() - *respondedAt_)) : "none"},
       {"running", std::uint64_t{worker_->totalRunning()}},
       {"age-millis",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now() - attemptAt_).count())}});
  context_.requestCut(*worker_, reported, parts, begun);
}

/// Reports that a suspect request was answered, also with an error of the worker's own: the worker
/// survived the request.
void Exchange::reportSuspectAnswered() {
  if (!context_.hasSuspects()) {
    return;
  }
  for (const registry::RequestDigest& request : {digest(), answeringDigestOf(digest())}) {
    if (context_.classificationOf(request)) {
      context_.suspectAnswered(request);
    }
  }
}

}  // namespace walnut::gateway
