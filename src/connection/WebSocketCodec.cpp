#include "connection/WebSocketCodec.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace galenaroute {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

/// Endpoints only create connections; all of a process share one per role.
template <typename Endpoint> Endpoint &sharedEndpoint() {
  static Endpoint *Shared = [] {
    auto *Created = new Endpoint();
    Created->clear_access_channels(websocketpp::log::alevel::all);
    Created->clear_error_channels(websocketpp::log::elevel::all);
    return Created;
  }();
  return *Shared;
}

} // namespace

struct WebSocketCodec::Connection {
  virtual ~Connection() = default;
  virtual void start() = 0;
  virtual bool feed(const char *Bytes, std::size_t Count) = 0;
  virtual bool send(const std::string &Payload) = 0;
};

namespace {

template <typename Endpoint, typename Base>
class BasicConnection : public Base {
public:
  BasicConnection(typename Endpoint::connection_ptr Link,
                  std::size_t MaxMessageBytes,
                  WebSocketCodec::Callbacks Handlers)
      : Link(std::move(Link)), Handlers(std::move(Handlers)) {
    this->Link->set_max_message_size(MaxMessageBytes);
    this->Link->set_open_handler([this](const websocketpp::connection_hdl &) {
      this->Handlers.OnOpen();
    });
    this->Link->set_message_handler(
        [this](const websocketpp::connection_hdl &,
               const typename Endpoint::message_ptr &Message) {
          if (Message->get_opcode() != websocketpp::frame::opcode::binary) {
            this->Failed = true;
            return;
          }
          if (!this->Failed)
            this->Handlers.OnMessage(Message->get_payload());
        });
    this->Link->set_fail_handler(
        [this](const websocketpp::connection_hdl &) { this->Failed = true; });
    this->Link->set_close_handler(
        [this](const websocketpp::connection_hdl &) { this->Failed = true; });
    this->Link->set_write_handler([this](const websocketpp::connection_hdl &,
                                         const char *Bytes, std::size_t Count) {
      this->Handlers.OnOutput(Bytes, Count);
      return websocketpp::lib::error_code();
    });
  }

  ~BasicConnection() override {
    // The pending read holds the connection; ending it breaks the cycle.
    this->Handlers.OnOutput = [](const char *, std::size_t) {};
    this->Link->eof();
  }

  void start() override { startLink(this->Link); }

  bool feed(const char *Bytes, std::size_t Count) override {
    // A short count means that the connection reads no more.
    if (this->Failed || this->Link->read_all(Bytes, Count) != Count)
      this->Failed = true;
    return !this->Failed &&
           this->Link->get_state() != websocketpp::session::state::closing &&
           this->Link->get_state() != websocketpp::session::state::closed;
  }

  bool send(const std::string &Payload) override {
    return !this->Failed &&
           !this->Link->send(Payload, websocketpp::frame::opcode::binary);
  }

private:
  static void startLink(const ServerEndpoint::connection_ptr &Link) {
    Link->start();
  }
  static void startLink(const ClientEndpoint::connection_ptr &Link) {
    sharedEndpoint<ClientEndpoint>().connect(Link);
  }

  typename Endpoint::connection_ptr Link;
  WebSocketCodec::Callbacks Handlers;
  bool Failed = false;
};

} // namespace

WebSocketCodec::WebSocketCodec(Role Side, const std::string &Host,
                               std::size_t MaxMessageBytes,
                               Callbacks Handlers) {
  if (Side == Role::Server) {
    this->Impl = std::make_unique<BasicConnection<ServerEndpoint, Connection>>(
        sharedEndpoint<ServerEndpoint>().get_connection(), MaxMessageBytes,
        std::move(Handlers));
    return;
  }
  websocketpp::lib::error_code Failure;
  ClientEndpoint::connection_ptr Link =
      sharedEndpoint<ClientEndpoint>().get_connection("ws://" + Host + "/peer",
                                                      Failure);
  if (Failure)
    throw std::invalid_argument("not a WebSocket host: '" + Host + "'");
  this->Impl = std::make_unique<BasicConnection<ClientEndpoint, Connection>>(
      Link, MaxMessageBytes, std::move(Handlers));
}

WebSocketCodec::~WebSocketCodec() = default;

void WebSocketCodec::start() { this->Impl->start(); }

bool WebSocketCodec::feed(const char *Bytes, std::size_t Count) {
  return this->Impl->feed(Bytes, Count);
}

bool WebSocketCodec::send(const std::string &Payload) {
  return this->Impl->send(Payload);
}

} // namespace galenaroute
