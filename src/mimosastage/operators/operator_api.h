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

/// What became of a proposed command.
struct ProposalResult {
  enum class Kind : std::uint8_t {
    /// Applied; `outcome` says whether it was accepted.
    kCommitted,
    /// Not in the log and never will be; it may be sent again.
    kNotAccepted,
    /// It may have been committed; it may be sent again with the same id.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  Outcome outcome;
  /// Reason unless committed, such as "no leader is known".
  std::string detail;
};

/// One daemon of the cluster as this daemon sees it.
struct MemberStatus {
  std::string name;
  std::string link;
  AvailabilityZone availability_zone;
  bool voter = false;
  bool leader = false;
  /// This daemon has a link to it, or is it.
  bool connected = false;
};

struct DaemonStatus {
  std::string cluster;
  std::string daemon;
  /// May serve callers: it holds a serving lease and isn't stopping.
  bool ready = false;
  /// Why it isn't ready.
  std::string not_ready_reason;
  /// Empty while none is known.
  std::string leader;
  ViewNumber view = 0;
  LogIndex commit = 0;
  LogIndex applied = 0;
};

/// Tables and keys that the daemon has applied last.
struct OperatorView {
  TableSet tables;
  std::vector<Key> keys;
};

/// An answer that another package wrote, as a JSON body.
struct JsonReply {
  std::uint16_t status = 200;
  std::string body;
};

/// The part of the operator port that isn't HTTP. Hooks are called on the
/// thread that calls Handle; each `done` is called exactly once, on that
/// thread, now or later. A hook that is empty answers 501.
struct OperatorHooks {
  using ProposalDone = std::function<void(const ProposalResult&)>;
  using ReplyDone = std::function<void(JsonReply&&)>;

  std::function<void(Command command, ProposalDone done)> propose;
  /// Never null.
  std::function<std::shared_ptr<const OperatorView>()> view;
  std::function<DaemonStatus()> status;
  std::function<std::vector<MemberStatus>()> members;
  std::function<std::string()> metrics_text;
  /// JSON body of a backend server's announcement.
  std::function<void(std::string body, ReplyDone done)> announce;
  /// JSON body of a worker's report; the reply has the worker's commands.
  std::function<void(InstanceName worker, std::string body, ReplyDone done)>
      report;
  /// GET of "waves", "pools", "workers" or "jobs".
  std::function<void(std::string_view what, ReplyDone done)> fleet_view;
  /// POST of "waves".
  std::function<void(std::string body, ReplyDone done)> change_waves;
};

/// Answers the requests of the operator port: operators, backend servers,
/// workers, health and metrics. Has no socket; not thread-safe.
class OperatorApi {
 public:
  struct Keys {
    std::string operator_key;
    /// Of backend servers and workers.
    std::string platform_key;
  };
  using Answer = std::function<void(HttpAnswer&&)>;

  OperatorApi(Keys keys, OperatorHooks hooks);

  /// Calls `answer` exactly once, now or when the hooks are done. Refusals are
  /// application/problem+json with `reason`, `outcome` ("not_run" or
  /// "unknown") and `detail`, which names the remedy. The object must outlive
  /// the calls that are still open.
  void Handle(HttpRequest&& request, Answer answer);

 private:
  struct Call;

  void HandleOpen(const Call& call);
  void HandlePlatform(const Call& call);
  void HandleOperator(const Call& call);
  void HandleTables(const Call& call);
  void HandleKeys(const Call& call);
  void HandleFleet(const Call& call);
  void GetReady(const Call& call);
  void GetTable(const Call& call, TableKind table);
  void ChangeTable(const Call& call, TableKind table);
  void ListKeys(const Call& call);
  void GrantKey(const Call& call);
  void RevokeKey(const Call& call, const std::string& key_id);
  void GetStatus(const Call& call);
  void GetMembers(const Call& call);
  void Propose(const Call& call, Command command,
               std::optional<TableKind> table);
  HttpAnswer AnswerTo(const ProposalResult& result,
                      std::optional<TableKind> table) const;
  HttpAnswer AnswerToRefused(const Outcome& outcome,
                             std::optional<TableKind> table) const;

  Keys keys;
  OperatorHooks hooks;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_OPERATORS_OPERATOR_API_H_
