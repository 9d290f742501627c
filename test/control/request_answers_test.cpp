#include "control/request_answers.h"

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut::control;

TEST_GROUP(RequestAnswersTest) {
  RequestAnswers answers{2};
  void remember(const char* id, std::uint64_t fingerprint) {
    answers.remember(id, {fingerprint, {}});
  }
};

TEST(RequestAnswersTest, keepsTheFirstAnswer) {
  remember("a", 1);
  remember("a", 2);
  LONGS_EQUAL(1, answers.find("a")->fingerprint);
  POINTERS_EQUAL(nullptr, answers.find("b"));
}

TEST(RequestAnswersTest, forgetsTheOldestFirstAlsoAfterARestore) {
  remember("b", 1);
  remember("a", 2);
  RequestAnswers restored{2};
  restored.restore(answers.oldestFirst());
  restored.remember("c", {3, {}});
  POINTERS_EQUAL(nullptr, restored.find("b"));
  LONGS_EQUAL(2, restored.find("a")->fingerprint);
  LONGS_EQUAL(3, restored.find("c")->fingerprint);
  LONGS_EQUAL(2, restored.oldestFirst().size());
}
