#include "mimosastage/routing/backend_server_picker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AvailabilityZone kNear("near");
constexpr int kServers = 12;

class BackendServerPickerTest : public ::testing::Test {
 protected:
  void Begin(std::uint64_t seed) {
    this->random.seed(seed);
    this->directory = BackendServerDirectory();
    this->ejection = Ejection();
    this->lent.clear();
    this->started.clear();
    this->picker = std::make_unique<BackendServerPicker>(
        BackendServerPicker::Settings{kNear, 9, seed},
        BackendServerPicker::Hooks{[this](const BackendServerName& name) {
          const std::uint32_t lent = this->lent[name];
          const std::uint32_t used = this->started[name];
          return lent > used ? lent - used : 0;
        }},
        this->directory, this->ejection);
  }

  static BackendServerName ServerName(std::uint64_t number) {
    return BackendServerName("server-" + std::to_string(number));
  }

  void Announce(std::uint64_t number) {
    Announcement announcement{ServerName(number),
                              "127.0.0.1",
                              80,
                              PoolName(number % 2 == 0 ? "even" : "odd"),
                              number % 3 == 0 ? kNear : AvailabilityZone("far"),
                              1,
                              8,
                              64,
                              this->random() % 8 == 0};
    EXPECT_TRUE(this->directory.OnAnnouncement(announcement, this->now));
  }

  /// The rules for a choice without a probe, checked independently of the
  /// picker.
  bool MayChoose(const Announcement& server, const PoolName& pool) {
    const std::uint32_t used = this->started[server.name];
    return server.pool == pool && !server.departing &&
           used < this->lent[server.name] && used < 64 / 9 &&
           this->ejection.StateOf(server.name, this->now) ==
               Ejection::State::kInUse;
  }

  void PickAndCheck() {
    const PoolName pool(this->random() % 2 == 0 ? "even" : "odd");
    std::vector<BackendServerName> excluded;
    if (this->random() % 2 == 0) {
      excluded.push_back(ServerName(this->random() % kServers));
    }
    bool any = false;
    bool any_near = false;
    for (const Announcement* server : this->directory.All()) {
      const bool allowed = this->MayChoose(*server, pool) &&
                           std::find(excluded.begin(), excluded.end(),
                                     server->name) == excluded.end();
      any = any || allowed;
      any_near = any_near || (allowed && server->availability_zone == kNear);
    }
    const auto choice = this->picker->Pick(pool, excluded, this->now);
    if (choice && choice->probe) {
      this->probes += 1;
      EXPECT_TRUE(excluded.empty());
      EXPECT_EQ(this->ejection.StateOf(choice->name, this->now),
                Ejection::State::kProbeDue);
      EXPECT_EQ(this->directory.Find(choice->name)->pool, pool);
    } else {
      ASSERT_EQ(choice.has_value(), any);
    }
    if (!choice) {
      return;
    }
    const Announcement& server = *this->directory.Find(choice->name);
    if (!choice->probe) {
      EXPECT_TRUE(this->MayChoose(server, pool));
      EXPECT_EQ(std::count(excluded.begin(), excluded.end(), server.name), 0);
      EXPECT_EQ(server.availability_zone == kNear, any_near);
    }
    this->picker->OnStart(*choice);
    this->started[choice->name] += 1;
  }

  void EndOne() {
    const BackendServerName name = ServerName(this->random() % kServers);
    const Announcement* server = this->directory.Find(name);
    if (this->started[name] == 0 || server == nullptr) {
      return;
    }
    this->started[name] -= 1;
    this->picker->OnEnd(name);
    const std::size_t usable = this->directory.ServersOf(server->pool).size();
    const std::size_t before = this->ejection.EjectedIn(server->pool);
    const bool bad = name == ServerName(1) || name == ServerName(2) ||
                     this->random() % 4 == 0;
    this->ejection.OnAttemptEnd(
        name, server->pool, usable,
        bad ? AttemptEnd::kFailedAfterFirstByte : AttemptEnd::kWholeAnswer, 200,
        milliseconds(5), this->now);
    const std::size_t after = this->ejection.EjectedIn(server->pool);
    EXPECT_TRUE(after <= before || after <= usable / 3);
  }

