#pragma once
/// @file
/// The gateway's logic: admits requests of callers and routes them to workers of services.

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gateway/buffer_budget.h"
#include "gateway/demand_tracker.h"
#include "gateway/document_lease.h"
#include "gateway/exchange.h"
#include "gateway/gateway_count.h"
#include "gateway/key_table.h"
#include "gateway/late_starts.h"
#include "gateway/part_quarantine.h"
#include "gateway/quota_account.h"
#include "gateway/quota_wait.h"
#include "gateway/registry_session.h"
#include "gateway/request_quarantine.h"
#include "gateway/stream_origins.h"
#include "gateway/timing_recorder.h"
#include "gateway/view_marks.h"
#include "gateway/worker_limits.h"
#include "gateway/worker_time_model.h"
#include "routing/retry_budget.h"
#include "walnut/catalog/route_table.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::gateway {

struct GatewayOptions {
  WorkerSelectorOptions selection;
  /// Retry budget of a service, over all gateways: attempts that reach its workers beyond the first
  /// of each request may number this fraction of its requests, plus `retrySlack` in a window.
  double retryRatio = 0.2;
  double retrySlack = 10;
  std::uint32_t breakerFailures = 3;
  base::Duration breakerOpenFor = std::chrono::milliseconds(800);
  base::Duration demandInterval = std::chrono::milliseconds(500);
  /// Maximum time from the acknowledgement of a document that revokes a key until no gateway
  /// accepts the key any more.
  base::Duration revocation = std::chrono::seconds(5);
  /// Maximum bytes held for all callers together.
  std::size_t bufferLimitBytes = BufferBudget::kUnlimited;
};

/// The request router of one gateway process. It owns the exchanges in progress. Its view of the
/// workers and its document (the configuration) come from the registry's leader. Without a leader
/// it continues with the last known state, but never returns to an older document. Its knowledge of
/// keys counts only while confirmed (DocumentLease): otherwise requests that need a key are refused
/// as not run.
class Gateway : public net::RequestHandler, public ExchangeContext, private ShareLookup {
 public:
  Gateway(const GatewayOptions& options, event::Scheduler& scheduler, const RequestDialect& dialect,
          AttemptLauncher& launcher, RegistrySession& session, runtime::EventLog& log,
          runtime::MetricsSink& metrics);
  ~Gateway() override;

  void start();
  /// @return the document in force; null before the first one was received.
  std::shared_ptr<const catalog::Document> document() const;
  void viewReceived(const registry::ViewUpdate& update);
  void suspectsReceived(const registry::SuspectList& list);
  void suspectPartsReceived(const registry::SuspectPartList& list);
  /// Called when the first view of a newly followed leader has come.
  /// @param gotSuspects true if the leader has sent a list of suspect requests before the view:
  /// otherwise there are none.
  /// @param gotSuspectParts the same for suspect parts of prompts.
  void leaderFollowed(bool gotSuspects, bool gotSuspectParts = false);
  /// Puts a document in force if it is newer than the present one.
  /// @return true if it was put in force.
  bool documentReceived(std::shared_ptr<const catalog::Document> document);
  void documentConfirmed(const registry::DocumentConfirmed& answer);
  void quotaGranted(const registry::QuotaGrant& grant);
  void lateModelsReceived(const registry::LateModels& late);
  void forecastsReceived(const registry::ModelForecasts& forecasts);
  void sharesGranted(const registry::ShareGrant& grant);
  void timingsReceived(const registry::WorkerTimings& update);
  void streamOriginReceived(const registry::StreamOriginFound& answer) {
    streamOrigins_.answerReceived(answer);
  }
  void startingRetriesReceived(const registry::StartingRetries& grant);
  /// @return the version of the document by whose keys a request would be admitted now; 0: keys are
  /// not confirmed.
  std::uint64_t admittingDocumentVersion() const;

  /// @return true if the leader has announced a newer document than the one in force.
  bool isBehind() const { return newestVersion_ > documentVersion(); }

