#pragma once
/// @file
/// A leader, gateways, workers of a model service and their callers in virtual time, with workers
/// that say they are well and fail what they are sent, and requests that crash their workers; and
/// the account of which models and adapters were served, and of what such requests did.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "registry/leader_duties.h"
#include "simulator/limit_account.h"
#include "simulator/part_account.h"
#include "simulator/retry_account.h"
#include "simulator/serving_accounts.h"
#include "simulator/serving_gateway.h"
#include "simulator/serving_worker.h"
#include "simulator/stream_account.h"
#include "simulator/version_account.h"

namespace walnut::simulator {

struct ServingFleetOptions {
  std::uint64_t seed = 1;
  std::size_t gateways = 8;
  std::size_t workers = 12;
  std::size_t modelsPerWorker = 3;  ///< That fit.
  std::size_t models = 24;
  std::size_t adapters = 4;       ///< Of the first model.
  std::size_t popularModels = 4;  ///< They get `popularShare` of the requests, the first one most.
  double popularShare = 0.6;
  double requestsPerSecond = 24;
  double storeLoadsPerSecond = 12;
  /// Share of the requests whose route may not be repeated.
  double unrepeatableShare = 0.2;
  std::uint32_t retries = 1;  ///< Of a caller.
  /// Callers whose stream breaks take it up after the last event that they have, if its route
  /// permits that.
  bool callersTakeUp = false;
  /// @name Retries at gateways that are allowed per request, and in a window whatever the traffic
  /// @{
  double retryRatio = 0.2;
  double retrySlack = 10;
  /// @}
  /// Callers that are refused come back when they were told to, up to a third of their time left.
  /// False: all come back after the same short pause.
  bool callersHeedRetryAfter = false;
  /// A worker sends the head of its answer to a request that is about to crash it.
  bool crashingShowsHead = false;
  /// Prompts have parts, some of which they share.
  bool promptParts = false;
  /// A plain service, without models: its requests are answered whole.
  bool plain = false;
  base::Duration targetGap{0};  ///< Of streams, between two events; 0: none.
  /// False: leaders are of a build that knows nothing of limits, and each gateway keeps them alone.
  bool leaderSharesLimits = true;
  ServingWorkerOptions worker;
};

/// Requests for one model or adapter, by their callers.
struct ServedCount {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t lost = 0;  ///< Failed for good, or given up; the rest is under way.
  base::TimePoint firstAt;
  base::TimePoint lastAt;
};

/// What requests that crash their workers did, and what was done about them.
struct CrashAccount {
  std::uint64_t requests = 0;          ///< That crash their workers; each comes again and again.
  std::uint64_t sends = 0;             ///< Of them to workers.
  std::uint64_t crashes = 0;           ///< Of workers.
  std::uint64_t cutBeside = 0;         ///< Other requests that ended with a worker.
  std::uint64_t mostLateSends = 0;     ///< Of one request; see ServingFleet::crashAccount.
  std::uint64_t innocentsRefused = 0;  ///< Other requests, refused as if they did such things.
};

/// A part of prompts that crashes each worker that begins to answer a request with it.
struct CrashingPartOptions {
  base::Duration begin{0};     ///< Until the first request with it.
  base::Duration soundFor{0};  ///< Workers answer these for so long at first.
  base::Duration lasts{0};     ///< For which such requests come after that.
  double perSecond = 5;
  std::size_t place = 1;  ///< Among the parts of their prompts.
};

/// A worker that a request has crashed.
struct CrashRecord {
  struct Cut {
    std::string body;  ///< By which a request is known in all its tries.
    base::Duration age{0};
    bool causes = false;  ///< It crashes its workers.
  };
  base::TimePoint at;
  registry::WorkerId worker;
  std::vector<Cut> cut;
};

class ServingFleet : private ServingGatewayLinks {
 public:
  explicit ServingFleet(const ServingFleetOptions& options);
  ~ServingFleet() override;

