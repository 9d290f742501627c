#include "walnut/registry/view_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace walnut::registry {

namespace {

constexpr unsigned kBitsPerByte = 7;
constexpr unsigned kMaxShift = 63;
constexpr std::uint8_t kMoreBytes = 0x80;
constexpr std::uint8_t kValueBits = 0x7f;

/// @name Flags of a view and of a worker in it
/// @{
constexpr std::uint64_t kComplete = 1;
constexpr std::uint64_t kResetsNames = 2;
constexpr std::uint64_t kMarked = 4;  ///< Of a view: a mark follows the servers.
constexpr std::uint64_t kWithRecord = 1;
constexpr std::uint64_t kSilent = 2;
constexpr std::uint64_t kHoldingsKnown = 4;
constexpr std::uint64_t kFailing = 8;
constexpr std::uint64_t kLimited = 16;
constexpr std::uint64_t kVersioned = 32;  ///< The record has a software version.
/// @}

/// Limits are encoded in thousandths of a request per second.
constexpr double kLimitUnits = 1000;

base::Error malformed(const char* detail) {
  return {base::ErrorCode::malformedInput, "view", detail};
}

}  // namespace

/// Writes the body of a view. Names that the receiver does not know are collected and precede the
/// body.
class ViewEncoder::Writer {
 public:
  Writer(ViewEncoder& encoder, ViewCursor& cursor) : encoder_(encoder), cursor_(cursor) {}

  void number(std::uint64_t value) { append(body_, value); }
  void text(std::string_view text) { append(body_, text); }
  std::uint32_t name(const std::string& name) {
    const std::uint32_t assigned = encoder_.numberOf(name);
    if (cursor_.names.size() <= assigned) {
      cursor_.names.resize(assigned + 1, false);
    }
    if (!cursor_.names[assigned]) {
      cursor_.names[assigned] = true;
      append(newNames_, assigned);
      append(newNames_, std::string_view(name));
      ++newCount_;
    }
    number(assigned);
    return assigned;
  }
  std::string finish(std::uint64_t flags) const {
    std::string bytes;
    append(bytes, flags);
    append(bytes, newCount_);
    return bytes + newNames_ + body_;
  }

 private:
  static void append(std::string& bytes, std::uint64_t value) {
    while (value > kValueBits) {
      bytes.push_back(static_cast<char>((value & kValueBits) | kMoreBytes));
      value >>= kBitsPerByte;
    }
    bytes.push_back(static_cast<char>(value));
  }
  static void append(std::string& bytes, std::string_view text) {
    append(bytes, std::uint64_t{text.size()});
    bytes.append(text);
  }

  ViewEncoder& encoder_;
  ViewCursor& cursor_;
  std::string newNames_;
  std::uint64_t newCount_ = 0;
  std::string body_;
};

std::uint32_t ViewEncoder::numberOf(const std::string& name) {
  return numbers_.try_emplace(name, static_cast<std::uint32_t>(numbers_.size())).first->second;
}

void ViewEncoder::resetIfFull() {
  if (numbers_.size() >= kMaxNames) {
    numbers_.clear();
    records_.clear();
    ++epoch_;
  }
}

bool ViewEncoder::recordIsNew(std::uint32_t worker, const WorkerRecord& record,
                              ViewCursor& cursor) {
  Record& held = records_[worker];
  if (held.revision == 0 || !(held.record == record)) {
    held.record = record;
    ++held.revision;
  }
  std::uint64_t& sent = cursor.records[worker];
  return std::exchange(sent, held.revision) != held.revision;
}

