#include "mimosastage/jobs/fleet_state.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

template <class Map>
auto* Find(const Map& map, std::string_view name) {
  const auto found = map.find(std::string(name));
  return found == map.end() ? nullptr : found->second;
}

/// A job with more tasks, or more steps of all occurrences, would use up the
/// memory of each daemon that applies it. Far above FleetState::Limits, so that
/// no job that a leader accepts is left out. All replicas must agree on it.
constexpr std::size_t kMaxTasksOfRecord = 1'000'000;

std::size_t SaturatingProduct(std::size_t a, std::size_t b) {
  std::size_t product = 0;
  return __builtin_mul_overflow(a, b, &product)
             ? std::numeric_limits<std::size_t>::max()
             : product;
}

bool IsTooLarge(const JobRequest& request) {
  // The occurrences of a job without steps are visited as well.
  const std::size_t steps =
      SaturatingProduct(std::max<std::size_t>(1, request.steps.size()),
                        std::max<std::uint32_t>(1, request.occurrences));
  return steps > kMaxTasksOfRecord ||
         FleetState::TaskCount(request) > kMaxTasksOfRecord;
}

/// True if the record's tasks are those of its job. A job that has ended may
/// have none left.
bool IsConsistent(const jobs_wire::JobRecordT& record) {
  if (record.job == nullptr || IsTooLarge(*record.job)) {
    return false;
  }
  const bool ended =
      static_cast<JobPhase>(record.phase) >= JobPhase::kCompleted;
  return record.tasks.size() == FleetState::TaskCount(*record.job) ||
         (ended && record.tasks.empty());
}

/// True if the run is of a task of an open job, and the task isn't done. Only
/// such a task can be to blame for a crash.
bool IsOfOpenTask(const CrashedRun& run,
                  const std::unordered_map<std::string, Job>& jobs) {
  const auto job = jobs.find(run.job);
  const TaskId task{run.job, run.occurrence, run.step, run.index};
  return job != jobs.end() && !job->second.Ended() &&
         job->second.Contains(task) && !job->second.At(task).done;
}

/// Adds the location to a request that was stored without one.
void CompleteLocation(JobRequest& request, const QueueTable& queues) {
  if (!request.host.empty() || !request.path_prefix.empty()) {
    return;
  }
  if (const auto queue = queues.FindByName(request.queue); queue != nullptr) {
    request.host = queue->host;
    request.path_prefix = queue->path_prefix;
  }
}

}  // namespace

bool Job::IsHeldBy(const Queue& queue) const {
  return this->queue != nullptr &&
         QueueTable::LocationOf(*this->queue) == QueueTable::LocationOf(queue);
}

std::uint32_t Job::Occurrences() const {
  return std::max<std::uint32_t>(1, this->request->occurrences);
}

std::size_t Job::TasksOfOccurrence() const {
  std::size_t count = 0;
  for (const auto& step : this->request->steps) {
    count += step->tasks;
  }
  return count;
}

std::size_t Job::StepBegin(std::uint32_t occurrence, std::uint32_t step) const {
  std::size_t begin = occurrence * this->TasksOfOccurrence();
  for (std::uint32_t i = 0; i < step; ++i) {
    begin += this->request->steps[i]->tasks;
  }
  return begin;
}

Task& Job::At(const TaskId& id) {
  return this->tasks[this->StepBegin(id.occurrence, id.step) + id.index];
}

const Task& Job::At(const TaskId& id) const {
  return this->tasks[this->StepBegin(id.occurrence, id.step) + id.index];
}

bool Job::Contains(const TaskId& id) const {
  return !this->tasks.empty() && id.occurrence < this->Occurrences() &&
         id.step < this->request->steps.size() &&
         id.index < this->request->steps[id.step]->tasks;
}

std::uint32_t& Job::OpenTasks(std::uint32_t occurrence, std::uint32_t step) {
  return this
      ->open_task_counts[occurrence * this->request->steps.size() + step];
}

std::uint32_t Job::OpenTasks(std::uint32_t occurrence,
                             std::uint32_t step) const {
  return this
      ->open_task_counts[occurrence * this->request->steps.size() + step];
}

