#include "cli/Cli.h"
#include "version/ConfigDiff.h"
#include "version/ConfigStore.h"
#include "version/Listing.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Every this many epochs, apply removes objects that are no longer in use.
constexpr std::uint64_t CollectEvery = 16;

/// Reads the listing; prints its errors and returns nothing when it has any.
std::optional<Configuration> readListing(CliContext &Context) {
  std::ostringstream Text;
  const std::string &File = Context.Options.File;
  if (File == "-") {
    Text << std::cin.rdbuf();
  } else {
    std::ifstream In(File, std::ios::binary);
    // A folder opens without an error but cannot be read.
    if (!In || !(Text << In.rdbuf())) {
      reportError(Context, ExitUsage, "unreadable", "cannot read " + File);
      return std::nullopt;
    }
  }
  const ListingResult Result = parseListing(Text.str());
  if (Result.Errors.empty())
    return Result.Config;
  if (Context.Options.Json) {
    json Errors = json::array();
    for (const ListingError &Each : Result.Errors)
      Errors.push_back({{"line", Each.Line},
                        {"column", Each.Column},
                        {"key", Each.Key},
                        {"message", Each.Message},
                        {"allowed", Each.Allowed}});
    Context.Out << json{{"file", File}, {"errors", Errors}}.dump(
                       2, ' ', false, json::error_handler_t::replace)
                << "\n";
  } else {
    for (const ListingError &Each : Result.Errors)
      Context.Err << Each.toString(File) << "\n";
  }
  return std::nullopt;
}

ConfigStore makeStore(CliContext &Context) {
  ConfigStoreOptions Options;
  Options.Deadline = Context.Options.Timeout;
  return {Context.Api, Context.Loop.timers(), Options};
}

/// Calls end within the deadline and one call after it; the rest is slack.
Duration hardLimit(const CliContext &Context) {
  return Context.Options.Timeout + std::chrono::seconds(30);
}

FetchResult load(CliContext &Context) {
  ConfigStore Store = makeStore(Context);
  std::optional<FetchResult> Got;
  Store.load([&](const FetchResult &Result) { Got = Result; });
  Context.Loop.runUntil([&] { return Got.has_value(); }, hardLimit(Context));
  if (!Got)
    return {PlatformStatus::Unavailable, "the platform does not answer"};
  return *Got;
}

json changesJson(const std::vector<ConfigChange> &Changes) {
  json Result = json::array();
  for (const ConfigChange &Each : Changes)
    Result.push_back(toJson(Each));
  return Result;
}

int printConflict(CliContext &Context, const Configuration &Wanted,
                  const ApplyResult &Result) {
  const Configuration InForce =
      Result.InForce ? *Result.InForce->Config : Configuration{};
  const auto Changes = diffConfigurations(InForce, Wanted);
  if (Context.Options.Json) {
    Context.Out << json{{"result", "conflict"},
                        {"message", Result.Message},
                        {"epoch", Result.Epoch},
                        {"difference", changesJson(Changes)}}
                       .dump(2)
                << "\n";
    return ExitConflict;
  }
  Context.Err << "galenaroute: conflict: " << Result.Message
              << "; nothing was applied.\nFrom epoch " << Result.Epoch << " to "
              << Context.Options.File << ":\n";
  for (const ConfigChange &Each : Changes)
    Context.Err << "  " << toText(Each) << "\n";
  Context.Err << "Merge these into the listing, then apply with --epoch "
              << Result.Epoch << ".\n";
  return ExitConflict;
}

int printApplied(CliContext &Context, const ApplyResult &Result) {
  json Body = {
      {"result", Result.End == ApplyOutcome::Applied ? "applied" : "unchanged"},
      {"epoch", Result.Epoch}};
  int Code = ExitOk;
  if (!Context.Options.Json)
    Context.Out << "epoch " << Result.Epoch << ": " << Result.Message
                << std::endl;
  if (Context.Options.Wait) {
    const EpochWait Wait = waitForEpoch(Context, Result.Epoch);
    Body["in_force"] = Wait.InForce;
    Body["behind"] = Wait.Behind;
    if (!Wait.Behind.empty())
      Code = ExitPartial;
    if (!Context.Options.Json) {
      Context.Out << "in force at " << Wait.InForce.size() << " of "
                  << Wait.InForce.size() + Wait.Behind.size() << " daemons\n";
      for (const std::string &Each : Wait.Behind)
        Context.Err << "not in force at " << Each << "\n";
    }
  }
  if (Context.Options.Json)
    Context.Out << Body.dump(2) << "\n";
  return Code;
}

