#ifndef MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_GROUP_H_
#define MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_GROUP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/node/job_node.h"
#include "tests/node/support/event_queue.h"
#include "tests/node/support/job_rules.h"
#include "tests/node/support/simulated_worker.h"
#include "tests/replication/support/test_disk.h"

namespace mimosastage {

/// Voters and entries that run JobNode on a simulated clock, with the links
/// between them, the voters' disks, and the workers on their instances.
/// Deterministic for a given seed.
class JobGroup {
 public:
  struct Settings {
    std::size_t voters = 3;
    std::size_t entries = 1;
    std::size_t workers = 5;
    std::uint64_t seed = 0;
    ReplicationLimits limits;
    /// Longest delay of a message between daemons.
    std::chrono::microseconds link_delay{1'000};
    /// Probability that an order is executed, or its answer arrives, up to 12 s
    /// late, and that one is lost.
    double late_order = 0;
    double lost_answer = 0;
    /// All lives of a worker have one id.
    bool workers_keep_ids = false;
    /// A life may be of another kind than the one before.
    bool workers_change_kind = true;
    /// The platform carries out the upkeeps that daemons request.
    bool upkeeps = false;
    /// Probability that a sync takes up to 2 s.
    double sync_stall = 0;
    std::function<void(const std::string& line)> trace;
  };

  explicit JobGroup(Settings settings);
  JobGroup(const JobGroup&) = delete;
  JobGroup& operator=(const JobGroup&) = delete;

  EventQueue events;
  JobRules rules;

  std::size_t Size() const { return this->daemons.size(); }
  std::size_t Voters() const { return this->settings.voters; }
  std::size_t Instances() const { return this->instances.size(); }
  void Run(Duration duration) {
    this->events.RunUntil(this->events.Now() + duration);
  }

  // Daemons.
  bool Running(std::size_t daemon) const {
    return this->daemons[daemon].running;
  }
  bool Frozen(std::size_t daemon) const { return this->daemons[daemon].frozen; }
  /// The voter that is in its term of the highest view, as far as the reports
  /// of the daemons tell.
  std::optional<std::size_t> Leader() const { return this->leader; }
  /// Makes a call. `done` gets no answer if the connection ends before.
  void Call(std::size_t daemon, jobs::Call call, Duration patience,
            std::function<void(std::optional<jobs::Answer>)> done);
  /// Ends the process; with `power_loss`, peers don't see its links close.
  void Crash(std::size_t daemon, bool power_loss);
  /// Ends the process in one of its next turns, after `outputs` messages,
  /// orders and writes.
  void CrashAfter(std::size_t daemon, std::size_t outputs);
  void Restart(std::size_t daemon);
  void Freeze(std::size_t daemon);
  void Thaw(std::size_t daemon);
  /// Begins a planned stop, at the end of which the process ends.
  void Stop(std::size_t daemon);
  /// The disk refuses a write, and opens again after 0.5 s.
  void FailDisk(std::size_t voter);
  /// Steps the wall clock.
  void StepWallClock(std::size_t daemon, std::chrono::milliseconds offset) {
    this->daemons[daemon].wall_offset = offset;
  }
  /// Crashes the voter and empties its disk, if then at most f disks are lost
  /// and not recovered yet; returns false otherwise.
  bool LoseDisk(std::size_t voter);
  /// Whether the voter runs and its disk isn't lost, or has been recovered.
  bool Recovered(std::size_t voter) const {
    const Daemon& d = this->daemons[voter];
    return d.running && !d.frozen && !d.disk_invalid;
  }
  /// Delays all messages to and from the daemon by this much each way.
  void DelayLinks(std::size_t daemon, Duration delay) {
    this->daemons[daemon].link_delay = delay;
  }
  /// Cuts one direction, or joins it.
  void Cut(std::size_t from, std::size_t to, bool cut);
  void CutFromInstance(std::size_t daemon, std::size_t instance, bool cut);

