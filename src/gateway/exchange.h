#pragma once
/// @file
/// Proxies one request of a caller to a worker, with retries, until the caller has its response.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/availability_table.h"
#include "gateway/buffer_budget.h"
#include "gateway/demand_tracker.h"
#include "gateway/event_stream.h"
#include "gateway/late_start_policy.h"
#include "gateway/late_starts.h"
#include "gateway/part_quarantine.h"
#include "gateway/request_quarantine.h"
#include "gateway/run_times.h"
#include "gateway/stream_origins.h"
#include "gateway/worker_selector.h"
#include "net/client_pool.h"
#include "walnut/catalog/document.h"
#include "walnut/event/scheduler.h"
#include "walnut/gateway/dialect.h"
#include "walnut/net/server.h"
#include "walnut/runtime/event_log.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::gateway {

/// One attempt of a request: the request as sent to one worker, with its connection.
class Attempt {
 public:
  virtual ~Attempt() = default;
  /// Cancels the attempt: no callback follows, and the worker notices by the closed connection.
  virtual void cancel() = 0;
  /// Ends the attempt after a complete response: the connection may be reused for another request.
  virtual void release() = 0;
  virtual void setReading(bool enabled) = 0;
  /// @return the number of the connection, by which later attempts may exclude it.
  virtual std::uint64_t connection() const = 0;
  /// @return true if the connection carried other requests before: an answer that comes on it
  /// without a request id may belong to any of them.
  virtual bool sharesConnection() const = 0;
};

/// Sends requests to workers.
class AttemptLauncher {
 public:
  virtual ~AttemptLauncher() = default;
  /// @param callbacks valid until the attempt has ended or is destroyed.
  virtual std::unique_ptr<Attempt> start(const registry::WorkerRecord& worker,
                                         const net::HttpRequest& request,
                                         const net::ConnectionChoice& choice,
                                         net::ResponseCallbacks& callbacks) = 0;
  /// @return true if a request to that worker would need no new connection.
  virtual bool connected(const registry::WorkerId& worker) const = 0;
  /// @return true if some connection to that worker has been open since then, so that it has not
  /// restarted.
  virtual bool connectedSince(const registry::WorkerId& worker, base::TimePoint time) const = 0;
  /// Closes the idle connections to a worker that has been removed, or of which one connection
  /// became unresponsive. Open connections may become unresponsive together, without a reset, while
  /// new ones work.
  virtual void forget(const registry::WorkerId& worker) = 0;
};

class Exchange;

