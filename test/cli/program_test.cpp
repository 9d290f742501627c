#include "cli/program.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "cli/controller_client.h"
#include "fake_cell.h"

using namespace walnut;
using namespace walnut::cli;
using resource::Kind;
using runtime::ExitCode;

namespace {

/// A file that is gone at the end of the scope.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    const int descriptor = ::mkstemp(path_);
    ::close(descriptor);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  std::string path() const { return path_; }

 private:
  char path_[32] = "/tmp/walnutctl-test-XXXXXX";
};

const char* const kDeck = R"(
- {kind: model, name: m, spec: {active_version: m-1, max_replicas: 2}}
- {kind: modelversion, name: m-1, spec: {model: m, checkpoint: c/1, checkpoint_bytes: 10, accelerator_bytes: 12}}
)";

protocol::CellStatus statusSample() {
  protocol::CellStatus status;
  status.server = base::ServerId{12};
  status.leader = base::ServerId{11};
  status.term = 5;
  status.appliedIndex = 40;
  status.firstIndex = 2;
  status.routersConnected = 6;
  const auto member = [](std::uint64_t id, consensus::MemberRole role, std::uint16_t port) {
    return consensus::Member{base::ServerId{id},
                             role,
                             {"127.0.0.1", port},
                             {"127.0.0.1", static_cast<std::uint16_t>(port + 1000)},
                             base::ZoneId{"a"}};
  };
  status.membership.members = {member(11, consensus::MemberRole::voter, 7001),
                               member(12, consensus::MemberRole::learner, 7002)};
  for (const char* const id : {"engine-7", "engine-8"}) {
    status.engines.push_back({base::EngineId{id},
                              {"127.0.0.1", 9007},
                              base::ZoneId{"a"},
                              "",
                              base::Incarnation{31},
                              resource::EngineStatus::live,
                              std::nullopt,
                              {24, 48}});
  }
  status.replicas = {{base::ReplicaId{33},
                      {"m", "m-1", ""},
                      base::EngineId{"engine-7"},
                      base::Incarnation{31},
                      base::AcceleratorIndex{1},
                      12,
                      resource::ReplicaState::ready,
                      base::fromMicros(0)}};
  return status;
}

}  // namespace

TEST_GROUP(ProgramTest) {
  FakeCell cell;
  FakeController first{cell};
  FakeController second{cell};
  std::string out;
  std::string error;

  ExitCode run(std::vector<std::string> words) {
    const std::string controllers = first.endpoint() + "," + second.endpoint();
    words.insert(words.begin(), "walnutctl");
    words.insert(words.end(), {"--retry-pause-ms", "0", "--attempts", "4"});
    std::vector<char*> argv;
    for (std::string& word : words) {
      argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    std::ostringstream outStream;
    std::ostringstream errorStream;
    const ExitCode code = runProgram(static_cast<int>(words.size()), argv.data(),
                                     controllers.c_str(), outStream, errorStream);
    out = outStream.str();
    error = errorStream.str();
    return code;
  }

  void checkExit(ExitCode expected, ExitCode code) {
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(code), error.c_str());
  }
};

TEST(ProgramTest, applyWritesWhatIsNotAsDeclared) {
  const TemporaryFile file(kDeck);
  checkExit(ExitCode::ok, run({"apply", "-f", file.path()}));
  STRCMP_EQUAL("modelversion/m-1 created, version 2\nmodel/m created, version 3\n", out.c_str());
  checkExit(ExitCode::ok, run({"apply", "-f", file.path()}));
  STRCMP_EQUAL("modelversion/m-1 unchanged\nmodel/m unchanged\n", out.c_str());
  LONGS_EQUAL(3, cell.version);
  checkExit(ExitCode::ok, run({"apply", "-f", file.path(), "-o", "json"}));
  STRCMP_EQUAL(R"([{"kind":"modelversion","name":"m-1","version":0,"result":"unchanged"},)"
               R"({"kind":"model","name":"m","version":0,"result":"unchanged"}])"
               "\n",
               out.c_str());
}