void ViewEncoder::writeChanged(const WorkerView& view, ViewCursor& cursor, Writer& writer) {
  const std::uint32_t worker = writer.name(view.record.id.value);
  const bool withRecord = recordIsNew(worker, view.record, cursor);
  const bool limited = view.limit && cursor.acceptsLimits;
  const bool versioned =
      withRecord && cursor.acceptsVersions && !view.record.softwareVersion.empty();
  writer.number((withRecord ? kWithRecord : 0) | (view.silent ? kSilent : 0) |
                (view.failing ? kFailing : 0) | (view.holdingsKnown ? kHoldingsKnown : 0) |
                (limited ? kLimited : 0) | (versioned ? kVersioned : 0));
  if (limited) {
    writer.number(static_cast<std::uint64_t>(std::llround(*view.limit * kLimitUnits)));
  }
  if (withRecord) {
    writer.name(view.record.service);
    writer.text(view.record.endpoint.address);
    writer.number(view.record.endpoint.port);
    writer.name(view.record.zone.value);
    writer.number(view.record.slots);
    writer.number(view.record.leaving ? 1 : 0);
    writer.text(view.record.name);
    writer.number(view.record.bornMillis);
  }
  if (versioned) {
    writer.text(view.record.softwareVersion);
  }
  writer.number(view.models.size());
  for (const HeldModel& model : view.models) {
    writer.name(model.name);
    writer.number(model.version);
    writer.number(model.adapters.size());
    for (const std::string& adapter : model.adapters) {
      writer.name(adapter);
    }
  }
}

std::string ViewEncoder::encode(const ViewUpdate& view, ViewCursor& cursor) {
  resetIfFull();
  const bool resetsNames = view.complete || cursor.epoch != epoch_;
  if (resetsNames) {
    cursor.names.clear();
    cursor.records.clear();
    cursor.epoch = epoch_;
  }
  Writer writer(*this, cursor);
  writer.number(view.term);
  writer.number(view.documentVersion);
  writer.number(view.gateways);
  writer.number(view.changed.size());
  for (const WorkerView& changed : view.changed) {
    writeChanged(changed, cursor, writer);
  }
  writer.number(view.removed.size());
  for (const WorkerId& worker : view.removed) {
    writer.name(worker.value);
  }
  writer.number(view.loads.size());
  for (const WorkerLoad& load : view.loads) {
    writer.name(load.worker.value);
    writer.number(load.running);
  }
  writer.number(view.servers.size());
  for (const base::Endpoint& server : view.servers) {
    writer.text(server.address);
    writer.number(server.port);
  }
  if (view.mark != 0) {
    writer.number(view.mark);
  }
  return writer.finish((view.complete ? kComplete : 0) | (resetsNames ? kResetsNames : 0) |
                       (view.mark != 0 ? kMarked : 0));
}

/// Reads values of a view. Fails permanently at the first unreadable value; all further values are
/// empty.
class ViewDecoder::Reader {
 public:
  Reader(std::string_view bytes, const std::vector<std::string>& names)
      : rest_(bytes), names_(names) {}

  std::uint64_t number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= kMaxShift && !rest_.empty(); shift += kBitsPerByte) {
      const auto byte = static_cast<std::uint8_t>(rest_.front());
      rest_.remove_prefix(1);
      value |= (std::uint64_t{byte} & kValueBits) << shift;
      if ((byte & kMoreBytes) == 0) {
        return value;
      }
    }
    failed_ = true;
    return 0;
  }
  template <class Narrow>
  Narrow number() {
    const std::uint64_t value = number();
    failed_ = failed_ || value > std::numeric_limits<Narrow>::max();
    return failed_ ? 0 : static_cast<Narrow>(value);
  }
  /// @return the number of items that follow, each of at least one byte.
  std::uint64_t count() {
    const std::uint64_t value = number();
    failed_ = failed_ || value > rest_.size();
    return failed_ ? 0 : value;
  }
  std::string text() {
    const std::uint64_t size = count();
    std::string text(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return text;
  }
  std::uint32_t nameNumber() {
    const auto value = number<std::uint32_t>();
    failed_ = failed_ || value >= names_.size();
    return failed_ ? 0 : value;
  }
  std::string name() {
    const std::uint32_t value = nameNumber();
    return failed_ ? std::string() : names_[value];
  }
  void fail() { failed_ = true; }
  bool failed() const { return failed_; }
  bool finished() const { return !failed_ && rest_.empty(); }

 private:
  std::string_view rest_;
  const std::vector<std::string>& names_;
  bool failed_ = false;
};

