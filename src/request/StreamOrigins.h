// Which service and software version began the streams that callers may take
// up again, and how the origin of such a stream is found.
//
//   Streams.noteBegun(streamKey(Customer, Id), Origin, Now);
//   switch (nextOriginStep(Search)) { ... }
//
// What two software versions write does not fit together, so a stream goes on
// only where it began. A record is positive knowledge: if it is missing, the
// caller has to start anew, and nothing is joined.
//
// Guarantees: an origin is returned for a stream only if all records of the
// stream agree; the number of records is bounded.

#ifndef GALENAROUTE_REQUEST_STREAMORIGINS_H
#define GALENAROUTE_REQUEST_STREAMORIGINS_H

#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace galenaroute {

/// Identifies a stream over the attempts of its caller.
using StreamKey = std::uint64_t;

/// Returns the key of the stream whose first event was the answer to the
/// attempt \p FirstAttempt. It covers the customer, so that no caller reaches a
/// stream of another one.
StreamKey streamKey(std::string_view Customer, std::string_view FirstAttempt);

/// What wrote the first event of a stream.
struct StreamOrigin {
  std::string Service;
  std::string Version; ///< Of the software of the upstream.
  bool operator==(const StreamOrigin &) const = default;
};

/// The origins of streams.
class StreamOrigins {
public:
  /// How long a broken stream may be taken up. Callers try for less.
  static constexpr Duration Retention = std::chrono::seconds(60);
  /// The same for a stream that was sent to its end, which its caller may not
  /// have received.
  static constexpr Duration WholeRetention = std::chrono::seconds(5);
  static constexpr std::size_t DefaultMaxRecords = 16384;

  /// Streams beyond \p MaxRecords are not recorded.
  explicit StreamOrigins(std::size_t MaxRecords) : MaxRecords(MaxRecords) {}
  StreamOrigins() : StreamOrigins(DefaultMaxRecords) {}

  struct Record {
    StreamOrigin Origin;
    TimePoint Until;
    bool IsOpen = false;      ///< A run forwards it.
    bool IsAmbiguous = false; ///< There are records that do not agree.
    /// The count of begun streams when this process began to forward it last;
    /// 0 for a stream of another process.
    std::uint64_t Number = 0;
  };

  /// Returns whether the stream is recorded.
  bool noteBegun(StreamKey Key, const StreamOrigin &Origin, TimePoint Now);
  /// Notes that no run forwards the stream any more.
  void noteEnded(StreamKey Key, bool IsWhole, TimePoint Now);
  /// Adds a record of another process.
  void add(StreamKey Key, const StreamOrigin &Origin, TimePoint Now);
  std::optional<StreamOrigin> find(StreamKey Key) const;
  void expire(TimePoint Now);
  const std::unordered_map<StreamKey, Record> &records() const {
    return this->Records;
  }
  /// Returns how many streams this process has begun to forward.
  std::uint64_t countBegun() const { return this->Begun; }

private:
  Record *recordFor(StreamKey Key, const StreamOrigin &Origin, TimePoint Now);

  std::size_t MaxRecords;
  std::unordered_map<StreamKey, Record> Records;
  std::uint64_t Begun = 0;
};

/// How the origin of a stream became known.
enum class OriginSource {
  Record,  ///< This process has forwarded the stream.
  Stored,  ///< A process has stored its record on the platform.
  OnlyOne, ///< The service has had no other software version.
};

/// Returns the name of \p Source in log lines.
std::string_view toString(OriginSource Source);

/// The search for the origin of a stream that a caller takes up.
struct OriginSearch {
  bool IsNamed = false; ///< The call names the stream.
  bool IsFound = false; ///< Its origin is known.
  /// Lists of the stored records that were answered since the call arrived.
  int Lists = 0;
  bool HasListFailed = false;
};

enum class OriginStep {
  GoOn,      ///< At the origin.
  List,      ///< List the stored records.
  ListLater, ///< List them once more: the record may be on its way.
  Refuse,    ///< The origin is not known.
};

/// Returns the next step of \p Search.
OriginStep nextOriginStep(const OriginSearch &Search);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_STREAMORIGINS_H
