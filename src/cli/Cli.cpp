#include "cli/Cli.h"

#include "process/ErrorKind.h"

#include <CLI/CLI.hpp>
#include <algorithm>

namespace galenaroute {

static constexpr const char *Footer = R"(Examples:
  galenaroute check harwood.toml
      Report all errors of a listing, and entries without effect.
  galenaroute diff harwood.toml
      Show what apply would change.
  galenaroute apply harwood.toml --epoch 41 --wait
      Apply on condition that epoch 41 is still in force, and return when
      every live daemon has the new epoch in force.
  galenaroute get > harwood.toml
      Write the configuration in force as a listing.
  galenaroute timeline --request r-17 --html r-17.html
      Show what all daemons did for one request.

Exit codes:
  0  done
  1  internal error; `check`: the listing is valid, with findings
  2  wrong flags, or an invalid listing; `check`: any error
  3  conflict: another change was accepted first; nothing was applied
  4  no answer from the platform or the daemons; nothing was applied
  5  the change may have been accepted; run `galenaroute diff` to see
  6  some daemons did not answer or do not have the epoch in force
  7  `diff --exit-code` found differences)";

static std::string checkAddress(const std::string &Text) {
  try {
    SocketAddress::parse(Text);
    return {};
  } catch (const Error &Failure) {
    return Failure.what();
  }
}

namespace {

using Command = int (*)(CliContext &);

/// The flags and commands, and the command that was chosen.
struct CliParser {
  explicit CliParser(CliOptions &Options);

  CLI::App *add(const std::string &Name, const std::string &Help,
                const std::string &Examples, Command Run);
  void addConfigCommands();
  void addFleetCommands();

  CliOptions &Options;
  CLI::App App{"galenaroute: operate a galenaroute deployment", "galenaroute"};
  CLI::Option *Platform = nullptr;
  bool Json = false;
  std::string Output = "text";
  std::int64_t TimeoutMs = 10000;
  double Since = 0;
  double Until = 0;
  Command Chosen = nullptr;
};

CliParser::CliParser(CliOptions &Options) : Options(Options) {
  this->App.require_subcommand(1);
  this->App.fallthrough();
  this->App.footer(Footer);
  this->App.add_option("--output", this->Output, "Format of the output")
      ->check(CLI::IsMember({"text", "json"}))
      ->envname("GALENAROUTE_OUTPUT")
      ->capture_default_str();
  this->App.add_flag("--json", this->Json, "Same as --output json");
  this->Platform = this->App
                       .add_option("--platform", Options.Platform,
                                   "IP:PORT of the platform's object API")
                       ->check(checkAddress)
                       ->envname("GALENAROUTE_PLATFORM")
                       ->capture_default_str();
  this->App
      .add_option("--entries", Options.Entries,
                  "IP:PORT of daemons, separated by commas; default: the entry "
                  "VMs in the platform's VM list")
      ->delimiter(',')
      ->check(checkAddress)
      ->envname("GALENAROUTE_ENTRIES");
  this->App
      .add_option("--caller-port", Options.CallerPort,
                  "Port for callers at the VMs of the VM list; 0: as listed")
      ->check(CLI::Range(0, 65535))
      ->envname("GALENAROUTE_CALLER_PORT");
  this->App
      .add_option("--operator-key", Options.OperatorKey,
                  "Bearer key for drain and timeline")
      ->envname("GALENAROUTE_OPERATOR_KEY");
  this->App
      .add_option("--timeout-ms", this->TimeoutMs,
                  "Longest time for the platform and for --wait, in ms")
      ->check(CLI::Range(100, 3600000))
      ->envname("GALENAROUTE_TIMEOUT_MS")
      ->capture_default_str();
  this->addConfigCommands();
  this->addFleetCommands();
}

CLI::App *CliParser::add(const std::string &Name, const std::string &Help,
                         const std::string &Examples, Command Run) {
  CLI::App *Sub = this->App.add_subcommand(Name, Help);
  Sub->footer("Examples:\n" + Examples);
  Sub->callback([this, Run] { this->Chosen = Run; });
  return Sub;
}

void CliParser::addConfigCommands() {
  static const std::string FileHelp = "Listing; - reads standard input";
  CLI::App *Check = this->add(
      "check", "Report errors, entries without effect and differences",
      "  galenaroute check harwood.toml\n"
      "      Contacts nothing.\n"
      "  galenaroute check harwood.toml --platform 10.0.0.5:9000\n"
      "      Also shows the differences from the version in force.\n"
      "  galenaroute check harwood.toml --against old.toml --json\n"
      "Exit codes: 0 no findings, 1 findings, 2 errors. Differences are no\n"
      "findings.",
      runCheck);
  Check->add_option("FILE", this->Options.File, FileHelp)->required();
  Check->add_option("--against", this->Options.Against,
                    "Listing to show the differences from, in place of the "
                    "version in force");
  CLI::App *Apply = this->add(
      "apply", "Make a listing the configuration of every daemon",
      "  galenaroute apply harwood.toml --epoch 41 --wait\n"
      "      Fails with exit code 3 and shows the difference when another\n"
      "      operator's change came after epoch 41.\n"
      "  galenaroute apply harwood.toml\n"
      "      Replaces whatever is in force when the command starts.",
      runApply);
  Apply->add_option("FILE", this->Options.File, FileHelp)->required();
  Apply->add_option("--epoch", this->Options.Epoch,
                    "Apply only while this epoch, the one that the change is "
                    "based on, is in force; 0: none yet");
  Apply->add_flag("--wait", this->Options.Wait,
                  "Return when every live daemon has the epoch in force, or "
                  "name those that do not");
  CLI::App *Diff =
      this->add("diff", "Show what apply would change",
                "  galenaroute diff harwood.toml\n"
                "  galenaroute diff harwood.toml --exit-code || echo differs",
                runDiff);
  Diff->add_option("FILE", this->Options.File, FileHelp)->required();
  Diff->add_flag("--exit-code", this->Options.ExitCodeOfDiff,
                 "Exit with 7 when there are differences");
  this->add("get", "Write the configuration in force as a listing",
            "  galenaroute get > harwood.toml\n"
            "  galenaroute --output json get | jq .epoch",
            runGet);
}

void CliParser::addFleetCommands() {
  this->add("status", "Show the state of every daemon",
            "  galenaroute status\n"
            "  galenaroute status --entries 127.0.0.1:8080,127.0.0.1:8082",
            runStatus);
  this->add("drain", "Stop daemons gracefully",
            "  galenaroute drain --entries 127.0.0.1:8080\n"
            "      The daemon finishes its requests and exits. --entries is\n"
            "      required here, so that nothing is stopped by default.",
            runDrain);
  CLI::App *Timeline = this->add(
      "timeline", "Merge the recent events of all daemons by hybrid time",
      "  galenaroute timeline --request r-17\n"
      "  galenaroute timeline --since 1767225600 --until 1767225660 "
      "--html t.html",
      runTimeline);
  Timeline->add_option("--request", this->Options.Request,
                       "Only events of this request id");
  Timeline
      ->add_option("--since", this->Since,
                   "Only events from this Unix time on, in seconds")
      ->check(CLI::NonNegativeNumber);
  Timeline
      ->add_option("--until", this->Until,
                   "Only events up to this Unix time, in seconds")
      ->check(CLI::NonNegativeNumber);
  Timeline->add_option("--html", this->Options.HtmlFile,
                       "Write one self-contained HTML page to this file");
}

} // namespace

