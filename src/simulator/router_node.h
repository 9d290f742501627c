#pragma once
/// @file
/// Driver of a router in the simulator: the same logic as in walnut-router, over the simulated
/// transport and exchanges.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "simulator/environment.h"
#include "simulator/process.h"
#include "walnut/routing/router.h"

namespace walnut::simulator {

/// What a caller's connection carries back.
struct CallerHandlers {
  std::function<void(const routing::CallerToken&)> token;
  std::function<void(const routing::CallerEnded&)> ended;
  std::function<void(const routing::CallerRefused&)> refused;
};

/// A caller's request as it comes over HTTP: times are relative or the caller's own.
struct CallerCall {
  routing::CallerRequest request;  ///< Its `deadline` is not set.
  base::Duration deadlineAfter{0};
};

class RouterNode : public Process {
 public:
  RouterNode(Environment& environment, const std::string& name, const std::string& zone,
             routing::RouterOptions options);

  /// The caller's edge, on the process's turn. `exchange` is ended with the request.
  void serveRequest(const CallerCall& call, std::shared_ptr<Exchange> exchange,
                    CallerHandlers handlers);

  void requestPlannedStop();
  bool stopping() const { return stopping_; }
  routing::RouterStatus status() const { return logic_->status(localNow()); }
  bool hasLogic() const { return logic_ != nullptr; }
  std::shared_ptr<PeerTransport> transport() const { return transport_; }

 protected:
  void onStart() override;
  void onKill() override;

 private:
  struct OpenRequest {
    std::shared_ptr<Exchange> exchange;
    CallerHandlers handlers;
  };

  void input(const routing::RouterInput& value);
  void pump();
  void perform(const routing::RouterAction& action);
  void performTerminal(const base::RequestId& request,
                       const std::function<void(const CallerHandlers&)>& tell);
  /// Sabotage: the attempt goes to the drained engine.
  bool misroutes(const engine::GenerateRequest& generate);
  void startAttempt(const routing::StartAttempt& start);
  void cancelAttempt(const routing::CancelAttempt& cancel);
  /// @name Calls that move the exported state of a stream (router_state_calls.cpp)
  /// @{
  using HoldAnswer = std::function<void(const engine::HoldResult&)>;
  /// @param engine null: nobody is there, and the exchange will fail.
  std::shared_ptr<Exchange> openExchange(const EngineNode* engine, base::Duration timeout,
                                         const std::function<void(const base::Error&)>& failed);
  HoldAnswer holdAnswer(const base::EngineId& engine, const base::RequestId& request,
                        base::AttemptId attempt);
  /// For the checker of leaving engines: a state to hold is work too.
  void observeWorkSent(const EngineNode* engine, const base::RequestId& request);
  void exportAttempt(const routing::ExportAttempt& request);
  void holdState(const routing::HoldState& request);
  void keepState(const routing::StoreState& request);
  void putState(const routing::UploadState& request);
  /// @}
  void pollCacheEvents();
  void receive(protocol::ConnectionId connection, const protocol::Message& message);
  PeerEvents peerEvents();

  Environment& environment_;
  routing::RouterOptions options_;
  std::unique_ptr<routing::Router> logic_;
  std::shared_ptr<PeerTransport> transport_;
  std::map<base::Endpoint, protocol::ConnectionId> controllers_;
  std::map<base::RequestId, OpenRequest> requests_;
  std::map<std::pair<base::RequestId, base::AttemptId>, std::shared_ptr<Exchange>> attempts_;
  std::set<std::pair<base::RequestId, base::AttemptId>> keptStates_;
  std::map<base::Endpoint, std::uint64_t> cacheSequence_;  ///< Last one read of each engine.
  std::set<base::RequestId> misrouted_;
  bool pumping_ = false;
  bool stopping_ = false;
};

}  // namespace walnut::simulator
