#include "rehearsal/soak_clients.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "platform/names.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;

namespace {

constexpr double kModelShare = 0.6;
constexpr double kOnceShare = 0.15;
constexpr base::Duration kModelDeadline = std::chrono::seconds(6);
constexpr base::Duration kPlainDeadline = milliseconds(1500);
constexpr base::Duration kRetryPause = milliseconds(50);
constexpr int kMaxTries = 3;
constexpr int kOk = 200;
constexpr std::uint64_t kEvents = 6;
constexpr std::size_t kShownBytes = 120;

/// @return the stream of a whole answer, as stand-in workers write it.
std::string wholeStream() {
  std::string text;
  for (std::uint64_t event = 1; event <= kEvents; ++event) {
    text += "id: " + std::to_string(event) + "\ndata: part " + std::to_string(event) + "\n\n";
  }
  return text;
}

/// @return an id of 16 hexadecimal digits.
std::string requestId(std::uint64_t number) {
  std::string text(17, '\0');
  (void)std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  text.pop_back();
  return text;
}

}  // namespace

SoakClients::SoakClients(event::Dispatcher& dispatcher, SoakClientsOptions options,
                         std::uint64_t seed, SoakAccount& account)
    : dispatcher_(dispatcher),
      options_(std::move(options)),
      random_(seed),
      account_(account),
      http_(dispatcher, net::ClientPoolOptions{}),
      nextRequest_(dispatcher.createTimer([this] { sendNext(); })),
      lastRequest_(random_.uniform(1, 1U << 30U) << 20U) {}

void SoakClients::start() { sendNext(); }

void SoakClients::sendNext() {
  if (stopped_) {
    return;
  }
  const auto client = std::make_shared<Client>();
  const bool models = random_.chance(kModelShare);
  client->request.target =
      models ? options_.targets[random_.uniform(0, options_.targets.size() - 1)] : "";
  client->request.runsOnce = !models && random_.chance(kOnceShare / (1 - kModelShare));
  client->request.body = "body " + requestId(++lastRequest_);
  client->sentAt = dispatcher_.now();
  client->deadline = client->sentAt + (models ? kModelDeadline : kPlainDeadline);
  tryOnce(client);
  const double gap = -std::log(1 - random_.unit()) / options_.requestsPerSecond;
  nextRequest_->enableAt(dispatcher_.now() + std::chrono::duration_cast<base::Duration>(
                                                 std::chrono::duration<double>(gap)));
}

void SoakClients::tryOnce(const ClientPtr& client) {
  ++client->tries;
  client->request.id = requestId(++lastRequest_);
  const base::Duration left = client->deadline - dispatcher_.now();
  client->request.deadlineMillis =
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(left).count());
  const base::Endpoint& gateway =
      options_.gateways[random_.uniform(0, options_.gateways.size() - 1)];
  http_.call(gateway.address, gateway, platform::writeStandinRequest(client->request), left,
             [this, client](const net::CallOutcome& outcome) { answered(client, outcome); });
}

void SoakClients::answered(const ClientPtr& client, const net::CallOutcome& outcome) {
  const bool whole = outcome.response && outcome.response.value().head.status == kOk;
  if (whole) {
    check(*client, outcome.response.value());
    finish(*client, true);
    return;
  }
  base::Duration pause = kRetryPause;
  if (outcome.response) {
    const auto seconds = outcome.response.value().head.headers.findNumber("Retry-After");
    pause = seconds ? base::Duration(std::chrono::seconds(*seconds)) : pause;
  }
  tryAgain(client, pause);
}

/// A request that must run once is sent once.
void SoakClients::tryAgain(const ClientPtr& client, base::Duration pause) {
  const base::Duration left = client->deadline - dispatcher_.now();
  const base::Duration wait = std::min(pause, left / 3);
  if (client->request.runsOnce || client->tries >= kMaxTries || left < milliseconds(20)) {
    finish(*client, false);
    return;
  }
  client->timer = dispatcher_.createTimer([this, client] { tryOnce(client); });
  client->timer->enableAt(dispatcher_.now() + wait);
}

/// The timer keeps the client, so it has to go for the client to be destroyed.
void SoakClients::finish(Client& client, bool served) {
  account_.requestEnded(client.sentAt, served);
  dispatcher_.destroySoon(std::move(client.timer));
}

void SoakClients::check(const Client& client, const net::HttpResponse& response) {
  const std::string* seal = response.head.headers.find(platform::kSealHeader);
  const bool stream = !client.request.target.empty();
  const std::string expected = stream ? wholeStream() : "answer to " + client.request.body;
  if (seal == nullptr || *seal != "seal of " + client.request.id) {
    account_.violation("MIXED", dispatcher_.now(),
                       client.request.id + " got 200 with the seal " +
                           (seal == nullptr ? std::string("of nobody") : *seal));
  } else if (response.body != expected) {
    account_.violation(stream ? "ORDER" : "MIXED", dispatcher_.now(),
                       client.request.id + " got 200 with " + std::to_string(response.body.size()) +
                           " bytes: " + response.body.substr(0, kShownBytes));
  }
}

}  // namespace walnut::rehearsal
