// Starts the daemons of a small deployment, with settings as DEPLOY.md shows
// them, and ends them.

#ifndef GALENAROUTE_REVIEW_STANDIN3_DAEMONS_H
#define GALENAROUTE_REVIEW_STANDIN3_DAEMONS_H

#include "Net.h"

#include <csignal>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

struct Daemon {
  std::string Node;
  std::string Host;
  std::string Zone;
  Address Store;
  pid_t Pid = -1;
};

/// Returns the second byte of loopback addresses whose ports are free.
inline int freeNetwork() {
  for (int Tried = 0; Tried < 100; ++Tried) {
    const int Network = 60 + (static_cast<int>(::getpid()) + Tried) % 100;
    bool IsFree = true;
    for (const int Port : {18002, 18005, 18009, 9464}) {
      const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int One = 1;
      ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
      const sockaddr_in At =
          Address{"127." + std::to_string(Network) + ".1.40", Port}.socket();
      IsFree &= ::bind(Socket, reinterpret_cast<const sockaddr *>(&At),
                       sizeof At) == 0;
      ::close(Socket);
    }
    if (IsFree)
      return Network;
  }
  std::exit(2);
}

class Daemons {
public:
  /// \p Network is the second byte of the addresses.
  Daemons(std::string Folder, std::string Program, int Network, int Count,
          const Address &Store)
      : Folder(std::move(Folder)), Program(std::move(Program)) {
    static const char *Zones[] = {"derwent", "wellington", "huon"};
    for (int I = 0; I < Count; ++I)
      All.push_back({std::string("front-") + Zones[I % 3] + "-" +
                         std::to_string(1 + I / 3),
                     "127." + std::to_string(Network) + "." +
                         std::to_string(1 + I % 3) + "." +
                         std::to_string(40 + I),
                     Zones[I % 3], Store});
  }
  ~Daemons() { killAll(); }

  std::vector<Daemon> All;

  Address front(std::size_t I) const { return {All[I].Host, 18005}; }
  Address ready(std::size_t I) const { return {All[I].Host, 18002}; }

  void start(std::size_t I) {
    Daemon &Of = All[I];
    const std::string Path = Folder + "/" + Of.Node + ".toml";
    std::string Seeds;
    for (std::size_t K = 0; K < All.size() && K < 3; ++K)
      Seeds += (K ? ",\"" : "\"") + All[K].Host + ":18000\"";
    std::ofstream(Path)
        << "node = \"" << Of.Node
        << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
           "serves = [\"front\",\"control\",\"directory\"]\nipAddr = \""
        << Of.Host << "\"\nzone = \"" << Of.Zone
        << "\"\nregion = \"tas-south\"\ninternalPorts = [17700,17715]\n"
           "seedAddrs = ["
        << Seeds
        << "]\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n"
           "entry = \"directory\"\nheartbeatMs = 1200\n"
           "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
           "\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\","
           "\"platform\"]\n[zones]\nderwent = \"tas-south\"\nwellington = "
           "\"tas-south\"\nhuon = \"tas-south\"\n[listen]\nfront = \""
        << Of.Host << ":18005\"\nready = \"" << Of.Host
        << ":18002\"\ncontrol = \"" << Of.Host << ":18000\"\ndirectory = \""
        << Of.Host
        << ":18009\"\n[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n"
           "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[tolerate]\nmachines "
           "= 2\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = "
           "2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n"
           "graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
           "rollbackSlackMs = 250\nskewMaxMs = 5000\nrevokeStrict = false\n"
           "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
           "budgetSlack = 54\nrecoveryS = 12\ntransitMs = 120\nreuseWindowS = "
           "20\nrequireFencing = false\nleaseMs = 3000\nthawSlackMs = 300\n"
           "versionMs = 15000\nversionAllMs = 21000\nttl_max_s = "
           "5\n[platform]\n"
           "address = \""
        << Of.Store.text()
        << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
           "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    const std::string Log = Folder + "/" + Of.Node + ".log";
    Of.Pid = ::fork();
    if (Of.Pid != 0)
      return;
    // No process stays behind if this one is ended.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::setenv("GALENAROUTE_SETTINGS", Path.c_str(), 1);
    ::execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  void signal(std::size_t I, int Number) {
    if (All[I].Pid > 0)
      ::kill(All[I].Pid, Number);
  }
  /// Returns whether the process has ended; takes note of it.
  bool hasEnded(std::size_t I) {
    if (All[I].Pid <= 0)
      return true;
    if (::waitpid(All[I].Pid, &LastStatus, WNOHANG) != All[I].Pid)
      return false;
    All[I].Pid = -1;
    return true;
  }
  void killAll() {
    for (std::size_t I = 0; I < All.size(); ++I)
      if (All[I].Pid > 0) {
        ::kill(All[I].Pid, SIGCONT);
        ::kill(All[I].Pid, SIGKILL);
        ::waitpid(All[I].Pid, nullptr, 0);
        All[I].Pid = -1;
      }
  }
  int LastStatus = 0;

private:
  std::string Folder;
  std::string Program;
};

} // namespace standin

#endif // GALENAROUTE_REVIEW_STANDIN3_DAEMONS_H
