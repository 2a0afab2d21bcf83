#include "process/PeerNetwork.h"

#include "process/ErrorKind.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <event2/util.h>

namespace galenaroute {

using nlohmann::json;

/// VMs in one `drain` message. At 100 bytes each the message stays below the
/// limit of a link.
static constexpr std::size_t MaxLeaving = 1000;

static constexpr std::int64_t MaxClockAheadMicros = 60'000'000;

/// Returns whether messages of this type maintain a link without counting as
/// use of it.
static bool isControlMessage(const std::string &Type) {
  return Type == "ping" || Type == "pong" || Type == "gossip" ||
         Type == "hello" || Type == "bye" || Type == "drain";
}

PeerNetwork::PeerNetwork(EventLoop &Loop, Timeline &Events, Platform &Api,
                         PeerSettings Settings)
    : Loop(Loop), Events(Events), Api(Api), Settings(std::move(Settings)) {
  this->State.Settings = this->Settings.Membership;
  this->State.Self = this->Settings.Self;
  this->handle("gossip", [this](const std::string &, const json &Body) {
    GossipReceived Event;
    const json &Records = Body.at("members");
    if (!Records.is_array() ||
        Records.size() > this->Settings.Membership.MaxGossipItems * 2)
      throw Error(ErrorKind::BadRequest, "malformed gossip message");
    for (const json &Each : Records)
      Event.Records.push_back(memberInfoFromJson(Each));
    this->applyEvent(Event);
  });
  this->handle("drain", [this](const std::string &, const json &Body) {
    this->onDrain(Body);
  });
  const auto OnLoad = [this](const std::string &From, const json &Body) {
    const json &Load = Body.at("load");
    if (!Load.is_number_unsigned())
      throw Error(ErrorKind::BadRequest, "malformed load");
    this->applyEvent(LoadReported{From, Load.get<std::uint32_t>()});
  };
  this->handle("ping", OnLoad);
  this->handle("pong", OnLoad);
}

PeerNetwork::~PeerNetwork() {
  *this->Alive = false;
  this->TickTimer.disconnect();
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

int PeerNetwork::tryListen() {
  errno = 0;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(this->Settings.Listen.Port);
  if (inet_pton(AF_INET, this->Settings.Listen.Host.c_str(),
                &Address.sin_addr) == 1)
    this->Listener = evconnlistener_new_bind(
        this->Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) { static_cast<PeerNetwork *>(Self)->accept(Socket); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_DISABLED,
        /*backlog=*/128, reinterpret_cast<sockaddr *>(&Address),
        sizeof(Address));
  if (!this->Listener)
    return errno != 0 ? errno : EINVAL; // The host is no IPv4 address.
  return 0;
}

void PeerNetwork::start() {
  const int Failure = this->Listener ? 0 : this->tryListen();
  if (Failure != 0)
    throw Error(ErrorKind::Internal, "cannot listen for peers at " +
                                         this->Settings.Listen.toString() +
                                         ": " + std::strerror(Failure));
  evconnlistener_enable(this->Listener);
  MemberInfo &Self = this->State.Self;
  if (Self.PeerAddress.Port == 0) {
    sockaddr_in Address{};
    socklen_t Size = sizeof(Address);
    getsockname(evconnlistener_get_fd(this->Listener),
                reinterpret_cast<sockaddr *>(&Address), &Size);
    Self.PeerAddress.Port = ntohs(Address.sin_port);
  }
  if (Self.Id.empty())
    Self.Id = Self.PeerAddress.toString();
  if (Self.Incarnation == 0)
    Self.Incarnation = static_cast<std::uint64_t>(this->Events.stamp().Micros);
  this->applyEvent(SeedsKnown{this->Settings.Seeds});
  this->TickTimer = this->Loop.timers().every(this->Settings.TickPeriod,
                                              [this] { this->tick(); });
  this->tick();
}

void PeerNetwork::handle(const std::string &Type, Handler Handle) {
  this->Handlers[Type] = std::move(Handle);
}

bool PeerNetwork::isVmReader() const {
  const MemberInfo &Self = this->State.Self;
  auto OfZone = liveMembers(this->State);
  std::erase_if(OfZone,
                [&](const MemberInfo &Each) { return Each.Zone != Self.Zone; });
  return isAmongFirst(
      "vms", Self.Id, this->Settings.VmReadersPerZone, OfZone,
      [](const MemberInfo &Each) -> std::string_view { return Each.Id; });
}

void PeerNetwork::readVms() {
  this->Api.listVms([this, Alive = this->Alive](const VmList &Result) {
    if (*Alive && Result.Status == PlatformStatus::Ok)
      this->onVms(Result.Vms);
  });
}

void PeerNetwork::onVms(const std::vector<VmRecord> &Vms) {
  std::vector<VmRecord> Leaving;
  for (const VmRecord &Each : Vms)
    if (Each.Leaving && Leaving.size() < MaxLeaving)
      Leaving.push_back(Each);
  const auto IsSame = [](const VmRecord &A, const VmRecord &B) {
    return A.Address == B.Address && A.Role == B.Role;
  };
  const bool IsNew =
      !std::equal(Leaving.begin(), Leaving.end(), this->LeavingVms.begin(),
                  this->LeavingVms.end(), IsSame);
  this->applyEvent(VmsListed{Vms});
  this->VmsRead.emit(Vms);
  if (!IsNew)
    return;
  this->LeavingVms = std::move(Leaving);
  this->LeavingTime = this->Events.stamp();
  this->sendLeaving();
}

void PeerNetwork::sendLeaving() {
  PeerMessage Message{"drain",
                      {{"micros", this->LeavingTime.Micros},
                       {"counter", this->LeavingTime.Counter},
                       {"vms", json::array()}}};
  for (const VmRecord &Each : this->LeavingVms)
    Message.Body["vms"].push_back({{"address", Each.Address.toString()},
                                   {"zone", Each.Zone},
                                   {"role", Each.Role}});
  // Over all links, since a daemon may be nobody's neighbour.
  for (auto &[Id, Each] : this->Links)
    if (!Each.PeerId.empty() && !Each.Released && Each.Connection->isOpen())
      Each.Connection->send(Message);
}

void PeerNetwork::onDrain(const json &Body) {
  const HybridTime Time{Body.at("micros").get<std::int64_t>(),
                        Body.at("counter").get<std::uint32_t>()};
  // A time from a wrong clock would hide all later reads.
  if (Time.Micros > this->Events.stamp().Micros + MaxClockAheadMicros)
    throw Error(ErrorKind::BadRequest,
                "the timestamp is too far in the future");
  std::vector<VmRecord> Vms;
  std::set<SocketAddress> Entries;
  for (const json &Each : Body.at("vms")) {
    if (Vms.size() >= MaxLeaving)
      throw Error(ErrorKind::BadRequest, "too many leaving VMs");
    Vms.push_back({SocketAddress::parse(Each.at("address").get<std::string>()),
                   Each.at("zone").get<std::string>(),
                   Each.at("role").get<std::string>(),
                   /*Leaving=*/true});
    if (Vms.back().Role == "entry")
      Entries.insert(Vms.back().Address);
  }
  if (!(this->LeavingTime < Time))
    return;
  this->LeavingTime = Time;
  this->LeavingVms = std::move(Vms);
  this->applyEvent(LeavingListed{std::move(Entries)});
  this->VmsRead.emit(this->LeavingVms);
  this->sendLeaving();
}

void PeerNetwork::accept(int Socket) {
  if (this->Links.size() >= this->Settings.MaxLinks) {
    evutil_closesocket(Socket);
    return;
  }
  this->add(
      PeerLink::accept(this->Loop, this->Events, Socket, this->Settings.Link));
}

PeerNetwork::Link &PeerNetwork::add(std::unique_ptr<PeerLink> Connection) {
  const LinkId Id = this->NextLink++;
  Link &Added = this->Links[Id];
  Added.Connection = std::move(Connection);
  Added.LastUse = EventLoop::now();
  PeerLink &Peer = *Added.Connection;
  Peer.PingBody = [this] { return json{{"load", this->SelfLoad}}; };
  Peer.Opened.connect([this, &Peer] {
    PeerMessage Hello{"hello", toJson(this->State.Self)};
    Hello.Body["deployment"] = this->Settings.Deployment;
    Peer.send(Hello);
  });
  Peer.Received.connect(
      [this, Id](const PeerMessage &Message) { this->onMessage(Id, Message); });
  Peer.Closed.connect(
      [this, Id](const std::string &Reason) { this->onClosed(Id, Reason); });
  return Added;
}

PeerNetwork::Link *PeerNetwork::connect(const std::string &ExpectedId,
                                        const SocketAddress &To) {
  for (auto &[Id, Each] : this->Links)
    if (Each.Outbound && Each.To == To && !Each.Released &&
        !Each.Connection->isClosed()) {
      if (Each.ExpectedId.empty())
        Each.ExpectedId = ExpectedId;
      return &Each;
    }
  if (this->Links.size() >= this->Settings.MaxLinks)
    return nullptr;
  Link &Added = this->add(
      PeerLink::connect(this->Loop, this->Events, To, this->Settings.Link));
  Added.Outbound = true;
  Added.ExpectedId = ExpectedId;
  Added.To = To;
  return &Added;
}

PeerNetwork::Link *PeerNetwork::openLinkTo(const std::string &Id) {
  Link *Found = nullptr;
  for (auto &[Key, Each] : this->Links)
    if (Each.PeerId == Id && !Each.Released && Each.Connection->isOpen())
      Found = &Each; // The last one is the newest.
  return Found;
}

bool PeerNetwork::send(const std::string &To, const PeerMessage &Message) {
  if (Link *Over = this->openLinkTo(To)) {
    if (!isControlMessage(Message.Type))
      Over->LastUse = EventLoop::now();
    return Over->Connection->send(Message);
  }
  const auto It = this->State.Members.find(To);
  if (It == this->State.Members.end() ||
      It->second.Info.State == MemberState::Dead)
    return false;
  Link *Over = this->connect(To, It->second.Info.PeerAddress);
  if (!Over || Over->Queue.size() >= this->Settings.MaxWaiting)
    return false;
  Over->Queue.push_back(Message);
  return true;
}

void PeerNetwork::sendToNeighbours(const PeerMessage &Message) {
  for (const std::string &Id : neighbours(this->State))
    if (Link *Over = this->openLinkTo(Id))
      Over->Connection->send(Message);
}

void PeerNetwork::leave() { this->applyEvent(SelfLeaving{}); }

std::size_t PeerNetwork::openLinks() const {
  return static_cast<std::size_t>(std::count_if(
      this->Links.begin(), this->Links.end(),
      [](const auto &Each) { return Each.second.Connection->isOpen(); }));
}

void PeerNetwork::onMessage(LinkId Id, const PeerMessage &Message) {
  const auto It = this->Links.find(Id);
  if (It == this->Links.end())
    return;
  Link &Over = It->second;
  try {
    if (Over.PeerId.empty()) {
      if (Message.Type != "hello")
        throw Error(ErrorKind::BadRequest, "the first message is not hello");
      this->onHello(Over, Message.Body);
      return;
    }
    if (Message.Type == "bye") {
      Over.Released = true;
      Over.Connection->close("idle");
      return;
    }
    if (!isControlMessage(Message.Type))
      Over.LastUse = EventLoop::now();
    const auto Handle = this->Handlers.find(Message.Type);
    if (Handle != this->Handlers.end())
      Handle->second(Over.PeerId, Message.Body);
  } catch (const std::exception &Failure) {
    Over.Connection->close("message '" + Message.Type.substr(0, 32) +
                           "' refused: " + Failure.what());
  }
}

void PeerNetwork::onHello(Link &Over, const json &Body) {
  MemberInfo From = memberInfoFromJson(Body);
  if (Body.at("deployment") != this->Settings.Deployment)
    throw Error(ErrorKind::BadRequest,
                "the peer belongs to another deployment");
  if (From.Id == this->State.Self.Id)
    throw Error(ErrorKind::BadRequest, "the peer has this daemon's own id");
  // A process that sends messages is alive, whatever its record says.
  From.State = MemberState::Alive;
  // The peer has replaced its connection; the old one is dead.
  for (auto &[Id, Each] : this->Links)
    if (&Each != &Over && Each.PeerId == From.Id && !Each.Outbound &&
        !Over.Outbound) {
      Each.Released = true;
      Each.Connection->close("replaced by the peer");
    }
  Over.PeerId = From.Id;
  this->Events.record("peer.link_up", "", From.Id);
  const std::string ExpectedId = Over.ExpectedId;
  std::deque<PeerMessage> Queue = std::move(Over.Queue);
  this->applyEvent(LinkOpened{From});
  if (ExpectedId.empty() || ExpectedId == From.Id) {
    for (const PeerMessage &Each : Queue)
      Over.Connection->send(Each);
  } else {
    // The address belongs to another process now.
    this->applyEvent(ConnectFailed{ExpectedId});
  }
  if (this->LeavingTime.Micros > 0)
    this->sendLeaving();
  this->LinkUp.emit(From.Id);
}

void PeerNetwork::onClosed(LinkId Id, const std::string &Reason) {
  const auto It = this->Links.find(Id);
  if (It == this->Links.end())
    return;
  Link Gone = std::move(It->second);
  this->Links.erase(It);
  // The link is still emitting its signal, so it is destroyed later.
  this->Finished.push_back(std::move(Gone.Connection));
  this->Loop.timers().after(Duration::zero(), [this, Alive = this->Alive] {
    if (*Alive)
      this->Finished.clear();
  });
  const std::string &Peer = Gone.PeerId.empty() ? Gone.ExpectedId : Gone.PeerId;
  if (!Peer.empty())
    this->Events.record("peer.link_down", "", Peer + ": " + Reason);
  if (Peer.empty() || this->openLinkTo(Peer))
    return;
  if (Gone.PeerId.empty())
    this->applyEvent(ConnectFailed{Peer});
  else if (Gone.Released)
    this->applyEvent(LinkReleased{Peer});
  else
    this->applyEvent(LinkLost{Peer});
}

void PeerNetwork::applyEvent(const MembershipEvent &Event) {
  const MembershipActions Actions = apply(this->State, Event, EventLoop::now());
  for (const auto &Each : Actions.Connects)
    this->connect(Each.Id, Each.To);
  for (const auto &Each : Actions.Gossips) {
    json Records = json::array();
    for (const MemberInfo &Record : Each.Records)
      Records.push_back(toJson(Record));
    if (Link *Over = this->openLinkTo(Each.To))
      Over->Connection->send({"gossip", {{"members", std::move(Records)}}});
  }
  if (Actions.MembersChanged)
    this->MembersChanged.emit();
}

void PeerNetwork::tick() {
  this->applyEvent(MembershipTick{});
  const std::vector<std::string> Kept = neighbours(this->State);
  const TimePoint Now = EventLoop::now();
  const bool IsReader = this->isVmReader();
  if (IsReader)
    this->NextVmRead =
        std::min(this->NextVmRead, Now + this->Settings.VmReaderPeriod);
  if (Now >= this->NextVmRead) {
    this->NextVmRead = Now + (IsReader ? this->Settings.VmReaderPeriod
                                       : this->Settings.VmFallbackPeriod);
    this->readVms();
  }
  for (auto &[Id, Each] : this->Links) {
    if (!Each.Outbound || Each.PeerId.empty() || Each.Released ||
        Now - Each.LastUse < this->Settings.IdleLimit ||
        std::binary_search(Kept.begin(), Kept.end(), Each.PeerId))
      continue;
    // The peer closes the connection when it receives this.
    Each.Connection->send({"bye"});
    Each.Released = true;
  }
}

} // namespace galenaroute
