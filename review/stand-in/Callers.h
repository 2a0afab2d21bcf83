// Clients that keep connections to gateways and send requests at a steady mean
// rate, as the pages tell. They repeat nothing.

#ifndef GALENAROUTE_REVIEW_CALLERS_H
#define GALENAROUTE_REVIEW_CALLERS_H

#include "Fleet.h"

#include <random>

namespace review {

struct CallerSettings {
  int PerGateway = 4;   ///< Clients, each with one connection.
  double PerSecond = 5; ///< Of one client.
  double UnsafeShare = 0.7;
  int DeadlineMs = 1500;
  std::string Host;
  std::string Key;
  std::string UnsafePath;
  std::string SafePath;
};

/// What became of one request.
struct Outcome {
  std::string Id;
  int Gateway = 0;
  bool IsUnsafe = false;
  bool IsKept = false; ///< The connection had served a request before.
  std::int64_t SentAt = 0;
  std::int64_t EndedAt = 0;
  ReadEnd End = ReadEnd::Closed;
  int Status = 0;
  bool IsSigned = false;
};

class Callers {
public:
  Callers(CallerSettings Settings, Fleet &To, Record &Log);
  ~Callers();

  void stop();
  std::vector<Outcome> outcomes();

private:
  void run(int Gateway, int Client);
  void send(std::unique_ptr<Connection> &Open, bool &IsKept, int Gateway,
            const std::string &Id, bool IsUnsafe);

  CallerSettings Settings;
  Fleet &To;
  Record &Log;
  std::atomic<bool> Stopping = false;
  std::mutex Lock;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_CALLERS_H
