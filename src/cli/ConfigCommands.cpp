#include "cli/Cli.h"
#include "version/ConfigDiff.h"
#include "version/ConfigStore.h"
#include "version/Listing.h"
#include "version/ListingPlaces.h"

#include <array>
#include <fstream>
#include <iostream>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Every this many epochs, apply removes objects that are no longer in use.
constexpr std::uint64_t CollectEvery = 16;

/// Reads at most one byte more than a listing may have, so that an endless
/// input is refused as too long.
std::string readBounded(std::istream &In) {
  std::string Text;
  std::array<char, 65536> Part;
  while (Text.size() <= MaxListingBytes && In) {
    In.read(Part.data(), Part.size());
    Text.append(Part.data(), static_cast<std::size_t>(In.gcount()));
  }
  Text.resize(std::min(Text.size(), MaxListingBytes + 1));
  return Text;
}

/// Reads \p File; prints an error and returns nothing when it cannot be read.
std::optional<std::string> readText(CliContext &Context,
                                    const std::string &File) {
  if (File == "-")
    return readBounded(std::cin);
  std::ifstream In(File, std::ios::binary);
  std::string Text;
  if (In)
    Text = readBounded(In);
  // A folder opens without an error but cannot be read. An empty file sets
  // failbit, as a read that ends early does.
  if (!In.is_open() || In.bad()) {
    reportError(Context, ExitUsage, "unreadable", "cannot read " + File);
    return std::nullopt;
  }
  return Text;
}

/// Parses a listing; prints its errors and returns nothing when it has any.
std::optional<Configuration> parseOrReport(CliContext &Context,
                                           const std::string &File,
                                           std::string_view Text) {
  ListingResult Result = parseListing(Text);
  if (Result.Errors.empty())
    return std::move(Result.Config);
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

/// Reads and parses the listing that the command line names.
std::optional<Configuration> readListing(CliContext &Context) {
  const std::optional<std::string> Text =
      readText(Context, Context.Options.File);
  if (!Text)
    return std::nullopt;
  return parseOrReport(Context, Context.Options.File, *Text);
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

/// What `check` prints for a valid listing.
struct CheckReport {
  std::vector<ListingFinding> Findings;
  std::string ComparedWith; ///< File or epoch; empty: not compared.
  std::vector<ConfigChange> Changes;
  std::string Problem; ///< Why the version in force could not be read.
};

/// The configuration that `check` compares with, if there is one.
struct Baseline {
  std::optional<Configuration> Config;
  std::string Title;
  std::string Problem;
};

Baseline inForce(CliContext &Context) {
  const FetchResult Current = load(Context);
  if (Current.Status != PlatformStatus::Ok)
    return {std::nullopt, "", Current.Problem};
  Baseline Result{Configuration{}, "epoch 0", ""};
  if (Current.Version) {
    Result.Config = *Current.Version->Config;
    Result.Title = "epoch " + std::to_string(Result.Config->Epoch);
  }
  return Result;
}

json toJson(const ListingFinding &Finding) {
  return {{"rule", Finding.Rule},
          {"line", Finding.Line},
          {"column", Finding.Column},
          {"key", Finding.Key},
          {"message", Finding.Message}};
}

void printCheckJson(CliContext &Context, const CheckReport &Report) {
  json Body = {{"file", Context.Options.File},
               {"errors", json::array()},
               {"findings", json::array()}};
  for (const ListingFinding &Each : Report.Findings)
    Body["findings"].push_back(toJson(Each));
  if (!Report.ComparedWith.empty()) {
    Body["compared_with"] = Report.ComparedWith;
    Body["difference"] = changesJson(Report.Changes);
  }
  if (!Report.Problem.empty())
    Body["error"] = {{"kind", "unavailable"}, {"message", Report.Problem}};
  Context.Out << Body.dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
}

void printCheckText(CliContext &Context, const Configuration &Config,
                    const CheckReport &Report) {
  const std::string &File = Context.Options.File;
  for (const ListingFinding &Each : Report.Findings)
    Context.Out << Each.toString(File) << "\n";
  Context.Out << File << ": valid; " << Config.Services.size() << " services, "
              << Config.Stores.size() << " stores, " << Config.Customers.size()
              << " customers; " << Report.Findings.size() << " findings\n";
  if (!Report.ComparedWith.empty())
    Context.Out << "from " << Report.ComparedWith << " to " << File << ": "
                << Report.Changes.size() << " differences\n";
  for (const ConfigChange &Each : Report.Changes)
    Context.Out << toText(Each) << "\n";
  if (!Report.Problem.empty())
    Context.Err << "galenaroute: the version in force cannot be read: "
                << Report.Problem << "\n";
}

int checkListing(CliContext &Context) {
  const std::string &File = Context.Options.File;
  const std::string &Against = Context.Options.Against;
  const std::optional<std::string> Text = readText(Context, File);
  if (!Text)
    return ExitUsage;
  const std::optional<Configuration> Config =
      parseOrReport(Context, File, *Text);
  if (!Config)
    return ExitUsage;
  Baseline Before;
  if (!Against.empty()) {
    const std::optional<std::string> Other = readText(Context, Against);
    if (Other)
      Before = {parseOrReport(Context, Against, *Other), Against, ""};
    if (!Before.Config)
      return ExitUsage;
  } else if (Context.Options.HasPlatform) {
    Before = inForce(Context);
  }
  CheckReport Report;
  Report.Findings =
      checkConfiguration(*Config, Before.Config ? &*Before.Config : nullptr);
  locateFindings(*Text, Report.Findings);
  if (Before.Config)
    Report.Changes = diffConfigurations(*Before.Config, *Config);
  Report.ComparedWith = Before.Title;
  Report.Problem = Before.Problem;
  if (Context.Options.Json)
    printCheckJson(Context, Report);
  else
    printCheckText(Context, *Config, Report);
  if (!Report.Problem.empty())
    return ExitUsage;
  return Report.Findings.empty() ? ExitOk : ExitFindings;
}

} // namespace

int runCheck(CliContext &Context) {
  try {
    return checkListing(Context);
  } catch (const std::exception &Failure) {
    // 1 would read as findings.
    return reportError(Context, ExitUsage, "internal", Failure.what());
  }
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
