// Stores the origins of streams on the platform, so that they outlast all
// processes, and finds those that other gateways have stored.
//
//   StreamOriginStore Store({.Loop = Loop, .Api = Api, ...});
//   Store.start();
//   if (const auto Version = Store.onlyVersion(Service)) ...
//   Store.Listed.connect([&](const StreamOrigins *Stored) { ... });
//   Store.list();
//
// There are two sorts of objects of one kind, each of an era of the platform
// (see PlatformEra.h). That of a service names the versions that may have
// begun a stream that is still taken up: it answers for all streams while there
// is one. That of a gateway holds the records of the streams which it began,
// and is written at most once a period, and only while the services of a route
// have several versions among them.
//
// Guarantees: a process that has just started keeps the records that its
// predecessor stored; nothing waits for a write. All gateways together make
// a bounded number of writes a second.

#ifndef GALENAROUTE_PROCESS_STREAMORIGINSTORE_H
#define GALENAROUTE_PROCESS_STREAMORIGINSTORE_H

#include "connection/PlatformClient.h"
#include "process/EventLoop.h"
#include "request/StreamOrigins.h"
#include "version/SoftwareVersions.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace galenaroute {

/// The software versions of the registered upstreams, by service.
using VersionsByService = std::map<std::string, std::set<std::string>>;

struct StreamOriginStoreParts {
  EventLoop &Loop;
  Platform &Api;
  StreamOrigins &Streams; ///< Of this process.
  std::string NodeId;
  /// Returns the versions of the services whose streams may be taken up.
  std::function<VersionsByService()> RegisteredVersions;
  /// Returns whether the registry was read recently.
  std::function<bool()> IsRegistryCurrent;
  std::function<std::size_t()> GatewayCount;
};

class StreamOriginStore {
public:
  explicit StreamOriginStore(StreamOriginStoreParts Parts);
  ~StreamOriginStore();
  StreamOriginStore(const StreamOriginStore &) = delete;
  StreamOriginStore &operator=(const StreamOriginStore &) = delete;

  /// Starts to read what is stored.
  void start();
  /// Sets the services that each route leads to whose streams may be taken up.
  void setServices(std::set<std::set<std::string>> PerRoute) {
    this->Groups = std::move(PerRoute);
  }
  /// To be called when an upstream of a service whose streams may be taken up
  /// is registered.
  void noteUpstream(const std::string &Service, const std::string &Version);
  /// To be called when the platform was restored from a copy.
  void onEraChanged();

  /// Returns the version that has begun all streams of the service that are
  /// still taken up, or nothing if there are several or that is not known.
  std::optional<std::string> onlyVersion(std::string_view Service) const;
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

  struct Service {
    SoftwareVersions Versions;
    bool IsWriting = false;
  };

  void tick();
  void storeAllVersions();
  std::set<std::string> versionsToStore(const Service &Of) const;
  bool hasSeveralVersions() const;
  void listAfter(const std::string &Name);
  void onPage(const PlatformList &Page);
  void readObject(const PlatformObject &Object);
  void readService(const PlatformObject &Object);
  void readRecords(const PlatformObject &Object);
  void adoptOwn(const PlatformObject &Object);
  void removeOutdated(const PlatformObject &Object, std::int64_t WrittenMs);
  void storeVersions(const std::string &Name);
  void writeVersions(const std::string &Name, const ObjectKey &Key,
                     const PlatformResult &Read);
  void storeRecords();
  void readOwn();
  ObjectKey keyOf(const std::string &Name) const;
  ObjectKey ownKey() const;

  StreamOriginStoreParts Parts;
  std::map<std::string, Service, std::less<>> Services;
  std::set<std::set<std::string>> Groups; ///< Services by route.
  bool HasListed = false;                 ///< Since the start.
  bool IsListing = false;
  /// Of the list that is being read.
  StreamOrigins ListedStreams{MaxListed};
  std::uint64_t OwnRevision = Platform::MustNotExist;
  /// The own object may have another revision than OwnRevision.
  bool IsOwnUnknown = true;
  bool IsWriting = false;
  std::uint64_t StoredCount = 0; ///< Streams begun until the last write.
  sigc::connection Timer;
  // Platform callbacks hold a weak pointer to it and do nothing once it has
  // expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STREAMORIGINSTORE_H
