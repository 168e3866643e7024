#include "mimosastage/node/job_node.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/jobs/carried_messages.h"
#include "mimosastage/replication/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs one JobNode without any other daemon.
class JobNodeTest : public ::testing::Test {
 protected:
  JobNodeTest() {
    this->config.name = "entry-1";
    this->config.self = DaemonId{1};
    this->config.own_member = Member{DaemonId{1}, "10.0.0.1", 7000};
    this->hooks.send = [this](DaemonId to, const std::string&) {
      ++this->sent[to];
    };
    this->hooks.persist = [](const DurableWrite&) {};
    this->hooks.on_members = [this](const Membership& members, bool) {
      this->reported_members = members;
    };
    this->hooks.answer = [this](std::uint64_t request, jobs::CallKind,
                                const jobs::Answer& answer) {
      this->answers[request] = static_cast<jobs::CallOutcome>(answer.outcome);
    };
    this->hooks.wall_time = [] { return milliseconds(1'700'000'000'000); };
    this->hooks.report = [](const char*, const std::string&,
                            const std::string&) {};
    this->hooks.count_refusal = [](const char*) {};
    this->hooks.count_retry = [](const char*) {};
    this->hooks.count_drop = [](const char*) {};
  }

  void Start() {
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->node->Start(std::nullopt, this->now);
  }

  /// Advances the node until it has stopped and returns the time this took.
  Duration RunUntilStopped() {
    const TimePoint began = this->now;
    while (!this->node->Stopped(this->now) && this->now - began < seconds(20)) {
      this->now += milliseconds(20);
      this->node->Advance(this->now);
    }
    return this->now - began;
  }

  /// Daemon 2 says that it leads the view, and 60 ms pass.
  void AnnounceLeader(std::uint64_t view) {
    jobs::Leadership notice;
    notice.leader = 2;
    notice.view = view;
    notice.serving = true;
    this->node->OnMessage(
        DaemonId{2}, EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}),
        this->now);
    this->now += milliseconds(60);
    this->node->Advance(this->now);
  }

  jobs::Call Submit() const {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(jobs::CallKind::kSubmit);
    return call;
  }

  JobNode::Config config;
  JobNode::Hooks hooks;
  std::unique_ptr<JobNode> node;
  std::map<std::uint64_t, jobs::CallOutcome> answers;
  std::map<DaemonId, int> sent;
  /// The membership last passed to on_members.
  Membership reported_members;
  TimePoint now{seconds(1'000)};
};

// Guards against a planned stop that closes connections without an answer: a
// call arrives late in the stop, and no leader is known.
TEST_F(JobNodeTest, Stop_CallsWithoutLeader_AreAnsweredBeforeTheEnd) {
  this->Start();
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  this->node->BeginShutdown(this->now);
  this->now += seconds(3);
  this->node->OnCall(2, this->Submit(), seconds(8), this->now);
  this->node->Advance(this->now);
  EXPECT_TRUE(this->answers.empty()) << "a leader may still be found";
  this->RunUntilStopped();
  ASSERT_EQ(this->answers.size(), 2U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kUnavailable);
  EXPECT_EQ(this->answers.at(2), jobs::CallOutcome::kUnavailable);
}

// Guards against a restarted voter that connects to no other: its seeds name
// none, and it waits for the committed membership, which only the others know.
TEST_F(JobNodeTest, Restart_SeedsNameNobodyElse_LinksAreToldOfTheLoggedVoters) {
  const Membership logged{1,
                          {Member{DaemonId{1}, "10.0.0.1", 7000},
                           Member{DaemonId{2}, "10.0.0.2", 7000},
                           Member{DaemonId{3}, "10.0.0.3", 7000}}};
  this->config.is_voter = true;
  this->config.founding_membership =
      FoundingMembership({Member{DaemonId{1}, "10.0.0.1", 7000}}, 1);
  DurableImage image;
  image.intact = true;
  image.incarnation = AddStart(image.starts, 7);
  image.entries.push_back(LogEntry{1, 0, EncodeMembership(logged)});
  this->node = std::make_unique<JobNode>(this->config, this->hooks);
  this->node->Start(std::move(image), this->now);
  EXPECT_EQ(this->reported_members, logged);
}

// Guards against a false refusal: a former leader refuses a call for overload
// after the call was sent to the next leader, which may store it.
TEST_F(JobNodeTest, FormerLeaderRefuses_CallIsAtTheNextOne_StaysOpen) {
  this->Start();
  const auto lead = [this](std::uint16_t leader, std::uint64_t view) {
    this->node->OnLinkState(DaemonId{leader}, true, this->now);
    jobs::Leadership notice;
    notice.leader = leader;
    notice.view = view;
    notice.serving = true;
    this->node->OnMessage(
        DaemonId{leader},
        EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}), this->now);
    this->now += milliseconds(60);
    this->node->Advance(this->now);
  };
  const auto refuse = [this](std::uint16_t leader) {
    jobs::Answer answer;
    answer.number = 1;
    answer.outcome = static_cast<std::uint8_t>(jobs::CallOutcome::kOverloaded);
    this->node->OnMessage(DaemonId{leader},
                          EncodeMessage(JobsBytes{jobs::EncodeAnswer(answer)}),
                          this->now);
  };
  lead(2, 1);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  lead(3, 2);
  refuse(2);
  EXPECT_TRUE(this->answers.empty());
  refuse(3);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kOverloaded);
}

