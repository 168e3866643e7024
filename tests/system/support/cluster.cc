#include "tests/system/support/cluster.h"

#include <openssl/sha.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace mimosastage::testing {
namespace {

using nlohmann::json;

constexpr const char* kOperatorKey = "operator-key-for-tests-0123456789";
constexpr const char* kPlatformKey = "platform-key-for-tests-0123456789";
constexpr const char* kLinkKey = "link-key-for-tests-0123456789abcd";

enum PortKind { kLinkPort, kCallersPort, kOperatorsPort, kBackendPort };

/// An address in 127.0.0.0/8, derived from the process id and the number of
/// clusters that the process has created.
std::string UniqueLoopbackAddress() {
  static std::atomic<int> clusters{0};
  const int pid = getpid();
  return "127." + std::to_string(64 + (pid >> 8) % 128) + "." +
         std::to_string(pid & 0xff) + "." + std::to_string(1 + clusters++);
}

std::string HexSha256(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += "0123456789abcdef"[byte >> 4U];
    hex += "0123456789abcdef"[byte & 15U];
  }
  return hex;
}

}  // namespace

Cluster::Cluster(int daemons, int voters)
    : address(UniqueLoopbackAddress()),
      folder(std::filesystem::temp_directory_path() /
             ("mimosastage-test-" + this->address)),
      voters(voters),
      daemons(static_cast<std::size_t>(daemons)) {
  std::filesystem::remove_all(this->folder);
  std::filesystem::create_directories(this->folder);
  for (int i = 0; i < daemons; ++i) {
    this->WriteSettings(i);
    if (i < voters) {
      this->FormatDataDir(i);
    }
  }
}

Cluster::~Cluster() {
  this->daemons.clear();
  this->backend_servers.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string Cluster::DaemonName(int index) const {
  return "entry-" + std::to_string(index + 1);
}

int Cluster::PortOf(int kind, int index) const {
  return 7000 + 100 * kind + index;
}

std::filesystem::path Cluster::DataDir(int index) const {
  return this->folder / ("data-" + std::to_string(index));
}

std::string Cluster::SettingsPath(int index) const {
  return this->folder / (this->DaemonName(index) + ".json");
}

void Cluster::WriteSettings(int index) const {
  const auto endpoint = [&](PortKind kind, int i) {
    return this->address + ":" + std::to_string(this->PortOf(kind, i));
  };
  json daemon_list = json::array();
  for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
    daemon_list.push_back({{"name", this->DaemonName(i)},
                           {"link", endpoint(kLinkPort, i)},
                           {"availability_zone", "zone-1"},
                           {"voter", i < this->voters}});
  }
  json settings = {{"cluster", "test"},
                   {"daemon", this->DaemonName(index)},
                   {"availability_zone", "zone-1"},
                   {"callers_listen", endpoint(kCallersPort, index)},
                   {"operators_listen", endpoint(kOperatorsPort, index)},
                   {"daemons", daemon_list},
                   {"link_key", kLinkKey},
                   {"operator_key", kOperatorKey},
                   {"platform_key", kPlatformKey},
                   {"timing", {{"load_balancer_wait", "300ms"}}}};
  if (index < this->voters) {
    settings["data_dir"] = this->DataDir(index).string();
  }
  std::ofstream(this->SettingsPath(index)) << settings.dump(2);
}

void Cluster::FormatDataDir(int index) {
  std::filesystem::remove_all(this->DataDir(index));
  Process format(
      {std::string(MIMOSASTAGE_BIN_DIR) + "/mimosastaged",
       "--settings=" + this->SettingsPath(index), "--format_data_dir"},
      this->folder / "format.log");
  if (format.Wait() != 0) {
    throw std::runtime_error(
        "formatting the data directory of a test daemon failed");
  }
}

void Cluster::StartDaemon(int index) {
  this->daemons[index] = std::make_unique<Process>(
      std::vector<std::string>{
          std::string(MIMOSASTAGE_BIN_DIR) + "/mimosastaged",
          "--settings=" + this->SettingsPath(index)},
      this->folder / (this->DaemonName(index) + ".log"));
}

void Cluster::StartAllDaemons() {
  for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
    this->StartDaemon(i);
  }
}

void Cluster::KillDaemon(int index) {
  this->daemons[index]->Signal(SIGKILL);
  this->daemons[index]->Wait();
  this->daemons[index].reset();
}

int Cluster::StartBackendServer(const std::string& pool,
                                const std::vector<std::string>& flags) {
  const int index = static_cast<int>(this->backend_servers.size());
  std::string announce_to;
  for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
    announce_to += (i > 0 ? "," : "") + this->address + ":" +
                   std::to_string(this->PortOf(kOperatorsPort, i));
  }
  std::vector<std::string> command = {
      std::string(MIMOSASTAGE_BIN_DIR) + "/fake_backend_server",
      "--name=w" + std::to_string(index),
      "--address=" + this->address,
      "--port=" + std::to_string(this->PortOf(kBackendPort, index)),
      "--pool=" + pool,
      "--zone=zone-1",
      "--announce_to=" + announce_to,
      std::string("--platform_key=") + kPlatformKey};
  command.insert(command.end(), flags.begin(), flags.end());
  this->backend_servers.push_back(std::make_unique<Process>(
      command, this->folder / ("w" + std::to_string(index) + ".log")));
  return index;
}

