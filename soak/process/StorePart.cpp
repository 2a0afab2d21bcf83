#include "Parts.h"

#include "process/FakePlatformServer.h"

#include <csignal>
#include <fstream>
#include <map>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

/// Entries of servers that are not renewed for this time are removed.
static constexpr Duration EntryLapse = 2100ms;
static constexpr Duration LapsePeriod = 200ms;

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

} // namespace

void runStore(const PartOptions &Options) {
  EventLoop Loop;
  testing_support::FakePlatformServer Server(Loop);
  const Lapses Removal(Loop, Server);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  std::ofstream(Options.AddressFile + ".new") << Server.address().toString();
  std::rename((Options.AddressFile + ".new").c_str(),
              Options.AddressFile.c_str());
  Loop.run();
}

} // namespace galenaroute::process_soak
