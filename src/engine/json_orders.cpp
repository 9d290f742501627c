/// Orders, reports, cache events and the platform list.
#include <Poco/JSON/Array.h>

#include "engine/json_parts.h"
#include "walnut/engine/json_codec.h"

namespace walnut::engine {

namespace {

/// Each list is in the order of its enum.
const std::vector<std::string>& actionNames() {
  static const std::vector<std::string> kNames = {"load", "unload"};
  return kNames;
}

const std::vector<std::string>& heldStateNames() {
  static const std::vector<std::string> kNames = {"loading", "ready", "unloading", "failed"};
  return kNames;
}

const std::vector<std::string>& tierNames() {
  static const std::vector<std::string> kNames = {"host_memory", "local_disk"};
  return kNames;
}

template <class Enum>
const std::string& nameOf(const std::vector<std::string>& names, Enum value) {
  return names.at(static_cast<std::size_t>(value));
}

Poco::JSON::Object heldToJson(const HeldServable& held) {
  Poco::JSON::Object object;
  object.set("servable", servableToJson(held.servable));
  object.set("accelerator", held.accelerator.value);
  object.set("bytes", held.bytes);
  object.set("state", nameOf(heldStateNames(), held.state));
  object.set("active_requests", held.activeRequests);
  return object;
}

HeldServable heldFromJson(const JsonReader& reader) {
  HeldServable held;
  held.servable = servableFromJson(reader.object("servable"));
  held.accelerator.value = reader.unsigned32("accelerator");
  held.bytes = reader.unsignedInteger("bytes");
  held.state = static_cast<HeldState>(reader.choice("state", heldStateNames()));
  held.activeRequests = reader.unsigned32("active_requests");
  return held;
}

Report reportFromJson(const JsonReader& reader) {
  Report report;
  report.incarnation.value = reader.unsignedInteger("incarnation");
  report.greatestToken = tokenFromJson(reader.object("greatest_token"));
  report.leaving = reader.boolean("leaving");
  report.load = loadFromJson(reader.object("load"));
  report.acceleratorBytes = reader.unsignedIntegers("accelerator_bytes");
  for (const JsonReader& held : reader.objects("held")) {
    report.held.push_back(heldFromJson(held));
  }
  for (const JsonReader& cached : reader.objects("cached")) {
    const auto tier = static_cast<CacheTier>(cached.choice("tier", tierNames()));
    report.cached.push_back({cached.string("checkpoint"), tier});
  }
  return report;
}

Poco::JSON::Object machineToJson(const PlatformMachine& machine) {
  Poco::JSON::Object object;
  object.set("engine", machine.engine.value);
  object.set("address", machine.endpoint.address);
  object.set("port", machine.endpoint.port);
  object.set("zone", machine.zone.value);
  object.set("machine_class", machine.machineClass);
  object.set("leaving", machine.leaving);
  if (machine.reclaimAt) {
    object.set("reclaim_at_micros", base::toMicros(*machine.reclaimAt));
  }
  return object;
}

PlatformMachine machineFromJson(const JsonReader& reader) {
  PlatformMachine machine;
  machine.engine.value = reader.string("engine");
  machine.endpoint = {reader.string("address"), reader.unsigned16("port")};
  machine.zone.value = reader.string("zone");
  machine.machineClass = reader.stringOr("machine_class", "");
  machine.leaving = reader.booleanOr("leaving", false);
  if (reader.has("reclaim_at_micros")) {
    machine.reclaimAt = base::fromMicros(reader.signedInteger("reclaim_at_micros"));
  }
  return machine;
}

}  // namespace

std::string encodeOrder(const Order& order) {
  Poco::JSON::Object object;
  object.set("token", tokenToJson(order.token));
  object.set("incarnation", order.incarnation.value);
  object.set("action", nameOf(actionNames(), order.action));
  object.set("servable", servableToJson(order.servable));
  object.set("accelerator", order.accelerator.value);
  object.set("checkpoint", order.checkpoint);
  object.set("checkpoint_bytes", order.checkpointBytes);
  object.set("accelerator_bytes", order.acceleratorBytes);
  return stringifyJson(object);
}

base::Result<Order> decodeOrder(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    Order order;
    order.token = tokenFromJson(reader.object("token"));
    order.incarnation.value = reader.unsignedInteger("incarnation");
    order.action = static_cast<OrderAction>(reader.choice("action", actionNames()));
    order.servable = servableFromJson(reader.object("servable"));
    order.accelerator.value = reader.unsigned32("accelerator");
    order.checkpoint = reader.string("checkpoint");
    order.checkpointBytes = reader.unsignedInteger("checkpoint_bytes");
    order.acceleratorBytes = reader.unsignedInteger("accelerator_bytes");
    return order;
  });
}