bool Job::StepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& after = this->request->steps[step]->after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return earlier >= this->request->steps.size() ||
           this->OpenTasks(occurrence, earlier) == 0;
  });
}

void FleetState::Apply(const Batch& batch) {
  for (const auto& command : batch.commands) {
    this->Apply(*command);
  }
}

void FleetState::Apply(const Command& command) {
  if (command.configuration != nullptr) {
    this->Apply(*command.configuration);
  } else if (command.job != nullptr) {
    this->Accept(*command.job);
  } else if (command.start != nullptr) {
    this->Apply(*command.start);
  } else if (command.end != nullptr) {
    this->Apply(*command.end);
  } else if (command.worker != nullptr) {
    this->PutWorker(*command.worker);
    ++this->workers_version;
  } else if (command.worker_gone != nullptr) {
    const WorkerGone& gone = *command.worker_gone;
    this->workers_version +=
        this->workers.Remove(gone.id, gone.born_ms) ? 1 : 0;
  } else if (command.wave != nullptr) {
    this->waves.emplace(command.wave->number, *command.wave);
  } else if (command.begun != nullptr) {
    const auto found = this->waves.find(command.begun->wave);
    if (found != this->waves.end()) {
      found->second.begun.push_back(command.begun->machine);
    }
  } else if (command.ordered != nullptr) {
    this->ordered_at[command.ordered->instance] = command.ordered->at_ms;
  } else if (command.crash != nullptr) {
    this->Apply(*command.crash);
  } else if (command.finding != nullptr) {
    this->crashes.Settle(*command.finding);
    this->FailCrashingJobs();
  } else if (command.survived != nullptr) {
    const RunSurvived& run = *command.survived;
    this->crashes.OnSurvived(
        TaskId{run.job, run.occurrence, run.step, run.index},
        std::chrono::milliseconds(run.age_ms));
    this->FailCrashingJobs();
  } else if (command.evacuation != nullptr) {
    this->Apply(*command.evacuation);
  } else if (command.late_start != nullptr) {
    this->AddLateStart(*command.late_start);
  } else if (!command.cancelled_job.empty()) {
    this->Cancel(command.cancelled_job);
  } else if (const auto job = this->jobs.find(command.begun_job);
             job != this->jobs.end()) {
    this->MarkBegun(job->second);
  }
}

void FleetState::Apply(const Evacuation& evacuation) {
  if (evacuation.withdrawn) {
    this->evacuated_zones.erase(evacuation.zone);
  } else if (this->evacuated_zones.size() < this->bounds.evacuated_zones) {
    this->evacuated_zones.insert(evacuation.zone);
  }
}

void FleetState::AddLateStart(const RunStart& start) {
  const auto oldest =
      BoundedTime(start.at_ms) -
      std::chrono::milliseconds(this->bounds.late_start_retention_ms);
  while (!this->late_starts.empty() &&
         (this->late_starts.size() >= this->bounds.late_starts ||
          BoundedTime(this->late_starts.front().at_ms) < oldest)) {
    this->late_starts.pop_front();
  }
  this->late_starts.push_back(start);
}

void FleetState::Apply(const Configuration& next) {
  if (next.version > this->configuration->version) {
    this->configuration = std::make_shared<Configuration>(next);
    this->IndexConfiguration();
    this->BindJobs();
    this->job_changes.AddAll();
  }
}

void FleetState::BindJobs() {
  this->unstarted_jobs.clear();
  for (auto& [id, job] : this->jobs) {
    job.queue = this->queues.HolderOf(*job.request, std::move(job.queue));
    if (!job.Ended() && !job.begun) {
      this->CountUnstarted(job, 1);
    }
  }
}

void FleetState::IndexConfiguration() {
  this->queues.Assign(*this->configuration);
  this->teams.clear();
  this->keys.clear();
  this->pools.clear();
  for (const auto& pool : this->configuration->pools) {
    this->pools[pool->name] = pool.get();
  }
  for (const auto& team : this->configuration->teams) {
    this->teams[team->name] = team.get();
    for (const std::string& key : team->keys) {
      this->keys[key] = team.get();
    }
  }
}

