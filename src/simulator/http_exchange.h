#pragma once
/// @file
/// Simulated HTTP exchanges: a call with one answer, and a request answered by a stream of events.
/// Each has its own connection, which may be refused, lost before or after delivery, or reset.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "simulator/network.h"
#include "simulator/process.h"
#include "walnut/base/error.h"

namespace walnut::simulator {

/// Faults of exchanges that are not faults of the path; probabilities of each call.
struct ExchangeFaults {
  double refuse = 0;        ///< Connection refused.
  double loseRequest = 0;   ///< The connection breaks before the request arrives.
  double loseReply = 0;     ///< The request is served, its answer is lost.
  double delayRequest = 0;  ///< The request arrives late, even after the caller has given up.
  base::Duration delayMax = std::chrono::seconds(20);
};

/// One exchange as its server sees it. The client's side is a set of callbacks.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// @param client posts the callbacks; they stop when its life ends.
  /// @param onEnd called once at the client, unless it closed first: absent after a whole answer,
  ///        an error if the connection failed. `connectFailed` means that nothing was delivered.
  Exchange(Network& network, Process& client, HostIndex server,
           std::function<void(std::optional<base::Error>)> onEnd);

  /// Client: delivers `serve` to the server process; it runs there on its turn.
  void begin(Process* server, const ExchangeFaults& faults, std::function<void()> serve);
  /// Server: hands `deliver` to the client, in order.
  void reply(std::function<void()> deliver);
  /// Server: the answer is whole.
  void finish();
  /// Either side or the network: the connection is gone.
  void reset();
  /// Client: closes; `onServerClosed` is told.
  void closeByClient();
  /// Client: ends with `timedOut` if there was no end until then.
  void setTimeout(base::Duration timeout);
  /// Server: called when the client closed or the connection was reset.
  void setServerClosed(std::function<void()> onServerClosed) {
    onServerClosed_ = std::move(onServerClosed);
  }
  bool open() const { return !clientEnded_ && !serverEnded_; }
  /// A request that has not arrived yet will find nobody there: it is refused, not reset.
  bool brokenByDeathOf(HostIndex host) const {
    return toServer_->from() == host || (toServer_->to() == host && delivered_);
  }

 private:
  void endClient(const std::optional<base::Error>& error);
  void endServer();

  Network& network_;
  Process& client_;
  std::uint64_t clientLife_;
  std::shared_ptr<Pipe> toServer_;
  std::shared_ptr<Pipe> toClient_;
  std::function<void(std::optional<base::Error>)> onEnd_;
  std::function<void()> onServerClosed_;
  Process* server_ = nullptr;
  std::uint64_t serverLife_ = 0;
  bool delivered_ = false;
  bool clientEnded_ = false;
  bool serverEnded_ = false;
  bool loseReply_ = false;
};

/// The open exchanges of a run, to reset those of a process that dies.
class ExchangeRegistry {
 public:
  void add(const std::shared_ptr<Exchange>& exchange);
  /// The process at `host` died: its machine resets all its connections.
  void resetAll(HostIndex host);
  /// Resets one open exchange. @return false if there is none.
  bool resetOne(std::uint64_t choice);

 private:
  void prune();

  std::map<std::uint64_t, std::weak_ptr<Exchange>> exchanges_;
  std::uint64_t next_ = 0;
  std::size_t pruneAt_ = 256;
};

}  // namespace walnut::simulator
