#pragma once
/// @file
/// Memory of where streams began: at which version of which service.

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/registry/stream_messages.h"

namespace walnut::registry {

/// How long the beginning of a stream is remembered: longer than any caller takes a stream up.
inline constexpr base::Duration kStreamMemory = std::chrono::minutes(2);

/// The service and the software version of the worker at which a stream began.
struct StreamOrigin {
  std::string service;
  std::string version;
  auto operator<=>(const StreamOrigin&) const = default;
};

/// Adds a stream to the group of its origin.
void addStream(StreamsBegan& report, const StreamOrigin& origin, StreamId stream);

/// Origins of the streams that began lately. A stream begins at one version only, so an origin
/// never changes. To forget one is safe: what is not known is never guessed.
///
/// Invariant: an id that was reported with two origins is unknown until it has not been reported
/// for `kStreamMemory`, by when whoever reported it has forgotten it too.
class StreamOriginBook {
 public:
  /// @param maxStreams number of streams beyond which the oldest is forgotten.
  explicit StreamOriginBook(std::size_t maxStreams) : maxStreams_(maxStreams) {}

  /// Adds one stream. Ignored without an id or a version.
  /// @param now never earlier than in the previous call.
  /// @return true if this was not known before.
  bool add(StreamId stream, const StreamOrigin& origin, base::TimePoint now);
  void add(const StreamsBegan& report, base::TimePoint now);
  /// @return nothing if the origin is not known for certain.
  std::optional<StreamOrigin> find(StreamId stream, base::TimePoint now) const;
  /// @return reports of all streams, oldest first; a stream with two origins is reported with both.
  /// @param maxStreams most streams of one report.
  std::vector<StreamsBegan> reports(std::size_t maxStreams, base::TimePoint now) const;
  std::size_t size() const { return streams_.size(); }
  /// @return the number of different origins of the streams.
  std::size_t originCount() const { return indexes_.size(); }

 private:
  /// Place of an origin in `origins_`.
  using OriginIndex = std::uint32_t;
  static constexpr OriginIndex kNone = UINT32_MAX;

  struct Stream {
    base::TimePoint addedAt;
    OriginIndex origin = kNone;
    OriginIndex otherOrigin = kNone;  ///< Set if two were reported.
  };
  struct CountedOrigin {
    StreamOrigin origin;
    std::size_t uses = 0;
  };
  struct Addition {
    base::TimePoint at;
    StreamId stream = 0;
  };

  bool addToKnown(StreamId stream, Stream& known, const StreamOrigin& origin, base::TimePoint now);
  OriginIndex use(const StreamOrigin& origin);
  void release(OriginIndex index);
  void forgetOld(base::TimePoint now);
  void forgetOldest();

  const std::size_t maxStreams_;
  std::unordered_map<StreamId, Stream> streams_;
  /// Oldest first. An addition counts only if its time is that of the stream: a stream that is
  /// reported with two origins is added again.
  std::deque<Addition> additions_;
  std::vector<CountedOrigin> origins_;
  std::vector<OriginIndex> freeIndexes_;  ///< Places of `origins_` without a use.
  std::map<StreamOrigin, OriginIndex> indexes_;
};

}  // namespace walnut::registry
