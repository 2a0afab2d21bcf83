#include "FaultyLink.h"

#include "process/ErrorKind.h"

#include <cstring>
#include <deque>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace galenaroute::soak {

/// Between looks at bytes that are limited or kept back.
static constexpr Duration LookAgain = std::chrono::milliseconds(10);
static constexpr Duration AcknowledgmentCheck = std::chrono::milliseconds(1);
/// A socket is cut with bytes unacknowledged after this time. Longer than Linux
/// delays an acknowledgment.
static constexpr Duration MaxWaitForAcknowledgment =
    std::chrono::milliseconds(250);
/// Waiting on the way of one direction; above this, reading stops.
static constexpr std::size_t MaxOnTheWay = 256 << 10;

/// The two ends of a connection that passes the link.
struct FaultyLink::Pair {
  struct Context {
    FaultyLink *Link;
    std::uint64_t Id;
    Side From;
  };
  BufferEventPtr Ends[2];            ///< By Side.
  Context Contexts[2]{};             ///< By Side.
  std::deque<std::string> Pieces[2]; ///< Read there and not passed on.
  std::size_t OnTheWay[2]{};         ///< Their bytes.
  bool IsWaiting[2]{};               ///< A timer will look again.
  bool HasEnded[2]{};                ///< No more bytes come from there.
};

static std::size_t indexOf(int Side) { return static_cast<std::size_t>(Side); }

FaultyLink::FaultyLink(EventLoop &Loop, SocketAddress Target,
                       std::uint64_t Seed, std::size_t MaxPiece)
    : Loop(Loop), Target(std::move(Target)), Random(Seed), MaxPiece(MaxPiece) {
  sockaddr_in Own = socketAddressOf(this->Address);
  this->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) { static_cast<FaultyLink *>(Self)->accept(Socket); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      -1, reinterpret_cast<const sockaddr *>(&Own), sizeof Own);
  if (!this->Listener)
    throw Error(ErrorKind::Internal,
                std::string("a link cannot listen: ") + std::strerror(errno));
  socklen_t Size = sizeof Own;
  getsockname(evconnlistener_get_fd(this->Listener),
              reinterpret_cast<sockaddr *>(&Own), &Size);
  this->Address.Port = ntohs(Own.sin_port);
}

FaultyLink::~FaultyLink() { evconnlistener_free(this->Listener); }

bool FaultyLink::isSilent(Side From) const {
  return From == Side::Caller ? this->Harm.IsSilentToTarget
                              : this->Harm.IsSilentFromTarget;
}

/// Attaches or detaches a filter that accepts nothing, so that the kernel drops
/// what arrives before it is acknowledged.
void FaultyLink::applyFilter(int Socket) const {
  sock_filter AcceptNothing{.code = BPF_RET | BPF_K, .k = 0};
  const sock_fprog Filter{.len = 1, .filter = &AcceptNothing};
  const int Unused = 0;
  if (!this->Harm.DropsArriving)
    // Fails where no filter is attached.
    setsockopt(Socket, SOL_SOCKET, SO_DETACH_FILTER, &Unused, sizeof Unused);
  else if (setsockopt(Socket, SOL_SOCKET, SO_ATTACH_FILTER, &Filter,
                      sizeof Filter) != 0)
    throw Error(ErrorKind::Internal,
                std::string("a link cannot be made silent: ") +
                    std::strerror(errno));
}

void FaultyLink::setHarm(const LinkHarm &Next) {
  const bool IsNew = this->Harm.DropsArriving != Next.DropsArriving;
  this->Harm = Next;
  if (!IsNew)
    return;
  this->applyFilter(evconnlistener_get_fd(this->Listener));
  for (const auto &[Id, Each] : this->Pairs)
    this->applyWhenAcknowledged(Id,
                                EventLoop::now() + MaxWaitForAcknowledgment);
}

/// Applies the filter to the caller's socket of \p Id, to drop what arrives
/// only once the caller has acknowledged all bytes or at \p Latest. The kernel
/// repeats bytes whose acknowledgment it dropped, and a caller that receives
/// them takes the machine for alive.
void FaultyLink::applyWhenAcknowledged(std::uint64_t Id, TimePoint Latest) {
  const auto Found = this->Pairs.find(Id);
  if (Found == this->Pairs.end())
    return;
  bufferevent *Caller =
      Found->second->Ends[indexOf(static_cast<int>(Side::Caller))].get();
  const int Socket = bufferevent_getfd(Caller);
  const bool IsAcknowledged =
      evbuffer_get_length(bufferevent_get_output(Caller)) == 0 &&
      unacknowledgedBytes(Socket) == std::size_t{0};
  if (!this->Harm.DropsArriving || IsAcknowledged ||
      EventLoop::now() >= Latest) {
    this->applyFilter(Socket);
    return;
  }
  this->Loop.timers().after(
      AcknowledgmentCheck,
      [this, Id, Latest, Here = std::weak_ptr(this->Alive)] {
        if (!Here.expired())
          this->applyWhenAcknowledged(Id, Latest);
      });
}

void FaultyLink::resetAll() {
  while (!this->Pairs.empty())
    this->close(this->Pairs.begin()->first, /*Resets=*/true);
}

