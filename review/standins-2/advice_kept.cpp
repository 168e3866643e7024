// Two workers that the advisory service approves for a step are replaced one
// after the other. The service approves their successors as well, so the task
// has to go on there.
#include "rig.hpp"

using namespace rig;

int main(int, char** argv) {
  constexpr std::int64_t kValidityMs = 30'000;
  Record record(argv[1]);
  Deployment deployment(record);
  std::mutex mutex;
  int starts = 0;
  const auto on_start = [&](const Worker::Start&) {
    const std::lock_guard lock(mutex);
    ++starts;
  };
  // The policy: the workers of rack r1-2 may run the step.
  std::map<std::string, std::int64_t> tickets;  // and until when they are valid
  Server advice(Split(deployment.AdviceAddress()).first, 8344,
                [&](const Message& m) -> std::pair<int, json> {
                  const json body = json::parse(m.body, nullptr, false);
                  if (!body.is_object()) return {400, json::object()};
                  const json& workers = body.at("workers");
                  Sleep(5 + static_cast<std::int64_t>(workers.size()));
                  json rows = json::array();
                  const std::lock_guard lock(mutex);
                  for (const std::string id : workers) {
                    if (!id.starts_with("i-b")) continue;
                    const std::string ticket =
                        id + "-" + std::to_string(record.NowMs());
                    tickets[ticket] = record.NowMs() + kValidityMs;
                    rows.push_back({id, ticket});
                  }
                  record.Line("advice for " + body.value("step", "") + ", " +
                              std::to_string(workers.size()) +
                              " workers named -> " + rows.dump());
                  return {200,
                          {{"approved_workers", rows},
                           {"validity_ms", kValidityMs}}};
                });
  Cloud cloud(deployment, record, on_start);
  cloud.on_join = [&](Worker::Settings& settings) {
    settings.accepts_ticket = [&, id = settings.id](const std::string& ticket) {
      const std::lock_guard lock(mutex);
      const auto found = tickets.find(ticket);
      return found != tickets.end() && ticket.starts_with(id + "-") &&
             record.NowMs() < found->second;
    };
  };
  deployment.StartAll();
  json route = Route("watch", "a.example", "/watch/", "grounds");
  route["recommendation"] = {
      {"decision_ms", 5}, {"period_ms", 1}, {"validity_ms", kValidityMs}};
  if (deployment
          .Operate("PUT", "/-/configuration",
                   Configuration(1, {route}, {Service("grounds")}).dump())
          .status != 200) {
    return 2;
  }
  for (int i = 1; i <= 6; ++i) {
    cloud.Add("a-" + std::to_string(i), "grounds", 40 + i, "r1-1");
  }
  cloud.Add("b-1", "grounds", 51, "r1-2");
  cloud.Add("b-2", "grounds", 52, "r1-2");
  if (!deployment.WaitReady()) return 2;
  Sleep(3'000);
  const json lasting{{"specification", "last"},
                     {"steps",
                      {{{"count", 1},
                        {"cpu", 1'000},
                        {"memory_request_mb", 1'000},
                        {"estimated_ms", 500},
                        {"long_running", true}}}}};
  if (deployment.Submit("a.example", "/watch/b000000000000001", lasting)
          .status != 200) {
    return 2;
  }
  Sleep(2'000);
  if (Trouble()) {
    // One at a time: the new one starts first, and the old one drains.
    for (int i = 1; i <= 2; ++i) {
      cloud.Add("b-" + std::to_string(2 + i), "grounds", 52 + i, "r1-2");
      Sleep(1'500);
      Worker& old = *cloud.machines.at("b-" + std::to_string(i)).worker;
      old.Drain();
      for (int j = 0; j < 100 && !old.DrainAcknowledged(); ++j) Sleep(50);
      if (!old.DrainAcknowledged()) return 2;
      Sleep(2'500);
      old.Leave();
      {
        const std::lock_guard lock(cloud.mutex);
        cloud.machines.at("b-" + std::to_string(i)).state = "down";
      }
      Sleep(1'000);
    }
  }
  const auto running = [&] {
    std::size_t tasks = 0;
    const std::lock_guard lock(cloud.mutex);
    for (auto& [name, machine] : cloud.machines) {
      if (machine.state == "up") tasks += machine.worker->Running();
    }
    return tasks;
  };
  // A task that lasts may not wait for 3 s from 6 s after its last run.
  std::int64_t last = record.NowMs();
  std::int64_t longest = 0;
  const std::int64_t until = record.NowMs() + 30'000;
  std::int64_t next_line = 0;
  while (record.NowMs() < until) {
    if (running() > 0) last = record.NowMs();
    longest = std::max(longest, record.NowMs() - last);
    if (record.NowMs() >= next_line) {
      next_line = record.NowMs() + 3'000;
      record.Line("tasks at work: " + std::to_string(running()));
    }
    Sleep(50);
  }
  record.Line("the task wasn't at work for " + std::to_string(longest) +
              " ms; starts: " + std::to_string(starts));
  if (!deployment.Ended().empty()) return 2;
  return longest > 6'000 + 3'000 ? 1 : 0;
}
