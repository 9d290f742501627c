#include "storage/posix_file_system.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>

#include "storage/scripted_batches.h"
#include "walnut/factories.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

TEST_GROUP(PosixFileSystemTest) {
  std::string root;
  std::string folder;

  void setup() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "walnut-XXXXXX").string();
    CHECK_TRUE(::mkdtemp(pattern.data()) != nullptr);
    root = pattern;
    folder = root + "/a/b";
  }
  void teardown() override { std::filesystem::remove_all(root); }

  std::unique_ptr<FileSystem> open() {
    auto files = openPosixFileSystem(folder);
    CHECK_TRUE(files.has_value());
    return std::move(files.value());
  }
};

TEST(PosixFileSystemTest, filesAreWrittenReadCutRenamedAndRemoved) {
  const auto files = open();
  {
    const auto file = files->openForAppend("one");
    CHECK_TRUE(file.value()->append("abc").has_value());
    CHECK_TRUE(file.value()->append("def").has_value());
    CHECK_TRUE(file.value()->sync().has_value());
  }
  CHECK_TRUE(files->openForAppend("one").value()->append("ghi").has_value());
  STRCMP_EQUAL("abcdefghi", files->read("one").value().c_str());
  CHECK_TRUE(files->truncate("one", 4).has_value());
  CHECK_TRUE(files->rename("one", "two").has_value());
  CHECK_TRUE(files->syncFolder().has_value());
  STRCMP_EQUAL("abcd", files->read("two").value().c_str());
  CHECK_EQUAL(1U, files->list().value().size());
  CHECK_TRUE(files->remove("two").has_value());
  CHECK_EQUAL(0U, files->list().value().size());
}

TEST(PosixFileSystemTest, missingFilesAreTypedErrors) {
  const auto files = open();
  CHECK_TRUE(files->read("x").error().code == base::ErrorCode::fileError);
  CHECK_TRUE(files->truncate("x", 0).error().code == base::ErrorCode::fileError);
  CHECK_TRUE(files->rename("x", "y").error().code == base::ErrorCode::fileError);
  CHECK_TRUE(files->remove("x").error().code == base::ErrorCode::fileError);
  STRCMP_EQUAL("x", files->remove("x").error().field.c_str());
}

TEST(PosixFileSystemTest, aHugeFileIsRefusedBeforeItIsRead) {
  const auto files = open();
  CHECK_TRUE(files->openForAppend("huge").has_value());
  // The file is sparse and takes no disk space.
  std::filesystem::resize_file(folder + "/huge", 1ULL << 40U);
  CHECK_TRUE(files->read("huge").error().code == base::ErrorCode::inputTooLarge);
}

TEST(PosixFileSystemTest, foldersAndLinksAreNotListed) {
  const auto files = open();
  std::filesystem::create_directory(folder + "/log-0000000000000001");
  std::filesystem::create_symlink("/nowhere", folder + "/vote");
  CHECK_EQUAL(0U, files->list().value().size());
}

TEST(PosixFileSystemTest, theFolderIsLockedForOneUser) {
  auto files = open();
  CHECK_TRUE(files->list().has_value());
  CHECK_TRUE(openPosixFileSystem(folder).error().code == base::ErrorCode::fileError);
  files.reset();
  CHECK_TRUE(openPosixFileSystem(folder).has_value());
}

TEST(PosixFileSystemTest, aFileInPlaceOfTheFolderIsAnError) {
  CHECK_TRUE(open()->openForAppend("file").has_value());
  CHECK_TRUE(openPosixFileSystem(folder + "/file").error().code == base::ErrorCode::fileError);
}

TEST(PosixFileSystemTest, theScriptIsKeptOverReopening) {
  constexpr std::uint64_t kSegmentBytes = 200;
  consensus::RecoveredState expected = freshState();
  for (const consensus::PersistBatch& batch : scriptedBatches()) {
    const auto files = open();
    const auto storage = makeLogStorage(*files, kSegmentBytes);
    CHECK_TRUE(equal(expected, storage->recover(kIdentity).value()));
    CHECK_TRUE(storage->persist(batch).has_value());
    expected = prefixStates(expected, batch).back();
  }
  const auto files = open();
  CHECK_TRUE(equal(expected, makeLogStorage(*files, kSegmentBytes)->recover(kIdentity).value()));
}
