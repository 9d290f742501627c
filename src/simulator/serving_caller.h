#pragma once
/// @file
/// One try of a caller of a simulated serving fleet.

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "simulator/received_stream.h"
#include "simulator/serving_fleet.h"

namespace walnut::simulator {

/// Field of a request that crashes its workers: its number.
inline constexpr const char* kCrashingField = "Crashing";

/// Field of a request with a part that crashes its workers: the number of that part.
inline constexpr const char* kCrashingPartField = "Crashing-Part";

/// After which a caller gives up a stream that does not begin.
inline constexpr base::Duration kGivesUpAfter = std::chrono::milliseconds(2400);
/// Until a caller comes back that does not heed Retry-After.
inline constexpr base::Duration kRetryPause = std::chrono::milliseconds(200);

/// One try of a caller.
struct ServingFleet::Caller : net::ResponseSink {
  explicit Caller(ServingFleet& owner) : fleet(owner) {}

  /// Streams are answered in pieces; what is refused, and answers of plain services, at once.
  void respond(net::HttpResponse response) override {
    constexpr int kOk = 200;
    const bool served = response.head.status == kOk;
    fleet.answered(*this, response);
    end(served);
  }
  void beginChunked(net::HttpResponseHead) override { begun = true; }
  void writeChunk(std::string_view bytes) override {
    stream.feed(bytes);
    fleet.received(*this);
  }
  void endChunked() override {
    fleet.streamCompleted(*this);
    end(true);
  }
  void abort() override { end(false); }
  std::size_t bufferedBytes() const override { return 0; }
  void setGoneCallback(std::function<void()> callback) override { gone = std::move(callback); }
  void setDrainedCallback(std::function<void()>) override {}

  void end(bool served) {
    answered = true;
    if (!std::exchange(over, true)) {
      fleet.ended(*this, served);
    }
  }

  ServingFleet& fleet;
  std::string id;  ///< Of this try.
  std::string target;
  std::string body;
  bool repeatable = true;
  std::uint32_t retries = 0;                ///< Left after this one.
  std::uint64_t counting = 0;               ///< By which it is counted.
  std::optional<std::size_t> crashing;      ///< Number of the request that crashes its workers.
  std::vector<std::string> parts;           ///< Of its prompt.
  std::optional<std::size_t> crashingPart;  ///< Number of the part that crashes its workers.
  std::optional<std::size_t> soundTry;      ///< Number of this try among the sound ones compared.
  ServingGateway* gateway = nullptr;
  std::size_t gatewayIndex = 0;
  std::function<void()> gone;
  bool begun = false;
  ReceivedStream stream;  ///< Of all its tries, if it takes streams up.
  std::string firstId;    ///< Of the try that brought the first event; empty: none did.
  bool takesUp = false;   ///< This try takes up a stream.
  bool counts = false;    ///< Its first event is going to be counted.
  base::TimePoint lastEventAt;
  base::TimePoint firstSentAt;  ///< Of its first try.
  base::TimePoint sentAt;
  std::optional<base::Duration> retryAfter;  ///< That this try was refused with.
  bool returns = false;                      ///< The try before was refused with one.
  bool over = false;
  bool answered = false;  ///< Also after it gave up.
};

}  // namespace walnut::simulator
