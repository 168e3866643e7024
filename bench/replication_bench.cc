// Benchmarks the replicated log with synced files. Prints one JSON line for
// each result: the commands per second through three replicas in this process,
// with and without batching, and the time of a restart by log length. Without
// batching, each command is proposed only after the previous one is committed.

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "mimosastage/replication/replica.h"
#include "mimosastage/storage/data_folder.h"

ABSL_FLAG(int, commands, 2000, "Commands per throughput measurement.");
ABSL_FLAG(int, command_bytes, 200, "Size of each command in bytes.");
ABSL_FLAG(std::string, folder, "",
          "Data folder; if empty, a temporary folder is used.");

namespace mimosastage {
namespace {

namespace fs = std::filesystem;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t kVoters = 3;
constexpr const char* kCluster = "bench";

class Stopwatch {
 public:
  double Elapsed() const {
    return Seconds(std::chrono::steady_clock::now() - this->begin).count();
  }

 private:
  std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
};

/// Three replicas on one thread. Their disks sync one after the other, so a
/// deployment on three instances is faster than these results.
class Group {
 public:
  explicit Group(const fs::path& root) {
    for (std::size_t i = 0; i < kVoters; ++i) {
      this->Start(root, i);
    }
  }

  void WaitForLeader() {
    while (this->Leader() == nullptr) {
      this->Step();
    }
  }

  /// Proposes `count` commands, with at most `window` uncommitted at a time.
  void Run(int count, LogIndex window, const std::string& command) {
    Replica* leader = this->Leader();
    const LogIndex end = leader->LogEnd() + static_cast<LogIndex>(count);
    while (leader->Commit() < end) {
      while (leader->LogEnd() < end &&
             leader->LogEnd() - leader->Commit() < window &&
             leader->Propose(command, LeaseClock::now()).has_value()) {
      }
      this->Step();
    }
  }

  std::uint64_t Syncs() const { return this->syncs; }

 private:
  struct Delivery {
    std::size_t from = 0;
    std::size_t to = 0;
    ReplicationMessage message;
  };

  void Start(const fs::path& root, std::size_t index) {
    const DaemonId self{static_cast<std::uint16_t>(index)};
    const fs::path folder = root / std::to_string(index);
    (void)DataFolder::Format(folder, kCluster, self);
    this->folders[index] = std::make_unique<DataFolder>(folder, kCluster, self);
    ReplicaConfig config;
    config.self = self;
    config.seed = index;
    for (std::size_t i = 0; i < kVoters; ++i) {
      config.voters.push_back(DaemonId{static_cast<std::uint16_t>(i)});
    }
    Replica::Hooks hooks;
    hooks.send = [this, index](DaemonId to, ReplicationMessage message) {
      this->deliveries.push_back(
          {index, static_cast<std::size_t>(to), std::move(message)});
    };
    hooks.persist = [this, index](DurableWrite write) {
      this->writes.emplace_back(index, std::move(write));
    };
    hooks.apply = [](LogIndex, const std::string&) {};
    hooks.install_snapshot = [](const std::string&) {};
    hooks.take_snapshot = [] { return std::string(1U << 20U, 's'); };
    this->replicas[index] =
        std::make_unique<Replica>(std::move(config), std::move(hooks));
    this->replicas[index]->Start(*this->folders[index]->Open(),
                                 LeaseClock::now());
  }

  Replica* Leader() {
    for (const auto& replica : this->replicas) {
      if (replica->IsLeader()) {
        return replica.get();
      }
    }
    return nullptr;
  }

  void Step() {
    while (!this->deliveries.empty()) {
      const Delivery delivery = std::move(this->deliveries.front());
      this->deliveries.pop_front();
      this->replicas[delivery.to]->Handle(
          DaemonId{static_cast<std::uint16_t>(delivery.from)}, delivery.message,
          LeaseClock::now());
    }
    if (!this->writes.empty()) {
      const auto [index, write] = std::move(this->writes.front());
      this->writes.pop_front();
      (void)this->folders[index]->Write(write);
      (void)this->folders[index]->Sync();
      ++this->syncs;
      this->replicas[index]->StorageSynced(write.ticket, LeaseClock::now());
    }
    for (const auto& replica : this->replicas) {
      replica->Tick(LeaseClock::now());
    }
  }

