/// Tests of what a disk holds after a loss of power.

#include "rehearsal/power_loss.h"

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "walnut/factories.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::rehearsal;

TEST_GROUP(PowerLossTest) {
  std::filesystem::path root;
  std::unique_ptr<storage::FileSystem> files;
  base::Random random{1};

  void setup() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "walnut-power-XXXXXX").string();
    CHECK(::mkdtemp(pattern.data()) != nullptr);
    root = pattern;
    open();
  }
  void teardown() override {
    files.reset();
    std::filesystem::remove_all(root);
  }
  void open() {
    const std::string folder = (root / "data").string();
    files = storage::makeDurableCopyFileSystem(
        std::move(storage::openPosixFileSystem(folder).value()), folder, (root / "copy").string());
  }
  std::unique_ptr<storage::AppendFile> append(const std::string& name, const std::string& bytes) {
    auto file = std::move(files->openForAppend(name).value());
    CHECK_TRUE(file->append(bytes).has_value());
    return file;
  }
  std::string losePowerNow(UnsyncedLoss loss) {
    files.reset();
    const std::string lost = losePower(root / "data", root / "copy", loss, random);
    open();
    return lost;
  }
  std::string contents(const std::string& name) {
    const auto bytes = files->read(name);
    return bytes.has_value() ? bytes.value() : "none";
  }
};

TEST(PowerLossTest, whatWasSyncedStaysAndTheRestIsGone) {
  const auto file = append("log", "durable ");
  CHECK_TRUE(file->sync().has_value());
  CHECK_TRUE(files->syncFolder().has_value());
  CHECK_TRUE(file->append("lost").has_value());
  (void)append("new", "without a name");
  CHECK_FALSE(losePowerNow(UnsyncedLoss::all).empty());
  CHECK_EQUAL(std::string("durable "), contents("log"));
  CHECK_EQUAL(std::string("none"), contents("new"));
}

TEST(PowerLossTest, aNameWithoutASyncOfItsFileIsAnEmptyFile) {
  (void)append("log", "lost");
  CHECK_TRUE(files->syncFolder().has_value());
  (void)losePowerNow(UnsyncedLoss::all);
  CHECK_EQUAL(std::string(), contents("log"));
}

TEST(PowerLossTest, aRenamingThatWasNotSyncedIsUndone) {
  const auto file = append("state.new", "second");
  CHECK_TRUE(file->sync().has_value());
  CHECK_TRUE(files->syncFolder().has_value());
  CHECK_TRUE(files->rename("state.new", "state").has_value());
  (void)losePowerNow(UnsyncedLoss::all);
  CHECK_EQUAL(std::string("second"), contents("state.new"));
  CHECK_EQUAL(std::string("none"), contents("state"));
}

TEST(PowerLossTest, filesThatAreSyncedTogetherStay) {
  const auto first = append("a", "one");
  const auto second = append("b", "two");
  CHECK_TRUE(files->syncTogether({first.get(), second.get()}).has_value());
  CHECK_EQUAL(std::string(), losePowerNow(UnsyncedLoss::all));
  CHECK_EQUAL(std::string("one"), contents("a"));
  CHECK_EQUAL(std::string("two"), contents("b"));
}

TEST(PowerLossTest, whatWasDurableSurvivesLossesOfEachPieceByItself) {
  for (int round = 0; round < 50; ++round) {
    const std::string before = round == 0 ? "" : contents("log");
    const auto file = append("log", "durable ");
    CHECK_TRUE(files->syncTogether({file.get()}).has_value());
    CHECK_TRUE(file->append("unsynced").has_value());
    (void)losePowerNow(UnsyncedLoss::drawn);
    CHECK_EQUAL(before + "durable ", contents("log").substr(0, before.size() + 8));
  }
}
