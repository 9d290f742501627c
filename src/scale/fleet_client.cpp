#include "scale/fleet_client.h"

#include <cstdlib>
#include <sstream>

#include "engine/json_fields.h"
#include "http/resource_codec.h"
#include "resource/validation.h"

namespace walnut::scale {

namespace {

constexpr base::Duration kTimeout = std::chrono::seconds(6);
constexpr std::size_t kMaxReplyBytes = 4U << 20U;
constexpr int kOk = 200;

base::Result<http::Reply> exchange(const base::Endpoint& server,
                                   const http::ClientRequest& request) {
  http::HttpClientConnection connection;
  BOOST_OUTCOME_TRYV(connection.connect(server, kTimeout));
  BOOST_OUTCOME_TRYV(connection.setTimeout(kTimeout));
  return connection.exchange(request, false, kMaxReplyBytes);
}

}  // namespace

base::Result<resource::Version> FleetClient::put(const resource::Resource& resource) const {
  http::ClientRequest request;
  request.method = "PUT";
  request.path = std::string("/v1/resources/") + resource::kindName(resource.key.kind) + "/" +
                 resource.key.name;
  request.body = engine::stringifyJson(http::encodePutBody({std::nullopt, resource.spec}));
  base::Error error{base::ErrorCode::noQuorum, "api", "no controller was asked"};
  for (const base::Endpoint& api : apis_) {
    const auto reply = exchange(api, request);
    if (reply.has_error()) {
      error = reply.error();
      continue;
    }
    if (reply.value().status == kOk) {
      BOOST_OUTCOME_TRY(answer, http::decodeWriteAnswer(reply.value().body));
      return answer.version;
    }
    error = {base::ErrorCode::outOfRange, resource.key.name, reply.value().body};
  }
  return error;
}

std::optional<std::size_t> FleetClient::leader() const {
  for (std::size_t number = 0; number < apis_.size(); ++number) {
    const auto leads = readMetric(apis_[number], "walnut_leader");
    if (leads && *leads > 0) {
      return number;
    }
  }
  return std::nullopt;
}

std::optional<double> readMetric(const base::Endpoint& server, const std::string& name) {
  const auto reply = exchange(server, {"GET", "/metrics", ""});
  if (reply.has_error() || reply.value().status != kOk) {
    return std::nullopt;
  }
  std::istringstream lines(reply.value().body);
  std::optional<double> sum;
  for (std::string line; std::getline(lines, line);) {
    const bool plain = line.starts_with(name + " ");
    const bool labelled = line.starts_with(name + "{");
    if (plain || labelled) {
      sum = sum.value_or(0) + std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
  }
  return sum;
}

}  // namespace walnut::scale