std::size_t FleetState::TaskCount(const JobRequest& request) {
  std::size_t count = 0;
  for (const auto& step : request.steps) {
    count += step->tasks;
  }
  return SaturatingProduct(count,
                           std::max<std::uint32_t>(1, request.occurrences));
}

void FleetState::ResetOpenCounts(Job& job) {
  job.open_task_counts.clear();
  for (std::uint32_t k = 0; k < job.Occurrences(); ++k) {
    for (const auto& step : job.request->steps) {
      job.open_task_counts.push_back(step->tasks);
    }
  }
}

void FleetState::Accept(const JobRequest& request) {
  if (this->jobs.contains(request.id) || IsTooLarge(request)) {
    return;
  }
  JobRequest located = request;
  CompleteLocation(located, this->queues);
  Job job;
  job.request = std::make_shared<JobRequest>(std::move(located));
  job.queue = this->queues.HolderOf(*job.request, nullptr);
  if (job.queue == nullptr && this->configuration->version > 0) {
    // Nothing would run it until a later version has such a queue. Its caller
    // is told that it isn't stored.
    return;
  }
  job.tasks.resize(TaskCount(request));
  ResetOpenCounts(job);
  this->latest_ms = std::max(this->latest_ms, request.accepted_ms);
  this->open_jobs.emplace(request.accepted_ms, request.id);
  this->CountUnstarted(job, 1);
  this->jobs.emplace(request.id, std::move(job));
  this->job_changes.Add(JobChange{request.id, std::nullopt});
  this->EraseExpiredJobs(this->latest_ms);
}

void FleetState::Cancel(const std::string& id) {
  if (const auto found = this->jobs.find(id);
      found != this->jobs.end() && !found->second.Ended()) {
    this->EndJob(found->second, JobPhase::kCancelled);
  }
}

void FleetState::Apply(const RunStart& start) {
  const auto found = this->jobs.find(start.job);
  const TaskId id{start.job, start.occurrence, start.step, start.index};
  if (found == this->jobs.end() || !found->second.Contains(id)) {
    return;
  }
  Job& job = found->second;
  Task& task = job.At(id);
  task.runs = std::max(task.runs, start.run);
  task.active.push_back(
      ActiveRun{start.run, start.worker, start.born_ms, start.at_ms});
  ++job.active_runs;
  this->AddChange(id);
}

void FleetState::MarkBegun(Job& job) {
  if (!job.begun && !job.Ended()) {
    this->CountUnstarted(job, -1);
    job.phase = JobPhase::kRunning;
  }
  job.begun = true;
}

void FleetState::Apply(const RunEnd& end) {
  const auto found = this->jobs.find(end.job);
  const TaskId id{end.job, end.occurrence, end.step, end.index};
  if (found == this->jobs.end() || !found->second.Contains(id)) {
    return;
  }
  Job& job = found->second;
  Task& task = job.At(id);
  this->AddChange(id);
  const auto outcome = static_cast<RunOutcome>(end.outcome);
  if (outcome == RunOutcome::kDone || outcome == RunOutcome::kFailed) {
    // Logs of earlier releases have no other record of it.
    this->MarkBegun(job);
  }
  const bool concerned = this->crashes.Concerns(end.job);
  const auto run = std::find_if(
      task.active.begin(), task.active.end(),
      [&](const ActiveRun& active) { return active.number == end.run; });
  if (run == task.active.end()) {
    // The run was given up while its worker was silent, but had completed.
    if (outcome == RunOutcome::kDone && end.run <= task.runs && !task.done &&
        !job.Ended() && !job.request->steps[end.step]->long_running) {
      this->FinishTask(job, id);
    }
    if (concerned) {
      this->FailCrashingJobs();
    }
    return;
  }
  task.active.erase(run);
  --job.active_runs;
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
  }
  const Step& step = *job.request->steps[end.step];
  if (outcome == RunOutcome::kFailed) {
    ++task.failures;
  }
  if (!job.Ended() && !step.long_running) {
    if (outcome == RunOutcome::kDone && !task.done) {
      this->FinishTask(job, id);
    } else if (!task.done && job.queue != nullptr &&
               task.failures >= std::max(1U, job.queue->max_attempts)) {
      this->EndJob(job, JobPhase::kFailed);
    }
  }
  this->ReleaseTasks(job);
  if (concerned) {
    // The end may have cleared the task, which leaves its neighbours to blame.
    this->FailCrashingJobs();
  }
}

