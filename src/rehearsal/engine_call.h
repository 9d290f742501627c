#pragma once
/// @file
/// A generation asked for at a stand-in engine directly, without a router.

#include <string>

#include "rehearsal/caller.h"
#include "walnut/resource/types.h"

namespace walnut::rehearsal {

/// Calls the engine like a router does. The transcript has the engine's tokens.
/// @param requestId unique at the engine.
CallResult makeEngineCall(const base::Endpoint& engine, const resource::Servable& servable,
                          const CallIntent& intent, const std::string& requestId);

}  // namespace walnut::rehearsal
