#include <gtest/gtest.h>

#include "tests/platform/support/wire_messages.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class OddNumbersTest : public ::testing::Test {
 protected:
  static std::string WithNumber(const json& message, const std::string& place,
                                const std::string& number) {
    return WithTextAt(message, json::json_pointer(place), number);
  }

  static jobs::Call DecodeCall(const HttpRequest& request, ListenerRole role) {
    DecodedRequest decoded = DecodeRequest(request, role);
    auto* call = std::get_if<IncomingCall>(&decoded);
    return call == nullptr ? jobs::Call() : std::move(call->call);
  }

  static std::unique_ptr<jobs::Worker> ReadHeartbeat(const std::string& body) {
    return std::move(DecodeCall(MakeRequest("PUT", "/-/instances/i-1", body),
                                ListenerRole::kControlPlane)
                         .worker);
  }

  static std::unique_ptr<jobs::JobRequest> ReadJob(const std::string& body) {
    return std::move(
        DecodeCall(MakeRequest("POST", "/p/1", body), ListenerRole::kClients)
            .job);
  }
};

// Guards against a worker with a start or a capacity that no worker has: the
// number became 9223372036854775807, which replaces every sound worker at the
// address and overflows sums.
TEST_F(OddNumbersTest, DecodeHeartbeat_NumberThatNoWorkerHas_IsRefused) {
  ASSERT_NE(ReadHeartbeat(Heartbeat().dump()), nullptr);
  for (const char* place :
       {"/born", "/sequence", "/capacity/cpu", "/capacity/memory_request_mb"}) {
    for (const char* number : {"1e300", "1e22", "9223372036854775807",
                               "18446744073709551615", "-1", "-1e300"}) {
      EXPECT_EQ(ReadHeartbeat(WithNumber(Heartbeat(), place, number)), nullptr)
          << place << " " << number;
    }
  }
  EXPECT_EQ(ReadHeartbeat(WithNumber(Heartbeat(), "/born", "1000.5")), nullptr);
  EXPECT_NE(ReadHeartbeat(WithNumber(Heartbeat(), "/born", "1e3")), nullptr);
}

// Guards against a job whose needs are another number than the client wrote: a
// negative need made room on a full worker, and -1 or 2^32 tasks on one worker
// became no limit.
TEST_F(OddNumbersTest, DecodeJob_NumberOutOfRange_JobIsMalformed) {
  ASSERT_NE(ReadJob(JobBody().dump()), nullptr);
  for (const char* place :
       {"/steps/0/cpu", "/steps/0/memory_request_mb", "/steps/0/count",
        "/steps/1/anti_affinity", "/steps/1/may_miss", "/steps/1/target_ms",
        "/steps/1/after/0", "/repetitions", "/first_run_ms", "/interval_ms"}) {
    for (const char* number :
         {"1e300", "9223372036854775807", "18446744073709551615", "-1"}) {
      EXPECT_EQ(ReadJob(WithNumber(JobBody(), place, number)), nullptr)
          << place << " " << number;
    }
  }
  EXPECT_EQ(ReadJob(WithNumber(JobBody(), "/steps/1/after/0", "4294967296")),
            nullptr);
  EXPECT_EQ(
      ReadJob(WithNumber(JobBody(), "/steps/1/anti_affinity", "4294967297")),
      nullptr);
}

// Guards against a job that is refused because of its rough estimate.
TEST_F(OddNumbersTest, DecodeJob_EstimateOutOfRange_IsLimited) {
  const auto high =
      ReadJob(WithNumber(JobBody(), "/steps/0/estimated_ms", "1e300"));
  const auto low =
      ReadJob(WithNumber(JobBody(), "/steps/0/estimated_ms", "-1e300"));
  ASSERT_TRUE(high != nullptr && low != nullptr);
  EXPECT_LE(high->steps[0]->estimate_ms,
            static_cast<std::uint64_t>(
                milliseconds(std::chrono::hours(24 * 366)).count()));
  EXPECT_EQ(low->steps[0]->estimate_ms, 0U);
}

// Guards against a configuration in force with other numbers than the operator
// sent.
TEST_F(OddNumbersTest, DecodeConfiguration_NumberOutOfRange_IsMalformed) {
  const auto read = [](const std::string& body) {
    return std::move(DecodeCall(MakeRequest("PUT", "/-/configuration", body),
                                ListenerRole::kControlPlane)
                         .configuration);
  };
  ASSERT_NE(read(ConfigurationBody().dump()), nullptr);
  for (const char* place :
       {"/version", "/routes/0/priority", "/routes/0/timeout_ms",
        "/routes/0/target_duration_ms", "/routes/0/max_attempts",
        "/routes/0/stretch", "/routes/0/recommendation/validity_ms",
        "/tenants/0/weight", "/tenants/0/upper_limit/cpu"}) {
    for (const char* number :
         {"1e300", "9223372036854775807", "18446744073709551615", "-1e300"}) {
      EXPECT_EQ(read(WithNumber(ConfigurationBody(), place, number)), nullptr)
          << place << " " << number;
    }
  }
}

// Guards against a wave that takes all its machines at once: a limit of -1
// became 4294967295.
TEST_F(OddNumbersTest, DecodeWave_NumberOutOfRange_IsMalformed) {
  const auto read = [](const std::string& body) {
    return std::move(DecodeCall(MakeRequest("POST", "/-/wave-start", body),
                                ListenerRole::kControlPlane)
                         .wave);
  };
  ASSERT_NE(read(WaveBody().dump()), nullptr);
  for (const char* place : {"/wave", "/duration_s", "/upper_limit"}) {
    for (const char* number :
         {"1e300", "9223372036854775807", "18446744073709551615", "-1"}) {
      EXPECT_EQ(read(WithNumber(WaveBody(), place, number)), nullptr)
          << place << " " << number;
    }
  }
}

