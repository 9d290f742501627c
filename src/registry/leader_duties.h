#pragma once
/// @file
/// The tasks of the leading server: it receives reports of workers and gateways, publishes the
/// view, decides placements and sends the orders that carry them out.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/cell_state.h"
#include "registry/crash_monitor.h"
#include "registry/demand_book.h"
#include "registry/document_cache.h"
#include "registry/document_sender.h"
#include "registry/late_model_announcer.h"
#include "registry/load_backoff.h"
#include "registry/order_times.h"
#include "registry/placement.h"
#include "registry/planning_pool.h"
#include "registry/quota_ledger.h"
#include "registry/registration_times.h"
#include "registry/starting_retry_pool.h"
#include "registry/stream_origin_book.h"
#include "registry/view_publisher.h"
#include "registry/worker_index.h"
#include "registry/worker_limit_tracker.h"
#include "registry/worker_outlier_detector.h"
#include "registry/worker_status.h"
#include "registry/worker_timing_book.h"
#include "walnut/registry/registry.h"
#include "walnut/registry/view_codec.h"

namespace walnut::registry {

/// Soft state and tasks of one leadership; none of this state survives it. Holds a reference to the
/// replicated state, which the owner changes and then reports by `stateChanged`.
class LeaderDuties {
 public:
  /// @param turns times at which workers were last ordered; maintained by the owner.
  /// @param registrations registration times of workers; maintained by the owner; null: unknown.
  /// @param lastTakeoverAt when this process last saw another server take over the order lease.
  LeaderDuties(const RegistryOptions& options, DocumentCache& documents, const CellState& state,
               consensus::Term term, base::ServerId self, runtime::EventLog& log,
               base::TimePoint now, const OrderTimes& turns,
               std::optional<base::TimePoint> lastTakeoverAt = std::nullopt,
               const RegistrationTimes* registrations = nullptr);

  /// @return true if this heartbeat requires a change of the worker's replicated record.
  bool heartbeat(const Heartbeat& heartbeat, base::TimePoint now);
  /// Takes heartbeats that another server has acknowledged.
  /// @return the workers whose heartbeats this leader needs in full.
  HeartbeatRequest heartbeats(const HeartbeatBatch& batch, base::TimePoint now);
  /// @param zone zone of the gateway.
  /// @param featureLevel feature level that the gateway supports.
  void subscribe(protocol::ConnectionId gateway, const Subscribe& request,
                 const base::ZoneId& zone = {}, std::uint32_t featureLevel = 0);
  void unsubscribe(protocol::ConnectionId gateway);
  void documentPartAcknowledged(protocol::ConnectionId gateway, const DocumentPartAck& taken) {
    sender_.partTaken(gateway, taken.cursor);
  }
  void demand(protocol::ConnectionId gateway, const DemandUpdate& update, base::TimePoint now);
  void versionDemand(protocol::ConnectionId gateway, const VersionDemand& demand);
  /// Sends the gateway a view with its mark. The leader must hold its lease.
  void markView(protocol::ConnectionId gateway, const MarkView& message, base::TimePoint now) {
    publisher_.setMark(gateway, message.mark, now);
  }
  void cutsReported(const CutReport& report, base::TimePoint now) { crashes_.report(report, now); }
  void cutPartsReported(const CutPartsReport& report) { crashes_.reportParts(report); }
  void partsAnswered(const PartsAnswered& report, base::TimePoint now) {
    crashes_.reportAnswered(report, now);
  }
  /// To be called only while this server holds a valid leader lease, as another leader would grant
  /// from the same quotas.
  void quotaRequested(protocol::ConnectionId gateway, const QuotaRequest& request,
                      base::TimePoint now);
  void handleLimitReport(protocol::ConnectionId gateway, const LimitReport& report,
                         base::TimePoint now);
  /// To be called only while this server holds a valid leader lease, as with quotas.
  void sharesRequested(protocol::ConnectionId gateway, const ShareRequest& request,
                       base::TimePoint now);
  /// To be called only while this server holds a valid leader lease, as with quotas.
  void startingRetriesRequested(protocol::ConnectionId gateway,
                                const StartingRetriesRequest& request, base::TimePoint now);
  void timingsReported(protocol::ConnectionId gateway, const WorkerTimingReport& report,
                       base::TimePoint now);
  void streamsBegan(const StreamsBegan& report, base::TimePoint now);
  /// @param leaseValid whether this server certainly leads at `now`: otherwise workers of versions
  /// that it doesn't know may have been registered.
  void findStreamOrigin(protocol::ConnectionId gateway, const FindStreamOrigin& question,
                        base::TimePoint now, bool leaseValid);
  void orderFinished(const OrderFinished& finished, base::TimePoint now);
  void reportFinished(const ReportFinished& finished, base::TimePoint now);
  /// Sends the orders of a batch, which is committed to the log now, unless that took too long.
  void ordersRecorded(std::uint64_t batch, base::TimePoint now, bool leaseValid);
  /// To be called after each change of the replicated state.
  void stateChanged(base::TimePoint now);

