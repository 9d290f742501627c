/// Tests of the bound on the memory that a gateway holds for all its callers together.

#include "gateway/buffer_budget.h"

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kKib = 1U << 10U;
constexpr std::size_t kMib = 1U << 20U;
constexpr std::size_t kUsual = 256 * kKib;

}  // namespace

/// The load: callers of a gateway of 120 MB, whose limit is 40 MiB, that read slowly.
TEST_GROUP(BufferBudgetTest) {
  BufferBudget budget{40 * kMib};
  BufferBudget::Share others{budget};

  void hold(std::size_t bytes) { others.set({bytes, bytes}); }
};

TEST(BufferBudgetTest, belowHalfOfTheLimitNothingChanges) {
  CHECK_EQUAL(kUsual, budget.streamBound(kUsual));
  hold(20 * kMib);
  CHECK_EQUAL(kUsual, budget.streamBound(kUsual));
  CHECK_TRUE(budget.admits(4 * kMib));
}

TEST(BufferBudgetTest, theBoundOfAStreamShrinksInProportionToWhatIsLeft) {
  hold(30 * kMib);
  CHECK_EQUAL(kUsual / 2, budget.streamBound(kUsual));
  hold(40 * kMib);
  CHECK_EQUAL(0, budget.streamBound(kUsual));
}

TEST(BufferBudgetTest, atTheLimitNoRequestIsAdmitted) {
  hold(40 * kMib - BufferBudget::kReadReserve);
  CHECK_TRUE(budget.admits(0));
  CHECK_FALSE(budget.admits(1));
}

/// Guards against a large response that waits for ever because small requests take the room.
TEST(BufferBudgetTest, whileAResponseWaitsForRoomNoRequestIsAdmitted) {
  hold(35 * kMib);
  BufferBudget::Share body{budget};
  CHECK_FALSE(body.requestRoom(8 * kMib, [] {}));
  CHECK_FALSE(budget.admits(0));
  body.clear();
  CHECK_TRUE(budget.admits(0));
}

/// Guards against workers without end whose answers keep out the requests to all others.
TEST(BufferBudgetTest, whileAnswersWaitTheOtherPartTakesRequests) {
  BufferBudget::Share first{budget, BufferBudget::Use::answers};
  BufferBudget::Share second{budget, BufferBudget::Use::answers};
  CHECK_TRUE(first.requestRoom(30 * kMib, [] {}));
  CHECK_FALSE(second.requestRoom(1 * kMib, [] {}));
  CHECK_TRUE(budget.admits(4 * kMib));
  hold(9 * kMib);
  CHECK_FALSE(budget.admits(1 * kMib));
  CHECK_TRUE(budget.admits(0));
}

/// Guards against answers that all wait for each other with a part of theirs.
TEST(BufferBudgetTest, whatGrowsLeavesRoomForWholeAnswers) {
  BufferBudget::Share grown{budget, BufferBudget::Use::answers};
  CHECK_TRUE(budget.letsGrow(10 * kMib));
  grown.set({10 * kMib, 10 * kMib});
  CHECK_FALSE(budget.letsGrow(1));
  BufferBudget::Share whole{budget, BufferBudget::Use::answers};
  CHECK_TRUE(whole.requestRoom(20 * kMib, [] {}));
}

TEST(BufferBudgetTest, roomIsGivenInTheOrderOfTheRequests) {
  std::string order;
  int woken = 0;
  budget.setRoomCallback([&woken] { ++woken; });
  hold(36 * kMib);
  BufferBudget::Share first{budget};
  BufferBudget::Share second{budget};
  CHECK_FALSE(first.requestRoom(8 * kMib, [&order] { order += "1"; }));
  CHECK_FALSE(second.requestRoom(1 * kMib, [&order] { order += "2"; }));
  hold(34 * kMib);
  CHECK_EQUAL(1, woken);
  budget.serveWaiting();
  STRCMP_EQUAL("", order.c_str());
  hold(31 * kMib);
  budget.serveWaiting();
  STRCMP_EQUAL("12", order.c_str());
  CHECK_EQUAL(40 * kMib, budget.committed());
}

TEST(BufferBudgetTest, sharesReleaseWhatTheyHold) {
  {
    BufferBudget::Share moved;
    {
      BufferBudget::Share share{budget};
      share.set({100, 200});
      moved = std::move(share);
    }
    CHECK_EQUAL(100, budget.held());
    CHECK_EQUAL(200, budget.committed());
  }
  CHECK_EQUAL(0, budget.held());
  CHECK_EQUAL(0, budget.committed());
  CHECK_EQUAL(200, budget.peakCommitted());
}

TEST_GROUP(GatewayBuffersTest) {
  GatewayHarness harness{limited()};

  static GatewayOptions limited() {
    GatewayOptions made = GatewayHarness::options();
    made.bufferLimitBytes = 16 * kMib;
    return made;
  }
  void setup() override {
    harness.follow();
    harness.declare(4);
  }
  std::unique_ptr<Caller> request(const std::string& route, const std::string& id,
                                  std::size_t bytes) {
    return harness.request(route, id, "", std::string(bytes, 'x'));
  }
  BufferBudget& buffers() { return harness.gateway.buffers(); }
};

