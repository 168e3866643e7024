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

/// Runs daemons and backend servers as separate processes on a unique loopback
/// address, so that concurrent test runs don't compete for ports.
class Cluster {
 public:
  /// The first `voters` daemons are voters and have a data directory.
  Cluster(int daemons, int voters);
  ~Cluster();

  void StartDaemon(int index);
  void StartAllDaemons();
  Process& Daemon(int index) { return *this->daemons[index]; }
  /// Sends SIGKILL and waits until the process has ended.
  void KillDaemon(int index);
  std::filesystem::path DataDir(int index) const;
  void FormatDataDir(int index);
  /// The loopback IP address that all processes of the cluster listen on.
  std::string Address() const { return this->address; }

  /// Starts a backend server that announces itself to all daemons; returns its
  /// index.
  int StartBackendServer(const std::string& pool,
                         const std::vector<std::string>& flags = {});
  Process& BackendServer(int index) { return *this->backend_servers[index]; }
  std::string BackendServerUrl(int index, const std::string& path) const;
  /// Changes the faults of a backend server, as for `POST /faults`.
  void SetFaults(int index, const std::string& json);
  /// How often requests with the Idempotency-Key ran, over all backend servers.
  int CountRuns(const std::string& idempotency_key) const;

  /// The most requests that the backend server has run at the same time.
  std::uint32_t MaxConcurrentRequests(int index) const;

  std::string CallerUrl(int daemon, const std::string& path) const;
  std::string OperatorUrl(int daemon, const std::string& path) const;
  Reply SendOperatorRequest(int daemon, const std::string& method,
                            const std::string& path,
                            const std::string& body = "") const;
  /// Sends an announcement with the platform key.
  Reply SendAnnouncement(int daemon, const std::string& announcement) const;
  Reply SendCallerRequest(int daemon, const std::string& path,
                          const std::vector<std::string>& headers = {},
                          const std::string& body = "x") const;
  bool Ready(int daemon) const;
  /// Waits until all running daemons are ready; false on timeout.
  bool WaitReady();
  /// Index of the running daemon that leads, or -1 if none is known.
  int Leader() const;

  /// Upserts the rows on top of the current version of the table and retries
  /// until a daemon accepts the change; false on timeout.
  bool Apply(const std::string& table, const std::string& rows);
  /// Grants a key; returns its secret, or "" on timeout.
  std::string GrantKey(const std::string& id, const std::string& team,
                       const std::string& client);
  /// Creates pool "p", team "a" with the upper limit, and the routes "r"
  /// (repeatable), "once" (not repeatable) and "open" (needs no key). Returns a
  /// key of team "a".
  std::string ApplyDefaultTables(int upper_limit = 64);

  std::filesystem::path Folder() const { return this->folder; }
  /// Path of the daemon's settings file.
  std::string SettingsPath(int index) const;

 private:
  void WriteSettings(int index) const;
  std::string DaemonName(int index) const;
  int PortOf(int kind, int index) const;

  std::string address;
  std::filesystem::path folder;
  int voters;
  std::vector<std::unique_ptr<Process>> daemons;
  std::vector<std::unique_ptr<Process>> backend_servers;
  int change_count = 0;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_CLUSTER_H_
