#include "mimosastage/node/job_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/replication/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;

/// Interval at which a voter checks its replica's timeouts.
constexpr milliseconds kReplicaTickInterval{20};
/// Shorter gaps in the leader's authority delay no lease and no call
/// noticeably.
constexpr milliseconds kReportedAuthorityGap{50};
/// From then on daemons keep their calls back. They would repeat them every 50
/// ms, and a leader that is short of processor time would stay without
/// authority for handling them.
constexpr milliseconds kAnnouncedAuthorityGap{100};
/// The leader resigns if it has lacked authority for this long, less the time
/// with it. Leases of workers last 4.5 s, and their last renewal may be 1.6 s
/// old; the next leader needs 0.6 to 0.9 s to begin its term.
constexpr milliseconds kMostAuthorityLacked{1'000};
/// A daemon without a replica only follows the leader's messages.
constexpr milliseconds kEntryTickInterval{50};
/// Interval at which the leader checks whether a voter must be replaced.
constexpr milliseconds kMembershipCheckInterval{100};

/// Bytes that a log entry has in addition to those of the call that it stores.
constexpr std::size_t kCommandOverhead = 1'024;

bool ChangesState(jobs::CallKind kind) {
  switch (kind) {
    case jobs::CallKind::kJobState:
    case jobs::CallKind::kQueueLength:
    case jobs::CallKind::kReadConfiguration:
    case jobs::CallKind::kWaveState:
    case jobs::CallKind::kReadEvacuations:
      return false;
    default:
      return true;
  }
}

std::unique_ptr<jobs::GroupMember> ToGroupMember(const Member& member) {
  auto row = std::make_unique<jobs::GroupMember>();
  const DaemonIdFields id = ToDaemonIdFields(member.daemon);
  row->daemon = id.number;
  row->address_id = id.address_id;
  row->address = member.address;
  row->port = member.port;
  return row;
}

Member ToMember(const jobs::GroupMember& row) {
  return Member{FromDaemonIdFields(row.daemon, row.address_id), row.address,
                row.port};
}

/// The first view is 0, and a worker reads a missing token as 0.
std::uint64_t FenceOf(ViewNumber view) { return view + 1; }

jobs::Answer MakeAnswer(jobs::CallOutcome outcome, const char* reason) {
  jobs::Answer answer;
  answer.outcome = static_cast<std::uint8_t>(outcome);
  answer.text = reason;
  return answer;
}

}  // namespace

JobNode::JobNode(Config config, Hooks hooks)
    : config(std::move(config)),
      hooks(std::move(hooks)),
      planner(this->config.membership),
      carried(
          this->config.carried_orders,
          jobs::CarriedOrders::Hooks{
              this->hooks.send_order,
              [this](DaemonId leader,
                     const std::vector<jobs::CarriedReply>& replies) {
                this->hooks.send(
                    leader,
                    EncodeMessage(JobsBytes{jobs::EncodeReplyBatch(replies)}));
              },
              this->hooks.count_drop},
          this->config.seed),
      first_call(this->config.seed + 1),
      next_call(this->first_call) {}

JobNode::~JobNode() = default;

void JobNode::Start(std::optional<DurableImage> image, TimePoint now) {
  if (!this->config.is_voter || !image.has_value()) {
    return;
  }
  if (image->intact) {
    this->StartReplica(*std::move(image), this->config.founding_membership,
                       now);
  } else {
    this->hooks.report("voter_waits_for_members", this->config.name,
                       "its disk is empty or out of date");
    this->deferred_image = std::move(image);
  }
}

void JobNode::StopVoting(const char* reason) {
  this->hooks.report("voting_stopped", this->config.name, reason);
  if (this->term != nullptr) {
    this->EndTerm(reason);
  }
  this->replica.reset();
  this->deferred_image.reset();
}

