#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

/// The platform starts a process again after a short delay.
static constexpr std::int64_t RestartDelayMs = 500;

Fleet::Fleet(FleetSettings Given, Record &Log)
    : Settings(std::move(Given)), Log(Log),
      Port(21000 + static_cast<int>(getpid() % 4000) * 8) {
  this->Gateways.resize(static_cast<std::size_t>(this->Settings.Count));
  for (int I = 0; I < this->Settings.Count; ++I)
    this->start(I);
  this->Watching = std::thread([this] { this->watch(); });
}

Fleet::~Fleet() {
  this->Stopping = true;
  this->Watching.join();
  for (const Gateway &Each : this->Gateways)
    if (Each.Id > 0)
      ::kill(Each.Id, SIGKILL);
  for (const Gateway &Each : this->Gateways)
    if (Each.Id > 0)
      ::waitpid(Each.Id, nullptr, 0);
}

Address Fleet::at(int Index, int UsedPort) const {
  return {this->Settings.Network + std::to_string(10 + Index), UsedPort};
}

static std::string zoneOf(int Index) {
  return "pnw-" + std::string(1, static_cast<char>('a' + Index % 3));
}

void Fleet::killAll(std::int64_t DownMs) {
  const std::lock_guard Guard(this->Lock);
  for (Gateway &Each : this->Gateways) {
    if (Each.Id < 0)
      continue;
    Each.IsKilledByCase = true;
    Each.DownMs = DownMs;
    ::kill(Each.Id, SIGKILL);
  }
  this->Log.note("platform: all gateways are killed");
}

void Fleet::writeSettings(int Index) const {
  const std::string Host = this->at(Index, 0).Host;
  const auto Listen = [&](int Offset) {
    return "\"" + this->at(Index, this->Port + Offset).text() + "\"";
  };
  std::string Seeds;
  for (int I = 0; I < std::min(3, this->Settings.Count); ++I)
    Seeds += (I ? ",\"" : "\"") + this->at(I, this->Port + 1).text() + "\"";
  const std::string Zone = zoneOf(Index);
  std::ofstream(this->Settings.Folder + "/gateway" + std::to_string(Index) +
                ".toml")
      << "node = \"front-" << Zone << "-" << Index << "\"\n"
      << "role = \"entry\"\nmachineClass = \"front\"\n"
      << "serves = [\"front\",\"control\",\"directory\"]\n"
      << "ipAddr = \"" << Host << "\"\nzone = \"" << Zone
      << "\"\nregion = \"pnw\"\ninternalPorts = [" << this->Port + 4 << ","
      << this->Port + 7 << "]\nseedAddrs = [" << Seeds
      << "]\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n"
         "entry = \"directory\"\nheartbeatMs = 1200\n"
         "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\","
         "\"platform\"]\n"
         "[zones]\npnw-a = \"pnw\"\npnw-b = \"pnw\"\npnw-c = \"pnw\"\n"
      << "[listen]\nfront = " << Listen(0) << "\ncontrol = " << Listen(1)
      << "\nready = " << Listen(2) << "\ndirectory = " << Listen(3)
      << "\n[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = "
      << this->Settings.MemoryMb
      << "\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n"
         "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
         "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
         "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
         "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
         "skewMaxMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\n"
         "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 52\n"
         "recoveryS = 12\ntransitMs = 120\nreuseWindowS = 20\n"
         "requireFencing = false\nleaseMs = 3000\nthawSlackMs = 300\n"
         "versionMs = 12000\nversionAllMs = 17000\nttl_max_s = 5\n"
      << "[platform]\naddress = \"" << this->Settings.Store.text()
      << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
         "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
}

