#ifndef MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_
#define MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_

#include <string>

#include "mimosastagectl/api_client.h"
#include "mimosastagectl/exit_code.h"

namespace mimosastage {

/// Implementations of the subcommands. Each prints results to stdout and errors
/// to stderr.

/// Changes the tables to match the declaration in `file`. With the `change_id`
/// of an earlier run whose answer was lost, no change is applied twice.
ExitCode RunApply(ApiClient* client, const std::string& file,
                  const std::string& change_id);
/// Prints what apply would change.
ExitCode RunDiff(ApiClient* client, const std::string& file);
struct CheckOptions {
  std::string file;
  /// File with the declaration in force; used if `client` is null. Without
  /// either, the declaration is checked on its own.
  std::string against_file;
  bool json = false;
};
/// Prints all errors and warnings of the declaration, and what it would change
/// in the tables of the daemon or the file that it is compared with. Returns
/// kBadInput if there is an error, otherwise kDifference if there is a change.
ExitCode RunCheck(ApiClient* client, const CheckOptions& options);
/// Prints a table or the list of keys as JSON.
ExitCode RunGet(ApiClient* client, const std::string& what);

struct GrantOptions {
  std::string team;
  std::string client;
  /// If empty, the id is the client's name and random digits.
  std::string key_id;
};
/// Generates a key, grants it and prints it. The key can't be retrieved later.
ExitCode RunGrant(ApiClient* client, const GrantOptions& options);
ExitCode RunRevoke(ApiClient* client, const std::string& key_id);

ExitCode RunMembers(ApiClient* client, bool json);
ExitCode RunStatus(ApiClient* client, bool json);
/// Prints the answer to a GET of `path` as JSON.
ExitCode RunShow(ApiClient* client, const std::string& path);

/// Returns `prefix`, a dash and 16 random hex digits.
std::string RandomId(const std::string& prefix);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_
