#include "simulator/received_stream.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string streamEvent(std::uint64_t id, const std::string& worker, const std::string& version) {
  return "id: " + std::to_string(id) + "\ndata: " + worker + " " + version + "\n\n";
}

void ReceivedStream::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find(kEventEnd);
    if (end == std::string_view::npos) {
      fail("part of an event", bytes);
      return;
    }
    takeEvent(bytes.substr(0, end));
    bytes.remove_prefix(end + kEventEnd.size());
  }
}

void ReceivedStream::takeEvent(std::string_view event) {
  std::istringstream text{std::string(event)};
  std::string idField;
  std::string dataField;
  std::string worker;
  std::string version;
  std::uint64_t id = 0;
  text >> idField >> id >> dataField >> worker >> version;
  if (idField != "id:" || id != lastId_ + 1) {
    fail("not the next event", event);
  }
  lastId_ = id;
  if (!version.empty()) {
    versions_.insert(version);
  }
}

void ReceivedStream::fail(std::string_view reason, std::string_view event) {
  if (error_.empty()) {
    error_ = std::string(reason) + " after " + std::to_string(lastId_) + ": " + std::string(event);
  }
}

}  // namespace walnut::simulator