  // Workers.
  SimulatedWorker* WorkerOn(std::size_t instance) {
    return this->instances[instance].worker.get();
  }
  bool Reachable(std::size_t daemon, std::size_t instance) const {
    return !this->instances[instance].cut_from.contains(daemon);
  }
  /// Ends the worker on the instance, and begins another life there up to 2 s
  /// later.
  void KillWorker(std::size_t instance);
  /// Ends the worker on the instance for good.
  void LoseWorker(std::size_t instance);

  /// Ends all faults but dead workers, which come back by themselves.
  void Heal();
  std::chrono::milliseconds WallTime() const;
  std::size_t Terms() const { return this->terms.size(); }

 private:
  struct Daemon {
    std::unique_ptr<JobNode> node;
    Member member;
    bool voter = false;
    TestDisk disk;
    bool disk_invalid = false;
    /// Counts the uses of the disk; a sync of a former one is ignored.
    std::uint64_t disk_use = 0;
    Duration link_delay{0};
    /// Counts the processes.
    std::uint64_t run = 0;
    bool running = false;
    bool frozen = false;
    std::uint64_t freezes = 0;
    Duration clock_offset{};
    /// Difference of its wall clock from the true time.
    std::chrono::milliseconds wall_offset{0};
    std::deque<std::function<void(TimePoint)>> waiting;
    std::optional<Duration> turn_at;
    std::optional<std::size_t> outputs_left;
    std::map<std::uint64_t, std::function<void(std::optional<jobs::Answer>)>>
        calls;
  };

  struct Direction {
    bool cut = false;
    std::uint64_t cuts = 0;
    /// The sender's end of the link is open.
    bool open = false;
    Duration last_arrival{};
    std::vector<std::function<void()>> held;
  };

  struct Instance {
    std::unique_ptr<SimulatedWorker> worker;
    std::set<std::size_t> cut_from;
    std::uint64_t lives = 0;
    bool pending = false;
    bool lost = false;
    /// Orders that a cut holds back.
    std::vector<std::pair<std::size_t, std::function<void()>>> held;
  };

  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  bool Chance(double probability);
  Duration RandomDelay(Duration least, Duration most);
  TimePoint Now(std::size_t daemon) const;
  void Trace(std::size_t daemon, const std::string& text) const;
  std::size_t IndexOf(DaemonId id) const;
  Direction& Link(std::size_t from, std::size_t to) {
    return this->links[from][to];
  }

  void MakeNode(std::size_t daemon);
  JobNode::Hooks MakeHooks(std::size_t daemon);
  DurableImage OpenDisk(std::size_t voter);
  /// Passes an event to the daemon, after its thaw if it is frozen.
  void Handle(std::size_t daemon, std::uint64_t run,
              std::function<void(TimePoint)> event);
  void ScheduleTurn(std::size_t daemon, Duration at);
  void Turn(std::size_t daemon);
  void AfterTurn(std::size_t daemon);
  /// False if the process has ended before this output.
  bool MayOutput(std::size_t daemon);
  void Persist(std::size_t voter, DurableWrite write);
  void FinishSync(std::size_t voter, std::uint64_t use, std::uint64_t ticket);
  void EndWrite(std::size_t voter);

  void SendMessage(std::size_t from, std::size_t to, std::string message);
  void CloseLink(std::size_t at, std::size_t peer);
  void TryToConnect(std::size_t a, std::size_t b);
  void SendOrder(std::size_t daemon, jobs::WorkerOrder order);
  std::optional<std::size_t> InstanceAt(const std::string& address) const;
  void AddWorker(std::size_t instance);
  /// Ends the worker on the instance. Its next life begins after `pause`.
  void EndWorker(std::size_t instance, Duration pause);
  /// Carries the request out, as the platform does.
  jobs::InstanceReply Answer(const jobs::InstanceRequest& request);

  Settings settings;
  std::mt19937_64 random;
  std::vector<Daemon> daemons;
  std::vector<std::vector<Direction>> links;
  std::vector<std::vector<std::uint64_t>> link_numbers;
  std::vector<Instance> instances;
  std::optional<std::size_t> leader;
  /// The views of all terms so far.
  std::set<std::string> terms;
  std::uint64_t next_request = 1;
  /// Waves and instances whose upkeep has begun.
  std::set<std::pair<std::uint64_t, std::string>> upkeeps_begun;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_GROUP_H_
