#ifndef MIMOSASTAGE_OPERATORS_OPERATOR_API_H_
#define MIMOSASTAGE_OPERATORS_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/http/http_server.h"
#include "mimosastage/replication/messages.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/key_table.h"
#include "mimosastage/state/table_set.h"

namespace mimosastage {

/// Result of proposing a command to the replicated log.
struct ProposalResult {
  enum class Kind : std::uint8_t {
    /// Committed and applied; `outcome` says whether it was accepted.
    kCommitted,
    /// Not in the log and never will be; it is safe to send it again.
    kNotAccepted,
    /// May have been committed; it is safe to send it again with the same
    /// change id.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  Outcome outcome;
  /// Reason if not kCommitted, such as "no leader is known".
  std::string detail;
};

/// One daemon of the cluster as this daemon sees it.
struct MemberStatus {
  std::string name;
  std::string link;
  AvailabilityZone availability_zone;
  bool voter = false;
  bool leader = false;
  /// True if this daemon has an open link to it, and for this daemon itself.
  bool connected = false;
};

struct DaemonStatus {
  std::string cluster;
  std::string daemon;
  /// True while it may serve callers: it holds a serving lease and isn't
  /// stopping.
  bool ready = false;
  /// Reason if `ready` is false.
  std::string not_ready_reason;
  /// Name of the leader, or empty while none is known.
  std::string leader;
  ViewNumber view = 0;
  LogIndex commit = 0;
  LogIndex applied = 0;
};

/// Tables and keys as of the last log entry that this daemon applied.
struct AppliedState {
  TableSet tables;
  std::vector<Key> keys;
};

/// Status and JSON body of an answer that a hook provides.
struct JsonReply {
  std::uint16_t status = 200;
  std::string body;
};

/// Functions through which OperatorApi reads and changes the daemon's state.
/// They are called on the thread that calls Handle; each must call `done`
/// exactly once, on that thread, immediately or later. Requests for a hook that
/// isn't set are answered with 501.
struct OperatorHooks {
  using ProposalDone = std::function<void(const ProposalResult&)>;
  using ReplyDone = std::function<void(JsonReply&&)>;

  std::function<void(Command command, ProposalDone done)> propose;
  /// Must not return null.
  std::function<std::shared_ptr<const AppliedState>()> applied_state;
  std::function<DaemonStatus()> status;
  std::function<std::vector<MemberStatus>()> members;
  std::function<std::string()> metrics_text;
  /// Handles the JSON body of a backend server's announcement.
  std::function<void(std::string body, ReplyDone done)> announce;
  /// Handles the JSON body of a worker's report; the reply holds the commands
  /// for the worker.
  std::function<void(InstanceName worker, std::string body, ReplyDone done)>
      report;
  /// Handles GET for the resource "waves", "pools", "workers" or "jobs".
  std::function<void(std::string_view resource, ReplyDone done)> fleet_view;
  /// Handles POST for "waves".
  std::function<void(std::string body, ReplyDone done)> change_waves;
};

/// Handles the requests to the operator port: those of operators, backend
/// servers and workers, health checks and metrics. Does no I/O; not
/// thread-safe.
class OperatorApi {
 public:
  struct Keys {
    std::string operator_key;
    /// Key of backend servers and workers.
    std::string platform_key;
  };
  using Answer = std::function<void(HttpAnswer&&)>;

  OperatorApi(Keys keys, OperatorHooks hooks);

  /// Calls `answer` exactly once, immediately or when a hook is done. Refusals
  /// are application/problem+json with `reason`, `outcome` ("not_run" or
  /// "unknown") and `detail`, which includes the remedy. The object must
  /// outlive all pending requests.
  void Handle(HttpRequest&& request, Answer answer);

 private:
  struct Call;

  void HandleUnauthenticated(const Call& call);
  void HandlePlatform(const Call& call);
  void HandleOperator(const Call& call);
  void HandleTables(const Call& call);
  void HandleKeys(const Call& call);
  void HandleFleet(const Call& call);
  void GetReadiness(const Call& call);
  void GetTable(const Call& call, TableKind table);
  void ChangeTable(const Call& call, TableKind table);
  void ListKeys(const Call& call);
  void GrantKey(const Call& call);
  void RevokeKey(const Call& call, const std::string& key_id);
  void GetStatus(const Call& call);
  void GetMembers(const Call& call);
  void Propose(const Call& call, Command command,
               std::optional<TableKind> table);
  HttpAnswer AnswerForResult(const ProposalResult& result,
                             std::optional<TableKind> table) const;
  HttpAnswer AnswerForRefusal(const Outcome& outcome,
                              std::optional<TableKind> table) const;

  Keys keys;
  OperatorHooks hooks;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_OPERATORS_OPERATOR_API_H_
