#pragma once
/// @file
/// An operator's client of the resource API: resends after lost answers until it gets a definite
/// one, and tells the oracle what it saw.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "simulator/environment.h"
#include "simulator/fleet.h"
#include "simulator/process.h"

namespace walnut::simulator {

/// The definite outcome of a write.
struct WriteResult {
  bool acknowledged = false;
  resource::Version version = 0;         ///< When acknowledged.
  resource::Version currentVersion = 0;  ///< With a version conflict.
};

class OperatorClient : public Process {
 public:
  using WriteDone = std::function<void(const WriteResult&)>;
  using ReplyDone = std::function<void(const protocol::ApiReply&)>;

  OperatorClient(Environment& environment, Fleet& fleet, const std::string& name,
                 const std::string& zone);

  /// Sends until there is a definite answer; `done` may never be called if there is none.
  void put(resource::Resource declared, std::optional<resource::Version> expected,
           const WriteDone& done);
  void remove(resource::Key key, std::optional<resource::Version> expected, const WriteDone& done);
  /// Adds or removes a server; `done` is called when it is accepted.
  void changeMember(bool remove, const consensus::Member& member,
                    const std::function<void()>& done);

  /// One try each; nothing is told when it fails.
  void get(const resource::Key& key);
  void list(const std::function<void(const std::vector<resource::Resource>&)>& done);
  void status(const std::function<void(const protocol::CellStatus&)>& done);
  /// Watches all kinds over one connection until it breaks.
  void watch(resource::Version from);

 protected:
  void onStart() override {}
  void onKill() override {}

 private:
  void sendWrite(const std::string& requestId, const protocol::ApiRequest& request,
                 const WriteDone& done);
  void handleWriteReply(const std::string& requestId, const protocol::ApiRequest& request,
                        const WriteDone& done, const protocol::ApiReply& reply);
  void retryLater(std::function<void()> again);
  /// @param reply absent if the call failed.
  void call(const protocol::ApiRequest& request,
            const std::function<void(std::optional<protocol::ApiReply>)>& done);
  void observeList(base::TimePoint begun, const std::vector<resource::Resource>& resources);
  std::string nextRequestId();

  Environment& environment_;
  Fleet& fleet_;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t nextWatch_ = 1;
};

}  // namespace walnut::simulator
