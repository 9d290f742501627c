#pragma once
/// @file
/// Which requests crash the workers that run them, from what each worker had when it ended.

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

/// Workers that end under one request before it is refused. One crash cuts all that its worker
/// had, so one is no evidence; a request that is innocent has to be cut, without a sign of an
/// answer, at three workers in a row, by crashes that nothing else explains. The users' pages allow
/// three.
inline constexpr std::size_t kLimit = 3;
/// The same of a request that was only queued, as far as is known, while another had begun: on the
/// users' platform it was the latter in 20 of 20 crashes. The pages allow as many sends after the
/// third crash as before it.
inline constexpr std::size_t kQueuedLimit = 2 * kLimit;
/// Crashes at which a request is refused unless others that are refused explain them all: the
/// users' pages allow three sends after the third crash.
inline constexpr std::size_t kLastLimit = kLimit + 3;
/// Requests that are kept in mind. A crash names some tens; each needs some 100 bytes.
inline constexpr std::size_t kMostSuspects = 512;

}  // namespace crash

/// Evidence is a set: a crash that is told twice, or by several observers, counts once for each
/// request. The verdict is not stored but follows from the evidence, so that evidence which comes
/// later, or is taken back, corrects it.
///
/// Equal on all servers that apply the same calls in the same order.
/// @tparam Subject what a request is known by. @tparam Worker id of one life of a worker.
template <class Subject, class Worker>
class CrashLedger {
 public:
  /// What speaks against one request.
  struct Evidence {
    std::set<Worker> crashes;     ///< That it may have caused.
    std::set<Worker> queuedAt;    ///< Crashes that another request had begun before.
    std::uint64_t lastCrash = 0;  ///< Number of the latest one.

    bool empty() const { return crashes.empty() && queuedAt.empty(); }
    template <class Archive>
    void serialize(Archive& archive) {
      archive(crashes, queuedAt, lastCrash);
    }
  };

  /// The worker has ended. @param begun requests that it had begun to work on, without a part of
  /// their answers. @param queued those of which not even that is known.
  void add(const Worker& worker, const std::vector<Subject>& begun,
           const std::vector<Subject>& queued) {
    if (!begun.empty() && begunAt_.insert(worker).second) {
      demote(worker);
    }
    for (const Subject& request : begun) {
      note(request).crashes.insert(worker);
    }
    const bool explained = begunAt_.count(worker) != 0;
    for (const Subject& request : queued) {
      Evidence& evidence = note(request);
      (explained ? evidence.queuedAt : evidence.crashes).insert(worker);
    }
    while (evidence_.size() > crash::kMostSuspects) {
      dropLeast();
    }
  }

  /// The worker had not ended after all.
  void retract(const Worker& worker) {
    for (auto& [request, evidence] : evidence_) {
      evidence.crashes.erase(worker);
      evidence.queuedAt.erase(worker);
    }
    begunAt_.erase(worker);
    std::erase_if(evidence_, [](const auto& entry) { return entry.second.empty(); });
  }

  /// The request was answered, so that it crashes nobody.
  void acquit(const Subject& request) {
    evidence_.erase(request);
    forgetUnused();
  }

  /// The evidence is old. What was refused may be tried once more: what crashed its workers may be
  /// mended by now, and one crash shows if it is not. The rest is forgotten.
  void age(const Subject& request) {
    const auto found = evidence_.find(request);
    if (found == evidence_.end()) {
      return;
    }
    std::set<Worker>& crashes = found->second.crashes;
    found->second.queuedAt.clear();
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
    return found != evidence_.end() &&
           (found->second.crashes.count(worker) != 0 || found->second.queuedAt.count(worker) != 0);
  }
  bool knows(const Worker& worker) const {
    return std::any_of(evidence_.begin(), evidence_.end(), [&worker](const auto& entry) {
      return entry.second.crashes.count(worker) != 0 || entry.second.queuedAt.count(worker) != 0;
    });
  }
  const std::map<Subject, Evidence>& evidence() const { return evidence_; }
  bool empty() const { return evidence_.empty(); }

  /// @return the requests that are to be refused: of those that have the limit of crashes the ones
  /// without which more requests would have to crash workers (CrashCover), among all that have one
  /// crash less or more. One that was beside several causes has at times more crashes than each of
  /// them. Requests with just the same crashes can't be told apart: at the limit they are let go
  /// on, since the next crash has mostly only one of them; beyond it two are treated as one. At
  /// `kLastLimit` all are refused whose crashes those that are needed do not explain.
  std::set<Subject> guilty() const {
    std::set<Subject> guilty;
    Groups groups;
    for (const auto& [request, evidence] : evidence_) {
      if (evidence.crashes.size() + 1 >= crash::kLimit) {
        groups[{evidence.crashes, evidence.queuedAt}].push_back(request);
      }
      if (evidence.crashes.size() + evidence.queuedAt.size() >= crash::kQueuedLimit) {
        guilty.insert(request);
      }
    }
    for (const std::vector<Subject>* requests : needed(groups)) {
      guilty.insert(requests->begin(), requests->end());
    }
    return guilty;
  }

