#include "scale/traffic.h"

#include "transport/frame.h"

namespace walnut::scale {

namespace {

/// In the order of the alternatives.
constexpr std::array<const char*, std::variant_size_v<protocol::Message>> kKindNames = {
    "Hello",        "consensus",  "ProbeRequest",      "ProbeReply",
    "WatchRequest", "WatchDelta", "WatchSnapshotPage", "DemandReport",
    "ClaimRequest", "ClaimReply", "ForwardedRequest",  "ForwardedReply"};

}  // namespace

const char* messageKindName(std::size_t kind) { return kKindNames.at(kind); }

std::uint64_t frameBytes(const protocol::Message& message) {
  return transport::encodeFrame(message).value().size();
}

}  // namespace walnut::scale
