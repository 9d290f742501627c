/// Thousands of calls at once must not keep the loop from consensus.

#include "daemon/call_queue.h"

#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::daemon;
using namespace std::chrono_literals;

namespace {

struct Sink : net::ResponseSink {
  std::function<void()> gone;
  void respond(net::HttpResponse) override {}
  void beginChunked(net::HttpResponseHead) override {}
  void writeChunk(std::string_view) override {}
  void endChunked() override {}
  void abort() override {}
  std::size_t bufferedBytes() const override { return 0; }
  void setGoneCallback(std::function<void()> callback) override { gone = std::move(callback); }
  void setDrainedCallback(std::function<void()>) override {}
};

}  // namespace

TEST_GROUP(CallQueueTest) {
  base::TimePoint now = base::TimePoint(100s);
  base::Duration cost = 1ms;  ///< Of serving one call.
  std::vector<std::string> served;
  std::vector<std::string> givenUp;
  std::vector<std::unique_ptr<Sink>> sinks;
  CallQueue queue{[this] { return now; },
                  [this](const net::HttpRequest& request, net::ResponseSink&) {
                    served.push_back(request.target);
                    now += cost;
                  },
                  [this](const net::HttpRequest& request, net::ResponseSink&) {
                    givenUp.push_back(request.target);
                  }};

  Sink& add(const char* target) {
    sinks.push_back(std::make_unique<Sink>());
    net::HttpRequest request;
    request.target = target;
    queue.add(std::move(request), *sinks.back());
    return *sinks.back();
  }
};

TEST(CallQueueTest, aTurnServesForItsSliceOnly) {
  for (int count = 0; count < 100; ++count) {
    add("call");
  }
  CHECK_TRUE(queue.serve());
  CHECK_EQUAL(10, served.size());
  while (queue.serve()) {
  }
  CHECK_EQUAL(100, served.size());
}

TEST(CallQueueTest, theOldestIsServedFirst) {
  add("first");
  add("second");
  CHECK_FALSE(queue.serve());
  STRCMP_EQUAL("first", served.at(0).c_str());
  STRCMP_EQUAL("second", served.at(1).c_str());
}

TEST(CallQueueTest, whoHasWaitedForTooLongIsAnsweredUnread) {
  add("old");
  now += CallQueue::kPatience;
  add("new");
  CHECK_FALSE(queue.serve());
  STRCMP_EQUAL("old", givenUp.at(0).c_str());
  STRCMP_EQUAL("new", served.at(0).c_str());
}

TEST(CallQueueTest, aCallWhoseCallerHasLeftIsDropped) {
  Sink& left = add("left");
  add("call");
  left.gone();
  CHECK_EQUAL(1, queue.size());
  queue.serve();
  STRCMP_EQUAL("call", served.at(0).c_str());
}
