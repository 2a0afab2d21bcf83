// Registry entries of other writers beside those of the soak's own upstreams:
// unreadable addresses, ids that are not ASCII, addresses that cannot be
// connected to, and odd values.
//
//   SoakForeignEntries Foreign(Loop, Store, Seed);
//   Foreign.playFor(20s);
//
// An entry that can be read names an upstream like any other, so calls may
// choose it; none of them can be sent there.

#ifndef GALENAROUTE_SOAK_SOAKFOREIGNENTRIES_H
#define GALENAROUTE_SOAK_SOAKFOREIGNENTRIES_H

#include "process/FakePlatformServer.h"

#include <random>

namespace galenaroute::soak {

class SoakForeignEntries {
public:
  SoakForeignEntries(EventLoop &Loop,
                     testing_support::FakePlatformServer &Store,
                     std::uint64_t Seed, std::string Service = "d");
  /// Some entries have \p Address, which should not answer.
  void addAddress(const std::string &Address) {
    this->Addresses.push_back(Address);
  }
  ~SoakForeignEntries() { this->Timer.disconnect(); }
  SoakForeignEntries(const SoakForeignEntries &) = delete;
  SoakForeignEntries &operator=(const SoakForeignEntries &) = delete;

  /// Changes an entry every ChangeGap for \p Length, and then removes all.
  void playFor(Duration Length);
  std::size_t changes() const { return this->Changes; }

private:
  void change();
  nlohmann::json drawEntry();
  template <typename Value>
  const Value &drawOf(const std::vector<Value> &Values) {
    return Values[this->Random() % Values.size()];
  }

  EventLoop &Loop;
  testing_support::FakePlatformServer &Store;
  std::mt19937_64 Random;
  std::string Service;
  std::vector<std::string> Addresses;
  std::set<std::string> Present; ///< Ids of the entries in the store.
  std::size_t Changes = 0;
  std::int64_t Born = 0;
  TimePoint End;
  sigc::connection Timer;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKFOREIGNENTRIES_H
