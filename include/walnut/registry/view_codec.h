#pragma once
/// @file
/// Compact wire encoding of views, from a leader to its gateways. A leader sends each change to
/// every gateway, so that traffic grows with changes x gateways. Therefore names are sent once per
/// connection and referred to by number, a worker's record is sent only when it is new, and numbers
/// are of variable length (LEB128).

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// State of the encoding for one gateway on its present connection: what was sent to it before.
struct ViewCursor {
  std::uint64_t epoch = 0;                         ///< Epoch of the encoder's name numbers.
  std::vector<bool> names;                         ///< True for names sent, by number.
  std::map<std::uint32_t, std::uint64_t> records;  ///< Revisions sent, by number of the worker.
  bool acceptsLimits = false;                      ///< The gateway reads limits of workers.
  bool acceptsVersions = false;  ///< The gateway reads software versions of workers.
};

/// Encoder of views; the leader has one for all gateways. Views must be sent in the order in which
/// they were encoded.
class ViewEncoder {
 public:
  /// Most names that are numbered before the numbering is reset: workers and models come and go.
  static constexpr std::size_t kMaxNames = 1U << 16U;

  /// @param cursor state of the receiver; a complete view resets it.
  std::string encode(const ViewUpdate& view, ViewCursor& cursor);

 private:
  struct Record {
    WorkerRecord record;
    std::uint64_t revision = 0;
  };
  class Writer;

  std::uint32_t numberOf(const std::string& name);
  bool recordIsNew(std::uint32_t worker, const WorkerRecord& record, ViewCursor& cursor);
  void resetIfFull();
  void writeChanged(const WorkerView& view, ViewCursor& cursor, Writer& writer);

  std::uint64_t epoch_ = 1;
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::map<std::uint32_t, Record> records_;  ///< Last encoded records, by number of the worker.
};

/// Decoder of views; a gateway has one for its connection to the leader.
class ViewDecoder {
 public:
  /// @return the view, or `malformedInput`: the gateway must then subscribe again, and is sent a
  /// complete view.
  base::Result<ViewUpdate> decode(std::string_view bytes);

 private:
  class Reader;

  WorkerView readChanged(Reader& reader);
  void readNames(Reader& reader);

  std::vector<std::string> names_;                 ///< By number.
  std::map<std::uint32_t, WorkerRecord> records_;  ///< By the number of the worker.
};

}  // namespace walnut::registry
