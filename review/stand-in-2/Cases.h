// The cases that are played against daemons on loopback.

#ifndef GALENAROUTE_REVIEW_CASES_H
#define GALENAROUTE_REVIEW_CASES_H

#include "Fleet.h"

namespace review {

/// The exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

struct Setting {
  std::string Program;
  std::string Folder; ///< For settings and logs.
  bool HasTrouble = true;
  Record &Log;
};

/// Streams of two software versions.
Verdict playVersions(Setting &At);
/// A tenant that becomes isolated.
Verdict playIsolated(Setting &At);

/// A stream that goes on elsewhere beside its first server.
Verdict playTwice(Setting &At);
/// Answers of a KV store that are not answers.
Verdict playNested(Setting &At);

/// A service of model servers, as the operator writes it.
json modelService(const std::string &Name, const std::string &Model);
json callerLimits();

} // namespace review

#endif // GALENAROUTE_REVIEW_CASES_H
