#pragma once
/// @file
/// Finds the requests that crash workers, from the requests that each worker was running or had
/// queued when it crashed.

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "control/crash_cover.h"

namespace walnut::control {

namespace crash {

/// Number of crashes after which a request is refused. A crash cuts all requests of its worker, so
/// a single one is no evidence. A request that is not the cause would have to be cut at three
/// workers in a row, without any sign of an answer, by crashes that no other request explains. The
/// user documentation allows three.
inline constexpr std::size_t kLimit = 3;
/// The same limit for a request that is only known to have been queued at the crash, while another
/// one was already running: on the users' platform the running request was the cause in 20 of 20
/// crashes. The user documentation allows as many sends after the third crash as before it.
inline constexpr std::size_t kQueuedCrashLimit = 2 * kLimit;
/// Number of crashes after which a request is refused unless other refused requests explain all of
/// them: the user documentation allows three sends after the third crash.
inline constexpr std::size_t kUnexplainedCrashLimit = kLimit + 3;
/// Maximum number of suspected requests. A crash adds a few tens; each takes about 100 bytes.
inline constexpr std::size_t kMaxSuspects = 512;

}  // namespace crash

/// Records which requests were on which crashed workers and derives the requests that cause
/// crashes.
/// Evidence is a set: a crash that is reported twice, or by several observers, counts once for each
/// request. The classification is not stored but derived from the evidence, so that evidence which
/// arrives later, or is retracted, corrects it.
///
/// All servers that apply the same calls in the same order hold the same state.
/// @tparam Subject identifies a request. @tparam Worker id of one incarnation of a worker.
template <class Subject, class Worker>
class CrashLedger {
 public:
  /// Crashes that a request may have caused.
  struct Evidence {
    std::set<Worker> crashes;  ///< Crashes that the request may have caused.
    /// Crashes at which it was queued while another request was running.
    std::set<Worker> crashesWhileQueued;
    std::uint64_t lastCrashSequence = 0;  ///< Sequence number of the latest crash.

    bool empty() const { return crashes.empty() && crashesWhileQueued.empty(); }
    template <class Archive>
    void serialize(Archive& archive) {
      archive(crashes, crashesWhileQueued, lastCrashSequence);
    }
  };

  /// Records the crash of a worker. @param begun requests that were running on it, without any part
  /// of an answer yet. @param queued requests of which it is unknown whether they were running.
  void add(const Worker& worker, const std::vector<Subject>& running,
           const std::vector<Subject>& queued) {
    if (!running.empty() && workersWithRunningRequest_.insert(worker).second) {
      moveToQueued(worker);
    }
    for (const Subject& request : running) {
      touchEvidence(request).crashes.insert(worker);
    }
    const bool hasRunning = workersWithRunningRequest_.count(worker) != 0;
    for (const Subject& request : queued) {
      Evidence& evidence = touchEvidence(request);
      (hasRunning ? evidence.crashesWhileQueued : evidence.crashes).insert(worker);
    }
    while (evidence_.size() > crash::kMaxSuspects) {
      evictWeakest();
    }
  }

  /// Removes the evidence of a crash that turned out not to have happened.
  void retract(const Worker& worker) {
    for (auto& [request, evidence] : evidence_) {
      evidence.crashes.erase(worker);
      evidence.crashesWhileQueued.erase(worker);
    }
    workersWithRunningRequest_.erase(worker);
    std::erase_if(evidence_, [](const auto& entry) { return entry.second.empty(); });
  }

  /// Removes the evidence against a request that was answered and therefore causes no crashes.
  void clearEvidence(const Subject& request) {
    evidence_.erase(request);
    forgetUnused();
  }

  /// Reduces old evidence. A refused request may be tried once more, because the fault that crashed
  /// its workers may be fixed by now; one further crash shows if it is not. All other evidence is
  /// removed.
  void age(const Subject& request) {
    const auto found = evidence_.find(request);
    if (found == evidence_.end()) {
      return;
    }
    std::set<Worker>& crashes = found->second.crashes;
    found->second.crashesWhileQueued.clear();
    if (crashes.size() < crash::kLimit) {
      evidence_.erase(found);
    }
    while (crashes.size() >= crash::kLimit) {
      crashes.erase(crashes.begin());
    }
    forgetUnused();
  }

  bool has(const Subject& request, const Worker& worker) const {
    const auto found = evidence_.find(request);
    return found != evidence_.end() && (found->second.crashes.count(worker) != 0 ||
                                        found->second.crashesWhileQueued.count(worker) != 0);
  }
  bool knows(const Worker& worker) const {
    return std::any_of(evidence_.begin(), evidence_.end(), [&worker](const auto& entry) {
      return entry.second.crashes.count(worker) != 0 ||
             entry.second.crashesWhileQueued.count(worker) != 0;
    });
  }
  const std::map<Subject, Evidence>& evidence() const { return evidence_; }
  bool empty() const { return evidence_.empty(); }