void JobNode::StartReplica(DurableImage image, const Membership& membership,
                           TimePoint now) {
  // The replica applies the whole image again.
  this->committed = jobs::FleetState();
  ReplicaConfig replica_config;
  replica_config.self = this->config.self;
  replica_config.voters = membership.Voters();
  replica_config.seed = this->config.seed;
  replica_config.timing = this->config.timing;
  replica_config.limits = this->config.limits;
  Replica::Hooks replica_hooks;
  replica_hooks.send = [this](DaemonId to, const ReplicationMessage& message) {
    this->SendReplication(to, message);
  };
  replica_hooks.persist = [this](DurableWrite write) {
    this->hooks.persist(std::move(write));
  };
  replica_hooks.apply = [this](LogIndex, const std::string& command) {
    this->Apply(command);
  };
  replica_hooks.install_snapshot = [this](const std::string& snapshot) {
    if (!this->committed.Restore(snapshot)) {
      this->hooks.count_drop("malformed_snapshot");
    }
  };
  replica_hooks.take_snapshot = [this] { return this->committed.Snapshot(); };
  this->replica = std::make_unique<Replica>(std::move(replica_config),
                                            std::move(replica_hooks));
  this->replica->Start(std::move(image), now);
  this->replica->LearnMembership(membership, now);
  // The seeds may name no other voter, and only the other voters know which
  // entries are committed, so the links connect to the logged voters already.
  if (const Membership& logged = this->replica->Members(); logged.version > 0) {
    this->hooks.on_members(logged, logged.Contains(this->config.self));
  }
}

void JobNode::SendReplication(DaemonId to, const ReplicationMessage& message) {
  this->hooks.send(to, EncodeMessage(ReplicationBytes{Encode(message)}));
}

void JobNode::Apply(const std::string& command) {
  if (const auto batch = jobs::DecodeBatch(command); batch.has_value()) {
    this->committed.Apply(*batch);
  } else {
    this->hooks.count_drop("malformed_log_entry");
  }
}

void JobNode::OnMessage(DaemonId from, const std::string& bytes,
                        TimePoint now) {
  const auto message = DecodeMessage(bytes);
  if (!message.has_value()) {
    this->hooks.count_drop("malformed_message");
    return;
  }
  if (const auto* replication = std::get_if<ReplicationBytes>(&*message)) {
    const auto decoded = Decode(replication->bytes);
    if (this->replica != nullptr && decoded.has_value()) {
      this->replica->Handle(from, *decoded, now);
    }
    return;
  }
  const auto* job_bytes = std::get_if<JobsBytes>(&*message);
  if (job_bytes == nullptr) {
    this->hooks.count_drop("unexpected_message");
    return;
  }
  const auto decoded = jobs::DecodeMessage(job_bytes->bytes);
  if (!decoded.has_value()) {
    this->hooks.count_drop("malformed_job_message");
    return;
  }
  if (const auto* call = decoded->body.AsCall(); call != nullptr) {
    const std::uint64_t number = call->number;
    this->ServeCall(*call, now, [this, from, number](jobs::Answer answer) {
      answer.number = number;
      this->hooks.send(from,
                       EncodeMessage(JobsBytes{jobs::EncodeAnswer(answer)}));
    });
  } else if (const auto* answer = decoded->body.AsAnswer(); answer != nullptr) {
    this->OnAnswer(from, answer->number, *answer, now);
  } else if (const auto* notice = decoded->body.AsLeadership();
             notice != nullptr) {
    this->OnLeadership(from, *notice, now);
  } else if (const auto* candidacy = decoded->body.AsCandidacy();
             candidacy != nullptr && candidacy->member != nullptr &&
             this->term != nullptr) {
    this->planner.OnCandidate(ToMember(*candidacy->member), now);
  } else if (const auto* orders = decoded->body.AsOrderBatch();
             orders != nullptr) {
    this->OnOrderBatch(from, *orders, now);
  } else if (const auto* replies = decoded->body.AsReplyBatch();
             replies != nullptr) {
    this->OnReplyBatch(from, *replies, now);
  } else if (const auto* carrier = decoded->body.AsCarrierNotice();
             carrier != nullptr && this->term != nullptr &&
             this->members.Contains(from)) {
    this->term->carriers->OnNotice(from, jobs::FromWire(*carrier), now);
  }
}

std::optional<DaemonId> JobNode::LeaderToCarryFor() const {
  if (this->replica == nullptr || this->term != nullptr ||
      this->stopping_since.has_value() || !this->leader.has_value() ||
      this->replica->View() > this->leader->view) {
    return std::nullopt;
  }
  return this->leader->daemon;
}

void JobNode::SendCarrierNotice(TimePoint now) {
  if (const auto leader = this->LeaderToCarryFor();
      leader.has_value() && this->members.Contains(this->config.self)) {
    this->hooks.send(
        *leader,
        EncodeMessage(JobsBytes{jobs::EncodeCarrierNotice(
            this->carried.MakeNotice(FenceOf(this->leader->view), now))}));
  }
}

