#pragma once
/// @file
/// Many routers in a common virtual time that share the engines of one model.

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "routing/router_harness.h"
#include "walnut/base/random.h"

namespace walnut::routing::testing {

/// Runs many routers. They see each change of an engine at the same instant, which is the worst
/// case for synchronized retries.
class RouterFleet {
 public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(5);
  static constexpr base::Duration kWindow = std::chrono::milliseconds(100);

  /// @param arrivalInterval between requests at one router; routers differ in phase.
  RouterFleet(std::size_t routers, base::Duration arrivalInterval, base::Duration deadline)
      : arrivalInterval_(arrivalInterval), deadline_(deadline) {
    for (std::size_t number = 0; number < routers; ++number) {
      Member member;
      member.router = std::make_unique<RouterHarness>(RouterOptions{}, true, number + 1);
      member.nextArrival =
          member.router->now() + random_.between(base::Duration(0), arrivalInterval);
      members_.push_back(std::move(member));
    }
  }

  /// Opens streams at each router that continue until the engine fails.
  void openStreams(std::size_t perRouter) {
    for (Member& member : members_) {
      for (std::size_t number = 0; number < perRouter; ++number) {
        request(member);
      }
      for (; member.handledStarts < member.router->starts.size(); ++member.handledStarts) {
        member.open.push_back(member.router->starts[member.handledStarts]);
        deliver(member, engine::GenerateToken{id(member.open.back()),
                                              member.open.back().generate.attempt, 0, "token"});
      }
    }
  }
  /// Makes another replica of the model ready on the engine.
  void addReplica(std::size_t engine) {
    for (Member& member : members_) {
      member.router->commitChange(protocol::EngineChanged{engineRecord(engine)});
      member.router->commitChange(
          protocol::ReplicaChanged{replicaRecord(engine + 1, "model", engine)});
    }
  }
  /// Breaks the engine's streams. The engine then fails all attempts with the code, as not
  /// executed.
  void failEngine(std::size_t engine, base::ErrorCode answer) {
    failureCode_ = answer;
    failedEngines_.insert(engineRecord(engine).id);
    for (Member& member : members_) {
      const std::vector<StartAttempt> open = std::exchange(member.open, {});
      for (const StartAttempt& start : open) {
        if (failedEngines_.contains(start.engine)) {
          member.router->fail(start, base::ErrorCode::connectionLost,
                              engine::GenerateFailed::Started::unknown);
        }
      }
    }
  }
  void restoreEngine(std::size_t engine) { failedEngines_.erase(engineRecord(engine).id); }

  /// Advances the time. Reachable engines answer each attempt completely and at once.
  void run(base::Duration duration) {
    for (base::Duration passed{0}; passed < duration; passed += kStep) {
      std::size_t failed = 0;
      std::size_t recovered = 0;
      for (Member& member : members_) {
        member.router->advance(kStep);
        if (member.router->now() >= member.nextArrival) {
          member.nextArrival += arrivalInterval_;
          request(member);
        }
        for (; member.handledStarts < member.router->starts.size(); ++member.handledStarts) {
          const StartAttempt start = member.router->starts[member.handledStarts];
          if (failedEngines_.contains(start.engine)) {
            ++failed;
            member.recovered = false;
            member.router->fail(start, failureCode_, engine::GenerateFailed::Started::no);
          } else {
            recovered += std::exchange(member.recovered, true) ? 0 : 1;
            ++answered;
            deliver(member, engine::GenerateEnded{id(start),
                                                  start.generate.attempt,
                                                  start.generate.offset,
                                                  engine::FinishReason::stop,
                                                  {}});
          }
        }
      }
      failedPerStep.push_back(failed);
      recoveredPerStep.push_back(recovered);
    }
  }

  /// @return the greatest sum over any window that begins at least `from` after the first step.
  static std::size_t peak(const std::vector<std::size_t>& perStep, base::Duration from) {
    const auto width = static_cast<std::size_t>(kWindow / kStep);
    std::size_t greatest = 0;
    for (auto begin = static_cast<std::size_t>(from / kStep); begin + width <= perStep.size();
         ++begin) {
      std::size_t sum = 0;
      for (std::size_t step = begin; step < begin + width; ++step) {
        sum += perStep[step];
      }
      greatest = std::max(greatest, sum);
    }
    return greatest;
  }
  static std::size_t total(const std::vector<std::size_t>& perStep) {
    std::size_t sum = 0;
    for (const std::size_t count : perStep) {
      sum += count;
    }
    return sum;
  }
  std::size_t refusals() const {
    std::size_t count = 0;
    for (const Member& member : members_) {
      count += member.router->refusals.size();
    }
    return count;
  }

  std::vector<std::size_t> failedPerStep;     ///< Attempts at failed engines.
  std::vector<std::size_t> recoveredPerStep;  ///< Routers whose previous attempt had failed.
  std::size_t answered = 0;

 private:
  struct Member {
    std::unique_ptr<RouterHarness> router;
    base::TimePoint nextArrival;
    std::size_t handledStarts = 0;  ///< Attempts that were answered or are in `open`.
    std::vector<StartAttempt> open;
    bool recovered = true;
  };

  static base::RequestId id(const StartAttempt& start) { return start.generate.request; }
  static void deliver(Member& member, const engine::GenerateEvent& event) {
    member.router->deliver(EngineEvent{event});
  }
  void request(Member& member) {
    member.router->request("request-" + std::to_string(nextRequest_++), deadline_);
  }

  base::Random random_{1};
  base::Duration arrivalInterval_;
  base::Duration deadline_;
  std::vector<Member> members_;
  std::set<base::EngineId> failedEngines_;
  base::ErrorCode failureCode_ = base::ErrorCode::connectFailed;  ///< Error code of failed engines.
  std::uint64_t nextRequest_ = 1;
};

}  // namespace walnut::routing::testing
