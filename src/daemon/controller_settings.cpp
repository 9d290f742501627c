#include "daemon/controller_settings.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "daemon/arguments.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

constexpr std::int64_t kMaxCellNumber = 65535;
constexpr std::int64_t kSecond = 1000;  ///< In milliseconds, as all bounds of times here.
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kMaxEntries = 1'000'000;
constexpr std::int64_t kMinSegmentBytes = 64 << 10;
constexpr std::int64_t kMaxSegmentBytes = 1 << 30;
constexpr const char* kMemberShape = "accepted: ID@PEER_ADDRESS:PORT@API_ADDRESS:PORT@ZONE";
constexpr const char* kUrlScheme = "http://";

Error badMember(const std::string& text) {
  return {ErrorCode::malformedInput, "initial-members", "'" + text + "'; " + kMemberShape};
}

std::vector<std::string> splitAt(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(separator, start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

}  // namespace

Result<consensus::Member> parseInitialMember(const std::string& text) {
  const std::vector<std::string> parts = splitAt(text, '@');
  constexpr std::size_t kParts = 4;
  if (parts.size() != kParts) {
    return badMember(text);
  }
  consensus::Member member;
  const char* const end = parts[0].data() + parts[0].size();
  const auto [rest, failure] = std::from_chars(parts[0].data(), end, member.id.value);
  if (failure != std::errc() || rest != end || member.id.value == 0) {
    return badMember(text);
  }
  const auto peer = runtime::parseEndpoint(parts[1]);
  const auto api = runtime::parseEndpoint(parts[2]);
  if (!peer || !api || parts[3].empty()) {
    return badMember(text);
  }
  member.role = consensus::MemberRole::voter;
  member.peerEndpoint = peer.value();
  member.resourceEndpoint = api.value();
  member.zone = {parts[3]};
  return member;
}

Result<base::Endpoint> parseServerUrl(const std::string& text) {
  std::string rest = text;
  if (rest.starts_with(kUrlScheme)) {
    rest.erase(0, std::string_view(kUrlScheme).size());
  }
  if (rest.ends_with('/')) {
    rest.pop_back();
  }
  return runtime::parseEndpoint(rest);
}

ControllerSettingsBinder::ControllerSettingsBinder()
    : keys_("walnut-controller",
            "One server of a cell: configuration, engines, replicas.\n"
            "  walnut-controller --init --data-dir D    gives D an identity and prints it"),
      segmentBytes_(static_cast<std::int64_t>(settings_.segmentBytes)),
      snapshotEveryEntries_(static_cast<std::int64_t>(settings_.logic.snapshotEveryEntries)),
      snapshotKeepEntries_(static_cast<std::int64_t>(settings_.logic.snapshotKeepEntries)),
      watchKeepChanges_(static_cast<std::int64_t>(settings_.logic.maxWatchChanges)),
      requestAnswersKept_(static_cast<std::int64_t>(settings_.logic.maxRequestAnswers)),
      callThreads_(static_cast<std::int64_t>(settings_.calls.threads)),
      callsPerEngine_(static_cast<std::int64_t>(settings_.calls.perEndpoint)),
      maxConnections_(settings_.api.maxConnections) {
  declarePlace();
  declareConsensus();
  declareLeader();
  declareApi();
}

void ControllerSettingsBinder::declarePlace() {
  keys_.addString("data-dir", settings_.dataFolder, "Folder of this server's durable state");
  keys_.addBoolean("init", settings_.init,
                   "Give an empty data folder an identity, print it and exit");
  keys_.addStringList("initial-members", initialMembers_,
                      "Voters of a new cell, each ID@PEER_ADDRESS:PORT@API_ADDRESS:PORT@ZONE; used "
                      "only while the data folder holds no state");
  keys_.addBoolean("join", settings_.join, "Wait to be added to a cell (walnutctl member add)");
  keys_.addEndpoint("listen-peer", settings_.listenPeer,
                    "Address for other servers and routers; port 0: picked by the kernel");
  keys_.addEndpoint("listen-api", settings_.api.listen,
                    "Address of the resource API; port 0: picked by the kernel");
  keys_.addString("platform-url", platformUrl_, "Server of the platform list, http://ADDRESS:PORT");
  keys_.addString("zone", zone_, "Availability zone of this process");
  keys_.addInteger("region", region_, 0, kMaxCellNumber, "Region of the cell");
  keys_.addInteger("cell", cell_, 0, kMaxCellNumber, "Number of the cell within the region");
  keys_.addString("ready-file", settings_.readyFile,
                  "File that gets the ready line once the server listens");
}

void ControllerSettingsBinder::declareConsensus() {
  control::ControllerOptions& logic = settings_.logic;
  keys_.addMillis("heartbeat-interval-ms", logic.raft.heartbeatInterval, 1, kMinute,
                  "Between two heartbeats of the leader");
  keys_.addMillis("election-timeout-min-ms", logic.raft.electionTimeoutMin, 10, kMinute,
                  "Least silence of a leader before an election");
  keys_.addMillis("election-timeout-max-ms", logic.raft.electionTimeoutMax, 10, kMinute,
                  "Greatest silence of a leader before an election");
  keys_.addMillis("check-quorum-timeout-ms", logic.raft.checkQuorumTimeout, 10, kMinute,
                  "A leader that hears no majority for so long steps down; at most "
                  "election-timeout-min-ms");
  keys_.addInteger("segment-bytes", segmentBytes_, kMinSegmentBytes, kMaxSegmentBytes,
                   "Size at which a new log segment is begun");
  keys_.addInteger("snapshot-every-entries", snapshotEveryEntries_, 1, kMaxEntries,
                   "Log entries between two snapshots");
  keys_.addInteger("snapshot-keep-entries", snapshotKeepEntries_, 0, kMaxEntries,
                   "Log entries kept behind a snapshot for servers that lag");
}

void ControllerSettingsBinder::declareLeader() {
  control::ControllerOptions& logic = settings_.logic;
  keys_.addMillis("report-interval-ms", logic.reportInterval, 10, kMinute,
                  "Between two reports of an engine");
  keys_.addMillis("call-timeout-ms", logic.callTimeout, 1, kMinute, "Calls of engines");
  keys_.addMillis("connect-timeout-ms", settings_.calls.connectTimeout, 1, kMinute,
                  "Connecting to an engine");
  keys_.addMillis("platform-list-interval-ms", logic.platformListInterval, 10, kHour,
                  "Between two readings of the platform list");
  keys_.addMillis("machine-gone-after-ms", logic.machineRemovalTimeout, 100, kHour,
                  "A machine absent from the platform list for so long is known gone");
  keys_.addMillis("demand-lifetime-ms", logic.demandLifetime, 100, kHour,
                  "Demand of a router that is silent for so long lapses");
  keys_.addMillis("placement-interval-ms", logic.placementInterval, 1, kMinute,
                  "Between two rounds of placement");
  keys_.addMillis("unload-grace-ms", logic.unloadGrace, 0, kMinute,
                  "From the decision to unload until the order");
  keys_.addMillis("claim-window-ms", logic.claimWindow, kSecond, 24 * kHour,
                  "How long a claimed idempotency key is kept");
  keys_.addMillis("claim-clock-skew-ms", logic.claimClockSkew, 0, kHour,
                  "Clocks of callers may be wrong by so much");
  keys_.addInteger("call-threads", callThreads_, 1, 1024, "Threads for calls of engines");
  keys_.addInteger("calls-per-engine", callsPerEngine_, 1, 64, "Calls to one engine at once");
}

void ControllerSettingsBinder::declareApi() {
  control::ControllerOptions& logic = settings_.logic;
  keys_.addMillis("api-timeout-ms", logic.apiTimeout, 10, kHour,
                  "Then a request of the resource API is answered as outcome_unknown");
  keys_.addInteger("watch-keep-changes", watchKeepChanges_, 1, kMaxEntries,
                   "Changes kept for watches that lag");
  keys_.addInteger("request-answers-kept", requestAnswersKept_, 1, kMaxEntries,
                   "First answers kept for requests that are sent again");
  keys_.addMillis("watch-push-interval-ms", logic.watchPushInterval, 1, kMinute,
                  "Least time between two deltas to a router");
  keys_.addMillis("watch-heartbeat-interval-ms", logic.watchHeartbeatInterval, 10, kMinute,
                  "A router hears at least this often");
  keys_.addInteger("max-connections", maxConnections_, 1, 16384,
                   "Connections of the resource API served at once, a thread each");
  keys_.addMillis("hand-over-timeout-ms", logic.plannedStopTimeout, 0, kHour,
                  "Longest time that a planned stop waits for another leader");
  keys_.addMillis("stop-timeout-ms", settings_.stopTimeout, 0, 24 * kHour,
                  "Longest time of a planned stop in all");
}

Result<void> ControllerSettingsBinder::resolve() {
  if (settings_.dataFolder.empty()) {
    return Error{ErrorCode::missingField, "data-dir", "required"};
  }
  control::ControllerOptions& logic = settings_.logic;
  if (logic.raft.electionTimeoutMax < logic.raft.electionTimeoutMin) {
    return Error{ErrorCode::outOfRange, "election-timeout-max-ms",
                 "accepted: at least election-timeout-min-ms"};
  }
  if (logic.raft.checkQuorumTimeout > logic.raft.electionTimeoutMin) {
    return Error{ErrorCode::outOfRange, "check-quorum-timeout-ms",
                 "accepted: at most election-timeout-min-ms"};
  }
  if (!platformUrl_.empty()) {
    const auto platform = parseServerUrl(platformUrl_);
    if (!platform) {
      return Error{ErrorCode::outOfRange, "platform-url", "accepted: http://IP_ADDRESS:PORT"};
    }
    settings_.platform = platform.value();
  }
  std::set<base::ServerId> ids;
  for (const std::string& text : initialMembers_) {
    BOOST_OUTCOME_TRY(member, parseInitialMember(text));
    if (!ids.insert(member.id).second) {
      return Error{ErrorCode::outOfRange, "initial-members", "an id stands twice"};
    }
    settings_.initialMembers.members.push_back(std::move(member));
  }
  if (settings_.join && !initialMembers_.empty()) {
    return Error{ErrorCode::outOfRange, "join", "not together with initial-members"};
  }
  settings_.cell = {static_cast<std::uint16_t>(region_), static_cast<std::uint16_t>(cell_)};
  settings_.zone = {zone_};
  settings_.segmentBytes = static_cast<std::uint64_t>(segmentBytes_);
  logic.snapshotEveryEntries = static_cast<std::size_t>(snapshotEveryEntries_);
  logic.snapshotKeepEntries = static_cast<std::size_t>(snapshotKeepEntries_);
  logic.maxWatchChanges = static_cast<std::size_t>(watchKeepChanges_);
  logic.maxRequestAnswers = static_cast<std::size_t>(requestAnswersKept_);
  settings_.calls.threads = static_cast<std::size_t>(callThreads_);
  settings_.calls.perEndpoint = static_cast<std::size_t>(callsPerEngine_);
  settings_.api.maxConnections = static_cast<int>(maxConnections_);
  return base::success();
}

runtime::Settings::Parsed ControllerSettingsBinder::parse(int argc, char** argv) {
  Arguments arguments(argc, argv);
  arguments.allowBare({"--init", "--join"});
  return arguments.parse(keys_, "walnut-controller", [this] { return resolve(); });
}

}  // namespace walnut::daemon
