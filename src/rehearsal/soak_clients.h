#pragma once
/// @file
/// Clients of a soak: they send requests at a steady rate, try again, and check each answer.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "platform/standin_dialect.h"
#include "rehearsal/soak_account.h"
#include "walnut/base/random.h"

namespace walnut::rehearsal {

struct SoakClientsOptions {
  std::vector<base::Endpoint> gateways;
  double requestsPerSecond = 40;
  std::vector<std::string> targets;  ///< Models and adapters.
};

/// Clients use open connections for as long as these last.
class SoakClients {
 public:
  SoakClients(event::Dispatcher& dispatcher, SoakClientsOptions options, std::uint64_t seed,
              SoakAccount& account);

  void start();
  /// No new requests begin.
  void stop() { stopped_ = true; }

 private:
  struct Client {
    platform::StandinRequest request;
    base::TimePoint sentAt;
    base::TimePoint deadline;
    int tries = 0;
    event::TimerPtr timer;
  };
  using ClientPtr = std::shared_ptr<Client>;

  void sendNext();
  void tryOnce(const ClientPtr& client);
  void answered(const ClientPtr& client, const net::CallOutcome& outcome);
  void check(const Client& client, const net::HttpResponse& response);
  void finish(Client& client, bool served);
  void tryAgain(const ClientPtr& client, base::Duration pause);

  event::Dispatcher& dispatcher_;
  const SoakClientsOptions options_;
  base::Random random_;
  SoakAccount& account_;
  net::HttpClient http_;
  event::TimerPtr nextRequest_;
  std::uint64_t lastRequest_ = 0;
  bool stopped_ = false;
};

}  // namespace walnut::rehearsal
