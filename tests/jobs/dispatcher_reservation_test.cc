#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using Kind = InstanceRequest::Kind;
using Result = InstanceReply::Result;

/// A worker takes no tasks while a request to the platform may take its
/// instance down.
class DispatcherReservationTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.AddPool("render");
    this->fleet.AddPool("fold");
    this->fleet.AddTeam("crews", 64'000);
  }

  void StartTermWithWorkers(int workers) {
    for (int i = 0; i < workers; ++i) {
      this->fleet.AddWorker("worker-" + std::to_string(i), "render", 4'000);
    }
    this->fleet.BeginTerm();
    // Until then, an earlier leader's order may be open.
    this->Advance(this->fleet.config.instance_lease + milliseconds(500));
  }

  void StartWave(std::uint64_t number, const std::string& instance) {
    this->StartWave(number, {instance}, 1, milliseconds(0));
  }

  void StartWave(std::uint64_t number, std::vector<std::string> instances,
                 std::uint32_t most_at_once, milliseconds duration) {
    Command command;
    command.wave = std::make_unique<Wave>();
    command.wave->number = number;
    command.wave->most_at_once = most_at_once;
    command.wave->machines = std::move(instances);
    command.wave->duration_ms = duration.count();
    command.wave->accepted_ms = this->fleet.wall.count();
    this->fleet.state.Apply(command);
  }

  static std::vector<std::string> InstancesOfWorkers(int workers) {
    std::vector<std::string> instances;
    instances.reserve(static_cast<std::size_t>(workers));
    for (int i = 0; i < workers; ++i) {
      instances.push_back("machine-worker-" + std::to_string(i));
    }
    return instances;
  }

  /// Submits a job whose long-running tasks run on one worker each.
  void SubmitLasting(std::uint32_t tasks, std::uint32_t may_miss) {
    Step step = MakeStep(tasks, 1'000);
    step.long_running = true;
    step.most_per_worker = 1;
    step.may_miss = may_miss;
    this->fleet.Submit("lasting", "render", {step});
    this->Advance(milliseconds(500));
    ASSERT_EQ(this->fleet.RunningTasks(), tasks);
  }

  /// Number of workers that run something.
  std::size_t BusyWorkers() const {
    return static_cast<std::size_t>(
        std::count_if(this->fleet.workers.begin(), this->fleet.workers.end(),
                      [](const auto& row) {
                        return !row.second.ended_without_notice &&
                               !row.second.running.empty();
                      }));
  }

  /// Carries out each requested upkeep: its worker ends, and the next one on
  /// the instance announces itself 2 s later.
  void AdvanceWithUpkeeps(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      this->Advance(milliseconds(10));
      while (const auto upkeep = this->Take(Kind::kUpkeep)) {
        this->upkept.push_back(upkeep->instance);
        for (auto& [id, worker] : this->fleet.workers) {
          if (worker.record.machine == upkeep->instance &&
              !worker.ended_without_notice) {
            EXPECT_TRUE(worker.running.empty()) << id;
            worker.ended_without_notice = true;
            worker.running.clear();
            Worker next = worker.record;
            next.id += "+";
            next.born_ms += 10'000;
            this->reborn.emplace_back(this->fleet.now + milliseconds(2'000),
                                      std::move(next));
            break;
          }
        }
        this->Answer(*upkeep, Result::kOk);
      }
      std::erase_if(this->reborn, [&](const auto& row) {
        if (row.first > this->fleet.now) {
          return false;
        }
        this->fleet.workers[row.second.id].record = row.second;
        this->fleet.Announce(row.second.id);
        return true;
      });
    }
  }

  /// Submits a job that fills all workers of the pool.
  void FillPool(const std::string& pool) {
    this->fleet.Submit("job", pool, {MakeStep(64, 1'000)});
  }

  /// Advances, answers requests for the list, and collects the others in
  /// `requests`.
  void Advance(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      this->fleet.Advance(milliseconds(10));
      for (InstanceRequest& request :
           std::exchange(this->fleet.instance_requests, {})) {
        if (request.kind == Kind::kList) {
          this->AnswerList(request.number);
        } else {
          this->requests.push_back(std::move(request));
        }
      }
    }
  }

  void AnswerList(std::uint64_t number) {
    InstanceReply reply;
    reply.number = number;
    reply.result = Result::kOk;
    for (const auto& [id, worker] : this->fleet.workers) {
      if (!worker.ended_without_notice) {
        reply.instances.push_back(InstanceListEntry{worker.record.machine,
                                                    worker.record.pool,
                                                    InstanceStatus::kUp, id});
      }
    }
    this->fleet.dispatcher->OnInstanceReply(reply, this->fleet.now);
  }

  /// Takes the first collected request of the kind; "" stands for any instance
  /// and 0 for any wave.
  std::optional<InstanceRequest> Take(Kind kind,
                                      const std::string& instance = "",
                                      std::uint64_t wave = 0) {
    const auto found = std::find_if(
        this->requests.begin(), this->requests.end(),
        [&](const InstanceRequest& request) {
          return request.kind == kind &&
                 (instance.empty() || request.instance == instance) &&
                 (wave == 0 || request.wave == wave);
        });
    if (found == this->requests.end()) {
      return std::nullopt;
    }
    InstanceRequest request = std::move(*found);
    this->requests.erase(found);
    return request;
  }

  void Answer(const InstanceRequest& request, Result result) {
    InstanceReply reply;
    reply.number = request.number;
    reply.result = result;
    this->fleet.dispatcher->OnInstanceReply(reply, this->fleet.now);
  }

  /// Ends the worker on the instance, and announces its next one, "next".
  FakeWorker& ReplaceWorkerOn(const std::string& instance,
                              const std::string& pool) {
    FakeWorker& next = this->fleet.workers["next"];
    FakeWorker& last =
        this->fleet.workers.at(instance.substr(std::string("machine-").size()));
    last.ended_without_notice = true;
    last.running.clear();
    next.record = last.record;
    next.record.id = "next";
    next.record.pool = pool;
    next.record.born_ms += 10'000;
    this->fleet.Announce("next");
    return next;
  }

  FakeFleetLeader fleet;
  std::vector<InstanceRequest> requests;
  /// Instances whose upkeep was carried out, in that order.
  std::vector<std::string> upkept;
  /// Workers that announce themselves after an upkeep.
  std::vector<std::pair<TimePoint, Worker>> reborn;
};

// Guards against tasks that an upkeep ends: the upkeep of one wave was refused,
// and the worker took tasks while the upkeep of another wave was open.
TEST_F(DispatcherReservationTest,
       UpkeepIsRefused_OtherWaveIsOpen_WorkerGetsNoTasks) {
  this->StartTermWithWorkers(1);
  this->StartWave(1, "machine-worker-0");
  this->StartWave(2, "machine-worker-0");
  this->Advance(milliseconds(300));
  const auto refused = this->Take(Kind::kUpkeep, "", 1);
  const auto open = this->Take(Kind::kUpkeep, "", 2);
  ASSERT_TRUE(refused.has_value() && open.has_value());
  this->Answer(*refused, Result::kWrongWave);
  this->FillPool("render");
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.RunningTasks(), 0U) << "the other upkeep is open";
  this->Answer(*open, Result::kUnanswered);
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.RunningTasks(), 0U) << "the other may be executed";
  this->Advance(milliseconds(300));
  const auto repeated = this->Take(Kind::kUpkeep, "", 2);
  ASSERT_TRUE(repeated.has_value());
  this->Answer(*repeated, Result::kOk);
  this->ReplaceWorkerOn("machine-worker-0", "render");
  this->Advance(milliseconds(200));
  EXPECT_EQ(this->fleet.RunningTasks(), 4U);
}

// The same for a move that is refused while an upkeep is open.
TEST_F(DispatcherReservationTest,
       MoveIsRefused_UpkeepIsOpen_WorkerGetsNoTasks) {
  this->StartTermWithWorkers(12);
  const auto move = this->Take(Kind::kMove);
  ASSERT_TRUE(move.has_value());
  const std::string worker =
      move->instance.substr(std::string("machine-").size());
  this->StartWave(1, move->instance);
  this->Advance(milliseconds(300));
  const auto upkeep = this->Take(Kind::kUpkeep, move->instance);
  ASSERT_TRUE(upkeep.has_value());
  this->Answer(*move, Result::kBusy);
  this->FillPool("render");
  for (int i = 0; i < 50; ++i) {
    this->Advance(milliseconds(10));
    ASSERT_TRUE(this->fleet.workers.at(worker).running.empty());
  }
}

// Guards against a worker that takes no tasks for ever: it was born while an
// upkeep and a move of its instance were open, and the answer to the move came
// last.
TEST_F(DispatcherReservationTest,
       UpkeepIsAnsweredBeforeTheMove_NextWorkerTakesTasks) {
  this->StartTermWithWorkers(12);
  const auto move = this->Take(Kind::kMove);
  ASSERT_TRUE(move.has_value());
  ASSERT_EQ(move->pool, "fold");
  this->StartWave(1, move->instance);
  this->Advance(milliseconds(300));
  const auto upkeep = this->Take(Kind::kUpkeep, move->instance);
  ASSERT_TRUE(upkeep.has_value());
  this->Answer(*move, Result::kUnanswered);
  const FakeWorker& next = this->ReplaceWorkerOn(move->instance, "fold");
  this->Advance(milliseconds(200));
  this->FillPool("fold");
  this->Answer(*upkeep, Result::kOk);
  this->Advance(milliseconds(100));
  EXPECT_TRUE(next.running.empty()) << "the move may still be executed";
  this->Advance(milliseconds(500));
  const auto repeated = this->Take(Kind::kMove, move->instance);
  ASSERT_TRUE(repeated.has_value());
  this->Answer(*repeated, Result::kOk);
  this->Advance(milliseconds(200));
  EXPECT_EQ(next.running.size(), 4U);
}

// Guards against tasks that a move ends: its first request was unanswered, and
// a worker that was born since ran tasks when it was repeated.
TEST_F(DispatcherReservationTest,
       MoveIsUnanswered_NextWorkerIsBorn_RunsNothingUntilTheAnswer) {
  this->StartTermWithWorkers(12);
  const auto move = this->Take(Kind::kMove);
  ASSERT_TRUE(move.has_value());
  this->Answer(*move, Result::kUnanswered);
  const FakeWorker& next = this->ReplaceWorkerOn(move->instance, "render");
  this->FillPool("render");
  std::optional<InstanceRequest> repeated;
  for (int i = 0; i < 100; ++i) {
    this->Advance(milliseconds(10));
    ASSERT_TRUE(next.running.empty()) << "the move may end its tasks";
    if (auto request = this->Take(Kind::kMove, move->instance);
        request.has_value()) {
      repeated = std::move(request);
    }
  }
  ASSERT_TRUE(repeated.has_value());
  this->Answer(*repeated, Result::kBusy);
  this->Advance(milliseconds(200));
  EXPECT_EQ(next.running.size(), 4U);
}

// Guards against tasks that an upkeep ends: the answer to the upkeep of one
// wave removed a worker that lives on, and it returned and took tasks while the
// upkeep of another wave was open.
TEST_F(DispatcherReservationTest,
       UpkeepIsAnswered_OtherWaveIsOpen_ReturnedWorkerGetsNoTasks) {
  this->StartTermWithWorkers(1);
  this->StartWave(1, "machine-worker-0");
  this->StartWave(2, "machine-worker-0");
  this->Advance(milliseconds(300));
  const auto first = this->Take(Kind::kUpkeep, "", 1);
  const auto second = this->Take(Kind::kUpkeep, "", 2);
  ASSERT_TRUE(first.has_value() && second.has_value());
  this->Answer(*first, Result::kOk);
  this->fleet.Announce("worker-0");
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.RunningTasks(), 0U);
  this->Answer(*second, Result::kOk);
  this->fleet.Announce("worker-0");
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.RunningTasks(), 1U);
  EXPECT_EQ(this->fleet.proposed_starts.size(), 1U);
}

