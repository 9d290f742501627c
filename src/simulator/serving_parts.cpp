/// @file
/// The part of a serving fleet in which prompts share parts, and one of these crashes the workers
/// that begin to answer requests with it.

#include <algorithm>
#include <cmath>
#include <utility>

#include "simulator/serving_caller.h"

namespace walnut::simulator {

namespace {

/// @name Parts that prompts share
/// @{
constexpr std::uint64_t kFirstParts = 3;
constexpr double kMiddleParts = 55;
/// Makes the first ones of the middle parts the most frequent.
constexpr double kMiddleSkew = 1.6;
/// @}
/// @name Until a worker that ended is back
/// @{
constexpr base::Duration kShortestDown = std::chrono::seconds(3);
constexpr base::Duration kLongestDown = std::chrono::seconds(6);
/// @}
/// The first part of the requests with a crashing one.
constexpr const char* kFirstPart = "f0";

base::Duration drawPause(base::Random& random, double perSecond) {
  const double seconds = -std::log(1 - random.unit()) / perSecond;
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

std::string drawMiddlePart(base::Random& random) {
  const double drawn = kMiddleParts * std::pow(random.unit(), kMiddleSkew);
  return "m" + std::to_string(static_cast<std::uint64_t>(drawn));
}

}  // namespace

/// The last part belongs to the request.
std::vector<std::string> ServingFleet::drawParts() {
  base::Random& random = scheduler_.random();
  return {"f" + std::to_string(random.uniform(0, kFirstParts - 1)), drawMiddlePart(random),
          "own " + std::to_string(lastBody_)};
}

void ServingFleet::addCrashingPart(const CrashingPartOptions& options) {
  const std::size_t number = crashingParts_.size();
  const base::TimePoint begin = scheduler_.now() + options.begin;
  crashingParts_.push_back({options, begin + options.soundFor,
                            begin + options.soundFor + options.lasts, PartAccount(kContact)});
  scheduler_.after(options.begin, [this, number] { sendWithCrashingPart(number); });
}

/// No two of these requests are alike but for their crashing part.
void ServingFleet::sendWithCrashingPart(std::size_t number) {
  const CrashingPart& part = crashingParts_[number];
  if (scheduler_.now() >= part.until) {
    return;
  }
  base::Random& random = scheduler_.random();
  Caller caller(*this);
  caller.target = "m" + std::to_string(random.uniform(0, options_.popularModels - 1));
  caller.repeatable = !random.chance(options_.unrepeatableShare);
  caller.body = "body " + std::to_string(++lastBody_);
  caller.retries = options_.retries;
  caller.firstSentAt = scheduler_.now();
  caller.crashingPart = number;
  caller.parts = {kFirstPart, drawMiddlePart(random), "own " + std::to_string(lastBody_)};
  caller.parts.insert(caller.parts.begin() + static_cast<std::ptrdiff_t>(part.options.place),
                      "crashing " + std::to_string(number));
  send(caller);
  scheduler_.after(drawPause(random, part.options.perSecond),
                   [this, number] { sendWithCrashingPart(number); });
}

/// @return true if the worker crashes under the request.
bool ServingFleet::arrivedWithCrashingPart(const std::shared_ptr<ServingCall>& call,
                                           ServingWorker& worker, bool inTouch,
                                           const ServingWorker::InLoop& inLoop) {
  const auto number = call->request.headers.findNumber(kCrashingPartField);
  if (!number || scheduler_.now() < crashingParts_[*number].crashesFrom) {
    return false;
  }
  crashingParts_[*number].account.arrived(call->sentAt, inTouch);
  const std::string model = splitTarget(*call->request.headers.find("Model")).first;
  worker.receiveCrashing(call, model, options_.crashingShowsHead, inLoop,
                         [this, number = *number, id = worker.record().id] {
                           crashingParts_[number].account.crashed(scheduler_.now());
                           endWorker(id, kShortestDown, kLongestDown);
                         });
  return true;
}

/// Records the first try of a sound request, if it is compared with others.
void ServingFleet::noteSoundSent(Caller& caller) {
  caller.soundTry.reset();
  const bool compared = !caller.parts.empty() && !caller.crashing && !caller.crashingPart &&
                        caller.parts.front() == kFirstPart && caller.sentAt == caller.firstSentAt &&
                        undisturbed(caller.gatewayIndex) && inTouch(caller.gatewayIndex);
  if (compared) {
    caller.soundTry = soundTries_.size();
    soundTries_.push_back({caller.sentAt, false});
  }
}

void ServingFleet::noteSoundBegan(Caller& caller) {
  if (const auto number = std::exchange(caller.soundTry, std::nullopt)) {
    soundTries_[*number].begun = true;
  }
}

/// Nothing is compared while another part has begun to crash workers.
std::vector<PartAccount> ServingFleet::partAccounts() const {
  std::vector<PartAccount> accounts;
  for (const CrashingPart& part : crashingParts_) {
    accounts.push_back(part.account);
  }
  for (const SoundTry& attempt : soundTries_) {
    const base::TimePoint at = attempt.sentAt;
    const bool anyNew = std::any_of(crashingParts_.begin(), crashingParts_.end(),
                                    [at](const auto& part) { return part.account.wasNew(at); });
    for (std::size_t number = 0; number < accounts.size(); ++number) {
      const CrashingPart& part = crashingParts_[number];
      if (at < disruptedAt_) {
        accounts[number].addBefore(attempt);
      } else if (!anyNew && part.account.soundHadToBegin(at) && at < part.until) {
        accounts[number].addBeside(attempt);
      }
    }
  }
  return accounts;
}

}  // namespace walnut::simulator
