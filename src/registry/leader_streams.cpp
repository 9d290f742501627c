/// @file
/// The part of the leader's tasks that remembers where streams began and tells gateways.

#include <Poco/NumberFormatter.h>

#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Time from the start of a leadership in which gateways find the leader and report their streams.
constexpr base::Duration kReportsExpectedFor = std::chrono::seconds(1);

}  // namespace

void LeaderDuties::streamsBegan(const StreamsBegan& report, base::TimePoint now) {
  streamOrigins_.add(report, now);
}

/// Not answered is a question whose answer this server doesn't know but another gateway or a newer
/// leader may: the gateway asks again.
void LeaderDuties::findStreamOrigin(protocol::ConnectionId gateway,
                                    const FindStreamOrigin& question, base::TimePoint now,
                                    bool leaseValid) {
  StreamOriginFound answer{question.sequence, question.service, {}};
  std::string_view source = "unknown";
  if (auto origin = streamOrigins_.find(question.stream, now)) {
    answer.service = std::move(origin->service);
    answer.version = std::move(origin->version);
    source = "book";
  } else if (!leaseValid) {
    source = "no-lease";
  } else if (auto only = state_.onlyVersionOf(question.service)) {
    answer.version = std::move(*only);
    source = "only-version";
  } else if (question.stream != 0 && now < since_ + kReportsExpectedFor) {
    source = "reports-expected";
  }
  log_.write(LogEvent::streamOriginFound,
             {{"stream", Poco::NumberFormatter::formatHex(question.stream)},
              {"connection", gateway.value},
              {"service", answer.service},
              {"version", answer.version},
              {"source", source}});
  if (source != "no-lease" && source != "reports-expected") {
    actions_.emplace_back(
        control::SendToConnection{gateway, RegistryMessage{MessageBody(std::move(answer))}});
  }
}

}  // namespace walnut::registry
