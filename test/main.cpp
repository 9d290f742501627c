#include <set>
#include <string>
#include <string_view>
#include <vector>

// Last: they redefine new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

namespace {

/// Names a test that is known to fail, or a group that runs in another process. CppUTest's own
/// `-xn` and `-xg` can leave out only one: of several, each lets through what the others exclude.
constexpr std::string_view kLeaveOut = "--leave-out=";

/// @return the names that are left out; their arguments are taken from `arguments`.
std::set<std::string, std::less<>> takeLeftOut(std::vector<char*>& arguments) {
  std::set<std::string, std::less<>> names;
  std::erase_if(arguments, [&names](const char* argument) {
    const std::string_view text = argument;
    const bool found = text.substr(0, kLeaveOut.size()) == kLeaveOut;
    if (found) {
      names.emplace(text.substr(kLeaveOut.size()));
    }
    return found;
  });
  return names;
}

/// Adds all tests of `from` but those that are left out, in their order.
void copyTests(TestRegistry& from, TestRegistry& to,
               const std::set<std::string, std::less<>>& leftOut) {
  std::vector<UtestShell*> tests;
  for (UtestShell* test = from.getFirstTest(); test != nullptr; test = test->getNext()) {
    if (leftOut.count(std::string_view(test->getName().asCharString())) == 0 &&
        leftOut.count(std::string_view(test->getGroup().asCharString())) == 0) {
      tests.push_back(test);
    }
  }
  // The registry puts each test before the earlier ones.
  for (auto test = tests.rbegin(); test != tests.rend(); ++test) {
    to.addTest(*test);
  }
}

}  // namespace

/// Leaks are found by the sanitizer build; CppUTest's detector trips over static objects of
/// libraries. Its plugin is left out as well, as it would still walk the list of what was allocated
/// before main, of which some has been freed since, unnoticed by the detector.
int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::vector<char*> arguments(argv, argv + argc);
  const auto leftOut = takeLeftOut(arguments);
  TestRegistry kept;
  copyTests(*TestRegistry::getCurrentRegistry(), kept, leftOut);
  kept.setCurrentRegistry(&kept);
  return CommandLineTestRunner(static_cast<int>(arguments.size()), arguments.data(), &kept)
      .runAllTestsMain();
}
