// The platform's object API, as the rest of the system sees it.
//
// Platform is the one interface to the platform; HttpPlatform speaks to a real
// or emulated one, and tests use a fake written by hand.
//
//   Api.put({"lease", "steward-models"}, Value, /*IfVersion=*/7,
//           [](const PlatformResult &Result) { ... });
//
// Guarantees: each callback is called exactly once, never inside the call that
// it belongs to. PlatformStatus::Unknown on a write means that the write may
// or may not have taken effect, now or later; the caller must read to find
// out. Every call counts against the platform's rates.
//
// Era tells when the platform was restored from a copy. Outdated answers end
// with Unknown, writes whose condition comes from an earlier era than their
// answer, too, and watches from a position of an earlier era with Expired.

#ifndef GALENAROUTE_CONNECTION_PLATFORMCLIENT_H
#define GALENAROUTE_CONNECTION_PLATFORMCLIENT_H

#include "connection/HttpClient.h"
#include "connection/PlatformEra.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenaroute {

/// Names one object.
struct ObjectKey {
  std::string Kind;
  std::string Name;
  bool operator==(const ObjectKey &) const = default;
};

/// An object as stored. Versions come from one counter over all objects.
struct PlatformObject {
  ObjectKey Key;
  std::uint64_t Version = 0;
  bool Deleted = false; ///< Only in watch results.
  nlohmann::json Value;
};

/// How a call to the platform ended.
enum class PlatformStatus {
  Ok,
  NotFound,
  Conflict,    ///< The version did not match; nothing was written.
  Expired,     ///< The watch revision is too old; list again.
  Unavailable, ///< Not sent, or refused; nothing was written.
  Unknown,     ///< No answer; a write may have taken effect.
};

/// Tells how a call to a platform over HTTP ended.
PlatformStatus platformStatusOf(const HttpResult &Result);

/// What a call relies on that belongs to the era in which it is made.
enum class EraUse {
  None,      ///< Nothing: a read of the present state.
  Condition, ///< The version that a write replaces.
  Position,  ///< The revision that a watch continues from.
};

/// Tells how a call made in era \p Begun ended whose answer, of status
/// \p Answered, tells era \p Told, which is noted in \p Era.
PlatformStatus statusInEra(PlatformStatus Answered, std::uint64_t Told,
                           PlatformEra &Era, EraUse Use, std::uint64_t Begun);

/// The same for a call over HTTP. \p Field is the header field in which the
/// platform tells its era.
PlatformStatus platformStatusOf(const HttpResult &Result,
                                std::string_view Field, PlatformEra &Era,
                                EraUse Use, std::uint64_t Begun);

/// The answer to a get, put or remove.
struct PlatformResult {
  PlatformStatus Status = PlatformStatus::Unavailable;
  PlatformObject Object; ///< For put: key and version only.
};

/// The answer to a list or watch.
struct PlatformList {
  PlatformStatus Status = PlatformStatus::Unavailable;
  std::uint64_t Revision = 0; ///< Pass to the next watch.
  std::vector<PlatformObject> Objects;
  bool More = false; ///< List again after the last name.
  /// The last name, also of an object that could not be read. Empty if it is
  /// that of the last one in Objects.
  std::string LastName;

  /// Returns the name after which to list again.
  std::string lastName() const {
    if (!this->LastName.empty() || this->Objects.empty())
      return this->LastName;
    return this->Objects.back().Key.Name;
  }
};

/// One VM of the platform's list, which lags.
struct VmRecord {
  SocketAddress Address;
  std::string Zone;
  std::string Role; ///< `entry`, `upstream` or `store`.
  bool Leaving = false;
};

/// The answer to a VM list.
struct VmList {
  PlatformStatus Status = PlatformStatus::Unavailable;
  std::vector<VmRecord> Vms;
};

/// The interface to the platform.
class Platform {
public:
  using OnResult = std::function<void(const PlatformResult &Result)>;
  using OnList = std::function<void(const PlatformList &Result)>;
  using OnVms = std::function<void(const VmList &Result)>;

  /// IfVersion that asks that the object must not exist.
  static constexpr std::uint64_t MustNotExist = 0;

  virtual ~Platform() = default;

  PlatformEra Era;

  virtual void get(const ObjectKey &Key, OnResult Done) = 0;
  virtual void put(const ObjectKey &Key, const nlohmann::json &Value,
                   std::uint64_t IfVersion, OnResult Done) = 0;
  virtual void remove(const ObjectKey &Key, std::uint64_t IfVersion,
                      OnResult Done) = 0;
  virtual void list(const std::string &Kind, const std::string &Prefix,
                    const std::string &After, OnList Done) = 0;

  /// Waits up to \p Wait for changes of \p Kind after \p Since.
  virtual void watch(const std::string &Kind, std::uint64_t Since,
                     Duration Wait, OnList Done) = 0;
  virtual void listVms(OnVms Done) = 0;
};

/// The platform over HTTP.
class HttpPlatform : public Platform {
public:
  /// \p CallTimeout bounds each call but watch.
  HttpPlatform(HttpClient &Client, SocketAddress Address,
               Duration CallTimeout = std::chrono::seconds(2));

  void get(const ObjectKey &Key, OnResult Done) override;
  void put(const ObjectKey &Key, const nlohmann::json &Value,
           std::uint64_t IfVersion, OnResult Done) override;
  void remove(const ObjectKey &Key, std::uint64_t IfVersion,
              OnResult Done) override;
  void list(const std::string &Kind, const std::string &Prefix,
            const std::string &After, OnList Done) override;
  void watch(const std::string &Kind, std::uint64_t Since, Duration Wait,
             OnList Done) override;
  void listVms(OnVms Done) override;

private:
  PlatformStatus statusOf(const HttpResult &Result, EraUse Use,
                          std::uint64_t Begun);

  HttpClient &Client;
  SocketAddress Address;
  Duration CallTimeout;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_PLATFORMCLIENT_H
