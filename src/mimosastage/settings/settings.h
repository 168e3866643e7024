#ifndef MIMOSASTAGE_SETTINGS_SETTINGS_H_
#define MIMOSASTAGE_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "mimosastage/base/json_reader.h"
#include "mimosastage/base/names.h"

namespace mimosastage {

/// Errors of settings whose JSON syntax, fields and types are valid.
enum class SettingsError : std::uint8_t {
  kFileNotReadable = 1,
  kBadAddress,
  kDuplicateName,
  kDuplicateAddress,
  kNotInDaemons,
  kZoneMismatch,
  kVoterCount,
  kDataDir,
  kBadKey,
  kAddressNotUsable,
};

std::error_code make_error_code(SettingsError error);

/// A problem of a settings file.
struct SettingsProblem {
  std::string file;
  Problem problem;

  /// "FILE: FIELD: KIND, found FOUND; REMEDY" on one line.
  std::string Message() const;
};

/// A key. It has no stream operator, so that it can't reach a log by accident.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text(std::move(text)) {}

  /// The key itself; never log or print it.
  const std::string& Reveal() const { return this->text; }
  bool empty() const { return this->text.empty(); }

 private:
  std::string text;
};

/// A numeric IP address and a TCP port.
struct SocketAddress {
  /// IPv6 addresses are stored without brackets.
  std::string address;
  std::uint16_t port = 0;

  std::string str() const;
  bool operator==(const SocketAddress&) const = default;
};

/// Parses "10.0.0.1:80" or "[fd00::1]:80"; returns nullopt for any other text.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

struct DaemonSettings {
  std::string name;
  /// Address on which the daemon accepts links of other daemons.
  SocketAddress link;
  AvailabilityZone availability_zone;
  /// Voters keep a copy of the replicated log on their disk.
  bool voter = false;
};

struct LimitSettings {
  std::uint64_t max_body_bytes = 1U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_connections = 20'000;
  /// Requests that may wait in the queue of one pool.
  std::size_t queue_length = 4'096;
  /// Memory of the machine that the daemon may use, in MiB.
  std::size_t memory_mb = 1'024;
  /// Descriptors that the daemon may have open; 0 means its limit at the start.
  std::size_t max_file_descriptors = 0;
};

struct TimingSettings {
  std::chrono::milliseconds lease{2'000};
  std::chrono::milliseconds heartbeat{100};
  std::chrono::milliseconds shutdown_deadline{30'000};
  /// On a planned stop, time between reporting unready and refusing
  /// connections, in which load balancers notice.
  std::chrono::milliseconds load_balancer_wait{2'000};
};

/// The settings of one daemon. They don't change while it runs.
struct Settings {
  std::string cluster;
  std::string daemon;
  AvailabilityZone availability_zone;
  /// Empty on daemons that aren't voters.
  std::string data_dir;
  /// The same list in the same order on all daemons; a DaemonId is an index in
  /// it. At most 64.
  std::vector<DaemonSettings> daemons;
  SocketAddress callers_listen;
  SocketAddress operators_listen;
  Secret link_key;
  Secret operator_key;
  Secret platform_key;
  LimitSettings limits;
  TimingSettings timing;

  /// Index of this daemon in `daemons`.
  DaemonId self{};

  const DaemonSettings& Self() const {
    return this->daemons[static_cast<std::size_t>(this->self)];
  }
  std::vector<DaemonId> Voters() const;
};

/// Either settings or at least one problem.
struct SettingsResult {
  std::optional<Settings> settings;
  std::vector<SettingsProblem> problems;
};

/// Reads and checks a settings file and the key files that it names, whose
/// paths are relative to the settings file. Reports all problems at once.
SettingsResult LoadSettings(const std::string& file);

/// Like LoadSettings, but takes the content of `file` as `text`.
SettingsResult ParseSettings(const std::string& text, const std::string& file);

/// Checks that the data folder can be written and that each address can be
/// bound. Addresses with port 0 are not tried.
std::vector<SettingsProblem> CheckEnvironment(const Settings& settings,
                                              const std::string& file);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::SettingsError> : std::true_type {};

#endif  // MIMOSASTAGE_SETTINGS_SETTINGS_H_
