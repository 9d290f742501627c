#pragma once
/// @file
/// Interface that reads and writes the header fields of callers' requests and workers' responses.
/// Only its implementations know the names of header fields.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/net/http_message.h"
#include "walnut/registry/worker.h"

namespace walnut::gateway {

/// The properties of a request, as read from its header fields.
struct RequestFacts {
  std::string requestId;                   ///< Empty if none was given.
  std::optional<base::Duration> deadline;  ///< For how long its caller waits.
  std::string model;                       ///< Empty for a plain service.
  std::string adapter;                     ///< Empty for the model itself.
  std::uint64_t promptTokens = 0;
  std::uint64_t mostTokens = 0;  ///< Maximum that may be generated.
  bool tellsTokens = false;
  std::string key;  ///< Secret API key, or empty. Kept until the tenant is found.
  /// @name Set by the gateway from the key
  /// @{
  std::string tenant;  ///< Empty if the request needs no key.
  std::optional<std::uint32_t> tenantPriority;
  double quotaCost = 0;  ///< Taken from the tenant's quota.
  /// @}
  std::vector<std::string> promptParts;  ///< Ids of the prompt's parts, in order.
  std::string resumeAfter;               ///< Id of the caller's last event, or empty.
  /// Id of the request that brought the first event of the stream which this one takes up, or
  /// empty.
  std::string resumedRequest;
};

/// What the gateway adds to a request for a worker.
struct AttemptFacts {
  std::string target;  ///< Name of the worker.
  base::Duration deadline{0};
  std::uint32_t priority = 0;
  std::string resumeAfter;  ///< Id of the last event passed on; empty: as in the request.
  std::string tenant;       ///< Tenant of the request's key; empty if it needs no key.
};

/// The properties of a worker's response, as read from its header fields.
struct AnswerFacts {
  std::string requestId;
  bool sealed = false;       ///< The worker itself made and sealed the response.
  bool notExecuted = false;  ///< The request was not executed and never will be.
  bool encoded = false;      ///< Encoded on its way: not the worker's own body.
  /// Requests per second that the worker accepts from all gateways together; absent if the response
  /// announces no limit.
  std::optional<double> limit;
  /// Set if the response announces a limit that can't be read; the error's field names it.
  std::optional<base::Error> limitError;
};

/// Reads and writes the header fields of one API.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;
  virtual RequestFacts readRequest(const net::HttpRequest& request) const = 0;
  /// Removes the header fields that only the system may send to a worker, and the caller's key.
  virtual void removeSystemFields(net::HttpRequest& request) const = 0;
  /// @return the identity of a caller without a key, which stays the same when it sends a request
  /// again under another id.
  virtual std::string callerOf(const net::HttpRequest& request) const = 0;
  virtual void writeAttempt(net::HttpRequest& request, const AttemptFacts& facts) const = 0;
  virtual AnswerFacts readAnswer(int status, const net::HeaderList& headers) const = 0;
  /// @return true for a readiness probe, which asks whether the gateway accepts new connections.
  virtual bool isReadinessCall(const net::HttpRequest& request) const = 0;
};

}  // namespace walnut::gateway