  void run(base::Duration duration);

  /// @name Faults
  /// @{
  /// Gives so many workers that fault, drawn among those that have none.
  /// @return them.
  std::vector<std::size_t> failWorkers(std::size_t count, WorkerFault fault);
  /// The same from some time on until another, both from now.
  void failWorkers(base::Duration begin, base::Duration end, std::size_t count, WorkerFault fault);
  /// @}

  /// @name Requests that crash each worker that runs them, and what goes on beside
  /// @{
  /// Such a request comes again, under a new id and at any gateway, some time after each answer.
  void addCrashingRequest(base::Duration begin, base::Duration lasts, bool repeatable);
  void restartGateway(std::size_t gateway);
  void suspendGateway(std::size_t gateway, base::Duration duration);
  /// Runs it some time from now.
  void later(base::Duration delay, std::function<void(ServingFleet&)> fault);
  /// Another server leads after that time; until then nobody does.
  void changeLeader(base::Duration gap);
  /// Late sends are those by a gateway in touch, later than `kContact` after the request crashed
  /// its third worker. A gateway is in touch if within that time it was neither started nor
  /// suspended and the leader did not change.
  CrashAccount crashAccount() const;
  /// @return for each other request that was refused as if it crashed workers: at which crashes it
  /// was cut, and how often what was cut beside it had been by then, and is in the end.
  std::string describeRefused() const;
  static constexpr base::Duration kContact = std::chrono::seconds(3);
  static constexpr base::Duration kLinkDelay = std::chrono::milliseconds(3);
  /// @}

  /// @name Parts of prompts that crash workers
  /// @{
  void addCrashingPart(const CrashingPartOptions& options);
  /// @return what was found about each of them.
  std::vector<PartAccount> partAccounts() const;
  /// Sound requests from now on are not compared with those beside crashing parts.
  void beginDisruption() { disruptedAt_ = scheduler_.now(); }
  /// @}

  /// @name Limits that workers name
  /// @{
  void limitWorker(std::size_t worker, double perSecond);
  void endLimit(std::size_t worker);
  /// The gateway hears nothing of the leader for that time, nor it of the gateway.
  void cutGateway(std::size_t gateway, base::Duration duration);
  const LimitAccount& limitAccount() const { return limitAccount_; }
  /// @return arrivals at limited workers as a share of what their limits take.
  double limitUsed() const { return limitAccount_.used(scheduler_.now()); }
  const RefusalAccount& refusals() const { return refusals_; }
  const ReturnAccount& returns() const { return returns_; }
  const ForecastAccount& forecasts() const { return forecasts_; }
  /// Messages about shares of limits that gateways sent to leaders.
  std::uint64_t shareQuestions() const { return shareQuestions_; }
  std::string describe(const LimitWindow& window) const;
  /// @}

  const RetryAccount& retryAccount() const { return retryAccount_; }
  std::string describe(const RetryWindow& window) const;

  /// @name Streams beside workers that are silent for a while
  /// @{
  /// So many workers, drawn among those without a fault, are silent from some time on.
  void silenceWorkers(base::Duration begin, base::Duration duration, std::size_t count);
  /// Stores a new document, with another time-out of the routes.
  void changeDocument();
  const StreamAccount& streams() const { return streams_; }
  /// @return requests whose callers have not left and got no answer, though their deadline is over.
  std::size_t unanswered() const;
  /// @return what was wrong first with the events that a caller got; empty if nothing was.
  const std::string& streamError() const { return streamError_; }
  /// @return what gateways decided about the requests that they ended, if callers are traced.
  const std::string& describeEnded() const { return endedByGateway_; }
  /// @}

