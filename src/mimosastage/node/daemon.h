#ifndef MIMOSASTAGE_NODE_DAEMON_H_
#define MIMOSASTAGE_NODE_DAEMON_H_

#include <memory>
#include <string>

#include "mimosastage/settings/settings.h"

namespace mimosastage {

/// Runs a Node with its threads: one each for callers, operators, exchanges
/// with backend servers, links to other daemons, storage and the node itself.
/// Bounded rings connect them.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the data folder, binds the ports and starts the threads. Returns an
  /// empty string, or a message with the failure and its remedy.
  std::string Start();

  /// Begins a planned stop; a second call ends it early. May be called from any
  /// thread.
  void RequestStop();

  /// Blocks until the daemon has stopped. Returns the exit status: 0 after a
  /// planned stop that interrupted no request, 1 otherwise.
  int Wait();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_DAEMON_H_
