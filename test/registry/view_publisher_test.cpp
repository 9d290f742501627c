/// What gateways are sent.

#include "registry/view_publisher.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(ViewPublisherTest) {
  const base::TimePoint start = base::TimePoint(100s);
  ViewPublisher publisher{250ms};
  catalog::Document document;

  void setup() override { document.version = 3; }

  static WorkerView view(const char* id, bool leaving = false) {
    WorkerView made;
    made.record.id = {id};
    made.record.leaving = leaving;
    return made;
  }
  std::vector<ViewPublisher::Update> updates(base::TimePoint now) {
    return publisher.takeUpdates(now, 1, &document, {}, {});
  }
};

TEST(ViewPublisherTest, theFirstUpdateIsComplete) {
  publisher.setWorker(view("w"));
  publisher.subscribe({1}, 0);
  const auto sent = updates(start);
  CHECK_EQUAL(1, sent.size());
  CHECK_TRUE(sent[0].update.complete);
  CHECK_EQUAL(1, sent[0].update.changed.size());
  CHECK_EQUAL(3, sent[0].update.document->version);
}

TEST(ViewPublisherTest, aGatewayThatHasTheDocumentIsNotSentIt) {
  publisher.subscribe({1}, 3);
  CHECK_FALSE(updates(start)[0].update.document.has_value());
}

TEST(ViewPublisherTest, onlyChangesFollow) {
  publisher.setWorker(view("a"));
  publisher.setWorker(view("b"));
  publisher.subscribe({1}, 0);
  (void)updates(start);
  publisher.setWorker(view("a"));
  CHECK_TRUE(updates(start + 1ms).empty());
  publisher.setWorker(view("b", true));
  const auto sent = updates(start + 2ms);
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(1, sent[0].update.changed.size());
  CHECK_TRUE(sent[0].update.changed[0].record.leaving);
}

TEST(ViewPublisherTest, aGatewayHearsSomethingEachInterval) {
  publisher.subscribe({1}, 0);
  (void)updates(start);
  CHECK_TRUE(updates(start + 249ms).empty());
  CHECK_EQUAL(1, updates(start + 250ms).size());
}

TEST(ViewPublisherTest, aRemovedWorkerIsToldToThoseThatKnewIt) {
  publisher.setWorker(view("w"));
  publisher.subscribe({1}, 0);
  (void)updates(start);
  publisher.removeWorker({"w"});
  publisher.subscribe({2}, 0);
  const auto sent = updates(start + 1ms);
  CHECK_EQUAL(2, sent.size());
  CHECK_EQUAL(1, sent[0].update.removed.size());
  CHECK_TRUE(sent[1].update.changed.empty());
  CHECK_TRUE(publisher.workers().empty());
}