void ViewDecoder::readNames(Reader& reader) {
  const std::uint64_t count = reader.count();
  for (std::uint64_t index = 0; index < count && !reader.failed(); ++index) {
    const auto number = reader.number<std::uint32_t>();
    std::string name = reader.text();
    if (number >= ViewEncoder::kMaxNames * 2) {
      reader.fail();
      return;
    }
    if (names_.size() <= number) {
      names_.resize(number + 1);
    }
    names_[number] = std::move(name);
  }
}

WorkerView ViewDecoder::readChanged(Reader& reader) {
  WorkerView view;
  const std::uint32_t worker = reader.nameNumber();
  const std::uint64_t flags = reader.number();
  view.silent = (flags & kSilent) != 0;
  view.failing = (flags & kFailing) != 0;
  view.holdingsKnown = (flags & kHoldingsKnown) != 0;
  if ((flags & kLimited) != 0) {
    view.limit = static_cast<double>(reader.number()) / kLimitUnits;
  }
  if (!reader.failed() && (flags & kWithRecord) != 0) {
    WorkerRecord& record = records_[worker];
    record.id = {names_[worker]};
    record.service = reader.name();
    record.endpoint.address = reader.text();
    record.endpoint.port = reader.number<std::uint16_t>();
    record.zone = {reader.name()};
    record.slots = reader.number<std::uint32_t>();
    record.leaving = reader.number() != 0;
    record.name = reader.text();
    record.bornMillis = reader.number();
    record.softwareVersion = (flags & kVersioned) != 0 ? reader.text() : std::string();
  }
  const auto known = records_.find(worker);
  if (known == records_.end()) {
    reader.fail();
    return view;
  }
  view.record = known->second;
  const std::uint64_t models = reader.count();
  for (std::uint64_t index = 0; index < models && !reader.failed(); ++index) {
    HeldModel& model = view.models.emplace_back();
    model.name = reader.name();
    model.version = reader.number();
    const std::uint64_t adapters = reader.count();
    for (std::uint64_t adapter = 0; adapter < adapters && !reader.failed(); ++adapter) {
      model.adapters.push_back(reader.name());
    }
  }
  return view;
}

base::Result<ViewUpdate> ViewDecoder::decode(std::string_view bytes) {
  Reader reader(bytes, names_);
  const std::uint64_t flags = reader.number();
  if ((flags & kResetsNames) != 0) {
    names_.clear();
    records_.clear();
  }
  readNames(reader);
  ViewUpdate view;
  view.complete = (flags & kComplete) != 0;
  view.term = reader.number();
  view.documentVersion = reader.number();
  view.gateways = reader.number<std::uint32_t>();
  const std::uint64_t changed = reader.count();
  for (std::uint64_t index = 0; index < changed && !reader.failed(); ++index) {
    view.changed.push_back(readChanged(reader));
  }
  const std::uint64_t removed = reader.count();
  for (std::uint64_t index = 0; index < removed && !reader.failed(); ++index) {
    view.removed.push_back({reader.name()});
  }
  const std::uint64_t loads = reader.count();
  for (std::uint64_t index = 0; index < loads && !reader.failed(); ++index) {
    WorkerLoad& load = view.loads.emplace_back();
    load.worker = {reader.name()};
    load.running = reader.number<std::uint32_t>();
  }
  const std::uint64_t servers = reader.count();
  for (std::uint64_t index = 0; index < servers && !reader.failed(); ++index) {
    base::Endpoint& server = view.servers.emplace_back();
    server.address = reader.text();
    server.port = reader.number<std::uint16_t>();
  }
  view.mark = (flags & kMarked) != 0 ? reader.number() : 0;
  if (!reader.finished()) {
    return malformed(reader.failed() ? "truncated, or refers to an unknown name"
                                     : "trailing bytes after the view");
  }
  return view;
}

}  // namespace walnut::registry
