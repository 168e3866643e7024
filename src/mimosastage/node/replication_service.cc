#include "mimosastage/node/replication_service.h"

#include <algorithm>

#include "mimosastage/replication/message_codec.h"
#include "mimosastage/state/command_codec.h"

namespace mimosastage {

ReplicationService::ReplicationService(Settings settings, Hooks hooks)
    : settings(std::move(settings)), hooks(std::move(hooks)) {}

void ReplicationService::Start(std::optional<DurableImage> image,
                               TimePoint now) {
  const auto send = [this](DaemonId to, ReplicationMessage message) {
    this->Send(to, std::move(message));
  };
  const auto apply = [this](LogIndex index, const std::string& command) {
    this->Apply(index, command);
  };
  const auto install = [this](const std::string& snapshot) {
    this->Restore(snapshot);
  };
  if (image.has_value()) {
    Replica::Hooks replica_hooks;
    replica_hooks.send = send;
    replica_hooks.persist = [this](DurableWrite write) {
      this->hooks.persist(std::move(write));
    };
    replica_hooks.apply = apply;
    replica_hooks.install_snapshot = install;
    replica_hooks.take_snapshot = [this] { return this->state.Snapshot(); };
    this->replica = std::make_unique<Replica>(this->settings.replica,
                                              std::move(replica_hooks));
    this->replica->Start(*std::move(image), now);
  } else {
    FollowerConfig config;
    config.voters = this->settings.replica.voters;
    this->follower = std::make_unique<Follower>(
        std::move(config), Follower::Hooks{send, apply, install});
  }
  this->HandleSelfMessages(now);
}

void ReplicationService::Send(DaemonId to, ReplicationMessage&& message) {
  if (to == this->settings.replica.self) {
    this->self_messages.push_back(std::move(message));
    return;
  }
  this->hooks.send(to, ReplicationBytes{Encode(message)});
}

void ReplicationService::OnReplication(DaemonId from,
                                       const ReplicationBytes& message,
                                       TimePoint now) {
  const auto decoded = Decode(message.bytes);
  if (!decoded.has_value()) {
    this->hooks.count_drop("malformed_replication_message");
    return;
  }
  this->HandleReplication(from, *decoded, now);
  this->HandleSelfMessages(now);
}

void ReplicationService::HandleReplication(DaemonId from,
                                           const ReplicationMessage& message,
                                           TimePoint now) {
  if (const auto* request = std::get_if<LeaseRequest>(&message);
      request != nullptr && !this->MayGrantLease(from, *request, now)) {
    this->hooks.count_drop("lease_of_ended_session");
    return;
  }
  if (const auto* grant = std::get_if<LeaseGrant>(&message);
      grant != nullptr && this->lease != nullptr) {
    this->lease->OnGrant(*grant, now);
  }
  if (this->replica != nullptr) {
    this->replica->Handle(from, message, now);
  } else {
    this->follower->Handle(from, message, now);
  }
}

bool ReplicationService::MayGrantLease(DaemonId from,
                                       const LeaseRequest& request,
                                       TimePoint now) const {
  if (!this->IsLeader()) {
    return true;
  }
  const Session requester{from, request.session};
  // A new session isn't in the log yet. Its daemon needs the answer to find the
  // leader and to follow the log, and can't serve with the lease before it has
  // applied the start of its session.
  const bool known = this->state.Allowances().IsAlive(requester);
  return !known || this->hooks.may_grant_lease(requester, now);
}

void ReplicationService::HandleSelfMessages(TimePoint now) {
  while (!this->self_messages.empty()) {
    const ReplicationMessage message = std::move(this->self_messages.front());
    this->self_messages.pop_front();
    this->HandleReplication(this->settings.replica.self, message, now);
  }
}

void ReplicationService::OnProposal(const Proposal& proposal, TimePoint now) {
  if (!this->IsLeader()) {
    this->hooks.count_drop("proposal_to_other_than_leader");
    return;
  }
  if (!this->replica->Propose(EncodeProposal(proposal), now).has_value()) {
    this->hooks.count_drop("proposal_refused_by_log");
  }
  this->HandleSelfMessages(now);
}

void ReplicationService::OnStorageSynced(std::uint64_t ticket, TimePoint now) {
  if (this->replica != nullptr) {
    this->replica->StorageSynced(ticket, now);
    this->HandleSelfMessages(now);
  }
}

void ReplicationService::Tick(TimePoint now) {
  if (this->replica != nullptr) {
    this->replica->Tick(now);
  } else {
    this->follower->Tick(now);
  }
  if (const bool leads = this->IsLeader();
      std::exchange(this->was_leader, leads) && !leads) {
    this->AbortOneTimeProposals();
  }
  if (const auto leader = this->Leader(now);
      std::exchange(this->known_leader, leader) != leader) {
    if (this->lease != nullptr) {
      this->lease->LeaderChanged();
    }
    this->hooks.on_leader_changed(leader);
  }
  this->RequestLease(now);
  this->ResendPending(now);
  this->HandleSelfMessages(now);
}

void ReplicationService::SetSession(Session session) {
  this->session = session;
  this->lease =
      std::make_unique<ServingLease>(session.id, this->settings.lease);
}

void ReplicationService::RequestLease(TimePoint now) {
  if (this->lease == nullptr) {
    return;
  }
  if (const auto request = this->lease->NextRequest(this->Applied(), now);
      request.has_value()) {
    const std::optional<DaemonId> target =
        this->replica != nullptr ? this->replica->Leader()
                                 : this->follower->LeaseTarget(now);
    if (target.has_value()) {
      this->Send(*target, *request);
    }
  }
}

bool ReplicationService::Propose(const Command& command, TimePoint now,
                                 TimePoint give_up, Done done) {
  if (this->pending.size() >= this->settings.max_pending) {
    this->hooks.count_drop("too_many_pending_proposals");
    return false;
  }
  const std::uint64_t number = this->next_number++;
  PendingProposal& added = this->pending[number];
  added.proposal = Proposal{this->Proposer(), number, EncodeCommand(command)};
  added.sent = now;
  added.give_up = give_up;
  added.done = std::move(done);
  this->Submit(added.proposal, now);
  this->HandleSelfMessages(now);
  return true;
}

void ReplicationService::ProposeOnce(const Command& command, TimePoint now,
                                     Done done) {
  const std::uint64_t number = this->next_number++;
  const Proposal proposal{this->Proposer(), number, EncodeCommand(command)};
  PendingProposal& added = this->pending[number];
  added.proposal = proposal;
  added.give_up = TimePoint::max();
  added.one_time = true;
  added.done = std::move(done);
  if (!this->IsLeader() || !this->Submit(proposal, now)) {
    auto refused = this->pending.extract(number);
    refused.mapped().done(std::nullopt);
  }
  this->HandleSelfMessages(now);
}

bool ReplicationService::Submit(const Proposal& proposal, TimePoint now) {
  if (this->IsLeader()) {
    return this->replica->Propose(EncodeProposal(proposal), now).has_value();
  }
  const auto leader = this->Leader(now);
  if (!leader.has_value() || *leader == this->settings.replica.self) {
    return false;
  }
  this->hooks.send(*leader, proposal);
  return true;
}

void ReplicationService::ResendPending(TimePoint now) {
  std::vector<Done> expired;
  for (auto position = this->pending.begin();
       position != this->pending.end();) {
    PendingProposal& proposal = position->second;
    if (proposal.one_time) {
      ++position;
      continue;
    }
    if (now >= proposal.give_up) {
      expired.push_back(std::move(proposal.done));
      position = this->pending.erase(position);
      continue;
    }
    if (now - proposal.sent >= this->settings.resend_interval) {
      proposal.sent = now;
      this->Submit(proposal.proposal, now);
    }
    ++position;
  }
  for (const Done& done : expired) {
    done(std::nullopt);
  }
}

void ReplicationService::AbortOneTimeProposals() {
  std::vector<Done> dropped;
  for (auto position = this->pending.begin();
       position != this->pending.end();) {
    if (position->second.one_time) {
      dropped.push_back(std::move(position->second.done));
      position = this->pending.erase(position);
    } else {
      ++position;
    }
  }
  for (const Done& done : dropped) {
    done(std::nullopt);
  }
}

void ReplicationService::Apply(LogIndex index, const std::string& entry) {
  if (entry.empty()) {
    // Each view starts with an empty entry.
    return;
  }
  const auto proposal = DecodeProposal(entry);
  if (!proposal.has_value()) {
    this->hooks.count_drop("malformed_log_entry");
    return;
  }
  const auto command = DecodeCommand(proposal->command);
  if (!command.has_value()) {
    this->hooks.count_drop("malformed_command");
    return;
  }
  const Outcome outcome = this->state.Apply(index, *command);
  this->hooks.on_applied(index, *command, outcome);
  if (proposal->session != this->Proposer()) {
    return;
  }
  if (auto own = this->pending.extract(proposal->number); !own.empty()) {
    own.mapped().done(outcome);
  }
}

void ReplicationService::Restore(const std::string& snapshot) {
  if (this->state.Restore(snapshot)) {
    this->hooks.count_drop("malformed_snapshot");
    return;
  }
  this->hooks.on_restored();
}

Session ReplicationService::Proposer() const {
  return Session{this->settings.replica.self, this->settings.proposer};
}

LogIndex ReplicationService::Applied() const {
  return this->replica != nullptr ? this->replica->Commit()
                                  : this->follower->Applied();
}

bool ReplicationService::IsLeader() const {
  return this->replica != nullptr && this->replica->IsLeader();
}

std::optional<DaemonId> ReplicationService::Leader(TimePoint now) const {
  return this->replica != nullptr ? this->replica->Leader()
                                  : this->follower->Leader(now);
}

ViewNumber ReplicationService::View() const {
  return this->replica != nullptr ? this->replica->View()
                                  : this->follower->View();
}

std::size_t ReplicationService::PendingRetriedProposals() const {
  return static_cast<std::size_t>(
      std::count_if(this->pending.begin(), this->pending.end(),
                    [](const auto& item) { return !item.second.one_time; }));
}

std::string_view ReplicationService::Role() const {
  if (this->replica == nullptr) {
    return "follower";
  }
  if (this->replica->Status() == ReplicaStatus::kRecovering) {
    return "recovering";
  }
  return this->IsLeader() ? "leader" : "voter";
}

TimePoint ReplicationService::ServingUntil(TimePoint now) const {
  if (this->lease == nullptr ||
      !this->state.Allowances().IsAlive(this->session)) {
    return TimePoint::min();
  }
  return this->lease->ValidUntil(this->Applied(), now)
      .value_or(TimePoint::min());
}

}  // namespace mimosastage
