#include "registry/part_evidence.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "control/crash_ledger.h"

namespace walnut::registry {

namespace {

using control::crash::kLimit;

/// Time before its first crash in which an answer shows that a part was sound then.
constexpr base::Duration kSoundBefore = std::chrono::seconds(60);
/// Workers that end within this time ended together, such as with their rack.
constexpr base::Duration kSimultaneous = std::chrono::milliseconds(100);
/// Time after which a crash is no longer evidence, as with requests (CrashMonitor).
constexpr base::Duration kRetention = std::chrono::minutes(10);
/// Repeated requests that are a likelier explanation than one part that was sound before.
constexpr std::size_t kRequestsLikelierThanSoundPart = 2;
/// @name Bounds of the data that gateways report
/// @{
constexpr std::size_t kMaxCrashes = 128;
constexpr std::size_t kMaxRequestsPerCrash = 128;
constexpr std::size_t kMaxPartsPerRequest = 16;
constexpr std::size_t kMaxAnswered = 1024;
/// @}

/// Time of a crash of which only the parts of its requests are known so far.
constexpr base::TimePoint kNotYetCut = base::kNever;

/// @return the time by which the crash to be forgotten is chosen, the earliest first.
base::TimePoint evictionTime(base::TimePoint crashAt) {
  return crashAt == kNotYetCut ? base::TimePoint() : crashAt;
}

std::size_t countNew(const std::set<WorkerId>& crashes, const std::set<WorkerId>& explained) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [&explained](const WorkerId& crash) { return explained.count(crash) == 0; }));
}

/// @return true if so many requests, which were repeated, explain all the crashes.
bool areRepeatedRequests(std::set<WorkerId> left, const RequestCrashLedger& requests,
                         std::size_t mostRequests) {
  for (std::size_t count = 0; count < mostRequests && !left.empty(); ++count) {
    const std::set<WorkerId>* best = nullptr;
    std::size_t mostExplained = 0;
    for (const auto& [request, evidence] : requests.evidence()) {
      const std::size_t explained = left.size() - countNew(left, evidence.crashes);
      if (evidence.crashes.size() >= kLimit && explained > mostExplained) {
        mostExplained = explained;
        best = &evidence.crashes;
      }
    }
    if (best == nullptr) {
      return false;
    }
    std::erase_if(left, [best](const WorkerId& worker) { return best->count(worker) != 0; });
  }
  return left.empty();
}

/// Adds to `chosen`, one after the other, the suspect that explains the most further crashes.
/// Among equals the one that was answered the longest ago is the likelier cause; then the one after
/// more parts, as fewer sound requests share it.
void chooseFrom(const PartEvidence::Suspects& suspects, std::set<WorkerId>& explained,
                PartEvidence::Suspects& chosen) {
  const auto rank = [&explained](const PartEvidence::Suspect& suspect) {
    const base::TimePoint answered = suspect.answeredAt.value_or(base::TimePoint());
    return std::tuple(countNew(suspect.crashes, explained), !suspect.answeredAt.has_value(),
                      -answered.time_since_epoch(), suspect.depth);
  };
  while (true) {
    const auto best = std::max_element(
        suspects.begin(), suspects.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
    if (best == suspects.end() || countNew(best->crashes, explained) < kLimit) {
      return;
    }
    explained.insert(best->crashes.begin(), best->crashes.end());
    chosen.push_back(*best);
  }
}

/// Removes what the rest explains, together with one repeated request, the weakest first.
void removeRedundant(PartEvidence::Suspects& chosen, const RequestCrashLedger& requests) {
  std::sort(chosen.begin(), chosen.end(), [](const auto& left, const auto& right) {
    return left.crashes.size() < right.crashes.size();
  });
  for (auto suspect = chosen.begin(); suspect != chosen.end();) {
    std::set<WorkerId> left = suspect->crashes;
    for (const PartEvidence::Suspect& other : chosen) {
      if (other.part != suspect->part) {
        std::erase_if(left,
                      [&other](const auto& crash) { return other.crashes.count(crash) != 0; });
      }
    }
    suspect = areRepeatedRequests(left, requests, 1) ? chosen.erase(suspect) : std::next(suspect);
  }
}

}  // namespace