void FleetState::Apply(const WorkerCrash& crash) {
  WorkerCrash open = crash;
  // A job may have ended between the crash and its record. One that didn't
  // complete may have caused the crash, so it doesn't count against others.
  for (const auto& run : crash.runs) {
    if (const Job* job = this->FindJob(run->job);
        job != nullptr && job->Ended() && job->phase != JobPhase::kCompleted &&
        run->age_ms < CrashLedger::kYoungRun.count()) {
      open.explained = true;
    }
  }
  std::erase_if(open.runs, [&](const auto& run) {
    return !IsOfOpenTask(*run, this->jobs);
  });
  this->crashes.Record(open);
  this->FailCrashingJobs();
}

void FleetState::FailCrashingJobs() {
  for (std::vector<std::string> blamed = this->crashes.JobsToBlame();
       !blamed.empty(); blamed = this->crashes.JobsToBlame()) {
    const auto found = this->jobs.find(blamed.front());
    if (found == this->jobs.end()) {
      this->crashes.ForgetJob(blamed.front());
      continue;
    }
    ++this->given_up_jobs;
    this->EndJob(found->second, JobPhase::kFailed);
  }
}

void FleetState::AddChange(const TaskId& task) {
  this->job_changes.Add(
      JobChange{task.job, JobChange::StepNumber{task.occurrence, task.step}});
}

void FleetState::FinishTask(Job& job, const TaskId& id) {
  const Step& step = *job.request->steps[id.step];
  std::uint32_t& open = job.OpenTasks(id.occurrence, id.step);
  if (step.gang) {
    // The completion of one member completes the whole gang.
    const std::size_t begin = job.StepBegin(id.occurrence, id.step);
    for (std::size_t i = 0; i < step.tasks; ++i) {
      job.tasks[begin + i].done = true;
    }
    open = 0;
  } else {
    job.At(id).done = true;
    --open;
  }
  if (this->crashes.Concerns(id.job)) {
    for (std::uint32_t i = 0; step.gang && i < step.tasks; ++i) {
      this->crashes.OnDone(TaskId{id.job, id.occurrence, id.step, i});
    }
    this->crashes.OnDone(id);
  }
  if (std::all_of(job.open_task_counts.begin(), job.open_task_counts.end(),
                  [](std::uint32_t left) { return left == 0; })) {
    this->EndJob(job, JobPhase::kCompleted);
  }
}

void FleetState::PutWorker(const Worker& worker) {
  if (worker.capacity != nullptr) {
    this->workers.Put(worker);
    return;
  }
  Worker complete = worker;
  complete.capacity = std::make_unique<Amount>();
  this->workers.Put(complete);
}

void FleetState::CountUnstarted(const Job& job, int change) {
  if (job.queue == nullptr) {
    return;
  }
  const auto count =
      this->unstarted_jobs.try_emplace(QueueTable::LocationOf(*job.queue), 0)
          .first;
  count->second += static_cast<std::size_t>(change);
  if (count->second == 0) {
    this->unstarted_jobs.erase(count);
  }
}

void FleetState::EndJob(Job& job, JobPhase phase) {
  if (!job.begun && !job.Ended()) {
    this->CountUnstarted(job, -1);
  }
  job.phase = phase;
  job.ended_ms = this->latest_ms;
  this->open_jobs.erase({job.request->accepted_ms, job.request->id});
  this->ended_jobs.emplace(job.ended_ms, job.request->id);
  if (phase != JobPhase::kCompleted) {
    // The job may have caused its crashes, so they don't count against others.
    this->crashes.Explain(job.request->id);
  }
  this->crashes.ForgetJob(job.request->id);
  this->job_changes.Add(JobChange{job.request->id, std::nullopt});
  this->ReleaseTasks(job);
}

