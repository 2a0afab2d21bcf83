// The stacks of the threads that libraries start.
//
//   int main() {
//     limitThreadStacks();
//     loadLibraries();

#ifndef GALENAROUTE_PROCESS_THREADSTACKS_H
#define GALENAROUTE_PROCESS_THREADSTACKS_H

namespace galenaroute {

/// Limits the address space of further stacks. The logging library starts four
/// idle threads when it is loaded; by default they take 8 MB each, a third of
/// what a small machine has. Needs only the C library.
void limitThreadStacks();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_THREADSTACKS_H