/// Guards against memory that stays counted: each kind of end of an exchange releases its own.
TEST(GatewayBuffersTest, nothingIsHeldAfterAllHaveEnded) {
  const auto answered = request("safe", "r1", 1000);
  const auto streamed = request("stream", "r2", 1000);
  const auto gone = request("once", "r3", 1000);
  const auto lost = request("once", "r4", 1000);
  CHECK_EQUAL(4, harness.launcher.sent.size());
  CHECK_EQUAL(4000, buffers().held());
  const auto sent = harness.launcher.sent;
  harness.head(*sent[0], 200, "r1", true);
  sent[0]->callbacks->onResponseBody(std::string(5000, 'y'));
  CHECK_EQUAL(9000, buffers().held());
  sent[0]->callbacks->onResponseComplete();
  harness.head(*sent[1], 200, "r2", true);
  sent[1]->callbacks->onResponseBody("data: x\n\ndata: incomplete");
  sent[1]->callbacks->onResponseBody("\n\n");
  sent[1]->callbacks->onResponseComplete();
  gone->gone();
  harness.lose(*sent[3]);
  harness.scheduler.advance(10s);
  CHECK_TRUE(answered->complete);
  CHECK_TRUE(streamed->complete);
  CHECK_EQUAL(502, lost->status);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
  CHECK_EQUAL(0, buffers().held());
  CHECK_EQUAL(0, buffers().committed());
}

/// Guards against a process that exceeds its memory by request bodies.
TEST(GatewayBuffersTest, aRequestAtTheLimitIsRefusedAsNotRun) {
  std::vector<std::unique_ptr<Caller>> callers;
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    callers.push_back(request("safe", id, 4 * kMib - BufferBudget::kReadReserve));
  }
  const auto refused = request("safe", "r5", 4 * kMib);
  CHECK_EQUAL(503, refused->status);
  STRCMP_EQUAL("1.00", refused->headers.find("Retry-After")->c_str());
  CHECK_EQUAL(4, harness.launcher.sent.size());
  CHECK_EQUAL(1, harness.log.of(runtime::LogEvent::bufferLimitReached).size());
  harness.answer(*harness.launcher.sent[0], 200, "r1", "ok");
  harness.answer(*harness.launcher.sent[1], 200, "r2", "ok");
  const auto served = request("safe", "r6", 1);
  CHECK_EQUAL(5, harness.launcher.sent.size());
  CHECK_EQUAL(1, harness.log.of(runtime::LogEvent::bufferLimitLeft).size());
}

/// Guards against collected bodies that exceed the memory together, and against bodies that all
/// wait for each other with a part of theirs.
TEST(GatewayBuffersTest, bodiesAreCollectedOneAfterAnotherAtTheLimit) {
  std::vector<std::unique_ptr<Caller>> callers;
  constexpr int kCallers = 12;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(request("safe", "r" + std::to_string(number), 1));
  }
  const auto sent = harness.launcher.sent;
  CHECK_EQUAL(kCallers, sent.size());
  for (int number = 0; number < kCallers; ++number) {
    harness.head(*sent[number], 200, "r" + std::to_string(number), true);
  }
  // Each worker sends 16 KiB in turn, unless the gateway has paused its reading.
  const std::string piece(16 * kKib, 'y');
  constexpr std::size_t kBodyBytes = 7 * kMib;
  std::vector<std::size_t> delivered(kCallers, 0);
  int ended = 0;
  for (int round = 0; round < 10'000 && ended < kCallers; ++round) {
    for (int number = 0; number < kCallers; ++number) {
      if (delivered[number] >= kBodyBytes || !sent[number]->reading) {
        continue;
      }
      sent[number]->callbacks->onResponseBody(piece);
      delivered[number] += piece.size();
      if (delivered[number] >= kBodyBytes) {
        sent[number]->callbacks->onResponseComplete();
        ++ended;
      }
      harness.scheduler.settle();
    }
  }
  CHECK_EQUAL(kCallers, ended);
  for (const auto& caller : callers) {
    CHECK_EQUAL(200, caller->status);
    CHECK_EQUAL(kBodyBytes, caller->body.size());
  }
  CHECK(buffers().peakCommitted() <= buffers().limit());
  CHECK_EQUAL(0, buffers().committed());
}

/// Guards against events without end, of which many workers' parts exceed the memory together.
TEST(GatewayBuffersTest, eventsWithoutEndStayWithinTheLimit) {
  std::vector<std::unique_ptr<Caller>> callers;
  constexpr int kCallers = 60;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(request("bound", "r" + std::to_string(number), 1));
  }
  const auto sent = harness.launcher.sent;
  for (std::size_t number = 0; number < sent.size(); ++number) {
    harness.head(*sent[number], 200, "r" + std::to_string(number), true);
  }
  const std::string piece(16 * kKib, 'y');
  bool moves = true;
  while (moves) {
    moves = false;
    for (const auto& each : sent) {
      if (!each->cancelled && each->reading) {
        moves = true;
        each->callbacks->onResponseBody(piece);
        harness.scheduler.settle();
      }
    }
  }
  CHECK(buffers().peakCommitted() <= buffers().limit());
  for (const auto& caller : callers) {
    CHECK_EQUAL(502, caller->status);
  }
  CHECK_EQUAL(0, buffers().committed());
}

/// Guards against a stream that is not read on after its event has waited for memory.
TEST(GatewayBuffersTest, aStreamGoesOnOnceThereIsRoomForItsEvent) {
  const auto caller = request("stream", "r1", 1);
  const auto sent = harness.launcher.sent.back();
  harness.head(*sent, 200, "r1", true);
  BufferBudget::Share others{buffers()};
  others.set({15 * kMib, 15 * kMib + 950 * kKib});
  sent->callbacks->onResponseBody("data: " + std::string(100 * kKib, 'y'));
  CHECK_FALSE(sent->reading);
  others.clear();
  harness.scheduler.settle();
  CHECK_TRUE(sent->reading);
  sent->callbacks->onResponseBody("\n\n");
  sent->callbacks->onResponseComplete();
  CHECK_TRUE(caller->complete);
  CHECK_EQUAL(100 * kKib + 8, caller->body.size());
}
