#include "tests/node/support/job_traffic.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAnnouncementInterval = milliseconds(1'500);
constexpr Duration kAnnouncementPatience = seconds(1);
constexpr Duration kPatience = seconds(2);
/// Operators give up an attempt 300 ms later at the latest.
constexpr Duration kOperatorPatience = milliseconds(900);
constexpr const char* kPrefix = "/render/";
constexpr const char* kOuterPrefix = "/";

std::unique_ptr<jobs::Step> MakeStep(std::uint32_t tasks,
                                     std::int64_t millicores,
                                     std::int64_t memory_mb) {
  auto step = std::make_unique<jobs::Step>();
  step->tasks = tasks;
  step->need = std::make_unique<jobs::Amount>();
  step->need->millicores = millicores;
  step->need->memory_mb = memory_mb;
  step->estimate_ms = 600;
  return step;
}

std::unique_ptr<jobs::Queue> MakeQueue(const std::string& name) {
  auto queue = std::make_unique<jobs::Queue>();
  queue->name = name;
  queue->host = "host";
  queue->path_prefix = kPrefix;
  queue->pool = "render";
  queue->max_attempts = 1'000;
  queue->stretch = 2;
  queue->timeout_ms = 3'000;
  queue->target_ms = 600;
  queue->open = true;
  return queue;
}

jobs::CallOutcome OutcomeOf(const jobs::Answer& answer) {
  return static_cast<jobs::CallOutcome>(answer.outcome);
}

}  // namespace

