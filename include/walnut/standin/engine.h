#pragma once
/// @file
/// Rehearsal kit, not product: pure interfaces of the stand-ins for the outside systems. The same
/// logic runs behind HTTP in walnut-rehearse and under virtual time in the simulator.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::standin {

/// A violation that the stand-in itself has seen, e.g. a load that overcommits an accelerator.
struct Violation {
  base::TimePoint at;
  std::string what;
};

/// Faults planted by the kit (sabotage), never on by default.
struct EngineSabotage {
  bool obeyStaleOrders = false;
  bool runCancelledAttempts = false;
  bool crossStreams = false;      ///< Sends a token under another request's id.
  bool dropLastToken = false;     ///< Ends with a token missing.
  bool denyExecution = false;     ///< Says "not started" of an attempt that it ran.
  bool loadWithoutOrder = false;  ///< Loads one more replica than ordered.
};

struct EngineModelOptions {
  base::EngineId id;
  base::Incarnation incarnation;
  std::vector<std::uint64_t> acceleratorBytes;
  base::Duration firstTokenDelay = std::chrono::milliseconds(60);
  base::Duration tokenInterval = std::chrono::milliseconds(20);
  std::uint32_t maxRunning = 16;
  std::uint32_t maxQueued = 64;
  base::Duration loadReportLag = std::chrono::seconds(1);
  std::uint64_t hostMemoryBytesPerSecond = 8ULL << 30U;
  std::uint64_t localDiskBytesPerSecond = 1ULL << 30U;
  base::Duration unloadTime = std::chrono::milliseconds(200);
  std::uint64_t hostCacheBytes = 32ULL << 30U;
  std::uint64_t diskCacheBytes = 256ULL << 30U;
  std::uint32_t maxHeldStates = 64;  ///< Exported states of other engines, in host memory.
  base::Duration heldStateLifetime = std::chrono::minutes(10);
  std::vector<std::string> cachedOnDisk;  ///< Checkpoints cached at the start.
  EngineSabotage sabotage;
};

/// A place for another engine's exported state.
struct HoldPlace {
  std::string handle;
  bool fetched = false;  ///< The state is there already: the request was repeated.
};

/// @name Inputs beside the calls
/// @{
struct StoreRead {
  std::string checkpoint;
  bool ok = true;
};
/// @}

/// @name Outputs
/// @{
/// Read a checkpoint from the weight store; a StoreRead follows.
struct ReadFromStore {
  std::string checkpoint;
  std::uint64_t bytes = 0;
};
/// @}
using EngineAction = std::variant<engine::GenerateEvent, ReadFromStore>;

/// Stand-in engine: continuous batching, priorities, resume, cancel, key-value export and import,
/// accelerators with memory, load times by tier, fencing, a lagging load report. Its text is a
/// function of (servable, prompt, offset) alone, given by `expectedToken`.
class EngineModel {
 public:
  virtual ~EngineModel() = default;
  virtual engine::CallResult call(base::TimePoint now, const engine::Call& call) = 0;
  virtual void generate(base::TimePoint now, const engine::GenerateRequest& request) = 0;
  virtual void cancel(base::TimePoint now, const engine::CancelRequest& request) = 0;
  virtual engine::ExportResult exportKv(base::TimePoint now,
                                        const engine::ExportRequest& request) = 0;
  /// Keeps a place for another engine's exported state, which the driver then fetches.
  virtual base::Result<HoldPlace> beginHold(base::TimePoint now,
                                            const engine::HoldRequest& request) = 0;
  /// The driver has fetched it, or could not.
  /// @return false if nothing is held: it was not fetched, or the place was freed meanwhile.
  virtual bool endHold(base::TimePoint now, const std::string& handle, bool fetched) = 0;
  /// @return states held for other engines, and places kept for them.
  virtual std::size_t heldStates() const = 0;
  /// Another engine fetches (and so consumes) an export, or a held copy of one.
  virtual bool importKv(base::TimePoint now, const std::string& handle) = 0;
  virtual void storeRead(base::TimePoint now, const StoreRead& read) = 0;
  virtual void tick(base::TimePoint now) = 0;
  /// Set by the kit: the engine says that it leaves.
  virtual void setLeaving(bool leaving) = 0;
  virtual std::vector<EngineAction> takeActions() = 0;
  /// Cache events with sequence > `after`; the oldest may be missing.
  virtual std::vector<engine::CacheEvent> cacheEvents(std::uint64_t after) const = 0;
  virtual base::TimePoint nextWakeup() const = 0;
  virtual const std::vector<Violation>& violations() const = 0;
  /// Accelerator bytes held, for idle accelerator hours and the oracle.
  virtual std::vector<engine::HeldServable> held() const = 0;
};

/// @return the engine, implemented in src/standin.
std::unique_ptr<EngineModel> makeEngineModel(const EngineModelOptions& options);

/// @return token `offset` of the answer, a short word with a leading space.
std::string expectedToken(const resource::Servable& servable, const std::string& prompt,
                          std::uint32_t offset);
/// @return how many tokens the answer has, at most `maxTokens`.
std::uint32_t expectedTokenCount(const resource::Servable& servable, const std::string& prompt,
                                 std::uint32_t maxTokens);

}  // namespace walnut::standin
