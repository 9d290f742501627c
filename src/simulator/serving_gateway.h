#pragma once
/// @file
/// A gateway of a simulated serving fleet: the same logic as in walnut-router, with requests.

#include <functional>
#include <memory>
#include <string>

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
};

class ServingGateway {
 public:
  ServingGateway(std::size_t index, Scheduler& scheduler, ServingGatewayLinks& links,
                 const gateway::GatewayOptions& options);
  ~ServingGateway();

  void start();
  void received(const registry::RegistryMessage& message);
  void request(net::HttpRequest request, net::ResponseSink& sink);
  /// Calls back in the gateway's event loop.
  void run(const std::function<void()>& input);

 private:
  struct Process;

  void scheduleWakeup();

  Scheduler& scheduler_;
  base::TimePoint wakeupAt_ = base::kNever;
  std::unique_ptr<Process> process_;
};

/// @return the model and the adapter that "model" or "model/adapter" names.
std::pair<std::string, std::string> splitTarget(const std::string& target);

}  // namespace walnut::simulator
