#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_CLUSTER_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_CLUSTER_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/system/support/http.h"
#include "tests/system/support/process.h"

namespace mimosastage::testing {

/// Daemons and backend servers as real processes on a loopback address of
/// their own, so that runs side by side share no port.
class Cluster {
 public:
  /// The first `voters` of the daemons have a disk.
  Cluster(int daemons, int voters);
  ~Cluster();

  void StartDaemon(int index);
  void StartAllDaemons();
  Process& Daemon(int index) { return *this->daemons[index]; }
  bool HasDaemon(int index) const { return this->daemons[index] != nullptr; }
  /// Kills with SIGKILL and waits.
  void KillDaemon(int index);
  std::filesystem::path DataDir(int index) const;
  void FormatDataDir(int index);
  /// The link address of one daemon as another sees it; for a proxy between.
  std::string Address() const { return this->address; }

  /// Starts a backend server that announces itself to all daemons.
  int StartBackendServer(const std::string& pool,
                         const std::vector<std::string>& flags = {});
  Process& BackendServer(int index) { return *this->backend_servers[index]; }
  std::string BackendServerUrl(int index, const std::string& path) const;
  void SetFaults(int index, const std::string& json);
  /// How often each Idempotency-Key or request ran, over all backend servers.
  int RunsOf(const std::string& key) const;

  /// Most requests that the backend server ran at once.
  std::uint32_t MostRunning(int index) const;

  std::string CallerUrl(int daemon, const std::string& path) const;
  std::string OperatorUrl(int daemon, const std::string& path) const;
  Reply Operate(int daemon, const std::string& method, const std::string& path,
                const std::string& body = "") const;
  /// Sends an announcement with the platform key.
  Reply Announce(int daemon, const std::string& announcement) const;
  Reply Request(int daemon, const std::string& path,
                const std::vector<std::string>& headers = {},
                const std::string& body = "x") const;
  bool Ready(int daemon) const;
  /// Waits until the daemons that run are ready.
  bool WaitReady();
  /// Index of the leader, or -1.
  int Leader() const;

  /// Applies rows to a table with the version in force; true if accepted.
  bool Apply(const std::string& table, const std::string& rows);
  /// Grants a key; returns its secret.
  std::string GrantKey(const std::string& id, const std::string& team,
                       const std::string& client);
  /// One pool "p", team "a" with the given limit, route "r" (repeatable) and
  /// route "once" (not repeatable), open route "open"; returns a key of team
  /// "a".
  std::string ApplyBasics(int upper_limit = 64);

  std::filesystem::path Folder() const { return this->folder; }
  std::string Settings(int index) const;

 private:
  void WriteSettings(int index) const;
  std::string DaemonName(int index) const;
  int PortOf(int kind, int index) const;

  std::string address;
  std::filesystem::path folder;
  int voters;
  std::vector<std::unique_ptr<Process>> daemons;
  std::vector<std::unique_ptr<Process>> backend_servers;
  int change = 0;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_CLUSTER_H_