TEST(ProgramTest, whatGetPrintsCanBeApplied) {
  const TemporaryFile file(kDeck);
  run({"apply", "-f", file.path()});
  checkExit(ExitCode::ok, run({"get", "model", "-o", "json"}));
  const TemporaryFile printed(out);
  cell.resources.clear();
  cell.resources[{Kind::model, "m"}] = {{Kind::model, "m"}, 3, resource::ModelSpec{}};
  cell.resources[{Kind::modelVersion, "m-1"}] = {
      {Kind::modelVersion, "m-1"}, 2, resource::ModelVersionSpec{"m", "c/1", 10, 12}};
  checkExit(ExitCode::ok, run({"apply", "-f", printed.path()}));
  STRCMP_EQUAL("model/m replaced, version 4\n", out.c_str());
  cell.resources[{Kind::model, "m"}].spec = resource::ModelSpec{};
  checkExit(ExitCode::conflict, run({"apply", "-f", printed.path()}));
}

/// What was saved of a cell carries versions that another cell never had.
TEST(ProgramTest, savedDeclarationsFoundAnotherCell) {
  const TemporaryFile saved(R"([
    {"kind": "modelversion", "name": "m-1", "version": 17,
     "spec": {"model": "m", "checkpoint": "c/1", "checkpoint_bytes": 10, "accelerator_bytes": 12}},
    {"kind": "model", "name": "m", "version": 18, "spec": {"active_version": "m-1"}}])");
  checkExit(ExitCode::conflict, run({"apply", "-f", saved.path()}));
  checkExit(ExitCode::ok, run({"apply", "-f", saved.path(), "--any-version"}));
  STRCMP_CONTAINS("model/m created", out.c_str());
}

TEST(ProgramTest, getWithoutAKindPrintsAllThatIsDeclared) {
  const TemporaryFile file(kDeck);
  run({"apply", "-f", file.path()});
  run({"drain", "e1"});
  checkExit(ExitCode::ok, run({"get"}));
  STRCMP_CONTAINS("MODEL\nNAME", out.c_str());
  STRCMP_CONTAINS("\n\nDRAIN\nNAME", out.c_str());
  checkExit(ExitCode::ok, run({"get", "-o", "json"}));
  const TemporaryFile saved(out);
  cell.resources.clear();
  checkExit(ExitCode::ok, run({"apply", "-f", saved.path(), "--any-version"}));
  LONGS_EQUAL(3, cell.resources.size());
}

TEST(ProgramTest, nothingIsWrittenIfAFileIsBad) {
  const TemporaryFile file(std::string(kDeck) + "- {kind: model, name: n, spec: {size: 1}}\n");
  checkExit(ExitCode::failed, run({"apply", "-f", file.path()}));
  const std::string expected =
      "walnutctl: unknown_field: " + file.path() + ":4: spec.size: not a field of this object\n";
  STRCMP_EQUAL(expected.c_str(), error.c_str());
  CHECK_TRUE(cell.requestIds().empty());
}

TEST(ProgramTest, applyStopsAtTheFirstRefusal) {
  const TemporaryFile file(std::string(kDeck) + "- {kind: model, name: n, spec: {pool: none}}\n");
  checkExit(ExitCode::failed, run({"apply", "-f", file.path()}));
  STRCMP_CONTAINS("model/n (", error.c_str());
  STRCMP_CONTAINS("reference_missing", error.c_str());
  STRCMP_CONTAINS("stopped after 1 of 4 steps", error.c_str());
}

TEST(ProgramTest, aConflictNamesTheCurrentVersionAndHasItsExitCode) {
  const TemporaryFile file("{kind: drain, name: e1, spec: {reason: fan}}");
  checkExit(ExitCode::ok, run({"apply", "-f", file.path(), "--expected-version", "0"}));
  const TemporaryFile other("{kind: drain, name: e1, spec: {reason: dust}}");
  checkExit(ExitCode::conflict, run({"apply", "-f", other.path(), "--expected-version", "0"}));
  STRCMP_CONTAINS("version_conflict", error.c_str());
  STRCMP_CONTAINS("current version 1", error.c_str());
  checkExit(ExitCode::failed, run({"apply", "-f", other.path(), "-f", file.path()}));
  STRCMP_CONTAINS("e1 is declared already at", error.c_str());
  const TemporaryFile deck(kDeck);
  checkExit(ExitCode::usage, run({"apply", "-f", deck.path(), "--expected-version", "0"}));
}

TEST(ProgramTest, anotherControllerIsAskedWhenOneFails) {
  const std::string dead = "127.0.0.1:1," + second.endpoint();
  checkExit(ExitCode::ok, run({"status", "--controllers", dead}));
  first.behave({}, Behaviour::refuse);
  checkExit(ExitCode::ok, run({"drain", "e1"}));
  first.behave({}, Behaviour::loseAnswer);
  checkExit(ExitCode::ok, run({"get", "drain", "e1"}));
}

