#include "mimosastage/admission/fair_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Naive queue: one FIFO queue with a linear search for each decision. Service
/// times aren't measured.
struct NaiveQueue {
  struct Team {
    double share = 1;
    double used = 0;
    bool passed_over = false;
  };
  using Lane = std::pair<TeamName, bool>;

  std::vector<QueuedRequest> fifo;
  std::map<TeamName, Team> teams;
  std::map<std::pair<Lane, ClientName>, double> client_used;
  std::map<Lane, double> lane_used;
  double used = 0;

  bool Waits(const TeamName& team) const {
    return std::any_of(this->fifo.begin(), this->fifo.end(),
                       [&](const auto& item) { return item.team == team; });
  }

  void Add(const QueuedRequest& request) {
    const Lane lane{request.team, request.urgent};
    const bool client_waits = std::any_of(
        this->fifo.begin(), this->fifo.end(), [&](const auto& item) {
          return Lane{item.team, item.urgent} == lane &&
                 item.client == request.client;
        });
    if (!client_waits) {
      double& client = this->client_used[{lane, request.client}];
      client = std::max(client, this->lane_used[lane]);
    }
    if (!this->Waits(request.team)) {
      this->Join(request.team);
    }
    this->fifo.push_back(request);
  }

  void Join(const TeamName& name) {
    this->teams[name].used = std::max(this->teams[name].used, this->used);
    this->teams[name].passed_over = false;
  }

  /// Chooses the team furthest below its share; in it the urgent requests
  /// first, then the client with the least use, then the oldest request.
  std::optional<QueuedRequest> Next(const std::set<TeamName>& allowed,
                                    TimePoint now, double charge) {
    while (true) {
      const auto rank = [&](const QueuedRequest& item) {
        const Lane lane{item.team, item.urgent};
        return std::make_tuple(
            this->teams[item.team].used, item.team, !item.urgent,
            this->client_used[{lane, item.client}], item.client);
      };
      auto best = this->fifo.end();
      for (auto item = this->fifo.begin(); item != this->fifo.end(); ++item) {
        if (!this->teams[item->team].passed_over &&
            (best == this->fifo.end() || rank(*item) < rank(*best))) {
          best = item;
        }
      }
      if (best == this->fifo.end()) {
        return std::nullopt;
      }
      if (!allowed.contains(best->team)) {
        this->teams[best->team].passed_over = true;
        continue;
      }
      const QueuedRequest request = *best;
      this->fifo.erase(best);
      if (now < request.deadline) {
        this->Charge(request, charge);
        return request;
      }
    }
  }

  void Charge(const QueuedRequest& request, double seconds) {
    const Lane lane{request.team, request.urgent};
    Team& team = this->teams[request.team];
    double& client = this->client_used[{lane, request.client}];
    this->used = std::max(this->used, team.used);
    this->lane_used[lane] = std::max(this->lane_used[lane], client);
    this->Correct(request, seconds);
  }

  void Correct(const QueuedRequest& request, double seconds) {
    Team& team = this->teams[request.team];
    team.used += seconds / team.share;
    this->client_used[{{request.team, request.urgent}, request.client}] +=
        seconds;
  }
};

class FairQueueTest : public ::testing::Test {
 protected:
  static TeamName TeamAt(std::uint32_t i) {
    return TeamName(i == 0 ? "" : "team" + std::to_string(i));
  }

  FairQueue MakeQueue(FairQueue::Settings settings) {
    FairQueue::Hooks hooks;
    hooks.team_may_start = [this](const TeamName& team) {
      return this->allowed.contains(team);
    };
    hooks.slots = [this] { return this->slots; };
    hooks.on_refused = [this](std::uint64_t id, const Refusal& refusal) {
      this->refused[id] = refusal.reason;
    };
    hooks.on_demand = [this](const TeamName& team, std::uint32_t waiting,
                             std::uint32_t running) {
      this->demand[team] = {waiting, running};
    };
    return {settings, hooks};
  }

  std::uint32_t Draw(std::uint32_t end) {
    return std::uniform_int_distribution<std::uint32_t>(0,
                                                        end - 1)(this->random);
  }

