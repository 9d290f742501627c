#include "scale/cell_builder.h"

#include <string>
#include <utility>

#include "control/cell_state.h"

namespace walnut::scale {

namespace {

constexpr consensus::Term kTerm = 1;
constexpr base::TimePoint kBuiltAt = base::fromMicros(1'764'600'000'000'000);

/// Applies commands one after the other, until one is refused.
class CellBuilder {
 public:
  explicit CellBuilder(const control::ControllerOptions& options) : state_(options) {}

  void membership(const consensus::Membership& membership) {
    state_.applyMembership(++index_, membership);
  }

  base::Result<void> put(const resource::Resource& resource) {
    const control::ApplyResult result =
        apply(control::PutResource{"build-" + std::to_string(index_), std::nullopt, resource});
    if (result.write && result.write->error) {
      return *result.write->error;
    }
    return base::success();
  }

  base::Result<void> apply(control::CommandBody body, consensus::LogIndex& index) {
    const control::ApplyResult result = apply(std::move(body));
    index = index_;
    if (result.refusal) {
      return *result.refusal;
    }
    return base::success();
  }

  const control::CellState& state() const { return state_; }
  consensus::LogIndex index() const { return index_; }

 private:
  control::ApplyResult apply(control::CommandBody body) {
    return state_.apply(++index_, control::Command{kBuiltAt, std::move(body)});
  }

  control::CellState state_;
  consensus::LogIndex index_ = 0;
};

/// A model is declared without a version first: versions refer to models.
base::Result<void> declareModel(CellBuilder& builder, std::size_t model) {
  resource::Resource declared = modelResource(model);
  std::get<resource::ModelSpec>(declared.spec).activeVersion.clear();
  BOOST_OUTCOME_TRYV(builder.put(declared));
  BOOST_OUTCOME_TRYV(builder.put(modelVersionResource(model)));
  return builder.put(modelResource(model));
}

base::Result<void> declareAll(CellBuilder& builder, const CellSize& size) {
  for (const resource::Resource& shared : sharedResources()) {
    BOOST_OUTCOME_TRYV(builder.put(shared));
  }
  for (std::size_t model = 0; model < size.models; ++model) {
    BOOST_OUTCOME_TRYV(declareModel(builder, model));
  }
  for (std::size_t adapter = 0; adapter < size.adapters; ++adapter) {
    BOOST_OUTCOME_TRYV(builder.put(adapterResource(size, adapter)));
  }
  return base::success();
}

base::Result<void> place(CellBuilder& builder, const resource::Replica& replica) {
  consensus::LogIndex decided = 0;
  consensus::LogIndex ignored = 0;
  BOOST_OUTCOME_TRYV(
      builder.apply(control::PlaceReplica{replica.servable, replica.engine, replica.incarnation,
                                          replica.accelerator, replica.bytes},
                    decided));
  return builder.apply(control::MarkReplicaReady{{decided}}, ignored);
}

}  // namespace

base::Result<consensus::Snapshot> buildSnapshot(const control::ControllerOptions& options,
                                                const CellSize& size,
                                                const consensus::Membership& membership,
                                                const EngineEndpoints& endpoints) {
  CellBuilder builder(options);
  builder.membership(membership);
  BOOST_OUTCOME_TRYV(declareAll(builder, size));
  for (std::size_t engine = 0; engine < size.engines; ++engine) {
    consensus::LogIndex ignored = 0;
    BOOST_OUTCOME_TRYV(builder.apply(
        control::RegisterEngine{engineRecord(engine, endpoints.at(engine))}, ignored));
  }
  for (std::size_t replica = 0; replica < size.replicas; ++replica) {
    BOOST_OUTCOME_TRYV(place(builder, replicaRecord(size, replica)));
  }
  return consensus::Snapshot{builder.index(), kTerm, 1, membership,
                             builder.state().encodeSnapshot()};
}

}  // namespace walnut::scale
