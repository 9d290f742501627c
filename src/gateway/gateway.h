#pragma once
/// @file
/// The gateway's logic: routes requests of callers to workers of services.

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gateway/demand_tracker.h"
#include "gateway/document_lease.h"
#include "gateway/exchange.h"
#include "gateway/key_table.h"
#include "gateway/quota_account.h"
#include "gateway/registry_session.h"
#include "gateway/request_quarantine.h"
#include "gateway/worker_limits.h"
#include "routing/retry_budget.h"
#include "walnut/catalog/route_table.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::gateway {

struct GatewayOptions {
  WorkerSelectorOptions selection;
  /// Arrivals at the workers of a service beyond the first of each request, over all gateways: this
  /// share of its requests, and so many more in a window.
  double retryRatio = 0.2;
  double retrySlack = 10;
  std::uint32_t breakerFailures = 3;
  base::Duration breakerOpenFor = std::chrono::milliseconds(800);
  base::Duration demandInterval = std::chrono::milliseconds(500);
  /// From the acknowledgement of a document without a key until no gateway lets it through.
  base::Duration revocation = std::chrono::seconds(5);
};

/// Owns the exchanges in progress. Its view of workers and its document come from the registry's
/// leader; without one it goes on with what it knows, but never back to an older document. What it
/// knows of keys counts only while it is confirmed (DocumentLease): else requests that need one are
/// refused as not run.
class Gateway : public net::RequestHandler, public ExchangeContext, private ShareView {
 public:
  Gateway(const GatewayOptions& options, event::Scheduler& scheduler, const RequestDialect& dialect,
          AttemptLauncher& launcher, RegistrySession& session, runtime::EventLog& log,
          runtime::MetricsSink& metrics);
  ~Gateway() override;

  void start();
  /// @return the document in force; null while there is none.
  std::shared_ptr<const catalog::Document> document() const;
  void viewReceived(const registry::ViewUpdate& update);
  void suspectsReceived(const registry::SuspectList& list);
  /// The first view of a leader is there.
  /// @param told whether it has told of suspects before: else there are none.
  void leaderFollowed(bool told);
  /// Takes a document if it is newer than the one in force.
  /// @return true if it was taken.
  bool documentReceived(std::shared_ptr<const catalog::Document> document);
  void documentConfirmed(const registry::DocumentConfirmed& answer);
  void quotaGranted(const registry::QuotaGrant& grant);
  void lateModelsReceived(const registry::LateModels& late);
  void sharesGranted(const registry::ShareGrant& grant);
  /// @return the version by whose keys a request would be let through now; 0: none would be.
  std::uint64_t keysInForce() const;

  /// @return true if the leader has told of a newer document than the one in force.
  bool behind() const { return newestVersion_ > documentVersion(); }

  /// @return true if requests can be let through and the gateway is not stopping.
  bool ready() const;
  void beginStop() { stopping_ = true; }
  /// From now on streams are refused: the process may end before they would.
  void refuseStreams() { refusingStreams_ = true; }
  /// From now on every request is refused, those that wait for a worker too: the process is about
  /// to end.
  void refuseAll();
  /// Gives up what still runs.
  void giveUpAll();
  std::size_t exchangeCount() const { return exchanges_.size(); }
  /// @return workers that have gone since the last call.
  std::vector<registry::WorkerId> takeGoneWorkers() { return directory_.takeGone(); }

  // net::RequestHandler
  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override;

  // ExchangeContext
  event::Scheduler& scheduler() override { return scheduler_; }
  const RequestDialect& dialect() const override { return dialect_; }
  AttemptLauncher& launcher() override { return launcher_; }
  WorkerSelector& selector() override { return selector_; }
  runtime::EventLog& log() override { return log_; }
  runtime::MetricsSink& metrics() override { return metrics_; }
  bool takeRetry(const std::string& service) override;
  void waitBegan(const std::string& service, const RequestFacts& facts,
                 const catalog::Route& route) override;
  void waitEnded(const std::string& service, const RequestFacts& facts) override;
  void attemptBegan(Worker& worker, const RequestFacts& facts) override;
  void attemptEnded(Worker& worker, const RequestFacts& facts) override;
  void attemptFailed(Worker& worker) override;
  void attemptSettled(const Worker& worker, const RequestFacts& facts,
                      AttemptOutcome outcome) override;
  bool watchesRequests() const override { return quarantine_.watching(); }
  std::optional<RequestQuarantine::Verdict> verdictOn(
      const registry::RequestDigest& request) const override;
  void requestCut(const Worker& worker, const registry::RequestDigest& request,
                  bool begun) override;
  void suspectAnswered(const registry::RequestDigest& request) override;
  void answerRead(const Worker& worker, const AnswerFacts& answer, base::TimePoint sentAt) override;
  void shareWaitBegan(const registry::WorkerId& worker) override;
  void shareWaitEnded(const registry::WorkerId& worker) override;
  void takeShare(const registry::WorkerId& worker) override;
  std::optional<base::TimePoint> expectedAt(const std::string& service,
                                            const std::string& model) const override;
  std::uint64_t documentVersion() const override;
  bool leaderKnown() const override { return session_.following(); }
  void ended(Exchange& exchange, int status) override;

 private:
  /// Assumed until the registry tells: rather too many.
  static constexpr std::uint32_t kUnknownGateways = 16;
  static constexpr base::Duration kRetryAfterRefusal = std::chrono::milliseconds(200);

  // ShareView
  ShareStanding standing(const registry::WorkerId& worker) override;
  bool limited(const registry::WorkerId& worker) const override {
    return limits_.limitOf(worker).has_value();
  }
  base::Duration shareRetryAfter(const registry::WorkerId& worker) override;

