// Stores the origins of streams on the platform, so that they outlast all
// processes, and finds those that other gateways have stored.
//
//   StreamOriginStore Store({.Loop = Loop, .Api = Api, ...});
//   Store.start();
//   Store.Listed.connect([&](const StreamOrigins *Stored) { ... });
//   Store.list();
//
// Each gateway has an object for each era of the platform (see PlatformEra.h)
// with the records of the streams that it began. It is written at most once a
// period, and only while streams are taken up by their records, see
// SoftwareVersionStore. While it cannot be written, the records are told to
// other gateways, which store them with their own.
//
// Guarantees: a process that has just started keeps the records that its
// predecessor stored; nothing waits for a write. All gateways together make
// a bounded number of writes a second.

#ifndef GALENAROUTE_PROCESS_STREAMORIGINSTORE_H
#define GALENAROUTE_PROCESS_STREAMORIGINSTORE_H

#include "connection/PlatformClient.h"
#include "process/EventLoop.h"
#include "process/StreamRecordUpdates.h"
#include "request/StreamOrigins.h"

#include <functional>
#include <memory>
#include <set>

namespace galenaroute {

struct StreamOriginStoreParts {
  EventLoop &Loop;
  Platform &Api;
  StreamOrigins &Streams; ///< Of this process.
  std::string NodeId;
  /// Returns whether streams are taken up by their records.
  std::function<bool()> NeedsRecords;
  std::function<std::size_t()> GatewayCount;
  /// Sends records to gateways that store them. Returns whether there are any.
  std::function<bool(const StreamRecordUpdates &)> Tell;
  /// Called with each set of software versions that a gateway of an earlier
  /// build has stored in the present era, see docs/compatibility.md.
  std::function<void(const std::string &Service,
                     const std::set<std::string> &Versions)>
      OnEarlierSet = [](const std::string &, const std::set<std::string> &) {};
};

class StreamOriginStore {
public:
  explicit StreamOriginStore(StreamOriginStoreParts Parts);
  ~StreamOriginStore();
  StreamOriginStore(const StreamOriginStore &) = delete;
  StreamOriginStore &operator=(const StreamOriginStore &) = delete;

  /// Starts to read what is stored.
  void start();
  /// To be called when the platform was restored from a copy.
  void onEraChanged();

  /// Keeps and stores the records of a gateway that cannot store them.
  void receive(const StreamRecordUpdates &News);

  /// Returns whether what is stored was read since the start.
  bool hasListed() const { return this->HasListed; }
  /// Returns whether records that are needed were not stored for some periods.
  bool isLate() const;

  /// Reads the stored records of all gateways; one call serves all that wait.
  void list();
  /// Emitted after each list, with null if it failed. The records are valid
  /// during the emission.
  sigc::signal<void(const StreamOrigins *Stored)> Listed;

  /// Time between two writes of the records of one of \p Gateways.
  static Duration periodFor(std::size_t Gateways);

private:
  /// Records of all gateways that are kept while they are read, about 10 MB.
  static constexpr std::size_t MaxListed = 65536;

  void tick();
  void listAfter(const std::string &Name);
  void onPage(const PlatformList &Page);
  void readObject(const PlatformObject &Object);
  void readRecords(const PlatformObject &Object);
  void readEarlierSet(const PlatformObject &Object);
  void adoptOwn(const PlatformObject &Object);
  void removeOutdated(const PlatformObject &Object, std::int64_t WrittenMs);
  bool hasUnstored() const;
  void storeRecords();
  void tellRecords(TimePoint Now);
  void onStored(std::uint64_t Begun, std::uint64_t Received);
  void readOwn();
  ObjectKey keyOf(const std::string &Name) const;
  ObjectKey ownKey() const;

  StreamOriginStoreParts Parts;
  bool HasListed = false; ///< Since the start.
  bool IsListing = false;
  /// Of the list that is being read.
  StreamOrigins ListedStreams{MaxListed};
  std::uint64_t OwnRevision = Platform::MustNotExist;
  /// The own object may have another revision than OwnRevision.
  bool IsOwnUnknown = true;
  bool IsWriting = false;
  StreamRecordProgress Progress;
  bool IsTelling = false;           ///< Records are told at present.
  std::uint64_t ReceivedCount = 0;  ///< Records of other gateways.
  std::uint64_t StoredReceived = 0; ///< The same until the last write.
  sigc::connection Timer;
  // Platform callbacks hold a weak pointer to it and do nothing once it has
  // expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STREAMORIGINSTORE_H
