#pragma once
/// @file
/// Callers that keep sending to one gateway over open connections until its process is gone, and
/// the check of what a planned stop did to their requests.

#include <memory>
#include <string>
#include <vector>

#include "net/client_pool.h"
#include "rehearsal/soak_account.h"
#include "walnut/base/random.h"

namespace walnut::rehearsal {

/// Callers of one gateway. Each sends requests that must run once, one after the other.
class SoakStopCallers {
 public:
  /// @param name differs between instances; part of the requests' bodies.
  SoakStopCallers(event::Dispatcher& dispatcher, const base::Endpoint& gateway, std::string name,
                  std::size_t callers, std::uint64_t seed, SoakAccount& account);
  ~SoakStopCallers();
  SoakStopCallers(const SoakStopCallers&) = delete;
  SoakStopCallers& operator=(const SoakStopCallers&) = delete;

  void start();
  /// No new requests begin: the process is gone.
  void stop() { stopped_ = true; }
  /// Records violations of LOST and REFUSED by a stop that was signalled at that time; to be called
  /// once the requests under way have ended.
  void check(base::TimePoint signalledAt) const;

 private:
  enum class End : std::uint8_t { open, answered, cut };
  /// One request.
  struct Sent {
    std::string body;
    base::TimePoint sentAt;
    End end = End::open;
    int status = 0;
  };
  class Call;

  void sendNext(std::size_t caller);
  void ended(Call& call, End end, int status);
  void checkOne(const Sent& sent, base::TimePoint signalledAt) const;

  event::Dispatcher& dispatcher_;
  const base::Endpoint gateway_;
  const std::string name_;
  base::Random random_;
  SoakAccount& account_;
  net::ClientPool pool_;
  std::vector<event::TimerPtr> timers_;       ///< By caller.
  std::vector<std::unique_ptr<Call>> calls_;  ///< By caller; null while it pauses.
  std::vector<Sent> sent_;
  bool stopped_ = false;
};

}  // namespace walnut::rehearsal
