#ifndef MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_
#define MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_

#include <string>

#include "mimosastagectl/api_client.h"
#include "mimosastagectl/exit_code.h"

namespace mimosastage {

/// The subcommands. Each prints results to stdout and errors to stderr.

/// Changes the tables to what the declaration in `file` says. `change_id`
/// makes a repeated run after a lost answer harmless.
ExitCode RunApply(ApiClient* client, const std::string& file,
                  const std::string& change_id);
/// Prints what apply would change.
ExitCode RunDiff(ApiClient* client, const std::string& file);
/// Prints a table or the list of keys as JSON.
ExitCode RunGet(ApiClient* client, const std::string& what);

struct GrantOptions {
  std::string team;
  std::string client;
  /// Made of the client's name and random digits if empty.
  std::string key_id;
};
/// Makes a key, grants it and prints it once.
ExitCode RunGrant(ApiClient* client, const GrantOptions& options);
ExitCode RunRevoke(ApiClient* client, const std::string& key_id);

ExitCode RunMembers(ApiClient* client, bool json);
ExitCode RunStatus(ApiClient* client, bool json);
/// Prints the answer to a GET of `path` as JSON.
ExitCode RunView(ApiClient* client, const std::string& path);

/// `prefix`, a dash and 16 random hex digits.
std::string RandomId(const std::string& prefix);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_COMMANDS_H_