  std::array<std::unique_ptr<DataFolder>, kVoters> folders;
  std::array<std::unique_ptr<Replica>, kVoters> replicas;
  std::deque<Delivery> deliveries;
  std::deque<std::pair<std::size_t, DurableWrite>> writes;
  std::uint64_t syncs = 0;
};

void MeasureThroughput(const fs::path& root, bool batching) {
  const int commands = absl::GetFlag(FLAGS_commands);
  const std::string command(
      static_cast<std::size_t>(absl::GetFlag(FLAGS_command_bytes)), 'c');
  Group group(root / (batching ? "batching" : "single"));
  group.WaitForLeader();
  const std::uint64_t syncs_before = group.Syncs();
  const Stopwatch stopwatch;
  group.Run(commands, batching ? 256 : 1, command);
  const double elapsed = stopwatch.Elapsed();
  std::printf(R"({"figure":"throughput","batching":%s,"commands":%d,)"
              R"("commands_per_second":%.0f,"syncs":%llu})"
              "\n",
              batching ? "true" : "false", commands, commands / elapsed,
              static_cast<unsigned long long>(group.Syncs() - syncs_before));
}

/// Writes a log of `length` entries, with a snapshot every 1,024 entries if
/// `snapshots` is set, and measures the time to open it.
void MeasureRestart(const fs::path& root, LogIndex length, bool snapshots) {
  constexpr LogIndex kBatch = 64;
  constexpr LogIndex kPerSnapshot = 1024;
  const fs::path folder =
      root / ("restart-" + std::to_string(length) + (snapshots ? "s" : ""));
  (void)DataFolder::Format(folder, kCluster, DaemonId{0});
  const std::string command(
      static_cast<std::size_t>(absl::GetFlag(FLAGS_command_bytes)), 'c');
  {
    DataFolder data(folder, kCluster, DaemonId{0});
    (void)data.Open();
    for (LogIndex first = 1; first <= length; first += kBatch) {
      DurableWrite write;
      for (LogIndex i = first; i < first + kBatch && i <= length; ++i) {
        write.entries.push_back({i, 1, command});
      }
      if (snapshots && first > 1 && (first - 1) % kPerSnapshot == 0) {
        write.snapshot = std::string(1U << 20U, 's');
        write.snapshot_index = first - 1;
        write.snapshot_view = 1;
      }
      (void)data.Write(write);
      (void)data.Sync();
    }
  }
  const Stopwatch stopwatch;
  DataFolder data(folder, kCluster, DaemonId{0});
  const auto image = data.Open();
  std::printf(R"({"figure":"restart","log_entries":%llu,"snapshots":%s,)"
              R"("entries_read":%zu,"milliseconds":%.1f})"
              "\n",
              static_cast<unsigned long long>(length),
              snapshots ? "true" : "false", image->entries.size(),
              stopwatch.Elapsed() * 1000);
}

void RunAll(const fs::path& root) {
  MeasureThroughput(root, false);
  MeasureThroughput(root, true);
  for (const LogIndex length : {1'000, 10'000, 100'000}) {
    MeasureRestart(root, length, false);
    MeasureRestart(root, length, true);
  }
}

}  // namespace
}  // namespace mimosastage

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::string folder = absl::GetFlag(FLAGS_folder);
  const bool temporary = folder.empty();
  if (temporary) {
    folder = std::filesystem::temp_directory_path() / "replication_XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
      return 1;
    }
  }
  mimosastage::RunAll(folder);
  if (temporary) {
    std::filesystem::remove_all(folder);
  }
  return 0;
}
