#include "mimosastage/admission/allowance_lender.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AllowanceLenderTest : public ::testing::Test {
 protected:
  AllowanceLenderTest()
      : ledger([this](const std::string&) { return this->team.upper_limit; }),
        lender({}, this->now) {
    for (const Session session : {this->a, this->b}) {
      this->ledger.StartSession(session);
      this->lender.SetZone(session.daemon, this->Zone(session));
    }
    this->lender.SetTeams({this->team});
    this->lender.SetLongestDeadline(seconds(30));
    for (const char* name : {"x", "y"}) {
      this->lender.SetServer({BackendServerName(name), this->pool,
                              AvailabilityZone(name), 8, true});
    }
  }

  AvailabilityZone Zone(Session session) const {
    return AvailabilityZone(session == this->a ? "x" : "y");
  }

  /// Reports the session's demand and its units, as its AllowanceHolder would.
  void Report(Session session, std::uint32_t waiting) {
    this->lender.SessionSeen(session, this->now);
    DemandReport report{session, ++this->numbers[session], 0, true, {}, {}};
    bool reports_limit = false;
    for (const AllowanceHolding& holding : this->ledger.HoldingsOf(session)) {
      const bool limit = holding.resource.kind == ResourceKind::kTeamLimit;
      reports_limit = reports_limit || limit;
      const std::uint64_t recalled = std::min(
          this->recalls[{session, holding.resource}], holding.lent_total);
      report.resources.push_back(
          {holding.resource, 0, 0, limit ? waiting : 0, recalled});
    }
    if (!reports_limit) {
      report.resources.push_back({this->limit, 0, 0, waiting, 0});
    }
    report.teams.push_back({this->pool, this->team.name, waiting, 0});
    this->lender.HandleReport(report);
  }

  LenderRound Round(bool apply = true) {
    LenderRound round = this->lender.Round(this->ledger, this->now);
    for (const LenderNotice& notice : round.notices) {
      for (const RecallRequest& recall : notice.recalls) {
        this->recalls[{notice.session, recall.resource}] =
            recall.recalled_total;
      }
    }
    if (round.moves) {
      if (apply) {
        this->ledger.Apply(*round.moves);
      }
      this->lender.MovesFinished(apply);
    }
    this->now += milliseconds(100);
    return round;
  }

  /// Runs rounds with reports from both entries. Returns the number of rounds
  /// that moved units.
  int RunRounds(int rounds, std::uint32_t waiting_a, std::uint32_t waiting_b) {
    int moving = 0;
    for (int i = 0; i < rounds; ++i) {
      this->Report(this->a, waiting_a);
      this->Report(this->b, waiting_b);
      moving += this->Round().moves ? 1 : 0;
    }
    return moving;
  }

  /// Starts further sessions and returns `count` sessions, with those of the
  /// fixture.
  std::vector<Session> StartEntries(std::uint16_t count) {
    std::vector<Session> sessions = {this->a, this->b};
    while (sessions.size() < count) {
      sessions.push_back(
          {DaemonId{static_cast<std::uint16_t>(sessions.size() + 1)},
           SessionId{1}});
      this->ledger.StartSession(sessions.back());
    }
    return sessions;
  }

  /// Lets one entry after another wait alone, in varying order. Each must get a
  /// slot and a unit of the limit within a second.
  void ExpectEachIsServedAlone(const std::vector<Session>& sessions) {
    for (std::size_t i = 0; i < 3 * sessions.size(); ++i) {
      const Session waiting = sessions[i * 5 % sessions.size()];
      const auto served = [&] {
        return this->Slots("x", waiting) + this->Slots("y", waiting) > 0 &&
               this->ledger.Held(this->limit, waiting) > 0;
      };
      for (int round = 0; round < 10 && !served(); ++round) {
        for (const Session session : sessions) {
          this->Report(session, session == waiting ? 1 : 0);
        }
        this->Round();
      }
      EXPECT_TRUE(served()) << "step " << i;
    }
  }

  /// Starts again without sessions and servers, with another limit.
  void Restart(std::uint32_t upper_limit) {
    this->team.upper_limit = upper_limit;
    this->ledger = AllowanceLedger(
        [this](const std::string&) { return this->team.upper_limit; });
    this->lender = AllowanceLender({}, this->now);
    this->lender.SetTeams({this->team});
    this->lender.SetLongestDeadline(seconds(30));
    this->numbers.clear();
    this->recalls.clear();
  }

  std::uint32_t Slots(const char* server, Session session) {
    return this->ledger.Held({ResourceKind::kBackendServerSlots, server},
                             session);
  }

  TimePoint now{seconds(100)};
  Team team{TeamName("team"), 1, 16};
  PoolName pool{"pool"};
  Resource limit{ResourceKind::kTeamLimit, "team"};
  Session a{DaemonId{0}, SessionId{1}};
  Session b{DaemonId{1}, SessionId{1}};
  std::map<Session, std::uint64_t> numbers;
  std::map<std::pair<Session, Resource>, std::uint64_t> recalls;
  AllowanceLedger ledger;
  AllowanceLender lender;
};

