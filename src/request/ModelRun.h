// Runs one prompt on model engines.
//
// The response is streamed or sent as a whole. A stream whose connection breaks
// is resumed, and a caller that reads slowly slows the engine down.

#ifndef GALENAROUTE_REQUEST_MODELRUN_H
#define GALENAROUTE_REQUEST_MODELRUN_H

#include "request/AnswerFormat.h"
#include "request/PromptRequest.h"
#include "request/RequestRun.h"

#include <optional>

namespace galenaroute {

class ModelRun : public RequestRun {
public:
  /// With \p From, resumes the stream after the last event that the caller has.
  ModelRun(RequestContext &Context, const RequestInfo &Info,
           PromptRequest Prompt, const std::optional<ResumePoint> &From);
  ~ModelRun() override;

private:
  void execute(const AttemptAction &Action) override;
  void send(const AttemptAction &Action);
  void resume(const AttemptAction &Action);
  EngineCallbacks callbacks(std::uint64_t Connection);
  void onLine(std::uint64_t Connection, std::optional<EngineLine> Line);
  void close(std::uint64_t Connection);
  /// Closes the streams that have ended or are replaced; silent ones stay open.
  void closeReplaced();
  void sendText(const AttemptAction &Action);
  void finish(const AttemptAction &Action);
  void checkBuffer();

  PromptRequest Prompt;
  AnswerHead Head;
  AnswerEnd End;
  /// By connection; all but the last one are silent.
  std::map<std::uint64_t, std::unique_ptr<EngineStream>> Streams;
  DispatchTicket Ticket;
  TimePoint LastTokenAt{};
  // Streams must outlive their own callbacks, so closed ones are destroyed from
  // the event loop.
  std::vector<std::unique_ptr<EngineStream>> Closed;
  sigc::connection ClosedTimer;
  sigc::connection BufferTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_MODELRUN_H
