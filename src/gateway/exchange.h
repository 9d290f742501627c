#pragma once
/// @file
/// One request of a caller, from its arrival to its one answer.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/demand_tracker.h"
#include "gateway/event_stream.h"
#include "gateway/request_quarantine.h"
#include "gateway/worker_selector.h"
#include "net/client_connection.h"
#include "walnut/catalog/document.h"
#include "walnut/event/scheduler.h"
#include "walnut/gateway/dialect.h"
#include "walnut/net/server.h"
#include "walnut/runtime/event_log.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::gateway {

/// A request on its way to a worker.
class Attempt {
 public:
  virtual ~Attempt() = default;
  /// Gives it up: no callback follows, and the worker is told by the end of the connection.
  virtual void cancel() = 0;
  /// The answer is complete: the connection may carry another request.
  virtual void release() = 0;
  virtual void setReading(bool enabled) = 0;
};

class AttemptLauncher {
 public:
  virtual ~AttemptLauncher() = default;
  /// @param callbacks valid until the attempt has ended or is destroyed.
  virtual std::unique_ptr<Attempt> start(const registry::WorkerRecord& worker,
                                         const net::HttpRequest& request,
                                         net::ResponseCallbacks& callbacks) = 0;
  /// @return true if a request to that worker would need no new connection.
  virtual bool connected(const registry::WorkerId& worker) const = 0;
  /// Closes the idle connections to a worker: it is gone, or one of them went silent. Open ones may
  /// go silent together, without a reset, while new ones work.
  virtual void forget(const registry::WorkerId& worker) = 0;
};

class Exchange;

/// What exchanges share. Implemented by the gateway.
class ExchangeContext {
 public:
  virtual ~ExchangeContext() = default;
  virtual event::Scheduler& scheduler() = 0;
  virtual const RequestDialect& dialect() const = 0;
  virtual AttemptLauncher& launcher() = 0;
  virtual WorkerSelector& selector() = 0;
  virtual runtime::EventLog& log() = 0;
  virtual runtime::MetricsSink& metrics() = 0;
  /// Takes one from the budget of arrivals beyond the first of a request.
  virtual bool takeRetry(const std::string& service) = 0;
  virtual void waitBegan(const std::string& service, const RequestFacts& facts,
                         const catalog::Route& route) = 0;
  virtual void waitEnded(const std::string& service, const RequestFacts& facts) = 0;
  /// @name A request is with a worker from now on, or no longer
  /// @{
  virtual void attemptBegan(Worker& worker, const RequestFacts& facts) = 0;
  virtual void attemptEnded(Worker& worker, const RequestFacts& facts) = 0;
  /// @}
  /// The worker could not be reached, or went silent.
  virtual void attemptFailed(Worker& worker) = 0;
  virtual void attemptSettled(const Worker& worker, const RequestFacts& facts,
                              AttemptOutcome outcome) = 0;
  /// @name Requests that crash their workers
  /// @{
  /// @return true if there may be verdicts: else no request need be told from others.
  virtual bool watchesRequests() const = 0;
  virtual std::optional<RequestQuarantine::Verdict> verdictOn(
      const registry::RequestDigest& request) const = 0;
  /// The worker had the request, and had not answered a part of it, when the connection ended.
  /// @param begun the head of its answer had come.
  virtual void requestCut(const Worker& worker, const registry::RequestDigest& request,
                          bool begun) = 0;
  virtual void suspectAnswered(const registry::RequestDigest& request) = 0;
  /// @}
  /// @name Workers that name limits
  /// @{
  /// An answer of the worker has come, to a request that was sent at `sentAt`.
  virtual void answerRead(const Worker& worker, const AnswerFacts& answer,
                          base::TimePoint sentAt) = 0;
  /// A request waits for a share of the worker's limit, or no longer.
  virtual void shareWaitBegan(const registry::WorkerId& worker) = 0;
  virtual void shareWaitEnded(const registry::WorkerId& worker) = 0;
  /// A request is sent to the worker.
  virtual void takeShare(const registry::WorkerId& worker) = 0;
  /// @}
  /// @return when a model that no worker serves is expected; nothing if that is soon, or not known.
  virtual std::optional<base::TimePoint> expectedAt(const std::string& service,
                                                    const std::string& model) const = 0;
  virtual std::uint64_t documentVersion() const = 0;
  /// @return true if the registry's leader hears what is waited for.
  virtual bool leaderKnown() const = 0;
  /// The exchange is over; it is destroyed soon.
  virtual void ended(Exchange& exchange, int status) = 0;
};

/// States: choosing -> attempting (sent to a worker) -> choosing ... -> ended. Choosing waits while
/// no worker can be had. An exchange ends with exactly one answer, or without any when its caller
/// has left. Owned by the gateway.
///
/// Invariants: a request that may not be repeated is sent again only if each earlier attempt is
/// known not to have run; a refusal that promises "not run" is given only if that is so; a stream's
/// events leave whole, in order and once.
class Exchange : public net::ResponseCallbacks {
 public:
  /// @param number of its own at its gateway, rising in the order of arrival.
  /// @param document keeps the route alive.
  Exchange(ExchangeContext& context, std::uint64_t number,
           std::shared_ptr<const catalog::Document> document, const catalog::Route& route,
           std::string service, RequestFacts facts, net::HttpRequest request,
           net::ResponseSink& sink);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start();
  /// Workers, or what they hold, have changed.
  void viewChanged();
  /// Requests are suspected of crashing their workers, or no longer.
  void suspectsChanged();
  /// The leader has answered about shares of limits.
  void sharesChanged();
  bool waitsForShare() const { return shareOf_.has_value(); }
  /// @return by which those that wait are served: a lower one before a higher one.
  std::uint32_t priority() const { return facts_.tenantPriority.value_or(route_.priority); }
  /// The process is about to end: a request that waits for a worker is refused.
  void stopWaiting();
  /// The process ends: what runs is given up.
  void giveUp();