/// Services and state that all exchanges of a gateway share. Implemented by the gateway.
class ExchangeContext {
 public:
  virtual ~ExchangeContext() = default;
  virtual event::Scheduler& scheduler() = 0;
  virtual const RequestDialect& dialect() const = 0;
  virtual AttemptLauncher& launcher() = 0;
  virtual WorkerSelector& selector() = 0;
  virtual runtime::EventLog& log() = 0;
  virtual runtime::MetricsSink& metrics() = 0;
  /// Takes one retry from the service's retry budget, which limits the attempts that reach a worker
  /// beyond the first one of each request.
  /// @return false if the budget is exhausted.
  virtual bool takeRetry(const std::string& service, const RequestFacts& facts) = 0;
  /// @name A retry that is set aside until it is used or released
  /// @{
  /// @return false if the budget is exhausted.
  virtual bool reserveRetry(const std::string& service) = 0;
  /// @return false if the budget has shrunk since, so that it is exhausted without the reserve.
  virtual bool useReservedRetry(const std::string& service) = 0;
  virtual void releaseReservedRetry(const std::string& service) = 0;
  /// @}
  virtual void waitBegan(const std::string& service, const RequestFacts& facts,
                         const catalog::Route& route) = 0;
  virtual void waitEnded(const std::string& service, const RequestFacts& facts) = 0;
  /// @name Accounting of requests that are in flight at a worker
  /// @{
  virtual void attemptBegan(Worker& worker, const RequestFacts& facts) = 0;
  virtual void attemptEnded(Worker& worker, const RequestFacts& facts) = 0;
  /// @}
  /// Records that the worker could not be reached or became unresponsive.
  virtual void attemptFailed(Worker& worker) = 0;
  virtual void attemptSettled(const Worker& worker, const RequestFacts& facts,
                              AttemptOutcome outcome) = 0;
  /// @name Requests that crash their workers
  /// @{
  /// @return true if any request is classified as suspect: otherwise no digest has to be computed.
  virtual bool hasSuspects() const = 0;
  virtual std::optional<RequestQuarantine::Classification> classificationOf(
      const registry::RequestDigest& request) const = 0;
  /// Records that the connection ended while the worker had the request, and before it was seen to
  /// survive it.
  /// @param parts that its prompt shares with other requests.
  /// @param begun true if the head of the response had come.
  virtual void requestCut(const Worker& worker, const registry::RequestDigest& request,
                          const std::vector<registry::PromptPartDigest>& parts, bool begun) = 0;
  virtual void suspectAnswered(const registry::RequestDigest& request) = 0;
  /// @return true if any part of prompts is suspect: otherwise no request has to be looked up.
  virtual bool hasSuspectParts() const = 0;
  /// @param request number of the exchange.
  /// @param mayBeTried whether the request may be the one that is sent on trial.
  /// @return why a request with these parts is refused; nothing if it may be sent.
  virtual std::optional<PartQuarantine::Refusal> refusalOf(
      const std::vector<registry::PromptPartDigest>& parts, std::uint64_t request,
      bool mayBeTried) = 0;
  /// Records that a worker survived a request with these parts.
  virtual void partsAnswered(const std::vector<registry::PromptPartDigest>& parts) = 0;
  /// @}
  /// @name Workers that announce rate limits
  /// @{
  /// Processes the head of the worker's response to a request that was sent at `sentAt`.
  virtual void responseHeadReceived(const Worker& worker, const AnswerFacts& answer,
                                    base::TimePoint sentAt) = 0;
  /// Counts the requests that wait for a granted share of the worker's limit.
  virtual void shareWaitBegan(const registry::WorkerId& worker) = 0;
  virtual void shareWaitEnded(const registry::WorkerId& worker) = 0;
  /// Takes one request from the granted share: it is being sent to the worker.
  virtual void takeShare(const registry::WorkerId& worker) = 0;
  /// @}
  /// @name Speed of workers
  /// @{
  /// Records the first event of a stream that was sent to the worker at `sentAt`.
  /// @param wasFull true if all slots of the worker were taken then.
  virtual void streamBegan(const Worker& worker, const RequestFacts& facts, base::TimePoint sentAt,
                           bool wasFull) = 0;
  /// Records that the pauses of a stream first exceeded the target gap.
  virtual void streamPaused(const Worker& worker) = 0;
  /// @}
  /// @return when a model that no worker serves will be available; nothing if that is soon or not
  /// known.
  virtual std::optional<ModelAvailability> availabilityOf(const std::string& service,
                                                          const std::string& model) const = 0;
  virtual LateStarts& lateStarts() = 0;
  virtual StreamOrigins& streamOrigins() = 0;
  /// @return true if the worker's record is that of the process which takes requests now. A worker
  /// may have restarted under its name, with other software, since the leader was last heard.
  virtual bool isRecordCurrent(const Worker& worker) const = 0;
  /// @name Requests that wait for a model at a worker of one software version
  /// @{
  virtual void versionWaitBegan(const std::string& service, const RequestFacts& facts,
                                const std::string& version) = 0;
  virtual void versionWaitEnded(const std::string& service, const RequestFacts& facts,
                                const std::string& version) = 0;
  /// @}
  /// @return the memory that is held for all callers.
  virtual BufferBudget& buffers() = 0;
  /// @name A planned stop of the process
  /// @{
  /// @return when requests that still run are cancelled; nothing if no stop is planned.
  virtual std::optional<base::TimePoint> stopsAt() const = 0;
  virtual RunTimes& runTimes() = 0;
  /// @}
  virtual std::uint64_t documentVersion() const = 0;
  /// @return true if the registry's leader receives this gateway's demand reports.
  virtual bool hasLeader() const = 0;
  /// Called at the end of an exchange, which is destroyed in the next event loop iteration.
  virtual void exchangeEnded(Exchange& exchange, int status) = 0;
};