  QueuedRequest DrawRequest() {
    return {this->next_id++, TeamAt(this->Draw(5)),
            ClientName(std::to_string(this->Draw(3))), this->Draw(4) == 0,
            this->now + milliseconds(100 + this->Draw(3000))};
  }

  /// Keeps `slots` requests running for 100 ms each. Returns the number of
  /// starts by team.
  std::map<TeamName, int> Serve(FairQueue& queue, int rounds) {
    std::map<TeamName, int> starts;
    for (int i = 0; i < rounds; ++i) {
      std::vector<std::uint64_t> started;
      while (started.size() < this->slots) {
        const auto next = queue.Next(this->now);
        if (!next) {
          break;
        }
        started.push_back(next->id);
        ++starts[next->team];
      }
      this->now += milliseconds(100);
      for (const std::uint64_t id : started) {
        queue.Finish(id, this->now);
      }
    }
    return starts;
  }

  std::mt19937 random;
  TimePoint now{seconds(50)};
  std::uint64_t next_id = 1;
  std::uint32_t slots = 1000000;
  std::set<TeamName> allowed;
  std::map<std::uint64_t, AdmissionError> refused;
  std::map<TeamName, std::pair<std::uint32_t, std::uint32_t>> demand;
};

// Guards against a wrong order, lost or duplicated requests, a team at its
// limit that blocks other teams, and requests that start after their deadline.
TEST_F(FairQueueTest, RandomSchedules_ComparedWithOneFifo_StartEqualRequests) {
  for (std::uint32_t seed = 0; seed < 2000; ++seed) {
    this->random.seed(seed);
    this->demand.clear();
    FairQueue queue = this->MakeQueue({});
    NaiveQueue naive;
    for (std::uint32_t i = 0; i < 5; ++i) {
      const std::uint32_t share = 1 + this->Draw(4);
      queue.SetShare(TeamAt(i), share);
      naive.teams[TeamAt(i)].share = share;
    }
    std::map<std::uint64_t, std::pair<QueuedRequest, TimePoint>> running;
    for (int step = 0; step < 150; ++step) {
      const std::uint32_t action = this->Draw(10);
      if (action < 4) {
        const QueuedRequest request = this->DrawRequest();
        ASSERT_EQ(queue.Enqueue(request, this->now), std::nullopt);
        naive.Add(request);
      } else if (action < 6) {
        const auto ours = queue.Next(this->now);
        const auto expected = naive.Next(this->allowed, this->now, 0.1);
        ASSERT_EQ(ours.has_value(), expected.has_value()) << seed;
        if (ours) {
          ASSERT_EQ(ours->id, expected->id) << seed << " step " << step;
          running[ours->id] = {*ours, this->now};
        }
      } else if (action == 6) {
        const std::uint64_t id = 1 + this->Draw(this->next_id);
        const auto erased = std::erase_if(
            naive.fifo, [&](const auto& item) { return item.id == id; });
        ASSERT_EQ(queue.Cancel(id), erased == 1);
        ASSERT_FALSE(queue.Cancel(id));
      } else if (action == 7 && !running.empty()) {
        const auto [id, item] = *running.begin();
        running.erase(running.begin());
        ASSERT_TRUE(queue.Finish(id, this->now, false));
        ASSERT_FALSE(queue.Finish(id, this->now, false));
        const std::chrono::duration<double> ran = this->now - item.second;
        naive.Correct(item.first, ran.count() - 0.1);
      } else if (action == 8) {
        const TeamName team = TeamAt(this->Draw(5));
        if (this->allowed.erase(team) == 0) {
          this->allowed.insert(team);
          queue.TeamAvailable(team);
          if (naive.teams[team].passed_over && naive.Waits(team)) {
            naive.Join(team);
          }
        }
      } else {
        this->now += milliseconds(this->Draw(200));
      }
      ASSERT_EQ(queue.waiting(), naive.fifo.size()) << seed;
      ASSERT_EQ(queue.running(), running.size());
    }
  }
}

