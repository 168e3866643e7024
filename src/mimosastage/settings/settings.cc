#include "mimosastage/settings/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

namespace mimosastage {
namespace {

using Presence = JsonObjectReader::Presence;
using std::chrono::milliseconds;

constexpr std::size_t kMaxDaemons = 64;
// A key shorter than this can be guessed.
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 4096;

class SettingsCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "settings"; }
  std::string message(int value) const override {
    switch (static_cast<SettingsError>(value)) {
      case SettingsError::kFileNotReadable:
        return "file not readable: correct the path or its permissions";
      case SettingsError::kBadAddress:
        return "not an address: use IP:PORT, such as 10.0.0.1:8080";
      case SettingsError::kDuplicateName:
        return "name used twice: give each daemon its own name";
      case SettingsError::kDuplicateAddress:
        return "address used twice: give each listener its own address";
      case SettingsError::kNotInDaemons:
        return "own name not in the list of daemons: add it there";
      case SettingsError::kZoneMismatch:
        return "zone differs from the list of daemons: use the same zone";
      case SettingsError::kVoterCount:
        return "wrong number of voters: mark 3 or 5 daemons, or 1 for trials";
      case SettingsError::kDataDir:
        return "data folder not usable: name a writable folder on voters only";
      case SettingsError::kBadKey:
        return "key not usable: use 16 to 4096 printable characters";
      case SettingsError::kAddressNotUsable:
        return "address not usable: stop the process that uses it, or name "
               "another address";
    }
    return "unknown settings error";
  }
};

std::optional<std::string> ReadWholeFile(const std::filesystem::path& path) {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    return std::nullopt;
  }
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

/// Reads and checks one settings file and collects all problems.
class SettingsReader {
 public:
  SettingsReader(const std::string& file, std::vector<Problem>* problems)
      : folder(std::filesystem::path(file).parent_path()), problems(problems) {}

  Settings Read(const nlohmann::json& value) {
    JsonObjectReader reader(value, "", this->problems);
    reader.Text("cluster", Presence::kRequired, &this->settings.cluster);
    reader.Text("daemon", Presence::kRequired, &this->settings.daemon);
    this->settings.availability_zone =
        this->ReadZone(&reader, "availability_zone");
    reader.Text("data_dir", Presence::kOptional, &this->settings.data_dir);
    this->ReadDaemons(&reader);
    this->ReadAddress(&reader, "callers_listen", 0,
                      &this->settings.callers_listen);
    this->ReadAddress(&reader, "operators_listen", 0,
                      &this->settings.operators_listen);
    this->ReadKey(&reader, "link_key", &this->settings.link_key);
    this->ReadKey(&reader, "operator_key", &this->settings.operator_key);
    this->ReadKey(&reader, "platform_key", &this->settings.platform_key);
    this->ReadLimits(&reader);
    this->ReadTiming(&reader);
    reader.ReportUnknownFields();
    if (this->problems->empty()) {
      this->CheckDaemons();
      this->CheckOwnEntry();
    }
    return std::move(this->settings);
  }

 private:
  AvailabilityZone ReadZone(JsonObjectReader* reader, const char* name) {
    std::string text;
    reader->Text(name, Presence::kRequired, &text);
    return AvailabilityZone(text);
  }

  void ReadAddress(JsonObjectReader* reader, const char* name,
                   std::uint16_t min_port, SocketAddress* out) {
    std::string text;
    reader->Text(name, Presence::kRequired, &text);
    if (text.empty()) {
      return;
    }
    const auto address = ParseSocketAddress(text);
    if (!address || address->port < min_port) {
      reader->Report(SettingsError::kBadAddress, name, "\"" + text + "\"",
                     "use IP:PORT, such as 10.0.0.1:8080 or [fd00::1]:8080");
      return;
    }
    *out = *address;
  }

  void ReadDaemons(JsonObjectReader* reader) {
    const nlohmann::json* list = reader->Array("daemons", Presence::kRequired);
    if (list == nullptr) {
      return;
    }
    if (list->empty() || list->size() > kMaxDaemons) {
      reader->Report(JsonError::kOutOfRange, "daemons",
                     std::to_string(list->size()) + " daemons",
                     "list 1 to 64 daemons");
      return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string path = "daemons[" + std::to_string(i) + "]";
      this->settings.daemons.push_back(this->ReadDaemon((*list)[i], path));
    }
  }

  DaemonSettings ReadDaemon(const nlohmann::json& value,
                            const std::string& path) {
    JsonObjectReader reader(value, path, this->problems);
    DaemonSettings daemon;
    reader.Text("name", Presence::kRequired, &daemon.name);
    this->ReadAddress(&reader, "link", 1, &daemon.link);
    daemon.availability_zone = this->ReadZone(&reader, "availability_zone");
    reader.Flag("voter", Presence::kOptional, &daemon.voter);
    reader.ReportUnknownFields();
    return daemon;
  }

