#include "process/DaemonSettings.h"

#include "process/ErrorKind.h"

#include <CLI/CLI.hpp>
#include <charconv>
#include <sstream>

namespace galenaroute {

namespace {

/// Binds command-line options to the fields of a settings object.
class OptionTable {
public:
  OptionTable(CLI::App &App) : App(App) {}

  CLI::Option *text(const std::string &Name, std::string &Value,
                    const std::string &Help) {
    return this->named(Name, this->App.add_option("--" + Name, Value, Help));
  }

  void oneOf(const std::string &Name, std::string &Value,
             const std::string &Help, const std::vector<std::string> &Allowed) {
    std::string List;
    for (const std::string &Each : Allowed)
      List += (List.empty() ? "" : ", ") + Each;
    this->text(Name, Value, Help)
        ->check(
            [Allowed, List](const std::string &Given) -> std::string {
              if (std::find(Allowed.begin(), Allowed.end(), Given) !=
                  Allowed.end())
                return {};
              return "value '" + Given + "' is not one of: " + List;
            },
            List)
        ->capture_default_str();
  }

  template <typename Number>
  void number(const std::string &Name, Number &Value, const std::string &Help,
              Number Least, Number Most) {
    const std::string Range = textOf(Least) + " to " + textOf(Most);
    this->named(Name, this->App.add_option("--" + Name, Value, Help))
        ->check(
            [Least, Most, Range](const std::string &Given) -> std::string {
              Number Parsed{};
              const char *End = Given.data() + Given.size();
              const auto Read = std::from_chars(Given.data(), End, Parsed);
              if (Read.ec == std::errc() && Read.ptr == End &&
                  Parsed >= Least && Parsed <= Most)
                return {};
              return "value '" + Given + "' is not a number from " + Range;
            },
            Range)
        ->capture_default_str();
  }

  void milliseconds(const std::string &Name, Milliseconds &Value,
                    const std::string &Help, std::int64_t Least,
                    std::int64_t Most) {
    auto Count = std::make_shared<std::int64_t>(Value.count());
    this->number(Name, *Count, Help, Least, Most);
    this->Conversions.emplace_back(
        [Count, &Value] { Value = Milliseconds(*Count); });
  }

  CLI::Option *address(const std::string &Name, SocketAddress &Value,
                       const std::string &Help) {
    auto Text =
        std::make_shared<std::string>(Value.Port == 0 ? "" : Value.toString());
    this->Conversions.emplace_back([Text, &Value] {
      if (!Text->empty())
        Value = SocketAddress::parse(*Text);
    });
    return this->checkAddress(this->text(Name, *Text, Help));
  }

  void addresses(const std::string &Name, std::vector<SocketAddress> &Values,
                 const std::string &Help) {
    auto Texts = std::make_shared<std::vector<std::string>>();
    CLI::Option *Added = this->App.add_option("--" + Name, *Texts, Help);
    this->checkAddress(this->named(Name, Added))->delimiter(',');
    this->Conversions.emplace_back([Texts, &Values] {
      for (const std::string &Each : *Texts)
        Values.push_back(SocketAddress::parse(Each));
    });
  }

  /// Converts the parsed texts and stores them in the settings.
  void convert() const {
    for (const auto &Each : this->Conversions)
      Each();
  }

private:
  template <typename Number> static std::string textOf(Number Value) {
    std::ostringstream Out;
    Out << Value;
    return Out.str();
  }

  static CLI::Option *named(const std::string &Name, CLI::Option *Added) {
    std::string Variable = "GALENAROUTE_";
    for (const char C : Name)
      Variable += C == '-' ? '_' : static_cast<char>(std::toupper(C));
    return Added->envname(Variable);
  }

  static CLI::Option *checkAddress(CLI::Option *Added) {
    return Added->check(
        [](const std::string &Given) -> std::string {
          try {
            SocketAddress::parse(Given);
            return {};
          } catch (const Error &) {
            return "value '" + Given +
                   "' is not IP:PORT with a port from 1 to 65535";
          }
        },
        "IP:PORT");
  }

