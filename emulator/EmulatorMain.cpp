#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  CLI::App App("galenaroute-emulator: emulators of the external systems");
  CLI11_PARSE(App, Argc, Argv);
  return 0;
}