// Guards against a leader that stays without authority because it handles the
// same calls every 50 ms: daemons keep their calls back until it has it again.
TEST_F(JobNodeTest, LeaderIsPaused_CallIsSentOnceItResumes) {
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  const auto announce = [this](bool paused) {
    jobs::Leadership notice;
    notice.leader = 2;
    notice.view = 1;
    notice.serving = !paused;
    notice.paused = paused;
    this->node->OnMessage(
        DaemonId{2}, EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}),
        this->now);
  };
  announce(true);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  for (int i = 0; i < 10; ++i) {
    this->now += milliseconds(60);
    this->node->Advance(this->now);
    announce(true);
  }
  EXPECT_EQ(this->sent[DaemonId{2}], 0);
  announce(false);
  EXPECT_EQ(this->sent[DaemonId{2}], 1);
}

// Guards against a false refusal: the leader gets a call twice, refuses the
// first copy, and accepts the second one after its configuration has changed.
TEST_F(JobNodeTest, LeaderRefusesOneOfTwoCopies_AnswerIsUnknown) {
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  this->AnnounceLeader(1);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  this->AnnounceLeader(2);
  ASSERT_EQ(this->sent[DaemonId{2}], 2);
  jobs::Answer refusal;
  refusal.number = 1;
  refusal.outcome = static_cast<std::uint8_t>(jobs::CallOutcome::kOverloaded);
  this->node->OnMessage(DaemonId{2},
                        EncodeMessage(JobsBytes{jobs::EncodeAnswer(refusal)}),
                        this->now);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kUnknown);
}

// Guards against an answer that leaves open whether the job was stored, after
// which clients don't send it again: no leader accepted any copy of the call.
TEST_F(JobNodeTest, EveryCopyIsUnavailable_JobIsRefusedAtTheDeadline) {
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  this->AnnounceLeader(1);
  this->node->OnCall(1, this->Submit(), milliseconds(150), this->now);
  ASSERT_EQ(this->sent[DaemonId{2}], 1);
  jobs::Answer unavailable;
  unavailable.number = this->config.seed + 1;
  unavailable.outcome =
      static_cast<std::uint8_t>(jobs::CallOutcome::kUnavailable);
  this->node->OnMessage(
      DaemonId{2}, EncodeMessage(JobsBytes{jobs::EncodeAnswer(unavailable)}),
      this->now);
  // The leader is lost before the call can be sent again.
  this->node->OnLinkState(DaemonId{2}, false, this->now);
  this->now += milliseconds(200);
  this->node->Advance(this->now);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kUnavailable);
}

// Guards against a call that nobody handles until its deadline: the leader's
// term ended, and the same daemon leads the next one.
TEST_F(JobNodeTest, LeaderLeadsANewView_CallOfItsFormerTerm_IsSentAgain) {
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  this->AnnounceLeader(1);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  this->AnnounceLeader(1);
  ASSERT_EQ(this->sent[DaemonId{2}], 1);
  this->AnnounceLeader(2);
  this->AnnounceLeader(2);
  EXPECT_EQ(this->sent[DaemonId{2}], 2);
}

// Guards against a copy of an evacuation that reaches a new leader after the
// operator has given it up and withdrawn the evacuation.
TEST_F(JobNodeTest, LeaderChangesAfterTheRetryPeriod_CallIsNotSentAgain) {
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  this->AnnounceLeader(1);
  jobs::Call call;
  call.kind = static_cast<std::uint8_t>(jobs::CallKind::kEvacuateZone);
  call.zone = "zone-1";
  this->node->OnCall(1, std::move(call), milliseconds(900), this->now);
  ASSERT_EQ(this->sent[DaemonId{2}], 1);
  this->now += milliseconds(900);
  this->AnnounceLeader(2);
  EXPECT_EQ(this->sent[DaemonId{2}], 1);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kUnknown);
}

