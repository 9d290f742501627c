#pragma once
/// @file
/// A router in virtual time with a fake cell, fake engines and callers, and seeded faults.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/fake_cell.h"
#include "routing/scenario_oracle.h"
#include "walnut/base/random.h"
#include "walnut/factories.h"

namespace walnut::routing::testing {

inline constexpr std::size_t kEngines = 4;

/// Probability of each fault, per occasion.
struct Faults {
  double connectFailure = 0.04;
  double refusal = 0.04;
  double connectionLoss = 0.04;  ///< The stream breaks at some token.
  double stall = 0.02;           ///< The stream stalls at some token.
  double duplicateToken = 0.05;  ///< A token is sent twice.
  double missingToken = 0.02;    ///< A token is skipped.
  double crossedToken = 0.05;    ///< A token arrives under another request's id.
  double disconnect = 0.02;      ///< A controller disconnects, per probe.
  double claimReplyLoss = 0.1;
  double callerDisconnect = 0.05;
};

class ScenarioWorld {
 public:
  explicit ScenarioWorld(std::uint64_t seed);
  void run();

  const ScenarioOracle& oracle() const { return oracle_; }

 private:
  using Event = std::function<void()>;
  struct Running {
    engine::GenerateRequest generate;
    std::size_t engine = 0;
    std::uint32_t next = 0;
  };

  void at(base::Duration delay, Event event) { events_.emplace(now_ + delay, std::move(event)); }
  base::Duration delay(int lowMillis, int highMillis) {
    return random_.between(std::chrono::milliseconds(lowMillis),
                           std::chrono::milliseconds(highMillis));
  }
  /// Passes the input to the router; if it is frozen, as soon as it resumes.
  void deliver(RouterInput input);
  void tick();
  void stepRouter(const RouterInput& input);
  void execute(const RouterAction& action);
  void execute(const StartAttempt& action);
  void execute(const CancelAttempt& action);
  void execute(const ExportAttempt& action);
  void execute(const HoldState& action);
  void execute(const StoreState& action);
  void execute(const UploadState& action);
  void execute(const OpenController& action);
  void execute(const CloseController& action);
  void execute(const SendToController& action);
  void controllerReceives(std::size_t controller, protocol::ConnectionId connection,
                          const protocol::Message& message);
  void pushDeltas();
  void disconnect(std::size_t controller);
  void submitRequest();
  void sendEngineToken(std::uint64_t attempt);
  void failAttempt(std::uint64_t attempt, base::ErrorCode code,
                   engine::GenerateFailed::Started started);
  void reclaim(std::size_t engine);
  void scheduleFaults();

  base::Random random_;
  Faults faults_;
  base::TimePoint now_ = base::fromMicros(1'000'000'000);
  base::TimePoint frozenUntil_;
  base::TimePoint lastStep_;
  base::TimePoint lastReply_;
  base::TimePoint cellUnreachableUntil_;
  std::multimap<base::TimePoint, Event> events_;
  FakeCell cell_;
  ScenarioOracle oracle_;
  std::unique_ptr<Router> router_;
  std::map<std::size_t, protocol::ConnectionId> connections_;
  std::map<std::size_t, consensus::LogIndex> watchIndexes_;
  std::uint64_t nextConnection_ = 1;
  std::uint64_t nextRequest_ = 1;
  std::map<std::uint64_t, Running> running_;
  std::map<std::string, std::uint32_t> exports_;
  /// Offsets of the states that the router stores, by attempt.
  std::map<std::uint64_t, std::uint32_t> storedStates_;
  std::set<std::size_t> reclaimed_;
  bool stopped_ = false;
  bool stopRequested_ = false;
};

}  // namespace walnut::routing::testing
