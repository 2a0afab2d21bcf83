// Emulates the weight store: a load of weights takes a fixed time, and longer
// when more than a number of loads run at once, since they share its
// bandwidth; calls over its rate limit get 429.
//
// Faults are set by POST /admin/fault: outage_ms (answers 503),
// load_ms, free_loads.

#ifndef GALENAROUTE_EMULATOR_WEIGHTSTOREEMULATOR_H
#define GALENAROUTE_EMULATOR_WEIGHTSTOREEMULATOR_H

#include "Emulator.h"
#include "PlatformEmulator.h"

namespace galenaroute::emulator {

struct WeightStoreSettings {
  Duration LoadTime = std::chrono::seconds(2);
  std::size_t FreeLoads = 2; ///< Loads at once that do not slow each other.
  double LoadsPerSecond = 10;
};

class WeightStoreEmulator : public Emulator {
public:
  WeightStoreEmulator(EventLoop &Loop, const WeightStoreSettings &Settings);
  ~WeightStoreEmulator() override;

  void answer(const HttpRequest &Request, const ReplyPtr &Reply) override;

private:
  struct Load {
    std::string Version;
    Duration Left;
    ReplyPtr Reply;
  };

  void advance();

  EventLoop &Loop;
  WeightStoreSettings Settings;
  RateLimit Rate;
  std::vector<Load> Loads;
  TimePoint LastAdvance;
  TimePoint OutageUntil{};
  std::map<std::string, std::uint64_t> Counts;
  sigc::connection Timer;
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_WEIGHTSTOREEMULATOR_H
