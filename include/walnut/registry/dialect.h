#pragma once
/// @file
/// How operators and workers speak to a registry, and how it speaks to workers. Implemented by a
/// dialect; paths and field names are known nowhere else.

#include "walnut/net/http_message.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

class ControlDialect {
 public:
  virtual ~ControlDialect() = default;
  /// @return the call, or `notFound` or an error that names the field.
  virtual base::Result<ControlCall> readCall(const net::HttpRequest& request) const = 0;
  virtual net::HttpResponse writeAnswer(const ControlCall& call,
                                        const ControlAnswer& answer) const = 0;
  /// Of a request that is no call.
  virtual net::HttpResponse writeError(const base::Error& error) const = 0;
};

class WorkerDialect {
 public:
  virtual ~WorkerDialect() = default;
  virtual net::HttpRequest writeOrder(const SendOrder& order) const = 0;
  virtual OrderOutcome readOrderAnswer(const net::HttpResponse& response) const = 0;
  virtual net::HttpRequest writeReportCall(const WorkerRecord& worker) const = 0;
  virtual base::Result<WorkerReport> readReport(const net::HttpResponse& response) const = 0;
};

}  // namespace walnut::registry