TEST(ProgramTest, aWriteWhoseAnswerIsLostWasCarriedOut) {
  first.behave({}, Behaviour::loseAnswer);
  constexpr std::size_t kTries = 4;  // As `run` asks for.
  for (std::size_t write = 1; write <= 20; ++write) {
    checkExit(ExitCode::unavailable, run({"drain", "e1", "--controllers", first.endpoint()}));
    LONGS_EQUAL(kTries * write, cell.requestIds().size());
  }
}

TEST(ProgramTest, aLostAnswerIsAskedForAgainUnderTheSameId) {
  first.behave({Behaviour::loseAnswer});
  checkExit(ExitCode::ok, run({"drain", "e1", "--reason", "fan noise"}));
  STRCMP_EQUAL("drain/e1 declared, version 1\n", out.c_str());
  LONGS_EQUAL(2, cell.requestIds().size());
  STRCMP_EQUAL(cell.requestIds()[0].c_str(), cell.requestIds()[1].c_str());
  first.behave({Behaviour::loseAnswer});
  checkExit(ExitCode::ok, run({"drain", "e1", "--undo", "--request-id", "lift-1"}));
  LONGS_EQUAL(4, cell.requestIds().size());
  STRCMP_EQUAL("lift-1", cell.requestIds()[3].c_str());
  LONGS_EQUAL(2, cell.version);
}

TEST(ProgramTest, resendsAreBoundedAndTheUnknownOutcomeIsTold) {
  first.behave({}, Behaviour::loseAnswer);
  second.behave({}, Behaviour::refuse);
  checkExit(ExitCode::unavailable, run({"drain", "e1", "--request-id", "d-1"}));
  LONGS_EQUAL(2, cell.requestIds().size());
  STRCMP_CONTAINS("it may have taken effect: repeat with --request-id d-1", error.c_str());
  first.behave({}, Behaviour::refuse);
  checkExit(ExitCode::unavailable, run({"drain", "e2"}));
  CHECK_TRUE(error.find("may have taken effect") == std::string::npos);
}

TEST(ProgramTest, anAnswerOfAnotherServerIsAnError) {
  first.behave({}, Behaviour::garble);
  checkExit(ExitCode::failed, run({"status"}));
  STRCMP_CONTAINS("status 502 with an unknown body", error.c_str());
}

TEST(ProgramTest, deleteTellsWhatIsNotThere) {
  checkExit(ExitCode::notFound, run({"delete", "model", "m"}));
  checkExit(ExitCode::notFound, run({"get", "model", "m"}));
  STRCMP_CONTAINS("model/m: not_found", error.c_str());
  checkExit(ExitCode::usage, run({"delete", "engine", "m"}));
  checkExit(ExitCode::notFound, run({"get", "model", "m", "-o", "json"}));
  STRCMP_CONTAINS(R"({"error":{"message":)", error.c_str());
}

TEST(ProgramTest, membersAreAddedAndRemoved) {
  checkExit(ExitCode::ok, run({"member", "add", "12@127.0.0.1:7002@127.0.0.1:8002@zone-b"}));
  checkExit(ExitCode::ok, run({"member", "remove", "11"}));
  STRCMP_EQUAL("member 11 removed\n", out.c_str());
  LONGS_EQUAL(2, cell.memberChanges.size());
  CHECK_TRUE(cell.memberChanges[0].member.zone == base::ZoneId{"zone-b"});
  CHECK_TRUE(cell.memberChanges[1].remove);
  for (const char* const member :
       {"12", "12@127.0.0.1:1@127.0.0.1:2@", "0@127.0.0.1:1@127.0.0.1:2@z",
        "12@host:1@127.0.0.1:2@z", "x@127.0.0.1:1@127.0.0.1:2@z"}) {
    checkExit(ExitCode::usage, run({"member", "add", member}));
  }
  checkExit(ExitCode::usage, run({"member", "list", "1"}));
  checkExit(ExitCode::usage, run({"member", "remove", "x"}));
}

