#ifndef MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_TRAFFIC_H_
#define MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_TRAFFIC_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "tests/node/support/job_group.h"

namespace mimosastage {

/// The callers of a group: clients that submit, cancel and look up jobs, an
/// operator that sends configurations, and workers that announce themselves.
class JobTraffic {
 public:
  struct Settings {
    std::uint64_t seed = 0;
    /// Mean interval between two jobs.
    std::chrono::milliseconds job_interval{200};
    std::chrono::milliseconds configuration_interval{3'000};
    /// Longest text of a configuration.
    std::size_t configuration_bytes = 2'000;
    /// Probability that an announcement arrives up to 6 s late.
    double late_announcement = 0;
    /// Versions rename the queue, remove it and bring it back, two at once at
    /// times.
    bool queue_changes = false;
    /// All versions have another queue, whose prefix begins that of the queue.
    /// In half of the schedules, the last version has no other one.
    bool outer_queue = false;
    /// Clients ask for the queue's number of waiting jobs.
    bool queue_lookups = false;
    /// Jobs last until the end, and waves of upkeep come.
    bool waves = false;
    /// Availability zones are evacuated, and their evacuation is withdrawn. All
    /// are withdrawn at the end.
    bool evacuations = false;
  };

  JobTraffic(Settings settings, JobGroup& group);
  JobTraffic(const JobTraffic&) = delete;
  JobTraffic& operator=(const JobTraffic&) = delete;

  /// Ends new submissions, cancels and configurations.
  void EndSubmissions();
  /// Sends `count` versions to the voter within `spread`. The answers of each
  /// version are judged like those of other configurations.
  void ConfigureAt(std::size_t voter, std::size_t count, Duration spread);

 private:
  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  std::size_t DrawEntry() {
    return this->group.Voters() +
           this->Draw(this->group.Size() - this->group.Voters());
  }
  std::size_t DrawVoter() { return this->Draw(this->group.Voters()); }

  void SubmitNext();
  /// Submits a job whose tasks last, one on each worker at most.
  void SubmitLasting();
  void Submit(const std::string& id, int attempts);
  void Cancel(const std::string& id, int attempts);
  void LookUpNext();
  void LookUpQueueNext();
  jobs::Call MakeCall(jobs::CallKind kind, const std::string& job) const;
  void ConfigureNext();
  /// Sends a version higher than all before.
  void ConfigureNow();
  /// The queue of the version; null if the version removes it.
  std::unique_ptr<jobs::Queue> QueueOf(std::uint64_t version) const;
  void Configure(std::uint64_t version, std::size_t bytes, int attempts);
  void ConfigureAt(std::size_t voter, std::uint64_t version, std::size_t bytes,
                   int attempts);
  void StartWaveNext();
  void StartWave(const jobs::Wave& wave, int attempts);
  void ChangeZoneNext();
  void ChangeZone(const std::string& zone, bool evacuate);
  void ReadEvacuationsNext();
  void ReadConfigurationNext();
  void AnnounceNext(std::size_t instance);
  void Announce(std::size_t instance, const JobRules::WorkerLife& life,
                int attempts);

  Settings settings;
  JobGroup& group;
  std::mt19937_64 random;
  bool submits = true;
  std::uint64_t last_job = 0;
  std::uint64_t last_version = 0;
  std::uint64_t last_wave = 0;
  /// Has the queue, so that clients can look up their jobs at the end, or the
  /// outer one, at which they can as well.
  std::uint64_t final_version = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_TRAFFIC_H_