// Guards against a call that seems younger or older than it is: the leader
// compares its clock with the one that the call was sent under.
TEST_F(JobNodeTest, CallIsSent_CarriesTheClockOfTheLatestNotice) {
  std::vector<std::int64_t> clocks;
  this->hooks.send = [&](DaemonId, const std::string& bytes) {
    const auto message = DecodeMessage(bytes);
    ASSERT_TRUE(message.has_value());
    const auto decoded =
        jobs::DecodeMessage(std::get<JobsBytes>(*message).bytes);
    ASSERT_TRUE(decoded.has_value());
    clocks.push_back(decoded->body.AsCall()->leader_clock_us);
  };
  this->Start();
  this->node->OnLinkState(DaemonId{2}, true, this->now);
  const auto announce = [this](std::uint64_t view, std::int64_t clock_us) {
    jobs::Leadership notice;
    notice.leader = 2;
    notice.view = view;
    notice.serving = true;
    notice.clock_us = clock_us;
    this->node->OnMessage(
        DaemonId{2}, EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}),
        this->now);
    this->now += milliseconds(60);
    this->node->Advance(this->now);
  };
  announce(1, 1'000);
  announce(1, 2'000);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  announce(2, 70);
  EXPECT_EQ(clocks, (std::vector<std::int64_t>{2'000, 70}));
}

// Guards against a change that is acknowledged and never stored (CONFIG): the
// leader answers a call of a daemon's former process, and the next process
// takes it for the answer to its own call with the same number.
TEST_F(JobNodeTest, ProcessRestarts_AnswerToCallOfFormerProcess_IsDropped) {
  std::vector<std::uint64_t> calls;
  std::map<std::string, int> drops;
  std::map<std::string, int> events;
  this->hooks.send = [&](DaemonId, const std::string& bytes) {
    const auto message = DecodeMessage(bytes);
    ASSERT_TRUE(message.has_value());
    const auto decoded =
        jobs::DecodeMessage(std::get<JobsBytes>(*message).bytes);
    ASSERT_TRUE(decoded.has_value());
    if (const auto* call = decoded->body.AsCall(); call != nullptr) {
      calls.push_back(call->number);
    }
  };
  this->hooks.count_drop = [&](const char* reason) { ++drops[reason]; };
  this->hooks.report = [&](const char* event, const std::string&,
                           const std::string&) { ++events[event]; };
  const auto start_and_call = [&](std::uint64_t seed) {
    this->config.seed = seed;
    this->Start();
    this->node->OnLinkState(DaemonId{2}, true, this->now);
    this->AnnounceLeader(1);
    this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  };
  const auto accept = [&](std::uint64_t number) {
    jobs::Answer answer;
    answer.number = number;
    answer.outcome = static_cast<std::uint8_t>(jobs::CallOutcome::kOk);
    this->node->OnMessage(DaemonId{2},
                          EncodeMessage(JobsBytes{jobs::EncodeAnswer(answer)}),
                          this->now);
  };
  start_and_call(0x9e37'79b9'7f4a'7c15);
  // The numbers of this process wrap around.
  start_and_call(std::numeric_limits<std::uint64_t>::max());
  ASSERT_EQ(calls.size(), 2U);
  accept(calls[0]);
  EXPECT_TRUE(this->answers.empty());
  EXPECT_EQ(drops["answer_to_former_process"], 1);
  EXPECT_EQ(events["answer_to_former_process"], 1);
  accept(calls[1]);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kOk);
  // A second answer to a call of this process is no such answer.
  accept(calls[1]);
  EXPECT_EQ(drops["answer_to_former_process"], 1);
}

/// A daemon whose only link is to a voter that doesn't lead.
class JobNodeWithFollowerTest : public JobNodeTest {
 protected:
  static constexpr DaemonId kFollower{1};

  /// Starts the node under test with the id `self` and exchanges messages with
  /// the follower for a second.
  void LinkToFollower(DaemonId self, std::optional<DurableImage> own_image) {
    std::vector<std::string> to_node;
    JobNode::Config follower_config = this->config;
    follower_config.is_voter = true;
    JobNode::Hooks follower_hooks = this->hooks;
    follower_hooks.on_members = [](const Membership&, bool) {};
    follower_hooks.send = [&](DaemonId to, const std::string& message) {
      if (to == self) {
        to_node.push_back(message);
      }
    };
    DurableImage image;
    image.intact = true;
    image.incarnation = AddStart(image.starts, 7);
    image.snapshot = WrapSnapshot(this->logged, jobs::FleetState().Snapshot());
    image.snapshot_index = 1;
    JobNode follower(follower_config, follower_hooks);
    follower.Start(std::move(image), this->now);
    this->config.self = self;
    this->config.is_voter = own_image.has_value();
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->node->Start(std::move(own_image), this->now);
    this->node->OnLinkState(kFollower, true, this->now);
    follower.OnLinkState(self, true, this->now);
    for (int i = 0; i < 50; ++i) {
      this->now += milliseconds(20);
      follower.Advance(this->now);
      for (const std::string& message : std::exchange(to_node, {})) {
        this->node->OnMessage(kFollower, message, this->now);
      }
      this->node->Advance(this->now);
    }
  }

  const Membership logged{1,
                          {Member{kFollower, "10.0.0.1", 7000},
                           Member{DaemonId{2}, "10.0.0.2", 7000},
                           Member{DaemonId{3}, "10.0.0.3", 7000}}};
};

// Guards against a restarted entry that serves nobody: its seeds name voters of
// which none leads, and only the leader told the entries who votes.
TEST_F(JobNodeWithFollowerTest, EntryRestarts_LearnsTheOtherVoters) {
  this->LinkToFollower(DaemonId{0x8000}, std::nullopt);
  EXPECT_EQ(this->reported_members, this->logged);
  EXPECT_FALSE(this->node->Ready(this->now)) << "a follower isn't a leader";
}

// Guards against a new voter, or one that has lost its disk, that never finds
// the leader, for the same reason.
TEST_F(JobNodeWithFollowerTest, VoterHasNoDisk_LearnsTheOtherVoters) {
  DurableImage empty;
  empty.incarnation = AddStart(empty.starts, 7);
  this->LinkToFollower(DaemonId{4}, empty);
  EXPECT_EQ(this->reported_members, this->logged);
  this->reported_members = Membership();
  this->LinkToFollower(DaemonId{2}, std::move(empty));
  EXPECT_EQ(this->reported_members, this->logged);
}

// Guards against a restarted voter with older members that drops the messages
// of a voter that was added while it was down, when no leader is left that
// could name the members.
TEST_F(JobNodeWithFollowerTest, VoterHasOlderMembers_AsksTheAddedVoter) {
  this->config.founding_membership =
      FoundingMembership({Member{DaemonId{2}, "10.0.0.2", 7000},
                          Member{DaemonId{3}, "10.0.0.3", 7000},
                          Member{DaemonId{9}, "10.0.0.9", 7000}},
                         1);
  int asked = 0;
  this->hooks.send = [&](DaemonId to, const std::string& bytes) {
    const auto message = DecodeMessage(bytes);
    ASSERT_TRUE(message.has_value());
    const auto* replication = std::get_if<ReplicationBytes>(&*message);
    if (to != kFollower || replication == nullptr) {
      return;
    }
    const auto decoded = Decode(replication->bytes);
    ASSERT_TRUE(decoded.has_value());
    asked += std::holds_alternative<Recovery>(*decoded) ? 1 : 0;
  };
  DurableImage image;
  image.intact = true;
  image.incarnation = AddStart(image.starts, 7);
  this->LinkToFollower(DaemonId{2}, std::move(image));
  EXPECT_EQ(this->reported_members, this->logged);
  EXPECT_GT(asked, 0);
}

/// The only voter of a group, which leads alone.
class JobNodeAloneTest : public JobNodeTest {
 protected:
  static constexpr std::size_t kMaxPendingEntries = 8;
  static constexpr std::size_t kLargestEntry = 8'000;

  JobNodeAloneTest() {
    this->config.is_voter = true;
    this->config.founding_membership =
        FoundingMembership({this->config.own_member}, 0);
    this->config.limits.pending_entries = kMaxPendingEntries;
    this->config.limits.command_bytes = kLargestEntry;
    this->hooks.persist = [this](const DurableWrite& write) {
      this->written_ticket = write.ticket;
    };
    this->hooks.send_order = [this](const jobs::WorkerOrder& order) {
      this->orders.push_back(order);
    };
    this->hooks.send_instance_request = [](const jobs::InstanceRequest&) {};
    this->hooks.report = [this](const char* event, const std::string&,
                                const std::string&) { ++this->events[event]; };
    this->StartVoting({});
    this->Run(seconds(2));
    this->Call(this->Configure(1, 0));
    this->Call(this->Announce());
  }

  /// Starts a new node with these entries in its log.
  void StartVoting(std::vector<LogEntry> entries) {
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    DurableImage image;
    image.intact = true;
    image.incarnation = AddStart(image.starts, 7);
    image.entries = std::move(entries);
    this->node->Start(std::move(image), this->now);
  }

  void Run(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += milliseconds(5);
      if (!this->disk_stalls) {
        this->node->OnStorageSynced(this->written_ticket, this->now);
      }
      this->node->Advance(this->now);
    }
  }

  /// Makes a call and runs the node for 100 ms. Returns the call's number.
  std::uint64_t Call(jobs::Call call) {
    this->node->OnCall(++this->last_call, std::move(call), seconds(1),
                       this->now);
    this->Run(milliseconds(100));
    return this->last_call;
  }

  static jobs::Call Configure(std::uint64_t version, std::size_t source_bytes) {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(jobs::CallKind::kConfigure);
    call.configuration = std::make_unique<jobs::Configuration>();
    call.configuration->version = version;
    call.configuration->source = std::string(source_bytes, 'x');
    auto pool = std::make_unique<jobs::Pool>();
    pool->name = "render";
    call.configuration->pools.push_back(std::move(pool));
    return call;
  }

  static jobs::Call Announce() {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(jobs::CallKind::kAnnounceWorker);
    call.worker = std::make_unique<jobs::Worker>();
    call.worker->id = "worker-1";
    call.worker->born_ms = 1;
    call.worker->pool = "render";
    call.worker->address = "10.0.1.1:80";
    call.worker->capacity = std::make_unique<jobs::Amount>();
    return call;
  }

  bool disk_stalls = false;
  std::uint64_t written_ticket = 0;
  std::uint64_t last_call = 0;
  std::vector<jobs::WorkerOrder> orders;
  std::map<std::string, int> events;
};

// Guards against two terms that workers can't tell apart: after the log refuses
// an entry, the next term repeats the fencing token and the order numbers.
TEST_F(JobNodeAloneTest, LogRefusesAnEntry_NextTermHasAnotherTokenAndNumbers) {
  jobs::Call call = Announce();
  call.worker->labels.emplace_back(kLargestEntry, 'x');
  this->Call(std::move(call));
  ASSERT_GE(this->events["proposal_refused"], 1);
  this->Run(seconds(3));
  ASSERT_GE(this->events["term_began"], 2);
  std::set<std::uint64_t> numbers;
  std::set<std::uint64_t> tokens;
  for (const jobs::WorkerOrder& order : this->orders) {
    EXPECT_TRUE(numbers.insert(order.number).second) << order.number;
    tokens.insert(order.fence);
  }
  EXPECT_GE(tokens.size(), 2U);
}

// Guards against one call that the log can't take and that ends each term to
// which it is sent, with all other calls of that term.
TEST_F(JobNodeAloneTest, Configure_LongerThanALogEntry_OnlyItIsRefused) {
  const std::uint64_t call = this->Call(Configure(2, kLargestEntry));
  EXPECT_EQ(this->answers.at(call), jobs::CallOutcome::kInvalid);
  EXPECT_EQ(this->events["term_began"], 1);
  const std::uint64_t next = this->Call(Configure(2, 0));
  EXPECT_EQ(this->answers.at(next), jobs::CallOutcome::kOk);
}

// Guards against calls that arrive at once and are refused by the log, because
// together they are longer than an entry.
TEST_F(JobNodeAloneTest, Calls_TogetherLongerThanALogEntry_AllAreAccepted) {
  for (std::uint64_t version = 2; version < 7; ++version) {
    this->node->OnCall(version, Configure(version, kLargestEntry / 2),
                       seconds(1), this->now);
  }
  this->Run(milliseconds(200));
  for (std::uint64_t version = 2; version < 7; ++version) {
    EXPECT_EQ(this->answers.at(version), jobs::CallOutcome::kOk);
  }
  EXPECT_EQ(this->events["term_began"], 1);
}

/// The same with a disk that stalls, so that entries wait in the log until it
/// takes no more.
class JobNodeFullLogTest : public JobNodeAloneTest {
 protected:
  /// Shorter than the stall after which the replica steps down.
  static constexpr milliseconds kStall{900};

  JobNodeFullLogTest() {
    this->hooks.answer = [this](std::uint64_t request, jobs::CallKind,
                                const jobs::Answer& answer) {
      this->answers[request] = static_cast<jobs::CallOutcome>(answer.outcome);
      this->answer_of[request] = answer;
    };
    this->hooks.count_refusal = [this](const char* reason) {
      ++this->refusals[reason];
    };
    this->hooks.report = [this](const char* event, const std::string&,
                                const std::string& detail) {
      ++this->events[event];
      this->latest_detail[event] = detail;
    };
  }

  /// Begins a term under the current settings, with a queue and a worker.
  void Lead(std::vector<LogEntry> entries = {}) {
    this->StartVoting(std::move(entries));
    this->Run(seconds(2));
    jobs::Call configure = Configure(1, 0);
    configure.configuration->queues.push_back(std::make_unique<jobs::Queue>());
    jobs::Queue& queue = *configure.configuration->queues.back();
    queue.name = "render";
    queue.host = "host";
    queue.path_prefix = "/render/";
    queue.pool = "render";
    queue.max_attempts = 2;
    queue.stretch = 2;
    queue.timeout_ms = 3'000;
    queue.open = true;
    this->Call(std::move(configure));
    this->Call(Announce());
    this->events.clear();
    this->refusals.clear();
  }

  std::uint64_t Open(jobs::Call call) {
    this->node->OnCall(++this->last_call, std::move(call), seconds(8),
                       this->now);
    return this->last_call;
  }

  /// Stalls the disk and makes changes until the log takes no more entries.
  std::vector<std::uint64_t> FillLog() {
    this->disk_stalls = true;
    std::vector<std::uint64_t> calls;
    while (this->events["log_full"] == 0 && calls.size() < 100) {
      calls.push_back(this->Open(Relabel(calls.size())));
      this->Run(milliseconds(10));
    }
    EXPECT_EQ(this->events["log_full"], 1);
    return calls;
  }

  /// Announces the worker with other labels than before.
  static jobs::Call Relabel(std::size_t label) {
    jobs::Call call = Announce();
    call.sequence = label + 1;
    call.worker->labels.push_back(std::to_string(label));
    return call;
  }

  static jobs::Call JobCall(jobs::CallKind kind, const std::string& job) {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(kind);
    call.host = "host";
    call.path = "/render/" + job;
    if (kind == jobs::CallKind::kSubmit) {
      call.job = std::make_unique<jobs::JobRequest>();
      call.job->steps.push_back(std::make_unique<jobs::Step>());
      jobs::Step& step = *call.job->steps.back();
      step.tasks = 1;
      step.need = std::make_unique<jobs::Amount>();
      step.need->millicores = 500;
      step.estimate_ms = 1'000;
    }
    return call;
  }

  /// The worker answers the hold, so that the next one is due.
  void AnswerLatestOrder() {
    ASSERT_FALSE(this->orders.empty());
    jobs::WorkerReply reply;
    reply.number = this->orders.back().number;
    reply.result = jobs::OrderResult::kOk;
    reply.clock = milliseconds(1'000'000);
    reply.read_at = this->now;
    reply.started_at = this->now;
    this->node->OnWorkerReply(reply, this->now);
  }

  void ExpectOk(const std::vector<std::uint64_t>& calls) {
    for (const std::uint64_t call : calls) {
      ASSERT_TRUE(this->answers.contains(call)) << call;
      EXPECT_EQ(this->answers.at(call), jobs::CallOutcome::kOk) << call;
    }
  }

  void ExpectSameTerm() {
    EXPECT_EQ(this->events["term_ended"], 0)
        << this->latest_detail["term_ended"];
    EXPECT_EQ(this->events["proposal_refused"], 0);
  }

  std::map<std::uint64_t, jobs::Answer> answer_of;
  std::map<std::string, int> refusals;
  std::map<std::string, std::string> latest_detail;
};

// Guards against leaders without end: each fills the log with as many entries
// as may wait, gives up, and the next one does the same.
TEST_F(JobNodeFullLogTest, EntriesWait_LeaderKeepsItsBatchAndItsTerm) {
  this->Lead();
  const auto calls = this->FillLog();
  EXPECT_EQ(calls.size(), kMaxPendingEntries + 1);
  this->Run(kStall / 2);
  EXPECT_FALSE(this->answers.contains(calls.front()));
  this->ExpectSameTerm();
  EXPECT_TRUE(this->node->Ready(this->now));
  this->disk_stalls = false;
  this->Run(milliseconds(100));
  this->ExpectOk(calls);
  this->ExpectSameTerm();
  EXPECT_EQ(this->events["log_takes_entries"], 1);
}

// Guards against the same fault where the bytes that may wait are few: one
// large configuration fills the log.
TEST_F(JobNodeFullLogTest, LargeConfigurationWaits_LeaderKeepsItsTerm) {
  this->config.limits.pending_entries = 4'096;
  this->config.limits.pending_bytes = kLargestEntry / 2;
  this->Lead();
  this->disk_stalls = true;
  const std::vector<std::uint64_t> calls{
      this->Open(Configure(2, kLargestEntry * 3 / 4))};
  this->Run(milliseconds(20));
  EXPECT_EQ(this->events["log_full"], 0) << "an empty log takes any entry";
  const std::uint64_t next = this->Open(Relabel(1));
  this->Run(milliseconds(20));
  EXPECT_EQ(this->events["log_full"], 1);
  this->Run(kStall / 2);
  this->ExpectSameTerm();
  this->disk_stalls = false;
  this->Run(milliseconds(100));
  this->ExpectOk(calls);
  this->ExpectOk({next});
  this->ExpectSameTerm();
}

// Guards against changes that are lost or applied twice because the log takes
// only a part of a batch that was split.
TEST_F(JobNodeFullLogTest, LogTakesPartOfASplitBatch_RestFollows) {
  this->config.limits.pending_entries = 3;
  this->Lead();
  this->disk_stalls = true;
  std::vector<std::uint64_t> calls;
  constexpr std::uint64_t kLastVersion = 9;
  for (std::uint64_t version = 2; version <= kLastVersion; ++version) {
    calls.push_back(this->Open(Configure(version, kLargestEntry / 2)));
  }
  this->Run(milliseconds(50));
  EXPECT_EQ(this->events["log_full"], 1);
  this->Run(kStall / 2);
  EXPECT_FALSE(this->answers.contains(calls.front()));
  this->disk_stalls = false;
  this->Run(milliseconds(200));
  this->ExpectOk(calls);
  this->ExpectSameTerm();
  EXPECT_EQ(this->events["configuration_changed"], kLastVersion - 1);
  jobs::Call read;
  read.kind = static_cast<std::uint8_t>(jobs::CallKind::kReadConfiguration);
  this->ExpectOk({this->Call(std::move(read))});
}

// Guards against a leader whose first decisions don't fit into the log beside
// the entries that it takes over, and that gives up for that.
TEST_F(JobNodeFullLogTest, LongTailOfAnEarlierTerm_NextLeaderKeepsItsTerm) {
  this->config.limits.pending_bytes = kLargestEntry;
  std::vector<LogEntry> tail;
  for (LogIndex index = 1; index <= 3 * kMaxPendingEntries; ++index) {
    jobs::Batch batch;
    batch.commands.push_back(std::make_unique<jobs::Command>());
    batch.commands.back()->configuration =
        std::move(Configure(index, kLargestEntry / 4).configuration);
    tail.push_back(LogEntry{index, 0, jobs::EncodeBatch(batch)});
  }
  this->disk_stalls = true;
  this->events.clear();
  this->StartVoting(std::move(tail));
  this->Run(kStall);
  EXPECT_EQ(this->events["term_began"], 0) << "the tail isn't committed";
  this->disk_stalls = false;
  this->Run(seconds(2));
  EXPECT_EQ(this->events["term_began"], 1);
  const auto calls = this->FillLog();
  this->Run(kStall / 2);
  this->disk_stalls = false;
  this->Run(milliseconds(100));
  this->ExpectOk(calls);
  this->ExpectSameTerm();
}

// Guards against submissions that wait for seconds in a leader whose log is
// full, against a refused job that is stored, and against a stored job that is
// refused.
TEST_F(JobNodeFullLogTest, LogIsFull_OnlyNewJobsAreRefusedAtOnce) {
  this->Lead();
  this->ExpectOk({this->Call(JobCall(jobs::CallKind::kSubmit, "stored"))});
  this->FillLog();
  const std::uint64_t refused =
      this->Open(JobCall(jobs::CallKind::kSubmit, "refused"));
  ASSERT_TRUE(this->answers.contains(refused));
  EXPECT_EQ(this->answers.at(refused), jobs::CallOutcome::kOverloaded);
  EXPECT_EQ(this->answer_of.at(refused).text, "log_full");
  EXPECT_GE(this->answer_of.at(refused).retry_after_ms, 1'000U);
  EXPECT_EQ(this->refusals["log_full"], 1);
  EXPECT_EQ(this->events["job_refused"], 1);
  const std::uint64_t repeated =
      this->Open(JobCall(jobs::CallKind::kSubmit, "stored"));
  const std::uint64_t cancel =
      this->Open(JobCall(jobs::CallKind::kCancel, "stored"));
  this->Run(kStall / 2);
  EXPECT_FALSE(this->answers.contains(repeated));
  EXPECT_FALSE(this->answers.contains(cancel));
  EXPECT_GT(this->refusals["log_full_change"], 0);
  this->disk_stalls = false;
  this->Run(milliseconds(200));
  this->ExpectOk({repeated, cancel});
  EXPECT_EQ(this->answers.at(
                this->Call(JobCall(jobs::CallKind::kJobState, "refused"))),
            jobs::CallOutcome::kGone);
  this->ExpectOk({this->Call(JobCall(jobs::CallKind::kSubmit, "refused"))});
  this->ExpectSameTerm();
}

// Guards against reads that wait for a full log, which doesn't concern them.
TEST_F(JobNodeFullLogTest, LogIsFull_ReadsAreAnsweredAtOnce) {
  this->Lead();
  this->ExpectOk({this->Call(JobCall(jobs::CallKind::kSubmit, "job"))});
  this->FillLog();
  jobs::Call read;
  read.kind = static_cast<std::uint8_t>(jobs::CallKind::kReadConfiguration);
  this->ExpectOk({this->Open(std::move(read)),
                  this->Open(JobCall(jobs::CallKind::kJobState, "job")),
                  this->Open(JobCall(jobs::CallKind::kQueueLength, ""))});
}

// Guards against a batch that grows without bound while the log is full: the
// leader goes on to decide, and takes changes that it can't store.
TEST_F(JobNodeFullLogTest, LogIsFull_NothingIsDecidedOrTaken) {
  this->Lead();
  this->FillLog();
  this->Run(milliseconds(50));
  const std::size_t ordered = this->orders.size();
  this->AnswerLatestOrder();
  std::vector<std::uint64_t> calls;
  for (std::size_t i = 0; i < 200; ++i) {
    calls.push_back(this->Open(Relabel(1'000 + i)));
  }
  EXPECT_EQ(this->refusals["log_full_change"], 200);
  const int changes = this->events["worker_changed"];
  this->Run(kStall / 2);
  EXPECT_EQ(this->orders.size(), ordered);
  EXPECT_EQ(this->events["worker_changed"], changes);
  this->disk_stalls = false;
  this->Run(milliseconds(200));
  this->ExpectOk(calls);
  EXPECT_GT(this->orders.size(), ordered) << "the worker is held again";
  this->ExpectSameTerm();
}

// Guards against a leader that waits for ever for a log that doesn't move.
TEST_F(JobNodeFullLogTest, LogDoesNotMove_ReplicaEndsTheTerm) {
  this->Lead();
  this->FillLog();
  this->Run(seconds(3));
  EXPECT_EQ(this->events["term_ended"], 1);
  EXPECT_EQ(this->latest_detail["term_ended"], "leadership ended");
  EXPECT_EQ(this->events["proposal_refused"], 0);
  this->disk_stalls = false;
  this->Run(seconds(3));
  EXPECT_EQ(this->events["term_began"], 1);
  this->ExpectOk({this->Call(Configure(20, 0))});
}

/// A voter that doesn't lead and carries orders of the leader.
class JobNodeCarrierTest : public JobNodeTest {
 protected:
  static constexpr DaemonId kLeader{2};
  static constexpr DaemonId kOther{3};
  static constexpr ViewNumber kView = 5;
  static constexpr std::uint64_t kFence = kView + 1;
  static constexpr std::uint64_t kSession = 77;

  JobNodeCarrierTest() {
    this->config.is_voter = true;
    this->config.seed = kSession;
    this->hooks.send = [this](DaemonId to, const std::string& bytes) {
      this->OnSent(to, bytes);
    };
    this->hooks.send_order = [this](const jobs::WorkerOrder& order) {
      this->orders.push_back(order);
    };
    const Membership logged{
        1,
        {Member{DaemonId{1}, "10.0.0.1", 7000},
         Member{kLeader, "10.0.0.2", 7000}, Member{kOther, "10.0.0.3", 7000}}};
    DurableImage image;
    image.intact = true;
    image.incarnation = AddStart(image.starts, 7);
    image.snapshot = WrapSnapshot(logged, jobs::FleetState().Snapshot());
    image.snapshot_index = 1;
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->node->Start(std::move(image), this->now);
    this->node->Advance(this->now);
    this->node->OnLinkState(kLeader, true, this->now);
    this->node->OnLinkState(kOther, true, this->now);
    this->Lead(kLeader, kView);
  }

  void OnSent(DaemonId to, const std::string& bytes) {
    const auto message = DecodeMessage(bytes);
    const auto* job_bytes = std::get_if<JobsBytes>(&*message);
    if (job_bytes == nullptr) {
      return;
    }
    const auto decoded = jobs::DecodeMessage(job_bytes->bytes);
    if (const auto* notice = decoded->body.AsCarrierNotice()) {
      this->notices.emplace_back(to, jobs::FromWire(*notice));
    } else if (const auto* replies = decoded->body.AsReplyBatch()) {
      const auto batch = jobs::FromWire(*replies);
      for (const jobs::CarriedReply& carried : *batch) {
        this->results[to].push_back(carried.reply.result);
      }
    }
  }

  void Lead(DaemonId leader, ViewNumber view) {
    jobs::Leadership notice;
    notice.leader = static_cast<std::uint16_t>(leader);
    notice.view = view;
    notice.serving = true;
    this->node->OnMessage(
        leader, EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}),
        this->now);
  }

  void GiveOrder(DaemonId from, std::uint64_t fence) {
    jobs::OrderBatch batch;
    batch.session = kSession;
    jobs::WorkerOrder order;
    order.number = this->next_number++;
    order.fence = fence;
    order.body = jobs::HoldOrder{};
    order.send_before = this->now + milliseconds(250);
    batch.orders.push_back(order);
    this->node->OnMessage(
        from, EncodeMessage(JobsBytes{jobs::EncodeOrderBatch(batch)}),
        this->now);
    this->now += milliseconds(5);
    this->node->Advance(this->now);
  }

  std::uint64_t next_number = 1;
  std::vector<jobs::WorkerOrder> orders;
  std::vector<std::pair<DaemonId, jobs::CarrierNotice>> notices;
  std::map<DaemonId, std::vector<jobs::OrderResult>> results;
};

TEST_F(JobNodeCarrierTest, LeaderAnnouncesItself_VoterCarriesItsOrders) {
  ASSERT_FALSE(this->notices.empty());
  EXPECT_EQ(this->notices.back().first, kLeader);
  EXPECT_EQ(this->notices.back().second.fence, kFence);
  EXPECT_EQ(this->notices.back().second.session, kSession);
  EXPECT_EQ(this->notices.back().second.clock, this->now);
  this->GiveOrder(kLeader, kFence);
  ASSERT_EQ(this->orders.size(), 1U);
  jobs::WorkerReply reply;
  reply.number = this->orders.front().number;
  reply.result = jobs::OrderResult::kOk;
  this->node->OnWorkerReply(reply, this->now);
  this->now = this->node->NextDue(this->now);
  this->node->Advance(this->now);
  EXPECT_EQ(this->results[kLeader],
            std::vector<jobs::OrderResult>{jobs::OrderResult::kOk});
}

// Guards against orders of a former leader that a voter sends although it
// follows the next one.
TEST_F(JobNodeCarrierTest, LeaderChanges_OrdersOfTheFormerOneAreRefused) {
  this->Lead(kOther, kView + 1);
  EXPECT_EQ(this->notices.back().first, kOther);
  this->GiveOrder(kLeader, kFence);
  EXPECT_TRUE(this->orders.empty());
  EXPECT_EQ(this->results[kLeader],
            std::vector<jobs::OrderResult>{jobs::OrderResult::kNotStarted});
  this->GiveOrder(kOther, kFence);
  EXPECT_TRUE(this->orders.empty()) << "the token is that of the former leader";
  this->GiveOrder(kOther, kFence + 1);
  EXPECT_EQ(this->orders.size(), 1U);
}

// Guards against orders that a voter takes and loses when it exits.
TEST_F(JobNodeCarrierTest, PlannedStop_RefusesOrders_EndsAfterThoseInHand) {
  this->GiveOrder(kLeader, kFence);
  this->node->BeginShutdown(this->now);
  this->GiveOrder(kLeader, kFence);
  EXPECT_EQ(this->orders.size(), 1U);
  EXPECT_EQ(this->results[kLeader],
            std::vector<jobs::OrderResult>{jobs::OrderResult::kNotStarted});
  this->now += milliseconds(800);
  EXPECT_FALSE(this->node->Stopped(this->now));
  jobs::WorkerReply reply;
  reply.number = this->orders.front().number;
  this->node->OnWorkerReply(reply, this->now);
  this->node->Advance(this->now);
  EXPECT_TRUE(this->node->Stopped(this->now));
}

}  // namespace
}  // namespace mimosastage
