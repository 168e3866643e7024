// One follower is frozen, and the other is killed while the operator's changes
// are on their way through it, and starts again. The operator then sends a
// further change there. If that is acknowledged, it has to be kept.
#include "rig.hpp"

using namespace rig;

namespace {

std::string Change(int version, int count) {
  std::vector<json> routes;
  for (int i = 0; i < count; ++i) {
    routes.push_back(Route("r-" + std::to_string(i), "a.example",
                           "/p" + std::to_string(i) + "/", "grounds"));
  }
  return Configuration(version, routes, {Service("grounds")}).dump();
}

bool Listens(const std::string& endpoint) {
  const auto [ip, port] = Split(endpoint);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(ip, port);
  const bool open = connect(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(fd);
  return open;
}

}  // namespace

int main(int, char** argv) {
  constexpr int kAttempts = 15;
  // When the change is sent after the restart; the time that the group needs
  // to work again varies.
  constexpr int kOrderAfterMs[kAttempts] = {
      150, 130, 165, 140, 175, 120, 155, 145, 110, 160, 135, 170, 125, 150, 140};
  // While the daemon reads the changes, which takes some 10 ms each.
  constexpr int kKillAfterMs[] = {20, 35, 27};
  constexpr int kRestartAfterMs = 60;
  Record record(argv[1]);
  Deployment deployment(record);
  Cloud cloud(deployment, record, {});
  deployment.StartAll();
  if (deployment.Operate("PUT", "/-/configuration", Change(1, 20)).status !=
      200) {
    return 2;
  }
  cloud.Add("m-1", "grounds", 41, "r1-1");
  if (!deployment.WaitReady()) return 2;
  Sleep(4'000);
  const auto control_plane = deployment.ControlPlane();
  std::mutex mutex;
  int newest_acknowledged = 1;
  std::vector<std::string> unclear;
  const auto send = [&](int version, const std::string& change,
                        const std::string& to) {
    const Response answer = Call(to, "PUT", "/-/configuration", change, 1'000);
    record.Line("operator: version " + std::to_string(version) + " to " + to +
                " -> " + std::to_string(answer.status));
    const std::lock_guard lock(mutex);
    if (answer.status == 200) {
      newest_acknowledged = std::max(newest_acknowledged, version);
    } else {
      unclear.push_back(change);
    }
  };
  int killed = -1;
  int calls = 0;  // that the process to be killed has had
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const std::string leader =
        cloud.machines.at("m-1").worker->HeartbeatAddress();
    std::vector<int> followers;
    for (int i = 0; i < 3; ++i) {
      if (control_plane[static_cast<std::size_t>(i)] != leader) {
        followers.push_back(i);
      }
    }
    if (followers.size() != 2) {
      Sleep(2'000);
      continue;
    }
    if (killed == -1) {
      // The first daemon has had calls at the start.
      killed = followers[1];
    } else if (control_plane[static_cast<std::size_t>(killed)] == leader) {
      return 2;
    }
    const int frozen = followers[0] == killed ? followers[1] : followers[0];
    const std::string frozen_name = "voter-" + std::to_string(frozen);
    const std::string killed_name = "voter-" + std::to_string(killed);
    const std::string via = control_plane[static_cast<std::size_t>(killed)];
    record.Line("the leader is at " + leader + ", the orders go to " + via);
    const int base = 100 * (attempt + 1);
    std::vector<std::string> large;
    for (int i = 0; i < 8; ++i) large.push_back(Change(base + i, 1'000));
    const std::string last = Change(base + 20, 20);

    if (Trouble()) deployment.Signal(frozen_name, SIGSTOP);
    // Up to eight orders are in progress at once.
    std::vector<std::thread> orders;
    for (int i = 0; i < 8; ++i) {
      orders.emplace_back([&, i] {
        send(base + i, large[static_cast<std::size_t>(i)], via);
      });
    }
    if (Trouble()) {
      Sleep(kKillAfterMs[attempt % 3]);
      deployment.Signal(killed_name, SIGKILL);
      deployment.Reap(killed_name);
      Sleep(kRestartAfterMs);
      deployment.StartVoter(killed, false);
    }
    for (auto& order : orders) order.join();
    orders.clear();
    while (!Listens(via)) Sleep(1);
    Sleep(kOrderAfterMs[attempt] - 8);
    // Reads by the operator, and then the change.
    for (int i = 0; i < calls; ++i) {
      orders.emplace_back(
          [&] { Call(via, "GET", "/-/configuration", "", 1'000); });
    }
    Sleep(8);
    send(base + 20, last, via);
    for (auto& order : orders) order.join();
    ++calls;
    Sleep(500);
    if (Trouble()) deployment.Signal(frozen_name, SIGCONT);
    // What got no clear answer is sent again, to another daemon.
    for (int tries = 0; tries < 10 && !unclear.empty(); ++tries) {
      const std::vector<std::string> again = std::exchange(unclear, {});
      for (const std::string& change : again) {
        send(json::parse(change).at("version"), change, leader);
      }
      Sleep(200);
    }
    // contact_ms after the last disruption, and config_apply_ms.
    Sleep(3'000 + 2'000);
    for (const std::string& at : {leader, control_plane[static_cast<std::size_t>(
                                              frozen)]}) {
      const Response answer = Call(at, "GET", "/-/configuration", "", 3'000);
      const int version = answer.status == 200 && answer.body.is_object()
                              ? answer.body.value("version", 0)
                              : 0;
      record.Line("read at " + at + " -> " + std::to_string(answer.status) +
                  ", version " + std::to_string(version) +
                  "; newest acknowledged version " +
                  std::to_string(newest_acknowledged));
      if (answer.status == 200 && version < newest_acknowledged) {
        record.Line("an acknowledged change is lost");
        return 1;
      }
    }
    if (!deployment.Ended().empty()) return 2;
  }
  return 0;
}
