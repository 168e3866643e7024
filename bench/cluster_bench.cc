// Measures a cluster of daemon processes on loopback and prints JSON lines.
// Other load on the machine affects the results, so compare only figures of one
// run.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "tests/system/support/cluster.h"

ABSL_FLAG(std::string, measure, "path,changes,failover,control",
          "what to measure: path, changes, failover, control");
ABSL_FLAG(int, daemons, 3, "number of daemons; the first 3 are voters");
ABSL_FLAG(int, seconds, 10, "duration of each load in seconds");
ABSL_FLAG(int, rate, 500, "requests per second of the latency measurement");
ABSL_FLAG(int, announced, 0,
          "additional backend servers that announce themselves but don't run");

namespace {

using mimosastage::testing::Cluster;
using mimosastage::testing::Eventually;
using mimosastage::testing::Reply;
using mimosastage::testing::SleepFor;
using nlohmann::json;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

double Milliseconds(steady_clock::duration time) {
  return duration<double, std::milli>(time).count();
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last)];
}

/// Sends the same request repeatedly over one persistent connection.
class Client {
 public:
  Client(const std::string& url, const std::string& key)
      : handle(curl_easy_init()) {
    this->headers = curl_slist_append(nullptr, "Expect:");
    this->headers = curl_slist_append(this->headers,
                                      ("Authorization: Bearer " + key).c_str());
    curl_easy_setopt(this->handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(this->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->handle, CURLOPT_HTTPHEADER, this->headers);
    curl_easy_setopt(this->handle, CURLOPT_POSTFIELDS, "x");
    curl_easy_setopt(this->handle, CURLOPT_WRITEFUNCTION, &Client::Discard);
  }
  ~Client() {
    curl_slist_free_all(this->headers);
    curl_easy_cleanup(this->handle);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool Send() {
    long status = 0;  // NOLINT: libcurl's type.
    return curl_easy_perform(this->handle) == CURLE_OK &&
           curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &status) ==
               CURLE_OK &&
           status == 200;
  }

 private:
  static std::size_t Discard(char*, std::size_t size, std::size_t count,
                             void*) {
    return size * count;
  }

  CURL* handle;
  curl_slist* headers;
};

struct LoadResult {
  std::vector<double> latencies_ms;
  std::size_t failed = 0;
  double seconds = 0;
};

/// Sends requests over `clients` connections spread over the URLs, `rate` per
/// second in total. With a rate of 0 each connection sends its next request as
/// soon as it has an answer.
LoadResult RunLoad(const std::vector<std::string>& urls, const std::string& key,
                   int clients, int rate, seconds length) {
  std::vector<LoadResult> results(static_cast<std::size_t>(clients));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto start = steady_clock::now();
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&, i] {
      Client client(urls[static_cast<std::size_t>(i) % urls.size()], key);
      LoadResult& result = results[static_cast<std::size_t>(i)];
      const auto interval =
          rate == 0 ? steady_clock::duration::zero()
                    : steady_clock::duration(seconds(1)) * clients / rate;
      auto next = start + interval * i / clients;
      while (steady_clock::now() < start + length) {
        std::this_thread::sleep_until(next);
        const auto sent = steady_clock::now();
        if (client.Send()) {
          result.latencies_ms.push_back(
              Milliseconds(steady_clock::now() - sent));
        } else {
          ++result.failed;
        }
        next = rate == 0 ? steady_clock::now() : next + interval;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  LoadResult total;
  total.seconds = Milliseconds(steady_clock::now() - start) / 1'000;
  for (const LoadResult& result : results) {
    total.latencies_ms.insert(total.latencies_ms.end(),
                              result.latencies_ms.begin(),
                              result.latencies_ms.end());
    total.failed += result.failed;
  }
  return total;
}

/// User and system CPU time of the process in seconds.
double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string word;
  for (int i = 0; i < 11; ++i) {
    rest >> word;
  }
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident memory of the process in MB (10^6 bytes).
double ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Value of a counter or gauge of the daemon; 0 if /metrics doesn't have it.
double MetricOf(const Cluster& cluster, int daemon, const std::string& series) {
  const Reply reply = cluster.SendOperatorRequest(daemon, "GET", "/metrics");
  const auto at = reply.body.find("\n" + series + " ");
  return at == std::string::npos
             ? 0
             : std::stod(reply.body.substr(at + series.size() + 2));
}

void Print(const json& line) { std::cout << line.dump() << std::endl; }

void MeasurePath(Cluster& cluster, const std::string& key) {
  const seconds length(absl::GetFlag(FLAGS_seconds));
  const int rate = absl::GetFlag(FLAGS_rate);
  const std::vector<std::string> direct_urls = {
      cluster.BackendServerUrl(0, "/x"), cluster.BackendServerUrl(1, "/x")};
  std::vector<std::string> daemon_urls;
  daemon_urls.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_daemons)));
  for (int i = 0; i < absl::GetFlag(FLAGS_daemons); ++i) {
    daemon_urls.push_back(cluster.CallerUrl(i, "/r/r/x"));
  }
  RunLoad(daemon_urls, key, 24, rate, seconds(3));
  const LoadResult direct_load = RunLoad(direct_urls, key, 24, rate, length);
  const LoadResult daemon_load = RunLoad(daemon_urls, key, 24, rate, length);
  for (const double quantile : {0.5, 0.99}) {
    const double direct_ms = Quantile(direct_load.latencies_ms, quantile);
    const double through_daemon_ms =
        Quantile(daemon_load.latencies_ms, quantile);
    Print({{"measure", "latency_ms"},
           {"rate", rate},
           {"quantile", quantile},
           {"direct", direct_ms},
           {"through_daemon", through_daemon_ms},
           {"added", through_daemon_ms - direct_ms},
           {"failed", daemon_load.failed}});
  }
  const pid_t pid = cluster.Daemon(0).Pid();
  const double before = CpuSeconds(pid);
  const LoadResult closed_loop = RunLoad({daemon_urls[0]}, key, 32, 0, length);
  const double used = CpuSeconds(pid) - before;
  const auto answered = static_cast<double>(closed_loop.latencies_ms.size());
  Print({{"measure", "throughput"},
         {"requests_per_second", answered / closed_loop.seconds},
         {"cores_used", used / closed_loop.seconds},
         {"requests_per_core_second", answered / used},
         {"failed", closed_loop.failed}});
}

