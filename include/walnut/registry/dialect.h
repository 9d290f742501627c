#pragma once
/// @file
/// Interfaces of the HTTP dialect between a registry, its operators and its workers. Paths and
/// field names are defined only by the implementations.

#include "walnut/net/http_message.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Parser of the HTTP requests of operators and workers, and writer of the responses.
class ControlDialect {
 public:
  virtual ~ControlDialect() = default;
  /// @return the call, or `notFound`, or an error that names the field.
  virtual base::Result<ControlCall> readCall(const net::HttpRequest& request) const = 0;
  virtual net::HttpResponse writeAnswer(const ControlCall& call,
                                        const ControlAnswer& answer) const = 0;
  /// @return the response to a request that is not a call.
  virtual net::HttpResponse writeError(const base::Error& error) const = 0;
};

/// Writer of HTTP requests to workers, and parser of their responses.
class WorkerDialect {
 public:
  virtual ~WorkerDialect() = default;
  virtual net::HttpRequest writeOrder(const SendOrder& order) const = 0;
  virtual OrderOutcome readOrderAnswer(const net::HttpResponse& response) const = 0;
  virtual net::HttpRequest writeReportCall(const WorkerRecord& worker) const = 0;
  virtual base::Result<WorkerReport> readReport(const net::HttpResponse& response) const = 0;
};

}  // namespace walnut::registry
