#include "KvTransfer.h"

#include "process/ErrorKind.h"

namespace galenaroute::emulator {

using nlohmann::json;

namespace {
constexpr std::size_t MaxKeysPerCall = 4096;
constexpr auto StoreTimeout = std::chrono::seconds(30);
} // namespace

std::string blockContent(const std::string &Key, const BlockOrigin &Origin,
                         std::size_t Size) {
  const json Head = {{"key", Key},
                     {"customer", Origin.Customer},
                     {"weight_version", Origin.WeightVersion},
                     {"adapter", Origin.Adapter},
                     {"prefix_hash", Origin.PrefixHash}};
  std::string Result =
      Head.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  while (Result.size() < Size && !Key.empty())
    Result.append(Key, 0, Size - Result.size());
  return Result;
}

std::optional<BlockOrigin> blockOrigin(const std::string &Key,
                                       std::string_view Content) {
  const json Head = json::parse(Content.substr(0, Content.find('\n')), nullptr,
                                /*allow_exceptions=*/false);
  try {
    if (Head.at("key").get<std::string>() != Key)
      return std::nullopt;
    return BlockOrigin{Head.at("customer"), Head.at("weight_version"),
                       Head.at("adapter"), Head.at("prefix_hash")};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

KvTransfer::KvTransfer(EventLoop &Loop, HttpClient &Client, PrefixCache &Cache,
                       VersionSource Version, double LinkMbps,
                       std::size_t BlockBytes)
    : Loop(Loop), Client(Client), Cache(Cache), Version(std::move(Version)),
      Link(LinkMbps), BlockBytes(BlockBytes) {}

KvTransfer::~KvTransfer() { *this->Alive = false; }

void KvTransfer::later(Duration Delay, std::function<void()> Action) {
  this->Loop.timers().after(Delay,
                            [Alive = this->Alive, Action = std::move(Action)] {
                              if (*Alive)
                                Action();
                            });
}

KvTransfer::JobPtr KvTransfer::makeJob(const json &Body,
                                       const ReplyPtr &Reply) {
  auto Work = std::make_shared<Job>();
  Work->Store = SocketAddress::parse(Body.at("store").get<std::string>());
  Work->Keys = Body.at("keys").get<std::vector<std::string>>();
  if (Work->Keys.size() > MaxKeysPerCall)
    throw Error(ErrorKind::TooLarge, "too many keys");
  Work->Reply = Reply;
  return Work;
}

void KvTransfer::exportBlocks(const json &Body, const ReplyPtr &Reply) {
  const JobPtr Work = makeJob(Body, Reply);
  Work->Result = {{"exported", json::array()},
                  {"missing", json::array()},
                  {"failed", json::array()},
                  {"bytes", 0}};
  this->exportNext(Work);
}

void KvTransfer::exportNext(const JobPtr &Work) {
  const BlockOrigin *Origin = nullptr;
  while (Work->Next < Work->Keys.size()) {
    Origin = this->Cache.find(Work->Keys[Work->Next]);
    if (Origin)
      break;
    Work->Result["missing"].push_back(Work->Keys[Work->Next++]);
  }
  if (!Origin) {
    sendJson(*Work->Reply, 200, Work->Result);
    return;
  }
  const std::string Key = Work->Keys[Work->Next++];
  std::string Content = blockContent(Key, *Origin, this->BlockBytes);
  const Duration Delay = this->Link.transfer(Content.size(), EventLoop::now());
  this->later(Delay, [this, Work, Key, Content = std::move(Content)] {
    HttpCall Call =
        HttpCallBuilder(Work->Store)
            .put("/v1/blocks/" + percentEncode(Key), Content)
            .header("X-Length", std::to_string(Content.size()))
            .header("X-Digest", sha256Hex(Content))
            .header("X-Generation", std::to_string(++this->Generation))
            .idleTimeout(StoreTimeout)
            .build();
    const std::size_t Size = Content.size();
    this->Client.startDetached(std::move(Call), [this, Alive = this->Alive,
                                                 Work, Key, Size](
                                                    const HttpResult &Result) {
      if (!*Alive)
        return;
      Work->Result[Result.isSuccess() ? "exported" : "failed"].push_back(Key);
      if (Result.isSuccess())
        Work->Result["bytes"] = Work->Result["bytes"].get<std::size_t>() + Size;
      this->exportNext(Work);
    });
  });
}

void KvTransfer::importBlocks(const json &Body, const ReplyPtr &Reply) {
  const JobPtr Work = makeJob(Body, Reply);
  Work->Result = {{"imported", json::array()},
                  {"missing", json::array()},
                  {"bad", json::array()},
                  {"bytes", 0}};
  this->importNext(Work);
}

void KvTransfer::importNext(const JobPtr &Work) {
  if (Work->Next == Work->Keys.size()) {
    sendJson(*Work->Reply, 200, Work->Result);
    return;
  }
  const std::string Key = Work->Keys[Work->Next++];
  HttpCall Call = HttpCallBuilder(Work->Store)
                      .get("/v1/blocks/" + percentEncode(Key))
                      .idleTimeout(StoreTimeout)
                      .build();
  this->Client.startDetached(std::move(Call), [this, Alive = this->Alive, Work,
                                               Key](const HttpResult &Result) {
    if (!*Alive)
      return;
    if (!Result.isSuccess()) {
      Work->Result["missing"].push_back(Key);
      this->importNext(Work);
      return;
    }
    const Duration Delay =
        this->Link.transfer(Result.Body.size(), EventLoop::now());
    this->later(Delay, [this, Work, Key, Result] {
      const bool IsGood = this->accept(Key, Result);
      Work->Result[IsGood ? "imported" : "bad"].push_back(Key);
      Work->Result["bytes"] =
          Work->Result["bytes"].get<std::size_t>() + Result.Body.size();
      this->importNext(Work);
    });
  });
}

bool KvTransfer::accept(const std::string &Key, const HttpResult &Result) {
  const auto Digest = Result.Headers.find("X-Digest");
  const auto Length = Result.Headers.find("X-Length");
  const std::optional<BlockOrigin> Origin = blockOrigin(Key, Result.Body);
  if (!Digest || !Length || !Result.Headers.find("X-Generation") || !Origin ||
      *Length != std::to_string(Result.Body.size()) ||
      *Digest != sha256Hex(Result.Body) ||
      Origin->WeightVersion != this->Version()) {
    ++this->BadBlocks;
    return false;
  }
  this->Cache.add(Key, *Origin, EventLoop::now());
  return true;
}

} // namespace galenaroute::emulator