std::string TeamRow(int number) {
  return json::array({{{"name", "bench-" + std::to_string(number)},
                       {"share", 1},
                       {"upper_limit", 4}}})
      .dump();
}

std::uint64_t VersionAt(const Cluster& cluster, int daemon) {
  const Reply reply =
      cluster.SendOperatorRequest(daemon, "GET", "/v1/tables/teams");
  return reply.status == 200
             ? json::parse(reply.body)["version"].get<std::uint64_t>()
             : 0;
}

void MeasureChanges(Cluster& cluster) {
  const int daemons = absl::GetFlag(FLAGS_daemons);
  std::vector<double> accept_ms;
  std::vector<double> propagation_ms;
  for (int change = 0; change < 50; ++change) {
    const auto sent = steady_clock::now();
    cluster.Apply("teams", TeamRow(change % 10));
    const auto accepted = steady_clock::now();
    const std::uint64_t version = VersionAt(cluster, 0);
    for (int i = 0; i < daemons; ++i) {
      Eventually([&] { return VersionAt(cluster, i) >= version; });
    }
    accept_ms.push_back(Milliseconds(accepted - sent));
    propagation_ms.push_back(Milliseconds(steady_clock::now() - accepted));
  }
  Print({{"measure", "change_ms"},
         {"daemons", daemons},
         {"accept_p50", Quantile(accept_ms, 0.5)},
         {"accept_worst", Quantile(accept_ms, 1)},
         {"in_force_everywhere_p50", Quantile(propagation_ms, 0.5)},
         {"in_force_everywhere_worst", Quantile(propagation_ms, 1)}});
}

void MeasureRevocation(Cluster& cluster) {
  const int daemons = absl::GetFlag(FLAGS_daemons);
  const std::string key = cluster.GrantKey("bench-key", "a", "bench");
  std::atomic<bool> done{false};
  std::atomic<std::int64_t> last_success{0};
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(daemons));
  for (int i = 0; i < daemons; ++i) {
    callers.emplace_back([&, i] {
      Client client(cluster.CallerUrl(i, "/r/r/x"), key);
      while (!done) {
        if (client.Send()) {
          last_success = std::max<std::int64_t>(
              last_success, steady_clock::now().time_since_epoch().count());
        }
      }
    });
  }
  SleepFor(seconds(2));
  Eventually([&] {
    return cluster.SendOperatorRequest(
                      0, "DELETE", "/v1/keys/bench-key?change_id=revoke-bench")
                   .status /
               100 ==
           2;
  });
  const auto revoked = steady_clock::now();
  SleepFor(seconds(4));
  done = true;
  for (auto& caller : callers) {
    caller.join();
  }
  const steady_clock::time_point last_accepted{
      steady_clock::duration(last_success)};
  Print({{"measure", "revocation_ms"},
         {"last_acceptance_after", Milliseconds(last_accepted - revoked)}});
}

void MeasureFailover(Cluster& cluster) {
  std::vector<double> gaps_ms;
  for (int round = 0; round < 5; ++round) {
    int leader = -1;
    Eventually([&] { return (leader = cluster.Leader()) >= 0; });
    const auto killed = steady_clock::now();
    cluster.KillDaemon(leader);
    cluster.Apply("teams", TeamRow(round));
    gaps_ms.push_back(Milliseconds(steady_clock::now() - killed));
    cluster.StartDaemon(leader);
    cluster.WaitReady();
  }
  Print({{"measure", "leader_killed_to_next_acceptance_ms"},
         {"p50", Quantile(gaps_ms, 0.5)},
         {"worst", Quantile(gaps_ms, 1)},
         {"rounds", gaps_ms.size()}});
}