TEST(ProgramTest, tablesAreAligned) {
  const TemporaryFile file(kDeck);
  run({"apply", "-f", file.path()});
  checkExit(ExitCode::ok, run({"get", "model"}));
  STRCMP_EQUAL(
      "NAME  ACTIVE-VERSION  POOL  BUDGET  REPLICAS  VERSION\n"
      "m     m-1             -     -       0..2      3\n",
      out.c_str());
  cell.status = statusSample();
  run({"drain", "engine-8"});
  checkExit(ExitCode::ok, run({"status"}));
  STRCMP_EQUAL(
      "answered by  12\n"
      "leader       11\n"
      "term         5\n"
      "applied      40\n"
      "log from     2\n"
      "routers      6\n"
      "\n"
      "MEMBER  ROLE     LEADS   PEER            API             ZONE\n"
      "11      voter    leader  127.0.0.1:7001  127.0.0.1:8001  a\n"
      "12      learner  -       127.0.0.1:7002  127.0.0.1:8002  a\n"
      "\n"
      "ENGINE    STATUS    ENDPOINT        ZONE  CLASS  ACCELERATOR-BYTES\n"
      "engine-7  live      127.0.0.1:9007  a     -      24,48\n"
      "engine-8  draining  127.0.0.1:9007  a     -      24,48\n"
      "\n"
      "REPLICA  MODEL  VERSION  ADAPTER  ENGINE    ACCELERATOR  BYTES  STATE\n"
      "33       m      m-1      -        engine-7  1            12     ready\n",
      out.c_str());
}

TEST(ProgramTest, watchShowsEachChangeOnceOverSeveralConnections) {
  run({"drain", "e1", "--reason", "fan"});
  run({"drain", "e1", "--undo"});
  first.behave({Behaviour::serve}, Behaviour::refuse);
  second.behave({Behaviour::serve, Behaviour::loseAnswer}, Behaviour::refuse);
  checkExit(ExitCode::unavailable, run({"watch", "drain", "--from", "0"}));
  STRCMP_EQUAL("changed drain/e1 version 1 {\"reason\":\"fan\"}\ndeleted drain/e1\n", out.c_str());
  CHECK_TRUE(cell.watchedFrom.size() >= 2);
  LONGS_EQUAL(0, cell.watchedFrom[0]);
  LONGS_EQUAL(2, cell.watchedFrom[1]);
}

TEST(ProgramTest, aWatchThatIsTooFarBehindListsAgain) {
  run({"drain", "e1", "--reason", "fan"});
  cell.oldestKept = 1;
  first.behave({Behaviour::serve}, Behaviour::refuse);
  second.behave({Behaviour::serve}, Behaviour::refuse);
  checkExit(ExitCode::unavailable, run({"watch", "--from", "0"}));
  STRCMP_EQUAL("changed drain/e1 version 1 {\"reason\":\"fan\"}\n", out.c_str());
  STRCMP_CONTAINS("listing again", error.c_str());
}

TEST(ProgramTest, explainTellsARequestAndWhatWasLost) {
  const TemporaryFile log(
      "time=2026-01-01T00:00:01.000Z program=p event=request-waiting request=r1 model=m "
      "reason=not-held adapter=\"\"\n"
      "time=2026-01-01T00:00:03.000Z program=p event=request-ended request=r1 route=x model=m "
      "status=200 outcome=complete first=2000 gap=0 waited=1900 target=800 target-gap=400\n"
      "time=2026-01-01T00:00:04.000Z program=p event=request-en");
  checkExit(ExitCode::ok, run({"explain", "--request", "r1", log.path()}));
  CHECK_TRUE(out.find("event=request-waiting") < out.find("event=request-ended"));
  CHECK_TRUE(error.find("1 lines passed over") != std::string::npos);
  checkExit(ExitCode::ok, run({"explain", "--losses", log.path()}));
  CHECK_TRUE(out.find("model-not-loaded") != std::string::npos);
  checkExit(ExitCode::ok, run({"explain", "--losses", "-o", "json", log.path()}));
  CHECK_TRUE(out.find("\"cause\":\"model-not-loaded\"") != std::string::npos);
}

TEST(ProgramTest, explainSaysWhatItCantTell) {
  const TemporaryFile log(
      "time=2026-01-01T00:00:01.000Z program=p event=request-left request=r1\n");
  const TemporaryFile empty("");
  checkExit(ExitCode::notFound, run({"explain", "--request", "r2", log.path()}));
  checkExit(ExitCode::usage, run({"explain", "--losses", empty.path()}));
  CHECK_TRUE(error.find(empty.path()) != std::string::npos);
  checkExit(ExitCode::usage, run({"explain", "--losses", "/no/such.log"}));
  checkExit(ExitCode::usage, run({"explain", log.path()}));
  checkExit(ExitCode::usage, run({"explain", "--losses"}));
  checkExit(ExitCode::usage, run({"explain", "--losses", "--request", "r1", log.path()}));
}