  /// @return true if other requests were at each crash that this one may have caused: else it did
  /// cause one.
  bool contested(const Subject& request) const {
    const std::set<Worker>& crashes = evidence_.at(request).crashes;
    return std::all_of(crashes.begin(), crashes.end(), [&](const Worker& worker) {
      return std::any_of(evidence_.begin(), evidence_.end(), [&](const auto& entry) {
        return entry.first != request && entry.second.crashes.count(worker) != 0;
      });
    });
  }

  /// One crash from being refused, or more.
  static bool close(const Evidence& evidence) {
    return evidence.crashes.size() + 1 >= crash::kLimit ||
           evidence.crashes.size() + evidence.queuedAt.size() + 1 >= crash::kQueuedLimit;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(evidence_, begunAt_, count_);
  }

 private:
  /// Where requests were: the crashes that they may have caused, and those that another had begun
  /// before, which they may have caused all the same.
  using Places = std::pair<std::set<Worker>, std::set<Worker>>;
  using Groups = std::map<Places, std::vector<Subject>>;

  /// @return those at the limit or beyond that no explanation does without.
  static std::vector<const std::vector<Subject>*> needed(const Groups& groups) {
    const CrashCover::Candidates masks = masksOf(groups);
    CrashCover cover(masks);
    std::vector<const std::vector<Subject>*> found;
    std::set<Worker> explained;
    std::size_t index = 0;
    for (const auto& [places, requests] : groups) {
      const auto& [workers, queuedAt] = places;
      if (toldApart(workers.size(), requests.size()) && cover.needs(masks[index])) {
        found.push_back(&requests);
        explained.insert(workers.begin(), workers.end());
        explained.insert(queuedAt.begin(), queuedAt.end());
      }
      ++index;
    }
    for (const auto& [places, requests] : groups) {
      const std::set<Worker>& workers = places.first;
      if (workers.size() >= crash::kLastLimit &&
          !std::includes(explained.begin(), explained.end(), workers.begin(), workers.end())) {
        found.push_back(&requests);
      }
    }
    return found;
  }

  /// @return true if what is needed of requests with the same crashes may be refused: one is the
  /// cause, or two of which either may be; more of them only at the last limit.
  static bool toldApart(std::size_t crashes, std::size_t requests) {
    if (requests > 2) {
      return crashes >= crash::kLastLimit;
    }
    return crashes >= (requests == 1 ? crash::kLimit : crash::kLimit + 1);
  }

  static CrashCover::Candidates masksOf(const Groups& groups) {
    std::map<Worker, std::size_t> numbers;
    CrashCover::Candidates masks;
    const auto add = [&numbers](const std::set<Worker>& workers, CrashCover::Crashes& mask) {
      for (const Worker& worker : workers) {
        const std::size_t number = numbers.try_emplace(worker, numbers.size()).first->second;
        mask.set(number % CrashCover::kMostCrashes);
      }
    };
    for (const auto& [places, requests] : groups) {
      CrashCover::Crashes& mask = masks.emplace_back();
      add(places.first, mask);
      add(places.second, mask);
    }
    return masks;
  }

  Evidence& note(const Subject& request) {
    Evidence& evidence = evidence_[request];
    evidence.lastCrash = ++count_;
    return evidence;
  }

  /// A request is now known to have begun there: the others may only have been queued.
  void demote(const Worker& worker) {
    for (auto& [request, evidence] : evidence_) {
      if (evidence.crashes.erase(worker) != 0) {
        evidence.queuedAt.insert(worker);
      }
    }
  }

  /// The one with the fewest crashes, and of those the one whose latest is the oldest.
  void dropLeast() {
    const auto weight = [](const Evidence& evidence) {
      return std::tuple(evidence.crashes.size(), evidence.queuedAt.size(), evidence.lastCrash);
    };
    const auto least = std::min_element(evidence_.begin(), evidence_.end(),
                                        [&weight](const auto& left, const auto& right) {
                                          return weight(left.second) < weight(right.second);
                                        });
    evidence_.erase(least);
    forgetUnused();
  }

  void forgetUnused() {
    std::erase_if(begunAt_, [this](const Worker& worker) { return !knows(worker); });
  }

  std::map<Subject, Evidence> evidence_;
  std::set<Worker> begunAt_;  ///< Workers that had begun one of the requests that they ended with.
  std::uint64_t count_ = 0;
};

}  // namespace walnut::control
