#include <glog/logging.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "mimosastage/state/key_secret.h"
#include "mimosastage/telemetry/log.h"
#include "mimosastage/telemetry/metrics.h"

namespace mimosastage {
namespace {

constexpr const char* kOperatorKey = "operator-key-0123456789";

class LogTest : public testing::Test {
 protected:
  std::string lines;
  JsonLogging logging{"telemetry_test",
                      "entry-1",
                      {kOperatorKey, ""},
                      [this](std::string_view line) { this->lines += line; }};

  std::vector<nlohmann::json> Parsed() const {
    std::vector<nlohmann::json> parsed;
    std::istringstream stream(this->lines);
    for (std::string line; std::getline(stream, line);) {
      parsed.push_back(nlohmann::json::parse(line));
    }
    return parsed;
  }
};

// Random bytes in texts, as callers may send them, must neither split a line
// nor make its JSON invalid.
TEST_F(LogTest, Send_RandomBytes_EachLineIsOneJsonObject) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 500; ++i) {
    std::string bytes(random() % 3000, '\0');
    for (char& c : bytes) {
      c = static_cast<char>(random());
    }
    LogEvent(LogSeverity::kWarning, events::kLinkClosed, "link is closed")
        .With("peer", bytes)
        .With("frames", random())
        .With("waited_ms", std::chrono::microseconds(1500))
        .With("replaced", true);
    LOG(INFO) << bytes.c_str();
  }
  const std::vector<nlohmann::json> parsed = this->Parsed();
  ASSERT_EQ(parsed.size(), 1000U);
  for (const nlohmann::json& line : parsed) {
    for (const char* name :
         {"time", "severity", "event", "message", "daemon", "fields"}) {
      EXPECT_TRUE(line.contains(name)) << name;
    }
  }
  EXPECT_EQ(parsed[0]["event"], "link_closed");
  EXPECT_EQ(parsed[0]["severity"], "warning");
  EXPECT_EQ(parsed[0]["fields"]["waited_ms"], 1.5);
  EXPECT_EQ(parsed[1]["event"], "log");
}

// A key that is passed to the log by mistake must not be written.
TEST_F(LogTest, Send_TextWithKeys_KeysAreRedacted) {
  const std::string caller_key = KeySecretFrom({1, 2, 3});
  LogEvent(LogSeverity::kInfo, events::kKeyGranted, "key " + caller_key)
      .With("twice", caller_key + " " + caller_key)
      .With("operator", std::string("x") + kOperatorKey);
  LOG(INFO) << "Authorization: Bearer " << kOperatorKey << " " << caller_key;
  EXPECT_EQ(this->lines.find(kOperatorKey), std::string::npos);
  EXPECT_EQ(this->lines.find(caller_key.substr(4)), std::string::npos);
  EXPECT_EQ(this->Parsed().size(), 2U);
}

// Lines of concurrent threads must not interleave, nor carry the event of
// another thread.
TEST_F(LogTest, Send_FromManyThreads_LinesDoNotInterleave) {
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([t] {
      for (int i = 0; i < 200; ++i) {
        LogEvent(LogSeverity::kInfo, events::kLinkOpened, std::to_string(t))
            .With("thread", t);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::vector<nlohmann::json> parsed = this->Parsed();
  EXPECT_EQ(parsed.size(), 800U);
  for (const nlohmann::json& line : parsed) {
    EXPECT_EQ(line["message"],
              std::to_string(line["fields"]["thread"].get<int>()));
  }
}

class MetricsTest : public testing::Test {
 protected:
  Metrics metrics;
};

// The text must follow the Prometheus format and include every sample, also
// those beyond the last bucket.
TEST_F(MetricsTest, PrometheusText_AllKinds_HasSeriesInFormat) {
  this->metrics.Add(metrics::kRefusals, "queue \"full\"\n", 2);
  this->metrics.Add(metrics::kLeaseLapses);
  this->metrics.Set(metrics::kReady, 1);
  for (const int ms : {0, 1, 4, 4, 70'000}) {
    this->metrics.Observe(metrics::kWaitTime, std::chrono::milliseconds(ms),
                          "render");
  }
  const std::string text = this->metrics.PrometheusText();
  for (const char* line : {
           "# TYPE mimosastage_refusals_total counter\n",
           "mimosastage_refusals_total{reason=\"queue \\\"full\\\"\\n\"} 2\n",
           "\nmimosastage_lease_lapses_total 1\n",
           "\nmimosastage_ready 1\n",
           "mimosastage_wait_seconds_bucket{route=\"render\",le=\"0.002\"} 2\n",
           "mimosastage_wait_seconds_bucket{route=\"render\",le=\"0.005\"} 4\n",
           "mimosastage_wait_seconds_bucket{route=\"render\",le=\"+Inf\"} 5\n",
           "mimosastage_wait_seconds_count{route=\"render\"} 5\n",
           "mimosastage_wait_seconds_sum{route=\"render\"} 70.009\n",
       }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

// Memory must not grow with the number of label values, which callers can
// choose, and concurrent increments must not be lost.
TEST_F(MetricsTest, Add_ManyValuesFromManyThreads_BoundedAndExact) {
  constexpr std::uint64_t kSamples = 6'000;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([this] {
      for (std::uint64_t i = 0; i < kSamples; ++i) {
        this->metrics.Add(metrics::kDrops, std::to_string(i));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::uint64_t total = this->metrics.Count(metrics::kDrops, "other");
  std::size_t series = 1;
  for (std::uint64_t i = 0; i < kSamples; ++i) {
    const auto count = this->metrics.Count(metrics::kDrops, std::to_string(i));
    total += count;
    series += count > 0 ? 1 : 0;
  }
  EXPECT_EQ(total, 4 * kSamples);
  EXPECT_EQ(series, Metrics::kMaxSeries);
  EXPECT_EQ(this->metrics.Count(metrics::kSeriesMerged, metrics::kDrops.name),
            this->metrics.Count(metrics::kDrops, "other"));
}

}  // namespace
}  // namespace mimosastage