std::string Cluster::BackendServerUrl(int index,
                                      const std::string& path) const {
  return "http://" + this->address + ":" +
         std::to_string(this->PortOf(kBackendPort, index)) + path;
}

void Cluster::SetFaults(int index, const std::string& faults) {
  Send({"POST", this->BackendServerUrl(index, "/faults"), {}, faults});
}

int Cluster::CountRuns(const std::string& idempotency_key) const {
  int runs = 0;
  for (int i = 0; i < static_cast<int>(this->backend_servers.size()); ++i) {
    const Reply reply = Send({"GET", this->BackendServerUrl(i, "/runs")});
    if (reply.status != 200) {
      continue;
    }
    const json counts = json::parse(reply.body);
    runs += counts["idempotency_keys"].value(idempotency_key, 0);
  }
  return runs;
}

std::uint32_t Cluster::MaxConcurrentRequests(int index) const {
  const Reply reply = Send({"GET", this->BackendServerUrl(index, "/runs")});
  return json::parse(reply.body)["max_in_progress"];
}

std::string Cluster::CallerUrl(int daemon, const std::string& path) const {
  return "http://" + this->address + ":" +
         std::to_string(this->PortOf(kCallersPort, daemon)) + path;
}

std::string Cluster::OperatorUrl(int daemon, const std::string& path) const {
  return "http://" + this->address + ":" +
         std::to_string(this->PortOf(kOperatorsPort, daemon)) + path;
}

Reply Cluster::SendOperatorRequest(int daemon, const std::string& method,
                                   const std::string& path,
                                   const std::string& body) const {
  return Send({method,
               this->OperatorUrl(daemon, path),
               {std::string("Authorization: Bearer ") + kOperatorKey,
                "Content-Type: application/json"},
               body});
}

Reply Cluster::SendAnnouncement(int daemon,
                                const std::string& announcement) const {
  return Send({"POST",
               this->OperatorUrl(daemon, "/v1/announcements"),
               {std::string("Authorization: Bearer ") + kPlatformKey,
                "Content-Type: application/json"},
               announcement});
}

Reply Cluster::SendCallerRequest(int daemon, const std::string& path,
                                 const std::vector<std::string>& headers,
                                 const std::string& body) const {
  return Send({"POST", this->CallerUrl(daemon, path), headers, body});
}

bool Cluster::Ready(int daemon) const {
  return Send({"GET", this->OperatorUrl(daemon, "/readyz")}).status == 200;
}

bool Cluster::WaitReady() {
  return Eventually([this] {
    for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
      if (this->daemons[i] != nullptr && !this->Ready(i)) {
        return false;
      }
    }
    return true;
  });
}

int Cluster::Leader() const {
  for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
    if (this->daemons[i] == nullptr) {
      continue;
    }
    const Reply reply = this->SendOperatorRequest(i, "GET", "/v1/status");
    if (reply.status != 200) {
      continue;
    }
    const std::string leader = json::parse(reply.body).value("leader", "");
    for (int k = 0; k < this->voters; ++k) {
      if (this->DaemonName(k) == leader && this->daemons[k] != nullptr) {
        return k;
      }
    }
  }
  return -1;
}

bool Cluster::Apply(const std::string& table, const std::string& rows) {
  const std::string path = "/v1/tables/" + table;
  const std::string change_id =
      "test-" + this->address + "-" + std::to_string(this->change_count++);
  return Eventually([&] {
    for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
      if (this->daemons[i] == nullptr) {
        continue;
      }
      const Reply current = this->SendOperatorRequest(i, "GET", path);
      if (current.status != 200) {
        continue;
      }
      const json change = {
          {"change_id", change_id},
          {"base_version", json::parse(current.body)["version"]},
          {"upserts", json::parse(rows)}};
      if (this->SendOperatorRequest(i, "POST", path, change.dump()).status ==
          200) {
        return true;
      }
    }
    return false;
  });
}

std::string Cluster::GrantKey(const std::string& id, const std::string& team,
                              const std::string& client) {
  const std::string secret = "secret-of-" + id;
  const json grant = {{"change_id", "grant-" + id},
                      {"key_id", id},
                      {"team", team},
                      {"client", client},
                      {"hash", HexSha256(secret)}};
  const bool granted = Eventually([&] {
    for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
      if (this->daemons[i] != nullptr &&
          this->SendOperatorRequest(i, "POST", "/v1/keys", grant.dump())
                      .status /
                  100 ==
              2) {
        return true;
      }
    }
    return false;
  });
  return granted ? secret : "";
}

std::string Cluster::ApplyDefaultTables(int upper_limit) {
  this->Apply("pools", R"([{"name": "p", "availability_budget": 1,
      "instances": ["w0", "w1", "w2", "w3"]}])");
  this->Apply(
      "teams",
      json::array({{{"name", "a"}, {"share", 1}, {"upper_limit", upper_limit}}})
          .dump());
  this->Apply("routes", R"([
      {"name": "r", "pool": "p", "repeatable": true, "deadline": "10s"},
      {"name": "once", "pool": "p", "repeatable": false, "deadline": "10s"},
      {"name": "open", "pool": "p", "open": true, "repeatable": true,
       "deadline": "10s"}])");
  return this->GrantKey("key-a", "a", "client-1");
}

}  // namespace mimosastage::testing