// Guards against accepted jobs that never begin (LOST): a wave reserves all
// workers of a pool, and none becomes vacant, because a long-running task there
// may not be stopped.
TEST_F(DispatcherReservationTest,
       WaveCoversThePool_TasksMayNotBeStopped_WorkersTakeTasks) {
  this->StartTermWithWorkers(2);
  this->SubmitLasting(2, 0);
  this->StartWave(1, InstancesOfWorkers(2), 2, milliseconds(26'000));
  this->AdvanceWithUpkeeps(milliseconds(1'000));
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->AdvanceWithUpkeeps(milliseconds(3'000));
  EXPECT_EQ(this->fleet.RunningTasks(), 3U);
  EXPECT_TRUE(this->upkept.empty());
  EXPECT_EQ(this->fleet.reports["upkeep_blocked"], 2);
  // The upkeeps take place once the tasks are gone.
  this->fleet.Cancel("lasting");
  this->AdvanceWithUpkeeps(milliseconds(12'000));
  EXPECT_EQ(this->upkept.size(), 2U);
  EXPECT_EQ(this->fleet.RunningTasks(), 1U);
}

// Guards against the same where the step allows a task to be unavailable, and
// another one already is, because it finds no room.
TEST_F(DispatcherReservationTest,
       WaveCoversThePool_TaskIsAwayForLackOfRoom_WorkersTakeTasks) {
  this->StartTermWithWorkers(3);
  this->SubmitLasting(3, 1);
  this->StartWave(1, InstancesOfWorkers(2), 2, milliseconds(26'000));
  this->Advance(milliseconds(100));
  EXPECT_EQ(this->fleet.reports["worker_reserved"], 1);
  // The third worker ends, and its task may not run beside another one.
  this->fleet.workers.at("worker-2").ended_without_notice = true;
  this->fleet.workers.at("worker-2").running.clear();
  this->AdvanceWithUpkeeps(milliseconds(1'000));
  this->fleet.Submit("job", "render", {MakeStep(5, 1'000)});
  this->AdvanceWithUpkeeps(milliseconds(3'000));
  std::size_t running = 0;
  for (std::uint32_t i = 0; i < 5; ++i) {
    running += this->fleet.WorkersOf(TaskId{"job", 0, 0, i}).size();
  }
  EXPECT_EQ(running, 5U);
}

// Guards against a reservation that holds a worker back for longer than a job
// with room may wait, while a task on it may not be stopped for a time.
TEST_F(DispatcherReservationTest,
       ReservedWorkerIsBlocked_ReservationEndsInTime) {
  this->StartTermWithWorkers(2);
  Step step = MakeStep(3, 1'000);
  step.long_running = true;
  step.may_miss = 1;
  this->fleet.Submit("lasting", "render", {step});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->BusyWorkers(), 1U);
  const std::string worker =
      this->fleet.WorkersOf(TaskId{"lasting", 0, 0, 0}).at(0);
  this->StartWave(1, {"machine-" + worker}, 1, milliseconds(26'000));
  // The stopped task isn't started again.
  this->fleet.hold_back = [](const WorkerOrder& order) {
    return std::holds_alternative<StartOrder>(order.body);
  };
  this->Advance(milliseconds(2'000));
  EXPECT_EQ(this->fleet.reports["worker_reserved"], 1);
  EXPECT_EQ(this->fleet.reports["reservation_ended"], 0);
  this->Advance(milliseconds(900));
  EXPECT_EQ(this->fleet.reports["reservation_ended"], 1);
  EXPECT_EQ(this->fleet.RunningTasks(), 2U) << "one may be unavailable";
  EXPECT_EQ(this->fleet.reports["worker_reserved"], 1);
}

// Guards against a leader that reads a job that is gone: the task that blocked
// a reservation at first has ended, and another one blocks it since.
TEST_F(DispatcherReservationTest,
       BlockingJobIsCancelled_ReservationEndsForTheOther) {
  this->StartTermWithWorkers(2);
  Step step = MakeStep(2, 1'000);
  step.long_running = true;
  step.may_miss = 1;
  this->fleet.Submit("first", "render", {step});
  this->fleet.Submit("second", "render", {step});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->BusyWorkers(), 1U);
  const std::string worker =
      this->fleet.WorkersOf(TaskId{"first", 0, 0, 0}).at(0);
  this->StartWave(1, {"machine-" + worker}, 1, milliseconds(26'000));
  this->fleet.hold_back = [](const WorkerOrder& order) {
    return std::holds_alternative<StartOrder>(order.body);
  };
  this->Advance(milliseconds(1'000));
  ASSERT_EQ(this->fleet.RunningTasks(), 2U) << "one of each job is away";
  this->fleet.Cancel("second");
  this->Advance(milliseconds(2'000));
  EXPECT_EQ(this->fleet.reports["reservation_ended"], 1);
  EXPECT_EQ(this->fleet.RunningTasks(), 1U);
}

// Guards against waiting jobs while a wave empties a pool: half of its workers
// go on taking tasks, and all have their upkeep in time.
TEST_F(DispatcherReservationTest, WaveCoversABusyPool_HalfGoesOnTakingTasks) {
  this->StartTermWithWorkers(4);
  this->FillPool("render");
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->BusyWorkers(), 4U);
  this->StartWave(1, InstancesOfWorkers(4), 4, milliseconds(26'000));
  this->Advance(milliseconds(200));
  EXPECT_EQ(this->fleet.reports["worker_reserved"], 2);
  for (int i = 0; i < 260 && this->upkept.size() < 4; ++i) {
    this->AdvanceWithUpkeeps(milliseconds(100));
    ASSERT_GE(this->BusyWorkers(), 2U) << i;
  }
  EXPECT_EQ(this->upkept.size(), 4U);
}

// Guards against a pool whose only worker takes no tasks for as long as those
// on it last: it goes on until half of the wave's time has passed, and is then
// emptied at once.
TEST_F(DispatcherReservationTest, OnlyWorkerIsBusy_UpkeepIsInTimeAndShort) {
  this->StartTermWithWorkers(1);
  this->FillPool("render");
  this->Advance(milliseconds(500));
  this->StartWave(1, InstancesOfWorkers(1), 1, milliseconds(10'000));
  this->AdvanceWithUpkeeps(milliseconds(4'800));
  EXPECT_EQ(this->fleet.reports["worker_reserved"], 0);
  EXPECT_EQ(this->fleet.RunningTasks(), 4U);
  this->AdvanceWithUpkeeps(milliseconds(1'000));
  EXPECT_EQ(this->upkept.size(), 1U);
  this->AdvanceWithUpkeeps(milliseconds(2'000));
  EXPECT_EQ(this->fleet.RunningTasks(), 4U);
}

// Guards against an upkeep that stops a long-running task while more of its
// step are unavailable than may be (AVAIL): their leases have lapsed, and the
// leader relies on lists from before, because no hold could be sent since.
TEST_F(DispatcherReservationTest,
       ListOfAnotherWorkerIsOld_TaskOfTheSameStepIsNotStopped) {
  this->StartTermWithWorkers(2);
  this->SubmitLasting(2, 1);
  this->fleet.waits_to_be_sent = [](const WorkerOrder& order) {
    return order.worker == "worker-0";
  };
  this->Advance(this->fleet.config.lease.length + milliseconds(500));
  ASSERT_TRUE(this->fleet.workers.at("worker-0").running.empty());
  this->StartWave(1, "machine-worker-1");
  this->Advance(milliseconds(1'000));
  EXPECT_EQ(this->fleet.workers.at("worker-1").running.size(), 1U);
  this->fleet.waits_to_be_sent = nullptr;
  this->AdvanceWithUpkeeps(milliseconds(3'000));
  EXPECT_EQ(this->upkept.size(), 1U) << "the other task is ready again";
}

// Guards against a worker that gets no tasks any more (LOST): it is reserved
// for an upkeep that can't begin, because another instance of the wave is lost.
TEST_F(DispatcherReservationTest,
       OtherInstanceOfWaveIsLost_ReservationEndsInTime) {
  this->StartTermWithWorkers(2);
  this->fleet.Submit("short", "render", {MakeStep(1, 1'000)});
  this->fleet.Submit("long", "render", {MakeStep(1, 4'000)});
  this->Advance(milliseconds(200));
  ASSERT_EQ(this->fleet.RunningTasks(), 2U);
  const std::string reserved = this->fleet.WorkersOf({"short", 0, 0, 0})[0];
  const std::string lost = this->fleet.WorkersOf({"long", 0, 0, 0})[0];
  this->StartWave(1, InstancesOfWorkers(2), 1, milliseconds(26'000));
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->fleet.reports["worker_reserved"], 1);
  this->fleet.workers.at(lost).ended_without_notice = true;
  this->fleet.workers.at(lost).running.clear();
  this->fleet.EndRun(reserved, {"short", 0, 0, 0}, RunOutcome::kDone);
  this->Advance(milliseconds(1'000));
  this->fleet.Submit("next", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(3'000));
  EXPECT_EQ(this->fleet.WorkersOf({"next", 0, 0, 0}).size(), 1U);
  EXPECT_EQ(this->fleet.reports["reservation_ended"], 1);
  EXPECT_FALSE(this->Take(Kind::kUpkeep).has_value());
}

// Guards against a worker that gets no tasks any more because the platform
// refuses its upkeep again and again.
TEST_F(DispatcherReservationTest, UpkeepIsRefusedAsBusy_ReservationEndsInTime) {
  this->StartTermWithWorkers(2);
  this->StartWave(1, "machine-worker-0");
  this->fleet.Submit("job", "render", {MakeStep(400, 1'000)});
  milliseconds idle{0};
  milliseconds longest_idle{0};
  for (int i = 0; i < 1'000; ++i) {
    this->Advance(milliseconds(10));
    if (const auto upkeep = this->Take(Kind::kUpkeep); upkeep.has_value()) {
      this->Answer(*upkeep, Result::kBusy);
    }
    FakeWorker& worker = this->fleet.workers.at("worker-0");
    idle = worker.running.empty() ? idle + milliseconds(10) : milliseconds(0);
    longest_idle = std::max(longest_idle, idle);
    const auto running = worker.running;
    for (const auto& [key, began] : running) {
      if (milliseconds(began) + milliseconds(300) <=
          this->fleet.now.time_since_epoch()) {
        this->fleet.EndRun("worker-0", key.first, RunOutcome::kDone);
      }
    }
  }
  // A job for which there is room has to run within 3 s.
  EXPECT_LE(longest_idle, milliseconds(3'000));
}

// Guards against a reservation that ends because of another wave, in which the
// instance may not be taken down yet.
TEST_F(DispatcherReservationTest, InstanceIsInTwoWaves_OneIsFull_UpkeepBegins) {
  this->StartTermWithWorkers(3);
  this->StartWave(1, {"machine-worker-0", "machine-worker-1"}, 1,
                  milliseconds(26'000));
  this->fleet.workers.at("worker-1").ended_without_notice = true;
  this->Advance(milliseconds(500));
  this->StartWave(2, {"machine-worker-0", "machine-worker-2"}, 1,
                  milliseconds(26'000));
  this->Advance(milliseconds(500));
  const auto upkeep = this->Take(Kind::kUpkeep);
  ASSERT_TRUE(upkeep.has_value());
  EXPECT_EQ(upkeep->wave, 2U);
}

}  // namespace
}  // namespace mimosastage::jobs
