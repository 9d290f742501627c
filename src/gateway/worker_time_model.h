#pragma once
/// @file
/// Expected time of a stream at a worker, from the leader's estimates of the speed and prompt load
/// of workers.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "walnut/registry/prompt_time_fit.h"
#include "walnut/registry/timing_messages.h"

namespace walnut::gateway {

/// What the expected time of a stream at a worker depends on.
struct WorkerTimeFacts {
  double slowness = 1;     ///< Relative to the median worker.
  double promptShare = 0;  ///< Fraction of its time that the worker spends reading prompts.
  std::uint32_t running = 0;
  std::uint32_t slots = 0;  ///< 0: not known.
  double ownTokens = 0;     ///< Prompt tokens that this gateway sent there recently.
  double promptTokens = 0;  ///< Of the request to send.
  registry::PromptTimeFit::Coefficients usual;  ///< At a worker with slowness 1.
};

struct WorkerTime {
  double firstEventSeconds = 0;
  /// Cost of the pauses that the prompt causes in the streams at the worker, including its own, in
  /// the same unit.
  double harmSeconds = 0;
  double total() const { return firstEventSeconds + harmSeconds; }
};

/// Pauses of running streams depend mainly on the prompt share, much less on the number of running
/// requests: with up to 2 prompts that begin at a worker during a stream, 1.3% of the streams had a
/// pause above 300 ms, with 12 and more 30% to 51%.
WorkerTime expectedTime(const WorkerTimeFacts& facts);

/// The leader's estimates as known at a gateway, for the services whose replicas are slow to add.
class WorkerTimeModel {
 public:
  /// Time without a leader for which its last estimates are used; then they fade to the median
  /// within the same time.
  static constexpr base::Duration kLifetime = std::chrono::seconds(5);
  /// Time until an own prompt is contained in the estimates: half the interval of demand reports
  /// and the interval of publications.
  static constexpr base::Duration kOwnPromptTime = std::chrono::milliseconds(500);

  void setServices(std::set<std::string> services) { services_ = std::move(services); }
  /// @return true if the model applies to the service's workers.
  bool covers(const std::string& service) const { return services_.count(service) != 0; }

  void timingsReceived(const registry::WorkerTimings& update, base::TimePoint now);
  /// Records that a leader that publishes estimates is followed.
  void leaderHeard(base::TimePoint now) { heardAt_ = now; }
  void forget(const registry::WorkerId& worker);
  void promptSent(const registry::WorkerId& worker, std::uint64_t tokens, base::TimePoint now);
  /// Records the time to a stream's first event at a worker that had a free slot.
  void streamBegan(const std::string& service, const registry::WorkerId& worker,
                   std::uint64_t promptTokens, base::Duration time, base::TimePoint now);

  double slowness(const registry::WorkerId& worker, base::TimePoint now) const;
  double promptShare(const registry::WorkerId& worker, base::TimePoint now) const;
  /// @param running requests of all gateways at the worker.
  WorkerTime timeAt(const std::string& service, const registry::WorkerId& worker,
                    std::uint32_t running, std::uint32_t slots, std::uint64_t promptTokens,
                    base::TimePoint now) const;

 private:
  struct Figures {
    double slowness = 1;
    double promptShare = 0;
  };
  struct Prompt {
    base::TimePoint sentAt;
    std::uint64_t tokens = 0;
  };

  double weight(base::TimePoint now) const;
  double ownTokens(const registry::WorkerId& worker, base::TimePoint now) const;

  std::set<std::string> services_;
  std::map<registry::WorkerId, Figures> figures_;
  base::TimePoint heardAt_;
  std::map<registry::WorkerId, std::deque<Prompt>> ownPrompts_;
  std::map<std::string, registry::PromptTimeFit> fits_;  ///< By service.
};

}  // namespace walnut::gateway
