#ifndef MIMOSASTAGE_STORAGE_STORAGE_THREAD_H_
#define MIMOSASTAGE_STORAGE_STORAGE_THREAD_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "mimosastage/base/ring.h"
#include "mimosastage/base/wake_signal.h"
#include "mimosastage/replication/durable_state.h"
#include "mimosastage/storage/data_folder.h"

namespace mimosastage {

/// Writes and syncs on a thread of its own. Writes that wait share one sync.
class StorageThread {
 public:
  struct Hooks {
    /// Runs on the storage thread after each sync; the owner then reads Synced.
    std::function<void()> on_synced;
    /// The disk failed; nothing more is written. `detail` names the remedy.
    std::function<void(const std::string& detail)> on_failed;
  };

  /// `folder` must be open and outlive the thread.
  StorageThread(DataFolder& folder, Hooks hooks);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Start();
  /// Finishes what was handed over and joins the thread.
  void Stop();

  /// Waits while the ring is full, because a write must not be lost. From one
  /// thread only.
  void Write(DurableWrite&& write);

  /// The last ticket that is on disk with all before it; 0 at first.
  std::uint64_t Synced() const { return this->synced.load(); }

 private:
  void Run();
  bool WriteBatch();

  DataFolder& folder;
  Hooks hooks;
  WakeSignal wake;
  Ring<DurableWrite> ring;
  std::atomic<std::uint64_t> synced{0};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STORAGE_STORAGE_THREAD_H_
