#pragma once
/// @file
/// Clients of a soak: they send requests at a steady rate, try again, take streams up that break,
/// and check each answer.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/client_pool.h"
#include "platform/standin_dialect.h"
#include "rehearsal/soak_account.h"
#include "rehearsal/soak_stream.h"
#include "walnut/base/random.h"

namespace walnut::rehearsal {

struct SoakClientsOptions {
  std::vector<base::Endpoint> gateways;
  double requestsPerSecond = 40;
  std::vector<std::string> targets;  ///< Models and adapters.
  /// @return true if the gateway and the servers have been undisturbed for long enough that LOST
  /// counts, and at least two workers of the software version serve.
  std::function<bool(std::size_t gateway, const std::string& version)> countsTry;
};

/// Clients use open connections for as long as these last.
class SoakClients {
 public:
  SoakClients(event::Dispatcher& dispatcher, SoakClientsOptions options, std::uint64_t seed,
              SoakAccount& account);
  ~SoakClients();
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  void start();
  /// Sends so many plain requests to one gateway at once.
  void burst(std::size_t gateway, std::size_t requests);
  /// No new requests begin.
  void stop() { stopped_ = true; }

 private:
  struct Client {
    platform::StandinRequest request;
    base::TimePoint sentAt;
    base::TimePoint deadline;
    int tries = 0;
    std::optional<std::size_t> gateway;  ///< Of all tries; not set: drawn for each.
    event::TimerPtr timer;
    SoakStream stream;
    bool counts = false;  ///< Its present try counts for LOST.
  };
  class Call;
  using ClientPtr = std::shared_ptr<Client>;

  void sendNext();
  void tryOnce(const ClientPtr& client);
  void ended(Call& call);
  void answered(const ClientPtr& client, const Call& call);
  bool checkStream(Client& client, const Call& call);
  void check(const Client& client, const Call& call);
  void finish(Client& client, bool served);
  void tryAgain(const ClientPtr& client, base::Duration pause);

  event::Dispatcher& dispatcher_;
  const SoakClientsOptions options_;
  base::Random random_;
  SoakAccount& account_;
  net::ClientPool pool_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  event::TimerPtr nextRequest_;
  std::uint64_t lastRequest_ = 0;
  bool stopped_ = false;
};

}  // namespace walnut::rehearsal
