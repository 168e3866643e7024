#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "mimosastage/http/http_server.h"
#include "mimosastage/operators/operator_api.h"
#include "mimosastage/state/replicated_state.h"

namespace mimosastage {
namespace {

constexpr const char* kOperatorKey = "operator-key-0123456789";

/// Serves a daemon's operator port from its own in-process state.
class FakeDaemon {
 public:
  FakeDaemon()
      : api({kOperatorKey, "platform"}, this->MakeHooks()),
        server({}, {[this](HttpRequest&& request) {
                      this->Handle(std::move(request));
                    },
                    [](std::uint64_t) {}, [] {}}) {
    this->port = *this->server.Start();
  }
  ~FakeDaemon() { this->server.Stop(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  /// Calls `use` with the state while no request is being handled.
  template <class Use>
  auto WithState(Use use) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return use(this->state);
  }

  /// Number of next changes that are applied but answered with an unknown
  /// outcome.
  std::atomic<int> answers_to_lose{0};
  /// Number of next changes that are refused.
  std::atomic<int> changes_to_refuse{0};
  /// If set, another operator changes a table once, right after the tool has
  /// read the last one.
  std::atomic<bool> concurrent_change{false};

 private:
  OperatorHooks MakeHooks() {
    OperatorHooks hooks;
    hooks.propose = [this](const Command& command, const auto& done) {
      done(this->Propose(command));
    };
    hooks.applied_state = [this] {
      return std::make_shared<const AppliedState>(
          AppliedState{this->state.Tables(), this->state.Keys().Keys()});
    };
    hooks.status = [] {
      DaemonStatus status;
      status.daemon = "entry-1";
      return status;
    };
    return hooks;
  }

  ProposalResult Propose(const Command& command) {
    if (this->changes_to_refuse-- > 0) {
      return {ProposalResult::Kind::kNotAccepted, {}, "no leader is known"};
    }
    ProposalResult result{ProposalResult::Kind::kCommitted,
                          this->state.Apply(this->state.Applied() + 1, command),
                          "the leader changed"};
    if (this->answers_to_lose-- > 0) {
      result.kind = ProposalResult::Kind::kUnknown;
    }
    return result;
  }

  void Handle(HttpRequest&& request) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::uint64_t id = request.id;
    const bool is_last_table_read =
        request.target == "/v1/tables/policy" && request.method == "GET";
    this->api.Handle(std::move(request), [this, id](HttpAnswer&& answer) {
      this->server.Answer(id, std::move(answer));
    });
    if (is_last_table_read && this->concurrent_change.exchange(false)) {
      this->Propose(TableChange{
          "other", TableKind::kTeams, 0, {Team{TeamName("other"), 1, 1}}, {}});
    }
  }

  std::mutex mutex;
  ReplicatedState state;
  OperatorApi api;
  HttpServer server;
  std::uint16_t port = 0;
};

/// Accepts connections, reads a request and closes without answering.
class SilentDaemon {
 public:
  SilentDaemon() {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* socket_address = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->listener, socket_address, size), 0);
    listen(this->listener, 8);
    getsockname(this->listener, socket_address, &size);
    this->address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    this->thread = std::thread([this] { this->Run(); });
  }
  ~SilentDaemon() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  std::string address;

 private:
  void Run() {
    for (;;) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      std::array<char, 4096> buffer{};
      [[maybe_unused]] const auto received =
          recv(connection, buffer.data(), buffer.size(), 0);
      close(connection);
    }
  }

  int listener = -1;
  std::thread thread;
};

class CtlTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = testing::TempDir() + "ctl-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    std::ofstream(this->folder / "key") << kOperatorKey << "\n";
  }
  void TearDown() override { std::filesystem::remove_all(this->folder); }

  std::string Write(const std::string& name, const std::string& text) {
    std::ofstream(this->folder / name) << text;
    return this->folder / name;
  }

  /// Runs mimosastagectl, stores stdout and stderr in `output` and returns the
  /// exit code.
  int Run(const std::string& arguments, const std::string& servers) {
    const std::string command =
        std::string(MIMOSASTAGE_BIN_DIR) +
        "/mimosastagectl --server=" + servers +
        " --operator_key_file=" + (this->folder / "key").string() + " " +
        arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    this->output.clear();
    std::array<char, 4096> buffer{};
    while (const std::size_t received =
               fread(buffer.data(), 1, buffer.size(), pipe)) {
      this->output.append(buffer.data(), received);
    }
    EXPECT_EQ(this->output.find(kOperatorKey), std::string::npos);
    return WEXITSTATUS(pclose(pipe));
  }
  int Run(const std::string& arguments) {
    return this->Run(arguments, this->daemon.Address());
  }

  std::string Example() const {
    return std::string(MIMOSASTAGE_SOURCE_DIR) +
           "/examples/vergara/declaration.json";
  }

  FakeDaemon daemon;
  std::filesystem::path folder;
  std::string output;
};

