#pragma once
/// @file
/// The form in which views go over the wire from a leader to its gateways. A leader tells each
/// change to every gateway, so that bytes grow with changes x gateways: names are told once a
/// connection and numbered from then on, a worker's record is told only when it is new, and numbers
/// take as many bytes as they need (LEB128).

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// What one gateway has been told by an encoder on its present connection.
struct ViewCursor {
  std::uint64_t epoch = 0;                         ///< Of the encoder's names.
  std::vector<bool> names;                         ///< By number.
  std::map<std::uint32_t, std::uint64_t> records;  ///< Revisions, by the number of the worker.
  bool takesLimits = false;                        ///< The gateway reads limits of workers.
};

/// Kept by the leader, one for all gateways. Views must be sent in the order of encoding.
class ViewEncoder {
 public:
  /// Names that are numbered before numbering starts anew: workers and models come and go.
  static constexpr std::size_t kMostNames = 1U << 16U;

  /// @param cursor of the receiver; a complete view starts it anew.
  std::string encode(const ViewUpdate& view, ViewCursor& cursor);

 private:
  struct Record {
    WorkerRecord record;
    std::uint64_t revision = 0;
  };
  class Writer;

  std::uint32_t numberOf(const std::string& name);
  bool recordIsNew(std::uint32_t worker, const WorkerRecord& record, ViewCursor& cursor);
  void startAnewIfFull();
  void writeChanged(const WorkerView& view, ViewCursor& cursor, Writer& writer);

  std::uint64_t epoch_ = 1;
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::map<std::uint32_t, Record> records_;  ///< As last encoded, by the number of the worker.
};

/// Kept by a gateway for the connection to the leader that it follows.
class ViewDecoder {
 public:
  /// @return the view as it was encoded, or `malformedInput`: the gateway must then subscribe
  /// again, and is sent a complete view.
  base::Result<ViewUpdate> decode(std::string_view bytes);

 private:
  class Reader;

  WorkerView readChanged(Reader& reader);
  void readNames(Reader& reader);

  std::vector<std::string> names_;                 ///< By number.
  std::map<std::uint32_t, WorkerRecord> records_;  ///< By the number of the worker.
};

}  // namespace walnut::registry
