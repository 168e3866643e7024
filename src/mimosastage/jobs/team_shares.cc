#include "mimosastage/jobs/team_shares.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "mimosastage/jobs/placement.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Bound on weights, so that sums of them are finite.
constexpr double kMaxTeamWeight = 1e12;

double BoundedWeight(double weight) {
  // The comparison is false for a weight that isn't a number.
  return weight > 0 ? std::min(weight, kMaxTeamWeight) : 0;
}

bool IsZero(const Amount& amount) {
  return amount.millicores == 0 && amount.memory_mb == 0 &&
         amount.accelerators == 0;
}

double PartOf(std::int64_t used, std::int64_t capacity) {
  if (used <= 0) {
    return 0;
  }
  return capacity <= 0
             ? 1
             : static_cast<double>(used) / static_cast<double>(capacity);
}

Amount SumOf(const Amount& a, const Amount& b) {
  Amount sum = a;
  Add(sum, b);
  return sum;
}

}  // namespace

void TeamShares::OnUse(const std::string& team, const Amount& amount) {
  Member& member = this->members[team];
  Add(member.used, amount);
  if (!member.active && IsZero(member.used)) {
    this->members.erase(team);
  }
}

void TeamShares::ClearUses() {
  for (auto& [team, member] : this->members) {
    member.used = Amount();
  }
}

void TeamShares::BeginRound(
    const Amount& free, const std::set<std::string>& waiting,
    const std::function<double(const std::string&)>& weight_of) {
  for (const std::string& team : waiting) {
    this->members.try_emplace(team);
  }
  this->capacity = free;
  this->total_weight = 0;
  for (auto member = this->members.begin(); member != this->members.end();) {
    auto& [team, row] = *member;
    row.assigned = Amount();
    if (IsZero(row.used) && !waiting.contains(team)) {
      member = this->members.erase(member);
      continue;
    }
    row.active = true;
    row.weight = BoundedWeight(weight_of(team));
    this->total_weight += row.weight;
    Add(this->capacity, row.used);
    ++member;
  }
}

void TeamShares::OnAssigned(const std::string& team, const Amount& amount) {
  if (const auto found = this->members.find(team);
      found != this->members.end()) {
    Add(found->second.assigned, amount);
  }
}

void TeamShares::EndRound() {
  for (auto& [team, member] : this->members) {
    member.assigned = Amount();
  }
}

double TeamShares::DominantShare(const Member& member) const {
  const Amount used = SumOf(member.used, member.assigned);
  return std::max({PartOf(used.millicores, this->capacity.millicores),
                   PartOf(used.memory_mb, this->capacity.memory_mb),
                   PartOf(used.accelerators, this->capacity.accelerators)});
}

double TeamShares::EntitledShare(const Member& member) const {
  return member.weight > 0 ? member.weight / this->total_weight : 0;
}

bool TeamShares::IsOverShare(const Member& member) const {
  return this->DominantShare(member) >= this->EntitledShare(member);
}

ShareRank TeamShares::RankOf(const std::string& team) const {
  const auto found = this->members.find(team);
  if (found == this->members.end() || !found->second.active ||
      !this->IsOverShare(found->second)) {
    return ShareRank{};
  }
  const Member& member = found->second;
  return ShareRank{true, member.weight > 0
                             ? this->DominantShare(member) / member.weight
                             : std::numeric_limits<double>::infinity()};
}

std::size_t TeamShares::TasksWithinShare(const std::string& team,
                                         const Amount& amount) const {
  const auto found = this->members.find(team);
  if (found == this->members.end() || this->IsOverShare(found->second)) {
    return 0;
  }
  const Amount share = this->ShareOf(team);
  const Amount used = this->UsedBy(team);
  const auto tasks = [](std::int64_t share, std::int64_t used,
                        std::int64_t need) {
    return need <= 0 ? std::numeric_limits<std::int64_t>::max()
                     : std::max<std::int64_t>(0, share - used) / need;
  };
  return static_cast<std::size_t>(std::min(
      {tasks(share.millicores, used.millicores, amount.millicores),
       tasks(share.memory_mb, used.memory_mb, amount.memory_mb),
       tasks(share.accelerators, used.accelerators, amount.accelerators)}));
}

Amount TeamShares::ShareOf(const std::string& team) const {
  Amount share;
  if (const auto found = this->members.find(team);
      found != this->members.end()) {
    const double part = this->EntitledShare(found->second);
    const auto part_of = [part](std::int64_t amount) {
      return static_cast<std::int64_t>(part * static_cast<double>(amount));
    };
    share.millicores = part_of(this->capacity.millicores);
    share.memory_mb = part_of(this->capacity.memory_mb);
    share.accelerators = part_of(this->capacity.accelerators);
  }
  return share;
}

Amount TeamShares::UsedBy(const std::string& team) const {
  const auto found = this->members.find(team);
  return found == this->members.end()
             ? Amount()
             : SumOf(found->second.used, found->second.assigned);
}

std::size_t TeamShares::Teams() const {
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(),
                    [](const auto& row) { return row.second.active; }));
}

std::size_t TeamShares::TeamsOverShare() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(), [this](const auto& row) {
        return row.second.active && this->IsOverShare(row.second);
      }));
}

double OwedJobs::OwedTo(const std::string& team, double weight,
                        milliseconds wall) const {
  const double rate = BoundedWeight(weight);
  // A weight below 1 is owed one job now and then.
  const double most = rate > 0 ? std::max(1.0, rate) : 0;
  const auto found = this->balances.find(team);
  if (found == this->balances.end()) {
    return most;
  }
  // The clock may be set back.
  const auto elapsed = std::max(milliseconds(0), wall - found->second.at);
  return std::min(most, found->second.jobs +
                            rate * static_cast<double>(elapsed.count()) / 1e3);
}

void OwedJobs::OnAccepted(const std::string& team, double weight,
                          milliseconds wall) {
  const double owed = this->OwedTo(team, weight, wall);
  this->balances[team] = Balance{std::max(0.0, owed - 1), wall};
}

bool OwedJobs::IsOwed(const std::string& team, double weight,
                      milliseconds wall) const {
  return this->OwedTo(team, weight, wall) >= 1;
}

void OwedJobs::Retain(const std::function<bool(const std::string&)>& is_known) {
  std::erase_if(this->balances,
                [&](const auto& row) { return !is_known(row.first); });
}

}  // namespace mimosastage::jobs
