#pragma once
/// @file
/// A worker of a simulated serving fleet: it holds models, carries out orders and answers requests,
/// and may fail requests while it says that it is well.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/client_connection.h"
#include "simulator/run_account.h"
#include "simulator/scheduler.h"
#include "walnut/registry/registry.h"

namespace walnut::simulator {

/// What becomes of the requests that a worker is sent. Its heartbeats always say that it is well.
enum class WorkerFault : std::uint8_t {
  none,
  errors,   ///< Answered with an error of the worker's own.
  hang,     ///< Never answered.
  reset,    ///< The connection is reset.
  full,     ///< Answered as not run, as by a worker whose slots are all taken.
  filling,  ///< Half of them are answered as not run.
};

/// A connection of a gateway to a worker, with one request at a time.
struct ServingConnection {
  std::uint64_t number = 0;
  std::uint64_t requests = 0;  ///< That were sent on it.
  base::TimePoint openedAt;
  registry::WorkerId process;  ///< Incarnation of the worker that it reached; empty before.
  /// An answer that the worker sends once more, in the place of the next one.
  std::optional<net::MessageHead> repeated;
  bool inDoubt = false;  ///< An answer to another request came, so it isn't used again.
};

/// One request on its way to a worker and back. The caller of it sets `cancelled`.
struct ServingCall {
  net::HttpRequest request;
  net::ResponseCallbacks* callbacks = nullptr;
  std::shared_ptr<ServingConnection> connection;
  bool cancelled = false;
  std::size_t gateway = 0;  ///< That sent it.
  bool cutOff = false;      ///< Nothing that the worker answers reaches the gateway.
  base::TimePoint sentAt;
  base::Duration answerTravel{0};  ///< From the worker to the gateway.
  std::function<void()> onLimit;   ///< An answer that names the worker's limit was handed over.
};

/// @return the id of the caller's try.
inline const std::string& requestId(const ServingCall& call) {
  return *call.request.headers.find("Id");
}

struct ServingWorkerOptions {
  std::uint32_t slots = 8;
  base::Duration firstEventTime = std::chrono::milliseconds(150);
  base::Duration headTime{0};  ///< From the head of an answer to its first event.
  base::Duration serviceTime = std::chrono::milliseconds(400);
  /// Events of a stream. With more than one each comes in two pieces, with its head first, the last
  /// one ends the stream, and `headTime` and `serviceTime` have no meaning.
  std::uint32_t events = 1;
  base::Duration eventGap = std::chrono::milliseconds(200);  ///< Between two events.
  base::Duration errorTime = std::chrono::milliseconds(20);
  base::Duration loadTime = std::chrono::milliseconds(900);
  base::Duration unloadTime = std::chrono::milliseconds(50);
  base::Duration adapterTime = std::chrono::milliseconds(10);
  /// Share of the answers of a sound worker that are errors all the same.
  double strayErrors = 0.01;
  /// Events of the answer to a request that crashes its worker, which the worker sends once it runs
  /// the request; with any, the head of the answer comes before.
  std::uint32_t crashEvents = 0;
  /// From the last of these events to the crash; without any, from when the worker runs the
  /// request.
  base::Duration crashTime = std::chrono::milliseconds(80);
  /// Longest time that such a request waits in its queue before.
  base::Duration crashQueueTime = std::chrono::milliseconds(900);
  /// Share of the answers of a worker that is `filling` which it sends once more, late.
  double repeatedAnswers = 0;
  bool rejectionsHaveId = true;   ///< They bear the id of their request.
  RunAccount* account = nullptr;  ///< Told of requests that may run once, if there is one.
  /// Longest time that an answer travels, so that answers overtake one another.
  base::Duration answerTravel{0};
};

class ServingWorker {
 public:
  /// Calls back in the event loop of a gateway.
  using InLoop = std::function<void(std::function<void()>)>;

  ServingWorker(registry::WorkerRecord record, const ServingWorkerOptions& options,
                Scheduler& scheduler)
      : record_(std::move(record)), options_(options), scheduler_(scheduler) {}

  const registry::WorkerRecord& record() const { return record_; }
  /// It gets no new requests.
  void beginLeaving() { record_.leaving = true; }
  void setFault(WorkerFault fault) { fault_ = fault; }
  WorkerFault fault() const { return fault_; }
  /// It answers nothing for that time and then goes on where it was. Its heartbeats go on.
  void silence(base::Duration duration);
  /// What its answers name as the requests a second that it takes; empty: they name nothing.
  void setLimit(std::string text) { limit_ = std::move(text); }
  const std::string& limit() const { return limit_; }