  /// A request that came before any document was known.
  struct EarlyRequest {
    net::HttpRequest request;
    net::ResponseSink* sink = nullptr;
    base::TimePoint arrivedAt;
  };

  /// A request that has been let in, and waits for its tenant's quota.
  struct UnpaidRequest {
    net::HttpRequest request;
    net::ResponseSink* sink = nullptr;
    RequestFacts facts;
    std::shared_ptr<const catalog::Document> document;  ///< Keeps the route alive.
    const catalog::Route* route = nullptr;
    base::TimePoint arrivedAt;
    base::TimePoint until;       ///< When it is refused.
    std::uint64_t question = 0;  ///< The first one that asks for it; 0: none yet.
  };
  using UnpaidRequests = std::list<UnpaidRequest>;

  /// @return true once a request can be judged at all.
  bool prepared() const;
  const catalog::Tenant* authenticate(RequestFacts& facts, net::ResponseSink& sink);
  void noteLease(base::TimePoint now);
  void countTenant(const std::string& tenant, int status);
  void askForDocument();
  void askForQuota(bool all);
  void askForQuotaSoon();
  bool sharesLimits() const;
  void takeLimits(const registry::ViewUpdate& update);
  void noteLimitChange(const std::optional<WorkerLimits::Change>& change, std::string_view source);
  void noteUnreadableLimit(const Worker& worker, const base::Error& error);
  void reportLimits();
  void reportLimitsSoon();
  void askForShares(bool all);
  void askForSharesSoon();
  void reviewShares();
  base::Duration shareInterval() const;
  void wakeShareWaiters();
  void reviewQuota();
  void waitForQuota(UnpaidRequest unpaid);
  void settleUnpaid(const std::string& tenant, std::uint64_t question, base::Duration retryAfter);
  void admit(UnpaidRequest admitted);
  /// @param waited time that the request has spent here.
  void routeRequest(net::HttpRequest request, net::ResponseSink& sink, base::Duration waited);
  void keepEarly(net::HttpRequest request, net::ResponseSink& sink);
  void routeEarly();
  void refuseLateEarly();
  void refuse(net::ResponseSink& sink, const std::string& requestId, int status,
              std::string_view reason, base::Duration retryAfter = kRetryAfterRefusal,
              const std::string& tenant = {});
  const std::string& pickService(const catalog::Route& route);
  routing::RetryBudget& budgetOf(const std::string& service);
  void reportDemand();
  void reportDemandSoon();
  void reportCuts();
  void reportCutsSoon();
  void reportUseSoon(const Worker& worker, const std::string& model);
  void reportWithinSpacing();
  void noteNewest(std::uint64_t version);
  void wakeWaiting();
  /// Calls a method of all exchanges in the order of their arrival; it may end them.
  void forEachExchange(void (Exchange::*method)());

  const GatewayOptions options_;
  event::Scheduler& scheduler_;
  const RequestDialect& dialect_;
  AttemptLauncher& launcher_;
  RegistrySession& session_;
  runtime::EventLog& log_;
  runtime::MetricsSink& metrics_;
  std::shared_ptr<const catalog::Document> document_;
  std::unique_ptr<catalog::RouteTable> routes_;
  std::unique_ptr<KeyTable> keys_;
  DocumentLease lease_;
  bool leaseNoted_ = false;  ///< Whether it was valid, as last logged.
  event::TimerPtr leaseTimer_;
  QuotaAccount quota_;
  std::map<std::string, UnpaidRequests> unpaid_;  ///< By tenant; no list is empty.
  std::size_t unpaidCount_ = 0;
  std::set<std::string> countedTenants_;  ///< That have a metric of their own.
  event::TimerPtr quotaTimer_;
  bool quotaSoon_ = false;
  std::uint64_t newestVersion_ = 0;  ///< That the leader has told of.
  base::TimePoint newestSince_;      ///< When it told of that first.
  WorkerDirectory directory_;
  WorkerLimits limits_;
  std::set<registry::WorkerId> unreadableLimits_;  ///< Workers whose last limit could not be read.
  event::TimerPtr shareTimer_;
  std::size_t shareWaiters_ = 0;
  bool sharesSoon_ = false;
  bool limitsSoon_ = false;
  WorkerSelector selector_;
  DemandTracker demand_;
  RequestQuarantine quarantine_;
  /// By service and model, when those that come late are expected.
  std::map<std::pair<std::string, std::string>, base::TimePoint> lateModels_;
  base::TimePoint lateModelsUntil_;  ///< The leader's word counts so long.
  bool cutsSoon_ = false;
  event::TimerPtr demandTimer_;
  bool demandSoon_ = false;
  base::TimePoint quietUntil_;  ///< The last report had nothing: another such one is no news.
  base::TimePoint demandReportedAt_;
  base::TimePoint demandDueAt_;
  std::uint32_t gateways_ = kUnknownGateways;
  std::map<std::string, routing::RetryBudget> budgets_;             ///< By service.
  std::map<std::string, std::map<std::string, double>> rotations_;  ///< By route, by service.
  /// By their numbers, so that those that wait are woken in the order of their arrival: in the
  /// order of addresses the latest could take the place that the first one waits for, and no run of
  /// the simulator could be repeated.
  std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::uint64_t lastExchange_ = 0;
  std::list<EarlyRequest> early_;
  event::TimerPtr earlyTimer_;
  bool stopping_ = false;
  bool refusingStreams_ = false;
  bool refusingAll_ = false;
};

}  // namespace walnut::gateway