  /// @return true if requests can be admitted and the gateway is not shutting down.
  bool ready() const;
  /// Refuses from now on what may still run at `stopsAt`, and says that it is not ready.
  void beginStop(base::TimePoint stopsAt) { stopsAt_ = stopsAt; }
  /// Refuses new streams from now on: the process may shut down before they are complete.
  void refuseStreams() { refusingStreams_ = true; }
  /// Refuses every request from now on, also those that wait for a worker: the process is about to
  /// shut down.
  void refuseAll();
  /// Cancels all requests that still run.
  void cancelAll();
  std::size_t exchangeCount() const { return exchanges_.size(); }
  /// @return the number of gateways by which it divides what all gateways share.
  std::uint32_t gatewayCount() const { return gatewayCount_.value(); }
  /// @return the use of this process's retry budgets, added up over the services.
  routing::RetryBudget::Usage retryUsage();
  /// @return workers that were removed since the last call.
  std::vector<registry::WorkerId> takeRemovedWorkers() { return directory_.takeRemoved(); }

  // net::RequestHandler
  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override;
  bool reserveBody(std::size_t bytes) override;
  void releaseBody(std::size_t bytes) override;

  // ExchangeContext
  event::Scheduler& scheduler() override { return scheduler_; }
  const RequestDialect& dialect() const override { return dialect_; }
  AttemptLauncher& launcher() override { return launcher_; }
  WorkerSelector& selector() override { return selector_; }
  runtime::EventLog& log() override { return log_; }
  runtime::MetricsSink& metrics() override { return metrics_; }
  bool takeRetry(const std::string& service, const RequestFacts& facts) override;
  bool reserveRetry(const std::string& service) override;
  bool useReservedRetry(const std::string& service) override;
  void releaseReservedRetry(const std::string& service) override;
  void waitBegan(const std::string& service, const RequestFacts& facts,
                 const catalog::Route& route) override;
  void waitEnded(const std::string& service, const RequestFacts& facts) override;
  void versionWaitBegan(const std::string& service, const RequestFacts& facts,
                        const std::string& version) override;
  void versionWaitEnded(const std::string& service, const RequestFacts& facts,
                        const std::string& version) override;
  void attemptBegan(Worker& worker, const RequestFacts& facts) override;
  void attemptEnded(Worker& worker, const RequestFacts& facts) override;
  void attemptFailed(Worker& worker) override;
  void attemptSettled(const Worker& worker, const RequestFacts& facts,
                      AttemptOutcome outcome) override;
  bool hasSuspects() const override { return quarantine_.isActive(); }
  std::optional<RequestQuarantine::Classification> classificationOf(
      const registry::RequestDigest& request) const override;
  void requestCut(const Worker& worker, const registry::RequestDigest& request,
                  const std::vector<registry::PromptPartDigest>& parts, bool begun) override;
  void suspectAnswered(const registry::RequestDigest& request) override;
  bool hasSuspectParts() const override { return partQuarantine_.isActive(); }
  std::optional<PartQuarantine::Refusal> refusalOf(
      const std::vector<registry::PromptPartDigest>& parts, std::uint64_t request,
      bool mayBeTried) override {
    return partQuarantine_.find(parts, request, mayBeTried, scheduler_.now());
  }
  void partsAnswered(const std::vector<registry::PromptPartDigest>& parts) override;
  void responseHeadReceived(const Worker& worker, const AnswerFacts& answer,
                            base::TimePoint sentAt) override;
  void shareWaitBegan(const registry::WorkerId& worker) override;
  void shareWaitEnded(const registry::WorkerId& worker) override;
  void takeShare(const registry::WorkerId& worker) override;
  void streamBegan(const Worker& worker, const RequestFacts& facts, base::TimePoint sentAt,
                   bool wasFull) override;
  void streamPaused(const Worker& worker) override;
  std::optional<ModelAvailability> availabilityOf(const std::string& service,
                                                  const std::string& model) const override;
  LateStarts& lateStarts() override { return lateStarts_; }
  BufferBudget& buffers() override { return buffers_; }
  StreamOrigins& streamOrigins() override { return streamOrigins_; }
  bool isRecordCurrent(const Worker& worker) const override;
  std::optional<base::TimePoint> stopsAt() const override { return stopsAt_; }
  RunTimes& runTimes() override { return runTimes_; }
  std::uint64_t documentVersion() const override;
  bool hasLeader() const override { return session_.following(); }
  void exchangeEnded(Exchange& exchange, int status) override;