  /// Returns the requests to refuse. These are, among the requests at the crash limit, those
  /// without which more requests would be needed to explain all crashes (see CrashCover); requests
  /// one crash below the limit take part as explanations. A request that was on workers with
  /// several different causes can have more crashes than each of the causes. Requests with exactly
  /// the same crashes cannot be told apart: at the limit they are allowed to continue, since the
  /// next crash mostly involves only one of them; beyond it two of them are treated as one. At
  /// `kUnexplainedCrashLimit` every request is refused whose crashes are not explained by the
  /// requests already found.
  std::set<Subject> requestsToRefuse() const {
    std::set<Subject> requestsToRefuse;
    Groups groups;
    for (const auto& [request, evidence] : evidence_) {
      if (evidence.crashes.size() + 1 >= crash::kLimit) {
        groups[{evidence.crashes, evidence.crashesWhileQueued}].push_back(request);
      }
      if (evidence.crashes.size() + evidence.crashesWhileQueued.size() >=
          crash::kQueuedCrashLimit) {
        requestsToRefuse.insert(request);
      }
    }
    for (const std::vector<Subject>* requests : neededGroups(groups)) {
      requestsToRefuse.insert(requests->begin(), requests->end());
    }
    return requestsToRefuse;
  }

  /// @return true if each crash that this request may have caused may also have been caused by
  /// another request. If not, the request did cause one.
  bool contested(const Subject& request) const {
    const std::set<Worker>& crashes = evidence_.at(request).crashes;
    return std::all_of(crashes.begin(), crashes.end(), [&](const Worker& worker) {
      return std::any_of(evidence_.begin(), evidence_.end(), [&](const auto& entry) {
        return entry.first != request && entry.second.crashes.count(worker) != 0;
      });
    });
  }

  /// @return true if the request is at most one crash below a limit.
  static bool close(const Evidence& evidence) {
    return evidence.crashes.size() + 1 >= crash::kLimit ||
           evidence.crashes.size() + evidence.crashesWhileQueued.size() + 1 >=
               crash::kQueuedCrashLimit;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(evidence_, workersWithRunningRequest_, crashSequence_);
  }

 private:
  /// Crashes of requests: first those that they may have caused, then those at which they were
  /// queued while another request was running, which they may have caused nevertheless.
  using CrashSets = std::pair<std::set<Worker>, std::set<Worker>>;
  using Groups = std::map<CrashSets, std::vector<Subject>>;

  /// @return the groups of requests at the limit or above that are part of every smallest
  /// explanation.
  static std::vector<const std::vector<Subject>*> neededGroups(const Groups& groups) {
    const CrashCover::Candidates masks = crashMasks(groups);
    CrashCover cover(masks);
    std::vector<const std::vector<Subject>*> found;
    std::set<Worker> explained;
    std::size_t index = 0;
    for (const auto& [places, requests] : groups) {
      const auto& [workers, queuedAt] = places;
      if (mayRefuseGroup(workers.size(), requests.size()) && cover.isNecessary(masks[index])) {
        found.push_back(&requests);
        explained.insert(workers.begin(), workers.end());
        explained.insert(queuedAt.begin(), queuedAt.end());
      }
      ++index;
    }
    for (const auto& [places, requests] : groups) {
      const std::set<Worker>& workers = places.first;
      if (workers.size() >= crash::kUnexplainedCrashLimit &&
          !std::includes(explained.begin(), explained.end(), workers.begin(), workers.end())) {
        found.push_back(&requests);
      }
    }
    return found;
  }

  /// @return true if a group of requests with the same crashes, found to be needed, may be refused:
  /// a single request at the limit, two of which either may be the cause one crash later, and
  /// larger groups only at `kUnexplainedCrashLimit`.
  static bool mayRefuseGroup(std::size_t crashes, std::size_t requests) {
    if (requests > 2) {
      return crashes >= crash::kUnexplainedCrashLimit;
    }
    return crashes >= (requests == 1 ? crash::kLimit : crash::kLimit + 1);
  }

  static CrashCover::Candidates crashMasks(const Groups& groups) {
    std::map<Worker, std::size_t> numbers;
    CrashCover::Candidates masks;
    const auto add = [&numbers](const std::set<Worker>& workers, CrashCover::Crashes& mask) {
      for (const Worker& worker : workers) {
        const std::size_t number = numbers.try_emplace(worker, numbers.size()).first->second;
        mask.set(number % CrashCover::kMaxCrashes);
      }
    };
    for (const auto& [places, requests] : groups) {
      CrashCover::Crashes& mask = masks.emplace_back();
      add(places.first, mask);
      add(places.second, mask);
    }
    return masks;
  }

  Evidence& touchEvidence(const Subject& request) {
    Evidence& evidence = evidence_[request];
    evidence.lastCrashSequence = ++crashSequence_;
    return evidence;
  }

  /// A request is now known to have been running on the worker: the others may only have been
  /// queued.
  void moveToQueued(const Worker& worker) {
    for (auto& [request, evidence] : evidence_) {
      if (evidence.crashes.erase(worker) != 0) {
        evidence.crashesWhileQueued.insert(worker);
      }
    }
  }

  /// Removes the request with the fewest crashes; among equals, the one whose latest crash is the
  /// oldest.
  void evictWeakest() {
    const auto weight = [](const Evidence& evidence) {
      return std::tuple(evidence.crashes.size(), evidence.crashesWhileQueued.size(),
                        evidence.lastCrashSequence);
    };
    const auto weakest = std::min_element(evidence_.begin(), evidence_.end(),
                                          [&weight](const auto& left, const auto& right) {
                                            return weight(left.second) < weight(right.second);
                                          });
    evidence_.erase(weakest);
    forgetUnused();
  }

  void forgetUnused() {
    std::erase_if(workersWithRunningRequest_,
                  [this](const Worker& worker) { return !knows(worker); });
  }

  std::map<Subject, Evidence> evidence_;
  /// Crashed workers on which at least one request was known to be running.
  std::set<Worker> workersWithRunningRequest_;
  std::uint64_t crashSequence_ = 0;
};

}  // namespace walnut::control