/// One more crash makes up for requests that were repeated.
bool PartEvidence::Suspect::isAtLimit() const {
  return requests >= kLimit || (requests + 1 >= kLimit && events > kLimit);
}

bool PartEvidence::Suspect::wasSoundBefore() const {
  return answeredAt && *answeredAt + kSoundBefore > firstCrashAt;
}

PartEvidence::Request* PartEvidence::requestOf(const WorkerId& worker, const RequestDigest& request,
                                               base::TimePoint at) {
  if (crashes_.count(worker) == 0 && crashes_.size() >= kMaxCrashes) {
    crashes_.erase(
        std::min_element(crashes_.begin(), crashes_.end(), [](const auto& left, const auto& right) {
          return evictionTime(left.second.at) < evictionTime(right.second.at);
        }));
  }
  Crash& crash = crashes_.try_emplace(worker, Crash{at, false, {}}).first->second;
  crash.at = std::min(crash.at, at);
  const bool full = crash.requests.size() >= kMaxRequestsPerCrash;
  return full && crash.requests.count(request) == 0 ? nullptr : &crash.requests[request];
}

void PartEvidence::addParts(const CutPromptParts& cut) {
  if (Request* const request = requestOf(cut.worker, cut.request, kNotYetCut)) {
    const std::size_t count = std::min(cut.parts.size(), kMaxPartsPerRequest);
    request->parts.assign(cut.parts.begin(),
                          cut.parts.begin() + static_cast<std::ptrdiff_t>(count));
  }
}

void PartEvidence::addCut(const WorkerId& worker, const RequestDigest& request, bool begun,
                          base::TimePoint cutAt) {
  if (Request* const cut = requestOf(worker, request, cutAt)) {
    cut->begun = cut->begun || begun;
  }
}

bool PartEvidence::confirm(const WorkerId& worker) {
  const auto found = crashes_.find(worker);
  return found != crashes_.end() && !std::exchange(found->second.confirmed, true);
}

bool PartEvidence::addAnswer(const PromptPartDigest& part, base::TimePoint at) {
  if (answeredAt_.size() >= kMaxAnswered && answeredAt_.count(part) == 0) {
    return false;
  }
  const auto inserted = answeredAt_.try_emplace(part, at);
  const bool added = inserted.second;
  base::TimePoint& latest = inserted.first->second;
  const base::TimePoint former = std::exchange(latest, std::max(latest, at));
  return std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
    const base::TimePoint crashAt = entry.second.at;
    return crashAt <= at && (added || crashAt > former) && explains({part}, entry.first);
  });
}

void PartEvidence::removeOld(base::TimePoint now) {
  std::erase_if(crashes_, [now](const auto& entry) { return entry.second.at < now - kRetention; });
  std::erase_if(answeredAt_, [now](const auto& entry) { return now > entry.second + kRetention; });
}

bool PartEvidence::anyBegun(const Crash& crash) {
  return std::any_of(crash.requests.begin(), crash.requests.end(),
                     [](const auto& entry) { return entry.second.begun; });
}

/// @return the number of the event by which each worker ended.
std::map<WorkerId, std::size_t> PartEvidence::events() const {
  std::multimap<base::TimePoint, WorkerId> inOrder;
  for (const auto& [worker, crash] : crashes_) {
    if (crash.at != kNotYetCut) {
      inOrder.emplace(crash.at, worker);
    }
  }
  std::map<WorkerId, std::size_t> numbers;
  std::optional<base::TimePoint> beganAt;
  std::size_t number = 0;
  for (const auto& [at, worker] : inOrder) {
    if (!beganAt || at > *beganAt + kSimultaneous) {
      beganAt = at;
      ++number;
    }
    numbers[worker] = number;
  }
  return numbers;
}