  CLI::App &App;
  std::vector<std::function<void()>> Conversions;
};

void defineOptions(OptionTable &Table, DaemonSettings &Settings) {
  Table.address("listen", Settings.Listen, "Where callers connect")
      ->capture_default_str();
  Table.address("advertise", Settings.Advertise,
                "Address given to callers (default: --listen)");
  Table.address("peer-listen", Settings.PeerListen, "Where peers connect")
      ->capture_default_str();
  Table.address("peer-advertise", Settings.PeerAdvertise,
                "Address given to peers (default: --peer-listen)");
  Table.addresses("seeds", Settings.Seeds,
                  "Peer addresses to contact first, separated by commas");
  Table.address("platform", Settings.Platform, "Address of the platform")
      ->required();
  Table.text("zone", Settings.Zone, "Availability zone of this VM")
      ->required()
      ->check(
          [](const std::string &Given) -> std::string {
            return Given.empty() ? "value '' is empty; a zone name is needed"
                                 : "";
          },
          "NAME");
  Table.text("node-id", Settings.NodeId,
             "Name of this daemon (default: the advertised address)");
  Table.oneOf("routing-policy", Settings.RoutingPolicy,
              "How upstreams are chosen",
              {"expected-time", "random", "round-robin", "least-outstanding",
               "affinity"});
  Table.oneOf("log-level", Settings.LogLevel, "Least severe level to log",
              {"debug", "info", "warn", "error"});
  Table
      .text("operator-key-sha256", Settings.OperatorKeySha256,
            "SHA-256 in hex of the bearer key that drain and timeline require")
      ->check(
          [](const std::string &Given) -> std::string {
            if (Given.size() == 64 &&
                Given.find_first_not_of("0123456789abcdef") ==
                    std::string::npos)
              return {};
            return "value '" + Given +
                   "' is not 64 lower-case hexadecimal digits";
          },
          "HEX");
}

void defineLimits(OptionTable &Table, DaemonSettings &Settings) {
  const auto Size = [&](const std::string &Name, std::size_t &Value,
                        const std::string &Help, std::size_t Least,
                        std::size_t Most) {
    Table.number(Name, Value, Help, Least, Most);
  };
  Size("max-body-bytes", Settings.MaxBodyBytes, "Largest request body", 1024,
       256U << 20);
  Size("max-header-bytes", Settings.MaxHeaderBytes, "Largest request head",
       1024, 1U << 20);
  Size("max-answer-bytes", Settings.MaxAnswerBytes,
       "Largest answer that is not streamed", 1024, 256U << 20);
  Size("max-caller-buffer-bytes", Settings.MaxCallerBufferBytes,
       "Bytes buffered for a slow caller before its stream pauses", 4096,
       16U << 20);
  Size("max-open-requests", Settings.MaxOpenRequests,
       "Maximum number of open requests", 1, 100000);
  Size("timeline-events", Settings.TimelineEvents, "Events kept in memory", 16,
       1000000);
  Table.milliseconds("connect-timeout-ms", Settings.ConnectTimeout,
                     "Time to connect to an upstream", 10, 30000);
  Table.milliseconds("stall-timeout-ms", Settings.StallTimeout,
                     "Inactivity after which a new connection or another "
                     "upstream is tried",
                     50, 600000);
  Table.milliseconds("max-stream-ms", Settings.MaxStream,
                     "Longest streamed answer", 1000, 86400000);
  Table.milliseconds("max-caller-pause-ms", Settings.MaxCallerPause,
                     "Longest time for which a caller may not read", 100,
                     3600000);
  Table.milliseconds("linger-ms", Settings.Linger,
                     "How long a stream is kept after its caller disconnects",
                     0, 600000);
  Table.milliseconds("keep-ms", Settings.EntriesTtl,
                     "How long callers may cache a response of /v1/entries", 0,
                     600000);
  Table.number("max-sends", Settings.MaxSends,
               "Upstreams tried for one request", 1, 10);
  Table.number("retry-share", Settings.RetryShare, "Retries allowed per call",
               0.0, 1.0);
}

} // namespace

SettingsResult readSettings(std::span<const std::string> Arguments) {
  DaemonSettings Settings;
  CLI::App App("galenarouted: the galenaroute daemon", "galenarouted");
  OptionTable Table(App);
  defineOptions(Table, Settings);
  defineLimits(Table, Settings);
  try {
    // CLI11 expects the arguments in reverse order.
    App.parse(std::vector<std::string>(Arguments.rbegin(), Arguments.rend()));
  } catch (const CLI::ParseError &Failure) {
    std::ostringstream Out;
    const int Code = App.exit(Failure, Out, Out);
    return {std::nullopt, Code == 0 ? 0 : 2, Out.str()};
  }
  Table.convert();
  if (Settings.Advertise.Port == 0)
    Settings.Advertise = Settings.Listen;
  if (Settings.PeerAdvertise.Port == 0)
    Settings.PeerAdvertise = Settings.PeerListen;
  if (Settings.NodeId.empty())
    Settings.NodeId = Settings.Advertise.toString();
  return {Settings, 0, {}};
}

} // namespace galenaroute
