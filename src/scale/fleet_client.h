#pragma once
/// @file
/// Calls of the controllers' HTTP API: operators' writes and metrics.

#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "walnut/resource/types.h"

namespace walnut::scale {

/// Thread safe: each call makes its own connection.
class FleetClient {
 public:
  explicit FleetClient(std::vector<base::Endpoint> apis) : apis_(std::move(apis)) {}

  /// Replaces or creates a resource, at the controllers in turn until one accepts.
  /// @return the version of the change.
  base::Result<resource::Version> put(const resource::Resource& resource) const;
  /// @return the number of the controller that leads.
  std::optional<std::size_t> leader() const;

 private:
  const std::vector<base::Endpoint> apis_;
};

/// @return the sum over all samples of a metric of a daemon; nothing if it can't be read.
std::optional<double> readMetric(const base::Endpoint& server, const std::string& name);

}  // namespace walnut::scale
