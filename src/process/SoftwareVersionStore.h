// Keeps on the platform which software versions the upstreams of each service
// have, for the decisions of SoftwareVersions.h.
//
//   SoftwareVersionStore Versions({.Loop = Loop, .Api = Api, ...});
//   Versions.setServices(PerRoute);
//   Versions.start();
//   if (const auto Only = Versions.onlyVersion(Service)) ...
//
// There is one object for each service and era of the platform (see
// PlatformEra.h), which every process watches. It is written when an upstream
// with a version that it lacks registers, and once a version has had no
// registered upstream for StreamOrigins::Retention.
//
// Guarantees: no version settles before the platform has acknowledged that it
// is stored; the number of writes follows the number of versions, not of
// streams.

#ifndef GALENAROUTE_PROCESS_SOFTWAREVERSIONSTORE_H
#define GALENAROUTE_PROCESS_SOFTWAREVERSIONSTORE_H

#include "process/EventLoop.h"
#include "version/ObjectWatcher.h"
#include "version/SoftwareVersions.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace galenaroute {

/// The software versions of the registered upstreams, by service.
using VersionsByService = std::map<std::string, std::set<std::string>>;

struct SoftwareVersionStoreParts {
  EventLoop &Loop;
  Platform &Api;
  /// Returns the versions of the services whose streams may be taken up.
  std::function<VersionsByService()> RegisteredVersions;
  /// Returns whether the registry was read recently.
  std::function<bool()> IsRegistryCurrent;
  /// Whether the platform has never stored a set: the whole system starts for
  /// the first time.
  bool IsFirstStart = false;
  Duration MaxClockError = std::chrono::seconds(5);
  /// Returns whether noteEarlierSet() has been called for all sets that earlier
  /// builds have stored. No set is created before.
  std::function<bool()> HasEarlierSets = [] { return true; };
};

class SoftwareVersionStore {
public:
  explicit SoftwareVersionStore(SoftwareVersionStoreParts Parts);
  ~SoftwareVersionStore();
  SoftwareVersionStore(const SoftwareVersionStore &) = delete;
  SoftwareVersionStore &operator=(const SoftwareVersionStore &) = delete;

  /// Starts to read what is stored.
  void start();
  /// Sets the services that each route leads to whose streams may be taken up.
  void setServices(std::set<std::set<std::string>> PerRoute);
  /// To be called when an upstream of a service whose streams may be taken up
  /// is registered.
  void noteUpstream(const std::string &Service, const std::string &Version);
  /// To be called with each set that a gateway of an earlier build has stored
  /// in the present era. It counts only until this build has stored one.
  void noteEarlierSet(const std::string &Service,
                      const std::set<std::string> &Versions);
  /// To be called when the platform was restored from a copy.
  void onEraChanged();

  /// Returns the version that has begun all streams of the service that are
  /// still taken up, or nothing if there are several or that is not known.
  std::optional<std::string> onlyVersion(std::string_view Service) const;
  /// Returns the registered versions of the service at which no stream may
  /// begin yet. Valid until the next change.
  std::span<const std::string>
  unsettledVersions(std::string_view Service) const;
  /// Returns whether streams are taken up by their records, since the services
  /// of a route have several versions among them or may have had them.
  bool needsRecords() const;
  /// Emitted when streams may begin at further versions.
  sigc::signal<void()> Settled;

  ObjectWatcher &watcher() { return this->Watcher; }
  /// Asks the platform for what has changed, so that onlyVersion() may answer.
  /// One call serves all that are made shortly after one another.
  void refresh();
  /// Returns for how long the view of the stored sets may lack changes.
  std::optional<Duration> viewAge() const;

private:
  /// Between writes that fail, doubled each time. The platform prices refused
  /// calls, too.
  static constexpr Duration MinRetry = std::chrono::milliseconds(200);
  static constexpr Duration MaxRetry = std::chrono::milliseconds(1600);

  struct Service {
    SoftwareVersions Versions;
    std::vector<std::string> Unsettled; ///< See unsettledVersions().
    /// Of the stored object of the present era.
    std::uint64_t Revision = Platform::MustNotExist;
    bool WasStored = false; ///< A set was stored since the start.
    bool IsWriting = false;
    /// After a write that failed.
    std::optional<TimePoint> RetryAt;
    Duration NextRetry = MinRetry;
  };

  void tick();
  void onObject(const PlatformObject &Object);
  void noteRevision(const PlatformObject &Object);
  void readObject(const PlatformObject &Object);
  void dropMalformed(const PlatformObject &Object);
  void noteStoredSet(const std::string &Name, Service &Of,
                     StoredVersions Stored);
  void update(const std::string &Name, Service &Of);
  void store(const std::string &Name, Service &Of);
  void onWritten(const std::string &Name, const ObjectKey &Key,
                 const StoredVersions &Wanted, const PlatformResult &Written);
  void removeOutdated(const PlatformObject &Object);
  bool isFirstStart(const Service &Of) const;
  ObjectKey keyOf(const std::string &Service) const;
  VersionClocks clocks() const;

  SoftwareVersionStoreParts Parts;
  std::map<std::string, Service, std::less<>> Services;
  std::set<std::set<std::string>> Groups; ///< Services by route.
  ObjectWatcher Watcher;
  std::optional<BootTime> RefreshedAt;
  sigc::connection Timer;
  // Platform callbacks hold a weak pointer to it and do nothing once it has
  // expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_SOFTWAREVERSIONSTORE_H
