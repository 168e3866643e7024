#ifndef MIMOSASTAGE_NODE_JOB_DAEMON_H_
#define MIMOSASTAGE_NODE_JOB_DAEMON_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mimosastage/daemons/links.h"
#include "mimosastage/http/input_budget.h"
#include "mimosastage/node/job_node.h"
#include "mimosastage/node/job_protocol.h"

namespace mimosastage {

struct ListenAddress {
  std::string address;
  std::uint16_t port = 0;
};

struct ListenerSettings {
  ListenAddress at;
  /// Name in the log and in metrics.
  std::string name;
  /// Larger bodies are refused.
  std::uint64_t max_body_bytes = 4U << 20U;
};

/// Runs a JobNode with its threads: one for each HTTP listener, one for links
/// to other daemons, one for outgoing HTTP requests, one for the disk and one
/// for the node.
class JobDaemon {
 public:
  struct Settings {
    JobNode::Config node;
    std::string cluster;
    std::string link_key;
    LinkAddress link;
    /// Daemons to connect to at the start, without this one. The voters of the
    /// current membership are added.
    std::vector<LinkAddress> peers;
    std::vector<ListenerSettings> listeners;
    /// Bounds what all listeners together hold.
    InputBudget::Limits input;
    /// Bounds one answer of a worker or of the platform. A worker's answer has
    /// the same rows as its announcement, of at most 4 MiB.
    std::size_t max_answer_bytes = 4U << 20U;
    /// Bounds all answers that are read or wait to be handled.
    std::size_t max_held_answer_bytes = 256U << 20U;
    /// Set on a voter.
    std::filesystem::path data_folder;
    /// The whole cluster starts for the first time, so the empty folder of a
    /// founding voter is new. At any other start an empty folder means that the
    /// disk was lost.
    bool first_start = false;
    std::size_t connections_per_worker = 8;
  };

  JobDaemon(Settings settings, JobProtocol protocol);
  ~JobDaemon();
  JobDaemon(const JobDaemon&) = delete;
  JobDaemon& operator=(const JobDaemon&) = delete;

  /// Returns an empty string, or a message with the failure and its remedy.
  std::string Start();
  /// Begins a planned stop. May be called from any thread.
  void RequestStop();
  /// Blocks until the daemon has stopped and returns the exit status.
  int Wait();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_JOB_DAEMON_H_
