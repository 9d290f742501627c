#include "scale/data_folder_builder.h"

#include <utility>

#include "daemon/controller_settings.h"
#include "daemon/data_folder.h"

namespace walnut::scale {

namespace {
constexpr std::uint64_t kSegmentBytes = 16U << 20U;
}

base::Result<void> fillDataFolder(const std::string& folder, const CellSize& size,
                                  const std::vector<std::string>& members) {
  consensus::Membership membership;
  for (const std::string& text : members) {
    BOOST_OUTCOME_TRY(member, daemon::parseInitialMember(text));
    membership.members.push_back(std::move(member));
  }
  BOOST_OUTCOME_TRY(opened, daemon::openDataFolder(folder, kSegmentBytes));
  if (!daemon::isPristine(opened.recovered)) {
    return base::Error{base::ErrorCode::alreadyExists, folder, "the folder holds a state"};
  }
  BOOST_OUTCOME_TRY(snapshot, buildSnapshot({}, size, membership, EngineEndpoints(size.engines)));
  consensus::PersistBatch batch;
  batch.hardState = consensus::HardState{snapshot.lastTerm, {}};
  batch.snapshot = std::move(snapshot);
  return opened.storage->persist(batch);
}

}  // namespace walnut::scale
