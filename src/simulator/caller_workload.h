#pragma once
/// @file
/// Callers of a run: steady requests, bursts for sleeping models at many routers, requests that may
/// not be repeated and their resends, callers who go away.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "simulator/environment.h"
#include "simulator/fleet.h"
#include "simulator/process.h"

namespace walnut::simulator {

/// One request as a caller means it.
struct CallerIntent {
  std::size_t router = 0;
  std::string target;
  std::uint32_t maxTokens = 0;
  engine::Priority priority = engine::Priority::interactive;
  base::Duration deadlineAfter{0};
  std::string idempotencyKey;  ///< Empty: may be repeated.
  std::optional<base::TimePoint> issuedAt;
  std::uint32_t resendsLeft = 0;
  bool mayLeave = true;
};

/// How a request ended, for the caller who issued it.
enum class CallerOutcome : std::uint8_t { answered, refused, broke, unreachable };

/// All callers of one zone.
class Callers : public Process {
 public:
  Callers(Environment& environment, Fleet& fleet, const std::string& name, const std::string& zone);

  /// Issues a request; `done` is called at its end unless the caller left.
  void issue(const CallerIntent& intent, std::function<void(CallerOutcome)> done);

 protected:
  void onStart() override {}
  void onKill() override {}

 private:
  /// A request whose end has not been seen.
  struct Pending {
    CallerIntent intent;
    std::function<void(CallerOutcome)> done;
    std::shared_ptr<Exchange> exchange;
    bool ended = false;
  };

  CallerHandlers handlersFor(const base::RequestId& id, const std::shared_ptr<Pending>& pending);
  void handleEnd(const base::RequestId& id, const std::shared_ptr<Pending>& pending,
                 const std::optional<base::Error>& error);
  void finish(const std::shared_ptr<Pending>& pending, CallerOutcome outcome);
  /// Sends a request that may not be repeated again, with its key, at another router.
  void maybeResend(const CallerIntent& intent);
  void maybeLeave(const base::RequestId& id, const std::shared_ptr<Pending>& pending);

  Environment& environment_;
  Fleet& fleet_;
  std::uint64_t nextRequest_ = 1;
};

/// Draws the requests of a run.
class CallerWorkload {
 public:
  CallerWorkload(Environment& environment, Fleet& fleet, const Deployment& deployment);

  /// Issues requests until `end`; none has a deadline after `lastDeadline`.
  void run(base::TimePoint end, base::TimePoint lastDeadline);
  /// Asks one router for one model and calls `answered` if it was served.
  void probe(std::size_t router, const std::string& target, base::Duration deadline,
             std::function<void(CallerOutcome)> done);

 private:
  void scheduleNext();
  void scheduleBurst();
  void issueOne();
  void burst();
  std::string drawTarget();
  Callers& callersNear(std::size_t router);

  Environment& environment_;
  Fleet& fleet_;
  const Deployment& deployment_;
  std::vector<std::unique_ptr<Callers>> callers_;  ///< One for each zone.
  base::TimePoint end_;
  base::TimePoint lastDeadline_;
  std::uint64_t nextKey_ = 1;
};

}  // namespace walnut::simulator
