#include "mimosastage/jobs/call_handler.h"

#include <gtest/gtest.h>

#include <functional>
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
    hooks.report = [](const char*, const std::string&, const std::string&) {};
    hooks.count_refusal = [this](const char* reason) {
      this->last_refusal = reason;
    };
    hooks.log_is_full = [] { return false; };
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
    if (kind == CallKind::kSubmit) {
      call.job = std::make_unique<JobRequest>();
      call.job->steps.push_back(std::make_unique<Step>(MakeStep(1, 1'000)));
    }
    return this->Handle(call);
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
