// RapidCheck generators of valid configurations.
//
//   const Configuration Config = *genConfiguration();

#ifndef GALENAROUTE_TESTS_CONFIGGENERATORS_H
#define GALENAROUTE_TESTS_CONFIGGENERATORS_H

#include "version/Configuration.h"

#include <rapidcheck.h>

namespace galenaroute::testing_support {

/// Generates configurations that a listing can declare: unique names and
/// addresses, known zones, dependencies only on services declared earlier.
inline rc::Gen<Configuration> genConfiguration() {
  return rc::gen::exec([] {
    Configuration Config;
    int Next = 0;
    const auto Unique = [&](const char *Prefix) {
      return Prefix + std::to_string(Next++);
    };
    const auto Address = [&] {
      return SocketAddress{"10.0.0." + std::to_string(Next % 200),
                           static_cast<std::uint16_t>(1000 + Next++)};
    };
    const auto Zone = [&] {
      return *rc::gen::elementOf(Config.Deployment.Zones);
    };
    Config.Deployment.Name = Unique("d");
    Config.Deployment.Region = *rc::gen::element<std::string>("", "pnw");
    Config.Deployment.Zones = {"za", "z-b", "9.c"};
    std::vector<std::string> Targets;
    for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
      const std::string Name = Unique("store");
      Config.Stores[Name] = {Name, Address(), Zone(),
                             *rc::gen::inRange(1, 4000) / 4.0 + 1};
      Targets.push_back(Name);
    }
    for (int I = *rc::gen::inRange(0, 5); I > 0; --I) {
      ServiceConfig Service;
      Service.Name = Unique("s_");
      Service.Slots = *rc::gen::inRange(1, 10000);
      Service.Deadline = Milliseconds(*rc::gen::inRange(100, 100000));
      for (int U = *rc::gen::inRange(1, 30); U > 0; --U)
        Service.Upstreams.push_back(
            {Unique("up"), Address(), Zone(),
             *rc::gen::element(UpstreamState::Live, UpstreamState::Leaving)});
      std::sort(Service.Upstreams.begin(), Service.Upstreams.end(),
                [](const auto &A, const auto &B) { return A.Name < B.Name; });
      for (const std::string &Each : Targets)
        if (*rc::gen::arbitrary<bool>())
          Service.DependsOn.push_back(Each);
      if (*rc::gen::arbitrary<bool>()) {
        Service.Model = "m";
        Service.WeightVersion = "v1";
        Service.Adapters = {"lora-1"};
        Service.ChecksFence = *rc::gen::arbitrary<bool>();
        Service.MaxConcurrentLoads = *rc::gen::inRange(1, 1000);
      } else {
        Service.Kind = ServiceKind::Plain;
        Service.Calls = {{"POST", "/a \"b\\", *rc::gen::arbitrary<bool>()},
                         {"DELETE", "/", true}};
      }
      Targets.push_back(Service.Name);
      Config.Services[Service.Name] = std::move(Service);
    }
    for (int I = *rc::gen::inRange(0, 20); I > 0; --I) {
      const std::string Name = Unique("c");
      std::string Digest(64, 'f');
      Digest.replace(0, Name.size() - 1, Name.substr(1));
      Config.Customers[Name] = {Name, Digest, *rc::gen::inRange(1, 1000) / 10.0,
                                *rc::gen::inRange(1, 1000)};
    }
    return Config;
  });
}

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_CONFIGGENERATORS_H
