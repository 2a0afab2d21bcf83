#include "cli/Cli.h"

#include <iostream>

int main(int Argc, char **Argv) {
  try {
    galenaroute::EventLoop Loop;
    return galenaroute::runCli({Argv + 1, Argv + Argc}, Loop, std::cout,
                               std::cerr);
  } catch (const std::exception &Failure) {
    std::cerr << "galenaroute: " << Failure.what() << "\n";
    return galenaroute::ExitInternal;
  }
}