int reportError(CliContext &Context, ExitCode Code, const std::string &Kind,
                const std::string &Message) {
  if (Context.Options.Json)
    Context.Out << nlohmann::json{{"error",
                                   {{"kind", Kind}, {"message", Message}}}}
                       .dump(2)
                << "\n";
  else
    Context.Err << "galenaroute: " << Message << "\n";
  return Code;
}

int runCli(std::vector<std::string> Arguments, EventLoop &Loop,
           std::ostream &Out, std::ostream &Err) {
  CliOptions Options;
  CliParser Parser(Options);
  try {
    std::reverse(Arguments.begin(), Arguments.end());
    Parser.App.parse(std::move(Arguments));
  } catch (const CLI::ParseError &Failure) {
    return Parser.App.exit(Failure, Out, Err) == 0 ? ExitOk : ExitUsage;
  }
  Options.Json = Parser.Json || Parser.Output == "json";
  Options.HasPlatform = Parser.Platform->count() > 0;
  Options.Timeout = Milliseconds(Parser.TimeoutMs);
  Options.SinceMicros = static_cast<std::int64_t>(Parser.Since * 1e6);
  Options.UntilMicros = static_cast<std::int64_t>(Parser.Until * 1e6);
  HttpClient Client(Loop);
  HttpPlatform Api(Client, SocketAddress::parse(Options.Platform));
  CliContext Context{Loop, Client, Api, Out, Err, Options};
  try {
    return Parser.Chosen(Context);
  } catch (const Error &Failure) {
    return reportError(Context, ExitInternal,
                       std::string(describeError(Failure.Kind).Code),
                       Failure.what());
  }
}

} // namespace galenaroute