  TimePoint now{seconds(1'000)};
  std::mt19937_64 random;
  BackendServerDirectory directory;
  Ejection ejection;
  std::map<BackendServerName, std::uint32_t> lent;
  std::map<BackendServerName, std::uint32_t> started;
  std::unique_ptr<BackendServerPicker> picker;
  int probes = 0;
};

// Guards against the choice of a server that is departing, ejected, absent, of
// another pool, without a free lent slot or above its connection quota, and
// against one in another zone while one in the own zone is free.
TEST_F(BackendServerPickerTest, Pick_RandomFleet_ChoosesOnlyAllowedServers) {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->Begin(seed);
    for (int step = 0; step < 800; ++step) {
      const std::uint64_t kind = this->random() % 10;
      if (kind == 0) {
        this->Announce(this->random() % kServers);
      } else if (kind == 1) {
        this->lent[ServerName(this->random() % kServers)] = this->random() % 9;
      } else if (kind == 2) {
        this->now += milliseconds(this->random() % 400);
        this->directory.Expire(this->now);
      } else if (kind < 6) {
        this->PickAndCheck();
      } else {
        this->EndOne();
      }
      ASSERT_FALSE(this->HasFailure());
    }
  }
  EXPECT_GT(this->probes, 0);
}

class EjectionTest : public ::testing::Test {
 protected:
  std::optional<Ejection::Reason> End(const char* name, AttemptEnd end,
                                      milliseconds latency = milliseconds(5)) {
    return this->ejection.OnAttemptEnd(BackendServerName(name), PoolName("p"),
                                       this->pool_size, end, 200, latency,
                                       this->now);
  }
  Ejection::State StateOf(const char* name) const {
    return this->ejection.StateOf(BackendServerName(name), this->now);
  }

  std::size_t pool_size = 9;
  TimePoint now{seconds(1'000)};
  Ejection ejection;
};

// Guards against the ejection of a working server because its old connections
// stall, and against a failed server that isn't ejected because stalls don't
// count.
TEST_F(EjectionTest, Stall_ReusedConnection_CountsOnlyAfterFreshFailure) {
  for (int i = 0; i < 20; ++i) {
    this->End("a", AttemptEnd::kStalledReused);
    this->End("b", AttemptEnd::kStalledReused);
  }
  EXPECT_EQ(this->StateOf("a"), Ejection::State::kInUse);
  EXPECT_TRUE(this->ejection.NeedsFreshConnection(BackendServerName("a")));
  EXPECT_TRUE(this->End("a", AttemptEnd::kStalledFresh));
  EXPECT_EQ(this->StateOf("a"), Ejection::State::kEjected);
  this->End("b", AttemptEnd::kWholeAnswer);
  EXPECT_FALSE(this->End("b", AttemptEnd::kStalledFresh));
  EXPECT_EQ(this->StateOf("b"), Ejection::State::kInUse);
}

// Guards against a failing server that gets more than one request after each
// ejection, and against ejections that never grow or never end.
TEST_F(EjectionTest, Probe_FailsThenSucceeds_TimeGrowsThenServerReturns) {
  const BackendServerName name("a");
  for (int i = 0; i < 5; ++i) {
    this->End("a", AttemptEnd::kFailedAfterFirstByte);
  }
  for (const seconds time : {seconds(5), seconds(10), seconds(20)}) {
    this->now += time - milliseconds(1);
    EXPECT_EQ(this->StateOf("a"), Ejection::State::kEjected);
    this->now += milliseconds(1);
    EXPECT_EQ(this->StateOf("a"), Ejection::State::kProbeDue);
    this->ejection.OnProbeStarted(name);
    EXPECT_EQ(this->StateOf("a"), Ejection::State::kProbing);
    this->End("a", AttemptEnd::kStalledFresh);
  }
  this->now += seconds(40);
  this->ejection.OnProbeStarted(name);
  this->End("a", AttemptEnd::kWholeAnswer);
  EXPECT_EQ(this->StateOf("a"), Ejection::State::kInUse);
}

// Guards against a server that answers correctly but far too slowly, and
// against the ejection of servers that are all equally slow.
TEST_F(EjectionTest, Latency_FarOffMedian_EjectsOnlySlowServer) {
  for (int i = 0; i < 64; ++i) {
    for (const char* name : {"a", "b", "c", "d"}) {
      this->End(name, AttemptEnd::kWholeAnswer, milliseconds(200));
    }
    this->End("slow", AttemptEnd::kWholeAnswer, milliseconds(2'000));
  }
  EXPECT_EQ(this->StateOf("slow"), Ejection::State::kEjected);
  EXPECT_EQ(this->ejection.EjectedIn(PoolName("p")), 1U);
}

}  // namespace
}  // namespace mimosastage