// Guards against units that are freed while requests of a lapsed entry may
// still run, against a lease for a session whose units were already freed, and
// against a new leader that counts the wait from before its leadership.
TEST_F(AllowanceLenderTest, LapsedSession_BeforeAndAfterWait_EndsOnceSafe) {
  this->RunRounds(5, 20, 20);
  const TimePoint heard = this->now - milliseconds(100);
  AllowanceLender next({}, this->now + seconds(20));
  next.SetLongestDeadline(seconds(30));
  while (this->now <= heard + seconds(32)) {
    this->lender.SessionSeen(this->b, this->now);
    ASSERT_TRUE(this->Round().ended.empty());
    ASSERT_TRUE(this->lender.MayServe(this->a));
  }
  this->lender.SessionSeen(this->b, this->now);
  const LenderRound round = this->Round();
  ASSERT_EQ(round.ended.size(), 1U);
  EXPECT_EQ(round.ended.front().session, this->a);
  this->lender.SessionSeen(this->a, this->now);
  EXPECT_FALSE(this->lender.MayServe(this->a));
  EXPECT_TRUE(this->lender.MayServe(this->b));
  EXPECT_TRUE(next.Round(this->ledger, heard + seconds(50)).ended.empty());
  EXPECT_EQ(next.Round(this->ledger, heard + seconds(90)).ended.size(), 2U);
}

// Guards against units that oscillate between entries under steady demand, and
// against slots lent in another zone while the entry's own zone has free ones.
TEST_F(AllowanceLenderTest, SteadyDemand_AfterSettling_MovesNothing) {
  this->team.upper_limit = 15;
  this->lender.SetTeams({this->team});
  this->RunRounds(30, 20, 20);
  EXPECT_EQ(this->RunRounds(100, 20, 20), 0);
  EXPECT_EQ(this->Slots("x", this->a) + this->Slots("y", this->b), 16U);
  EXPECT_EQ(this->ledger.Lent(this->limit), 15U);
}

// Guards against moves that are lost when their command fails, and against a
// second command while the first is in progress.
TEST_F(AllowanceLenderTest, FailedCommand_NextRound_ProposesAgain) {
  this->Report(this->a, 20);
  this->Report(this->b, 20);
  EXPECT_TRUE(this->lender.Round(this->ledger, this->now).moves.has_value());
  EXPECT_FALSE(this->lender.Round(this->ledger, this->now).moves.has_value());
  this->lender.MovesFinished(false);
  EXPECT_TRUE(this->Round().moves.has_value());
  EXPECT_EQ(this->ledger.Lent(this->limit), 16U);
}

// Guards against units that stay lent above a lowered limit, or for a departing
// or removed server.
TEST_F(AllowanceLenderTest, ShrunkResources_AfterRounds_AreRecalled) {
  this->RunRounds(30, 20, 20);
  this->team.upper_limit = 9;
  this->lender.SetTeams({this->team});
  this->lender.SetServer(
      {BackendServerName("x"), this->pool, AvailabilityZone("x"), 8, false});
  this->lender.RemoveServer(BackendServerName("y"));
  this->RunRounds(30, 20, 20);
  EXPECT_EQ(this->ledger.Lent(this->limit), 9U);
  EXPECT_EQ(this->ledger.Lent({ResourceKind::kBackendServerSlots, "x"}), 0U);
  EXPECT_EQ(this->ledger.Size({ResourceKind::kBackendServerSlots, "y"}), 0U);
}

