#include "mimosastage/storage/storage_thread.h"

#include <utility>

#include "mimosastage/telemetry/fatal_log.h"

namespace mimosastage {
namespace {

constexpr std::size_t kRingCapacity = 1'024;
constexpr std::chrono::seconds kLongestWait{1};

}  // namespace

StorageThread::StorageThread(DataFolder& folder, Hooks hooks)
    : folder(folder),
      hooks(std::move(hooks)),
      ring(kRingCapacity, [this] { this->wake.Notify(); }) {}

StorageThread::~StorageThread() { this->Stop(); }

void StorageThread::Start() {
  this->thread = std::thread([this] {
    const ThreadDuty duty("storage");
    this->Run();
  });
}

void StorageThread::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->stopping.store(true);
  this->wake.Notify();
  this->thread.join();
}

bool StorageThread::Write(DurableWrite&& write) {
  this->overflowed = this->overflowed || !this->ring.Push(write);
  return !this->overflowed;
}

void StorageThread::Run() {
  while (true) {
    const bool stop = this->stopping.load();
    if (!this->WriteBatch()) {
      return;
    }
    if (stop) {
      return;
    }
    this->wake.Wait(kLongestWait);
  }
}

bool StorageThread::WriteBatch() {
  std::uint64_t last = 0;
  bool failed = false;
  const std::size_t taken = this->ring.Drain(
      [&](DurableWrite&& write) {
        last = write.ticket;
        failed = failed || !this->folder.Write(write).has_value();
      },
      kRingCapacity);
  if (taken == 0) {
    return true;
  }
  if (failed || !this->folder.Sync().has_value()) {
    this->hooks.on_failed(this->folder.ErrorDetail());
    return false;
  }
  this->last_synced_ticket.store(last);
  this->hooks.on_synced();
  return true;
}

}  // namespace mimosastage