void JobNode::OnOrderBatch(DaemonId from, const jobs_wire::OrderBatchT& wire,
                           TimePoint now) {
  auto batch = jobs::FromWire(wire);
  if (!batch.has_value()) {
    this->hooks.count_drop("malformed_order_batch");
    return;
  }
  const auto known = this->LeaderToCarryFor();
  this->carried.OnBatch(from, *std::move(batch), known,
                        known.has_value() ? FenceOf(this->leader->view) : 0,
                        now);
}

void JobNode::OnReplyBatch(DaemonId from, const jobs_wire::ReplyBatchT& wire,
                           TimePoint now) {
  auto replies = jobs::FromWire(wire);
  if (!replies.has_value()) {
    this->hooks.count_drop("malformed_reply_batch");
  } else if (this->term != nullptr) {
    this->term->carriers->OnReplies(from, *std::move(replies), now);
  }
}

void JobNode::OnLinkState(DaemonId peer, bool up, TimePoint now) {
  if (up) {
    this->links.insert(peer);
    this->next_leadership_notice = now;
    this->SendMembers(peer);
    return;
  }
  this->links.erase(peer);
  if (this->term != nullptr) {
    this->term->carriers->OnLinkDown(peer, now);
  }
  if (this->leader.has_value() && this->leader->daemon == peer) {
    this->leader.reset();
  }
  for (auto& [number, call] : this->calls) {
    if (call.sent_to == peer) {
      call.sent_to.reset();
    }
  }
}

void JobNode::OnLeadership(DaemonId from, const jobs::Leadership& notice,
                           TimePoint now) {
  const DaemonId daemon =
      FromDaemonIdFields(notice.leader, notice.leader_address_id);
  if (daemon == kNoVoter) {
    // From a voter that doesn't lead, which sends only committed members. A
    // replica with older ones would drop the messages of the voters that were
    // added since, and without those voters there may be no leader.
    this->LearnMembers(notice, now);
    return;
  }
  if (daemon != from ||
      (this->leader.has_value() && notice.view < this->leader->view)) {
    return;
  }
  const bool changed = !this->leader.has_value() ||
                       this->leader->daemon != daemon ||
                       this->leader->view != notice.view;
  const bool resumes = !changed && this->leader->paused && !notice.paused;
  this->leader = KnownLeader{daemon,        notice.view, notice.serving,
                             notice.paused, now,         notice.clock_us};
  if (resumes) {
    this->SendCalls(now);
  }
  if (changed) {
    this->hooks.report("leader_changed", DaemonIdText(daemon),
                       "view " + std::to_string(notice.view));
    // A daemon that leads again has lost the calls of its former term.
    for (auto& [number, call] : this->calls) {
      if (call.sent_to == daemon) {
        call.sent_to.reset();
      }
    }
    this->SendCalls(now);
  }
  this->LearnMembers(notice, now);
  if (!this->config.is_voter || this->members.version == 0) {
    return;
  }
  if (!this->members.Contains(this->config.self)) {
    jobs::Candidacy candidacy;
    candidacy.member = ToGroupMember(this->config.own_member);
    this->hooks.send(
        from, EncodeMessage(JobsBytes{jobs::EncodeCandidacy(candidacy)}));
  } else if (this->deferred_image.has_value()) {
    DurableImage image = *std::exchange(this->deferred_image, std::nullopt);
    this->StartReplica(std::move(image), this->members, now);
  }
  this->SendCarrierNotice(now);
}

void JobNode::LearnMembers(const jobs::Leadership& notice, TimePoint now) {
  Membership announced;
  announced.version = notice.members_version;
  for (const auto& row : notice.members) {
    announced.slots.push_back(ToMember(*row));
  }
  if (!announced.HasDistinctVoters()) {
    this->hooks.count_drop("members_with_equal_ids");
    return;
  }
  if (announced.version <= this->members.version) {
    return;
  }
  this->AdoptMembership(announced);
  if (this->replica != nullptr) {
    this->replica->LearnMembership(this->members, now);
  }
}