  /// What a leader may do now.
  struct Authority {
    bool hasLease = false;           ///< It certainly leads now; otherwise no orders are sent.
    bool maySendToGateways = false;  ///< It has led since it sent them something before.
  };
  /// Runs all tasks that are due.
  /// @return true if gateways were sent something.
  bool run(base::TimePoint now, Authority authority, const std::vector<base::Endpoint>& servers);

  std::vector<RegistryAction> takeActions() { return std::exchange(actions_, {}); }
  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  base::TimePoint nextWakeup() const;
  std::vector<protocol::ConnectionId> gateways() const { return publisher_.gateways(); }
  WorkerTimingMaxima timingMaxima() const { return timings_.maxima(); }
  /// @return how many workers may be sent an order for a model now.
  std::size_t orderableWorkers(base::TimePoint now) const;

 private:
  /// Most streams whose origins are remembered.
  static constexpr std::size_t kMaxStreams = 200'000;

  struct SentOrder {
    PlacementStep step;
    base::TimePoint sentAt;
  };
  /// Orders whose log entry is not committed yet.
  struct Batch {
    std::vector<PlacementStep> steps;
    base::TimePoint plannedAt;
  };

  void refreshDocument(base::TimePoint now);
  void applyWorkerChanges(base::TimePoint now);
  void refreshAllWorkers(base::TimePoint now);
  void removeWorkers(const std::set<WorkerId>& gone, base::TimePoint now);
  void markChanged(const WorkerId& id);
  void detectSuspension(base::TimePoint now);
  void checkOverdueWorkers(base::TimePoint now);
  void handleContact(const WorkerId& id, WorkerStatus& status, bool wasSilent, base::TimePoint now);
  void checkSilence(const WorkerId& id, WorkerStatus& status, base::TimePoint now);
  void scheduleSilenceCheck(const WorkerId& id, WorkerStatus& status, base::TimePoint at);
  base::Duration heartbeatTime(double count) const;
  base::TimePoint lastContact(const WorkerStatus& status) const;
  void reviewCrashes(base::TimePoint now);
  void sendSuspects(base::TimePoint now);
  void sendSuspectsTo(protocol::ConnectionId gateway, base::TimePoint now);
  void subscribeToSuspectParts(protocol::ConnectionId gateway, std::uint32_t featureLevel);
  void sendSuspectParts(base::TimePoint now);
  void sendSuspectPartsTo(protocol::ConnectionId gateway, base::TimePoint now);
  bool takesPartTrial(protocol::ConnectionId gateway, base::TimePoint now) const;
  /// @return true if no new requests may be sent to the worker.
  bool outOfService(const WorkerRecord& record) const;
  bool canBeServed(const ModelDemand& demand) const;
  bool isPlain(const std::string& service) const { return plainServices_.count(service) != 0; }
  /// Marks the worker as cold: it started at that time, or its zone returned to service then.
  void markCold(const WorkerRecord& record, WorkerStatus& status, base::TimePoint at);
  void markColdWorkers();
  /// @return how many gateways may send to a cold worker; nothing: all of them.
  std::optional<std::size_t> maxGatewaysFor(const WorkerRecord& record, const WorkerStatus& status,
                                            base::TimePoint now) const;
  bool namesUnknownService(const Heartbeat& heartbeat) const;
  bool isOutdated(const Heartbeat& heartbeat, base::TimePoint now);
  bool contestsLiveWorker(const Heartbeat& heartbeat, base::TimePoint now);
  bool isUnresponsive(const WorkerId& id, const WorkerStatus& status, base::TimePoint now) const;
  void detectOutliers(base::TimePoint now);
  void logAnswerChanges();
  void logQuotaChanges();
  void logShareChanges();
  void refreshTimedServices();
  base::TimePoint startingRetriesFrom() const;
  void noteFeatureLevel(protocol::ConnectionId gateway, std::uint32_t featureLevel);
  void subscribeToTimings(protocol::ConnectionId gateway, std::uint32_t featureLevel);
  void sendTimings(base::TimePoint now);
  ModelForecasts modelForecasts() const;
  void subscribeToForecasts(protocol::ConnectionId gateway, std::uint32_t featureLevel);
  void sendFirstForecasts(protocol::ConnectionId gateway);
  void sendForecasts(protocol::ConnectionId gateway, const ModelForecasts& forecasts);
  void announceForecasts(base::TimePoint now);
  void storeHoldings(base::TimePoint now);
  void publish(base::TimePoint now, const std::vector<base::Endpoint>& servers);
  const std::vector<WorkerLoad>& recentLoads(base::TimePoint now);
  void sendDocument(base::TimePoint now);
  void refreshViews(base::TimePoint now);
  base::Duration planSpacing() const;
  void plan(base::TimePoint now);
  void planService(const catalog::Service& service, base::TimePoint now);
  void planLargeService(const catalog::Service& service, base::TimePoint now);
  void decide(const catalog::Service& service, const std::vector<PlacementWorker>& workers,
              const std::map<std::string, std::uint32_t>& outside, base::TimePoint now);
  bool isLarge(const std::string& service) const;
  bool replicasAreSlowToAdd(const std::string& service);
  /// @return true if only a fresh report is missing before the worker may be ordered.
  bool needsReport(const WorkerRecord& record, const WorkerStatus& status,
                   base::TimePoint now) const;
  std::size_t plannedWorkers() const;
  PlacementWorker placementWorker(const WorkerRecord& record, const WorkerStatus& status,
                                  base::TimePoint now) const;
  void issueOrders(const std::vector<PlacementStep>& steps, base::TimePoint now);
  void record(const std::vector<PlacementStep>& steps, base::TimePoint now);
  void recordAllWorkers(base::TimePoint now);
  void cancelUnrecorded(base::TimePoint now);
  void cancel(const PlacementStep& step, base::TimePoint now);
  void send(const PlacementStep& step, base::TimePoint now);
  bool mayOrder(const WorkerId& worker, base::TimePoint now) const;
  void requestReport(const WorkerRecord& record, WorkerStatus& status);
  void requestOverdueReports(base::TimePoint now);
  void refreshReports(base::TimePoint now);
  base::TimePoint takeoverAllowedAt(std::optional<base::TimePoint> lastTakeoverAt) const;
  bool ordersAllowed(base::TimePoint now) const;
  void claimOrderLease(base::TimePoint now);
  base::Duration expectedTime(const PlacementStep& step, const WorkerRecord& record,
                              const WorkerStatus& status) const;
  void logDecisions(PlacementPolicy& policy, const StoreScheduler& store, base::TimePoint now);
  void logStorePlaces(PlacementPolicy& policy);
  void countForeignLoads(const catalog::Service& service, StoreScheduler& store);
  StoreScheduler& storeOf(const std::string& service);
  PreviousLoads previousLoads() const;
  StoreScheduler* storeOfLoad(const WorkerId& worker);
  void handleWorkerEnd(const WorkerId& id, const WorkerStatus& status, base::TimePoint now);
  void logEndedOrder(const WorkerId& id, WorkerStatus& status, base::TimePoint now);
  WorkerStatus& statusOf(const WorkerId& id, base::TimePoint now);