 private:
  /// Number of gateways assumed until the registry announces it: rather too high, so that all
  /// gateways together keep within what they share.
  static constexpr std::uint32_t kInitialGatewayCount = 16;
  static constexpr base::Duration kRetryAfterRefusal = std::chrono::milliseconds(200);

  // ShareLookup
  ShareState shareState(const registry::WorkerId& worker) override;
  bool limited(const registry::WorkerId& worker) const override {
    return limits_.limitOf(worker).has_value();
  }
  base::Duration shareRetryAfter(const registry::WorkerId& worker) override;

  /// A request that came before the gateway was prepared to route it.
  struct EarlyRequest {
    net::HttpRequest request;
    net::ResponseSink* sink = nullptr;
    base::TimePoint arrivedAt;
    BufferBudget::Share held;
  };

  /// An authenticated request whose cost has to be taken from its tenant's quota.
  struct PendingRequest {
    net::HttpRequest request;
    net::ResponseSink* sink = nullptr;
    RequestFacts facts;
    std::shared_ptr<const catalog::Document> document;  ///< Keeps the route alive.
    const catalog::Route* route = nullptr;
    base::TimePoint arrivedAt;
    base::TimePoint until;            ///< It is refused then.
    bool leaderless = false;          ///< It has waited while no leader answered.
    std::uint64_t quotaSequence = 0;  ///< First quota request that covers it; 0: none.
    BufferBudget::Share held;
  };
  using PendingRequests = std::list<PendingRequest>;

  /// @return true once requests can be routed and authenticated at all.
  bool isPrepared() const;
  const catalog::Tenant* authenticate(RequestFacts& facts, net::ResponseSink& sink);
  void logLeaseChange(base::TimePoint now);
  void countTenant(const std::string& tenant, int status);
  /// @return true unless the held document has no keys.
  bool needsConfirmation() const { return document_ == nullptr || document_->keyed; }
  void renewLease();
  void markView();
  void noteViewAge(const registry::ViewUpdate& update);
  void requestQuota(bool all);
  void requestQuotaSoon();
  void scheduleQuotaReview();
  bool sharesLimits() const;
  void applyLimits(const registry::ViewUpdate& update);
  void logLimitChange(const std::optional<WorkerLimits::Change>& change, std::string_view source);
  void logUnreadableLimit(const Worker& worker, const base::Error& error);
  void reportLimits();
  void reportLimitsSoon();
  void requestShares(bool all);
  void requestSharesSoon();
  void reviewShares();
  base::Duration shareInterval() const;
  void wakeShareWaiters();
  void reviewQuota();
  void queueForQuota(PendingRequest pending);
  /// @param paid receives the requests to be admitted.
  void settlePending(const std::string& tenant, std::uint64_t quotaSequence,
                     base::Duration retryAfter, std::vector<PendingRequest>& paid);
  void admitPaid(std::vector<PendingRequest> paid);
  LeaderContact leaderContact() const;
  void recordLeaderAnswering(bool answering);
  void extendWait(PendingRequest& pending);
  void countLeaderlessWait(const PendingRequest& pending, const char* outcome);
  void admit(PendingRequest admitted);
  /// @param waited time that the request has spent here.
  void routeRequest(net::HttpRequest request, net::ResponseSink& sink, base::Duration waited);
  void queueEarly(net::HttpRequest request, net::ResponseSink& sink);
  void routeEarly();
  void refuseExpiredEarly();
  void prepareBuffers();
  BufferBudget::Share shareOf(const net::HttpRequest& request);
  bool refuseAtBufferLimit(const net::HttpRequest& request, net::ResponseSink& sink,
                           const std::string& requestId);
  void reviewBufferLimit();
  void logBufferLimit(runtime::LogEvent event);
  void refuse(net::ResponseSink& sink, const std::string& requestId, int status,
              std::string_view reason, base::Duration retryAfter = kRetryAfterRefusal,
              const std::string& tenant = {});
  const std::string& pickService(const catalog::Route& route);
  routing::RetryBudget& budgetOf(const std::string& service);
  void gatewaysAnnounced(std::uint32_t count);
  void requestStartingRetries();
  void refreshTimedServices();
  void refreshTimings(const registry::ViewUpdate& update);
  void recordPromptSent(const Worker& worker, const RequestFacts& facts);
  bool poolsTimings() const;
  void reportTimings();
  void reportDemand();
  void reportVersionDemand();
  void reportDemandSoon();
  void reportCuts();
  void reportPartsAnswered();
  void reportCutsSoon();
  void reportUseSoon(const Worker& worker, const std::string& model);
  void reportWithinSpacing();
  void recordNewestVersion(std::uint64_t version);
  void wakeWaiting();
  /// Calls a method of all exchanges in the order of their arrival. The method may end exchanges.
  void forEachExchange(void (Exchange::*method)());

