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

/// glog sink that writes each message as one line of JSON.
class JsonLogSink : public google::LogSink {
 public:
  JsonLogSink(std::string daemon, std::vector<std::string> secrets,
              JsonLogging::Write write);

  using google::LogSink::send;
  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            size_t message_len) override;

  /// The event that this thread is logging, or null for a line that was logged
  /// without an event.
  static const LogEvent*& CurrentEvent();

 private:
  static nlohmann::json FieldsToJson(const LogEvent& event);
  std::string Redact(std::string line) const;

  std::string daemon;
  std::vector<std::string> secrets;
  JsonLogging::Write write;
  std::mutex mutex;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TELEMETRY_INTERNAL_JSON_LOG_SINK_H_
