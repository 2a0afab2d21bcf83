#include "connection/HttpServer.h"

#include <CLI/CLI.hpp>
#include <csignal>

int main(int Argc, char **Argv) {
  CLI::App App("galenarouted: the galenaroute daemon");
  std::string Listen = "127.0.0.1:8080";
  App.add_option("--listen", Listen, "IP:PORT for callers")
      ->envname("GALENAROUTE_LISTEN");
  CLI11_PARSE(App, Argc, Argv);
  using namespace galenaroute;
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Server.handle(
      [](const HttpRequest &, const std::shared_ptr<HttpReply> &Reply) {
        Reply->send(200, {}, "{}");
      });
  Server.listen(SocketAddress::parse(Listen));
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  Loop.run();
  return 0;
}
