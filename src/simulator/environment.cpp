#include "simulator/environment.h"

#include <string>
#include <type_traits>
#include <variant>

namespace walnut::simulator {

namespace {

std::string describeKey(const resource::Key& key) {
  return std::to_string(static_cast<int>(key.kind)) + "/" + key.name;
}

const char* executedName(routing::Executed executed) {
  switch (executed) {
    case routing::Executed::no:
      return "no";
    case routing::Executed::yes:
      return "yes";
    case routing::Executed::unknown:
      return "unknown";
  }
  return "";
}

/// Text of the events that are worth a line; the others only enter the hash.
class Describer {
 public:
  explicit Describer(Trace& trace, base::TimePoint at) : trace_(trace), at_(at) {}

  void operator()(const RequestIssued& event) const {
    line("caller", event.request.value + " asks " + event.router + " for " + event.target +
                       (event.idempotencyKey.empty() ? "" : " key " + event.idempotencyKey) +
                       ", deadline " + formatTime(event.deadline));
  }
  void operator()(const TokenReceived& event) const { trace_.mix(at_, event.text); }
  void operator()(const AnswerEnded& event) const {
    line("caller", event.request.value + " answered, tokens " + std::to_string(event.tokenCount));
  }
  void operator()(const RequestRefused& event) const {
    line("caller", event.request.value + " refused: " + base::errorCodeName(event.code) +
                       ", executed " + executedName(event.executed));
  }
  void operator()(const ConnectionBroke& event) const {
    line("caller", event.request.value + " connection broke");
  }
  void operator()(const CallerLeft& event) const { line("caller", event.request.value + " left"); }
  void operator()(const WorkSent& event) const {
    line(event.engine, "is sent " + event.request.value);
  }
  void operator()(const RunStarted& event) const {
    line(event.engine, "runs " + event.request.value + " from " + std::to_string(event.offset) +
                           (event.importedState ? " imported" : ""));
  }
  void operator()(const StateHeld& event) const {
    line(event.engine, "holds the state of " + event.request.value);
  }
  void operator()(const EngineHoldings& event) const { trace_.mix(at_, event.held.size()); }
  void operator()(const EngineDied& event) const { line(event.engine, "dies"); }
  void operator()(const EngineViolation& event) const {
    line(event.engine, "VIOLATION " + event.what);
  }
  void operator()(const LeavingVisible& event) const {
    constexpr const char* kSources[] = {"platform list", "its own word", "drain"};
    line(event.engine,
         std::string("is leaving: ") + kSources[static_cast<std::size_t>(event.source)]);
  }
  void operator()(const LeavingEnded& event) const { line(event.engine, "no longer leaves"); }
  void operator()(const WriteSent& event) const {
    line("operator",
         event.requestId + (event.spec ? " puts " : " deletes ") + describeKey(event.key) +
             specText(event) +
             (event.expectedVersion ? " expecting " + std::to_string(*event.expectedVersion) : ""));
  }
  void operator()(const WriteAcknowledged& event) const {
    line("operator", event.requestId + " acknowledged as " + std::to_string(event.version));
  }
  void operator()(const WriteRefused& event) const {
    line("operator", event.requestId + " refused: " + base::errorCodeName(event.code));
  }
  void operator()(const ResourceRead& event) const { trace_.mix(at_, event.version); }
  void operator()(const WatchSaw& event) const { trace_.mix(at_, event.version); }
  void operator()(const RouterFrozen& event) const { line(event.router, "freezes"); }
  void operator()(const RouterThawed& event) const { line(event.router, "thaws"); }
  void operator()(const UnplannedFault&) const {}
  void operator()(const ControlDisturbed&) const {}
  void operator()(const ControlRestored&) const {}
  void operator()(const PlannedStopBegun& event) const { line(event.process, "planned stop"); }

 private:
  static std::string specText(const WriteSent& event) {
    if (!event.spec) {
      return "";
    }
    const auto* model = std::get_if<resource::ModelSpec>(&*event.spec);
    return model == nullptr
               ? ""
               : " active " + model->activeVersion + " max " + std::to_string(model->maxReplicas);
  }

  void line(std::string_view subject, std::string_view text) const {
    trace_.event(at_, subject, text);
  }

  Trace& trace_;
  base::TimePoint at_;
};

}  // namespace

void Environment::observe(const HistoryEvent& event) {
  std::visit(Describer(trace, scheduler.now()), event);
  if (const auto* refused = std::get_if<RequestRefused>(&event)) {
    ++counters.outcomes[base::errorCodeName(refused->code)];
  } else if (std::holds_alternative<AnswerEnded>(event)) {
    ++counters.outcomes["answered"];
  } else if (std::holds_alternative<ConnectionBroke>(event)) {
    ++counters.outcomes["connection_broke"];
  } else if (const auto* started = std::get_if<RunStarted>(&event)) {
    counters.movedStreams += started->importedState ? 1 : 0;
    counters.resumedStreams += started->offset > 0 && !started->importedState ? 1 : 0;
  } else if (std::holds_alternative<StateHeld>(event)) {
    ++counters.parkedStreams;
  }
  const std::size_t before = oracle.violations().size();
  oracle.observe(scheduler.now(), event);
  for (std::size_t index = before; index < oracle.violations().size(); ++index) {
    const PointViolation& violation = oracle.violations()[index];
    note("ORACLE", std::string(pointName(violation.point)) + ": " + violation.what);
    trace.markFailure();
  }
}

void ActivityCounters::add(const ActivityCounters& other) {
  for (const auto& [kind, count] : other.faults) {
    faults[kind] += count;
  }
  for (const auto& [outcome, count] : other.outcomes) {
    outcomes[outcome] += count;
  }
  for (const auto& [outcome, count] : other.writes) {
    writes[outcome] += count;
  }
  loads += other.loads;
  unloads += other.unloads;
  leaderChanges += other.leaderChanges;
  movedStreams += other.movedStreams;
  parkedStreams += other.parkedStreams;
  keptStates += other.keptStates;
  resumedStreams += other.resumedStreams;
  snapshotsInstalled += other.snapshotsInstalled;
  probes += other.probes;
}

}  // namespace walnut::simulator