void Fleet::start(int Index) {
  this->writeSettings(Index);
  const std::string Base =
      this->Settings.Folder + "/gateway" + std::to_string(Index);
  const std::string Variable = "GALENAROUTE_SETTINGS=" + Base + ".toml";
  const std::string LogPath = Base + ".log";
  Gateway &Started = this->Gateways[static_cast<std::size_t>(Index)];
  Started.IsKilledForMemory = false;
  const pid_t Parent = getpid();
  const pid_t Child = ::fork();
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Parent || ::chdir(this->Settings.Root.c_str()) != 0)
      _exit(126);
    const int Output =
        ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    const char *Path = std::getenv("PATH");
    const std::string PathVariable =
        std::string("PATH=") + (Path ? Path : "/usr/bin:/bin");
    const char *Arguments[] = {this->Settings.Program.c_str(), nullptr};
    const char *Environment[] = {Variable.c_str(), PathVariable.c_str(),
                                 nullptr};
    ::execve(Arguments[0], const_cast<char **>(Arguments),
             const_cast<char **>(Environment));
    _exit(127);
  }
  Started.Id = Child;
  this->Log.line("platform: gateway " + std::to_string(Index) + " starts");
}

/// Returns the most memory that the process has had so far, so that no peak
/// between two looks is missed.
static int peakResidentMb(pid_t Id) {
  std::ifstream File("/proc/" + std::to_string(Id) + "/status");
  std::string Word;
  while (File >> Word)
    if (Word == "VmHWM:") {
      long Kilobytes = 0;
      File >> Kilobytes;
      return static_cast<int>(Kilobytes >> 10);
    }
  return 0;
}

/// Starts again what has ended, and kills what uses too much memory.
void Fleet::watch() {
  while (!this->Stopping) {
    {
      const std::lock_guard Guard(this->Lock);
      for (int I = 0; I < this->Settings.Count; ++I) {
        Gateway &Each = this->Gateways[static_cast<std::size_t>(I)];
        if (Each.Id < 0) {
          if (nowMs() >= Each.RestartAt)
            this->start(I);
          continue;
        }
        const int UsedMb = peakResidentMb(Each.Id);
        Each.PeakMb = std::max(Each.PeakMb, UsedMb);
        if (UsedMb > this->Settings.MemoryMb && !Each.IsKilledForMemory) {
          this->Log.note("platform: gateway " + std::to_string(I) + " uses " +
                         std::to_string(UsedMb) + " MB of " +
                         std::to_string(this->Settings.MemoryMb) +
                         " and is killed");
          Each.IsKilledForMemory = true;
          ::kill(Each.Id, SIGKILL);
        }
        int Status = 0;
        if (::waitpid(Each.Id, &Status, WNOHANG) != Each.Id)
          continue;
        Each.Ends += !std::exchange(Each.IsKilledByCase, false);
        this->Log.note(
            "platform: gateway " + std::to_string(I) + " has ended, " +
            (WIFSIGNALED(Status)
                 ? "signal " + std::to_string(WTERMSIG(Status))
                 : "exit code " + std::to_string(WEXITSTATUS(Status))) +
            ", end " + std::to_string(Each.Ends));
        Each.Id = -1;
        Each.RestartAt =
            nowMs() + std::max(RestartDelayMs, std::exchange(Each.DownMs, 0));
      }
    }
    sleepMs(10);
  }
}

bool Fleet::isReady(int Index) const {
  const int Socket =
      Connection::connectTo(this->at(Index, this->Port + 2), 500);
  if (Socket < 0)
    return false;
  Connection Open(Socket);
  Message Answer;
  return Open.write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                    nowMs() + 500) &&
         Open.readResponse(Answer, nowMs() + 500) == ReadEnd::Whole &&
         Answer.status() == 200;
}

bool Fleet::waitUntilReady(std::int64_t ForMs) const {
  const std::int64_t Until = nowMs() + ForMs;
  for (int I = 0; I < this->Settings.Count; ++I)
    while (!this->isReady(I)) {
      if (nowMs() > Until)
        return false;
      sleepMs(50);
    }
  return true;
}

int Fleet::ends(int Index) {
  const std::lock_guard Guard(this->Lock);
  return this->Gateways[static_cast<std::size_t>(Index)].Ends;
}

int Fleet::peakMb(int Index) {
  const std::lock_guard Guard(this->Lock);
  return this->Gateways[static_cast<std::size_t>(Index)].PeakMb;
}

} // namespace review
