#include "mimosastage/jobs/call_handler.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Handles calls on a leader with simulated workers while versions of the
/// configuration change its queues.
class CallHandlerTest : public ::testing::Test {
 protected:
  CallHandlerTest() {
    this->fleet.AddPool("render");
    for (const char* id : {"w1", "w2"}) {
      this->fleet.AddWorker(id, "render", 8'000);
    }
    this->fleet.BeginTerm();
    this->fleet.Advance(seconds(1));
    this->committed.Restore(this->fleet.state.Snapshot());
    CallHandler::Hooks hooks;
    hooks.propose = [this](Command command,
                           const std::function<void(TimePoint)>& done) {
      this->fleet.state.Apply(command);
      this->uncommitted.push_back(std::move(command));
      if (!this->fleet.log_stalled) {
        this->CommitAll();
      }
      if (done && !this->fleet.log_stalled) {
        done(this->fleet.now);
      }
    };
    hooks.wall_time = [this] { return this->fleet.wall; };
    hooks.report = [this](const char* event, const std::string&,
                          const std::string&) { ++this->events[event]; };
    hooks.count_refusal = [this](const char* reason) {
      this->last_refusal = reason;
    };
    hooks.log_is_full = [this] { return this->log_is_full; };
    hooks.knows_zone = [](const std::string& zone) {
      return zone.starts_with("zone-");
    };
    this->handler =
        std::make_unique<CallHandler>(std::move(hooks), this->fleet.state,
                                      this->committed, *this->fleet.dispatcher);
  }

  void CommitAll() {
    for (const Command& command : std::exchange(this->uncommitted, {})) {
      this->committed.Apply(command);
    }
  }

  static std::unique_ptr<Queue> MakeQueue(const std::string& name,
                                          const std::string& prefix) {
    auto queue = std::make_unique<Queue>();
    queue->name = name;
    queue->host = "host";
    queue->path_prefix = prefix;
    queue->pool = "render";
    queue->max_attempts = 2;
    queue->stretch = 2;
    queue->timeout_ms = 3'000;
    queue->open = true;
    return queue;
  }

  /// Changes the configuration to one with the queues (name, path prefix).
  void Configure(
      const std::vector<std::pair<std::string, std::string>>& queues) {
    Call call;
    call.kind = static_cast<std::uint8_t>(CallKind::kConfigure);
    call.configuration = std::make_unique<Configuration>();
    call.configuration->version = this->fleet.state.Config().version + 1;
    call.configuration->pools.push_back(std::make_unique<Pool>());
    call.configuration->pools.back()->name = "render";
    for (const auto& [name, prefix] : queues) {
      call.configuration->queues.push_back(MakeQueue(name, prefix));
      call.configuration->queues.back()->open = name != this->protected_queue;
    }
    if (!this->team.empty()) {
      auto row = std::make_unique<Team>();
      row->name = this->team;
      row->weight = 1;
      row->keys.push_back("key-" + this->team);
      row->upper_limit = std::make_unique<Amount>();
      call.configuration->teams.push_back(std::move(row));
    }
    this->Handle(call);
  }

  CallOutcome Handle(const Call& call) {
    this->answer.reset();
    this->handler->Handle(call, this->fleet.now, [this](Answer next) {
      this->answer = std::move(next);
    });
    return this->answer.has_value()
               ? static_cast<CallOutcome>(this->answer->outcome)
               : CallOutcome::kUnknown;
  }

  CallOutcome Handle(CallKind kind, const std::string& path) {
    Call call;
    call.kind = static_cast<std::uint8_t>(kind);
    call.host = "host";
    call.path = path;
    call.key = this->key;
    if (kind == CallKind::kSubmit) {
      call.job = std::make_unique<JobRequest>();
      call.job->steps.push_back(std::make_unique<Step>(MakeStep(1, 1'000)));
    }
    return this->Handle(call);
  }

  CallOutcome HandleZone(CallKind kind, const std::string& zone) {
    Call call;
    call.kind = static_cast<std::uint8_t>(kind);
    call.zone = zone;
    return this->Handle(call);
  }

  std::vector<std::string> ReadEvacuations() {
    EXPECT_EQ(this->HandleZone(CallKind::kReadEvacuations, ""),
              CallOutcome::kOk);
    return this->answer->zones;
  }

  JobPhase PhaseAt(const std::string& path) {
    EXPECT_EQ(this->Handle(CallKind::kJobState, path), CallOutcome::kOk);
    return static_cast<JobPhase>(this->answer->phase);
  }

  FakeFleetLeader fleet;
  FleetState committed;
  std::vector<Command> uncommitted;
  std::unique_ptr<CallHandler> handler;
  std::optional<Answer> answer;
  std::string last_refusal;
  std::map<std::string, int> events;
  bool log_is_full = false;
  /// The team of the next configuration, with the key "key-TEAM"; "" for none.
  std::string team;
  /// The name of the queue that isn't open.
  std::string protected_queue;
  /// The key of calls.
  std::string key;
};

// Guards against an accepted job that clients can neither read nor cancel: its
// queue was given another name at the same location.
TEST_F(CallHandlerTest, QueueRenamed_JobOfIt_IsShownAndCancelled) {
  this->Configure({{"old", "/q/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kOk);
  this->Configure({{"new", "/q/"}});
  EXPECT_EQ(this->PhaseAt("/q/job"), JobPhase::kQueued);
  EXPECT_EQ(this->Handle(CallKind::kQueueLength, "/q/"), CallOutcome::kOk);
  EXPECT_EQ(this->answer->waiting, 1U);
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/q/job"), CallOutcome::kOk);
  EXPECT_EQ(this->PhaseAt("/q/job"), JobPhase::kCancelled);
}

// Guards against an accepted job that is gone once its queue is back.
TEST_F(CallHandlerTest, QueueRemovedAndAddedUnderOtherName_JobIsShown) {
  this->Configure({{"old", "/q/"}, {"other", "/o/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kOk);
  this->Configure({{"other", "/o/"}});
  EXPECT_EQ(this->Handle(CallKind::kJobState, "/q/job"), CallOutcome::kNoQueue);
  this->Configure({{"other", "/o/"}, {"new", "/q/"}});
  EXPECT_EQ(this->PhaseAt("/q/job"), JobPhase::kQueued);
}

// Guards against a job that can't be cancelled any more because its queue has
// moved to another location.
TEST_F(CallHandlerTest, QueueMoved_JobOfIt_IsCancelledAtTheNewLocation) {
  this->Configure({{"queue", "/q/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kOk);
  this->Configure({{"queue", "/moved/"}});
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/moved/job"), CallOutcome::kOk);
  EXPECT_EQ(this->PhaseAt("/moved/job"), JobPhase::kCancelled);
}

// Guards against jobs of one queue that are shown by the other after the two
// have exchanged their names.
TEST_F(CallHandlerTest, QueuesExchangeNames_JobsStayAtTheirLocations) {
  this->Configure({{"one", "/1/"}, {"two", "/2/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/1/job"), CallOutcome::kOk);
  this->Configure({{"two", "/1/"}, {"one", "/2/"}});
  EXPECT_EQ(this->PhaseAt("/1/job"), JobPhase::kQueued);
  EXPECT_EQ(this->Handle(CallKind::kJobState, "/2/job"), CallOutcome::kGone);
}

// Guards against a cancel that is answered as if the job didn't exist, while a
// change that moves its queue isn't durable.
TEST_F(CallHandlerTest, Cancel_MoveOfQueueIsNotDurable_CancelsJob) {
  this->Configure({{"queue", "/q/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kOk);
  this->fleet.log_stalled = true;
  this->Configure({{"queue", "/moved/"}});
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/q/job"), CallOutcome::kUnknown);
  EXPECT_EQ(this->fleet.JobOf("job").phase, JobPhase::kCancelled);
}

// Guards against a job that is accepted and can never start: the log has the
// removal of its queue before it.
TEST_F(CallHandlerTest, Submit_RemovalOfQueueIsNotDurable_IsRefused) {
  this->Configure({{"queue", "/q/"}, {"other", "/o/"}});
  this->fleet.log_stalled = true;
  this->Configure({{"other", "/o/"}});
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/job"),
            CallOutcome::kOverloaded);
  EXPECT_EQ(this->last_refusal, "queue_being_removed");
  EXPECT_EQ(this->fleet.state.FindJob("job"), nullptr);
}

// Guards against an accepted job that never runs: a version without its queue
// precedes it in the log, and a queue with a shorter prefix matches its path
// (LOST).
TEST_F(CallHandlerTest, Submit_RemovalOfInnerQueueIsNotDurable_IsRefused) {
  this->Configure({{"outer", "/q/"}, {"inner", "/q/in/"}});
  this->fleet.log_stalled = true;
  this->Configure({{"outer", "/q/"}});
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/in/job"),
            CallOutcome::kOverloaded);
  EXPECT_EQ(this->last_refusal, "queue_being_removed");
  EXPECT_EQ(this->fleet.state.FindJob("job"), nullptr);
}

// Guards against refusals while a version that keeps the queue is stored.
TEST_F(CallHandlerTest, Submit_RenamingOfQueueIsNotDurable_IsAccepted) {
  this->Configure({{"old", "/q/"}});
  this->fleet.log_stalled = true;
  this->Configure({{"new", "/q/"}});
  this->Handle(CallKind::kSubmit, "/q/job");
  ASSERT_NE(this->fleet.state.FindJob("job"), nullptr);
  EXPECT_EQ(this->fleet.state.FindJob("job")->queue->name, "new");
}

// Guards against a job of a team that a version before it in the log removes.
TEST_F(CallHandlerTest, Submit_RemovalOfKeyIsNotDurable_IsRefused) {
  this->team = "crews";
  this->Configure({{"queue", "/q/"}});
  this->fleet.log_stalled = true;
  this->team.clear();
  this->Configure({{"queue", "/q/"}});
  this->key = "key-crews";
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/job"),
            CallOutcome::kOverloaded);
  EXPECT_EQ(this->last_refusal, "key_being_removed");
}

// Guards against a running job that is shown as unknown, and whose cancel is
// acknowledged without effect, once a queue with a shorter prefix takes its
// path (LOST, UNASKED).
TEST_F(CallHandlerTest, InnerQueueRemoved_JobOfIt_IsShownAndCancelled) {
  this->Configure({{"outer", "/q/"}, {"inner", "/q/in/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/in/job"), CallOutcome::kOk);
  this->Configure({{"outer", "/q/"}});
  EXPECT_EQ(this->PhaseAt("/q/in/job"), JobPhase::kQueued);
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/in/job"), CallOutcome::kOk)
      << "a repeated submission";
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/q/in/job"), CallOutcome::kOk);
  EXPECT_EQ(this->PhaseAt("/q/in/job"), JobPhase::kCancelled);
}

// The same for an outer job whose path a new queue takes, because its prefix
// ends inside the job's id.
TEST_F(CallHandlerTest, InnerQueueAdded_JobOfOuterQueue_IsShownAndCancelled) {
  this->Configure({{"outer", "/q/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job1"), CallOutcome::kOk);
  this->Configure({{"outer", "/q/"}, {"inner", "/q/jo"}});
  EXPECT_EQ(this->PhaseAt("/q/job1"), JobPhase::kQueued);
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/job1"), CallOutcome::kOk)
      << "a repeated submission";
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/q/job1"), CallOutcome::kOk);
  EXPECT_EQ(this->PhaseAt("/q/job1"), JobPhase::kCancelled);
}

// Guards against calls for a removed queue that are answered as calls for a job
// of a queue with a shorter prefix.
TEST_F(CallHandlerTest, InnerQueueRemoved_CallsForTheQueue_AreRefused) {
  this->Configure({{"outer", "/q/"}});
  for (const char* path : {"/q/in/", "/q/in/job"}) {
    for (const CallKind kind : {CallKind::kSubmit, CallKind::kJobState,
                                CallKind::kCancel, CallKind::kQueueLength}) {
      EXPECT_EQ(this->Handle(kind, path), CallOutcome::kNoQueue) << path;
    }
  }
}

// Guards against callers without a key who read or cancel a job of a queue that
// requires one, through a queue with a shorter prefix.
TEST_F(CallHandlerTest, InnerQueueRemoved_KeyIsUnknown_JobStaysProtected) {
  this->team = "crews";
  this->key = "key-crews";
  this->protected_queue = "inner";
  this->Configure({{"outer", "/q/"}, {"inner", "/q/in/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/in/job"), CallOutcome::kOk);
  this->Configure({{"outer", "/q/"}});
  EXPECT_EQ(this->PhaseAt("/q/in/job"), JobPhase::kQueued);
  this->key.clear();
  EXPECT_EQ(this->Handle(CallKind::kJobState, "/q/in/job"),
            CallOutcome::kUnauthorised);
  EXPECT_EQ(this->Handle(CallKind::kCancel, "/q/in/job"),
            CallOutcome::kUnauthorised);
}

// Guards against a refusal of a job that is stored: its queue is removed before
// the submission is repeated.
TEST_F(CallHandlerTest, SubmitAgain_QueueIsRemoved_IsNotRefused) {
  this->Configure({{"queue", "/q/"}, {"other", "/o/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kOk);
  this->Configure({{"other", "/o/"}});
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/job"), CallOutcome::kUnknown);
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/q/new"), CallOutcome::kNoQueue);
}

// Guards against a second job that is acknowledged and never stored, because a
// job of another queue has its id.
TEST_F(CallHandlerTest, Submit_IdOfAJobOfAnotherQueue_IsRefused) {
  this->Configure({{"one", "/1/"}, {"two", "/2/"}});
  ASSERT_EQ(this->Handle(CallKind::kSubmit, "/1/job"), CallOutcome::kOk);
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/2/job"), CallOutcome::kConflict);
  EXPECT_EQ(this->Handle(CallKind::kSubmit, "/1/job"), CallOutcome::kOk)
      << "a repeated submission";
}

// Guards against an evacuation that is answered before it is durable, and
// against a repeated call that is answered before the first one is.
TEST_F(CallHandlerTest, Evacuate_LogStalls_NoCallIsAcknowledged) {
  this->fleet.log_stalled = true;
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-1"),
            CallOutcome::kUnknown);
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-1"),
            CallOutcome::kUnknown);
  EXPECT_TRUE(this->ReadEvacuations().empty());
  EXPECT_EQ(this->events["zone_evacuated"], 0);
  this->fleet.log_stalled = false;
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-1"),
            CallOutcome::kOk);
  EXPECT_EQ(this->ReadEvacuations(), std::vector<std::string>{"zone-1"});
}

// Guards against a withdrawal that is refused or changes another zone.
TEST_F(CallHandlerTest, Withdraw_EvacuatedOrNot_IsAcknowledged) {
  for (const char* zone : {"zone-1", "zone-2"}) {
    ASSERT_EQ(this->HandleZone(CallKind::kEvacuateZone, zone),
              CallOutcome::kOk);
  }
  for (int copy = 0; copy < 2; ++copy) {
    EXPECT_EQ(this->HandleZone(CallKind::kWithdrawEvacuation, "zone-1"),
              CallOutcome::kOk);
    EXPECT_EQ(this->ReadEvacuations(), std::vector<std::string>{"zone-2"});
  }
  EXPECT_EQ(this->events["zone_evacuated"], 2);
  EXPECT_EQ(this->events["evacuation_withdrawn"], 1);
}

// Guards against a misspelt zone that is acknowledged while the zone that was
// meant gets work, and against names that take memory in each daemon.
TEST_F(CallHandlerTest, Evacuate_NoSuchZone_IsRefused) {
  for (const CallKind kind :
       {CallKind::kEvacuateZone, CallKind::kWithdrawEvacuation}) {
    EXPECT_EQ(this->HandleZone(kind, "elsewhere"), CallOutcome::kInvalid);
    EXPECT_EQ(this->last_refusal, "unknown_zone");
    for (const std::string& zone :
         {std::string(), "zone-" + std::string(251, 'x')}) {
      EXPECT_EQ(this->HandleZone(kind, zone), CallOutcome::kInvalid);
      EXPECT_EQ(this->last_refusal, "malformed_zone");
    }
  }
  EXPECT_TRUE(this->ReadEvacuations().empty());
}

// Guards against a zone that stays evacuated for good once the settings don't
// name it any more.
TEST_F(CallHandlerTest, Withdraw_SettingsLackTheEvacuatedZone_IsAcknowledged) {
  this->fleet.Evacuate("elsewhere");
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "elsewhere"),
            CallOutcome::kOk);
  EXPECT_EQ(this->HandleZone(CallKind::kWithdrawEvacuation, "elsewhere"),
            CallOutcome::kOk);
  EXPECT_TRUE(this->fleet.state.EvacuatedZones().empty());
}

// Guards against an evacuation beyond the bound that is acknowledged and has no
// effect.
TEST_F(CallHandlerTest, Evacuate_TooManyZones_IsRefused) {
  const std::size_t limit = this->fleet.state.limits().evacuated_zones;
  for (std::size_t i = 0; i < limit; ++i) {
    ASSERT_EQ(
        this->HandleZone(CallKind::kEvacuateZone, "zone-" + std::to_string(i)),
        CallOutcome::kOk);
  }
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-x"),
            CallOutcome::kOverloaded);
  EXPECT_EQ(this->last_refusal, "too_many_evacuations");
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-0"),
            CallOutcome::kOk)
      << "a repeated call";
  EXPECT_EQ(this->HandleZone(CallKind::kWithdrawEvacuation, "zone-0"),
            CallOutcome::kOk);
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-x"),
            CallOutcome::kOk);
}

// Guards against a delayed copy of an evacuation that undoes its withdrawal.
// Its daemon sends the call again, with a later notice of the leader, only
// while the operator waits for it.
TEST_F(CallHandlerTest, Evacuate_SentBeforeTheWithdrawal_ChangesNothing) {
  Call copy;
  copy.kind = static_cast<std::uint8_t>(CallKind::kEvacuateZone);
  copy.zone = "zone-1";
  const auto clock = [this] {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               this->fleet.now.time_since_epoch())
        .count();
  };
  copy.leader_clock_us = clock();
  this->fleet.Advance(milliseconds(100));
  ASSERT_EQ(this->Handle(copy), CallOutcome::kOk);
  EXPECT_EQ(this->Handle(copy), CallOutcome::kOk) << "nothing to undo";
  ASSERT_EQ(this->HandleZone(CallKind::kWithdrawEvacuation, "zone-1"),
            CallOutcome::kOk);
  EXPECT_EQ(this->Handle(copy), CallOutcome::kUnavailable);
  EXPECT_EQ(this->last_refusal, "outdated_call");
  EXPECT_TRUE(this->ReadEvacuations().empty());
  this->fleet.Advance(milliseconds(100));
  copy.leader_clock_us = clock();
  EXPECT_EQ(this->Handle(copy), CallOutcome::kOk) << "sent after it";
}

// Guards against a full log that grows by evacuations: the daemon that was
// called sends the call again.
TEST_F(CallHandlerTest, Evacuate_LogIsFull_IsPostponed) {
  this->log_is_full = true;
  EXPECT_EQ(this->HandleZone(CallKind::kEvacuateZone, "zone-1"),
            CallOutcome::kUnavailable);
  EXPECT_EQ(this->last_refusal, "log_full_change");
  EXPECT_TRUE(this->fleet.state.EvacuatedZones().empty());
}

// Guards against an accepted job of which nothing is started any more: its
// queue was renamed, or removed, while a step ran.
TEST_F(CallHandlerTest, QueueRenamedOrRemoved_NextStepOfJob_IsStarted) {
  for (const char* next : {"/q/", "/elsewhere/"}) {
    const std::string id = std::string("job") + next[1];
    this->Configure({{"old", "/q/"}});
    Call submit;
    submit.kind = static_cast<std::uint8_t>(CallKind::kSubmit);
    submit.host = "host";
    submit.path = "/q/" + id;
    submit.job = std::make_unique<JobRequest>();
    for (int step = 0; step < 2; ++step) {
      submit.job->steps.push_back(std::make_unique<Step>(MakeStep(1, 1'000)));
    }
    submit.job->steps[1]->after = {0};
    ASSERT_EQ(this->Handle(submit), CallOutcome::kOk);
    this->fleet.Advance(milliseconds(500));
    const TaskId first{id, 0, 0, 0};
    const auto workers = this->fleet.WorkersOf(first);
    ASSERT_EQ(workers.size(), 1U);
    this->Configure({{"new", next}});
    this->fleet.EndRun(workers[0], first, RunOutcome::kDone);
    this->fleet.Advance(seconds(2));
    EXPECT_EQ(this->fleet.WorkersOf(TaskId{id, 0, 1, 0}).size(), 1U) << next;
  }
}

}  // namespace
}  // namespace mimosastage::jobs