// A difference must show in the exit code and output of diff, and apply must
// remove it.
TEST_F(CtlTest, Apply_Example_DiffReportsDifferenceOnlyBefore) {
  EXPECT_EQ(this->Run("diff -f " + this->Example()), 1) << this->output;
  EXPECT_NE(this->output.find("+ routes/sheets"), std::string::npos);
  EXPECT_EQ(this->Run("apply -f " + this->Example()), 0) << this->output;
  EXPECT_EQ(this->Run("diff -f " + this->Example()), 0) << this->output;
  EXPECT_EQ(this->Run("get pools"), 0);
  EXPECT_NE(this->output.find("front-desk"), std::string::npos);
  EXPECT_EQ(this->Run("status --output=json"), 0);
  EXPECT_NE(this->output.find("\"routes\": 1"), std::string::npos);
}

// A change whose answers are lost must not be applied twice when it is sent
// again, and an unreachable daemon must not end the command.
TEST_F(CtlTest, Apply_LostAnswersAndUnreachableDaemon_AppliesOnce) {
  const std::string file = this->Write(
      "teams.json",
      R"({"teams": [{"name": "t", "share": 1, "upper_limit": 5}]})");
  this->daemon.answers_to_lose = 2;
  this->daemon.changes_to_refuse = 1;
  EXPECT_EQ(
      this->Run("apply -f " + file, "127.0.0.1:1," + this->daemon.Address()), 0)
      << this->output;
  EXPECT_EQ(this->daemon.WithState([](const ReplicatedState& state) {
    return state.Tables().VersionOf(TableKind::kTeams);
  }),
            1U);
  // A run with the change id of an earlier run but other content must not be
  // answered with the earlier outcome.
  for (const char* share : {"3", "2"}) {
    const std::string text = R"({"teams": [{"name": "t", "share": )" +
                             std::string(share) + R"(, "upper_limit": 5}]})";
    const std::string next = this->Write("next.json", text);
    EXPECT_EQ(this->Run("apply --change_id=x -f " + next), 0);
  }
  EXPECT_EQ(this->daemon.WithState([](const ReplicatedState& state) {
    return state.Tables().FindTeam("t")->share;
  }),
            2U);
}

// Scripts depend on the exit code of each kind of failure.
TEST_F(CtlTest, Run_EachFailure_HasItsExitCode) {
  const std::string good = this->Write(
      "good.json",
      R"({"teams": [{"name": "t", "share": 1, "upper_limit": 5}]})");
  const std::string bad = this->Write("bad.json", R"({"team": []})");
  const std::string invalid_reference = this->Write(
      "broken.json", R"({"routes": [{"name": "r", "pool": "absent"}]})");
  const SilentDaemon silent;
  const std::string short_timeout = "--timeout=1s ";
  EXPECT_EQ(this->Run("apply -f " + bad), 2);
  EXPECT_NE(this->output.find("unknown field"), std::string::npos);
  EXPECT_EQ(this->Run("apply -f " + invalid_reference), 2);
  EXPECT_EQ(this->Run("apply -f absent.json"), 2);
  EXPECT_EQ(this->Run("nothing"), 2);
  EXPECT_EQ(this->Run("--nothing status"), 2);
  EXPECT_EQ(this->Run("get rows"), 2);
  EXPECT_EQ(this->Run(short_timeout + "status", "127.0.0.1:1"), 4);
  EXPECT_EQ(this->Run(short_timeout + "status", silent.address), 4);
  EXPECT_EQ(this->Run(short_timeout + "keys revoke k", silent.address), 5);
  EXPECT_EQ(this->Run(short_timeout + "keys revoke k", "127.0.0.1:1"), 4);
  this->daemon.changes_to_refuse = 1'000'000;
  EXPECT_EQ(this->Run(short_timeout + "apply -f " + good), 4);
  this->daemon.changes_to_refuse = 0;
  this->daemon.concurrent_change = true;
  EXPECT_EQ(this->Run("apply -f " + good), 3) << this->output;
  EXPECT_NE(this->output.find("version_conflict"), std::string::npos);
  std::ofstream(this->folder / "key") << "another-key-0123456789\n";
  EXPECT_EQ(this->Run("status"), 2);
}