std::string encodeOrderAccepted(const OrderAccepted& accepted) {
  Poco::JSON::Object object;
  object.set("greatest_token", tokenToJson(accepted.greatestToken));
  return stringifyJson(object);
}

base::Result<OrderAccepted> decodeOrderAccepted(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    return OrderAccepted{tokenFromJson(reader.object("greatest_token"))};
  });
}

std::string encodeReportRequest(const ReportRequest& request) {
  Poco::JSON::Object object;
  object.set("token", tokenToJson(request.token));
  return stringifyJson(object);
}

base::Result<ReportRequest> decodeReportRequest(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    return ReportRequest{tokenFromJson(reader.object("token"))};
  });
}

std::string encodeReport(const Report& report) {
  Poco::JSON::Object object;
  object.set("incarnation", report.incarnation.value);
  object.set("greatest_token", tokenToJson(report.greatestToken));
  object.set("leaving", report.leaving);
  object.set("load", loadToJson(report.load));
  Poco::JSON::Array accelerators;
  for (const std::uint64_t bytes : report.acceleratorBytes) {
    accelerators.add(bytes);
  }
  object.set("accelerator_bytes", accelerators);
  Poco::JSON::Array held;
  for (const HeldServable& servable : report.held) {
    held.add(heldToJson(servable));
  }
  object.set("held", held);
  Poco::JSON::Array cached;
  for (const CachedCheckpoint& checkpoint : report.cached) {
    Poco::JSON::Object entry;
    entry.set("checkpoint", checkpoint.checkpoint);
    entry.set("tier", nameOf(tierNames(), checkpoint.tier));
    cached.add(entry);
  }
  object.set("cached", cached);
  return stringifyJson(object);
}

base::Result<Report> decodeReport(std::string_view body) {
  return decodeJson(body, reportFromJson);
}

std::string encodeCacheEvents(const std::vector<CacheEvent>& events) {
  Poco::JSON::Array array;
  for (const CacheEvent& event : events) {
    Poco::JSON::Object entry;
    entry.set("sequence", event.sequence);
    entry.set("servable", servableToJson(event.servable));
    entry.set("prefix_hash", event.prefixHash);
    entry.set("evicted", event.evicted);
    array.add(entry);
  }
  Poco::JSON::Object object;
  object.set("events", array);
  return stringifyJson(object);
}

base::Result<std::vector<CacheEvent>> decodeCacheEvents(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    std::vector<CacheEvent> events;
    for (const JsonReader& entry : reader.objects("events")) {
      events.push_back({entry.unsignedInteger("sequence"),
                        servableFromJson(entry.object("servable")),
                        entry.unsignedInteger("prefix_hash"), entry.boolean("evicted")});
    }
    return events;
  });
}

std::string encodePlatformList(const PlatformList& list) {
  Poco::JSON::Array machines;
  for (const PlatformMachine& machine : list.machines) {
    machines.add(machineToJson(machine));
  }
  Poco::JSON::Object object;
  object.set("as_of_micros", base::toMicros(list.asOf));
  object.set("machines", machines);
  return stringifyJson(object);
}

base::Result<PlatformList> decodePlatformList(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    PlatformList list;
    list.asOf = base::fromMicros(reader.signedInteger("as_of_micros"));
    for (const JsonReader& machine : reader.objects("machines")) {
      list.machines.push_back(machineFromJson(machine));
    }
    return list;
  });
}

}  // namespace walnut::engine
