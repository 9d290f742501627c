#pragma once
/// @file
/// Stand-in for a worker in a soak: it serves requests, takes orders and sends heartbeats, behind a
/// proxy, and checks what it is sent.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/standin_dialect.h"
#include "rehearsal/link_proxy.h"
#include "rehearsal/soak_account.h"
#include "walnut/base/random.h"

namespace walnut::rehearsal {

struct SoakWorkerOptions {
  std::string name;
  base::Endpoint listen;  ///< Of the proxy, which others are told.
  base::Endpoint hidden;  ///< Of the worker itself.
  std::string zone;
  bool holdsModels = false;
  bool fenced = true;     ///< Orders with a lower fencing token are refused.
  double lateOrders = 0;  ///< Share of orders that are carried out seconds later, unanswered.
  base::Duration clockOffset{0};  ///< Of its time of day.
  std::uint64_t slots = 8;
  std::size_t maxModels = 5;
  std::size_t adapterSlots = 6;
  std::vector<base::Endpoint> servers;  ///< That take heartbeats, at first.
};

/// Runs on the loop of the soak. A restart keeps the address; what it held and counted is gone.
class SoakWorker : public net::RequestHandler {
 public:
  SoakWorker(event::Dispatcher& dispatcher, SoakWorkerOptions options, std::uint64_t seed,
             SoakAccount& account);
  ~SoakWorker() override;
  SoakWorker(const SoakWorker&) = delete;
  SoakWorker& operator=(const SoakWorker&) = delete;

  base::Result<void> start();
  /// @param keepsName false: it has another name afterwards.
  /// @param version of its software afterwards.
  void restart(bool keepsName, const std::string& version);
  /// Answers have no end from now on, or are whole again.
  void setFlooding(bool floods) { floods_ = floods; }
  /// Some plain requests take up to so long.
  void setSlowest(base::Duration slowest) { slowest_ = slowest; }
  bool holdsModels() const { return options_.holdsModels; }
  const std::string& softwareVersion() const { return state_.softwareVersion; }
  /// Tells it the present addresses of the servers.
  void setServers(std::vector<base::Endpoint> servers) { servers_ = std::move(servers); }
  LinkProxy& link() { return *proxy_; }
  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override;

 private:
  /// A response in progress; dropped if its caller disconnects or the worker restarts.
  struct Answer {
    net::ResponseSink* sink = nullptr;
    std::uint64_t life = 0;
  };
  using AnswerPtr = std::shared_ptr<Answer>;

  AnswerPtr track(net::ResponseSink& sink);
  void after(base::Duration delay, std::function<void()> task);
  /// Sends heartbeats from now on.
  void beat();
  void sendHeartbeat(std::function<void(bool taken)> done);
  void takeOrder(const net::HttpRequest& request, net::ResponseSink& sink);
  int carryOut(const platform::StandinOrder& order);
  int orderAdapter(const platform::StandinOrder& order);
  void finishLoad(const std::string& model);
  bool holds(const std::string& target) const;
  std::size_t adapterCount() const;
  platform::StandinModel* find(const std::string& model);
  void serve(const net::HttpRequest& request, net::ResponseSink& sink);
  void pour(const AnswerPtr& answer);
  void stream(const AnswerPtr& answer, const std::string& id, std::uint64_t next);

  event::Dispatcher& dispatcher_;
  const SoakWorkerOptions options_;
  base::Random random_;
  SoakAccount& account_;
  platform::StandinWorkerState state_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<LinkProxy> proxy_;
  std::uint64_t life_ = 0;  ///< Count of restarts; tasks of an earlier life do nothing.
  std::uint64_t heartbeats_ = 0;
  std::vector<base::Endpoint> servers_;
  std::optional<base::Endpoint> home_;
  std::size_t nextServer_ = 0;
  std::uint64_t highestFence_ = 0;
  std::uint64_t active_ = 0;
  bool floods_ = false;
  base::Duration slowest_{0};
  std::map<std::uint64_t, event::TimerPtr> timers_;
  std::uint64_t lastTimer_ = 0;
};

}  // namespace walnut::rehearsal
