#include "mimosastage/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosastage {
namespace {

/// Weight of a new measurement in the moving average of the service time. 1/8
/// follows a change within about ten requests without jumping at each one.
constexpr double kServiceTimeGain = 0.125;
/// How long a measured service time may cause refusals. Without a limit, a team
/// whose requests all have less time left would never be measured again.
constexpr std::chrono::seconds kMeasurementValidity{5};
/// Lower bound of a weight, so that a team with waiting requests progresses
/// even if the leader's fractions are late.
constexpr double kMinWeight = 0.0001;
constexpr double kMillionthsPerWhole = 1'000'000;
constexpr double kMaxRetryAfterSeconds = 60;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::chrono::seconds RetryAfter(double seconds) {
  const double rounded = std::ceil(seconds);
  const double bounded = std::clamp(rounded, 1.0, kMaxRetryAfterSeconds);
  return std::chrono::seconds(static_cast<std::int64_t>(bounded));
}

}  // namespace

FairQueue::FairQueue(Settings settings, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      service_seconds(Seconds(settings.initial_service_time)) {}

std::uint32_t FairQueue::TeamState::Waiting() const {
  return this->lanes[0].waiting + this->lanes[1].waiting;
}

FairQueue::Lane& FairQueue::LaneOf(TeamState& team, bool urgent) {
  return team.lanes[urgent ? 0 : 1];
}

FairQueue::TeamState& FairQueue::FindOrAddTeam(const TeamName& name) {
  const auto [item, added] = this->teams.try_emplace(name);
  if (added) {
    item->second.name = name;
  }
  return item->second;
}

void FairQueue::SetShare(const TeamName& name, std::uint32_t share) {
  TeamState& team = this->FindOrAddTeam(name);
  team.share = share;
  this->UpdateWaitingWeight(team);
}

void FairQueue::SetFraction(const TeamName& name, std::uint32_t millionths) {
  TeamState& team = this->FindOrAddTeam(name);
  if (!team.millionths) {
    ++this->fraction_count;
  }
  this->fraction_sum += millionths;
  this->fraction_sum -= team.millionths.value_or(0);
  team.millionths = millionths;
  this->UpdateWaitingWeight(team);
}

double FairQueue::Weight(const TeamState& team) const {
  // A team without a fraction from the leader gets the mean of the others.
  const double mean = this->fraction_count == 0
                          ? kMillionthsPerWhole
                          : static_cast<double>(this->fraction_sum) /
                                static_cast<double>(this->fraction_count);
  const double millionths = team.millionths ? *team.millionths : mean;
  return std::max(kMinWeight, team.share * millionths / kMillionthsPerWhole);
}

void FairQueue::UpdateWaitingWeight(TeamState& team) {
  this->waiting_weight -= team.counted_weight;
  team.counted_weight = team.Waiting() > 0 ? this->Weight(team) : 0;
  this->waiting_weight += team.counted_weight;
  if (this->requests.empty()) {
    // Resets the accumulated rounding errors of the sum.
    this->waiting_weight = team.counted_weight;
  }
}

double FairQueue::ServiceSeconds(const TeamState& team) const {
  return team.service_seconds.value_or(this->service_seconds);
}

double FairQueue::MeasuredSeconds(const TeamState& team, TimePoint now) const {
  const bool valid =
      team.service_seconds && now - team.measured_at < kMeasurementValidity;
  return valid ? *team.service_seconds : 0;
}

std::optional<Refusal> FairQueue::Enqueue(const QueuedRequest& request,
                                          TimePoint now) {
  TeamState& team = this->FindOrAddTeam(request.team);
  if (const auto refusal = this->CheckAdmission(request, team, now)) {
    return refusal;
  }
  this->Insert(request, team, now);
  this->ReportDemand(team);
  return std::nullopt;
}

std::optional<Refusal> FairQueue::CheckAdmission(const QueuedRequest& request,
                                                 TeamState& team,
                                                 TimePoint now) {
  const double wait = this->ExpectedWait(team, request.urgent);
  const Lane& lane = LaneOf(team, request.urgent);
  if (const auto client = lane.clients.find(request.client);
      client != lane.clients.end() &&
      client->second.waiting.size() >= this->settings.max_waiting_per_client) {
    return Refusal{AdmissionError::kClientQueueFull, RetryAfter(wait)};
  }
  const double left = Seconds(request.deadline - now);
  const double allowed = (left - this->MeasuredSeconds(team, now)) *
                         this->settings.max_wait_fraction;
  if (left <= 0 || allowed < 0 || wait > allowed) {
    return Refusal{AdmissionError::kDeadlineTooShort,
                   RetryAfter(wait - allowed)};
  }
  if (this->requests.size() >= this->settings.max_waiting &&
      !this->DisplaceFor(team)) {
    return Refusal{AdmissionError::kQueueFull, RetryAfter(wait)};
  }
  return std::nullopt;
}

double FairQueue::ExpectedWait(const TeamState& team, bool urgent) const {
  const std::uint32_t ahead = urgent ? team.lanes[0].waiting : team.Waiting();
  const double slots = std::max(1U, this->hooks.slots());
  const double own = this->Weight(team);
  const double all = this->waiting_weight - team.counted_weight + own;
  return ahead * this->ServiceSeconds(team) / (slots * own / all);
}

bool FairQueue::DisplaceFor(const TeamState& arriving) {
  TeamState* over_share = this->TeamMostOverShare();
  if (over_share == nullptr || over_share == &arriving) {
    return false;
  }
  const double level = over_share->Waiting() / over_share->counted_weight;
  if (level <= (arriving.Waiting() + 1) / this->Weight(arriving)) {
    return false;
  }
  Lane& lane = over_share->lanes[1].waiting > 0 ? over_share->lanes[1]
                                                : over_share->lanes[0];
  const auto largest =
      std::max_element(lane.ready.begin(), lane.ready.end(),
                       [](const Client* a, const Client* b) {
                         return a->waiting.size() < b->waiting.size();
                       });
  this->Refuse((*largest)->waiting.rbegin()->second,
               AdmissionError::kDisplaced);
  return true;
}

FairQueue::TeamState* FairQueue::TeamMostOverShare() {
  TeamState* over_share = nullptr;
  for (auto& [name, team] : this->teams) {
    if (team.Waiting() == 0) {
      continue;
    }
    if (over_share == nullptr ||
        team.Waiting() * over_share->counted_weight >
            over_share->Waiting() * team.counted_weight) {
      over_share = &team;
    }
  }
  return over_share;
}

void FairQueue::Insert(const QueuedRequest& request, TeamState& team,
                       TimePoint now) {
  Lane& lane = LaneOf(team, request.urgent);
  if (lane.clients.size() >= lane.purge_at) {
    std::erase_if(lane.clients, [&](const auto& item) {
      return item.second.waiting.empty() &&
             item.second.virtual_time <= lane.virtual_time;
    });
    lane.purge_at = std::max<std::size_t>(64, 2 * lane.clients.size());
  }
  Client& client = lane.clients[request.client];
  if (client.waiting.empty()) {
    client.name = request.client;
    client.virtual_time = std::max(client.virtual_time, lane.virtual_time);
    lane.ready.insert(&client);
  }
  const std::uint64_t order = this->next_order++;
  client.waiting.emplace(order, request.id);
  ++lane.waiting;
  const TimePoint latest_start =
      request.deadline - FromSeconds(this->MeasuredSeconds(team, now));
  this->requests[request.id] = {request, &team, &client, order, latest_start};
  this->by_latest_start.emplace(latest_start, request.id);
  if (team.Waiting() == 1) {
    this->UpdateWaitingWeight(team);
    this->SetReady(team);
  }
}

void FairQueue::SetReady(TeamState& team) {
  team.blocked_by_limit = false;
  team.virtual_time = std::max(team.virtual_time, this->virtual_time);
  this->ready.insert(&team);
}

void FairQueue::Remove(std::uint64_t id) {
  const auto found = this->requests.find(id);
  const Waiting waiting = std::move(found->second);
  this->requests.erase(found);
  this->by_latest_start.erase({waiting.latest_start, id});
  TeamState& team = *waiting.team;
  Lane& lane = LaneOf(team, waiting.request.urgent);
  waiting.client->waiting.erase(waiting.order);
  if (waiting.client->waiting.empty()) {
    lane.ready.erase(waiting.client);
  }
  --lane.waiting;
  if (team.Waiting() == 0) {
    this->ready.erase(&team);
    team.blocked_by_limit = false;
    this->UpdateWaitingWeight(team);
  }
}

bool FairQueue::Cancel(std::uint64_t id) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return false;
  }
  const TeamState& team = *found->second.team;
  this->Remove(id);
  this->ReportDemand(team);
  return true;
}

