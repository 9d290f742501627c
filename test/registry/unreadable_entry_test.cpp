/// Tests of log entries that a build can't decode. Skipping one would let the server's state
/// diverge from the others' unnoticed.

#include "registry/cell_state.h"
#include "registry/cluster.h"
#include "walnut/consensus/codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

TEST_GROUP(UnreadableEntryTest) {
  static constexpr base::ServerId kSelf{1};
  PlainReader reader;
  runtime::NullEventLog log;
  simulator::StoredLog disk;
  base::TimePoint now = base::TimePoint(1000s);

  /// Runs a single server whose log has that command. @return its decoding error, if any.
  std::optional<base::Error> runWith(const std::string& command) {
    consensus::Membership alone;
    alone.members.push_back(
        {kSelf, consensus::MemberRole::voter, Cluster::endpoint(1), Cluster::endpoint(1), {}});
    disk.state.self = kSelf;
    disk.state.hardState.term = 1;
    disk.state.entries = {
        {1, 1, consensus::EntryType::membership, consensus::encodeMembership(alone)},
        {1, 2, consensus::EntryType::command, command}};
    RegistryOptions options;
    options.tolerableLosses = 0;
    auto server = makeRegistry(options, disk.state, {}, reader, log, 1, now);
    for (const base::TimePoint end = now + 5s; now < end; now += 10ms) {
      server->step(now, Tick{});
      RegistryOutputs outputs = server->takeOutputs();
      if (outputs.unreadable) {
        CHECK_TRUE(outputs.persist.empty());
        CHECK_TRUE(outputs.actions.empty());
        return outputs.unreadable;
      }
      if (!outputs.persist.empty()) {
        disk.persist(outputs.persist);
        server->step(now, Persisted{});
      }
    }
    return std::nullopt;
  }
};

TEST(UnreadableEntryTest, anUnreadableEntryStopsTheServerWithATypedError) {
  const auto error = runWith("of a later build");
  CHECK_TRUE(error.has_value());
  CHECK_TRUE(error->code == base::ErrorCode::malformedInput);
  STRCMP_EQUAL("command", error->field.c_str());
}

TEST(UnreadableEntryTest, aReadableEntryIsApplied) {
  CHECK_FALSE(runWith(encodeCommand(StoreDocument{1, "1 one"})).has_value());
}