  void ReadKey(JsonObjectReader* reader, const char* name, Secret* out) {
    const nlohmann::json* field = reader->Field(name, Presence::kRequired);
    if (field == nullptr) {
      return;
    }
    std::optional<std::string> key;
    if (field->is_string()) {
      key = field->get<std::string>();
    } else if (field->is_object()) {
      key = this->ReadKeyFile(reader, name, *field);
    } else {
      reader->Report(JsonError::kWrongType, name, field->type_name(),
                     R"(use a string or {"file": "PATH"})");
    }
    if (key && this->CheckKey(reader, name, *key)) {
      *out = Secret(*std::move(key));
    }
  }

  std::optional<std::string> ReadKeyFile(JsonObjectReader* reader,
                                         const char* name,
                                         const nlohmann::json& field) {
    JsonObjectReader file_reader(field, reader->PathOf(name), this->problems);
    std::string path;
    file_reader.Text("file", Presence::kRequired, &path);
    file_reader.ReportUnknownFields();
    if (path.empty()) {
      return std::nullopt;
    }
    auto text = ReadWholeFile(this->folder / path);
    if (!text) {
      file_reader.Report(SettingsError::kFileNotReadable, "file", path,
                         "create the key file and let the daemon read it");
      return std::nullopt;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
      text->pop_back();
    }
    return text;
  }