void FairQueue::Refuse(std::uint64_t id, AdmissionError reason) {
  const TeamState& team = *this->requests.at(id).team;
  const double wait = this->ExpectedWait(team, false);
  this->Remove(id);
  this->ReportDemand(team);
  this->hooks.on_refused(id, {reason, RetryAfter(wait)});
}

std::optional<QueuedRequest> FairQueue::Next(TimePoint now) {
  while (!this->ready.empty()) {
    TeamState& team = **this->ready.begin();
    if (!this->hooks.team_may_start(team.name)) {
      this->ready.erase(this->ready.begin());
      team.blocked_by_limit = true;
      continue;
    }
    const std::uint64_t id = this->NextRequestId(team);
    if (!this->CanMeetDeadline(this->requests.at(id), now)) {
      this->Refuse(id, AdmissionError::kDeadlinePassed);
      continue;
    }
    return this->Start(id, now);
  }
  return std::nullopt;
}

std::uint64_t FairQueue::NextRequestId(TeamState& team) {
  const Lane& lane = team.lanes[0].waiting > 0 ? team.lanes[0] : team.lanes[1];
  return (*lane.ready.begin())->waiting.begin()->second;
}

bool FairQueue::CanMeetDeadline(const Waiting& waiting, TimePoint now) const {
  const double needed = this->MeasuredSeconds(*waiting.team, now);
  return now < waiting.request.deadline &&
         now + FromSeconds(needed) <= waiting.request.deadline;
}

