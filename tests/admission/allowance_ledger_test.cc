#include "mimosastage/admission/allowance_ledger.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

#include "mimosastage/admission/allowance_messages.h"
#include "mimosastage/admission/refusal.h"

namespace mimosastage {
namespace {

/// Naive ledger: one list item for each lent unit, with its owner.
struct NaiveLedger {
  std::map<Resource, std::uint32_t> sizes;
  std::set<Session> alive;
  std::map<Resource, std::multiset<Session>> owners;
  std::map<std::pair<Resource, Session>, std::uint64_t> returned;

  void Move(const AllowanceMove& move) {
    if (!this->alive.contains(move.session)) {
      return;
    }
    std::multiset<Session> units = this->owners[move.resource];
    std::uint64_t back = this->returned[{move.resource, move.session}];
    while (back < move.returned_total && units.contains(move.session)) {
      units.erase(units.find(move.session));
      ++back;
    }
    for (std::uint32_t i = 0; i < move.lend; ++i) {
      units.insert(move.session);
    }
    if (move.lend > 0 && units.size() > this->sizes[move.resource]) {
      return;
    }
    this->owners[move.resource] = units;
    this->returned[{move.resource, move.session}] = back;
  }

  void End(Session session) {
    this->alive.erase(session);
    for (auto& [resource, units] : this->owners) {
      units.erase(session);
      this->returned.erase({resource, session});
    }
  }
};

class AllowanceLedgerTest : public ::testing::Test {
 protected:
  AllowanceLedgerTest()
      : ledger([this](const std::string& team) {
          return this->naive.sizes[{ResourceKind::kTeamLimit, team}];
        }) {}

  std::uint32_t Draw(std::uint32_t end) {
    return std::uniform_int_distribution<std::uint32_t>(0,
                                                        end - 1)(this->random);
  }

  Session DrawSession() {
    return {DaemonId{static_cast<std::uint16_t>(this->Draw(4))},
            SessionId{1 + this->Draw(2)}};
  }

  Resource DrawResource() {
    const bool limit = this->Draw(2) == 0;
    const std::string name = limit ? "team" : "server";
    return {
        limit ? ResourceKind::kTeamLimit : ResourceKind::kBackendServerSlots,
        name + std::to_string(this->Draw(3))};
  }

  void ApplyRandomMoves() {
    AllowanceMoves moves;
    for (std::uint32_t i = 0; i < 3; ++i) {
      moves.moves.push_back({this->DrawResource(), this->DrawSession(),
                             this->Draw(5), this->Draw(12)});
      const Resource resource = this->DrawResource();
      const std::uint32_t size = this->Draw(9);
      if (resource.kind == ResourceKind::kBackendServerSlots) {
        moves.backend_server_slots.emplace_back(resource.name, size);
      }
      this->naive.sizes[resource] = size;
    }
    this->ledger.Apply(moves);
    for (const AllowanceMove& move : moves.moves) {
      this->naive.Move(move);
    }
  }

  void Step() {
    const Session session = this->DrawSession();
    switch (this->Draw(8)) {
      case 0:
        this->ledger.StartSession(session);
        this->naive.alive.insert(session);
        break;
      case 1:
        this->ledger.EndSession(session);
        this->naive.End(session);
        break;
      case 2:
        this->RestoreFromSnapshot();
        break;
      default:
        this->ApplyRandomMoves();
    }
  }

  void RestoreFromSnapshot() {
    const std::vector<AllowanceHolding> holdings = this->ledger.Holdings();
    this->ledger.Restore(holdings);
    for (const Session session : this->naive.alive) {
      this->ledger.StartSession(session);
    }
    ASSERT_EQ(this->ledger.Holdings(), holdings);
  }

  void Compare() {
    ASSERT_EQ(this->ledger.Sessions(), this->naive.alive);
    for (const auto& [resource, units] : this->naive.owners) {
      ASSERT_EQ(this->ledger.Lent(resource), units.size());
      for (const Session session : this->naive.alive) {
        ASSERT_EQ(this->ledger.Held(resource, session), units.count(session));
      }
    }
  }

  std::mt19937 random;
  NaiveLedger naive;
  AllowanceLedger ledger;
};

// Guards against units that are lent twice, returned twice or lost because
// returns are repeated or reordered, a session ends or a snapshot is restored.
TEST_F(AllowanceLedgerTest, RandomCommands_ComparedWithUnitList_AreEqual) {
  for (std::uint32_t seed = 0; seed < 2000; ++seed) {
    this->random.seed(seed);
    this->naive = {};
    this->ledger.Restore({});
    for (int step = 0; step < 60 && !this->HasFatalFailure(); ++step) {
      this->Step();
      this->Compare();
    }
    ASSERT_FALSE(this->HasFatalFailure()) << "seed " << seed;
  }
}

// Guards against out-of-bounds reads on a corrupted message and against fields
// that the codec omits.
TEST_F(AllowanceLedgerTest, Codec_WholeAndDamagedMessages_RoundTripOrFail) {
  const Session session{DaemonId{3}, SessionId{9}};
  const Resource limit{ResourceKind::kTeamLimit, "team"};
  const DemandReport report{session,
                            7,
                            12,
                            true,
                            {{limit, 5, 4, 3, 2}},
                            {{PoolName("pool"), TeamName(""), 6, 5}}};
  const LenderNotice notice{session,
                            true,
                            {{limit, 8}},
                            {{PoolName("pool"), TeamName("team"), 125}},
                            {TeamName("team")},
                            {PoolName("pool")}};
  const std::string bytes = EncodeDemandReport(report);
  EXPECT_EQ(DecodeDemandReport(bytes).value(), report);
  EXPECT_EQ(DecodeLenderNotice(EncodeLenderNotice(notice)).value(), notice);
  for (std::size_t size = 0; size + 8 < bytes.size(); ++size) {
    const auto decoded = DecodeDemandReport(bytes.substr(0, size));
    EXPECT_EQ(decoded.error(), AdmissionError::kMalformedMessage) << size;
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x5a);
    (void)DecodeDemandReport(damaged);
    (void)DecodeLenderNotice(damaged);
  }
}

}  // namespace
}  // namespace mimosastage
