// The interface to model engines.
//
// Engine is the one interface through which requests reach engines; HttpEngine
// speaks the HTTP protocol of design section 7.3.
//
//   auto Stream = Engines.generate(Address, Call, {.OnLine = ..., ...});
//
// Guarantees: OnEnd is called exactly once unless the stream is destroyed
// first, and then nothing is called any more; nothing is called inside
// generate() or resume(). Lines longer than MaxEngineLineBytes end the stream.

#ifndef GALENAROUTE_CONNECTION_ENGINE_H
#define GALENAROUTE_CONNECTION_ENGINE_H

#include "connection/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace galenaroute {

inline constexpr std::size_t MaxEngineLineBytes = 64 << 10;

/// One run to start.
struct EngineCall {
  std::string_view Attempt; ///< Chosen by the caller; 128 random bits in hex.
  std::string_view Customer;
  std::string_view Prompt;
  std::span<const std::string> BlockKeys; ///< Hex, in the order of the blocks.
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  int Priority = 0; ///< Higher values start first.
  std::string_view WeightVersion;
  std::string_view Adapter;
};

/// One line of an engine's answer.
struct EngineLine {
  std::string Attempt;
  bool IsDone = false;
  std::uint64_t Offset = 0; ///< In tokens; only for text.
  std::string Text;
  std::uint64_t Tokens = 0; ///< Of the whole answer; only when done.
  std::uint64_t CachedTokens = 0;
  std::string Finish;
};

/// Parses \p Text; returns nothing when it is not a line of the protocol.
std::optional<EngineLine> parseEngineLine(std::string_view Text);

/// Splits a byte stream into lines of bounded length.
class LineSplitter {
public:
  explicit LineSplitter(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Calls \p OnLine for each line that \p Bytes completes, without its end;
  /// empty lines are left out. Returns false when a line is too long.
  bool feed(std::string_view Bytes,
            const std::function<void(std::string_view)> &OnLine);

private:
  std::size_t MaxBytes;
  std::string Rest;
};

/// What is called as a stream goes on. All are needed.
struct EngineCallbacks {
  std::function<void(int Status)> OnHead;
  /// Nothing is passed for a line that cannot be parsed.
  std::function<void(std::optional<EngineLine> Line)> OnLine;
  std::function<void(const HttpResult &Result)> OnEnd;
};

/// A stream that is open. Destroying it closes the connection; it must not be
/// destroyed inside its own OnLine.
class EngineStream {
public:
  virtual ~EngineStream() = default;
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

class Engine {
public:
  virtual ~Engine() = default;

  /// Starts a run.
  [[nodiscard]] virtual std::unique_ptr<EngineStream>
  generate(const SocketAddress &To, const EngineCall &Call,
           EngineCallbacks Callbacks) = 0;

  /// Attaches to the run \p Attempt of \p Customer from \p Offset on, on a new
  /// connection.
  [[nodiscard]] virtual std::unique_ptr<EngineStream>
  resume(const SocketAddress &To, const std::string &Attempt,
         const std::string &Customer, std::uint64_t Offset,
         EngineCallbacks Callbacks) = 0;

  /// Ends a run that nobody waits for; a lost cancel only costs work.
  virtual void cancel(const SocketAddress &To, const std::string &Attempt) = 0;

  /// Lets a stream whose last line was read end by itself, so that its
  /// connection can be used again.
  virtual void finish(std::unique_ptr<EngineStream> Stream) = 0;
};

/// Engines over HTTP.
class HttpEngine : public Engine {
public:
  HttpEngine(EventLoop &Loop, HttpClient &Client, Duration ConnectTimeout);
  ~HttpEngine() override;

  std::unique_ptr<EngineStream> generate(const SocketAddress &To,
                                         const EngineCall &Call,
                                         EngineCallbacks Callbacks) override;
  std::unique_ptr<EngineStream> resume(const SocketAddress &To,
                                       const std::string &Attempt,
                                       const std::string &Customer,
                                       std::uint64_t Offset,
                                       EngineCallbacks Callbacks) override;
  void cancel(const SocketAddress &To, const std::string &Attempt) override;
  void finish(std::unique_ptr<EngineStream> Stream) override;

private:
  class Stream;
  struct FinishingStream {
    std::unique_ptr<EngineStream> Stream;
    sigc::connection Timer;
  };
  std::unique_ptr<EngineStream> start(HttpCall Call, EngineCallbacks Callbacks);

  EventLoop &Loop;
  HttpClient &Client;
  Duration ConnectTimeout;
  std::map<std::uint64_t, FinishingStream> Finishing;
  std::uint64_t NextFinishing = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_ENGINE_H