  const GatewayOptions options_;
  event::Scheduler& scheduler_;
  const RequestDialect& dialect_;
  AttemptLauncher& launcher_;
  RegistrySession& session_;
  runtime::EventLog& log_;
  runtime::MetricsSink& metrics_;
  BufferBudget buffers_;
  bool buffersSoon_ = false;
  bool buffersFull_ = false;  ///< The limit has been reached, as last logged.
  std::shared_ptr<const catalog::Document> document_;
  std::unique_ptr<catalog::RouteTable> routes_;
  std::unique_ptr<KeyTable> keys_;
  DocumentLease lease_;
  bool wasLeaseValid_ = false;  ///< Validity of the lease as last logged.
  event::TimerPtr leaseTimer_;
  event::TimerPtr markTimer_;
  QuotaAccount quota_;
  std::map<std::string, PendingRequests> pendingRequests_;  ///< By tenant; without empty lists.
  std::size_t pendingCount_ = 0;
  std::set<std::string> countedTenants_;  ///< Tenants with a metric of their own.
  event::TimerPtr quotaTimer_;
  std::optional<base::TimePoint> quotaReviewAt_;  ///< When `quotaTimer_` runs.
  bool quotaSoon_ = false;
  bool quotaLeaderless_ = false;  ///< No leader answers about quotas, as last logged.
  base::TimePoint quotaLeaderlessSince_;
  std::uint64_t newestVersion_ = 0;  ///< Newest document that the leader has announced.
  base::TimePoint newestSince_;      ///< First announcement of `newestVersion_`.
  WorkerDirectory directory_;
  WorkerLimits limits_;
  std::set<registry::WorkerId> unreadableLimits_;  ///< Workers that sent unreadable limits.
  event::TimerPtr shareTimer_;
  std::size_t shareWaiters_ = 0;
  bool sharesSoon_ = false;
  bool limitsSoon_ = false;
  TimingRecorder timingRecorder_;
  WorkerTimeModel timeModel_;
  WorkerSelector selector_;
  LateStarts lateStarts_;
  DemandTracker demand_;
  RequestQuarantine quarantine_;
  PartQuarantine partQuarantine_;
  AvailabilityTable availability_;
  StreamOrigins streamOrigins_;
  bool cutsSoon_ = false;
  event::TimerPtr demandTimer_;
  bool demandSoon_ = false;
  base::TimePoint nextEmptyReportAt_;  ///< No further empty report is sent before.
  base::TimePoint demandReportedAt_;
  base::TimePoint demandDueAt_;
  const base::TimePoint startedAt_;  ///< Of the process.
  ViewMarks viewMarks_;
  base::TimePoint viewKnownAt_;  ///< The leader knew what the last views say then, or later.
  GatewayCount gatewayCount_{kInitialGatewayCount};
  std::map<std::string, routing::RetryBudget> budgets_;  ///< By service.
  bool followedBefore_ = false;                          ///< This process has followed a leader.
  /// When this process asked for starting retries, if it did.
  std::optional<base::TimePoint> startingRetriesAskedAt_;
  std::uint32_t startingRetries_ = 0;                               ///< Granted to each service.
  std::map<std::string, std::map<std::string, double>> rotations_;  ///< By route, by service.
  /// Ordered by number, so that waiting requests are woken in the order of their arrival: ordered
  /// by address, the latest could take the slot that the first one waits for, and no run of the
  /// simulator could be reproduced.
  std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::uint64_t lastExchange_ = 0;
  std::list<EarlyRequest> early_;
  event::TimerPtr earlyTimer_;
  std::optional<base::TimePoint> stopsAt_;
  RunTimes runTimes_;
  bool refusingStreams_ = false;
  bool refusingAll_ = false;
};

}  // namespace walnut::gateway