// Guards against a request that waits until its deadline although other entries
// hold idle units: with fewer units than entries, each holder's surplus is less
// than the hysteresis. Seen after restarts, while the sessions before them
// still held most of the slots.
TEST_F(AllowanceLenderTest, OneEntryWaits_OthersHoldIdleSlots_GetsASlot) {
  const std::vector<Session> sessions = this->StartEntries(3);
  this->lender.SetServer(
      {BackendServerName("x"), this->pool, AvailabilityZone("x"), 2, true});
  this->lender.RemoveServer(BackendServerName("y"));
  this->ExpectEachIsServedAlone(sessions);
}

// The same for the units of a limit that is divided between the entries.
TEST_F(AllowanceLenderTest, OneEntryWaits_OthersHoldIdleUnits_GetsAUnit) {
  this->team.upper_limit = 9;
  this->lender.SetTeams({this->team});
  this->ExpectEachIsServedAlone(this->StartEntries(24));
}

// Guards against an entry that holds slots of a single backend server for good,
// because the others were lent before it started: while that server refuses,
// the entry refuses all requests, although another server could run them.
TEST_F(AllowanceLenderTest, SecondServerAppearsLater_EachEntryHoldsBoth) {
  const AvailabilityZone zone("x");
  this->lender.RemoveServer(BackendServerName("y"));
  this->RunRounds(10, 0, 0);
  ASSERT_EQ(this->Slots("x", this->a) + this->Slots("x", this->b), 8U);
  const std::vector<Session> sessions = this->StartEntries(4);
  this->lender.SetServer({BackendServerName("z"), this->pool, zone, 8, true});
  const auto round = [&] {
    for (const Session session : sessions) {
      this->Report(session, 0);
    }
    return this->Round().moves.has_value();
  };
  for (int i = 0; i < 60; ++i) {
    round();
  }
  for (const Session session : sessions) {
    EXPECT_GT(this->Slots("x", session), 0U)
        << "session of daemon " << static_cast<std::uint64_t>(session.daemon);
    EXPECT_GT(this->Slots("z", session), 0U)
        << "session of daemon " << static_cast<std::uint64_t>(session.daemon);
    EXPECT_EQ(this->Slots("x", session) + this->Slots("z", session), 4U);
  }
  for (int i = 0; i < 60; ++i) {
    EXPECT_FALSE(round()) << "units must not oscillate";
  }
}

// The same for entries and servers that start in any order, also for an entry
// that has got a single slot.
TEST_F(AllowanceLenderTest, AnyStartOrder_FewRequests_EntriesHoldBothOrNone) {
  constexpr int kRounds = 80;
  constexpr int kLatestStart = 12;
  const AvailabilityZone zone("x");
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    this->Restart(64);
    std::map<std::string, int> server_start;
    for (const char* server : {"x", "y"}) {
      server_start[server] = static_cast<int>(random() % kLatestStart);
    }
    std::map<Session, int> session_start;
    for (std::uint16_t daemon = 0; daemon < 4; ++daemon) {
      session_start[{DaemonId{daemon}, SessionId{seed}}] =
          static_cast<int>(random() % kLatestStart);
    }
    for (int i = 0; i < kRounds; ++i) {
      for (const auto& [server, start] : server_start) {
        if (start == i) {
          this->lender.SetServer(
              {BackendServerName(server), this->pool, zone, 8, true});
        }
      }
      for (const auto& [session, start] : session_start) {
        if (start == i) {
          this->ledger.StartSession(session);
          this->lender.SetZone(session.daemon, zone);
        }
        if (start <= i) {
          const bool sends = session.daemon == DaemonId{2} && i > kLatestStart;
          this->Report(session, sends ? random() % 2 : 0);
        }
      }
      this->Round();
    }
    std::vector<Session> sessions;
    for (const auto& [session, start] : session_start) {
      EXPECT_EQ(this->Slots("x", session) > 0, this->Slots("y", session) > 0)
          << "session of daemon " << static_cast<std::uint64_t>(session.daemon);
      sessions.push_back(session);
    }
    this->ExpectEachIsServedAlone(sessions);
  }
}

// Guards against slots that pass between entries with a single server while a
// request at another entry waits for one.
TEST_F(AllowanceLenderTest, OneEntryWaits_TwoServersInAZone_GetsASlot) {
  this->team.upper_limit = 64;
  this->lender.SetTeams({this->team});
  const std::vector<Session> sessions = this->StartEntries(5);
  for (const std::uint32_t slots : {8U, 3U, 2U, 1U}) {
    for (const char* server : {"x", "y"}) {
      this->lender.SetServer({BackendServerName(server), this->pool,
                              AvailabilityZone("x"), slots, true});
    }
    SCOPED_TRACE(std::to_string(slots) + " slots");
    this->ExpectEachIsServedAlone(sessions);
  }
}

