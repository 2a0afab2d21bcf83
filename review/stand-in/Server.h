// A stand-in of a sound server of a plain service.

#ifndef GALENAROUTE_REVIEW_SERVER_H
#define GALENAROUTE_REVIEW_SERVER_H

#include "Store.h"

namespace review {

struct ServerSettings {
  std::string Id;
  std::string Service;
  std::string Zone;
  int Slots = 6;
  int Queue = 24;
  int WorkMs = 15; ///< Mean; each request takes between half and 1.5 of it.
  int AnswerBytes = 800;
};

class Server {
public:
  Server(const std::string &Host, ServerSettings Settings, Store &Entries,
         Record &Log);
  ~Server();

  const std::string &id() const { return this->Settings.Id; }
  Address address() const { return this->Listening->address(); }

  struct Arrival {
    std::string Request;
    std::int64_t At = 0;
    bool HasRun = false;
  };
  std::vector<Arrival> arrivals();

private:
  void serve(Connection &Open);
  void beat();
  bool takeSlot(Connection &Open);
  void answer(Connection &Open, const Message &Request);
  std::string response(int Status, const Message &Request,
                       std::vector<std::pair<std::string, std::string>> Fields,
                       std::string_view Body);

  ServerSettings Settings;
  Store &Entries;
  Record &Log;
  std::int64_t BornMs;
  std::atomic<int> Running = 0;
  std::atomic<int> Waiting = 0;
  std::atomic<bool> Stopping = false;
  std::mutex Lock;
  std::vector<Arrival> Arrivals;
  std::unique_ptr<Listener> Listening;
  std::thread Beating;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_SERVER_H
