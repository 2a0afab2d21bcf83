#include "Emulator.h"

#include "process/ErrorKind.h"

#include <charconv>

namespace galenaroute::emulator {

EmulatorServer::EmulatorServer(EventLoop &Loop, Emulator &System,
                               const SocketAddress &Listen,
                               std::size_t MaxBodyBytes)
    : Loop(Loop), System(System), Server(Loop, {.MaxBodyBytes = MaxBodyBytes}),
      Address(Listen) {
  this->Server.handle(
      [this](const HttpRequest &Request, const ReplyPtr &Reply) {
        this->answer(Request, Reply);
      });
  this->Address.Port = this->Server.listen(Listen);
  this->CrashSubscription = System.Crashed.connect(
      [this](Duration RestartAfter) { this->goDown(RestartAfter); });
}

EmulatorServer::~EmulatorServer() {
  this->CrashSubscription.disconnect();
  this->RestartTimer.disconnect();
}

void EmulatorServer::answer(const HttpRequest &Request, const ReplyPtr &Reply) {
  // Idle connections that were open before the crash still deliver requests.
  if (this->IsDown) {
    Reply->abort();
    return;
  }
  try {
    this->System.answer(Request, Reply);
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(ErrorKind::BadRequest, Failure.what());
  }
}

void EmulatorServer::goDown(Duration RestartAfter) {
  if (this->IsDown)
    return;
  this->IsDown = true;
  this->Server.stopListening();
  this->RestartTimer = this->Loop.timers().after(RestartAfter, [this] {
    this->IsDown = false;
    this->Server.listen(this->Address);
  });
}

void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
              HttpHeaders Headers) {
  Headers.add("Content-Type", "application/json");
  // Bytes that are not UTF-8 come from callers and must not end the process.
  Reply.send(
      Status, Headers,
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

nlohmann::json parseObject(std::string_view Body) {
  nlohmann::json Result =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Result.is_object())
    throw Error(ErrorKind::BadRequest, "the body is not a JSON object");
  return Result;
}

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Result;
  while (!Path.empty()) {
    const std::size_t Slash = Path.find('/');
    if (Slash != 0)
      Result.push_back(percentDecode(Path.substr(0, Slash)));
    if (Slash == std::string_view::npos)
      break;
    Path.remove_prefix(Slash + 1);
  }
  return Result;
}

std::uint64_t queryNumber(std::string_view Query, std::string_view Key,
                          std::uint64_t Default) {
  const std::optional<std::string> Text = queryValue(Query, Key);
  if (!Text || Text->empty())
    return Default;
  std::uint64_t Result = 0;
  const char *End = Text->data() + Text->size();
  const auto [Last, Failure] = std::from_chars(Text->data(), End, Result);
  if (Failure != std::errc() || Last != End)
    throw Error(ErrorKind::BadRequest,
                "not a number: " + std::string(Key) + "=" + *Text);
  return Result;
}

} // namespace galenaroute::emulator
