// The entry point of a daemon that is built as a shared library; see
// LaunchMain.cpp.

#ifndef GALENAROUTE_PROCESS_DAEMONENTRY_H
#define GALENAROUTE_PROCESS_DAEMONENTRY_H

/// Runs the daemon with the arguments of main() and returns its exit code. The
/// control signals must be blocked (see ProcessSignals.h).
extern "C" __attribute__((visibility("default"))) int runDaemon(int Argc,
                                                                char **Argv);

#endif // GALENAROUTE_PROCESS_DAEMONENTRY_H