jobs::Leadership JobNode::MakeNotice(DaemonId leader) const {
  jobs::Leadership notice;
  const DaemonIdFields id = ToDaemonIdFields(leader);
  notice.leader = id.number;
  notice.leader_address_id = id.address_id;
  notice.members_version = this->members.version;
  for (const Member& member : this->members.slots) {
    notice.members.push_back(ToGroupMember(member));
  }
  return notice;
}

void JobNode::SendMembers(DaemonId to) {
  if (!this->config.is_voter || this->members.version == 0) {
    return;
  }
  this->hooks.send(to, EncodeMessage(JobsBytes{jobs::EncodeLeadership(
                           this->MakeNotice(kNoVoter))}));
}

void JobNode::AdoptMembership(const Membership& committed) {
  this->members = committed;
  std::string list;
  for (const Member& member : committed.slots) {
    list += list.empty() ? "" : " ";
    list += member.daemon == kNoVoter ? "vacant" : member.address;
  }
  this->hooks.report(
      "members_changed", this->config.name,
      "version " + std::to_string(committed.version) + ": " + list);
  this->hooks.on_members(committed, committed.Contains(this->config.self));
  for (const DaemonId peer : this->links) {
    this->SendMembers(peer);
  }
}

void JobNode::PlanMembership(TimePoint now) {
  if (now < this->next_membership_check) {
    return;
  }
  this->next_membership_check = now + kMembershipCheckInterval;
  const Membership& current = this->replica->Members();
  std::optional<Membership> next;
  if (current.version == 0) {
    // With the founding membership in the log, later starts don't depend on the
    // settings.
    next = this->config.founding_membership;
    next->version = 1;
  } else {
    next = this->planner.Plan(
        current, this->config.self,
        [&](DaemonId voter) { return this->replica->SilenceOf(voter, now); },
        now);
  }
  if (!next.has_value()) {
    return;
  }
  if (this->replica->ProposeMembership(*next, now).has_value()) {
    this->hooks.report("members_proposed", this->config.name,
                       "version " + std::to_string(next->version));
  }
}

void JobNode::OnStorageSynced(std::uint64_t ticket, TimePoint now) {
  if (this->replica != nullptr) {
    this->replica->StorageSynced(ticket, now);
  }
}

bool JobNode::HasAuthority(TimePoint now) const {
  return this->term != nullptr && !this->term->failed &&
         this->replica->View() == this->term->view &&
         this->replica->HasAuthority(now);
}

std::optional<DaemonId> JobNode::Leader(TimePoint now) const {
  if (this->term != nullptr) {
    return this->config.self;
  }
  if (this->leader.has_value() &&
      now - this->leader->last_heard < this->config.leader_silence &&
      this->links.contains(this->leader->daemon)) {
    return this->leader->daemon;
  }
  return std::nullopt;
}

bool JobNode::Ready(TimePoint now) const {
  if (this->stopping_since.has_value()) {
    return false;
  }
  if (this->term != nullptr) {
    return this->HasAuthority(now);
  }
  return this->Leader(now).has_value() && this->leader->serving;
}

void JobNode::OnCall(std::uint64_t request, jobs::Call call,
                     milliseconds patience, TimePoint now) {
  const auto kind = static_cast<jobs::CallKind>(call.kind);
  if (this->calls.size() >= this->config.max_open_calls) {
    this->hooks.count_refusal("too_many_open_calls");
    this->hooks.answer(
        request, kind,
        MakeAnswer(jobs::CallOutcome::kOverloaded, "too_many_open_calls"));
    return;
  }
  if (this->IsTooLong(call)) {
    this->hooks.count_refusal("call_too_long");
    this->hooks.answer(
        request, kind,
        MakeAnswer(jobs::CallOutcome::kInvalid, "call_too_long"));
    return;
  }
  const std::uint64_t number = this->next_call++;
  call.number = number;
  this->call_of_request[request] = number;
  OpenCall open;
  open.request = request;
  open.call = std::move(call);
  open.deadline = this->AnswerDeadline(now + patience);
  this->calls.emplace(number, std::move(open));
  this->SendCall(number, now);
}

void JobNode::OnDisconnect(std::uint64_t request) {
  if (const auto found = this->call_of_request.find(request);
      found != this->call_of_request.end()) {
    this->calls.erase(found->second);
    this->call_of_request.erase(found);
  }
}