// The printed key must authenticate its team, also after a lost answer, until
// it is revoked.
TEST_F(CtlTest, Keys_GrantAndRevoke_PrintedKeyWorksUntilRevoked) {
  ASSERT_EQ(this->Run("apply -f " + this->Example()), 0);
  this->daemon.answers_to_lose = 1;
  ASSERT_EQ(this->Run("keys grant --team=duero --client=web --id=web-1"), 0)
      << this->output;
  const std::string secret = this->output.substr(this->output.find("msk_"), 68);
  const auto team = [&] {
    return this->daemon.WithState([&](const ReplicatedState& state) {
      const Key* key = state.Keys().FindBySecret(secret);
      return key == nullptr ? "" : key->team.str();
    });
  };
  EXPECT_EQ(team(), "duero") << this->output;
  EXPECT_EQ(this->Run("get keys"), 0);
  EXPECT_EQ(this->output.find(secret), std::string::npos);
  EXPECT_EQ(this->Run("keys revoke web-1"), 0);
  EXPECT_EQ(team(), "");
  EXPECT_EQ(this->Run("keys revoke web-1"), 2);
  EXPECT_EQ(this->Run("keys grant --team=nobody --client=web"), 2);
}

// A declaration can be checked before it is sent: without a daemon, against a
// file and against a daemon, with an exit code for each result.
TEST_F(CtlTest, Check_FileOrDaemon_ReportsErrorsAndDifferences) {
  EXPECT_EQ(this->Run("check " + this->Example(), "127.0.0.1:1"), 0)
      << this->output;
  EXPECT_EQ(this->output, "");
  const std::string broken = this->Write("broken.json", R"({
    "routes": [{"name": "r", "pool": "absent"}],
    "pools": [{"name": "p", "availability_budget": 0, "instances": ["i"]},
              {"name": "q", "availability_budget": 2, "instances": ["i"]}]})");
  EXPECT_EQ(this->Run("check " + broken), 2);
  for (const char* kind :
       {"error unknown_pool:", "error budget_too_large:",
        "error instance_in_two_pools:", "warning budget_forbids_upkeep:",
        "warning pool_without_route:"}) {
    EXPECT_NE(this->output.find(kind), std::string::npos) << this->output;
  }
  const std::string malformed = this->Write(
      "malformed.json", R"({"team": [], "pools": [{"name": "p"}]})");
  EXPECT_EQ(this->Run("check " + malformed + " --output=json"), 2);
  EXPECT_NE(this->output.find("unknown field"), std::string::npos);
  EXPECT_NE(this->output.find("availability_budget"), std::string::npos);
  EXPECT_EQ(this->Run("check absent.json"), 2);
  EXPECT_EQ(this->Run("check " + this->Example() + " --against=absent.json"),
            2);
  EXPECT_EQ(
      this->Run("check " + this->Example() + " --against=" + this->Example()),
      0)
      << this->output;

  const std::string server = " --against=" + this->daemon.Address();
  EXPECT_EQ(this->Run("check " + this->Example() + server, "127.0.0.1:1"), 1);
  EXPECT_NE(this->output.find("+ routes/sheets"), std::string::npos);
  ASSERT_EQ(this->Run("apply -f " + this->Example()), 0);
  EXPECT_EQ(this->Run("check " + this->Example() + server), 0) << this->output;
  ASSERT_EQ(this->Run("keys grant --team=duero --client=web --id=web-1"), 0);
  const std::string teams = this->Write(
      "teams.json",
      R"({"teams": [{"name": "t", "share": 1, "upper_limit": 5}]})");
  EXPECT_EQ(this->Run("check " + teams + server + " --output=json"), 2);
  EXPECT_NE(this->output.find("\"team_in_use\""), std::string::npos);
  EXPECT_NE(this->output.find("- teams/duero"), std::string::npos);
  // The check changes nothing.
  EXPECT_EQ(this->Run("diff -f " + this->Example()), 0) << this->output;
  EXPECT_EQ(this->Run("--timeout=1s check " + teams + " --against=127.0.0.1:1"),
            4);
}

}  // namespace
}  // namespace mimosastage
