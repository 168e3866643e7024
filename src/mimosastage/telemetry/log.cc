#include "mimosastage/telemetry/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "mimosastage/state/key_secret.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/internal/json_log_sink.h"

namespace mimosastage {
namespace {

constexpr std::size_t kMaxTextBytes = 2048;
constexpr std::size_t kMaxFields = 32;
constexpr std::string_view kRedacted = "[redacted]";

std::string Truncate(std::string_view text) {
  return std::string(text.substr(0, kMaxTextBytes));
}

google::LogSeverity GlogSeverity(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return google::GLOG_INFO;
    case LogSeverity::kWarning:
      return google::GLOG_WARNING;
    case LogSeverity::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

const char* SeverityName(google::LogSeverity severity) {
  switch (severity) {
    case google::GLOG_INFO:
      return "info";
    case google::GLOG_WARNING:
      return "warning";
    case google::GLOG_ERROR:
      return "error";
    default:
      return "fatal";
  }
}

std::string FormatTimestamp(const google::LogMessageTime& time) {
  const std::time_t seconds = time.timestamp();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(time.usec() / 1000) % 1000);
  return std::string(text.data(), length) + fraction.data();
}

bool IsKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

void RedactAll(std::string* text, std::string_view from) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + kRedacted.size())) {
    text->replace(at, from.size(), kRedacted);
  }
}

void RedactCallerKeys(std::string* text) {
  for (std::size_t at = text->find(kKeySecretPrefix); at != std::string::npos;
       at = text->find(kKeySecretPrefix, at + 1)) {
    const auto start = text->begin() + static_cast<std::ptrdiff_t>(at);
    const auto end = std::find_if_not(start, text->end(), IsKeyCharacter);
    text->replace(start, end, kRedacted);
  }
}

}  // namespace

LogEvent::LogEvent(LogSeverity severity, EventName event,
                   std::string_view message)
    : severity(severity), event(event), message(Truncate(message)) {}

LogEvent::~LogEvent() {
  JsonLogSink::CurrentEvent() = this;
  // glog calls the sink when the temporary LogMessage is destroyed, at the end
  // of this statement.
  google::LogMessage("", 0, GlogSeverity(this->severity)).stream()
      << this->message;
  JsonLogSink::CurrentEvent() = nullptr;
}

LogEvent& LogEvent::With(std::string_view name, std::string_view value) {
  return this->Add(name, Value(Truncate(value)));
}

LogEvent& LogEvent::Add(std::string_view name, Value value) {
  if (this->fields.size() < kMaxFields) {
    this->fields.emplace_back(name, std::move(value));
  }
  return *this;
}

JsonLogSink::JsonLogSink(std::string daemon, std::vector<std::string> secrets,
                         JsonLogging::Write write)
    : daemon(std::move(daemon)),
      secrets(std::move(secrets)),
      write(std::move(write)) {
  std::erase(this->secrets, "");
}

const LogEvent*& JsonLogSink::CurrentEvent() {
  thread_local const LogEvent* current = nullptr;
  return current;
}

nlohmann::json JsonLogSink::FieldsToJson(const LogEvent& event) {
  nlohmann::json fields = nlohmann::json::object();
  for (const auto& [name, value] : event.fields) {
    std::visit([&, &key = name](const auto& item) { fields[key] = item; },
               value);
  }
  return fields;
}

std::string JsonLogSink::Redact(std::string line) const {
  for (const std::string& secret : this->secrets) {
    RedactAll(&line, secret);
  }
  RedactCallerKeys(&line);
  return line;
}

void JsonLogSink::send(google::LogSeverity severity,
                       const char* /*full_filename*/, const char* base_filename,
                       int line, const google::LogMessageTime& time,
                       const char* message, size_t message_len) {
  if (severity == google::GLOG_FATAL) {
    const std::string reason = std::string(base_filename) + ":" +
                               std::to_string(line) + ": " +
                               std::string(message, message_len);
    if (LogAbort(reason)) {
      return;
    }
  }
  nlohmann::json object;
  object["time"] = FormatTimestamp(time);
  object["severity"] = SeverityName(severity);
  object["daemon"] = this->daemon;
  object["message"] = std::string(message, message_len);
  if (const LogEvent* event = CurrentEvent(); event != nullptr) {
    object["event"] = event->event.text;
    object["fields"] = FieldsToJson(*event);
  } else {
    object["event"] = events::kPlain.text;
    object["fields"] = {{"file", base_filename}, {"line", line}};
  }
  // Callers' input may not be UTF-8; replace such bytes instead of losing the
  // line.
  std::string text =
      object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  text = this->Redact(std::move(text)) + "\n";
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->write(text);
}

JsonLogging::JsonLogging(const std::string& program, std::string daemon,
                         std::vector<std::string> secrets, Write write)
    : sink(std::make_unique<JsonLogSink>(std::move(daemon), std::move(secrets),
                                         std::move(write))) {
  if (!google::IsGoogleLoggingInitialized()) {
    // glog keeps the pointer, so that the text must outlive this object.
    static const std::string program_name = program;
    google::InitGoogleLogging(program_name.c_str());
  }
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(this->sink.get());
}

JsonLogging::~JsonLogging() { google::RemoveLogSink(this->sink.get()); }

namespace {

void WriteAll(int descriptor, std::string_view line) {
  while (!line.empty()) {
    const ssize_t written = write(descriptor, line.data(), line.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;
    }
    line.remove_prefix(static_cast<std::size_t>(written));
  }
}

}  // namespace

void JsonLogging::WriteToStderr(std::string_view line) {
  WriteAll(STDERR_FILENO, line);
}

void JsonLogging::WriteToStdout(std::string_view line) {
  WriteAll(STDOUT_FILENO, line);
}

}  // namespace mimosastage
