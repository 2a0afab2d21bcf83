#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  CLI::App App("galenaroute: command-line tool of the galenaroute system");
  CLI11_PARSE(App, Argc, Argv);
  return 0;
}
