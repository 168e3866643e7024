#include "mimosastage/replication/replica.h"

#include <utility>

#include "mimosastage/replication/internal/replica_core.h"

namespace mimosastage {

Replica::Replica(ReplicaConfig config, Hooks hooks)
    : core(std::make_unique<Core>(std::move(config), std::move(hooks))) {}

Replica::~Replica() = default;

void Replica::Start(DurableImage image, TimePoint now) {
  this->core->Start(std::move(image), now);
}

void Replica::Handle(DaemonId from, const ReplicationMessage& message,
                     TimePoint now) {
  this->core->Handle(from, message, now);
}

void Replica::Tick(TimePoint now) { this->core->Tick(now); }

Result<LogIndex> Replica::Propose(std::string command, TimePoint now) {
  return this->core->Propose(std::move(command), now);
}

bool Replica::TooManyPending() const { return this->core->TooManyPending(); }

std::size_t Replica::PendingBytes() const { return this->core->PendingBytes(); }

Result<LogIndex> Replica::ProposeMembership(Membership next, TimePoint now) {
  return this->core->ProposeMembership(std::move(next), now);
}

void Replica::LearnMembership(Membership committed, TimePoint now) {
  this->core->LearnMembership(std::move(committed), now);
}

const Membership& Replica::Members() const { return this->core->Members(); }

const Membership& Replica::CommittedMembers() const {
  return this->core->CommittedMembers();
}

Duration Replica::SilenceOf(DaemonId voter, TimePoint now) const {
  return this->core->SilenceOf(voter, now);
}

void Replica::StorageSynced(std::uint64_t ticket, TimePoint now) {
  this->core->StorageSynced(ticket, now);
}

bool Replica::HasAuthority(TimePoint now) const {
  return this->core->HasAuthority(now);
}

void Replica::Resign(TimePoint now) { this->core->Resign(now); }

bool Replica::IsLeader() const { return this->core->IsLeader(); }

std::optional<DaemonId> Replica::Leader() const { return this->core->Leader(); }

ViewNumber Replica::View() const { return this->core->View(); }

LogIndex Replica::Commit() const { return this->core->Commit(); }

LogIndex Replica::LogEnd() const { return this->core->LogEnd(); }

ReplicaStatus Replica::Status() const { return this->core->Status(); }

}  // namespace mimosastage