void FleetState::ReleaseTasks(Job& job) {
  if (job.Ended() && job.active_runs == 0 && !job.tasks.empty()) {
    std::vector<Task>().swap(job.tasks);
    std::vector<std::uint32_t>().swap(job.open_task_counts);
    JobRequest summary;
    summary.id = job.request->id;
    summary.queue = job.request->queue;
    summary.host = job.request->host;
    summary.path_prefix = job.request->path_prefix;
    summary.team = job.request->team;
    summary.accepted_ms = job.request->accepted_ms;
    job.request = std::make_shared<JobRequest>(std::move(summary));
  }
}

void FleetState::EraseExpiredJobs(std::int64_t now_ms) {
  while (!this->ended_jobs.empty()) {
    const auto& [ended_ms, id] = *this->ended_jobs.begin();
    const auto found = this->jobs.find(id);
    if (ended_ms > now_ms - this->bounds.ended_job_retention_ms ||
        (found != this->jobs.end() && found->second.active_runs > 0)) {
      return;
    }
    this->jobs.erase(id);
    this->ended_jobs.erase(this->ended_jobs.begin());
  }
}

const Team* FleetState::FindTeam(std::string_view name) const {
  return Find(this->teams, name);
}

const Team* FleetState::TeamOfKey(std::string_view key) const {
  return Find(this->keys, key);
}

const Pool* FleetState::FindPool(std::string_view name) const {
  return Find(this->pools, name);
}

std::size_t FleetState::UnstartedJobs(const Queue& queue) const {
  const auto count = this->unstarted_jobs.find(QueueTable::LocationOf(queue));
  return count == this->unstarted_jobs.end() ? 0 : count->second;
}

std::map<std::string, std::size_t> FleetState::JobsOfRemovedQueues() const {
  std::map<std::string, std::size_t> counts;
  for (const auto& [accepted, id] : this->open_jobs) {
    const Job& job = this->jobs.at(id);
    if (job.queue != nullptr && !this->queues.Contains(*job.queue)) {
      ++counts[job.queue->name];
    }
  }
  return counts;
}