/// Removes unused objects now and then. A failure is left to a later apply.
void collectSometimes(CliContext &Context, ConfigStore &Store,
                      std::uint64_t Epoch) {
  if (Epoch % CollectEvery != 0)
    return;
  bool Done = false;
  Store.collect([&](std::optional<std::size_t>) { Done = true; });
  Context.Loop.runUntil([&] { return Done; }, hardLimit(Context));
}

} // namespace

int runCheck(CliContext &Context) {
  const std::optional<Configuration> Config = readListing(Context);
  if (!Config)
    return ExitUsage;
  if (Context.Options.Json)
    Context.Out
        << json{{"file", Context.Options.File}, {"errors", json::array()}}.dump(
               2)
        << "\n";
  else
    Context.Out << Context.Options.File << ": valid; "
                << Config->Services.size() << " services, "
                << Config->Stores.size() << " stores, "
                << Config->Customers.size() << " customers\n";
  return ExitOk;
}

int runApply(CliContext &Context) {
  const std::optional<Configuration> Config = readListing(Context);
  if (!Config)
    return ExitUsage;
  ConfigStore Store = makeStore(Context);
  std::optional<ApplyResult> Got;
  Store.apply(*Config, Context.Options.Epoch,
              [&](const ApplyResult &Result) { Got = Result; });
  Context.Loop.runUntil([&] { return Got.has_value(); }, hardLimit(Context));
  if (!Got)
    return reportError(Context, ExitUnknown, "outcome_unknown",
                       "the platform does not answer; the change may have "
                       "been accepted");
  switch (Got->End) {
  case ApplyOutcome::Applied:
    collectSometimes(Context, Store, Got->Epoch);
    return printApplied(Context, *Got);
  case ApplyOutcome::Unchanged:
    return printApplied(Context, *Got);
  case ApplyOutcome::Conflict:
    return printConflict(Context, *Config, *Got);
  case ApplyOutcome::Unavailable:
    return reportError(Context, ExitUnavailable, "unavailable", Got->Message);
  case ApplyOutcome::OutcomeUnknown:
    break;
  }
  return reportError(Context, ExitUnknown, "outcome_unknown", Got->Message);
}

int runDiff(CliContext &Context) {
  const std::optional<Configuration> Config = readListing(Context);
  if (!Config)
    return ExitUsage;
  const FetchResult Current = load(Context);
  if (Current.Status != PlatformStatus::Ok)
    return reportError(Context, ExitUnavailable, "unavailable",
                       Current.Problem);
  const Configuration InForce =
      Current.Version ? *Current.Version->Config : Configuration{};
  const auto Changes = diffConfigurations(InForce, *Config);
  if (Context.Options.Json) {
    Context.Out << json{{"epoch", InForce.Epoch},
                        {"difference", changesJson(Changes)}}
                       .dump(2)
                << "\n";
  } else {
    Context.Out << "from epoch " << InForce.Epoch << " to "
                << Context.Options.File << ": " << Changes.size()
                << " differences\n";
    for (const ConfigChange &Each : Changes)
      Context.Out << toText(Each) << "\n";
  }
  return Context.Options.ExitCodeOfDiff && !Changes.empty() ? ExitDifferent
                                                            : ExitOk;
}

int runGet(CliContext &Context) {
  const FetchResult Current = load(Context);
  if (Current.Status != PlatformStatus::Ok)
    return reportError(Context, ExitUnavailable, "unavailable",
                       Current.Problem);
  if (!Current.Version)
    return reportError(Context, ExitUnavailable, "not_found",
                       "no configuration has been applied yet");
  const Configuration &Config = *Current.Version->Config;
  if (Context.Options.Json)
    Context.Out
        << json{{"epoch", Config.Epoch}, {"records", toRecords(Config)}}.dump(2)
        << "\n";
  else
    Context.Out << "# Epoch " << Config.Epoch
                << ". After editing: galenaroute apply FILE --epoch "
                << Config.Epoch << "\n"
                << writeListing(Config);
  return ExitOk;
}

} // namespace galenaroute
