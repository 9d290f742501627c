#include "cli/apply_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace walnut::cli {

using resource::Kind;

namespace {

using SpecsByKey = std::map<resource::Key, resource::Spec>;

/// What is referred to comes before what refers to it. A model without an active version refers to
/// no version, but versions and adapters refer to it; one with an active version comes after it.
int rankOf(const Declaration& declaration) {
  switch (declaration.key.kind) {
    case Kind::capacityBudget:
    case Kind::enginePool:
      return 0;
    case Kind::modelVersion:
    case Kind::adapter:
      return 2;
    case Kind::model:
      return std::get<resource::ModelSpec>(declaration.spec).activeVersion.empty() ? 1 : 3;
    case Kind::drain:
      break;
  }
  return 4;
}

/// Rank of the creation of models without their active version.
constexpr int kBareModelRank = 1;

struct RankedStep {
  int rank = 0;
  ApplyStep step;
};

/// @return true for a new model whose active version is not there either.
bool needsBareModel(const Declaration& declaration, const SpecsByKey& existing) {
  const auto* const model = std::get_if<resource::ModelSpec>(&declaration.spec);
  if (model == nullptr || model->activeVersion.empty() || existing.contains(declaration.key)) {
    return false;
  }
  return !existing.contains(resource::Key{Kind::modelVersion, model->activeVersion});
}

RankedStep bareModelStep(std::size_t index, const Declaration& declaration) {
  auto bare = std::get<resource::ModelSpec>(declaration.spec);
  bare.activeVersion.clear();
  return {kBareModelRank, ApplyStep{ApplyStep::Action::create, index, std::move(bare), true}};
}

RankedStep fullStep(std::size_t index, const Declaration& declaration, const SpecsByKey& existing) {
  ApplyStep step;
  step.declaration = index;
  step.spec = declaration.spec;
  const auto found = existing.find(declaration.key);
  if (found == existing.end()) {
    step.action = ApplyStep::Action::create;
  } else if (found->second == declaration.spec) {
    step.action = ApplyStep::Action::unchanged;
  } else {
    step.action = ApplyStep::Action::replace;
  }
  return {rankOf(declaration), std::move(step)};
}

}  // namespace

std::vector<ApplyStep> planApply(const std::vector<Declaration>& declarations,
                                 const std::vector<resource::Resource>& existing) {
  SpecsByKey specs;
  for (const resource::Resource& resource : existing) {
    specs.emplace(resource.key, resource.spec);
  }
  std::vector<RankedStep> ranked;
  for (std::size_t index = 0; index < declarations.size(); ++index) {
    if (needsBareModel(declarations[index], specs)) {
      ranked.push_back(bareModelStep(index, declarations[index]));
    }
    ranked.push_back(fullStep(index, declarations[index], specs));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const RankedStep& left, const RankedStep& right) { return left.rank < right.rank; });
  std::vector<ApplyStep> steps;
  steps.reserve(ranked.size());
  for (RankedStep& step : ranked) {
    steps.push_back(std::move(step.step));
  }
  return steps;
}

}  // namespace walnut::cli