PartEvidence::Suspects PartEvidence::suspects(bool confirmedOnly) const {
  const std::map<WorkerId, std::size_t> eventOf = events();
  std::map<PromptPartDigest, std::pair<Suspect, Cuts>> found;
  for (const auto& [worker, crash] : crashes_) {
    const bool begunOnly = anyBegun(crash);
    for (const auto& [digest, request] : crash.requests) {
      if (crash.at == kNotYetCut || (confirmedOnly && !crash.confirmed) ||
          (begunOnly && !request.begun)) {
        continue;
      }
      for (std::size_t index = 0; index < request.parts.size(); ++index) {
        const PromptPartDigest& part = request.parts[index];
        const auto answered = answeredAt_.find(part);
        const bool isAnswered = answered != answeredAt_.end();
        if (isAnswered && answered->second >= crash.at) {
          continue;
        }
        auto& [suspect, cuts] = found[part];
        const bool isFirst = suspect.crashes.empty();
        suspect.part = part;
        suspect.crashes.insert(worker);
        suspect.depth = std::max(suspect.depth, index);
        suspect.firstCrashAt = isFirst ? crash.at : std::min(suspect.firstCrashAt, crash.at);
        suspect.answeredAt = isAnswered ? std::optional(answered->second) : std::nullopt;
        cuts[eventOf.at(worker)].push_back(digest);
      }
    }
  }
  Suspects suspects;
  for (auto& [part, entry] : found) {
    entry.first.events = entry.second.size();
    entry.first.requests = distinctRequests(entry.second);
    suspects.push_back(std::move(entry.first));
  }
  return suspects;
}

/// @return the size of the largest matching of events and requests.
std::size_t PartEvidence::distinctRequests(const Cuts& cuts) {
  std::map<RequestDigest, std::size_t> eventOf;
  const std::function<bool(std::size_t, std::set<RequestDigest>&)> assign =
      [&](std::size_t event, std::set<RequestDigest>& tried) {
        return std::any_of(
            cuts.at(event).begin(), cuts.at(event).end(), [&](const RequestDigest& request) {
              if (!tried.insert(request).second) {
                return false;
              }
              const auto taken = eventOf.find(request);
              const bool isFree = taken == eventOf.end() || assign(taken->second, tried);
              if (isFree) {
                eventOf[request] = event;
              }
              return isFree;
            });
      };
  std::size_t count = 0;
  for (const auto& [event, requests] : cuts) {
    std::set<RequestDigest> tried;
    count += assign(event, tried) ? 1 : 0;
  }
  return count;
}

bool PartEvidence::explains(const std::set<PromptPartDigest>& parts, const WorkerId& worker) const {
  const auto found = crashes_.find(worker);
  if (found == crashes_.end() || parts.empty()) {
    return false;
  }
  const bool begunOnly = anyBegun(found->second);
  return std::any_of(
      found->second.requests.begin(), found->second.requests.end(), [&](const auto& entry) {
        const Request& request = entry.second;
        return (!begunOnly || request.begun) &&
               std::any_of(request.parts.begin(), request.parts.end(),
                           [&parts](const auto& part) { return parts.count(part) != 0; });
      });
}

std::set<WorkerId> PartEvidence::explainedBy(const std::set<PromptPartDigest>& parts) const {
  std::set<WorkerId> workers;
  for (const auto& [worker, crash] : crashes_) {
    if (crash.confirmed && explains(parts, worker)) {
      workers.insert(worker);
    }
  }
  return workers;
}

std::set<PromptPartDigest> chooseCauses(const PartEvidence::Suspects& suspects,
                                        std::set<WorkerId> explained,
                                        const RequestCrashLedger& requests) {
  PartEvidence::Suspects fresh;
  PartEvidence::Suspects soundBefore;
  for (const PartEvidence::Suspect& suspect : suspects) {
    const bool sound = suspect.wasSoundBefore();
    const std::size_t mostRequests = sound ? kRequestsLikelierThanSoundPart : 1;
    if (suspect.isAtLimit() && !areRepeatedRequests(suspect.crashes, requests, mostRequests)) {
      (sound ? soundBefore : fresh).push_back(suspect);
    }
  }
  PartEvidence::Suspects chosen;
  chooseFrom(fresh, explained, chosen);
  chooseFrom(soundBefore, explained, chosen);
  removeRedundant(chosen, requests);
  std::set<PromptPartDigest> causes;
  for (const PartEvidence::Suspect& suspect : chosen) {
    causes.insert(suspect.part);
  }
  return causes;
}

}  // namespace walnut::registry