/// Proxies one request of a caller. States: choosing (selects a worker) -> attempting (sent to a
/// worker) -> choosing ... -> ended. In the state choosing the request waits while no worker is
/// available. An exchange ends with exactly one response, or with none if its caller has
/// disconnected. Owned by the gateway.
///
/// Invariants: an answer is taken only if it can't be one to an earlier attempt or, lacking a
/// request id, to another request; a non-repeatable request is sent again only if each earlier
/// attempt is known not to have run; a refusal that promises "not run" is given only if that is so;
/// a stream's events are passed on whole, in order and once; a stream that has left a worker only
/// because that worker was silent returns to it rather than end; a stream goes on only at the
/// software version that began it, also if its caller takes it up at another gateway.
class Exchange : public net::ResponseCallbacks {
 public:
  /// @param number unique at this gateway, increasing in the order of arrival.
  /// @param document owns `route` and keeps it alive.
  Exchange(ExchangeContext& context, std::uint64_t number,
           std::shared_ptr<const catalog::Document> document, const catalog::Route& route,
           std::string service, RequestFacts facts, net::HttpRequest request,
           net::ResponseSink& sink);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start();
  /// Selects a worker anew after a change of the workers or of the models that they hold.
  void viewChanged();
  /// Checks this request again after the list of requests suspected of crashing workers has
  /// changed.
  void suspectsChanged();
  /// Selects a worker anew after the leader has granted or denied shares of limits.
  void sharesChanged();
  bool isWaitingForShare() const { return shareWorker_.has_value(); }
  /// @return the priority of this request among waiting ones: a lower number is served first.
  std::uint32_t priority() const { return facts_.tenantPriority.value_or(route_.priority); }
  /// Refuses the request if it waits for a worker, because the process is about to shut down.
  void stopWaiting();
  /// Cancels the request, also one that runs, because the process shuts down.
  void cancel();

  std::uint64_t number() const { return number_; }
  const RequestFacts& facts() const { return facts_; }
  /// @return true if a worker may have executed the request.
  bool mayHaveRun() const { return startedAttempts_ > attemptsNotRun_; }

 private:
  /// Lower bound of the stall timeout: the time until the first event, or between two events, after
  /// which a stream is sent to another worker.
  static constexpr base::Duration kStallFloor = std::chrono::milliseconds(900);
  static constexpr std::uint32_t kMaxDeliveredAttempts = 8;
  /// Maximum size of one event of a stream; an event carries a few tokens.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  enum class State : std::uint8_t { choosing, attempting, ended };
  /// Whether a failed attempt was executed by its worker.
  enum class Executed : std::uint8_t { no, yes, unknown };
  /// What is done with the body of the worker's response.
  enum class BodyUse : std::uint8_t { discard, collect, stream };

  // net::ResponseCallbacks
  bool onResponseHead(net::MessageHead head) override;
  void onResponseBody(std::string_view bytes) override;
  void onResponseComplete() override;
  void onResponseFailure(const base::Error& error, bool sent) override;

