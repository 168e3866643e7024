#ifndef MIMOSASTAGE_STATE_COMMANDS_H_
#define MIMOSASTAGE_STATE_COMMANDS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// Milliseconds since the Unix epoch, read by the leader when it proposes a
/// command, so that all replicas apply the same value.
using WallTime = std::chrono::milliseconds;

/// One run of one daemon.
struct Session {
  DaemonId daemon{};
  SessionId id{};

  // clang-tidy takes the comparison's literal 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Session&) const = default;
};

/// An operator's change of one table. `change_id` makes it idempotent.
struct TableChange {
  std::string change_id;
  TableKind table = TableKind::kRoutes;
  /// The version of the table that the operator saw.
  std::uint64_t base_version = 0;
  std::vector<Row> upserts;
  std::vector<std::string> deletes;
};

using KeyHash = std::array<std::uint8_t, 32>;

/// Grants a key to a client of a team. `change_id` makes it idempotent.
struct KeyGrant {
  std::string change_id;
  /// Public name of the key, used to revoke it.
  std::string key_id;
  /// SHA-256 of the secret.
  KeyHash hash{};
  TeamName team;
  ClientName client;
};

/// Revokes a key. `change_id` makes it idempotent.
struct KeyRevoke {
  std::string change_id;
  std::string key_id;
};

/// A daemon started; it may borrow units under this session.
struct SessionStart {
  Session session;
};

/// Ends a session of which nothing can still run. Frees its units and gives its
/// intents without a result an unknown outcome.
struct SessionEnd {
  Session session;
};

enum class ResourceKind : std::uint8_t { kTeamLimit, kBackendServerSlots };

/// A counted resource whose units are lent to entries: a team's upper limit, or
/// the slots of one backend server.
struct Resource {
  ResourceKind kind = ResourceKind::kTeamLimit;
  std::string name;

  // clang-tidy takes the comparison's literal 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Resource&) const = default;
};

/// Lends units to a session and takes returned ones back. The ledger keeps two
/// totals for each resource and session; a session holds the difference.
struct AllowanceMove {
  Resource resource;
  Session session;
  /// Units lent on top of what was lent before.
  std::uint32_t lend = 0;
  /// Units that the session has given back since it started. The ledger takes
  /// the highest value it has seen, so that a repeated return is harmless.
  std::uint64_t returned_total = 0;
};

/// All moves of one round of the lender.
struct AllowanceMoves {
  /// Sizes of the backend servers' slot resources named in `moves`; the sizes
  /// of team limits come from the table of teams.
  std::vector<std::pair<std::string, std::uint32_t>> backend_server_slots;
  std::vector<AllowanceMove> moves;
};

/// Maximum length of an Idempotency-Key in bytes. Without a limit the keys of
/// 65,536 intents could take 1 GiB, with this one they take at most 8 MiB.
inline constexpr std::size_t kMaxIdempotencyKeyLength = 128;

/// Identifies a request that must not be repeated.
struct IntentKey {
  TeamName team;
  std::string idempotency_key;

  // clang-tidy takes the comparison's literal 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const IntentKey&) const = default;
};

/// Committed before the first byte of a request that must not be repeated is
/// sent to a backend server.
struct IntentBegin {
  IntentKey key;
  Session session;
  /// xxHash64 of route, method, path and body; the same key with another
  /// request is refused.
  std::uint64_t fingerprint = 0;
  WallTime at{};
};

enum class IntentOutcome : std::uint8_t { kCompleted, kNotRun, kUnknown };

/// An answer that is stored for repeats of the same request.
struct StoredAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  /// At most kMaxStoredBody bytes; a longer body isn't kept.
  std::string body;
  bool body_kept = true;

  bool operator==(const StoredAnswer&) const = default;
};

inline constexpr std::size_t kMaxStoredBody = 64U << 10U;

/// Records how a request that must not be repeated ended.
struct IntentEnd {
  IntentKey key;
  /// Only the session that began the intent can end it.
  Session session;
  IntentOutcome outcome = IntentOutcome::kUnknown;
  /// Set if the outcome is kCompleted.
  StoredAnswer answer;
};

/// Removes ended intents that began before `before`.
struct IntentExpiry {
  WallTime before{};
};

enum class InstanceState : std::uint8_t {
  kServing,
  kDraining,
  kRebooting,
  kReturning,
  kFailed
};

/// Changes the state or the pool of an instance. A change of the pool needs a
/// higher epoch.
struct InstanceTransition {
  InstanceName instance;
  PoolName pool;
  std::uint64_t epoch = 0;
  InstanceState state = InstanceState::kServing;
};

/// The first entry of each view. Committing it also commits the entries that
/// earlier views left uncommitted.
struct Noop {};

using Command =
    std::variant<Noop, TableChange, KeyGrant, KeyRevoke, SessionStart,
                 SessionEnd, AllowanceMoves, IntentBegin, IntentEnd,
                 IntentExpiry, InstanceTransition>;

/// The result of applying a command; identical on every replica.
struct Outcome {
  std::error_code error;
  /// Version of the table after a TableChange, accepted or not.
  std::uint64_t version = 0;
  /// What was found and the remedy, if `error` is set.
  std::string detail;
  /// For IntentBegin on a completed intent.
  StoredAnswer answer;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_COMMANDS_H_
