#include "Fleet.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

void pause(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {
  if (!File)
    throw std::runtime_error("cannot write " + Path);
}

Record::~Record() { std::fclose(File); }

std::int64_t Record::now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(Mutex);
  std::fprintf(File, "%9.3f %s\n", static_cast<double>(now()) / 1000,
               Text.c_str());
  std::fflush(File);
}

Address Store::addDoor(const std::string &Host) {
  Doors.push_back(std::make_unique<Door>());
  Door &Next = *Doors.back();
  Next.Listener.start(Host,
                      [this, &Next](const Message &Request, Stream &Peer) {
                        return this->onCall(Next, Request, Peer);
                      });
  return Next.Listener.address();
}

void Store::setSilent(std::size_t Index, bool Enabled) {
  Doors[Index]->IsSilent = Enabled;
  Changed.notify_all();
}

void Store::put(const std::string &Kind, const std::string &Name,
                const json &Spec) {
  const std::lock_guard Lock(Mutex);
  putLocked(Kind, Name, Spec);
}

void Store::putLocked(const std::string &Kind, const std::string &Name,
                      const json &Spec) {
  Objects[Kind][Name] = {++Revision, Spec.is_null(), Spec};
  Changed.notify_all();
}

json Store::objectOf(const std::string &Name, const Object &Of) const {
  return {{"metadata",
           {{"name", Name},
            {"revision", Of.Revision},
            {"created", 1},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", Of.Spec},
          {"status", nullptr}};
}

bool Store::onCall(Door &At, const Message &Request, Stream &Peer) {
  std::pair<int, json> Result;
  if (!At.IsSilent)
    Result = carryOut(Request);
  // What is on its way when the door falls silent does not arrive.
  if (At.IsSilent)
    Result = {};
  if (Result.first == 0) {
    while (!Peer.isClosed()) {
      pause(20);
      const std::lock_guard Lock(Mutex);
      if (IsStopping)
        return false;
    }
    return false;
  }
  pause(2);
  return answer(Peer, Result.first, {{"Content-Type", "application/json"}},
                Result.second.dump());
}

std::pair<int, json> Store::list(const std::string &Kind,
                                 const Message &Request) {
  std::unique_lock Lock(Mutex);
  const std::string Watch = Request.query("watch");
  if (Watch.empty()) {
    json Items = json::array();
    for (const auto &[Name, Each] : Objects[Kind])
      if (!Each.IsDeleted)
        Items.push_back(objectOf(Name, Each));
    return {200, {{"items", Items}, {"hasMore", false}, {"asOf", Revision}}};
  }
  const std::uint64_t Since = std::stoull(Watch);
  json Events = json::array();
  const auto Collect = [&] {
    for (const auto &[Name, Each] : Objects[Kind])
      if (Each.Revision > Since)
        Events.push_back(
            {{"deleted", Each.IsDeleted}, {"object", objectOf(Name, Each)}});
    return IsStopping || !Events.empty();
  };
  Changed.wait_for(
      Lock,
      std::chrono::milliseconds(std::atoi(Request.query("waitMs").c_str())),
      Collect);
  return {200, {{"events", Events}, {"asOf", Revision}}};
}

std::pair<int, json> Store::carryOut(const Message &Request) {
  static const std::string Prefix = "/api/objects/";
  const std::string Path = Request.path();
  if (Path.rfind(Prefix, 0) != 0)
    return {404, json::object()};
  const std::string Rest = Path.substr(Prefix.size());
  const std::size_t Slash = Rest.find('/');
  const std::string Kind = Rest.substr(0, Slash);
  if (Slash == std::string::npos && Request.Method == "GET")
    return list(Kind, Request);
  const std::lock_guard Lock(Mutex);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Request.Method == "GET") {
    const auto Found = Objects[Kind].find(Name);
    if (Found == Objects[Kind].end() || Found->second.IsDeleted)
      return {404, json::object()};
    return {200, objectOf(Name, Found->second)};
  }
  const bool IsDelete = Request.Method == "DELETE";
  const json Body = IsDelete ? json::object() : json::parse(Request.Body);
  json Condition;
  if (IsDelete && !Request.query("revision").empty())
    Condition = std::stoull(Request.query("revision"));
  else if (!IsDelete)
    Condition = Body.at("metadata").value("revision", json());
  if (Name.empty())
    Name = Body.at("metadata").at("name");
  const auto Found = Objects[Kind].find(Name);
  const bool Exists = Found != Objects[Kind].end() && !Found->second.IsDeleted;
  if (Request.Method == "POST" ? Exists
                               : (Exists && !Condition.is_null() &&
                                  Condition != Found->second.Revision))
    return {409, objectOf(Name, Found->second)};
  if (Request.Method != "POST" && !Exists)
    return {404, json::object()};
  putLocked(Kind, Name, IsDelete ? json() : Body.at("spec"));
  Log.line("store: " + Request.Method + " " + Kind + "/" + Name + " " +
           (IsDelete ? std::string() : Body.at("spec").dump().substr(0, 120)));
  return {200, objectOf(Name, Objects[Kind][Name])};
}

void Store::stop() {
  {
    const std::lock_guard Lock(Mutex);
    IsStopping = true;
  }
  Changed.notify_all();
  for (const auto &Each : Doors)
    Each->Listener.stop();
}

Daemons::Daemons(std::string Program, std::string Folder, std::size_t Count,
                 Store &Platform, Record &Log)
    : Program(std::move(Program)), Folder(std::move(Folder)), Count(Count),
      Log(Log), Network(64 + ::getpid() % 128), Pids(Count, 0) {
  choosePorts();
  std::string Seeds;
  for (std::size_t I = 0; I < std::min<std::size_t>(Count, 3); ++I)
    Seeds +=
        (I ? ",\"" : "\"") + host(I) + ":" + std::to_string(Ports[3]) + "\"";
  for (std::size_t I = 0; I < Count; ++I) {
    const Address StoreAt = Platform.addDoor(host(I));
    const std::string Zone = "zone-" + std::to_string(I % 3);
    const auto Listen = [&](int Which) {
      return "\"" + Address{host(I), Ports[Which]}.text() + "\"\n";
    };
    Settings.push_back(this->Folder + "/settings-" + std::to_string(I) +
                       ".toml");
    std::ofstream(Settings.back())
        << "node = \"front-" << I << "\"\nrole = \"entry\"\n"
        << "machineClass = \"front\"\nserves = [\"front\",\"control\","
        << "\"directory\"]\nipAddr = \"" << host(I) << "\"\nzone = \"" << Zone
        << "\"\nregion = \"tas-south\"\ninternalPorts = [" << Ports[4] << ","
        << Ports[4] + 15 << "]\nseedAddrs = [" << Seeds
        << "]\nbootstrap = true\nlossCounts = false\n"
        << "discovery = \"platform\"\nentry = \"directory\"\n"
        << "heartbeatMs = 1200\n[zones]\nzone-0 = \"tas-south\"\n"
        << "zone-1 = \"tas-south\"\nzone-2 = \"tas-south\"\n[listen]\nfront = "
        << Listen(0) << "ready = " << Listen(1) << "directory = " << Listen(2)
        << "control = " << Listen(3)
        << "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n"
        << "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[bounds]\n"
        << "seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n"
        << "drainMs = 2000\ngraceS = 8\nconfigApplyMs = 2000\n"
        << "skewMaxMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
        << "budgetSlack = 54\nrecoveryS = 12\nrequireFencing = false\n"
        << "leaseMs = 3000\nthawSlackMs = 300\nversionMs = 15000\n"
        << "versionAllMs = 21000\nttl_max_s = 5\n[platform]\naddress = \""
        << StoreAt.text() << "\"\nform = \"objects\"\nwritesPerS = 400\n"
        << "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n";
  }
}

/// Chooses ports that are free and the same on all machines, below those that
/// the kernel gives to other sockets.
void Daemons::choosePorts() {
  int Next = 20000 + ::getpid() % 8000;
  for (int &Each : Ports) {
    const auto IsFreeOnAll = [&] {
      for (std::size_t I = 0; I < Count; ++I)
        if (!isFree({host(I), Next}))
          return false;
      return true;
    };
    while (!IsFreeOnAll())
      ++Next;
    Each = Next;
    Next += 20;
  }
}

Daemons::~Daemons() {
  for (std::size_t I = 0; I < Count; ++I)
    if (isRunning(I)) {
      signal(I, SIGKILL);
      wait(I, 2000);
    }
}

std::string Daemons::host(std::size_t Index) const {
  return "127." + std::to_string(Network) + ".7." + std::to_string(Index + 1);
}

void Daemons::start(std::size_t Index) {
  const std::string Output =
      Folder + "/daemon-" + std::to_string(Index) + ".log";
  const int Pid = ::fork();
  if (Pid == 0) {
    // It ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File =
        ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(File, 1);
    ::dup2(File, 2);
    const std::string Variable = "GALENAROUTE_SETTINGS=" + Settings[Index];
    char *const Arguments[] = {Program.data(), nullptr};
    char *const Environment[] = {const_cast<char *>(Variable.c_str()), nullptr};
    ::execve(Program.c_str(), Arguments, Environment);
    ::_exit(127);
  }
  Pids[Index] = Pid;
  Log.line("daemon front-" + std::to_string(Index) + " started at " +
           callers(Index).text());
}

void Daemons::signal(std::size_t Index, int Number) {
  if (Pids[Index] > 0)
    ::kill(Pids[Index], Number);
  Log.line("daemon front-" + std::to_string(Index) + " gets signal " +
           std::to_string(Number));
}

bool Daemons::isRunning(std::size_t Index) {
  if (Pids[Index] == 0)
    return false;
  if (::waitpid(Pids[Index], nullptr, WNOHANG) != Pids[Index])
    return true;
  Log.line("daemon front-" + std::to_string(Index) + " has ended");
  Pids[Index] = 0;
  return false;
}

void Daemons::wait(std::size_t Index, int LimitMs) {
  for (int I = 0; I < LimitMs / 10; ++I) {
    if (!isRunning(Index))
      return;
    pause(10);
  }
  signal(Index, SIGKILL);
  ::waitpid(Pids[Index], nullptr, 0);
  Pids[Index] = 0;
}

long Daemons::peakKb(std::size_t Index) const {
  std::ifstream Status("/proc/" + std::to_string(Pids[Index]) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind("VmHWM:", 0) == 0)
      return std::atol(Line.c_str() + 6);
  return 0;
}

bool Daemons::isReady(std::size_t Index) const {
  return call({host(Index), Ports[1]}, "GET", "/api/ready").Status == 200;
}

bool Daemons::waitReady(int LimitMs) const {
  for (int I = 0; I < LimitMs / 100; ++I) {
    std::size_t Ready = 0;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Ready += isReady(Index);
    if (Ready == Count)
      return true;
    pause(100);
  }
  return false;
}

std::vector<Address> Daemons::resolve(std::size_t Index) const {
  const Message Answer =
      call({host(Index), Ports[2]}, "GET",
           "/api/resolve?name=h.example&region=tas-south&zone=zone-0");
  std::vector<Address> Result;
  if (Answer.Status != 200)
    return Result;
  const json Body = json::parse(Answer.Body);
  for (const auto &Each : Body.at("addrs"))
    Result.push_back(Address::parse(Each.get<std::string>()));
  return Result;
}

} // namespace review
