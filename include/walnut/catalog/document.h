#pragma once
/// @file
/// The configuration document that an operator declares: routes, services, the models that services
/// serve, limits and tenants. A document is always replaced as a whole; the operator assigns its
/// version, and the highest version takes effect.

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::catalog {

/// Kind of the requests of a route; decides whether a request may run more than once.
enum class RouteKind : std::uint8_t { idempotent = 0, nonIdempotent = 1, streaming = 2 };

/// A service and its share of the traffic of a route.
struct WeightedService {
  std::string service;
  double weight = 1.0;
  bool operator==(const WeightedService&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// Maps the requests of one host whose path begins with a prefix to the services that serve them.
struct Route {
  std::string name;
  std::string host;
  std::string pathPrefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::nonIdempotent;
  base::Duration timeout{0};        ///< Longest time to answer a request.
  base::Duration targetLatency{0};  ///< Until the answer; for streams, until the first event.
  base::Duration targetGap{0};      ///< Longest intended pause between two events of a stream.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  std::uint32_t maxAttempts = 1;    ///< Number of workers that one request may be tried on.
  bool resumable = false;           ///< A broken stream may be resumed on another worker.
  bool sticky = false;
  bool open = false;  ///< Requests need no tenant key, even if tenants are declared.
  std::vector<WeightedService> services;

  /// @return true if a request may be retried although an earlier attempt may have run.
  bool repeatable() const {
    return kind == RouteKind::idempotent || (kind == RouteKind::streaming && resumable);
  }

  bool operator==(const Route&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, host, pathPrefix, kind, timeout, targetLatency, targetGap, priority, maxAttempts,
            resumable, sticky, open, services);
  }
};

/// A model that a service may serve. Its adapters are named a1, a2, ... up to `adapters`.
struct ModelSpec {
  std::string name;
  double weightsMegabytes = 0;
  base::Duration storeLoadTime{0};   ///< Time to load from the weight store.
  base::Duration diskLoadTime{0};    ///< Time to load from the worker's disk.
  base::Duration memoryLoadTime{0};  ///< Time to load from the worker's host memory.
  std::uint32_t adapters = 0;
  double adapterMegabytes = 0;

  /// @param adapter name of an adapter; empty for the base model, which always exists.
  bool hasAdapter(std::string_view adapter) const;
  bool operator==(const ModelSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, weightsMegabytes, storeLoadTime, diskLoadTime, memoryLoadTime, adapters,
            adapterMegabytes);
  }
};

/// Capacity of each worker of a model service, and the rate at which models may be loaded.
struct EngineSpec {
  std::uint32_t slots = 0;         ///< Requests that one worker can run in a batch.
  std::uint64_t cacheTokens = 0;   ///< Capacity of one worker's key-value cache.
  double weightsMegabytes = 0;     ///< Capacity of one worker for models and adapters.
  std::uint32_t adapterSlots = 0;  ///< Adapters that one worker can hold.
  double storeLoadsPerSecond = 0;  ///< Load rate of the weight store, for all workers together.
  std::vector<ModelSpec> models;

  /// @return the model of that name, or nullptr if none is declared.
  const ModelSpec* findModel(std::string_view name) const;
  bool operator==(const EngineSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(slots, cacheTokens, weightsMegabytes, adapterSlots, storeLoadsPerSecond, models);
  }
};

/// A group of interchangeable workers that serve the same requests.
struct Service {
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 0;  ///< Limit of one worker, for all callers together.
  std::optional<EngineSpec> engine;  ///< Absent for a plain service without models.
  /// @name Limits for a worker that has just started; used by servers only, not serialized
  /// @{
  base::Duration coldTime{0};  ///< Time after the start for which a worker counts as cold.
  double coldPerSecond = 0;    ///< Request rate that a cold worker can take; 0 means no limit.
  /// @}

  bool operator==(const Service&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, healthPath, maxConnections, engine);
  }
};

/// Limits on the size of requests and on the time that callers may take to send them.
struct RequestLimits {
  std::uint64_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 4U << 20U;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);

  bool operator==(const RequestLimits&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout);
  }
};

/// A party that may send requests, with its keys and its quota. The keys are secrets: they never
/// appear in a log, a metric or an error, and are never passed on to a worker.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< Overrides the route's; 0 is the most urgent.
  /// @name Quota of the tenant, over all gateways together
  /// @{
  double unitsPerSecond = 0;  ///< Sustained rate; 0 means no limit.
  double burst = 0;           ///< Units that may be used at once beyond the rate.
  bool countsTokens = false;  ///< If false, each request counts as one unit.
  double defaultTokens = 0;   ///< Cost of a request that states no token count.
  /// @}

  bool limited() const { return unitsPerSecond > 0; }

  bool operator==(const Tenant&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, priority, unitsPerSecond, burst, countsTokens, defaultTokens);
  }
};

/// A whole configuration document.
struct Document {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;
  std::vector<Tenant> tenants;
  /// Requests need the key of a tenant, except on open routes. This also holds if the list of
  /// tenants is empty: then no caller has a valid key.
  bool keyed = false;

  /// @return the service of that name, or nullptr if none is declared.
  const Service* findService(const std::string& name) const;

  bool operator==(const Document&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, tenants, keyed);
  }
};

}  // namespace walnut::catalog
