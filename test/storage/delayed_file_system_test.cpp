/// Syncs that are made to take longer.

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "walnut/factories.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace std::chrono_literals;

TEST_GROUP(DelayedFileSystemTest) {
  std::string folder;
  std::unique_ptr<storage::FileSystem> files;

  void setup() override {
    folder = (std::filesystem::temp_directory_path() / "walnut-delay-XXXXXX").string();
    CHECK(::mkdtemp(folder.data()) != nullptr);
    files = storage::makeDelayedFileSystem(std::move(storage::openPosixFileSystem(folder).value()),
                                           delayFile(), 1);
  }
  void teardown() override {
    files.reset();
    std::filesystem::remove_all(folder);
  }
  std::string delayFile() const { return folder + "/delay"; }
  std::chrono::steady_clock::duration timeOfSync() {
    const auto begin = std::chrono::steady_clock::now();
    CHECK_TRUE(files->syncFolder().has_value());
    return std::chrono::steady_clock::now() - begin;
  }
};

TEST(DelayedFileSystemTest, syncsTakeAtLeastHalfOfWhatTheFileSays) {
  CHECK_TRUE(timeOfSync() < 100ms);
  std::ofstream(delayFile()) << 200;
  CHECK_TRUE(timeOfSync() >= 100ms);
  auto file = std::move(files->openForAppend("data").value());
  CHECK_TRUE(file->append("text").has_value());
  const auto begin = std::chrono::steady_clock::now();
  CHECK_TRUE(file->sync().has_value());
  CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 100ms);
  STRCMP_EQUAL("text", files->read("data").value().c_str());
}