  registry::Heartbeat heartbeat();
  registry::WorkerReport report() const;
  /// @param onChange called when a load or an unload of a model has ended.
  registry::OrderOutcome order(const registry::SendOrder& order, std::function<void()> onChange);
  void receive(const std::shared_ptr<ServingCall>& call, const std::string& model,
               const std::string& adapter, const InLoop& inLoop);
  /// The same of a request that crashes the worker once it runs.
  /// @param showsHead the head of its answer is sent once it runs.
  /// @param onCrash called when it does.
  void receiveCrashing(const std::shared_ptr<ServingCall>& call, const std::string& model,
                       bool showsHead, const InLoop& inLoop, std::function<void()> onCrash);

  /// The process ends: all that it has is cut, and it does nothing any more.
  /// @return how many requests were cut.
  std::size_t crash();
  bool crashed() const { return crashed_; }
  /// Resets the connections of a share of what it has.
  /// @return the requests that this cuts.
  std::vector<std::shared_ptr<ServingCall>> resetConnections(double share);
  bool holds(const std::string& model) const;
  /// @return the model whose load is under way; empty if there is none.
  const std::string& loading() const { return loading_; }
  /// @return true if its machine's disk has the model.
  bool hasCopy(const std::string& model) const;
  /// @return what it has and has not ended.
  std::vector<std::shared_ptr<ServingCall>> running() const;
  /// What its machine's disk keeps for the next incarnation.
  const std::vector<std::string>& onDisk() const { return holdings_.onDisk; }
  void setOnDisk(std::vector<std::string> models) { holdings_.onDisk = std::move(models); }

 private:
  struct Running {
    std::shared_ptr<ServingCall> call;
    InLoop inLoop;
  };

  registry::OrderOutcome orderModel(const registry::SendOrder& order,
                                    std::function<void()> onChange);
  registry::OrderOutcome orderAdapter(const registry::SendOrder& order);
  void finishModelOrder(const registry::SendOrder& order);
  void serve(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop);
  void sendRepeated(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop);
  bool isRejected();
  void reject(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop);
  void noteRun(const ServingCall& call);
  void answer(base::Duration delay, const std::shared_ptr<ServingCall>& call, const InLoop& inLoop,
              int status, bool notRun);
  /// Gets the limit that the worker named when it answered.
  using Callback = std::function<void(net::ResponseCallbacks&, const std::string& limit)>;
  /// @param next called after it.
  void later(base::Duration delay, const std::shared_ptr<ServingCall>& call, const InLoop& inLoop,
             Callback callback, std::function<void()> next = {});
  /// One thing that a worker does for a request, some time after `since`.
  struct Step {
    std::shared_ptr<ServingCall> call;
    InLoop inLoop;
    Callback callback;
    std::function<void()> next;
    base::TimePoint since;
  };
  void schedule(base::Duration delay, const std::shared_ptr<Step>& step);
  base::Duration silentSince(base::TimePoint since) const;
  void serveEvents(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop);
  /// Sends that event and those that follow.
  void sendEvent(std::uint64_t id, bool isFirst, const std::shared_ptr<ServingCall>& call,
                 const InLoop& inLoop);
  /// Sends events of the answer to a request that is about to crash the worker.
  /// @return the time until the last one.
  base::Duration sendCrashEvents(base::Duration delay, const std::shared_ptr<ServingCall>& call,
                                 const InLoop& inLoop);
  void deliver(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop,
               const std::function<void()>& callback);
  void remember(std::vector<std::string>& copies, const std::string& model);
  registry::HeldModel* find(const std::string& model);
  static void cut(const Running& running);
  void keepRunning(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop);

  registry::WorkerRecord record_;
  const ServingWorkerOptions options_;
  Scheduler& scheduler_;
  WorkerFault fault_ = WorkerFault::none;
  base::TimePoint silentFrom_;
  base::TimePoint silentUntil_;
  std::string limit_;
  registry::Holdings holdings_;
  bool orderUnderWay_ = false;
  std::string loading_;  ///< The model whose load is under way; empty if there is none.
  std::uint64_t orderCount_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<Running> running_;  ///< And some that have ended.
  bool crashed_ = false;
};

}  // namespace walnut::simulator