/// Sends announcements for servers that don't run, at the interval that the
/// daemons request.
class Announcer {
 public:
  Announcer(const Cluster& cluster, int servers)
      : cluster(cluster), servers(servers) {
    for (int part = 0; part < 8; ++part) {
      this->threads.emplace_back([this, part] { this->Run(part); });
    }
  }
  ~Announcer() {
    this->done = true;
    for (auto& thread : this->threads) {
      thread.join();
    }
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

 private:
  void Run(int part) {
    std::vector<steady_clock::time_point> due(
        static_cast<std::size_t>(this->servers));
    while (!this->done) {
      for (int i = part; i < this->servers && !this->done; i += 8) {
        auto& next = due[static_cast<std::size_t>(i)];
        if (steady_clock::now() >= next) {
          next = steady_clock::now() + this->Announce(i);
        }
      }
      SleepFor(milliseconds(5));
    }
  }

  milliseconds Announce(int server) const {
    const json announcement = {{"name", "named-" + std::to_string(server)},
                               {"address", "127.0.0.1"},
                               {"port", 9},
                               {"pool", "pool-" + std::to_string(server % 76)},
                               {"zone", "zone-" + std::to_string(server % 4)},
                               {"epoch", 1},
                               {"slots", 8},
                               {"connections", 64},
                               {"departing", false}};
    const int daemon = server % absl::GetFlag(FLAGS_daemons);
    const Reply reply =
        this->cluster.SendAnnouncement(daemon, announcement.dump());
    const json answer = json::parse(reply.body, nullptr, false);
    return milliseconds(answer.is_object() ? answer.value("interval_ms", 1'000)
                                           : 1'000);
  }

  const Cluster& cluster;
  int servers;
  std::atomic<bool> done{false};
  std::vector<std::thread> threads;
};

/// Measures CPU time, link traffic and memory of daemons that serve no
/// requests.
void MeasureControl(Cluster& cluster) {
  const int daemons = absl::GetFlag(FLAGS_daemons);
  const int announced = absl::GetFlag(FLAGS_announced);
  const Announcer announcer(cluster, announced);
  SleepFor(seconds(announced > 0 ? 15 : 5));
  struct Reading {
    double cpu = 0;
    double sent = 0;
    double received = 0;
  };
  const auto read = [&](int i) {
    return Reading{
        CpuSeconds(cluster.Daemon(i).Pid()),
        MetricOf(cluster, i,
                 R"(mimosastage_link_bytes_total{direction="sent"})"),
        MetricOf(cluster, i,
                 R"(mimosastage_link_bytes_total{direction="received"})")};
  };
  std::vector<Reading> before;
  before.reserve(static_cast<std::size_t>(daemons));
  for (int i = 0; i < daemons; ++i) {
    before.push_back(read(i));
  }
  const auto start = steady_clock::now();
  SleepFor(seconds(absl::GetFlag(FLAGS_seconds)));
  const double length = Milliseconds(steady_clock::now() - start) / 1'000;
  const int leader = cluster.Leader();
  for (int i = 0; i < daemons; ++i) {
    const Reading after = read(i);
    const auto index = static_cast<std::size_t>(i);
    Print(
        {{"measure", "control"},
         {"daemons", daemons},
         {"announced", announced},
         {"role", i == leader ? "leader" : (i < 3 ? "voter" : "entry")},
         {"core_percent", 100 * (after.cpu - before[index].cpu) / length},
         {"sent_bytes_per_second", (after.sent - before[index].sent) / length},
         {"received_bytes_per_second",
          (after.received - before[index].received) / length},
         {"resident_mb", ResidentMb(cluster.Daemon(i).Pid())}});
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  curl_global_init(CURL_GLOBAL_ALL);
  const std::string measure = absl::GetFlag(FLAGS_measure);
  Cluster cluster(absl::GetFlag(FLAGS_daemons), 3);
  cluster.StartAllDaemons();
  cluster.StartBackendServer("p");
  cluster.StartBackendServer("p");
  if (!cluster.WaitReady()) {
    std::cerr << "timed out waiting for the daemons to become ready\n";
    return 1;
  }
  const std::string key = cluster.ApplyDefaultTables();
  const auto selected = [&](const char* name) {
    return measure.find(name) != std::string::npos;
  };
  if (selected("path")) {
    MeasurePath(cluster, key);
  }
  if (selected("changes")) {
    MeasureChanges(cluster);
    MeasureRevocation(cluster);
  }
  if (selected("control")) {
    MeasureControl(cluster);
  }
  if (selected("failover")) {
    MeasureFailover(cluster);
  }
  return 0;
}