const Job* FleetState::FindJob(const std::string& id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

std::string FleetState::Snapshot() const {
  jobs_wire::SnapshotT snapshot;
  snapshot.configuration =
      std::make_unique<Configuration>(*this->configuration);
  for (const auto& [id, job] : this->jobs) {
    auto record = std::make_unique<jobs_wire::JobRecordT>();
    record->job = std::make_unique<JobRequest>(*job.request);
    if (job.queue != nullptr) {
      record->job->queue = job.queue->name;
      if (!this->queues.Contains(*job.queue)) {
        record->removed_queue = std::make_unique<Queue>(*job.queue);
      }
    }
    record->phase = static_cast<std::uint8_t>(job.phase);
    record->started = job.begun;
    record->ended_ms = job.ended_ms;
    for (const Task& task : job.tasks) {
      auto row = std::make_unique<jobs_wire::TaskT>();
      row->done = task.done;
      row->runs = task.runs;
      row->failures = task.failures;
      row->checkpoint = task.checkpoint;
      for (const ActiveRun& active : task.active) {
        auto run = std::make_unique<jobs_wire::ActiveRunT>();
        run->run = active.number;
        run->worker = active.worker;
        run->born_ms = active.born_ms;
        run->started_ms = active.started_ms;
        row->active.push_back(std::move(run));
      }
      record->tasks.push_back(std::move(row));
    }
    snapshot.jobs.push_back(std::move(record));
  }
  for (const auto& [id, worker] : this->workers.All()) {
    snapshot.workers.push_back(std::make_unique<Worker>(worker));
  }
  for (const auto& [number, wave] : this->waves) {
    snapshot.waves.push_back(std::make_unique<Wave>(wave));
  }
  for (const auto& [instance, at_ms] : this->ordered_at) {
    auto row = std::make_unique<InstanceOrder>();
    row->instance = instance;
    row->at_ms = at_ms;
    snapshot.ordered.push_back(std::move(row));
  }
  snapshot.crashes = this->crashes.Records();
  snapshot.evacuated_zones.assign(this->evacuated_zones.begin(),
                                  this->evacuated_zones.end());
  for (const RunStart& start : this->late_starts) {
    snapshot.late_starts.push_back(std::make_unique<RunStart>(start));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(jobs_wire::Snapshot::Pack(builder, &snapshot));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

bool FleetState::Restore(std::string_view bytes) {
  JobChanges changes = std::move(this->job_changes);
  const std::uint64_t version = this->workers_version;
  const std::uint64_t given_up = this->given_up_jobs;
  *this = FleetState();
  this->given_up_jobs = given_up;
  this->job_changes = std::move(changes);
  this->job_changes.AddAll();
  this->workers_version = version + 1;
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(), 64,
      100'000'000);
  if (!verifier.VerifyBuffer<jobs_wire::Snapshot>(nullptr)) {
    return false;
  }
  jobs_wire::SnapshotT snapshot;
  flatbuffers::GetRoot<jobs_wire::Snapshot>(bytes.data())->UnPackTo(&snapshot);
  if (!std::all_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                   [](const auto& record) { return IsConsistent(*record); })) {
    return false;
  }
  if (snapshot.configuration != nullptr) {
    this->configuration =
        std::make_shared<Configuration>(*snapshot.configuration);
    this->IndexConfiguration();
  }
  for (auto& record : snapshot.jobs) {
    Job job;
    job.request = std::make_shared<JobRequest>(*record->job);
    job.queue = this->queues.HolderOf(
        *job.request,
        std::shared_ptr<const Queue>(std::move(record->removed_queue)));
    job.phase = static_cast<JobPhase>(record->phase);
    job.begun = record->started;
    job.ended_ms = record->ended_ms;
    for (auto& row : record->tasks) {
      Task task;
      task.done = row->done;
      task.runs = row->runs;
      task.failures = row->failures;
      task.checkpoint = row->checkpoint;
      for (const auto& run : row->active) {
        task.runs = std::max(task.runs, run->run);
        task.active.push_back(
            ActiveRun{run->run, run->worker, run->born_ms, run->started_ms});
      }
      job.active_runs += task.active.size();
      job.tasks.push_back(std::move(task));
    }
    if (!job.Ended() || !job.tasks.empty()) {
      ResetOpenCounts(job);
      std::size_t next = 0;
      for (std::size_t i = 0; i < job.open_task_counts.size(); ++i) {
        const std::uint32_t tasks = job.open_task_counts[i];
        for (std::uint32_t n = 0; n < tasks; ++n) {
          job.open_task_counts[i] -= job.tasks[next++].done ? 1 : 0;
        }
      }
    }
    this->latest_ms =
        std::max({this->latest_ms, job.request->accepted_ms, job.ended_ms});
    const std::pair<std::int64_t, std::string> key{
        job.Ended() ? job.ended_ms : job.request->accepted_ms, job.request->id};
    const bool ended = job.Ended();
    if (const auto [row, is_new] =
            this->jobs.emplace(key.second, std::move(job));
        is_new) {
      (ended ? this->ended_jobs : this->open_jobs).insert(key);
      if (!ended && !row->second.begun) {
        this->CountUnstarted(row->second, 1);
      }
    }
  }
  for (auto& worker : snapshot.workers) {
    if (!this->workers.All().contains(worker->id)) {
      this->PutWorker(*worker);
    }
  }
  for (auto& wave : snapshot.waves) {
    this->waves.emplace(wave->number, *wave);
  }
  for (const auto& row : snapshot.ordered) {
    this->ordered_at[row->instance] = row->at_ms;
  }
  for (const auto& crash : snapshot.crashes) {
    std::erase_if(crash->runs, [&](const auto& run) {
      return !IsOfOpenTask(*run, this->jobs);
    });
    this->crashes.Record(*crash);
  }
  this->evacuated_zones.insert(snapshot.evacuated_zones.begin(),
                               snapshot.evacuated_zones.end());
  for (const auto& start : snapshot.late_starts) {
    this->AddLateStart(*start);
  }
  return true;
}

}  // namespace mimosastage::jobs
