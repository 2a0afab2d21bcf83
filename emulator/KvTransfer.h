// Moves KV cache blocks between an engine and store VMs over the engine's
// limited link.
//
// A block's content begins with a line of JSON that says what it was computed
// from, so that a reader of a wrong block is found out, and is filled up to
// the block size. An import checks length and digest against the headers and
// the key against the content; a block that fails is not added.

#ifndef GALENAROUTE_EMULATOR_KVTRANSFER_H
#define GALENAROUTE_EMULATOR_KVTRANSFER_H

#include "Emulator.h"
#include "LimitedLink.h"
#include "PrefixCache.h"

#include "connection/HttpClient.h"

namespace galenaroute::emulator {

class KvTransfer {
public:
  /// Returns the weight version in place, whose blocks alone are imported.
  using VersionSource = std::function<std::string()>;

  KvTransfer(EventLoop &Loop, HttpClient &Client, PrefixCache &Cache,
             VersionSource Version, double LinkMbps, std::size_t BlockBytes);
  ~KvTransfer();
  KvTransfer(const KvTransfer &) = delete;
  KvTransfer &operator=(const KvTransfer &) = delete;

  /// Sends the blocks named in \p Body, `{"store","keys"}`, and then answers
  /// `{"exported":[keys],"missing":[keys],"failed":[keys],"bytes"}`.
  void exportBlocks(const nlohmann::json &Body, const ReplyPtr &Reply);

  /// Fetches the blocks named in \p Body and then answers
  /// `{"imported":[keys],"missing":[keys],"bad":[keys],"bytes"}`.
  void importBlocks(const nlohmann::json &Body, const ReplyPtr &Reply);

  LimitedLink &link() { return this->Link; }
  std::uint64_t badBlocks() const { return this->BadBlocks; }

private:
  struct Job {
    SocketAddress Store;
    std::vector<std::string> Keys;
    std::size_t Next = 0;
    ReplyPtr Reply;
    nlohmann::json Result;
  };
  using JobPtr = std::shared_ptr<Job>;

  static JobPtr makeJob(const nlohmann::json &Body, const ReplyPtr &Reply);
  void exportNext(const JobPtr &Work);
  void importNext(const JobPtr &Work);
  bool accept(const std::string &Key, const HttpResult &Result);
  void later(Duration Delay, std::function<void()> Action);

  EventLoop &Loop;
  HttpClient &Client;
  PrefixCache &Cache;
  VersionSource Version;
  LimitedLink Link;
  std::size_t BlockBytes;
  std::uint64_t Generation = 0; ///< Of the last block written.
  std::uint64_t BadBlocks = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// Returns the content of the block \p Key, \p Size bytes long.
std::string blockContent(const std::string &Key, const BlockOrigin &Origin,
                         std::size_t Size);

/// Returns the origin in \p Content if it is the block \p Key.
std::optional<BlockOrigin> blockOrigin(const std::string &Key,
                                       std::string_view Content);

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_KVTRANSFER_H