  /// @name Workers of several software versions
  /// @{
  /// From some time on half of the workers are replaced, one at a time, by new ones of that
  /// version.
  void releaseVersion(base::Duration begin, base::Duration pause, const std::string& version);
  /// So many workers crash, and are back a little later with the same version.
  void crashWorkers(base::Duration begin, std::size_t count);
  /// So many workers end, and are back at their endpoints under the names that they had.
  void restartInPlace(base::Duration begin, std::size_t count, base::Duration down,
                      const std::string& version);
  /// Connections between gateways and workers are reset, of a share of what is under way.
  void resetConnections(base::Duration begin, double share);
  const VersionAccount& versions() const { return versions_; }
  /// @}

  /// @name Gateways that are cut off from all workers
  /// @{
  /// The gateway reaches no worker for that time; callers and the leader reach it.
  void cutFromWorkers(std::size_t gateway, base::Duration duration, WorkerCut how);
  const FirstTryAccount& firstTries() const { return firstTries_; }
  /// @return how often leaders took a worker for failing.
  std::uint64_t ejections() const { return log_.ejections; }
  /// @}

  /// Only requests that are made from now on are counted.
  void countAnew() {
    counts_.clear();
    lost_.clear();
    refusals_ = {};
    returns_ = {};
    forecasts_ = {};
    toldTimes_.clear();
    streams_.countAnew();
    versions_ = {};
    ++counting_;
  }
  /// @return the models and adapters that were asked for four times or more, over `span` or longer,
  /// and never served.
  std::vector<std::string> neverServed(base::Duration span) const;
  /// @return how many of the models that `neverServed` would name no order of loads could have
  /// served from the store, knowing all requests in advance: at least so many end after their last
  /// caller has gone. Loads take no room here, and none is made twice.
  std::size_t leastNeverServed(base::Duration span) const;
  /// @return the share of the requests that were served, of those that are over.
  double servedShare() const;
  /// Keeps from now on what gateways decide about each request, until it is served.
  void traceCallers() { tracesCallers_ = true; }
  /// @return for each request that was lost since counting began what gateways decided about all
  /// its tries, and the loads of the models that such requests asked for.
  std::string describeLost() const;
  /// @return orders for models that were accepted.
  std::uint64_t modelOrders() const { return modelOrders_; }
  const StoreAccount& storeAccount() const { return storeAccount_; }
  /// @return how often a model was asked for, and when its loads and unloads were taken.
  std::string describeLoads(const std::string& model) const;
  /// @return requests that reached workers with a fault.
  std::uint64_t requestsToFailing() const { return requestsToFailing_; }

 private:
  struct Caller;
  class Reader;
  /// Of leaders.
  struct CountingLog : runtime::EventLog {
    void write(runtime::LogEvent event, std::initializer_list<runtime::EventField>) override {
      ejections += event == runtime::LogEvent::workerFailing ? 1 : 0;
    }
    std::uint64_t ejections = 0;
  };
  struct CutFromWorkers {
    base::TimePoint begin;
    base::TimePoint end;
    WorkerCut how = WorkerCut::hang;
  };
  /// A time after which a caller was told to come back, and when it was told so.
  struct ToldTime {
    base::TimePoint at;
    base::Duration told{0};
  };
  /// Another request that was refused as if it did.
  struct RefusedInnocent {
    base::TimePoint at;
    std::string body;
  };
  /// A request of which no try was served.
  struct LostRequest {
    std::string target;
    std::string body;
  };
  /// A request that crashes each worker that runs it.
  struct CrashingRequest {
    std::string target;
    std::vector<std::string> parts;
    bool repeatable = false;
    base::TimePoint until;  ///< It does not come again after.
    std::uint64_t tries = 0;
    std::uint64_t crashes = 0;
    base::TimePoint thirdCrashAt = base::kNever;
    std::uint64_t lateSends = 0;
  };

  struct CrashingPart {
    CrashingPartOptions options;
    base::TimePoint crashesFrom;
    base::TimePoint until;
    PartAccount account;
  };