void FaultyLink::accept(int Socket) {
  this->applyFilter(Socket);
  const std::uint64_t Id = ++this->LastId;
  auto Added = std::make_unique<Pair>();
  const auto Open = [&](int Fd) {
    return BufferEventPtr(bufferevent_socket_new(this->Loop.base(), Fd,
                                                 BEV_OPT_CLOSE_ON_FREE |
                                                     BEV_OPT_DEFER_CALLBACKS));
  };
  Added->Ends[0] = Open(Socket);
  Added->Ends[1] = Open(-1);
  for (const Side Each : {Side::Caller, Side::Target}) {
    const std::size_t I = indexOf(static_cast<int>(Each));
    Added->Contexts[I] = {this, Id, Each};
    bufferevent_setcb(
        Added->Ends[I].get(),
        [](bufferevent *, void *Given) {
          const auto *At = static_cast<Pair::Context *>(Given);
          At->Link->pump(At->Id, At->From);
        },
        nullptr,
        [](bufferevent *, short What, void *Given) {
          const auto *At = static_cast<Pair::Context *>(Given);
          if (What & BEV_EVENT_ERROR) {
            At->Link->close(At->Id, /*Resets=*/true);
          } else if (What & BEV_EVENT_EOF) {
            At->Link->Pairs.at(At->Id)
                ->HasEnded[indexOf(static_cast<int>(At->From))] = true;
            At->Link->pump(At->Id, At->From);
          }
        },
        &Added->Contexts[I]);
    bufferevent_setwatermark(Added->Ends[I].get(), EV_READ, 0, MaxOnTheWay);
    bufferevent_enable(Added->Ends[I].get(), EV_READ | EV_WRITE);
  }
  sockaddr_in To = socketAddressOf(this->Target);
  bufferevent *Connecting = Added->Ends[1].get();
  this->Pairs.emplace(Id, std::move(Added));
  if (bufferevent_socket_connect(Connecting, reinterpret_cast<sockaddr *>(&To),
                                 sizeof To) != 0)
    this->close(Id, /*Resets=*/true);
}

/// Takes one piece that has arrived from \p From on its way.
void FaultyLink::pump(std::uint64_t Id, Side From) {
  const auto Found = this->Pairs.find(Id);
  if (Found == this->Pairs.end())
    return;
  Pair &At = *Found->second;
  const std::size_t I = indexOf(static_cast<int>(From));
  if (At.IsWaiting[I])
    return;
  evbuffer *Input = bufferevent_get_input(At.Ends[I].get());
  Duration Pause = LookAgain;
  if (!this->isSilent(From) && At.OnTheWay[I] < MaxOnTheWay) {
    const std::size_t Length = std::min(
        evbuffer_get_length(Input), std::uniform_int_distribution<std::size_t>(
                                        1, this->MaxPiece)(this->Random));
    std::string Bytes(Length, '\0');
    evbuffer_remove(Input, Bytes.data(), Length);
    if (Length == 0 && !At.HasEnded[I])
      return;
    evbuffer *Output = bufferevent_get_output(At.Ends[1 - I].get());
    if (Length == 0 && At.OnTheWay[I] == 0 &&
        evbuffer_get_length(Output) == 0) {
      this->close(Id, /*Resets=*/false);
      return;
    }
    if (Length > 0) {
      At.OnTheWay[I] += Length;
      At.Pieces[I].push_back(std::move(Bytes));
      this->passOnAfter(this->Harm.Delay, Id, From);
    }
    if (this->Harm.BytesPerSecond > 0)
      Pause = std::chrono::milliseconds(1 + 1000 * Length /
                                                this->Harm.BytesPerSecond);
    else if (Length > 0)
      Pause = Duration::zero();
  }
  At.IsWaiting[I] = true;
  this->Loop.timers().after(
      Pause, [this, Id, From, Here = std::weak_ptr(this->Alive)] {
        if (Here.expired())
          return;
        const auto Again = this->Pairs.find(Id);
        if (Again == this->Pairs.end())
          return;
        Again->second->IsWaiting[indexOf(static_cast<int>(From))] = false;
        this->pump(Id, From);
      });
}

void FaultyLink::passOnAfter(Duration Delay, std::uint64_t Id, Side From) {
  this->Loop.timers().after(
      Delay, [this, Id, From, Here = std::weak_ptr(this->Alive)] {
        if (!Here.expired())
          this->passOn(Id, From);
      });
}

/// Passes the oldest piece on, unless the silence keeps it back: the one that
/// is due may be a later one, when the delay has become shorter.
void FaultyLink::passOn(std::uint64_t Id, Side From) {
  const auto Found = this->Pairs.find(Id);
  if (Found == this->Pairs.end())
    return;
  if (this->isSilent(From)) {
    this->passOnAfter(LookAgain, Id, From);
    return;
  }
  const std::size_t I = indexOf(static_cast<int>(From));
  Pair &At = *Found->second;
  const std::string Bytes = std::move(At.Pieces[I].front());
  At.Pieces[I].pop_front();
  At.OnTheWay[I] -= Bytes.size();
  bufferevent_write(At.Ends[1 - I].get(), Bytes.data(), Bytes.size());
}

void FaultyLink::close(std::uint64_t Id, bool Resets) {
  const auto Found = this->Pairs.find(Id);
  if (Found == this->Pairs.end())
    return;
  for (const BufferEventPtr &Each : Found->second->Ends) {
    const int Socket = bufferevent_getfd(Each.get());
    const linger Now{1, 0};
    if (Resets && Socket >= 0)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  }
  this->Pairs.erase(Found);
}

} // namespace galenaroute::soak
