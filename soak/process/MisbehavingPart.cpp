#include "Parts.h"

#include "Journal.h"
#include "PollLoop.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <unistd.h>
#include <utility>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

static constexpr Duration TurnPeriod = 10ms;
/// A daemon that takes no connection may be starting.
static constexpr Duration RetryDelay = 200ms;
static constexpr std::uint64_t LeastOpenMs = 1000;
static constexpr std::uint64_t MostOpenMs = 8000;
/// Below the limits of the configurations.
static constexpr std::size_t MostBodyBytes = 1 << 20;
static constexpr std::size_t MostHeadBytes = 16000;
static constexpr std::size_t ChunkBytes = 1024;
/// Pipelined requests that are written at a time.
static constexpr int PipelinedAtOnce = 50;
static constexpr std::size_t SlowestPiece = 1;
static constexpr std::size_t FastestPiece = 20;

namespace {

enum class Misbehavior {
  ShortBody,    ///< A body of legal size that stops short of its end.
  UnreadAnswer, ///< Pipelined requests whose answers are not read.
  ManyFields,   ///< A head of legal size with very many short fields.
  SlowSender,   ///< A few bytes at a time.
};

constexpr std::array Names = {"short_body", "unread_answer", "many_fields",
                              "slow_sender"};

/// Opens one connection at a drawn time and keeps it for a drawn time.
class MisbehavingClient {
public:
  MisbehavingClient(PollLoop &Loop, const Journal &Log,
                    const PartOptions &Options, std::size_t Index)
      : Loop(Loop), Log(Log), Options(Options), Random(Options.Seed + Index),
        Name(Options.Prefix + "." + std::to_string(Index)),
        Kind(static_cast<Misbehavior>(Index % Names.size())),
        Daemon(this->drawn(0, Options.Daemons.size() - 1)) {
    const Duration Begin = Milliseconds(
        this->drawn(0, static_cast<std::uint64_t>(Options.LengthMs)));
    this->ClosesAt = Clock::now() + Begin +
                     Milliseconds(this->drawn(LeastOpenMs, MostOpenMs));
    this->Loop.after(Begin, [this] { this->open(); });
  }
  ~MisbehavingClient() { this->disconnect(); }
  MisbehavingClient(const MisbehavingClient &) = delete;
  MisbehavingClient &operator=(const MisbehavingClient &) = delete;

private:
  std::uint64_t drawn(std::uint64_t Least, std::uint64_t Most) {
    return Least + this->Random() % (Most - Least + 1);
  }

  void open() {
    this->Socket = connectTo(this->Options.Daemons[this->Daemon]);
    this->HasWritten = false;
    this->Out = this->Kind == Misbehavior::UnreadAnswer ? "" : this->text();
    this->turn();
  }

  void turn() {
    const bool IsOver = Clock::now() >= this->ClosesAt;
    if (this->Socket >= 0 && !IsOver && this->act()) {
      this->Loop.after(TurnPeriod, [this] { this->turn(); });
      return;
    }
    this->disconnect();
    if (!IsOver && !this->HasWritten)
      this->Loop.after(RetryDelay, [this] { this->open(); });
    else
      this->Log.write("closed", this->Name, IsOver ? "by client" : "by daemon");
  }

  /// Sends and reads what is due; returns whether the connection is intact.
  bool act() {
    const bool IsSlow = this->Kind == Misbehavior::SlowSender;
    if (this->Kind == Misbehavior::UnreadAnswer && this->Out.empty())
      for (int I = 0; I < PipelinedAtOnce; ++I)
        this->Out += this->withLength(this->head(), 4) + "body";
    std::string Ignored;
    if (IsSlow && readAll(this->Socket, Ignored) == ReadResult::Closed)
      return false;
    if (this->Out.empty())
      return true;
    const std::size_t Count =
        IsSlow ? std::min<std::size_t>(this->drawn(SlowestPiece, FastestPiece),
                                       this->Out.size())
               : this->Out.size();
    std::string Piece = this->Out.substr(0, Count);
    if (!writeSome(this->Socket, Piece))
      return false;
    const std::size_t Written = Count - Piece.size();
    this->Out.erase(0, Written);
    if (Written > 0 && !std::exchange(this->HasWritten, true))
      this->Log.write(
          "opened", this->Name,
          std::string(Names.at(static_cast<std::size_t>(this->Kind))) + " " +
              std::to_string(this->Daemon));
    return true;
  }

  /// Returns a head without its empty line, of half of the clients at a path
  /// without a route.
  std::string head() {
    const char *Path =
        this->Kind != Misbehavior::UnreadAnswer && this->drawn(0, 1) == 0
            ? "/nowhere/a"
            : "/safe/a";
    return std::string("POST ") + Path +
           " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + this->Name + "." +
           std::to_string(++this->LastCall) + "\r\n";
  }

  static std::string withLength(const std::string &Head, std::size_t Bytes) {
    return Head + "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
  }

  /// Returns all that a client sends which does not pipeline.
  std::string text() {
    std::string Text = this->head();
    if (this->Kind == Misbehavior::ManyFields) {
      const std::size_t Bytes = this->drawn(MostHeadBytes / 16, MostHeadBytes);
      while (Text.size() < Bytes)
        Text += "a:b\r\n";
      return this->withLength(Text, 4) + "bod";
    }
    const std::size_t Bytes =
        this->Kind == Misbehavior::SlowSender
            ? this->drawn(ChunkBytes, 4 * ChunkBytes)
            : this->drawn(MostBodyBytes / 16, MostBodyBytes);
    if (this->drawn(0, 1) == 0)
      return this->withLength(Text, Bytes) + std::string(Bytes - 1, 'b');
    Text += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t Sent = ChunkBytes; Sent < Bytes; Sent += ChunkBytes)
      Text += "400\r\n" + std::string(ChunkBytes, 'c') + "\r\n";
    return Text;
  }

  void disconnect() {
    if (this->Socket >= 0)
      close(std::exchange(this->Socket, -1));
  }

  PollLoop &Loop;
  const Journal &Log;
  const PartOptions &Options;
  std::mt19937_64 Random;
  std::string Name;
  Misbehavior Kind;
  std::size_t Daemon;
  TimePoint ClosesAt;
  int Socket = -1; ///< Not watched, since its bytes stay unread.
  bool HasWritten = false;
  std::uint64_t LastCall = 0;
  std::string Out;
};

} // namespace

void runMisbehaving(const PartOptions &Options) {
  catchTermination();
  const Journal Log(Options.JournalPath);
  PollLoop Loop;
  std::vector<std::unique_ptr<MisbehavingClient>> Clients;
  for (std::size_t I = 0; I < Options.Count; ++I)
    Clients.push_back(
        std::make_unique<MisbehavingClient>(Loop, Log, Options, I));
  Loop.run([] { return isTerminated(); });
}

} // namespace galenaroute::process_soak
