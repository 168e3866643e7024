#ifndef MIMOSASTAGE_NODE_DAEMON_H_
#define MIMOSASTAGE_NODE_DAEMON_H_

#include <memory>
#include <string>

#include "mimosastage/settings/settings.h"

namespace mimosastage {

/// The threads of one daemon around its Node: callers, operators, backend
/// servers, daemons, storage, and the node's own, joined by bounded rings.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the data folder, binds the ports and starts the threads. Returns
  /// what went wrong and the remedy, or an empty text.
  std::string Start();

  /// Begins a planned stop; from any thread. The second call ends it early.
  void RequestStop();

  /// Waits for the end; returns the exit status: 0 after a planned stop that
  /// cut nothing, 1 otherwise.
  int Wait();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_DAEMON_H_