  void choose();
  /// @name Software version of a stream
  /// @{
  bool takesUpStream() const { return isStreaming() && !facts_.resumeAfter.empty(); }
  void findOrigin();
  void originFound(const StreamOriginResult& result);
  void recordOrigin();
  bool hasNoWorkerOfVersion(const Selection& selection) const;
  Selection selectWorker() const;
  bool waitsForCurrentRecord(const Selection& selection);
  WorkerFilter filter() const;
  /// @}
  const registry::RequestDigest& digest();
  const std::vector<registry::PromptPartDigest>& sharedParts();
  std::vector<registry::PromptPartDigest> answeringParts();
  bool stopIfSuspect();
  std::optional<PartQuarantine::Refusal> partRefusal();
  void refuseForPart(const PartQuarantine::Refusal& refusal);
  bool isRefusedNow();
  std::optional<RequestQuarantine::Classification> ownClassification();
  void logQuarantined(const RequestQuarantine::Classification& classification,
                      std::string_view outcome);
  /// @return true if the present attempt's answer has begun.
  bool isAnswering() const { return state_ == State::attempting && respondedAt_.has_value(); }
  bool mayCrashWorker() const;
  void reportCut();
  void reportSuspectAnswered();
  base::Duration longestRun() const;
  bool refuseIfStopComesFirst();
  void recordRunTime();
  bool wouldBeginLate(const Selection& selection) const;
  bool mayStartLate() const;
  bool startsNow(const Selection& selection);
  void leaveLateStarts();
  void logLateStart(std::string_view outcome, base::Duration expectedWait);
  bool acceptsLastResort(const Worker& worker) const;
  base::TimePoint lastResortAt(const Worker& worker) const;
  void wait(const Selection& selection);
  void beginWait(NoWorkerReason reason);
  void requestShare(const Worker& worker);
  void endShareWait();
  bool waitsForLimit(const Selection& selection) const;
  void waitForLimit(const Selection& selection);
  std::optional<ModelAvailability> awaitedModel(NoWorkerReason reason) const;
  bool refuseIfTooLate(NoWorkerReason reason);
  base::TimePoint callerDisconnectsAt() const;
  base::TimePoint waitDeadline() const;
  base::TimePoint shortWaitDeadline() const;
  void endWait();
  void launch(const WorkerDirectory::WorkerPtr& worker);
  net::ConnectionChoice connectionChoice() const;
  void noteAnswerWithoutId();
  void rejectUnattributedAnswer();
  /// @return true if the worker is known not to have run the request of this attempt.
  bool isKnownNotRun() const { return answer_.notExecuted && isAnswerAttributed_; }
  void processSuccessHead();
  void forwardEvents(std::string_view bytes);
  void passEventsOn(const std::string& whole);
  /// @name Memory held for the caller
  /// @{
  void beginHolding();
  void reserveOutput(std::size_t bytes);
  bool mayReadOn();
  void makeRoomForEvent();
  void beginCollecting();
  void collect(std::string_view bytes);
  void discard(std::string_view bytes);
  void rejectOverlongAnswer();
  void makeRoom(std::size_t size);
  void avoidEndlessWorker(std::size_t size);
  void resumeReading();
  void dropCollected();
  void passBodyOn();
  /// @}
  void recordGap(base::Duration pause);
  base::Duration pauseLimit() const {
    return route_.targetGap > base::Duration::zero() ? route_.targetGap : base::Duration::max();
  }
  void completeStream();
  void recordResponse();
  void recordSurvival();
  void recordFailure();
  void attemptEnded(Executed executed, std::string_view reason);
  void recordAttempt(Executed executed, std::string_view reason);
  void logAttemptFailed(Executed executed, std::string_view reason);
  void retryOrFail(Executed executed, std::string_view reason);
  bool mayRunAgain(Executed executed) const;
  /// @return true if the request may be sent to a worker that has not had it.
  bool mayUseNewWorker() const {
    return executedAttempts_ < route_.maxAttempts && deliveredAttempts_ < kMaxDeliveredAttempts;
  }
  bool takeRetry();
  void releaseAttempt();
  void dropAttempt();

  void respondWith(net::HttpResponseHead head, std::string body);
  void refuse(int status, std::string_view reason, base::Duration retryAfter);
  void failFinally(std::string_view reason);
  void onDeadline();
  /// @name Workers that send nothing for a while
  /// @{
  void armStallTimer(base::Duration timeout);
  void onStall();
  bool leavingMayHelp();
  bool comesTooLateElsewhere(const Worker& other) const;
  bool takeRetryForMove();
  void leaveSilentWorker();
  bool mayReturn() const;
  void waitForRetry();
  void releaseReservedRetry();
  void recordCallerGone();
  /// @}
  void onCallerGone();
  void onCallerDrained();
  void finish(int status, std::string_view outcome);
  base::TimePoint now() const { return context_.scheduler().now(); }
  bool isStreaming() const { return route_.kind == catalog::RouteKind::streaming; }

  ExchangeContext& context_;
  const std::uint64_t number_;
  const std::shared_ptr<const catalog::Document> document_;
  const catalog::Route& route_;
  std::string service_;
  const RequestFacts facts_;
  net::HttpRequest request_;
  net::ResponseSink& sink_;
  const base::TimePoint arrivedAt_;
  const base::TimePoint deadline_;
  State state_ = State::choosing;
  event::TimerPtr deadlineTimer_;
  event::TimerPtr retryTimer_;
  event::TimerPtr stallTimer_;

