// A TCP proxy between two peers whose connections a test can stall: they stay
// open but carry no more bytes, as after a firewall has lost their state.

#ifndef GALENAROUTE_TESTS_STALLABLEPROXY_H
#define GALENAROUTE_TESTS_STALLABLEPROXY_H

#include "connection/HttpTypes.h"
#include "process/EventLoop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>

namespace galenaroute::testing_support {

class StallableProxy {
public:
  explicit StallableProxy(EventLoop &Loop) : Loop(Loop) {
    sockaddr_in Any = numeric({"127.0.0.1", 0});
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) { static_cast<StallableProxy *>(Self)->accept(Socket); },
        this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr *>(&Any),
        sizeof(Any));
    if (!this->Listener)
      throw std::runtime_error("cannot listen on the loopback interface");
    socklen_t Size = sizeof(Any);
    getsockname(evconnlistener_get_fd(this->Listener),
                reinterpret_cast<sockaddr *>(&Any), &Size);
    this->Address = {"127.0.0.1", ntohs(Any.sin_port)};
  }

  ~StallableProxy() {
    this->cut();
    evconnlistener_free(this->Listener);
  }
  StallableProxy(const StallableProxy &) = delete;
  StallableProxy &operator=(const StallableProxy &) = delete;

  /// Stalls the connections that are open now; later ones work.
  void stall() {
    for (const auto &Each : this->Pairs) {
      bufferevent_disable(Each->Near, EV_READ | EV_WRITE);
      bufferevent_disable(Each->Far, EV_READ | EV_WRITE);
    }
  }

  /// While true, new connections are accepted but carry no bytes either.
  void setSilent(bool Enabled) {
    this->IsSilent = Enabled;
    if (Enabled)
      this->stall();
  }

  /// Closes all connections.
  void cut() {
    for (const auto &Each : this->Pairs) {
      bufferevent_free(Each->Near);
      bufferevent_free(Each->Far);
    }
    this->Pairs.clear();
  }

  std::size_t accepted() const { return this->Pairs.size(); }

  SocketAddress Address;
  SocketAddress Target;

private:
  struct Pair {
    bufferevent *Near;
    bufferevent *Far;
  };

  static sockaddr_in numeric(const SocketAddress &From) {
    sockaddr_in Result{};
    Result.sin_family = AF_INET;
    Result.sin_port = htons(From.Port);
    inet_pton(AF_INET, From.Host.c_str(), &Result.sin_addr);
    return Result;
  }

  void accept(int Socket) {
    auto Added = std::make_unique<Pair>();
    Added->Near = bufferevent_socket_new(this->Loop.base(), Socket,
                                         BEV_OPT_CLOSE_ON_FREE);
    Added->Far =
        bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in To = numeric(this->Target);
    bufferevent_socket_connect(Added->Far, reinterpret_cast<sockaddr *>(&To),
                               sizeof(To));
    connectPair(Added->Near, Added->Far);
    connectPair(Added->Far, Added->Near);
    if (this->IsSilent) {
      bufferevent_disable(Added->Near, EV_READ | EV_WRITE);
      bufferevent_disable(Added->Far, EV_READ | EV_WRITE);
    }
    this->Pairs.push_back(std::move(Added));
  }

  static void connectPair(bufferevent *From, bufferevent *To) {
    bufferevent_setcb(
        From,
        [](bufferevent *Source, void *Other) {
          evbuffer_add_buffer(
              bufferevent_get_output(static_cast<bufferevent *>(Other)),
              bufferevent_get_input(Source));
        },
        nullptr, nullptr, To);
    bufferevent_enable(From, EV_READ | EV_WRITE);
  }

  EventLoop &Loop;
  evconnlistener *Listener;
  bool IsSilent = false;
  std::vector<std::unique_ptr<Pair>> Pairs;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_STALLABLEPROXY_H
