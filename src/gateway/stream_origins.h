#pragma once
/// @file
/// Finds out at which software version a stream began that a caller takes up.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/registry_session.h"
#include "registry/stream_origin_book.h"
#include "walnut/event/scheduler.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::gateway {

/// @return the hash of the id that a caller gave a request; 0 for an empty id only.
registry::StreamId streamIdOf(const std::string& requestId);

enum class StreamOriginStatus : std::uint8_t {
  known,
  unknown,   ///< The leader doesn't know it for certain, or can't be asked such questions.
  noLeader,  ///< No leader has answered in time: it may be known later.
};

/// @return the name of the status in log lines and metrics.
std::string_view originStatusName(StreamOriginStatus status);

struct StreamOriginResult {
  StreamOriginStatus status = StreamOriginStatus::unknown;
  registry::StreamOrigin origin;  ///< Set only if known.
};

/// Remembers the origins of the streams that began at this gateway, reports them to the registry's
/// leader, which remembers them for all gateways, and asks it for others.
///
/// A reported stream is sent once to each leader. An answer "unknown" counts only for a question
/// that was sent one report interval after the search began: the report of the gateway where the
/// stream began may have been on its way to the leader.
class StreamOrigins {
 public:
  /// Time within which a search ends.
  static constexpr base::Duration kOriginTimeout = std::chrono::seconds(1);
  /// Minimum time between two reports of one gateway.
  static constexpr base::Duration kReportInterval = std::chrono::milliseconds(50);
  /// The same for each gateway of the cell, so that the leader gets 500 reports a second.
  static constexpr base::Duration kReportIntervalPerGateway = std::chrono::milliseconds(2);
  /// Time after which a question without an answer is sent again.
  static constexpr base::Duration kAskInterval = std::chrono::milliseconds(200);
  static constexpr std::size_t kMaxOwnStreams = 20'000;
  static constexpr std::size_t kMaxStreamsPerReport = 2'000;

  /// Called once with the outcome of a search, from the event loop or from within `find`.
  using Callback = std::function<void(const StreamOriginResult& result)>;

  StreamOrigins(event::Scheduler& scheduler, RegistrySession& session,
                runtime::MetricsSink& metrics);

  /// Records that the first event of a stream has come from a worker. Ignored if the id or the
  /// version is empty.
  void streamBegan(const std::string& requestId, const std::string& service,
                   const std::string& version);
  /// Searches for the origin of a stream. The callback is called before this returns if the answer
  /// is known at once.
  /// @param service that the take-up was routed to; the result may name another one.
  /// @param resumedRequest id of the request that began the stream, or empty.
  /// @return a number for `cancel`; 0 if the callback has been called.
  std::uint64_t find(const std::string& service, const std::string& resumedRequest,
                     Callback callback);
  /// Ends a search without calling its callback. Ignored if it has ended.
  void cancel(std::uint64_t number);

  /// Called when the first view of a newly followed leader has come.
  void leaderFollowed();
  void answerReceived(const registry::StreamOriginFound& answer);
  void setGatewayCount(std::uint32_t count) { gatewayCount_ = count; }

 private:
  /// Interval of the checks for questions to be sent again and for searches that have timed out.
  static constexpr base::Duration kReviewInterval = std::chrono::milliseconds(50);

  struct Search {
    registry::StreamId stream = 0;
    std::string service;
    Callback callback;
    base::TimePoint until;
    base::TimePoint settledAt;  ///< When all earlier reports have reached the leader.
    base::TimePoint askAgainAt;
    bool answeredUnknown = false;          ///< By the followed leader.
    std::vector<std::uint64_t> questions;  ///< Sequence numbers.
  };
  struct Question {
    std::uint64_t search = 0;
    base::TimePoint sentAt;
  };
  using Searches = std::map<std::uint64_t, Search>;

  bool canAsk() const;
  base::Duration reportInterval() const;
  void reportSoon();
  void report();
  void ask(std::uint64_t number, Search& search);
  void finish(Searches::iterator search, const StreamOriginResult& result);
  void forgetQuestions(Search& search);
  void review();
  void count(StreamOriginStatus status);

  event::Scheduler& scheduler_;
  RegistrySession& session_;
  runtime::MetricsSink& metrics_;
  std::uint32_t gatewayCount_ = 1;
  registry::StreamOriginBook own_{kMaxOwnStreams};
  registry::StreamsBegan unreported_;
  std::size_t unreportedCount_ = 0;
  bool reportScheduled_ = false;
  base::TimePoint nextReportAt_;
  event::TimerPtr reportTimer_;
  Searches searches_;  ///< By number, which rises with `until`.
  std::uint64_t lastSearch_ = 0;
  std::map<std::uint64_t, Question> questions_;  ///< Of `searches_`, by sequence number.
  std::uint64_t lastQuestion_ = 0;
  event::TimerPtr reviewTimer_;
};

}  // namespace walnut::gateway
