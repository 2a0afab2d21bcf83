// The cases that the stand-ins can play.

#ifndef GALENAROUTE_REVIEW_CASES_H
#define GALENAROUTE_REVIEW_CASES_H

#include <string>

namespace review {

struct CaseSettings {
  std::string Program;
  std::string Root;
  std::string Folder;
  std::string RecordPath;
  bool HasTrouble = true;
};

/// The address of a registry entry of another writer can't be read.
int playRegistryAddress(const CaseSettings &Settings);
/// A registry entry of another writer can't be read, and all gateways are
/// killed.
int playUnreadableEntry(const CaseSettings &Settings);
/// A store of kept KV cache in trouble answers with bytes without end.
int playEndlessStore(const CaseSettings &Settings);

} // namespace review

#endif // GALENAROUTE_REVIEW_CASES_H
