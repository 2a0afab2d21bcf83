#include "SoakForeignEntries.h"

namespace galenaroute::soak {

using nlohmann::json;

static constexpr Duration ChangeGap = std::chrono::milliseconds(1200);

static const std::vector<std::string> Ids = {"a\xc4\x9f-yedek-1",
                                             "a\xc4\x9f-yedek-2",
                                             "\xe2\x98\x83",
                                             "id with spaces",
                                             "a/b",
                                             "\"quoted\""};
/// The first ones cannot be read; the others can, but not connected to.
static const std::vector<std::string> UnusableAddresses = {
    "10.\xef\xbf\xbd\xef\xbf\xbd.0.1:80",
    "host.example:80",
    "127.0.0.1:0",
    ":80",
    "",
    "127.0.0.1:1",        // Refused.
    "255.255.255.255:80", // The kernel refuses at once.
    "224.0.0.1:80",
    "240.0.0.1:80",
};
static const std::vector<json> Slots = {20, 0, -5, 1000000000, 1.5, "20"};
static const std::vector<json> Borns = {1, -1, 9000000000000000000, "1"};
static const std::vector<json> ColdTimes = {0, -1000, 1000000000, "1"};
static const std::vector<json> Zones = {"z0", "", "\xc4\x9f", 7};

SoakForeignEntries::SoakForeignEntries(
    EventLoop &Loop, testing_support::FakePlatformServer &Store,
    std::uint64_t Seed, std::string Service)
    : Loop(Loop), Store(Store), Random(Seed * 11 + 5),
      Service(std::move(Service)), Addresses(UnusableAddresses) {}

json SoakForeignEntries::drawEntry() {
  json Entry = {{"service", this->Service},
                {"address", this->drawOf(this->Addresses)},
                {"zone", "z0"},
                {"version", "1"},
                {"slots", 20},
                {"state", "ready"},
                {"sequence", 1},
                {"born", ++this->Born}};
  switch (this->Random() % 6) {
  case 0:
    Entry["slots"] = this->drawOf(Slots);
    break;
  case 1:
    Entry["born"] = this->drawOf(Borns);
    break;
  case 2:
    Entry["coldLeftMs"] = this->drawOf(ColdTimes);
    break;
  case 3:
    Entry["zone"] = this->drawOf(Zones);
    break;
  case 4:
    Entry.erase(this->Random() % 2 == 0 ? "address" : "service");
    break;
  default:
    break;
  }
  return Entry;
}

void SoakForeignEntries::change() {
  if (EventLoop::now() >= this->End) {
    for (const std::string &Each : this->Present)
      this->Store.put("servers", Each, {});
    this->Timer.disconnect();
    return;
  }
  ++this->Changes;
  const std::string &Id = this->drawOf(Ids);
  if (this->Present.contains(Id) && this->Random() % 3 == 0) {
    this->Store.put("servers", Id, {});
    this->Present.erase(Id);
    return;
  }
  this->Store.put("servers", Id, this->drawEntry());
  this->Present.insert(Id);
}

void SoakForeignEntries::playFor(Duration Length) {
  this->End = EventLoop::now() + Length;
  this->Timer =
      this->Loop.timers().every(ChangeGap, [this] { this->change(); });
}

} // namespace galenaroute::soak
