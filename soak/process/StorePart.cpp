#include "Parts.h"

#include "PollLoop.h"
#include "SoakForeignEntries.h"
#include "StoreDoors.h"
#include "process/FakePlatformServer.h"

#include <csignal>
#include <fstream>
#include <map>
#include <sys/socket.h>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

/// Entries of servers that are not renewed for this time are removed.
static constexpr Duration EntryLapse = 2100ms;
static constexpr Duration LapsePeriod = 200ms;
/// Foreign entries with an address that does not answer, beside nine others.
static constexpr int SilentShare = 4;

namespace {

/// Removes entries that are not renewed.
class Lapses {
public:
  Lapses(EventLoop &Loop, testing_support::FakePlatformServer &Server)
      : Server(Server) {
    Loop.timers().every(LapsePeriod, [this] { this->check(); });
  }

private:
  void check() {
    const TimePoint Now = EventLoop::now();
    // Entries could not be renewed while this process stood still.
    const bool StoodStill = Now - this->Last > 2 * LapsePeriod;
    this->Last = Now;
    for (const auto &[Name, Spec] : this->Server.specs("servers")) {
      if (Spec.is_null())
        continue;
      auto &[Seen, At] = this->Renewals[Name];
      if (StoodStill || Spec != Seen) {
        Seen = Spec;
        At = Now;
      } else if (Now - At > EntryLapse) {
        this->Server.put("servers", Name, {});
      }
    }
  }

  testing_support::FakePlatformServer &Server;
  std::map<std::string, std::pair<nlohmann::json, TimePoint>> Renewals;
  TimePoint Last = EventLoop::now();
};

/// Listens without ever answering: its queue is full, so that further
/// connections time out.
void listenInSilence(const std::string &Address) {
  listen(listenAt(Address), /*Backlog=*/0);
  for (int I = 0; I < 2; ++I)
    connectTo(Address);
}

} // namespace

void runStore(const PartOptions &Options) {
  EventLoop Loop;
  testing_support::FakePlatformServer Server(Loop);
  const Lapses Removal(Loop, Server);
  const Journal Log(Options.JournalPath);
  const StoreDoors Doors(Loop, Server, Log,
                         {.Count = Options.Count, .Seed = Options.Seed});
  soak::SoakForeignEntries Foreign(Loop, Server, Options.Seed, "d0");
  listenInSilence(Options.Address);
  for (int I = 0; I < SilentShare; ++I)
    Foreign.addAddress(Options.Address);
  Foreign.playFor(Milliseconds(Options.LengthMs));
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  {
    std::ofstream File(Options.AddressFile + ".new");
    File << Server.address().toString() << '\n'
         << Doors.controlAddress().toString() << '\n';
    for (std::size_t I = 0; I < Options.Count; ++I)
      File << Doors.address(I).toString() << '\n';
  }
  std::rename((Options.AddressFile + ".new").c_str(),
              Options.AddressFile.c_str());
  Loop.run();
}

} // namespace galenaroute::process_soak
