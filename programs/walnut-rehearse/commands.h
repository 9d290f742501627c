#pragma once
/// @file
/// Subcommands of walnut-rehearse, the rehearsal kit. Each parses its own flags: `argv[0]` is the
/// subcommand's name. Each returns the exit code of the process (runtime::ExitCode).

namespace walnut::rehearsal {

/// Seeded runs of the whole system under virtual time (simulate.cpp).
int runSimulate(int argc, char** argv);
/// Seeded runs of registry servers and gateways under virtual time (fleet.cpp).
int runFleet(int argc, char** argv);
/// Seeded runs of gateways and workers that fail, under virtual time (serving.cpp).
int runServing(int argc, char** argv);
/// Seeded runs of registry servers and gateways as real processes (soak.cpp).
int runSoakCommand(int argc, char** argv);
/// Hollow routers and engines over loopback beside real processes (scale.cpp).
int runScale(int argc, char** argv);
/// Prints ports that were free when asked for (free_ports.cpp).
int runFreePorts(int argc, char** argv);
/// The stand-ins behind HTTP (engine.cpp, store.cpp, platform.cpp). They serve until SIGTERM.
int runEngine(int argc, char** argv);
int runStore(int argc, char** argv);
int runPlatform(int argc, char** argv);
/// Makes one call or a load run, and checks every answer (call.cpp).
int runCall(int argc, char** argv);
/// Writes what a preset declares and starts, for scripts (preset.cpp).
int runPreset(int argc, char** argv);
/// Compares policies over simulated days (experiment.cpp).
int runExperiment(int argc, char** argv);
/// Compares calls of an engine with calls through a router, in pairs (bench.cpp).
int runBench(int argc, char** argv);

}  // namespace walnut::rehearsal
