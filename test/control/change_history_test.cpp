#include "control/change_history.h"

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;

namespace {

protocol::Change engineChanged(const char* name) {
  resource::Engine engine;
  engine.id.value = name;
  return protocol::EngineChanged{engine};
}

protocol::Change engineRemoved(const char* name) { return protocol::EngineRemoved{{name}}; }

}  // namespace

TEST_GROUP(ChangeHistoryTest) { ChangeHistory history{4}; };

TEST(ChangeHistoryTest, coalescesToTheLastOfEachObject) {
  history.record(3, {engineChanged("a"), engineChanged("b")});
  history.record(5, {engineRemoved("a")});
  history.record(7, {});
  const auto all = history.since(0);
  LONGS_EQUAL(2, all->size());
  STRCMP_EQUAL("b", std::get<protocol::EngineChanged>(all->at(0)).engine.id.value.c_str());
  STRCMP_EQUAL("a", std::get<protocol::EngineRemoved>(all->at(1)).engine.value.c_str());
  LONGS_EQUAL(2, history.since(2)->size());
  LONGS_EQUAL(1, history.since(3)->size());
  LONGS_EQUAL(1, history.since(4)->size());
  LONGS_EQUAL(0, history.since(5)->size());
  LONGS_EQUAL(0, history.since(9)->size());
}

TEST(ChangeHistoryTest, objectsOfDifferentKindsDontCoalesce) {
  history.record(1, {engineChanged("a"), protocol::ResourceDeleted{{resource::Kind::drain, "a"}},
                     protocol::ReplicaRemoved{{1}}, protocol::MembershipChanged{1, {}}});
  LONGS_EQUAL(4, history.since(0)->size());
}

TEST(ChangeHistoryTest, forgetsWholeIndexes) {
  history.record(1, {engineChanged("a"), engineChanged("b")});
  history.record(2, {engineChanged("c"), engineChanged("d")});
  CHECK_TRUE(history.since(0).has_value());
  history.record(3, {engineChanged("e")});
  CHECK_FALSE(history.since(0).has_value());
  LONGS_EQUAL(3, history.since(1)->size());
  history.record(4, std::vector<protocol::Change>(5, engineChanged("f")));
  CHECK_FALSE(history.since(3).has_value());
  LONGS_EQUAL(0, history.since(4)->size());
}

TEST(ChangeHistoryTest, restartsAtAnIndex) {
  history.record(1, {engineChanged("a")});
  history.startAt(9);
  CHECK_FALSE(history.since(8).has_value());
  LONGS_EQUAL(0, history.since(9)->size());
}
