#pragma once
/// @file
/// How callers' requests and workers' answers are read and written. Implemented by a dialect; names
/// of header fields are known nowhere else.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/net/http_message.h"
#include "walnut/registry/worker.h"

namespace walnut::gateway {

/// What a request says of itself.
struct RequestFacts {
  std::string requestId;                   ///< Empty: none was given.
  std::optional<base::Duration> deadline;  ///< How long its caller will wait.
  std::string model;                       ///< Empty: for a plain service.
  std::string adapter;                     ///< Empty: the model itself.
  std::uint64_t promptTokens = 0;
  std::uint64_t mostTokens = 0;  ///< That it may produce.
  bool tellsTokens = false;
  std::string key;  ///< A secret; empty: none was given. Kept until the tenant is found.
  /// @name Found by the gateway from the key
  /// @{
  std::string tenant;  ///< Empty: the request needs no key.
  std::optional<std::uint32_t> tenantPriority;
  double quotaCost = 0;  ///< Taken from the tenant's quota.
  /// @}
  std::vector<std::string> promptParts;  ///< Ids of the parts of the prompt, in their order.
  std::string resumeAfter;               ///< Id of the last event that the caller has; or empty.
};

/// What the gateway says to a worker.
struct AttemptFacts {
  std::string target;  ///< Name of the worker.
  base::Duration deadline{0};
  std::uint32_t priority = 0;
  std::string resumeAfter;  ///< Id of the last event that was passed on; empty: as in the request.
  std::string tenant;       ///< Whose key the request bore; empty: nobody's.
};

/// What a worker's answer says.
struct AnswerFacts {
  std::string requestId;
  bool sealed = false;       ///< The worker vouches for it.
  bool notExecuted = false;  ///< The request was not run, and never will be.
  bool encoded = false;      ///< The body is not the worker's own.
  /// Requests a second that the worker takes from all gateways together; absent: it names no limit.
  std::optional<double> limit;
  /// It names a limit that can't be read; the field tells which one.
  std::optional<base::Error> limitError;
};

class RequestDialect {
 public:
  virtual ~RequestDialect() = default;
  virtual RequestFacts readRequest(const net::HttpRequest& request) const = 0;
  /// Takes out what only the system may say to a worker, the caller's key among it.
  virtual void removeSystemFields(net::HttpRequest& request) const = 0;
  /// @return what a caller without a key is known by when it sends a request again, under another
  /// id.
  virtual std::string callerOf(const net::HttpRequest& request) const = 0;
  virtual void writeAttempt(net::HttpRequest& request, const AttemptFacts& facts) const = 0;
  virtual AnswerFacts readAnswer(int status, const net::HeaderList& headers) const = 0;
  /// @return true if this is the question whether the gateway takes new connections.
  virtual bool isReadinessCall(const net::HttpRequest& request) const = 0;
};

}  // namespace walnut::gateway
