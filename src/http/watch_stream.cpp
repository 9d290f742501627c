#include "http/watch_stream.h"

#include <memory>
#include <string>
#include <utility>

#include "http/watch_codec.h"
#include "walnut/runtime/clock.h"

namespace walnut::http {

using base::Duration;
using base::Error;
using base::ErrorCode;
using base::TimePoint;

namespace {

/// A client that hears nothing for a few of these knows that its connection is dead.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// How often the peer's disconnect and the stop of the process are looked for.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// How long the head of the response waits for a refusal, so that it can carry its status.
constexpr Duration kRefusalWait = std::chrono::milliseconds(250);

/// Open watch of the backend; closed at the end of the scope.
class OpenWatch {
 public:
  OpenWatch(ResourceBackend& backend, const WatchScope& scope)
      : backend_(backend),
        queue_(std::make_shared<WatchQueue>()),
        number_(backend.openWatch(scope.kind, scope.from, queue_)) {}
  ~OpenWatch() { backend_.closeWatch(number_); }
  OpenWatch(const OpenWatch&) = delete;
  OpenWatch& operator=(const OpenWatch&) = delete;

  WatchQueue& queue() { return *queue_; }

 private:
  ResourceBackend& backend_;
  std::shared_ptr<WatchQueue> queue_;
  std::uint64_t number_;
};

ErrorBody watchErrorOf(const Error& error) {
  ErrorBody body = resourceErrorBody(error);
  if (error.code == ErrorCode::watchTooOld) {
    std::string& detail = body.error.detail;
    detail += (detail.empty() ? "" : "; ");
    detail += "list again and watch from the listed version";
  }
  return body;
}

/// Writes the lines of one watch.
class WatchWriter {
 public:
  WatchWriter(Exchange& exchange, resource::Version from) : exchange_(exchange), version_(from) {}

  /// Takes what came, if anything.
  void take(const std::optional<control::ApiWatchEvents>& events, TimePoint now) {
    if (events && events->error) {
      end(watchErrorOf(*events->error));
    } else if (events) {
      writeEvents(*events, now);
    } else if (now - writtenAt_ >= kHeartbeatInterval) {
      writeBookmark("", now);
    }
  }

  /// Ends the watch with an error.
  void end(const ErrorBody& body) {
    finished_ = true;
    if (exchange_.responseBegun()) {
      exchange_.writeStream(encodeWatchLine(body));
    } else {
      exchange_.sendError(body);
    }
  }

  bool finished() const { return finished_; }

 private:
  void writeEvents(const control::ApiWatchEvents& events, TimePoint now) {
    std::string lines;
    for (const protocol::Change& change : events.changes) {
      lines += encodeWatchLine(change);
    }
    version_ = events.version;
    writeBookmark(std::move(lines), now);
  }

  /// The lines and the bookmark that covers them go out in one write.
  void writeBookmark(std::string lines, TimePoint now) {
    if (!exchange_.responseBegun()) {
      exchange_.beginStream("application/x-ndjson");
    }
    writtenAt_ = now;
    lines += encodeWatchLine(WatchBookmark{version_});
    finished_ = !exchange_.writeStream(lines);
  }

  Exchange& exchange_;
  resource::Version version_;
  TimePoint writtenAt_;
  bool finished_ = false;
};

}  // namespace

void streamWatch(Exchange& exchange, ResourceBackend& backend, const WatchScope& scope) {
  OpenWatch watch(backend, scope);
  WatchWriter writer(exchange, scope.from);
  writer.take(watch.queue().popFor(kRefusalWait), runtime::now());
  while (!writer.finished() && !exchange.peerGone()) {
    if (backend.stopping()) {
      writer.end(resourceErrorBody(Error{ErrorCode::stopping, "watch", "watch another server"}));
      return;
    }
    writer.take(watch.queue().popFor(kCheckInterval), runtime::now());
  }
}

}  // namespace walnut::http