void JobNode::SendCall(std::uint64_t number, TimePoint now) {
  OpenCall& open = this->calls.at(number);
  const auto leader = this->Leader(now);
  if (!leader.has_value() || now < open.next_send ||
      this->IsPaused(*leader, now)) {
    return;
  }
  open.sent_to = leader;
  ++open.unanswered_copies;
  if (*leader == this->config.self) {
    const jobs::Call call = open.call;
    this->ServeCall(call, now, [this, number, now](jobs::Answer answer) {
      this->OnAnswer(this->config.self, number, std::move(answer), now);
    });
    return;
  }
  open.call.leader_clock_us = this->leader->clock_us;
  this->hooks.send(*leader,
                   EncodeMessage(JobsBytes{jobs::EncodeCall(open.call)}));
}

void JobNode::ServeCall(const jobs::Call& call, TimePoint now,
                        const jobs::CallHandler::Reply& reply) {
  if (!this->HasAuthority(now)) {
    reply(MakeAnswer(jobs::CallOutcome::kUnavailable, "not_the_leader"));
    return;
  }
  this->term->handler->Handle(call, now, [this, reply](jobs::Answer answer) {
    if (answer.text.empty()) {
      answer.text = this->config.announce_address;
    }
    reply(std::move(answer));
  });
}

void JobNode::OnAnswer(DaemonId from, std::uint64_t number, jobs::Answer answer,
                       TimePoint now) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    if (!this->IsOwnCall(number)) {
      this->DropAnswerToFormerProcess(from, number);
    }
    return;
  }
  OpenCall& open = found->second;
  open.unanswered_copies -= open.unanswered_copies > 0 ? 1 : 0;
  const auto outcome = static_cast<jobs::CallOutcome>(answer.outcome);
  if (outcome == jobs::CallOutcome::kOverloaded && open.sent_to != from) {
    // The call was sent again to another leader, which may store it.
    this->hooks.count_drop("refusal_of_former_leader");
    return;
  }
  if (outcome == jobs::CallOutcome::kUnavailable) {
    // The daemon that was asked didn't accept the call. It is sent again until
    // its deadline.
    this->hooks.count_retry("leader_unavailable");
    open.sent_to.reset();
    open.next_send =
        std::max(open.next_send, now + this->config.call_retry_interval);
    return;
  }
  if (static_cast<jobs::CallKind>(open.call.kind) == jobs::CallKind::kSubmit &&
      outcome != jobs::CallOutcome::kOk && open.unanswered_copies > 0) {
    // Another copy may be accepted, so that the job isn't refused for sure.
    this->hooks.count_drop("refusal_of_one_copy");
    answer = MakeAnswer(jobs::CallOutcome::kUnknown, "other_copy_unanswered");
  }
  this->Finish(number, std::move(answer));
}

void JobNode::DropAnswerToFormerProcess(DaemonId from, std::uint64_t number) {
  this->hooks.count_drop("answer_to_former_process");
  if (!std::exchange(this->former_answer_reported, true)) {
    this->hooks.report("answer_to_former_process", DaemonIdText(from),
                       "call " + std::to_string(number) +
                           "; the calls of this process count from " +
                           std::to_string(this->first_call));
  }
}

void JobNode::Finish(std::uint64_t number, jobs::Answer answer) {
  const auto found = this->calls.find(number);
  const std::uint64_t request = found->second.request;
  const auto kind = static_cast<jobs::CallKind>(found->second.call.kind);
  this->calls.erase(found);
  this->call_of_request.erase(request);
  this->hooks.answer(request, kind, std::move(answer));
}

void JobNode::SendCalls(TimePoint now) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : this->calls) {
    numbers.push_back(number);
  }
  const auto leader = this->Leader(now);
  for (const std::uint64_t number : numbers) {
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
      continue;
    }
    const OpenCall& open = found->second;
    if (now >= open.deadline) {
      // A leader that answered a copy with kUnavailable hasn't applied it.
      if (open.unanswered_copies > 0 &&
          ChangesState(static_cast<jobs::CallKind>(open.call.kind))) {
        this->Finish(number, MakeAnswer(jobs::CallOutcome::kUnknown,
                                        "no_answer_from_leader"));
      } else {
        this->hooks.count_refusal("no_leader");
        this->Finish(number,
                     MakeAnswer(jobs::CallOutcome::kUnavailable, "no_leader"));
      }
    } else if (leader.has_value() && open.sent_to != leader) {
      this->SendCall(number, now);
    }
  }
}

