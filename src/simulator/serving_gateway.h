#pragma once
/// @file
/// A gateway of a simulated serving fleet: the same logic as in walnut-router, with requests.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/registry_follower.h"
#include "simulator/serving_worker.h"
#include "simulator/virtual_loop.h"

namespace walnut::simulator {

/// What a fleet does for its gateways.
class ServingGatewayLinks {
 public:
  virtual ~ServingGatewayLinks() = default;
  virtual void toLeader(std::size_t gateway, registry::MessageBody message) = 0;
  virtual void toWorker(std::size_t gateway, const registry::WorkerRecord& worker,
                        std::shared_ptr<ServingCall> call) = 0;
  /// @return true if that incarnation of a worker has not ended.
  virtual bool isUp(const registry::WorkerId& process) const = 0;
  /// A line of the gateway's decision log.
  virtual void logged(std::size_t gateway, runtime::LogEvent event,
                      std::initializer_list<runtime::EventField> fields) = 0;
};

class ServingGateway {
 public:
  ServingGateway(std::size_t index, Scheduler& scheduler, ServingGatewayLinks& links,
                 const gateway::GatewayOptions& options, std::uint32_t leaderLevel);
  ~ServingGateway();

  void start();
  void received(const registry::RegistryMessage& message);
  void request(net::HttpRequest request, net::ResponseSink& sink);
  /// Calls back in the gateway's event loop: once it runs again, if it is suspended; never, if it
  /// has ended.
  void run(const std::function<void()>& input);

  /// @name Faults
  /// @{
  void loseLeader();
  /// The machine stands still: its clock goes on, nothing runs, and inputs wait in their order.
  void suspend(base::Duration duration);
  void end() { ended_ = true; }
  bool hasEnded() const { return ended_; }
  /// @}

 private:
  struct Process;

  void take(const std::function<void()>& input);
  void resume();
  void scheduleWakeup();

  Scheduler& scheduler_;
  base::TimePoint wakeupAt_ = base::kNever;
  base::TimePoint suspendedUntil_;
  std::deque<std::function<void()>> suspendedInputs_;
  bool ended_ = false;
  std::unique_ptr<Process> process_;
};

/// @return the model and the adapter that "model" or "model/adapter" names.
std::pair<std::string, std::string> splitTarget(const std::string& target);

/// Field of a request with the parts of its prompt, separated by commas.
inline constexpr const char* kPartsField = "Parts";
std::string joinParts(const std::vector<std::string>& parts);
std::vector<std::string> splitParts(const std::string& text);

}  // namespace walnut::simulator