// Guards against a lend that the ledger refuses because the return that frees
// the units comes later in the same command. The waiting entry then got nothing
// until the next planning, up to a second later.
TEST_F(AllowanceLenderTest, UnitsReturnedAndLentInOneRound_AreLent) {
  this->RunRounds(10, 0, 20);
  ASSERT_EQ(this->ledger.Held(this->limit, this->b), 16U);
  this->RunRounds(1, 20, 0);
  ASSERT_EQ(this->ledger.Held(this->limit, this->a), 0U);
  this->RunRounds(1, 20, 0);
  EXPECT_EQ(this->ledger.Held(this->limit, this->a), 16U);
}

// Guards against an entry that gets nothing of a limit of which a lapsed
// session still holds most, while other entries wait, too.
TEST_F(AllowanceLenderTest, LapsedSessionHoldsMost_AllWait_EachGetsUnits) {
  const Session lapsed{DaemonId{2}, SessionId{1}};
  this->ledger.StartSession(lapsed);
  this->ledger.Apply(AllowanceMoves{{}, {{this->limit, lapsed, 14, 0}}});
  const std::vector<Session> sessions = this->StartEntries(3);
  std::set<Session> served;
  for (int round = 0; round < 60; ++round) {
    for (const Session session : sessions) {
      this->Report(session, 20);
      if (this->ledger.Held(this->limit, session) > 0) {
        served.insert(session);
      }
    }
    this->Round();
  }
  EXPECT_EQ(served.size(), 3U);
  EXPECT_LE(this->ledger.Lent(this->limit), 16U);
}

// Guards against requests that wait until their deadline for units that can't
// become free before, and against a refusal while an entry that holds units may
// still return them.
TEST_F(AllowanceLenderTest, GoneSessionHoldsAll_AllWait_EntriesAreTold) {
  const Session gone{DaemonId{2}, SessionId{1}};
  this->ledger.StartSession(gone);
  this->ledger.Apply(
      AllowanceMoves{{{"x", 8}, {"y", 8}},
                     {{this->limit, gone, 16, 0},
                      {{ResourceKind::kBackendServerSlots, "x"}, gone, 8, 0},
                      {{ResourceKind::kBackendServerSlots, "y"}, gone, 8, 0}}});
  const auto told = [&](bool team) {
    this->Report(this->a, 1);
    this->Report(this->b, 0);
    for (const LenderNotice& notice : this->Round().notices) {
      EXPECT_TRUE(
          notice.session == this->a ||
          (notice.exhausted_teams.empty() && notice.exhausted_pools.empty()));
      if (notice.session == this->a &&
          (team ? !notice.exhausted_teams.empty()
                : !notice.exhausted_pools.empty())) {
        return true;
      }
    }
    return false;
  };
  // For the length of a lease the session may still be alive.
  const TimePoint began = this->now;
  while (this->now - began < seconds(2)) {
    EXPECT_FALSE(told(true) || told(false));
  }
  // Repeated without a further report of the waiting request.
  bool team = false;
  bool slots = false;
  for (int round = 0; round < 3; ++round) {
    this->lender.SessionSeen(this->a, this->now);
    for (const LenderNotice& notice : this->Round().notices) {
      team = team || !notice.exhausted_teams.empty();
      slots = slots || !notice.exhausted_pools.empty();
    }
  }
  EXPECT_TRUE(team);
  EXPECT_TRUE(slots);
  // One unit that may come back is reason to wait.
  this->ledger.Apply(AllowanceMoves{{}, {{this->limit, gone, 0, 1}}});
  EXPECT_FALSE(told(true));
}

// A daemon has one session at a time, so that a new one ends the wait at once.
TEST_F(AllowanceLenderTest, DaemonHasRestarted_OldSessionHeldAll_EntryIsTold) {
  const Session gone{DaemonId{0}, SessionId{7}};
  this->ledger.StartSession(gone);
  this->ledger.Apply(AllowanceMoves{{}, {{this->limit, gone, 16, 0}}});
  bool told = false;
  for (int round = 0; round < 3; ++round) {
    this->Report(this->a, 1);
    for (const LenderNotice& notice : this->Round().notices) {
      told = told || !notice.exhausted_teams.empty();
    }
  }
  EXPECT_TRUE(told);
}

}  // namespace
}  // namespace mimosastage