  /// Connections that earlier attempts have returned to the pool. One more answer to such an
  /// attempt would come with the id of this request.
  std::vector<std::uint64_t> usedConnections_;
  std::set<registry::WorkerId> excluded_;  ///< Workers that are not selected again for now.
  /// Where the stream began; not set before its first event or before its origin is known.
  std::optional<StreamSoftware> software_;
  std::uint64_t originSearch_ = 0;  ///< Number of the search for it; 0: none is under way.
  /// Version for which the present wait was reported, or empty.
  std::string awaitedVersion_;
  bool isWaiting_ = false;
  std::optional<registry::WorkerId> shareWorker_;  ///< Worker of the requested share.
  base::TimePoint waitBeganAt_;
  base::Duration waited_{0};             ///< Total time waited for an available worker.
  bool mayHaveRun_ = false;              ///< Some earlier attempt was executed, or may have been.
  std::uint32_t deliveredAttempts_ = 0;  ///< Attempts that reached a worker.
  std::uint32_t startedAttempts_ = 0;
  std::uint32_t attemptsNotRun_ = 0;
  std::uint32_t executedAttempts_ = 0;  ///< Attempts that were executed, or may have been.
  std::uint32_t movesFromSilent_ = 0;   ///< Attempts that were given up at silent workers.
  std::uint32_t backoffs_ = 0;
  bool retryTaken_ = false;       ///< A retry was taken for the next attempt.
  bool isRetryReserved_ = false;  ///< A retry is set aside for the return.
  bool waitsForRetry_ = false;    ///< The retry budget was exhausted.
  /// Workers that the stream has left since they were silent, and that have not failed it since.
  std::set<registry::WorkerId> leftWorkers_;
  std::optional<registry::RequestDigest> digest_;  ///< Computed on first use.
  /// Parts of the prompt that other requests may share; computed on first use.
  std::optional<std::vector<registry::PromptPartDigest>> sharedParts_;
  bool wasHeld_ = false;  ///< Was delayed at least once, being suspect.

  bool wasLate_ = false;  ///< Has waited since it could not begin in time.

  // State of the current attempt.
  std::unique_ptr<Attempt> attempt_;
  WorkerDirectory::WorkerPtr worker_;
  base::TimePoint attemptAt_;
  bool wasRecordCurrent_ = true;    ///< The worker's software version was certain at the start.
  bool wasWorkerFull_ = false;      ///< All slots were taken at the start of the attempt.
  base::Duration stallTimeout_{0};  ///< Stall timeout as last armed.
  /// The stream stays at a silent worker since it would have begun too late elsewhere.
  bool staysForTime_ = false;
  net::HttpResponseHead head_;
  AnswerFacts answer_;
  bool isHeadReceived_ = false;
  /// The answer belongs to this attempt for certain. It is without meaning before the head.
  bool isAnswerAttributed_ = true;
  bool accepted_ = false;  ///< The response is a success that the worker itself sealed.
  /// When the worker first showed that it responds: by the first event or the whole answer.
  std::optional<base::TimePoint> respondedAt_;
  bool hasSurvived_ = false;  ///< The worker was seen to survive the request.
  BodyUse bodyUse_ = BodyUse::discard;
  std::string body_;
  std::size_t discardedBytes_ = 0;  ///< Of a body that the worker does not vouch for.

  // Memory held for the caller.
  BufferBudget::Share requestShare_;
  BufferBudget::Share answerShare_;  ///< A collected body, or an incomplete event.
  std::size_t outputReserve_ = 0;    ///< Committed for output, as last told to the sink.
  /// Size of the body or the event to be collected, or its upper bound.
  std::size_t expectedBody_ = 0;
  bool isBodySizeKnown_ = false;
  bool isCallerBehind_ = false;  ///< Reading is paused until the caller has read all.

  // State of a streaming response.
  bool headSent_ = false;
  base::TimePoint firstEventAt_;
  base::TimePoint lastEventAt_;
  base::Duration longestGap_{0};
  EventStream events_;
};

}  // namespace walnut::gateway