JobTraffic::JobTraffic(Settings settings, JobGroup& group)
    : settings(settings), group(group), random(settings.seed) {
  for (std::size_t i = 0; i < this->group.Instances(); ++i) {
    this->group.events.After(milliseconds(this->Draw(1'500)),
                             [this, i] { this->AnnounceNext(i); });
  }
  this->ConfigureNext();
  this->group.events.After(seconds(2), [this] {
    this->SubmitNext();
    this->LookUpNext();
    this->ReadConfigurationNext();
    if (this->settings.queue_lookups) {
      this->LookUpQueueNext();
    }
    if (this->settings.waves) {
      this->SubmitLasting();
      this->StartWaveNext();
    }
    if (this->settings.evacuations) {
      this->ChangeZoneNext();
      this->ReadEvacuationsNext();
    }
  });
}

jobs::Call JobTraffic::MakeCall(jobs::CallKind kind,
                                const std::string& job) const {
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(kind);
  call.host = "host";
  call.path = kPrefix + job;
  return call;
}

// Clients.

void JobTraffic::SubmitNext() {
  if (!this->submits) {
    return;
  }
  const auto mean =
      static_cast<std::uint64_t>(this->settings.job_interval.count());
  this->group.events.After(milliseconds(this->Draw(2 * mean)),
                           [this] { this->SubmitNext(); });
  jobs::JobRequest request;
  request.id = "job" + std::to_string(++this->last_job);
  const std::uint64_t steps = 1 + this->Draw(3);
  for (std::uint32_t s = 0; s < steps; ++s) {
    // Sizes of which few fit into a worker's memory.
    request.steps.push_back(
        MakeStep(1 + static_cast<std::uint32_t>(this->Draw(6)),
                 500 * static_cast<std::int64_t>(1 + this->Draw(4)),
                 1'900 * static_cast<std::int64_t>(1 + this->Draw(4))));
    if (s > 0 && this->Draw(4) > 0) {
      request.steps.back()->after.push_back(s - 1);
    }
  }
  this->group.rules.AddJob(request);
  this->Submit(request.id, 8);
  if (this->Draw(12) == 0) {
    this->group.events.After(milliseconds(this->Draw(4'000)),
                             [this, id = request.id] { this->Cancel(id, 8); });
  }
}

void JobTraffic::SubmitLasting() {
  jobs::JobRequest request;
  request.id = "lasting" + std::to_string(this->last_wave);
  request.steps.push_back(MakeStep(
      1 + static_cast<std::uint32_t>(this->Draw(this->group.Instances())), 500,
      500));
  request.steps.back()->long_running = true;
  request.steps.back()->most_per_worker = 1;
  request.steps.back()->may_miss = static_cast<std::uint32_t>(this->Draw(3));
  this->group.rules.AddJob(request).lasting = true;
  this->Submit(request.id, 8);
}

void JobTraffic::Submit(const std::string& id, int attempts) {
  JobRules::SubmittedJob& job = this->group.rules.Jobs().at(id);
  jobs::Call call = this->MakeCall(jobs::CallKind::kSubmit, id);
  call.job = std::make_unique<jobs::JobRequest>(job.request);
  call.job->specification = job.lasting ? SimulatedWorker::kLasting
                                        : std::string(this->Draw(400), 's');
  // An attempt that is open, or that wasn't answered clearly, may be stored.
  const bool before = std::exchange(job.possibly_stored, true);
  this->group.Call(
      this->DrawEntry(), std::move(call), kPatience,
      [this, id, attempts, before](const std::optional<jobs::Answer>& answer) {
        JobRules::SubmittedJob& job = this->group.rules.Jobs().at(id);
        const auto outcome = answer.has_value() ? OutcomeOf(*answer)
                                                : jobs::CallOutcome::kUnknown;
        if (outcome == jobs::CallOutcome::kOk) {
          this->group.rules.OnAccepted(id, this->group.events.Now());
          if (this->Draw(10) == 0 && attempts > 0) {
            this->group.events.After(milliseconds(this->Draw(4'000)),
                                     [this, id] { this->Submit(id, 0); });
          }
          return;
        }
        if (outcome != jobs::CallOutcome::kUnknown && !job.accepted) {
          job.possibly_stored = before;
          if (this->Draw(3) == 0) {
            return;
          }
        }
        if (attempts > 0 && !job.accepted) {
          this->group.events.After(
              milliseconds(100 + this->Draw(500)),
              [this, id, attempts] { this->Submit(id, attempts - 1); });
        }
      });
}

void JobTraffic::Cancel(const std::string& id, int attempts) {
  this->group.rules.Jobs().at(id).cancel_sent = true;
  this->group.Call(
      this->DrawEntry(), this->MakeCall(jobs::CallKind::kCancel, id), kPatience,
      [this, id, attempts](const std::optional<jobs::Answer>& answer) {
        JobRules::SubmittedJob& job = this->group.rules.Jobs().at(id);
        if (answer.has_value() &&
            OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
          if (!job.cancelled_at.has_value()) {
            job.cancelled_at = this->group.events.Now();
          }
        } else if (attempts > 0) {
          this->group.events.After(milliseconds(200), [this, id, attempts] {
            this->Cancel(id, attempts - 1);
          });
        }
      });
}

void JobTraffic::LookUpNext() {
  this->group.events.After(milliseconds(10 + this->Draw(60)),
                           [this] { this->LookUpNext(); });
  if (this->last_job == 0) {
    return;
  }
  std::string id = "job" + std::to_string(1 + this->Draw(this->last_job));
  const auto& jobs = this->group.rules.Jobs();
  if (const auto open = std::find_if(
          jobs.begin(), jobs.end(),
          [](const auto& row) { return JobRules::IsOpen(row.second); });
      !this->submits && open != jobs.end() && this->Draw(2) == 0) {
    id = open->first;
  }
  const bool accepted = jobs.at(id).accepted;
  this->group.Call(
      this->DrawEntry(), this->MakeCall(jobs::CallKind::kJobState, id),
      kPatience,
      [this, id, accepted](const std::optional<jobs::Answer>& answer) {
        if (answer.has_value()) {
          this->group.rules.OnJobState(id, *answer, accepted,
                                       this->group.events.Now());
        }
      });
}

void JobTraffic::LookUpQueueNext() {
  this->group.events.After(milliseconds(20 + this->Draw(200)),
                           [this] { this->LookUpQueueNext(); });
  this->group.Call(
      this->DrawEntry(), this->MakeCall(jobs::CallKind::kQueueLength, ""),
      kPatience,
      [this, before = this->group.rules.WaitingJobs(this->group.events.Now())](
          const std::optional<jobs::Answer>& answer) {
        if (answer.has_value() &&
            OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
          this->group.rules.OnQueueLength(answer->waiting, before,
                                          this->group.events.Now());
        }
      });
}

// The operator.

void JobTraffic::EndSubmissions() {
  this->submits = false;
  if (this->settings.queue_changes) {
    this->final_version = ++this->last_version;
    this->Configure(this->final_version, 0, 1'000);
  }
}

void JobTraffic::ConfigureNext() {
  if (!this->submits) {
    return;
  }
  this->ConfigureNow();
  if (this->settings.queue_changes && this->Draw(4) == 0) {
    this->ConfigureNow();
  }
  const auto mean =
      static_cast<std::uint64_t>(this->settings.configuration_interval.count());
  this->group.events.After(milliseconds(this->Draw(2 * mean)),
                           [this] { this->ConfigureNext(); });
}

void JobTraffic::ConfigureNow() {
  this->last_version += 1 + this->Draw(3);
  this->Configure(this->last_version,
                  this->Draw(this->settings.configuration_bytes), 40);
}

std::unique_ptr<jobs::Queue> JobTraffic::QueueOf(std::uint64_t version) const {
  auto queue = MakeQueue("queue-render");
  if (this->settings.queue_changes) {
    // A repeated version must have the same content.
    std::mt19937_64 draw(this->settings.seed ^ version);
    const bool removed = draw() % 4 == 0 && version > 4;
    const bool removed_at_the_end =
        this->settings.outer_queue && this->settings.seed % 2 == 0;
    if (version == this->final_version ? removed_at_the_end : removed) {
      return nullptr;
    }
    queue->name += std::to_string(draw() % 3);
  }
  return queue;
}

void JobTraffic::ConfigureAt(std::size_t voter, std::size_t count,
                             Duration spread) {
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t version = ++this->last_version;
    this->group.events.After(
        spread * this->Draw(100) / 100,
        [this, voter, version] { this->ConfigureAt(voter, version, 0, 40); });
  }
}

void JobTraffic::Configure(std::uint64_t version, std::size_t bytes,
                           int attempts) {
  this->ConfigureAt(this->DrawVoter(), version, bytes, attempts);
}

void JobTraffic::ConfigureAt(std::size_t voter, std::uint64_t version,
                             std::size_t bytes, int attempts) {
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kConfigure);
  call.configuration = std::make_unique<jobs::Configuration>();
  call.configuration->version = version;
  call.configuration->source =
      std::to_string(version) + " " + std::string(bytes, 'x');
  auto pool = std::make_unique<jobs::Pool>();
  pool->name = "render";
  call.configuration->pools.push_back(std::move(pool));
  if (auto queue = this->QueueOf(version); queue != nullptr) {
    call.configuration->queues.push_back(std::move(queue));
  }
  if (this->settings.outer_queue) {
    auto queue = MakeQueue("queue-outer");
    queue->path_prefix = kOuterPrefix;
    call.configuration->queues.push_back(std::move(queue));
  }
  this->group.Call(
      voter, std::move(call), seconds(1),
      [this, version, bytes,
       attempts](const std::optional<jobs::Answer>& answer) {
        if (answer.has_value() &&
            OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
          this->group.rules.OnConfigurationAcknowledged(version);
        } else if (attempts > 0 &&
                   (!answer.has_value() ||
                    OutcomeOf(*answer) != jobs::CallOutcome::kInvalid)) {
          this->group.events.After(milliseconds(100 + this->Draw(200)),
                                   [this, version, bytes, attempts] {
                                     this->Configure(version, bytes,
                                                     attempts - 1);
                                   });
        }
      });
}

void JobTraffic::StartWaveNext() {
  if (!this->submits) {
    return;
  }
  this->group.events.After(milliseconds(3'000 + this->Draw(12'000)),
                           [this] { this->StartWaveNext(); });
  jobs::Wave wave;
  wave.number = ++this->last_wave;
  wave.duration_ms = 5'000 + static_cast<std::int64_t>(this->Draw(20'000));
  wave.most_at_once =
      1 + static_cast<std::uint32_t>(this->Draw(this->group.Instances()));
  const std::uint64_t share = 1 + this->Draw(4);
  for (std::size_t i = 0; i < this->group.Instances(); ++i) {
    if (this->Draw(4) < share) {
      wave.machines.push_back("instance-" + std::to_string(i));
    }
  }
  this->group.rules.AddWave(wave.number, wave.most_at_once);
  this->StartWave(wave, 20);
  if (this->Draw(3) == 0) {
    this->SubmitLasting();
  }
}

void JobTraffic::StartWave(const jobs::Wave& wave, int attempts) {
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kStartWave);
  call.wave = std::make_unique<jobs::Wave>(wave);
  this->group.Call(
      this->DrawVoter(), std::move(call), seconds(1),
      [this, wave, attempts](const std::optional<jobs::Answer>& answer) {
        const bool accepted =
            answer.has_value() && OutcomeOf(*answer) == jobs::CallOutcome::kOk;
        if (!accepted && attempts > 0) {
          this->group.events.After(milliseconds(200), [this, wave, attempts] {
            this->StartWave(wave, attempts - 1);
          });
        }
      });
}

void JobTraffic::ChangeZoneNext() {
  const auto& zones = this->group.rules.Zones();
  const auto evacuated =
      std::find_if(zones.begin(), zones.end(),
                   [](const auto& row) { return row.second.evacuated; });
  if (!this->submits) {
    if (evacuated != zones.end()) {
      this->ChangeZone(std::string(evacuated->first), false);
    }
    return;
  }
  // Half of the changes follow the one before at once.
  const Duration pause =
      milliseconds(this->Draw(2) == 0 ? this->Draw(300) : this->Draw(9'000));
  this->group.events.After(pause, [this] {
    const std::string zone = "zone-" + std::to_string(this->Draw(2));
    const auto known = this->group.rules.Zones().find(zone);
    this->ChangeZone(zone, known == this->group.rules.Zones().end() ||
                               !known->second.evacuated);
  });
}

void JobTraffic::ChangeZone(const std::string& zone, bool evacuate) {
  jobs::Call call;
  call.kind =
      static_cast<std::uint8_t>(evacuate ? jobs::CallKind::kEvacuateZone
                                         : jobs::CallKind::kWithdrawEvacuation);
  call.zone = zone;
  if (const auto known = this->group.rules.Zones().find(zone);
      known == this->group.rules.Zones().end() ||
      known->second.evacuated != evacuate) {
    this->group.rules.OnZoneChangeSent(zone, evacuate);
  }
  this->group.Call(
      this->DrawVoter(), std::move(call), kOperatorPatience,
      [this, zone, evacuate](const std::optional<jobs::Answer>& answer) {
        if (answer.has_value() &&
            OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
          this->group.rules.OnZoneChangeAcknowledged(zone,
                                                     this->group.events.Now());
          this->ChangeZoneNext();
        } else {
          this->group.events.After(milliseconds(100), [this, zone, evacuate] {
            this->ChangeZone(zone, evacuate);
          });
        }
      });
}

void JobTraffic::ReadEvacuationsNext() {
  this->group.events.After(milliseconds(50 + this->Draw(300)),
                           [this] { this->ReadEvacuationsNext(); });
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kReadEvacuations);
  this->group.Call(this->DrawVoter(), std::move(call), kOperatorPatience,
                   [this, before = this->group.rules.Zones()](
                       const std::optional<jobs::Answer>& answer) {
                     if (answer.has_value() &&
                         OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
                       this->group.rules.OnEvacuationsRead(
                           answer->zones, before, this->group.events.Now());
                     }
                   });
}

void JobTraffic::ReadConfigurationNext() {
  this->group.events.After(milliseconds(50 + this->Draw(400)),
                           [this] { this->ReadConfigurationNext(); });
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kReadConfiguration);
  const std::uint64_t least = this->group.rules.AcknowledgedVersion();
  this->group.Call(this->Draw(this->group.Size()), std::move(call), kPatience,
                   [this, least](const std::optional<jobs::Answer>& answer) {
                     if (answer.has_value() &&
                         OutcomeOf(*answer) == jobs::CallOutcome::kOk) {
                       this->group.rules.OnConfigurationRead(
                           std::strtoull(answer->text.c_str(), nullptr, 10),
                           least, this->group.events.Now());
                     }
                   });
}

// Workers.

void JobTraffic::AnnounceNext(std::size_t instance) {
  this->group.events.After(kAnnouncementInterval,
                           [this, instance] { this->AnnounceNext(instance); });
  if (const SimulatedWorker* worker = this->group.WorkerOn(instance);
      worker != nullptr) {
    this->Announce(instance, worker->Life(), 2);
  }
}

void JobTraffic::Announce(std::size_t instance,
                          const JobRules::WorkerLife& life, int attempts) {
  SimulatedWorker* worker = this->group.WorkerOn(instance);
  if (worker == nullptr || worker->Life() != life) {
    return;
  }
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kAnnounceWorker);
  call.worker = std::make_unique<jobs::Worker>(worker->Record());
  call.sequence = worker->NextSequence();
  const std::size_t voter = this->DrawVoter();
  const auto retry = [this, instance, life,
                      attempts](const std::optional<jobs::Answer>& answer) {
    if (attempts > 0 &&
        (!answer.has_value() || OutcomeOf(*answer) != jobs::CallOutcome::kOk)) {
      this->group.events.After(milliseconds(1),
                               [this, instance, life, attempts] {
                                 this->Announce(instance, life, attempts - 1);
                               });
    }
  };
  if (!this->group.Reachable(voter, instance)) {
    this->group.events.After(kAnnouncementPatience,
                             [retry] { retry(std::nullopt); });
    return;
  }
  if (std::uniform_real_distribution<double>(0, 1)(this->random) <
      this->settings.late_announcement) {
    // The worker doesn't wait, and may have ended when it arrives.
    const auto late = std::make_shared<jobs::Call>(std::move(call));
    this->group.events.After(milliseconds(this->Draw(6'000)), [this, voter,
                                                               late] {
      this->group.Call(voter, *late, kAnnouncementPatience, [](const auto&) {});
    });
    retry(std::nullopt);
    return;
  }
  this->group.Call(voter, std::move(call), kAnnouncementPatience, retry);
}

}  // namespace mimosastage