// Guards against a row that names another run than the one it holds: run
// 4294967298 became run 2.
TEST_F(OddNumbersTest, DecodeReply_RunNumberOutOfRange_RowNamesNoRun) {
  for (const char* number :
       {"4294967298", "1e300", "-1", "0", "1.5", "18446744073709551615"}) {
    EXPECT_EQ(DecodeReply(MakeResult(200, WithNumber(HoldBody(), "/running/0/1",
                                                     number)))
                  .running.size(),
              1U)
        << number;
    EXPECT_EQ(
        DecodeReply(
            MakeResult(200, WithNumber(HoldBody(), "/ended_runs/0/2", number)))
            .ended.size(),
        1U)
        << number;
  }
}

// Guards against an acknowledgement of ends that were never read: the leader
// acknowledges all ends up to the highest number that it has read.
TEST_F(OddNumbersTest,
       DecodeReply_NumberOfEndThatNoWorkerReaches_RowIsLeftOut) {
  for (const char* number : {"1e300", "9223372036854775807", "1000000000000",
                             "18446744073709551615", "-1", "0", "58.5"}) {
    const jobs::WorkerReply reply = DecodeReply(
        MakeResult(200, WithNumber(HoldBody(), "/ended_runs/0/0", number)));
    ASSERT_EQ(reply.ended.size(), 1U) << number;
    EXPECT_EQ(reply.ended[0].number, 59U);
  }
}

// Guards against a run that counts as missing, and is started again elsewhere
// while it runs, because another value in its row can't be read.
TEST_F(OddNumbersTest, DecodeReply_OnlyShareOrLoadIsOdd_RunIsListed) {
  for (const char* place : {"/running/0/2", "/running/0/3", "/running/0/4"}) {
    for (const char* number : {"1e300", "-1", "null", "[]", "\"text\""}) {
      const jobs::WorkerReply reply =
          DecodeReply(MakeResult(200, WithNumber(HoldBody(), place, number)));
      ASSERT_EQ(reply.running.size(), 2U) << place << " " << number;
      EXPECT_EQ(reply.running[0].run, 2U);
      EXPECT_LE(reply.running[0].percent, 100U);
    }
  }
}

// Guards against an end of unknown outcome that counts as a lost run, although
// the worker lists the run as running.
TEST_F(OddNumbersTest, DecodeReply_UnknownOutcome_RowIsLeftOut) {
  for (const char* outcome : {"\"exploded\"", "7", "[]"}) {
    EXPECT_EQ(
        DecodeReply(
            MakeResult(200, WithNumber(HoldBody(), "/ended_runs/0/3", outcome)))
            .ended.size(),
        1U)
        << outcome;
  }
}

// Guards against a lease that is computed from a clock that no worker has, and
// against an answer that seems to come from a later incarnation.
TEST_F(OddNumbersTest, DecodeReply_ClockOrStartOutOfRange_IsUnknown) {
  for (const char* number : {"1e300", "9223372036854775807", "-1", "[]"}) {
    EXPECT_EQ(DecodeReply(
                  MakeResult(200, WithNumber(HoldBody(), "/clock_ms", number)))
                  .clock,
              std::nullopt)
        << number;
    EXPECT_EQ(
        DecodeReply(MakeResult(200, WithNumber(HoldBody(), "/born", number)))
            .born_ms,
        std::nullopt)
        << number;
  }
}

// Guards against a worker that is removed, and whose tasks are started again
// while they run, because an answer names a start that no worker has yet.
TEST_F(OddNumbersTest, DecodeReply_StartIsFarAheadOfTheClock_IsUnknown) {
  const auto read = [](milliseconds born) {
    return DecodeReply(
               MakeResult(200, WithNumber(HoldBody(), "/born",
                                          std::to_string(born.count()))))
        .born_ms;
  };
  EXPECT_EQ(read(kWallTime), kWallTime.count());
  EXPECT_EQ(read(milliseconds(253'402'214'400'000)), std::nullopt);
}

// Guards against tickets that are used after they have expired.
TEST_F(OddNumbersTest, DecodeAdvice_ValidityOutOfRange_IsNone) {
  for (const char* number : {"1e300", "9223372036854775807", "-1"}) {
    EXPECT_EQ(DecodeAdvice(MakeResult(200, WithNumber(AdviceBody(),
                                                      "/validity_ms", number)))
                  .validity,
              milliseconds(0))
        << number;
  }
}

// Guards against a deadline that becomes another one: the margin was subtracted
// from the least number, which overflows.
TEST_F(OddNumbersTest, DecodeClientRequest_OddDeadline_PatienceIsWithinLimits) {
  for (const char* deadline : {"-9223372036854775808", "9223372036854775807",
                               "99999999999999999999", "-1", "1e3", ""}) {
    HttpRequest request = MakeRequest("GET", "/p/1");
    request.headers.emplace_back("X-Deadline-Ms", deadline);
    const DecodedRequest decoded =
        DecodeRequest(request, ListenerRole::kClients);
    const milliseconds patience = std::get<IncomingCall>(decoded).patience;
    EXPECT_GE(patience, milliseconds(1)) << deadline;
    EXPECT_LE(patience, milliseconds(2'000)) << deadline;
  }
}

}  // namespace
}  // namespace mimosastage::platform
