// Encodes and decodes the messages between dispatchers, and reports status.

#include "process/Dispatcher.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

/// Limits the size of one message and the cost of decoding it.
static constexpr std::size_t MaxDigestParts = 1024;
static constexpr std::size_t MaxSignatures = 64;

/// Reads a count reported by a peer, clamped to the valid range. Throws if it
/// is not a number.
static int readCount(const json &Value) {
  return static_cast<int>(std::clamp(Value.get<double>(), 0.0, 1e6));
}

json Dispatcher::loadDigest() const {
  json Services = json::object();
  for (const auto &[Name, State] : this->Services) {
    json Work = json::array(), Use = json::array();
    for (const UpstreamWork &Part : ownWork(State.Tracker))
      if (Work.size() < MaxDigestParts)
        Work.push_back({Part.Upstream, Part.PendingTokens, Part.Outstanding});
    for (const CustomerUse &Part : ownUse(State.Admission, EventLoop::now()))
      if (Use.size() < MaxDigestParts)
        Use.push_back({Part.Customer, Part.InFlight, Part.Queued, Part.WaitMs});
    Services[Name] = {{"work", std::move(Work)}, {"use", std::move(Use)}};
  }
  return {{"services", std::move(Services)}};
}

/// Returns whether a digest reports no work and no use.
static bool isEmptyDigest(const json &Body) {
  const json &Services = Body.at("services");
  return std::all_of(Services.begin(), Services.end(), [](const json &Each) {
    return Each.at("work").empty() && Each.at("use").empty();
  });
}

void Dispatcher::sendLoadDigest(TimePoint Now) {
  const json Body = this->loadDigest();
  std::vector<std::uint8_t> Bytes = json::to_cbor(Body);
  const bool Unchanged = Bytes == this->SentDigest;
  if (Unchanged && (isEmptyDigest(Body) ||
                    Now < this->DigestSentAt + this->Settings.DigestRepeat))
    return;
  this->SentDigest = std::move(Bytes);
  this->DigestSentAt = Now;
  this->LoadDigest.emit(Body);
}

void Dispatcher::onLoadDigest(const std::string &Peer, const json &Body) {
  const TimePoint Now = EventLoop::now();
  // The message is decoded completely before it is applied, so that a malformed
  // one changes nothing.
  struct Digest {
    std::vector<UpstreamWork> Work;
    std::vector<CustomerUse> Use;
  };
  std::map<std::string, Digest> Digests;
  for (const auto &[Name, Parts] : Body.at("services").items()) {
    if (!this->Services.contains(Name))
      continue;
    Digest &Decoded = Digests[Name];
    for (const json &Part : Parts.at("work")) {
      UpstreamWork Work{.Upstream = Part.at(0).get<std::string>()};
      for (std::size_t I = 0; I < PromptClassCount; ++I) {
        Work.PendingTokens[I] =
            std::clamp(Part.at(1).at(I).get<double>(), 0.0, 1e9);
        Work.Outstanding[I] = readCount(Part.at(2).at(I));
      }
      if (Decoded.Work.size() < MaxDigestParts)
        Decoded.Work.push_back(std::move(Work));
    }
    for (const json &Part : Parts.at("use"))
      if (Decoded.Use.size() < MaxDigestParts)
        Decoded.Use.push_back({Part.at(0).get<std::string>(),
                               readCount(Part.at(1)), readCount(Part.at(2)),
                               readCount(Part.at(3))});
  }
  for (const auto &[Name, From] : Digests) {
    Service &State = this->Services[Name];
    notePeerDigest(State.Tracker, Peer, From.Work, Now);
    notePeerUse(State.Admission, Peer, From.Use, Now);
  }
}

json Dispatcher::crashDigest() const {
  json Signatures = json::array();
  for (const CrashSignature &Each :
       exportSignatures(this->Guard, MaxSignatures, EventLoop::now()))
    Signatures.push_back(
        {toHex(Each.Content), Each.Upstreams, Each.Age.count()});
  return {{"signatures", std::move(Signatures)}};
}

void Dispatcher::onCrashDigest(const json &Body) {
  std::vector<CrashSignature> Signatures;
  for (const json &Each : Body.at("signatures")) {
    const auto Content = digestFromHex(Each.at(0).get<std::string>());
    if (!Content)
      throw Error(ErrorKind::BadRequest,
                  "malformed crash signature: not a hex digest");
    CrashSignature Signature{*Content,
                             {},
                             Milliseconds(static_cast<std::int64_t>(std::clamp(
                                 Each.at(2).get<double>(), 0.0, 1e9)))};
    for (const json &Name : Each.at(1))
      if (Signature.Upstreams.size() <
          this->Guard.Options.MaxUpstreamsPerSuspect)
        Signature.Upstreams.push_back(Name.get<std::string>());
    if (Signatures.size() < MaxSignatures)
      Signatures.push_back(std::move(Signature));
  }
  importSignatures(this->Guard, Signatures, EventLoop::now());
  this->sendCrashDigest();
}

json Dispatcher::status() const {
  json Result = json::object();
  std::vector<UpstreamView> Current;
  for (const auto &[Name, State] : this->Services) {
    viewsOf(State.Tracker, EventLoop::now(), Current);
    json Upstreams = json::object();
    for (const UpstreamView &View : Current)
      Upstreams[std::string(View.Name)] = {
          {"takes_new_work", View.TakesNewWork},
          {"outstanding", View.outstanding()},
          {"prefill_tokens_per_second", View.PrefillTokensPerSecond},
          {"share", View.Share},
          {"weight_version", View.WeightVersion}};
    Result[Name] = {{"queued", State.Admission.QueuedCount},
                    {"upstreams", std::move(Upstreams)}};
  }
  return Result;
}

} // namespace galenaroute
