#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/replication/support/replication_group.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSpares = 3;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// A random schedule that removes voters permanently while others crash,
/// freeze, are partitioned or lose their disk. Deterministic for a given seed.
class ReplacementSchedule {
 public:
  explicit ReplacementSchedule(std::uint64_t seed,
                               bool only_leaders_send_members = false)
      : random(seed), group(seed % 2 == 0 ? 3 : 5, 0, seed, kSpares) {
    this->group.only_leaders_send_members = only_leaders_send_members;
    this->group.faults.loss = this->Draw(3) == 0 ? 0.1 : 0.01;
    this->group.faults.duplication = 0.05;
    this->group.faults.max_delay = milliseconds(this->Draw(2) == 0 ? 4 : 100);
    this->group.faults.late_probability = this->Draw(2) == 0 ? 0.03 : 0;
    this->fault_interval = 1 + this->Draw(6);
  }

  /// Returns a description of the failure, or an empty string.
  std::string Run() {
    const int steps = 60 + static_cast<int>(this->Draw(60));
    for (int i = 0; i < steps && this->group.Violation().empty(); ++i) {
      for (std::size_t voter = 0; voter < this->group.Voters(); ++voter) {
        for (std::uint64_t n = this->Draw(6); n > 0; --n) {
          this->group.Propose(voter);
        }
      }
      if (this->Draw(this->fault_interval) == 0) {
        this->InjectFault();
      }
      this->group.Run(milliseconds(this->Draw(500)));
    }
    this->group.Heal();
    const bool recovered = this->group.RunUntil(
        [this] { return this->AllCaughtUp(); }, seconds(60));
    if (!this->group.Violation().empty()) {
      return this->group.Violation();
    }
    return recovered ? ""
                     : "no progress in 60 s after the faults ended" +
                           this->group.Describe();
  }

  LogIndex Accepted() const { return this->group.Accepted(); }
  std::size_t Removals() const { return this->removals; }

 private:
  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  std::size_t DrawVoter() { return this->Draw(this->group.Voters()); }

  void InjectFault() {
    const std::size_t voter = this->DrawVoter();
    switch (this->Draw(8)) {
      case 0:
      case 1:
        this->RestartAll();
        this->group.Run(milliseconds(4'000 + this->Draw(2'000)));
        this->removals += this->group.Remove(voter) ? 1 : 0;
        return;
      case 2:
        return this->group.Crash(voter);
      case 3:
        for (std::size_t i = 0; i < this->group.Voters(); ++i) {
          this->group.Crash(i);
        }
        return this->RestartAll();
      case 4:
        return this->group.Freeze(voter);
      case 5:
        for (std::size_t i = 0; i < this->group.Voters(); ++i) {
          this->group.Partition(voter, i, i != voter && this->Draw(2) == 0);
        }
        return;
      case 6:
        this->group.LoseDisk(voter);
        return this->group.Restart(voter);
      default:
        return this->RestartAll();
    }
  }

  void RestartAll() {
    for (std::size_t i = 0; i < this->group.Voters(); ++i) {
      this->group.Restart(i);
      if (this->group.Frozen(i)) {
        this->group.Thaw(i);
      }
      for (std::size_t j = 0; j < i; ++j) {
        this->group.Partition(i, j, false);
      }
    }
  }

  /// A leader has committed a new command, and every slot has a member that
  /// runs and has applied it.
  bool AllCaughtUp() {
    const auto leader = this->group.Leader();
    if (!leader.has_value()) {
      return false;
    }
    Replica& replica = *this->group.VoterAt(*leader);
    if (this->final_view != replica.View() || this->final_index == 0) {
      this->final_index =
          this->group.Propose(*leader) ? replica.LogEnd() : LogIndex{0};
      this->final_view = replica.View();
      return false;
    }
    for (const Member& member : replica.CommittedMembers().slots) {
      if (member.daemon == kNoVoter ||
          this->group.Applied(this->group.IndexOf(member.daemon)) <
              this->final_index) {
        return false;
      }
    }
    return true;
  }

  std::mt19937_64 random;
  ReplicationGroup group;
  /// One in this many steps injects a fault, on average.
  std::uint64_t fault_interval = 1;
  std::size_t removals = 0;
  LogIndex final_index = 0;
  ViewNumber final_view = 0;
};

class MembershipSchedulesTest : public ::testing::Test {};

// Guards against accepted commands that are lost when daemons at other
// addresses replace voters, a group that splits into two after a membership
// change, and slots that stay vacant. MIMOSASTAGE_SEED and
// MIMOSASTAGE_SCHEDULES select other schedules.
TEST_F(MembershipSchedulesTest, Group_VotersAreReplaced_KeepsAcceptedCommands) {
  const std::uint64_t first = FromEnvironment("MIMOSASTAGE_SEED", 1);
  const std::uint64_t count = FromEnvironment("MIMOSASTAGE_SCHEDULES", 2'000);
  std::mutex mutex;
  LogIndex accepted = 0;
  std::size_t removals = 0;
  std::vector<std::string> failures;
  std::atomic<std::uint64_t> next = first;
  const auto run = [&] {
    for (auto seed = next++; seed < first + count; seed = next++) {
      ReplacementSchedule schedule(seed);
      const std::string failure = schedule.Run();
      const std::lock_guard lock(mutex);
      accepted += schedule.Accepted();
      removals += schedule.Removals();
      if (!failure.empty()) {
        failures.push_back("seed " + std::to_string(seed) + ": " + failure);
      }
    }
  };
  std::array<std::thread, 3> threads{std::thread(run), std::thread(run),
                                     std::thread(run)};
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (std::size_t i = 0; i < failures.size() && i < 5; ++i) {
    ADD_FAILURE() << failures[i];
  }
  EXPECT_TRUE(failures.empty())
      << failures.size() << " of " << count << " schedules failed; run "
      << "one with MIMOSASTAGE_SEED=<seed> MIMOSASTAGE_SCHEDULES=1";
  // Checks that the schedules did replace voters and accept commands.
  EXPECT_GE(removals, count);
  EXPECT_GT(accepted, count * 20);
}

// Guards against a voter that never recovers: it loses its disk while another
// one is replaced, and keeps waiting for a membership that is out of date.
TEST_F(MembershipSchedulesTest, Group_Seed7384_VoterWithoutDiskRecovers) {
  EXPECT_EQ(ReplacementSchedule(7384).Run(), "");
  EXPECT_EQ(ReplacementSchedule(7384, /*only_leaders_send_members=*/true).Run(),
            "");
}

// Guards against two voters with intact disks that never form a quorum: one was
// down while the other became a member, drops its messages as those of a
// stranger, and no leader is left that could name the members.
TEST_F(MembershipSchedulesTest, Group_Seed24194_VoterWithOldMembersRecovers) {
  EXPECT_EQ(ReplacementSchedule(24194).Run(), "");
}

}  // namespace
}  // namespace mimosastage
