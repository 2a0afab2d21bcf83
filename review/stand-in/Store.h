// A stand-in of the platform's metadata store: objects with revisions, lists,
// watches and conditional writes.

#ifndef GALENAROUTE_REVIEW_STORE_H
#define GALENAROUTE_REVIEW_STORE_H

#include "Net.h"
#include "Record.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

class Store {
public:
  Store(const std::string &Host, Record &Log);
  ~Store();

  Address address() const { return this->Server->address(); }

  /// Writes an object as the operator would.
  void put(const std::string &Kind, const std::string &Name, const json &Spec);

  /// Writes the entry of a server as its heartbeat does. The entry goes after
  /// three intervals of silence.
  void beat(const std::string &Id, const json &Spec);

  static constexpr std::int64_t HeartbeatMs = 1200;
  /// How long changes are kept for watches.
  static constexpr std::int64_t HistoryMs = 20000;

  /// Stands for a text that its writer cut inside a character outside the
  /// basic plane: the store hands out the half of it as the JSON escape that it
  /// was given.
  static constexpr const char *CutText = "@cut-text@";

private:
  struct Object {
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
    json Spec;
  };
  struct Event {
    std::string Name;
    Object State;
    std::int64_t At = 0;
  };
  /// The present objects and all changes of one kind.
  struct KindState {
    std::map<std::string, Object> Named;
    std::deque<Event> History;
    std::uint64_t Forgotten = 0; ///< The last revision that has left History.
  };
  using Objects = std::map<std::string, KindState>;

  void serve(Connection &Open);
  std::string answer(const Message &Request, Connection &Open);
  std::string answerWatch(const std::string &Kind, std::uint64_t Since,
                          std::int64_t WaitMs, Connection &Open);
  std::string answerObject(const std::string &Kind, const std::string &Name,
                           const Message &Request);
  std::string reply(int Status, const json &Body) const;
  void write(const std::string &Kind, const std::string &Name, const json &Spec,
             bool IsDeleted);
  void expireEntries();

  Record &Log;
  std::mutex Lock;
  std::condition_variable Changed;
  Objects All;
  std::uint64_t Revision = 10;
  std::map<std::string, std::int64_t> LastBeat; ///< By the id of a server.
  std::atomic<bool> Stopping = false;
  std::unique_ptr<Listener> Server;
  std::thread Expiring;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_STORE_H
