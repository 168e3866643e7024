// The part of Node that serves the operator port.
#include <utility>

#include "mimosastage/backend_servers/announcement_json.h"
#include "mimosastage/node/node.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

/// After this time, a change that wasn't applied is reported to the operator
/// with an unknown outcome.
constexpr std::chrono::seconds kChangeTimeout{10};

}  // namespace

OperatorHooks Node::MakeOperatorHooks() {
  OperatorHooks operator_hooks;
  operator_hooks.propose = [this](const Command& command,
                                  const OperatorHooks::ProposalDone& done) {
    this->ProposeForOperator(command, done);
  };
  operator_hooks.applied_state = [this] { return this->CurrentAppliedState(); };
  operator_hooks.status = [this] { return this->Status(); };
  operator_hooks.members = [this] { return this->Members(); };
  operator_hooks.metrics_text = [this] {
    return this->metrics.PrometheusText();
  };
  operator_hooks.announce = [this](const std::string& body,
                                   const OperatorHooks::ReplyDone& done) {
    this->OnAnnouncement(body, done);
  };
  return operator_hooks;
}

void Node::ProposeForOperator(const Command& command,
                              const OperatorHooks::ProposalDone& done) {
  const bool proposed = this->replication.Propose(
      command, this->last_now, this->last_now + kChangeTimeout,
      [done](const std::optional<Outcome>& outcome) {
        ProposalResult result;
        if (outcome.has_value()) {
          result.kind = ProposalResult::Kind::kCommitted;
          result.outcome = *outcome;
        } else {
          result.detail =
              "the change wasn't applied in time; send it again with the same "
              "change id";
        }
        done(result);
      });
  if (!proposed) {
    ProposalResult result;
    result.kind = ProposalResult::Kind::kNotAccepted;
    result.detail = "too many changes wait for the log; send it again later";
    done(result);
  }
}

// Copies the state at most once per applied index, and only on request.
std::shared_ptr<const AppliedState> Node::CurrentAppliedState() {
  const LogIndex applied = this->replication.Applied();
  if (this->applied_state == nullptr || this->applied_state_index != applied) {
    auto fresh = std::make_shared<AppliedState>();
    fresh->tables = this->replication.State().Tables();
    fresh->keys = this->replication.State().Keys().Keys();
    this->applied_state = std::move(fresh);
    this->applied_state_index = applied;
  }
  return this->applied_state;
}

DaemonStatus Node::Status() const {
  DaemonStatus status;
  status.cluster = this->config.settings.cluster;
  status.daemon = this->config.settings.daemon;
  status.ready = this->Ready(this->last_now);
  if (!status.ready) {
    status.not_ready_reason =
        this->shutdown_began.has_value()
            ? "the daemon is stopping"
            : "no serving lease: no contact with a quorum";
  }
  if (const auto leader = this->replication.Leader(this->last_now);
      leader.has_value()) {
    status.leader =
        this->config.settings.daemons[static_cast<std::size_t>(*leader)].name;
  }
  status.view = this->replication.View();
  status.commit = this->replication.Applied();
  status.applied = this->replication.Applied();
  return status;
}

std::vector<MemberStatus> Node::Members() const {
  const auto leader = this->replication.Leader(this->last_now);
  std::vector<MemberStatus> members;
  for (std::size_t i = 0; i < this->config.settings.daemons.size(); ++i) {
    const DaemonSettings& daemon = this->config.settings.daemons[i];
    const DaemonId id{static_cast<std::uint16_t>(i)};
    MemberStatus member;
    member.name = daemon.name;
    member.link = daemon.link.str();
    member.availability_zone = daemon.availability_zone;
    member.voter = daemon.voter;
    member.leader = leader == id;
    member.connected =
        id == this->config.settings.self || this->connected_peers.contains(id);
    members.push_back(std::move(member));
  }
  return members;
}

void Node::OnAnnouncement(const std::string& body,
                          const OperatorHooks::ReplyDone& done) {
  const auto announcement = ParseAnnouncement(body);
  if (!announcement.has_value()) {
    done(JsonReply{400, AnnouncementErrorBody(400, announcement.error(), 0)});
    return;
  }
  const bool was_known = this->directory.Find(announcement->name) != nullptr;
  const auto interval =
      this->directory.OnAnnouncement(*announcement, this->last_now);
  if (!interval.has_value()) {
    this->CountDrop("refused_announcement");
    const Instance* instance = this->replication.State().Instances().Find(
        InstanceName(announcement->name.str()));
    done(JsonReply{
        409, AnnouncementErrorBody(409, interval.error(),
                                   instance == nullptr ? 0 : instance->epoch)});
    return;
  }
  if (this->directory.HasUrgentChanges()) {
    this->OnDirectoryChange();
  }
  if (!was_known) {
    LogEvent(LogSeverity::kInfo, events::kBackendServerAnnounced,
             "a backend server announced itself")
        .With("backend_server", announcement->name.str())
        .With("pool", announcement->pool.str());
  }
  done(JsonReply{200, AnnouncementReplyBody(*interval)});
}

void Node::OnOperatorRequest(HttpRequest&& request, TimePoint now) {
  this->last_now = now;
  const std::uint64_t id = request.id;
  this->operators.Handle(std::move(request), [this, id](HttpAnswer&& answer) {
    this->hooks.answer_operator(id, std::move(answer));
  });
}

}  // namespace mimosastage
