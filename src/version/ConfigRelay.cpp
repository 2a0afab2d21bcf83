#include "version/ConfigRelay.h"

#include "process/Rendezvous.h"

#include <algorithm>

namespace galenaroute {

namespace {

class RelayStep {
public:
  RelayStep(ConfigRelay &State, TimePoint Now) : State(State), Now(Now) {}

  void operator()(const PeerUp &Event) {
    this->offer(Event.Id, this->State.Starting);
  }

  void operator()(const OfferReceived &Event) {
    this->State.LastMessageAt = this->Now;
    if (this->State.Starting) {
      this->State.StartupPeers.insert(Event.From);
      if (!this->State.StartupDeadline)
        this->State.StartupDeadline =
            this->Now + this->State.Settings.StartupTimeout;
    }
    if (Event.Offer.Epoch > this->State.Epoch)
      this->storeOffer(Event);
    else if (Event.Offer.WantsReply || Event.Offer.Epoch < this->State.Epoch)
      this->offer(Event.From, false);
  }

  void operator()(const FetchProgressed &) {
    this->State.LastMessageAt = this->Now;
    if (this->State.Fetch)
      this->State.Fetch->Deadline =
          this->Now + this->State.Settings.FetchTimeout;
  }

  void operator()(const FetchFailed &) { this->abandonFetch(); }

  void operator()(const InForce &Event) {
    if (Event.Epoch <= this->State.Epoch)
      return;
    this->State.Epoch = Event.Epoch;
    this->State.Hash = Event.Hash;
    std::erase_if(this->State.Offers, [&](const auto &Each) {
      return Each.second.Epoch <= Event.Epoch;
    });
    if (this->State.Fetch && this->State.Fetch->Offer.Epoch <= Event.Epoch)
      this->State.Fetch.reset();
    this->offer("", false);
  }

  void operator()(const PlatformAnswered &) { this->State.Starting = false; }

  void operator()(const ZoneChanged &Event) {
    this->State.ZoneMembers = Event.Members;
  }

  void operator()(const RelayTick &) {
    if (this->State.Fetch && this->State.Fetch->Deadline <= this->Now)
      this->abandonFetch();
    if (this->State.NextOffer <= this->Now)
      this->offer("", this->State.Starting);
  }

  std::vector<RelayAction> finish() {
    this->completeStartup();
    this->fetchNewest();
    this->updateWatching();
    return std::move(this->Actions);
  }

private:
  void offer(const std::string &To, bool WantsReply) {
    this->Actions.emplace_back(
        SendOffer{To, {this->State.Epoch, this->State.Hash, WantsReply, 0}});
    if (!To.empty())
      return;
    // Jitter desynchronizes daemons that started together.
    const Duration Period = this->State.Settings.OfferPeriod;
    std::uniform_int_distribution<Duration::rep> Jitter(0, Period.count() / 4);
    this->State.NextOffer =
        this->Now + Period - Duration(Jitter(this->State.Random));
  }

  void storeOffer(const OfferReceived &Event) {
    auto &Offers = this->State.Offers;
    Offers[Event.From] = Event.Offer;
    if (Offers.size() <= MaxStoredOffers)
      return;
    Offers.erase(std::min_element(Offers.begin(), Offers.end(),
                                  [](const auto &A, const auto &B) {
                                    return A.second.Epoch < B.second.Epoch;
                                  }));
  }

  /// Abandons the open fetch; the peer may offer again.
  void abandonFetch() {
    if (!this->State.Fetch)
      return;
    this->State.Offers.erase(this->State.Fetch->From);
    this->State.Fetch.reset();
  }

  void completeStartup() {
    ConfigRelay &State = this->State;
    if (State.Starting && State.StartupDeadline &&
        (State.StartupPeers.size() >= State.Settings.MinStartupOffers ||
         *State.StartupDeadline <= this->Now))
      State.Starting = false;
  }

  void fetchNewest() {
    ConfigRelay &State = this->State;
    if (State.Starting || State.Fetch || State.Offers.empty())
      return;
    const auto Best = std::max_element(State.Offers.begin(), State.Offers.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.Epoch < B.second.Epoch;
                                       });
    State.Fetch = ConfigRelay::OpenFetch{
        Best->first, Best->second, this->Now + State.Settings.FetchTimeout};
    this->Actions.emplace_back(StartFetch{Best->first, Best->second});
  }

  void updateWatching() {
    ConfigRelay &State = this->State;
    const bool Watch =
        State.Starting || State.Epoch == 0 ||
        isWatcher(State.ZoneMembers, State.SelfId,
                  State.Settings.WatchersPerZone) ||
        State.LastMessageAt + State.Settings.IsolationTimeout <= this->Now;
    if (Watch == State.Watching)
      return;
    State.Watching = Watch;
    this->Actions.emplace_back(SetWatching{Watch});
  }

  ConfigRelay &State;
  TimePoint Now;
  std::vector<RelayAction> Actions;
};

} // namespace

bool isWatcher(const std::set<std::string> &Members, const std::string &SelfId,
               std::size_t Count) {
  return isAmongFirst(
      "config-watch", SelfId, Count, Members,
      [](const std::string &Each) -> std::string_view { return Each; });
}

std::vector<RelayAction> apply(ConfigRelay &State, const RelayEvent &Event,
                               TimePoint Now) {
  RelayStep Step(State, Now);
  std::visit(Step, Event);
  return Step.finish();
}

} // namespace galenaroute