void JobNode::OnWorkerReply(const jobs::WorkerReply& reply, TimePoint now) {
  if (!this->carried.OnReply(reply, now) && this->term != nullptr) {
    this->term->carriers->OnOwnReply(reply, now);
  }
}

void JobNode::OnInstanceReply(const jobs::InstanceReply& reply, TimePoint now) {
  if (this->term != nullptr) {
    this->term->dispatcher->OnInstanceReply(reply, now);
  }
}

void JobNode::OnAdvice(const jobs::AdviceReply& reply, TimePoint now) {
  if (this->term != nullptr) {
    this->term->dispatcher->OnAdvice(reply, now);
  }
}

void JobNode::Advance(TimePoint now) {
  if (this->replica != nullptr) {
    this->replica->Tick(now);
    this->AdvanceTerm(now);
    if (const Membership& known = this->replica->CommittedMembers();
        known.version > this->members.version) {
      this->AdoptMembership(known);
      this->next_leadership_notice = now;
    }
  }
  if (now >= this->next_call_check) {
    this->next_call_check = now + kReplicaTickInterval;
    this->SendCalls(now);
  }
  if (this->term != nullptr) {
    this->FlushBatch(now);
    this->BroadcastLeadership(now);
  }
  this->carried.Flush(now);
  if (this->stopping_since.has_value() && this->replica != nullptr &&
      !std::exchange(this->resigned, true)) {
    this->replica->Resign(now);
  }
}

void JobNode::AdvanceTerm(TimePoint now) {
  if (this->term != nullptr) {
    if (!this->replica->IsLeader() ||
        this->replica->View() != this->term->view) {
      this->EndTerm("leadership ended");
    } else if (this->term->failed) {
      this->EndTerm("the log refused a proposal");
    }
  }
  if (this->term == nullptr) {
    if (!this->replica->HasAuthority(now) || this->stopping_since.has_value()) {
      return;
    }
    if (this->last_term_view == this->replica->View()) {
      this->replica->Resign(now);
    } else {
      this->BeginTerm(now);
    }
    return;
  }
  this->RunEffects(now);
  this->ProposeEntries(now);
  // Counting the acknowledgements costs time in each turn.
  const bool authority = this->HasAuthority(now);
  this->WatchAuthority(authority, now);
  if (authority) {
    if (!this->term->LogIsFull()) {
      this->term->dispatcher->Tick(now);
    }
    this->term->carriers->Flush(now);
    this->PlanMembership(now);
  }
}

void JobNode::WatchAuthority(bool authority, TimePoint now) {
  AuthorityWatch& watch = this->term->authority;
  if (const auto gap = watch.OnTurn(authority, now);
      gap.has_value() && *gap >= kReportedAuthorityGap) {
    const auto text = [](Duration time) {
      return std::to_string(std::chrono::floor<milliseconds>(time).count()) +
             " ms";
    };
    this->hooks.report("authority_regained", this->config.name,
                       "after " + text(*gap) + "; " + text(watch.Lacked()) +
                           " in all, less the time with authority");
  }
  if (!authority && watch.Lacked() >= kMostAuthorityLacked) {
    // The others hear this leader, so they don't replace it.
    this->replica->Resign(now);
    this->EndTerm("no authority for most of the time");
  }
}

Duration JobNode::AuthorityGap(TimePoint now) const {
  return this->term != nullptr ? this->term->authority.Gap(now) : Duration(0);
}

bool JobNode::IsPaused(DaemonId leader, TimePoint now) const {
  return leader == this->config.self
             ? this->AuthorityGap(now) >= kAnnouncedAuthorityGap
             : this->leader->paused;
}

