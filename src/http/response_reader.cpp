#include "http/response_reader.h"

#include <utility>

namespace walnut::http {

namespace {

constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

}  // namespace

ResponseReader::ResponseReader()
    : parser_(net::MessageParser::Kind::response, kMaxHeadBytes, *this) {}

void ResponseReader::begin(bool answersHead) {
  head_.reset();
  body_.clear();
  complete_ = false;
  surplus_ = false;
  if (answersHead) {
    parser_.expectNoBody();
  }
}

base::Result<void> ResponseReader::feed(std::string_view bytes) {
  while (!bytes.empty() && !complete_) {
    const auto taken = parser_.feed(bytes);
    if (taken.has_error()) {
      return base::Error{base::ErrorCode::malformedInput, "response", taken.error().detail};
    }
    bytes.remove_prefix(taken.value());
  }
  surplus_ = surplus_ || !bytes.empty();
  return base::success();
}

base::Result<void> ResponseReader::feedEnd() {
  if (parser_.feedEnd().has_error()) {
    return base::Error{base::ErrorCode::malformedInput, "response",
                       head_ ? "its body was cut short" : "its head was cut short"};
  }
  if (!complete_) {
    return base::Error{base::ErrorCode::connectionLost, "connection", "no response came"};
  }
  return base::success();
}

void ResponseReader::onHead(net::MessageHead head) {
  interim_ = head.status < kFirstFinalStatus && head.status != kSwitchingProtocols;
  if (!interim_) {
    head_ = std::move(head);
  }
}

void ResponseReader::onComplete() { complete_ = !std::exchange(interim_, false); }

}  // namespace walnut::http
