#pragma once
/// @file
/// The stand-in caller: one request to a router, over HTTP.

#include <cstdint>
#include <optional>
#include <string>

#include "rehearsal/answer_check.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

/// One request as its caller means it.
struct CallIntent {
  std::string target;
  std::string prompt;
  std::uint32_t maxTokens = 32;
  bool stream = true;
  bool batch = false;  ///< Class of the request; false: interactive.
  base::Duration deadline = std::chrono::seconds(30);
  std::string idempotencyKey;  ///< Empty: may be repeated.
  base::TimePoint issuedAt;    ///< Sent with an idempotency key.
};

struct CallResult {
  Transcript transcript;
  bool cold = false;             ///< As the router says.
  base::Duration firstToken{0};  ///< From the issue; 0: none came.
  base::Duration total{0};
};

/// Makes the call; returns once it has ended in any way.
CallResult makeCall(const base::Endpoint& router, const CallIntent& intent);

}  // namespace walnut::rehearsal