  const RegistryOptions& options_;
  DocumentCache& documents_;
  const CellState& state_;
  const consensus::Term term_;
  const base::ServerId self_;
  runtime::EventLog& log_;
  const base::TimePoint since_;
  const OrderTimes& turns_;
  const RegistrationTimes* const registrations_;  ///< Null: none are known.
  /// Earliest takeover of the order lease, if another server held it last.
  const base::TimePoint takeoverAllowedAt_;

  std::shared_ptr<const catalog::Document> document_;
  base::TimePoint documentSince_;        ///< When this leader took over `document_`.
  std::set<std::string> plainServices_;  ///< Services of the document without engines.
  /// Services where replicas are slow to add, of the document `slowServicesOf_`.
  std::set<std::string> slowServices_;
  std::shared_ptr<const catalog::Document> slowServicesOf_;
  std::map<WorkerId, WorkerStatus> workers_;
  /// Unknown workers that sent a heartbeat from the endpoint of a live one, with its sequence.
  std::map<WorkerId, std::uint64_t> contests_;
  WorkerIndex index_;
  WorkerId poolStart_;  ///< Start of the planning pool: see choosePlanningPool.
  DemandBook demand_;
  QuotaLedger quotas_;
  WorkerLimitTracker limits_;
  StartingRetryPool startingRetries_{startingRetriesFrom()};
  /// Gateways of a lower level than `kStartingRetries`: they use the pool's part of the budgets.
  std::set<protocol::ConnectionId> olderGateways_;
  std::set<std::string> timedServices_;  ///< Services whose replicas are slow to add.
  WorkerTimingBook timings_;
  /// Revisions of `timings_` last sent to the gateways that support them; 0: none.
  std::map<protocol::ConnectionId, std::uint64_t> timingRevisions_;
  base::TimePoint timingRefusalLoggedAt_;
  StreamOriginBook streamOrigins_{kMaxStreams};
  WorkerOutlierDetector outliers_;
  CrashMonitor crashes_;
  std::set<protocol::ConnectionId> partGateways_;  ///< Gateways that support SuspectPartList.
  ViewPublisher publisher_;
  ViewEncoder viewEncoder_;
  std::vector<WorkerLoad> loads_;  ///< Loads as last collected, at `loadsTakenAt_`.
  base::TimePoint loadsTakenAt_;
  DocumentSender sender_;
  /// Gateways that wait for their complete view. The document follows that view, as a gateway takes
  /// no document parts before its first view from this leader.
  std::map<protocol::ConnectionId, Subscribe> subscriptions_;
  base::TimePoint publishAgainAt_;  ///< Next attempt to publish, while the lease is not valid.
  std::map<std::string, PlacementPolicy> policies_;  ///< By service.
  std::map<std::string, StoreScheduler> stores_;     ///< By service.
  std::map<std::string, LoadBackoff> backoffs_;      ///< By service.
  LateModelAnnouncer lateModelAnnouncer_;
  std::set<protocol::ConnectionId> forecastGateways_;  ///< Gateways that support ModelForecasts.
  /// Workers that accepted an order for a model or reported one in progress; some have finished it.
  std::set<WorkerId> busyWorkers_;
  std::map<std::uint64_t, SentOrder> orders_;
  std::uint64_t lastOrder_ = 0;
  std::map<std::uint64_t, Batch> batches_;
  std::uint64_t lastBatch_ = 0;
  bool holderProposed_ = false;
  bool isFirstHolder_ = false;  ///< No server of the cell has held the order lease before this one.
  bool allWorkersRecorded_ = false;
  bool fenced_ = false;  ///< A worker has seen a higher fencing token: this leadership is over.
  base::TimePoint nextPlan_;
  base::TimePoint lastPlanAt_;
  base::TimePoint nextCheck_;  ///< Next check for unresponsive workers and holdings to store.
  base::TimePoint lastCheck_;
  /// Start of the period in which this leader has received heartbeats without interruption.
  base::TimePoint receivingSince_;
  /// @name Workers whose view may have changed
  /// @{
  std::set<WorkerId> changed_;
  std::set<WorkerId> unsavedHoldings_;  ///< Workers whose holdings may differ from the log.
  std::multimap<base::TimePoint, WorkerId> changesAt_;  ///< Changes that only time brings about.
  std::uint64_t workerChanges_ = 0;  ///< Count of CellState's worker changes, as last processed.
  std::uint64_t zoneChanges_ = 0;    ///< Count of CellState's zone changes, as last processed.
  /// @}
  /// When each worker is next checked for silence; an entry is valid only if it equals the
  /// `nextSilenceCheck` of the worker's status.
  std::multimap<base::TimePoint, WorkerId> silenceChecks_;
  bool workersProcessed_ = false;  ///< All workers present at the start have been processed.
  bool planSoon_ = true;
  std::vector<RegistryAction> actions_;
  std::vector<Command> commands_;
};

}  // namespace walnut::registry
