#pragma once
/// @file
/// `walnut-router gateway`.

namespace walnut::gateway {
class RequestDialect;
}

namespace walnut::daemon {

/// Runs until a planned stop. @return the exit code.
int runGateway(int argc, char** argv, const gateway::RequestDialect& dialect);

}  // namespace walnut::daemon
