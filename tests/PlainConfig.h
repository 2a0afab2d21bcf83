// A configuration as written by an operator, for tests and the soak test.

#ifndef GALENAROUTE_TESTS_PLAINCONFIG_H
#define GALENAROUTE_TESTS_PLAINCONFIG_H

#include <nlohmann/json.hpp>

namespace galenaroute::testing_support {

/// Returns a configuration with one service `d` and two public routes of host
/// `h`: `/once/`, with a single attempt, and `/safe/`, with up to two attempts.
inline nlohmann::json plainConfig() {
  return nlohmann::json::parse(R"({
    "version":1,
    "routes":[
      {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",
       "timeoutMs":1500,"targetLatencyMs":200,"priority":1,"service":"d",
       "maxAttempts":1,"public":true},
      {"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",
       "timeoutMs":1500,"targetLatencyMs":200,"priority":1,"service":"d",
       "maxAttempts":2,"public":true}],
    "services":[{"name":"d","maxConns":400}]})");
}

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_PLAINCONFIG_H