QueuedRequest FairQueue::Start(std::uint64_t id, TimePoint now) {
  Waiting& waiting = this->requests.at(id);
  QueuedRequest request = waiting.request;
  TeamState& team = *waiting.team;
  Lane& lane = LaneOf(team, request.urgent);
  this->virtual_time = std::max(this->virtual_time, team.virtual_time);
  lane.virtual_time = std::max(lane.virtual_time, waiting.client->virtual_time);
  const double charge = this->ServiceSeconds(team);
  this->Remove(id);
  this->ChargeTeam(team, charge);
  ChargeClient(lane, request.client, charge);
  ++team.running;
  this->running_requests[id] = {&team, request.client, request.urgent, now,
                                charge};
  this->ReportDemand(team);
  return request;
}

void FairQueue::ChargeTeam(TeamState& team, double seconds) {
  const bool was_ready = this->ready.erase(&team) > 0;
  team.virtual_time += seconds / this->Weight(team);
  if (was_ready) {
    this->ready.insert(&team);
  }
}

void FairQueue::ChargeClient(Lane& lane, const ClientName& name,
                             double seconds) {
  const auto found = lane.clients.find(name);
  if (found == lane.clients.end()) {
    return;
  }
  Client& client = found->second;
  const bool was_ready = lane.ready.erase(&client) > 0;
  client.virtual_time += seconds;
  if (was_ready) {
    lane.ready.insert(&client);
  }
}

void FairQueue::TeamAvailable(const TeamName& name) {
  const auto found = this->teams.find(name);
  if (found != this->teams.end() && found->second.blocked_by_limit) {
    this->SetReady(found->second);
  }
}

bool FairQueue::Finish(std::uint64_t id, TimePoint now, bool measured) {
  const auto node = this->running_requests.extract(id);
  if (node.empty()) {
    return false;
  }
  const Running& running = node.mapped();
  TeamState& team = *running.team;
  --team.running;
  // The slot was in use for this time, however the request ended.
  const double seconds = Seconds(now - running.started);
  const double correction = seconds - running.charged_seconds;
  this->ChargeTeam(team, correction);
  ChargeClient(LaneOf(team, running.urgent), running.client, correction);
  if (measured) {
    this->Measure(team, seconds, now);
  }
  this->ReportDemand(team);
  return true;
}

void FairQueue::Measure(TeamState& team, double seconds, TimePoint now) {
  const double before = team.service_seconds.value_or(seconds);
  team.service_seconds = before + kServiceTimeGain * (seconds - before);
  team.measured_at = now;
  this->service_seconds += kServiceTimeGain * (seconds - this->service_seconds);
}

void FairQueue::Expire(TimePoint now) {
  while (!this->by_latest_start.empty()) {
    const auto [latest_start, id] = *this->by_latest_start.begin();
    if (latest_start >= now) {
      return;
    }
    Waiting& waiting = this->requests.at(id);
    if (!this->CanMeetDeadline(waiting, now)) {
      this->Refuse(id, AdmissionError::kDeadlinePassed);
      continue;
    }
    // The measured service time has fallen or its validity has ended.
    this->by_latest_start.erase(this->by_latest_start.begin());
    waiting.latest_start =
        waiting.request.deadline -
        FromSeconds(this->MeasuredSeconds(*waiting.team, now));
    this->by_latest_start.emplace(waiting.latest_start, id);
  }
}

void FairQueue::RefuseAll(AdmissionError reason) {
  while (!this->by_latest_start.empty()) {
    this->Refuse(this->by_latest_start.begin()->second, reason);
  }
}

void FairQueue::RefuseTeam(const TeamName& name, AdmissionError reason) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, waiting] : this->requests) {
    if (waiting.team->name == name) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    this->Refuse(id, reason);
  }
}

void FairQueue::ReportDemand(const TeamState& team) {
  this->hooks.on_demand(team.name, team.Waiting(), team.running);
}

}  // namespace mimosastage