  // ServingGatewayLinks
  void toLeader(std::size_t gateway, registry::MessageBody message) override;
  void toWorker(std::size_t gateway, const registry::WorkerRecord& worker,
                std::shared_ptr<ServingCall> call) override;
  bool isUp(const registry::WorkerId& process) const override;
  void logged(std::size_t gateway, runtime::LogEvent event,
              std::initializer_list<runtime::EventField> fields) override;

  void lead();
  std::uint32_t leaderLevel() const;
  void startGateway(std::size_t index);
  void runLeader();
  void carryOut(const registry::RegistryAction& action);
  void order(const registry::SendOrder& order);
  /// @return seconds.
  double sinceStart(base::TimePoint time) const;
  bool othersNeedTheStore() const;
  void noteModelOrder(const registry::SendOrder& order, const ServingWorker& worker);
  void heard(ServingWorker& worker);
  void beat(std::size_t worker);
  void ask();
  std::string drawTarget();
  void send(const Caller& from);
  void leave(Caller& caller);
  void received(Caller& caller);
  void streamCompleted(Caller& caller);
  void noteStreamError(const Caller& caller);
  std::vector<std::size_t> drawServing(std::size_t count);
  void replaceWorker(std::size_t index, const std::string& version);
  void beginNextLife(std::size_t index, const std::string& version);
  void endIfIdle(std::size_t index);
  void endCallsOf(std::size_t gateway);
  /// @return true if two or more workers of it serve.
  bool isVersionServed(const std::string& version) const;
  void noteStreamSent(Caller& caller);
  void noteVersions(Caller& caller);
  void noteFault(const ServingCall& call, const ServingWorker& worker);
  void noteBroken(const ServingWorker& worker);
  void noteEndedByGateway(std::initializer_list<runtime::EventField> fields);
  void ended(const Caller& caller, bool served);
  base::Duration retryPause(const Caller& caller) const;
  /// @return until the deadline of the caller's first try.
  base::Duration timeLeft(const Caller& caller) const;
  void count(const Caller& caller, bool served);
  void answered(Caller& caller, const net::HttpResponse& response);
  void noteToldTime(const Caller& caller);
  void noteLoaded(const std::string& model);
  void noteDecision(std::size_t gateway, runtime::LogEvent event,
                    std::initializer_list<runtime::EventField> fields);
  bool isCutFromWorkers(std::size_t gateway) const;
  /// Ends a request of a gateway that is cut off from the workers as its connection would.
  void failCall(std::size_t gateway, const std::shared_ptr<ServingCall>& call);
  void noteFirstTry(const Caller& caller, bool served);
  void noteLimitedArrival(std::size_t gateway, const std::shared_ptr<ServingCall>& call,
                          const ServingWorker& worker);
  /// @return true if that machine was neither started, suspended nor cut off lately.
  bool undisturbed(std::size_t gateway) const;
  ServingWorker* find(const registry::WorkerId& id);
  void arrived(std::size_t gateway, const std::shared_ptr<ServingCall>& call,
               const registry::WorkerId& worker, bool inTouch, const ServingWorker::InLoop& inLoop);
  void arrivedCrashing(std::size_t number, const std::shared_ptr<ServingCall>& call,
                       ServingWorker& worker, bool inTouch, const ServingWorker::InLoop& inLoop);
  void sendCrashing(std::size_t number);
  void comeAgain(std::size_t number);
  void crash(std::size_t number, const registry::WorkerId& worker);
  /// The worker crashes, and is back after a time between these.
  void endWorker(const registry::WorkerId& worker, base::Duration shortestDown,
                 base::Duration longestDown);
  std::vector<std::string> drawParts();
  void sendWithCrashingPart(std::size_t number);
  bool arrivedWithCrashingPart(const std::shared_ptr<ServingCall>& call, ServingWorker& worker,
                               bool inTouch, const ServingWorker::InLoop& inLoop);
  void noteSoundSent(Caller& caller);
  void noteSoundBegan(Caller& caller);
  void noteCrash(const ServingWorker& worker);
  /// @return when leaders were told that the request was cut at that crash, or that they were not.
  std::string describeReport(const CrashRecord& crash, const std::string& body) const;
  void noteCutLogged(std::initializer_list<runtime::EventField> fields);
  void noteReports(const registry::CutReport& report);
  std::size_t crashesOf(const std::string& body, base::TimePoint until) const;
  std::string describeCrash(const CrashRecord& crash, const std::string& body,
                            base::TimePoint refusedAt) const;
  void restartWorker(std::size_t index);
  bool inTouch(std::size_t gateway) const;