void JobNode::BeginTerm(TimePoint now) {
  auto next = std::make_unique<Term>();
  next->view = this->replica->View();
  this->last_term_view = next->view;
  next->working.Restore(this->committed.Snapshot());
  this->term = std::move(next);
  const auto propose = [this](jobs::Command command,
                              std::function<void(TimePoint)> committed) {
    this->Propose(std::move(command), std::move(committed));
  };
  const std::uint64_t fence = FenceOf(this->term->view);
  this->term->carriers = std::make_unique<jobs::OrderCarriers>(
      this->config.order_carriers, this->CarrierHooks(), this->config.self,
      fence);
  jobs::Dispatcher::Hooks hooks;
  hooks.propose = propose;
  hooks.send = [this](jobs::WorkerOrder order) {
    this->term->carriers->Submit(std::move(order));
  };
  hooks.send_instance_request = this->hooks.send_instance_request;
  hooks.ask_advice = this->hooks.ask_advice;
  hooks.wall_time = this->hooks.wall_time;
  hooks.report = this->hooks.report;
  hooks.count_retry = this->hooks.count_retry;
  this->term->dispatcher = std::make_unique<jobs::Dispatcher>(
      this->config.dispatcher, std::move(hooks), this->term->working,
      this->config.name, fence, now);
  const auto knows_zone = [this](const std::string& zone) {
    const auto& zones = this->config.availability_zones;
    return zones.empty() ||
           std::find(zones.begin(), zones.end(), zone) != zones.end();
  };
  this->term->handler = std::make_unique<jobs::CallHandler>(
      jobs::CallHandler::Hooks{propose, this->hooks.wall_time,
                               this->hooks.report, this->hooks.count_refusal,
                               [this] { return this->term->LogIsFull(); },
                               knows_zone},
      this->term->working, this->committed, *this->term->dispatcher);
  this->hooks.report("term_began", this->config.name,
                     "view " + std::to_string(this->term->view));
  this->next_leadership_notice = now;
  this->leader.reset();
}

jobs::OrderCarriers::Hooks JobNode::CarrierHooks() {
  jobs::OrderCarriers::Hooks hooks;
  hooks.send_batch = [this](DaemonId carrier, const jobs::OrderBatch& batch) {
    this->hooks.send(carrier,
                     EncodeMessage(JobsBytes{jobs::EncodeOrderBatch(batch)}));
  };
  hooks.send_order = this->hooks.send_order;
  hooks.on_reply = [this](const jobs::WorkerReply& reply, TimePoint now) {
    this->term->dispatcher->OnReply(reply, now);
  };
  hooks.report = this->hooks.report;
  hooks.count_retry = this->hooks.count_retry;
  return hooks;
}

void JobNode::EndTerm(const char* reason) {
  this->hooks.report("term_ended", this->config.name, reason);
  this->term.reset();
  for (auto& [number, open] : this->calls) {
    if (open.sent_to == this->config.self) {
      open.sent_to.reset();
    }
  }
}

void JobNode::Propose(jobs::Command command,
                      std::function<void(TimePoint)> committed) {
  Term& current = *this->term;
  current.working.Apply(command);
  current.batch.commands.push_back(
      std::make_unique<jobs::Command>(std::move(command)));
  if (committed) {
    current.batch_effects.push_back(std::move(committed));
  }
}

void JobNode::FlushBatch(TimePoint now) {
  Term& current = *this->term;
  const bool waits =
      now - current.last_entry < this->config.log_entry_interval &&
      !this->stopping_since.has_value();
  if (current.LogIsFull() || current.batch.commands.empty() || waits) {
    return;
  }
  current.last_entry = now;
  current.untaken_effects = std::exchange(current.batch_effects, {});
  this->EncodeEntries(std::exchange(current.batch, jobs::Batch()),
                      current.untaken);
  this->ProposeEntries(now);
}

void JobNode::EncodeEntries(jobs::Batch batch,
                            std::deque<std::string>& entries) const {
  std::string entry = jobs::EncodeBatch(batch);
  const std::size_t commands = batch.commands.size();
  if (entry.size() <= this->config.limits.command_bytes || commands == 1) {
    entries.push_back(std::move(entry));
    return;
  }
  jobs::Batch second;
  const auto middle = std::next(batch.commands.begin(),
                                static_cast<std::ptrdiff_t>(commands / 2));
  std::move(middle, batch.commands.end(), std::back_inserter(second.commands));
  batch.commands.erase(middle, batch.commands.end());
  this->EncodeEntries(std::move(batch), entries);
  this->EncodeEntries(std::move(second), entries);
}

