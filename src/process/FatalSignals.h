// Reports a fault that ends the process.
//
//   int main() {
//     reportFatalSignals("galenarouted");
//
// Guarantees: a fatal signal, also that of an uncaught exception, leaves one
// line and a raw backtrace on standard error, and then ends the process as it
// would have without a handler. The offsets of the backtrace can be resolved
// with addr2line and the binary.

#ifndef GALENAROUTE_PROCESS_FATALSIGNALS_H
#define GALENAROUTE_PROCESS_FATALSIGNALS_H

namespace galenaroute {

/// Installs handlers for the signals that a fault of the program raises. \p
/// Program must be a string literal; it names the process in the line.
void reportFatalSignals(const char *Program);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_FATALSIGNALS_H
