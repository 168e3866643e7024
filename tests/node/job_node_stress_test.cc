#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/jobs/carried_messages.h"
#include "mimosastage/node/job_node.h"
#include "mimosastage/replication/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDefaultSeeds = 300;
constexpr int kStepsPerSeed = 1'500;
/// Orders that may still be answered, or answered again.
constexpr std::size_t kMaxRemembered = 200;
constexpr std::size_t kLargestEntry = 8'000;

int NumberOfSeeds() {
  const char* const seeds = std::getenv("MIMOSASTAGE_SCHEDULES");
  return seeds == nullptr ? kDefaultSeeds : std::atoi(seeds);
}

/// The only voter of a group. Its terms end because the disk fails or the log
/// refuses an entry, at any moment, while calls, orders and requests are open.
class JobNodeStressTest : public ::testing::Test {
 protected:
  JobNodeStressTest() {
    this->config.name = "core-1";
    this->config.self = DaemonId{1};
    this->config.own_member = Member{DaemonId{1}, "10.0.0.1", 7000};
    this->config.is_voter = true;
    this->config.founding_membership =
        FoundingMembership({this->config.own_member}, 0);
    this->config.limits.pending_entries = 8;
    this->config.limits.command_bytes = kLargestEntry;
    this->hooks.send = [](DaemonId, const std::string&) {};
    this->hooks.persist = [this](const DurableWrite& write) {
      this->written_ticket = write.ticket;
    };
    this->hooks.on_members = [](const Membership&, bool) {};
    this->hooks.answer = [this](std::uint64_t request, jobs::CallKind,
                                const jobs::Answer&) {
      EXPECT_EQ(this->open_calls.erase(request), 1U) << "call " << request;
    };
    this->hooks.send_order = [this](const jobs::WorkerOrder& order) {
      this->orders.push_back(order.number);
      if (this->orders.size() > kMaxRemembered) {
        this->orders.pop_front();
      }
    };
    this->hooks.send_instance_request =
        [this](const jobs::InstanceRequest& sent) {
          this->instance_request = sent.number;
        };
    this->hooks.ask_advice = [](const jobs::AdviceRequest&) {};
    this->hooks.wall_time = [this] {
      return milliseconds(1'700'000'000'000) +
             std::chrono::duration_cast<milliseconds>(
                 this->now.time_since_epoch());
    };
    this->hooks.report = [this](const char* event, const std::string&,
                                const std::string&) { ++this->events[event]; };
    this->hooks.count_refusal = [](const char*) {};
    this->hooks.count_retry = [](const char*) {};
    this->hooks.count_drop = [](const char*) {};
  }