  /// A problem contains only the key's length, since keys must not be printed.
  bool CheckKey(JsonObjectReader* reader, const char* name,
                const std::string& key) {
    const bool printable = std::all_of(
        key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (key.size() >= kMinKeyBytes && key.size() <= kMaxKeyBytes && printable) {
      return true;
    }
    reader->Report(SettingsError::kBadKey, name,
                   std::to_string(key.size()) + " characters",
                   "use 16 to 4096 printable ASCII characters without spaces");
    return false;
  }

  void ReadLimits(JsonObjectReader* parent) {
    const nlohmann::json* value = parent->Object("limits", Presence::kOptional);
    if (value == nullptr) {
      return;
    }
    JsonObjectReader reader(*value, "limits", this->problems);
    LimitSettings& limits = this->settings.limits;
    reader.Number("max_body_bytes", Presence::kOptional, 1, 64U << 20U,
                  &limits.max_body_bytes);
    reader.Number("max_header_bytes", Presence::kOptional, 1024, 1U << 20U,
                  &limits.max_header_bytes);
    reader.Number("max_connections", Presence::kOptional, 1, 1'000'000,
                  &limits.max_connections);
    reader.Number("queue_length", Presence::kOptional, 1, 1'000'000,
                  &limits.queue_length);
    reader.Number("memory_mb", Presence::kOptional, 32, 1U << 20U,
                  &limits.memory_mb);
    reader.Number("max_file_descriptors", Presence::kOptional, 128, 1U << 20U,
                  &limits.max_file_descriptors);
    reader.ReportUnknownFields();
  }

  void ReadTiming(JsonObjectReader* parent) {
    const nlohmann::json* value = parent->Object("timing", Presence::kOptional);
    if (value == nullptr) {
      return;
    }
    JsonObjectReader reader(*value, "timing", this->problems);
    TimingSettings& timing = this->settings.timing;
    // A longer lease would let an isolated entry serve with tables that are
    // older than the 4 s within which a change is in force everywhere.
    reader.Time("lease", Presence::kOptional, milliseconds(500),
                milliseconds(3'000), &timing.lease);
    // At least three heartbeats fit into the shortest view change timeout of
    // 600 ms.
    reader.Time("heartbeat", Presence::kOptional, milliseconds(10),
                milliseconds(200), &timing.heartbeat);
    reader.Time("shutdown_deadline", Presence::kOptional, milliseconds(0),
                std::chrono::hours(24), &timing.shutdown_deadline);
    reader.Time("load_balancer_wait", Presence::kOptional, milliseconds(0),
                std::chrono::minutes(10), &timing.load_balancer_wait);
    reader.ReportUnknownFields();
  }

  void CheckDaemons() {
    std::map<std::string, std::string> names;
    std::map<std::string, std::string> addresses;
    for (std::size_t i = 0; i < this->settings.daemons.size(); ++i) {
      const DaemonSettings& daemon = this->settings.daemons[i];
      const std::string path = "daemons[" + std::to_string(i) + "]";
      if (auto [first, added] = names.emplace(daemon.name, path); !added) {
        this->Report(SettingsError::kDuplicateName, path + ".name",
                     daemon.name + ", the name of " + first->second,
                     "give each daemon its own name");
      }
      if (auto [first, added] = addresses.emplace(daemon.link.str(), path);
          !added) {
        this->Report(SettingsError::kDuplicateAddress, path + ".link",
                     daemon.link.str() + ", the address of " + first->second,
                     "give each daemon its own link address");
      }
    }
    const std::size_t voters = this->settings.Voters().size();
    if (voters != 1 && voters != 3 && voters != 5) {
      this->Report(SettingsError::kVoterCount, "daemons",
                   std::to_string(voters) + " voters",
                   "mark 3 or 5 daemons with \"voter\": true, or 1 for trials");
    }
  }

  void CheckOwnEntry() {
    const auto& daemons = this->settings.daemons;
    const auto own = std::find_if(daemons.begin(), daemons.end(),
                                  [this](const DaemonSettings& daemon) {
                                    return daemon.name == this->settings.daemon;
                                  });
    if (own == daemons.end()) {
      this->Report(SettingsError::kNotInDaemons, "daemon",
                   this->settings.daemon,
                   "use a name from the list of daemons, or add it there");
      return;
    }
    this->settings.self = static_cast<DaemonId>(own - daemons.begin());
    if (own->availability_zone != this->settings.availability_zone) {
      this->Report(SettingsError::kZoneMismatch, "availability_zone",
                   this->settings.availability_zone.str(),
                   "use " + own->availability_zone.str() +
                       " as in the list of daemons, or correct it there");
    }
    this->CheckDataDirPresence(own->voter);
    this->CheckOwnAddresses(own->link);
  }

  void CheckDataDirPresence(bool voter) {
    if (voter && this->settings.data_dir.empty()) {
      this->Report(SettingsError::kDataDir, "data_dir", "none on a voter",
                   "name the folder that keeps the log");
    }
    if (!voter && !this->settings.data_dir.empty()) {
      this->Report(SettingsError::kDataDir, "data_dir",
                   this->settings.data_dir + " on a daemon that is no voter",
                   "remove the field or make the daemon a voter");
    }
  }

  void CheckOwnAddresses(const SocketAddress& link) {
    const SocketAddress& callers = this->settings.callers_listen;
    const SocketAddress& operators = this->settings.operators_listen;
    if (callers.port != 0 && callers == operators) {
      this->Report(SettingsError::kDuplicateAddress, "operators_listen",
                   operators.str() + ", the address of callers_listen",
                   "give each listener its own port");
    }
    if (callers == link) {
      this->Report(SettingsError::kDuplicateAddress, "callers_listen",
                   callers.str() + ", the daemon's own link address",
                   "give each listener its own port");
    }
    if (operators == link) {
      this->Report(SettingsError::kDuplicateAddress, "operators_listen",
                   operators.str() + ", the daemon's own link address",
                   "give each listener its own port");
    }
  }

  void Report(SettingsError kind, std::string field, std::string found,
              std::string remedy) {
    this->problems->push_back(
        {kind, std::move(field), std::move(found), std::move(remedy)});
  }

  std::filesystem::path folder;
  std::vector<Problem>* problems;
  Settings settings;
};

std::vector<SettingsProblem> AttachFileName(std::vector<Problem> problems,
                                            const std::string& file) {
  std::vector<SettingsProblem> result;
  result.reserve(problems.size());
  for (Problem& problem : problems) {
    result.push_back({file, std::move(problem)});
  }
  return result;
}

}  // namespace

std::error_code make_error_code(SettingsError error) {
  static const SettingsCategory category;
  return {static_cast<int>(error), category};
}

std::string SettingsProblem::Message() const {
  return this->file + ": " + this->problem.Message();
}

std::string SocketAddress::str() const {
  const bool ipv6 = this->address.find(':') != std::string::npos;
  const std::string host = ipv6 ? "[" + this->address + "]" : this->address;
  return host + ":" + std::to_string(this->port);
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  SocketAddress address{std::string(host), 0};
  in6_addr binary{};
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), address.port);
  const bool whole_port = end == port_text.data() + port_text.size();
  if (error != std::errc{} || !whole_port ||
      inet_pton(family, address.address.c_str(), &binary) != 1) {
    return std::nullopt;
  }
  return address;
}

std::vector<DaemonId> Settings::Voters() const {
  std::vector<DaemonId> voters;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].voter) {
      voters.push_back(static_cast<DaemonId>(i));
    }
  }
  return voters;
}

SettingsResult ParseSettings(const std::string& text, const std::string& file) {
  std::vector<Problem> problems;
  SettingsResult result;
  const nlohmann::json value = ParseJson(text, &problems);
  if (problems.empty()) {
    result.settings = SettingsReader(file, &problems).Read(value);
  }
  if (!problems.empty()) {
    result.settings.reset();
  }
  result.problems = AttachFileName(std::move(problems), file);
  return result;
}

SettingsResult LoadSettings(const std::string& file) {
  if (const auto text = ReadWholeFile(file)) {
    return ParseSettings(*text, file);
  }
  const Problem problem{SettingsError::kFileNotReadable, "", "",
                        "correct the path or let the daemon read the file"};
  return {std::nullopt, {{file, problem}}};
}

}  // namespace mimosastage
