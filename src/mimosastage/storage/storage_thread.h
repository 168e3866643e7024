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

/// Writes to a DataFolder on a dedicated thread. Queued writes are taken in
/// batches with one sync for each batch (group commit).
class StorageThread {
 public:
  struct Hooks {
    /// Called on the storage thread after each sync; LastSyncedTicket then has
    /// the new value.
    std::function<void()> on_synced;
    /// Called on the storage thread after the first write or sync that fails;
    /// nothing more is written. `detail` names the remedy.
    std::function<void(const std::string& detail)> on_failed;
  };

  /// `folder` must be open and outlive the thread.
  StorageThread(DataFolder& folder, Hooks hooks);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Start();
  /// Writes and syncs what is queued, then joins the thread.
  void Stop();

  /// Queues a write. Returns false without waiting if the ring is full, because
  /// the disk hangs; the caller must then stop voting, as the write is lost.
  /// Refuses all later writes as well, so that none follows a lost one.
  /// Must always be called from the same thread.
  [[nodiscard]] bool Write(DurableWrite&& write);

  /// The highest ticket that is on disk together with all earlier ones; 0
  /// before the first sync.
  std::uint64_t LastSyncedTicket() const {
    return this->last_synced_ticket.load();
  }

 private:
  void Run();
  bool WriteBatch();

  DataFolder& folder;
  Hooks hooks;
  WakeSignal wake;
  Ring<DurableWrite> ring;
  std::atomic<std::uint64_t> last_synced_ticket{0};
  std::atomic<bool> stopping{false};
  /// Used by the thread that writes.
  bool overflowed = false;
  std::thread thread;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STORAGE_STORAGE_THREAD_H_