  std::uint64_t number() const { return number_; }
  const RequestFacts& facts() const { return facts_; }
  /// @return true if a worker may have worked on it.
  bool mayHaveRun() const { return launches_ > launchesNotRun_; }

 private:
  /// Least time to the first event, and between events, after which a stream is tried elsewhere.
  static constexpr base::Duration kStallFloor = std::chrono::milliseconds(900);

  enum class State : std::uint8_t { choosing, attempting, ended };
  /// What is known of an attempt that did not succeed.
  enum class Executed : std::uint8_t { no, yes, unknown };
  /// What is done with the body that comes in.
  enum class BodyUse : std::uint8_t { discard, collect, stream };

  // net::ResponseCallbacks
  bool onResponseHead(net::MessageHead head) override;
  void onResponseBody(std::string_view bytes) override;
  void onResponseComplete() override;
  void onResponseFailure(const base::Error& error, bool sent) override;

  void choose();
  const registry::RequestDigest& digest();
  bool stopIfSuspect();
  std::optional<RequestQuarantine::Verdict> verdictOnThis();
  void noteStopped(const RequestQuarantine::Verdict& verdict, std::string_view outcome);
  void noteCut();
  void noteSuspectAnswered();
  bool wouldBeginLate(const Selection& selection) const;
  bool takesLastResort() const;
  void wait(NoWorkerReason reason);
  void beginWait(NoWorkerReason reason);
  void askForShare(const Worker& worker);
  void endShareWait();
  bool waitsForLimit(const Selection& selection) const;
  void waitForLimit(const Selection& selection);
  bool refuseIfTooLate(NoWorkerReason reason);
  base::TimePoint callerLeavesAt() const;
  base::TimePoint shortPatienceEnds() const;
  void endWait();
  void launch(const WorkerDirectory::WorkerPtr& worker);
  void takeSuccessHead();
  void streamEvents(std::string_view bytes);
  void notePause(base::Duration pause);
  base::Duration pauseLimit() const {
    return route_.targetGap > base::Duration::zero() ? route_.targetGap : base::Duration::max();
  }
  void completeStream();
  void noteAnswered();
  void noteFailed();
  void attemptEnded(Executed executed, std::string_view reason);
  void logAttemptFailed(Executed executed, std::string_view reason);
  void retryOrFail(Executed executed, std::string_view reason);
  bool mayRunAgain(Executed executed) const;
  void releaseAttempt();
  void dropAttempt();

  void respondWith(net::HttpResponseHead head, std::string body);
  void refuse(int status, std::string_view reason, base::Duration retryAfter);
  void failFinally(std::string_view reason);
  void onDeadline();
  void onStall();
  bool beginsSoonerElsewhere() const;
  void armStall(base::Duration patience);
  void onCallerGone();
  void onCallerDrained();
  void finish(int status, std::string_view outcome);
  base::TimePoint now() const { return context_.scheduler().now(); }
  bool isStreaming() const { return route_.kind == catalog::RouteKind::streaming; }

  ExchangeContext& context_;
  const std::uint64_t number_;
  const std::shared_ptr<const catalog::Document> document_;
  const catalog::Route& route_;
  const std::string service_;
  const RequestFacts facts_;
  net::HttpRequest request_;
  net::ResponseSink& sink_;
  const base::TimePoint arrivedAt_;
  const base::TimePoint deadline_;
  State state_ = State::choosing;
  event::TimerPtr deadlineTimer_;
  event::TimerPtr retryTimer_;
  event::TimerPtr stallTimer_;

  std::set<registry::WorkerId> excluded_;  ///< Not to be chosen again for now.
  bool waiting_ = false;
  std::optional<registry::WorkerId> shareOf_;  ///< Whose share the leader is asked for.
  base::TimePoint waitBeganAt_;
  base::Duration waited_{0};    ///< For a worker that could be had, in all.
  bool mayHaveRun_ = false;     ///< Some earlier attempt has run, or may have.
  std::uint32_t arrivals_ = 0;  ///< Attempts that reached a worker.
  std::uint32_t launches_ = 0;
  std::uint32_t launchesNotRun_ = 0;
  std::uint32_t runs_ = 0;  ///< Attempts that have run, or may have.
  std::uint32_t backoffs_ = 0;
  bool retryTaken_ = false;                        ///< From the budget, for the next attempt.
  std::optional<registry::RequestDigest> digest_;  ///< Once it was needed.
  bool held_ = false;                              ///< Was, at some time, while it was suspected.

  // Of the present attempt.
  std::unique_ptr<Attempt> attempt_;
  WorkerDirectory::WorkerPtr worker_;
  base::TimePoint attemptAt_;
  base::Duration stallPatience_{0};  ///< Without a word of the worker, as last armed.
  net::HttpResponseHead head_;
  AnswerFacts answer_;
  bool headSeen_ = false;
  bool accepted_ = false;  ///< The answer is the worker's own success.
  bool answerNoted_ = false;
  BodyUse bodyUse_ = BodyUse::discard;
  std::string body_;

  // Of a stream.
  bool headSent_ = false;
  base::TimePoint firstEventAt_;
  base::TimePoint lastEventAt_;
  base::Duration longestGap_{0};
  EventStream events_;
};

}  // namespace walnut::gateway
