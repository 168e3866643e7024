#ifndef MIMOSASTAGE_TELEMETRY_INTERNAL_JSON_LOG_SINK_H_
#define MIMOSASTAGE_TELEMETRY_INTERNAL_JSON_LOG_SINK_H_

#include <glog/logging.h>

#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/telemetry/log.h"

namespace mimosastage {

/// Receives glog's messages and writes JSON lines.
class JsonLogSink : public google::LogSink {
 public:
  JsonLogSink(std::string daemon, std::vector<std::string> secrets,
              JsonLogging::Write write);

  using google::LogSink::send;
  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            size_t message_len) override;

  /// The event that this thread is sending, or null for a plain line.
  static const LogEvent*& Current();

 private:
  static nlohmann::json Fields(const LogEvent& event);
  std::string Redact(std::string line) const;

  std::string daemon;
  std::vector<std::string> secrets;
  JsonLogging::Write write;
  std::mutex mutex;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TELEMETRY_INTERNAL_JSON_LOG_SINK_H_