void JobNode::ProposeEntries(TimePoint now) {
  Term& current = *this->term;
  while (!current.untaken.empty()) {
    if (this->replica->TooManyPending()) {
      this->ReportFullLog(now);
      return;
    }
    const std::size_t bytes = current.untaken.front().size();
    const auto index =
        this->replica->Propose(std::move(current.untaken.front()), now);
    if (!index.has_value()) {
      // The working state is ahead of the log; the next term starts from the
      // committed state.
      this->hooks.count_drop("proposal_refused_by_log");
      this->hooks.report(
          "proposal_refused", this->config.name,
          index.error().message() + "; " + std::to_string(bytes) + " bytes");
      current.failed = true;
      return;
    }
    current.untaken.pop_front();
    if (current.untaken.empty()) {
      current.effects.emplace_back(*index,
                                   std::exchange(current.untaken_effects, {}));
    }
  }
  if (current.log_full_since.has_value()) {
    const Duration waited =
        now - *std::exchange(current.log_full_since, std::nullopt);
    this->hooks.report(
        "log_takes_entries", this->config.name,
        "after " +
            std::to_string(std::chrono::floor<milliseconds>(waited).count()) +
            " ms");
  }
}

void JobNode::ReportFullLog(TimePoint now) {
  Term& current = *this->term;
  if (current.log_full_since.has_value()) {
    return;
  }
  current.log_full_since = now;
  this->hooks.report(
      "log_full", this->config.name,
      std::to_string(this->replica->LogEnd() - this->replica->Commit()) +
          " entries of " + std::to_string(this->replica->PendingBytes()) +
          " bytes wait for a quorum");
}

bool JobNode::IsTooLong(const jobs::Call& call) const {
  const bool stores_content = call.configuration != nullptr ||
                              call.job != nullptr || call.wave != nullptr;
  return stores_content && jobs::EncodeCall(call).size() + kCommandOverhead >
                               this->config.limits.command_bytes;
}

void JobNode::RunEffects(TimePoint now) {
  Term& current = *this->term;
  while (!current.effects.empty() &&
         current.effects.front().first <= this->replica->Commit()) {
    const auto effects = std::move(current.effects.front().second);
    current.effects.pop_front();
    for (const auto& effect : effects) {
      effect(now);
    }
  }
}

void JobNode::BroadcastLeadership(TimePoint now) {
  const bool serving =
      this->HasAuthority(now) && this->committed.Config().version > 0;
  const bool paused = this->IsPaused(this->config.self, now);
  if (now < this->next_leadership_notice && serving == this->last_serving &&
      paused == this->last_paused) {
    return;
  }
  this->last_serving = serving;
  this->last_paused = paused;
  this->next_leadership_notice = now + this->config.leadership_interval;
  jobs::Leadership notice = this->MakeNotice(this->config.self);
  notice.view = this->term->view;
  notice.serving = serving;
  notice.paused = paused;
  notice.clock_us = std::chrono::duration_cast<std::chrono::microseconds>(
                        now.time_since_epoch())
                        .count();
  const std::string message =
      EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)});
  for (const DaemonId peer : this->links) {
    this->hooks.send(peer, message);
  }
}

TimePoint JobNode::NextDue(TimePoint now) const {
  TimePoint due = now + (this->replica != nullptr ? kReplicaTickInterval
                                                  : kEntryTickInterval);
  due = std::min(due, this->carried.NextDue());
  if (this->term != nullptr && this->HasAuthority(now)) {
    due = std::min(due, this->term->carriers->NextDue());
    // A full log takes entries again after a commit, which is an event.
    if (!this->term->LogIsFull()) {
      due = std::min(due, this->term->dispatcher->NextDue(now));
      if (!this->term->batch.commands.empty()) {
        due = std::min(
            due, this->term->last_entry + this->config.log_entry_interval);
      }
    }
  }
  return due;
}

void JobNode::BeginShutdown(TimePoint now) {
  if (this->stopping_since.has_value()) {
    return;
  }
  this->stopping_since = now;
  for (auto& [number, open] : this->calls) {
    open.deadline = this->AnswerDeadline(open.deadline);
  }
}

TimePoint JobNode::AnswerDeadline(TimePoint deadline) const {
  if (!this->stopping_since.has_value()) {
    return deadline;
  }
  return std::min(deadline, *this->stopping_since + this->config.stop_deadline -
                                this->config.stop_answer_margin);
}

bool JobNode::Stopped(TimePoint now) const {
  if (!this->stopping_since.has_value()) {
    return false;
  }
  const Duration since = now - *this->stopping_since;
  const milliseconds notice = this->replica != nullptr
                                  ? milliseconds(500)
                                  : this->config.load_balancer_wait;
  return since > this->config.stop_deadline ||
         (since > notice && this->calls.empty() && this->carried.IsIdle());
}

}  // namespace mimosastage