  const ServingFleetOptions options_;
  Scheduler scheduler_;
  const base::TimePoint startedAt_;
  CountingLog log_;
  registry::RegistryOptions registryOptions_;
  std::unique_ptr<Reader> reader_;
  registry::DocumentCache documents_;
  std::uint64_t documentVersion_ = 1;
  registry::CellState state_;
  registry::OrderTimes turns_;
  consensus::Term term_ = 0;
  std::unique_ptr<registry::LeaderDuties> leader_;  ///< Null while nobody leads.
  std::vector<std::unique_ptr<registry::LeaderDuties>> formerLeaders_;
  std::vector<std::unique_ptr<ServingWorker>> workers_;
  std::vector<std::unique_ptr<ServingWorker>> formerWorkers_;
  std::vector<std::unique_ptr<ServingGateway>> gateways_;
  std::vector<std::unique_ptr<ServingGateway>> formerGateways_;
  std::vector<base::TimePoint> gatewayDisturbedAt_;
  std::vector<base::TimePoint> gatewayCutUntil_;
  std::vector<std::uint64_t> gatewayLives_;
  std::vector<CutFromWorkers> workerCuts_;  ///< By gateway, its latest one.
  FirstTryAccount firstTries_;
  base::TimePoint leaderDisturbedAt_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastBody_ = 0;
  std::map<std::string, ServedCount> counts_;  ///< By model, or model/adapter.
  std::uint64_t counting_ = 0;                 ///< How often counting began.
  bool tracesCallers_ = false;
  std::map<std::string, std::string> decisions_;  ///< Of gateways about requests, by their bodies.
  std::vector<LostRequest> lost_;                 ///< Since counting began, if callers are traced.
  std::uint64_t modelOrders_ = 0;
  std::uint64_t requestsToFailing_ = 0;
  StoreAccount storeAccount_;
  std::map<std::string, std::string> loads_;  ///< By model, in words.
  std::vector<CrashingRequest> crashing_;
  CrashAccount crashAccount_;
  std::deque<CrashingPart> crashingParts_;  ///< At fixed addresses.
  std::vector<SoundTry> soundTries_;
  base::TimePoint disruptedAt_ = base::kNever;
  std::vector<CrashRecord> crashes_;
  std::map<std::string, std::string> bodiesByDigest_;  ///< Of those that were cut.
  /// When a leader first heard that a request was cut, by its body, at a worker.
  std::map<std::pair<std::string, registry::WorkerId>, base::TimePoint> reportedAt_;
  std::vector<RefusedInnocent> refused_;
  std::map<std::string, std::string> bodies_;  ///< By the id of a try.
  std::uint64_t lastIncarnation_ = 0;
  LimitAccount limitAccount_;
  RetryAccount retryAccount_;
  StreamAccount streams_;
  VersionAccount versions_;
  std::string streamError_;
  std::string endedByGateway_;
  RefusalAccount refusals_;
  ReturnAccount returns_;
  ForecastAccount forecasts_;
  std::map<std::string, std::vector<ToldTime>> toldTimes_;  ///< By model that is not loaded yet.
  std::uint64_t shareQuestions_ = 0;
};

}  // namespace walnut::simulator
