#pragma once
/// @file
/// Which requests crash the workers that run them, from what each worker had when it ended.

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace walnut::control {

namespace crash {

/// Workers that end under one request before it is refused. One crash cuts all that its worker
/// had, so one is no evidence; a request that is innocent has to be cut, without a sign of an
/// answer, at three workers in a row, by crashes that nothing else explains. The users' pages allow
/// three.
inline constexpr std::size_t kLimit = 3;
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
  using Crashes = std::map<Subject, std::set<Worker>>;

  /// The worker has ended, with these requests, none of which it had begun to answer.
  void add(const Worker& worker, const std::vector<Subject>& requests) {
    for (const Subject& request : requests) {
      crashes_[request].insert(worker);
      lastCrash_[request] = ++count_;
    }
    while (crashes_.size() > crash::kMostSuspects) {
      dropLeast();
    }
  }

  /// The worker had not ended after all.
  void retract(const Worker& worker) {
    for (auto& [request, workers] : crashes_) {
      workers.erase(worker);
    }
    dropEmpty();
  }

  /// The request was answered, so that it crashes nobody.
  void acquit(const Subject& request) {
    crashes_.erase(request);
    lastCrash_.erase(request);
  }

  /// The evidence is old. What was refused may be tried once more: what crashed its workers may be
  /// mended by now, and one crash shows if it is not. The rest is forgotten.
  void age(const Subject& request) {
    const auto found = crashes_.find(request);
    if (found == crashes_.end()) {
      return;
    }
    if (found->second.size() < crash::kLimit) {
      acquit(request);
      return;
    }
    while (found->second.size() >= crash::kLimit) {
      found->second.erase(found->second.begin());
    }
  }

  bool has(const Subject& request, const Worker& worker) const {
    const auto found = crashes_.find(request);
    return found != crashes_.end() && found->second.count(worker) != 0;
  }
  bool knows(const Worker& worker) const {
    return std::any_of(crashes_.begin(), crashes_.end(),
                       [&worker](const auto& entry) { return entry.second.count(worker) != 0; });
  }
  const Crashes& crashes() const { return crashes_; }
  bool empty() const { return crashes_.empty(); }

  /// @return the requests that are to be refused.
  std::set<Subject> guilty() const { return judge(crashes_); }

  /// A crash has one cause. The request with the most crashes is taken to have caused all of its
  /// own, which then speak against nobody else; and so on, down to the limit. Requests with the
  /// same crashes can't be told apart: at the limit they are let go on, since the next crash has
  /// mostly only one of them.
  static std::set<Subject> judge(Crashes open) {
    std::set<Subject> guilty;
    while (true) {
      const auto most =
          std::max_element(open.begin(), open.end(), [](const auto& left, const auto& right) {
            return left.second.size() < right.second.size();
          });
      if (most == open.end() || most->second.size() < crash::kLimit) {
        return guilty;
      }
      const std::set<Worker> explained = most->second;
      std::vector<Subject> alike;
      for (const auto& [request, workers] : open) {
        if (workers == explained) {
          alike.push_back(request);
        }
      }
      for (const Subject& request : alike) {
        open.erase(request);
      }
      if (alike.size() > 1 && explained.size() == crash::kLimit) {
        continue;
      }
      guilty.insert(alike.begin(), alike.end());
      for (auto& [request, workers] : open) {
        for (const Worker& worker : explained) {
          workers.erase(worker);
        }
      }
    }
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes_, lastCrash_, count_);
  }

 private:
  /// The one with the fewest crashes, and of those the one whose latest is the oldest.
  void dropLeast() {
    const auto least = std::min_element(
        crashes_.begin(), crashes_.end(), [this](const auto& left, const auto& right) {
          return std::pair(left.second.size(), lastCrash_.at(left.first)) <
                 std::pair(right.second.size(), lastCrash_.at(right.first));
        });
    acquit(Subject(least->first));
  }

  void dropEmpty() {
    std::erase_if(crashes_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(lastCrash_,
                  [this](const auto& entry) { return crashes_.count(entry.first) == 0; });
  }

  Crashes crashes_;
  std::map<Subject, std::uint64_t> lastCrash_;  ///< Number of the latest crash of each.
  std::uint64_t count_ = 0;
};

}  // namespace walnut::control