// Guards against clients and teams with many requests that get more than their
// share, and against capacity left idle while a team has waiting requests.
TEST_F(FairQueueTest, FullQueue_SharesAndClients_AreServedInProportion) {
  this->slots = 8;
  this->allowed = {TeamAt(1), TeamAt(2)};
  FairQueue queue = this->MakeQueue({});
  queue.SetShare(TeamAt(1), 1);
  queue.SetShare(TeamAt(2), 3);
  std::vector<std::uint64_t> small_client;
  for (int i = 0; i < 1000; ++i) {
    const bool large = i % 10 != 0;
    queue.Enqueue({this->next_id, TeamAt(1), ClientName(large ? "l" : "s"),
                   false, this->now + seconds(900)},
                  this->now);
    if (!large) {
      small_client.push_back(this->next_id);
    }
    ++this->next_id;
    queue.Enqueue({this->next_id++, TeamAt(2), ClientName("c"), false,
                   this->now + seconds(900)},
                  this->now);
  }
  const auto starts = this->Serve(queue, 100);
  EXPECT_NEAR(starts.at(TeamAt(1)), 200, 4);
  EXPECT_NEAR(starts.at(TeamAt(2)), 600, 4);
  // Half of the team's 200 starts go to the small client, which had 100
  // requests.
  const auto left = std::count_if(small_client.begin(), small_client.end(),
                                  [&](auto id) { return queue.Cancel(id); });
  EXPECT_LE(left, 4);
  this->allowed.erase(TeamAt(2));
  EXPECT_EQ(this->Serve(queue, 10).at(TeamAt(1)), 80);
}

// Guards against a queue that grows without bound or refuses with the wrong
// reason, and against a request that starts with less time left than it needs.
TEST_F(FairQueueTest, Bounds_EachExceeded_RefuseWithTypedReason) {
  this->slots = 1;
  this->allowed = {TeamAt(1), TeamAt(2)};
  FairQueue queue =
      this->MakeQueue({.max_waiting = 6, .max_waiting_per_client = 4});
  const auto enqueue = [&](std::uint32_t team, const char* client,
                           milliseconds left) {
    const auto refusal =
        queue.Enqueue({this->next_id++, TeamAt(team), ClientName(client), false,
                       this->now + left},
                      this->now);
    return refusal ? refusal->reason : AdmissionError{};
  };
  const seconds long_time(100);
  EXPECT_EQ(enqueue(1, "a", milliseconds(0)),
            AdmissionError::kDeadlineTooShort);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(enqueue(1, "a", long_time), AdmissionError{});
  }
  EXPECT_EQ(enqueue(1, "a", long_time), AdmissionError::kClientQueueFull);
  EXPECT_EQ(enqueue(1, "b", milliseconds(400)),
            AdmissionError::kDeadlineTooShort);
  EXPECT_EQ(enqueue(1, "b", seconds(2)), AdmissionError{});
  EXPECT_EQ(enqueue(1, "b", long_time), AdmissionError{});
  EXPECT_EQ(enqueue(1, "b", long_time), AdmissionError::kQueueFull);
  EXPECT_EQ(enqueue(2, "c", long_time), AdmissionError{});
  ASSERT_EQ(this->refused.size(), 1U);
  EXPECT_EQ(this->refused.begin()->second, AdmissionError::kDisplaced);

  const auto first = queue.Next(this->now);
  this->now += milliseconds(1500);
  queue.Finish(first->id, this->now);
  // The request with 500 ms left is next, but the measured time is 1.5 s.
  queue.Next(this->now);
  queue.Next(this->now);
  EXPECT_EQ(this->refused.size(), 2U);
  EXPECT_EQ(this->refused.rbegin()->second, AdmissionError::kDeadlinePassed);
  this->now += long_time;
  EXPECT_GT(queue.waiting(), 0U);
  queue.Expire(this->now);
  EXPECT_EQ(queue.waiting(), 0U);
  EXPECT_EQ(this->demand.at(TeamAt(1)).first, 0U);
  EXPECT_NE(make_error_code(AdmissionError::kQueueFull).message().find("retry"),
            std::string::npos);
}

}  // namespace
}  // namespace mimosastage