  std::uint64_t Draw(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, limit - 1)(this->random);
  }

  /// Starts to vote with an empty log, as after the loss of all disks.
  void StartVoting() {
    DurableImage image;
    image.intact = true;
    image.incarnation = AddStart(image.starts, 7);
    this->node->Start(std::move(image), this->now);
    this->votes = true;
  }

  void Call(jobs::CallKind kind) {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(kind);
    const std::string job = "job-" + std::to_string(this->Draw(20));
    call.host = "host";
    call.path = "/q/" + job;
    if (kind == jobs::CallKind::kConfigure) {
      call.configuration = MakeConfiguration(++this->last_version);
      call.configuration->source = std::string(this->Draw(kLargestEntry), 'x');
    } else if (kind == jobs::CallKind::kAnnounceWorker) {
      call.worker = std::make_unique<jobs::Worker>();
      const std::uint64_t number = this->Draw(4);
      call.worker->id = "worker-" + std::to_string(number);
      call.worker->availability_zone = "zone-" + std::to_string(number % 3);
      call.worker->address = call.worker->id + ":80";
      call.worker->born_ms = 1 + static_cast<std::int64_t>(this->Draw(3));
      call.worker->pool = "pool";
      call.worker->capacity = std::make_unique<jobs::Amount>();
      call.worker->capacity->millicores = 4'000;
      call.worker->capacity->memory_mb = 4'000;
    } else if (kind == jobs::CallKind::kSubmit) {
      call.job = std::make_unique<jobs::JobRequest>();
      call.job->steps.push_back(std::make_unique<jobs::Step>());
      jobs::Step& step = *call.job->steps.back();
      step.tasks = 1 + static_cast<std::uint32_t>(this->Draw(3));
      step.need = std::make_unique<jobs::Amount>();
      step.need->millicores = 500;
      step.estimate_ms = 1'000;
    } else if (kind == jobs::CallKind::kStartWave ||
               kind == jobs::CallKind::kWaveState) {
      call.wave = std::make_unique<jobs::Wave>();
      call.wave->number = this->Draw(3);
    } else if (kind == jobs::CallKind::kEvacuateZone ||
               kind == jobs::CallKind::kWithdrawEvacuation) {
      call.zone = "zone-" + std::to_string(this->Draw(2));
    }
    this->open_calls[++this->last_call] = kind;
    this->node->OnCall(this->last_call, std::move(call), seconds(1), this->now);
  }

  static std::unique_ptr<jobs::Configuration> MakeConfiguration(
      std::uint64_t version) {
    auto next = std::make_unique<jobs::Configuration>();
    next->version = version;
    next->pools.push_back(std::make_unique<jobs::Pool>());
    next->pools.back()->name = "pool";
    next->queues.push_back(std::make_unique<jobs::Queue>());
    jobs::Queue& queue = *next->queues.back();
    queue.name = "queue";
    queue.host = "host";
    queue.path_prefix = "/q/";
    queue.pool = "pool";
    queue.max_attempts = 2;
    queue.stretch = 2;
    queue.timeout_ms = 3'000;
    queue.open = true;
    return next;
  }

  void AnswerOrder() {
    if (this->orders.empty()) {
      return;
    }
    jobs::WorkerReply reply;
    const std::size_t latest = std::min<std::size_t>(
        this->orders.size(), this->Draw(5) == 0 ? kMaxRemembered : 8);
    reply.number = this->orders[this->orders.size() - 1 - this->Draw(latest)];
    reply.result =
        this->Draw(10) != 0
            ? jobs::OrderResult::kOk
            : static_cast<jobs::OrderResult>(this->Draw(
                  static_cast<std::uint64_t>(jobs::OrderResult::kUnanswered) +
                  1));
    reply.clock = milliseconds(1'000'000);
    reply.read_at = this->now;
    reply.started_at = this->now;
    this->node->OnWorkerReply(reply, this->now);
  }

  /// A message of a daemon that may lead, carry orders or know nothing.
  void Receive() {
    const DaemonId from{static_cast<std::uint16_t>(1 + this->Draw(4))};
    std::string bytes;
    switch (this->Draw(6)) {
      case 0: {
        jobs::Leadership notice;
        notice.leader = static_cast<std::uint16_t>(from);
        notice.view = this->Draw(8);
        notice.serving = true;
        bytes = jobs::EncodeLeadership(notice);
        break;
      }
      case 1: {
        jobs::OrderBatch batch;
        batch.orders.resize(1 + this->Draw(3));
        batch.orders.front().fence = this->Draw(8);
        bytes = jobs::EncodeOrderBatch(batch);
        break;
      }
      case 2: {
        std::vector<jobs::CarriedReply> replies(this->Draw(3));
        for (jobs::CarriedReply& carried : replies) {
          carried.reply.number = this->orders.empty() ? 1 : this->orders.back();
        }
        bytes = jobs::EncodeReplyBatch(replies);
        break;
      }
      case 3:
        bytes = jobs::EncodeCarrierNotice(
            jobs::CarrierNotice{this->Draw(8), this->Draw(3), this->now});
        break;
      case 4: {
        jobs::Answer answer;
        answer.number = this->Draw(this->last_call + 1);
        answer.outcome = static_cast<std::uint8_t>(this->Draw(9));
        bytes = jobs::EncodeAnswer(answer);
        break;
      }
      default:
        bytes = std::string(this->Draw(40), static_cast<char>(this->Draw(256)));
    }
    this->node->OnMessage(from, EncodeMessage(JobsBytes{bytes}), this->now);
  }

  void Step() {
    switch (this->Draw(28)) {
      case 0:
        if (this->votes && this->Draw(10) == 0) {
          this->node->StopVoting("the disk failed");
          this->votes = false;
        } else if (!this->votes) {
          this->StartVoting();
        }
        break;
      case 1:
        this->disk_stalls = this->Draw(4) == 0;
        break;
      case 2:
        this->node->OnLinkState(
            DaemonId{static_cast<std::uint16_t>(2 + this->Draw(3))},
            this->Draw(2) == 0, this->now);
        break;
      case 3:
        this->Receive();
        break;
      case 4:
        if (const std::uint64_t call = 1 + this->Draw(this->last_call + 1);
            this->open_calls.erase(call) > 0) {
          this->node->OnDisconnect(call);
        }
        break;
      case 5: {
        jobs::InstanceReply reply;
        reply.number = this->instance_request;
        reply.result = jobs::InstanceReply::Result::kOk;
        this->node->OnInstanceReply(reply, this->now);
        break;
      }
      case 6:
      case 7:
      case 8:
        this->Call(static_cast<jobs::CallKind>(this->Draw(
            static_cast<std::uint64_t>(jobs::CallKind::kReadEvacuations) + 1)));
        break;
      case 9:
      case 10:
      case 11:
      case 12:
      case 13:
        this->AnswerOrder();
        break;
      default:
        this->now +=
            milliseconds(1 + this->Draw(this->Draw(20) == 0 ? 400 : 6));
        if (this->votes && !this->disk_stalls) {
          this->node->OnStorageSynced(this->written_ticket, this->now);
        }
        this->node->Advance(this->now);
    }
  }

  void Run(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->random.seed(seed);
    this->open_calls.clear();
    this->orders.clear();
    this->disk_stalls = false;
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->StartVoting();
    for (int i = 0; i < kStepsPerSeed && !this->HasFailure(); ++i) {
      this->Step();
    }
    // All calls are answered by their deadline.
    for (int i = 0; i < 100; ++i) {
      this->now += milliseconds(20);
      this->node->Advance(this->now);
    }
    EXPECT_TRUE(this->open_calls.empty());
  }

  JobNode::Config config;
  JobNode::Hooks hooks;
  std::mt19937_64 random;
  TimePoint now{seconds(1'000)};
  std::unique_ptr<JobNode> node;
  bool votes = false;
  bool disk_stalls = false;
  std::uint64_t written_ticket = 0;
  std::uint64_t last_call = 0;
  std::uint64_t last_version = 0;
  std::uint64_t instance_request = 0;
  std::deque<std::uint64_t> orders;
  std::map<std::uint64_t, jobs::CallKind> open_calls;
  std::map<std::string, int> events;
};

// Guards against a daemon that uses what belonged to a term that has ended: an
// order, a call or an effect that was open then. Guards against calls without
// an answer, too.
TEST_F(JobNodeStressTest, TermsEndAtAnyMoment_EachCallHasOneAnswer) {
  for (int seed = 1; seed <= NumberOfSeeds() && !this->HasFailure(); ++seed) {
    this->Run(static_cast<std::uint64_t>(seed));
  }
  EXPECT_GT(this->events["term_began"], 2 * NumberOfSeeds());
  EXPECT_GT(this->events["job_accepted"], 5 * NumberOfSeeds());
}

}  // namespace
}  // namespace mimosastage
