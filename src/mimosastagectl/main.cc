#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <curl/curl.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/state/table_set.h"
#include "mimosastagectl/api_client.h"
#include "mimosastagectl/commands.h"
#include "mimosastagectl/exit_code.h"

ABSL_FLAG(std::string, server, "127.0.0.1:8081",
          "Operator ports of the daemons as HOST:PORT,HOST:PORT; the next one "
          "is tried if one fails.");
ABSL_FLAG(std::string, operator_key_file, "",
          "File with the operator key. Without it the environment variable "
          "MIMOSASTAGE_OPERATOR_KEY is used.");
ABSL_FLAG(std::string, f, "", "Declaration for apply and diff.");
ABSL_FLAG(std::string, against, "",
          "What check compares the declaration with: a file, or operator ports "
          "as for --server.");
ABSL_FLAG(std::string, output, "text",
          "text or json, for check, status and members.");
ABSL_FLAG(std::string, change_id, "",
          "Id of an earlier apply whose outcome is unknown.");
ABSL_FLAG(std::string, team, "", "Team of the key, for keys grant.");
ABSL_FLAG(std::string, client, "", "Client of the key, for keys grant.");
ABSL_FLAG(std::string, id, "",
          "Id of the key, for keys grant; generated if empty.");
ABSL_FLAG(absl::Duration, attempt_timeout, absl::Seconds(5),
          "Time for one attempt at one daemon.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30),
          "Time for all attempts of one request.");

namespace mimosastage {
namespace {

constexpr const char* kUsage =
    "Changes and shows a cluster of mimosastage.\n\n"
    "  mimosastagectl [FLAGS] apply -f FILE\n"
    "  mimosastagectl [FLAGS] diff -f FILE\n"
    "  mimosastagectl [FLAGS] check FILE [--against=SERVER|FILE] "
    "[--output=json]\n"
    "  mimosastagectl [FLAGS] get routes|pools|teams|policy|keys\n"
    "  mimosastagectl [FLAGS] keys grant --team=TEAM --client=CLIENT "
    "[--id=KEY_ID]\n"
    "  mimosastagectl [FLAGS] keys revoke KEY_ID\n"
    "  mimosastagectl [FLAGS] members|status [--output=json]\n"
    "  mimosastagectl [FLAGS] pools status|waves status|workers|jobs\n\n"
    "Exit codes: 0 done or no difference, 1 difference, 2 bad input, "
    "3 conflict, 4 unreachable or not accepted, 5 outcome unknown.";

/// Set after absl::ParseCommandLine has returned; see ExitIfFlagParsingFailed.
bool flags_parsed = false;
bool help_requested = false;

/// atexit handler. absl::ParseCommandLine exits with status 1 on a bad flag,
/// which is the exit code for a difference; replaces it by the proper code.
void ExitIfFlagParsingFailed() {
  if (!flags_parsed) {
    std::fflush(stdout);
    std::fflush(stderr);
    std::_Exit(static_cast<int>(help_requested ? ExitCode::kSuccess
                                               : ExitCode::kBadInput));
  }
}

void PrintError(const std::string& text) {
  std::cerr << "mimosastagectl: " << text << "\n";
}

std::vector<std::string> SplitServers(std::string_view text) {
  std::vector<std::string> servers;
  while (!text.empty()) {
    const std::string_view server = text.substr(0, text.find(','));
    if (!server.empty()) {
      servers.emplace_back(server);
    }
    text.remove_prefix(std::min(server.size() + 1, text.size()));
  }
  return servers;
}

std::optional<std::string> ReadOperatorKey() {
  const std::string file = absl::GetFlag(FLAGS_operator_key_file);
  std::string key;
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!std::getline(stream, key)) {
      PrintError(file + ": file not readable; correct --operator_key_file");
      return std::nullopt;
    }
  } else if (const char* text = std::getenv("MIMOSASTAGE_OPERATOR_KEY")) {
    key = text;
  }
  if (key.empty()) {
    PrintError(
        "no operator key; set --operator_key_file or the environment variable "
        "MIMOSASTAGE_OPERATOR_KEY");
    return std::nullopt;
  }
  return key;
}

std::optional<ApiClient::Settings> ReadClientSettings(
    std::string_view servers) {
  ApiClient::Settings settings;
  settings.servers = SplitServers(servers);
  if (settings.servers.empty()) {
    PrintError("no daemon; set --server=HOST:PORT");
    return std::nullopt;
  }
  const auto key = ReadOperatorKey();
  if (!key) {
    return std::nullopt;
  }
  settings.operator_key = *key;
  settings.attempt_timeout =
      absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_attempt_timeout));
  settings.total_timeout =
      absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  return settings;
}

ExitCode RunApplyCommand(ApiClient* client) {
  const std::string flag_value = absl::GetFlag(FLAGS_change_id);
  const std::string change_id =
      flag_value.empty() ? RandomId("apply") : flag_value;
  // Diff appends a fingerprint of 17 characters to the id of each step, and a
  // name has at most 128.
  if (!IsName(change_id) || change_id.size() > 100) {
    PrintError(
        "--change_id is not a name of 1 to 100 characters; use the one "
        "that the earlier apply printed");
    return ExitCode::kBadInput;
  }
  return RunApply(client, absl::GetFlag(FLAGS_f), change_id);
}

/// Neither a daemon nor a key is needed unless the declaration is compared with
/// the tables of a daemon.
ExitCode RunCheckCommand(const std::string& file) {
  CheckOptions options;
  options.file = file;
  options.json = absl::GetFlag(FLAGS_output) == "json";
  const std::string against = absl::GetFlag(FLAGS_against);
  // An address always has a port; a file with such a name needs a folder.
  const bool is_server = against.find(':') != std::string::npos &&
                         against.find('/') == std::string::npos;
  if (!is_server) {
    options.against_file = against;
    return RunCheck(nullptr, options);
  }
  auto settings = ReadClientSettings(against);
  if (!settings) {
    return ExitCode::kBadInput;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  ApiClient client(*std::move(settings));
  const ExitCode code = RunCheck(&client, options);
  curl_global_cleanup();
  return code;
}

ExitCode Run(ApiClient* client, const std::vector<std::string>& words) {
  const std::string& command = words[0];
  const std::string argument = words.size() > 1 ? words[1] : "";
  const bool json = absl::GetFlag(FLAGS_output) == "json";
  const std::size_t count = words.size();
  if (command == "apply" && count == 1) {
    return RunApplyCommand(client);
  }
  if (command == "diff" && count == 1) {
    return RunDiff(client, absl::GetFlag(FLAGS_f));
  }
  if (command == "get" && count == 2) {
    return RunGet(client, argument);
  }
  if (command == "keys" && argument == "grant" && count == 2) {
    return RunGrant(client,
                    {absl::GetFlag(FLAGS_team), absl::GetFlag(FLAGS_client),
                     absl::GetFlag(FLAGS_id)});
  }
  if (command == "keys" && argument == "revoke" && count == 3) {
    return RunRevoke(client, words[2]);
  }
  if (command == "members" && count == 1) {
    return RunMembers(client, json);
  }
  if (command == "status" && count == 1) {
    return RunStatus(client, json);
  }
  const bool is_show_command =
      ((command == "workers" || command == "jobs") && count == 1) ||
      ((command == "pools" || command == "waves") && argument == "status" &&
       count == 2);
  if (is_show_command) {
    return RunShow(client, "/v1/" + command);
  }
  PrintError("unknown command; see mimosastagectl --help");
  return ExitCode::kBadInput;
}

ExitCode Main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  help_requested = std::find(arguments.begin(), arguments.end(), "--help") !=
                   arguments.end();
  std::atexit(&ExitIfFlagParsingFailed);
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  flags_parsed = true;
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  if (words.empty()) {
    PrintError("no command; see mimosastagectl --help");
    return ExitCode::kBadInput;
  }
  if (words[0] == "check" && words.size() == 2) {
    return RunCheckCommand(words[1]);
  }
  auto settings = ReadClientSettings(absl::GetFlag(FLAGS_server));
  if (!settings) {
    return ExitCode::kBadInput;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  ApiClient client(*std::move(settings));
  const ExitCode code = Run(&client, words);
  curl_global_cleanup();
  return code;
}

}  // namespace
}  // namespace mimosastage

int main(int argc, char** argv) {
  return static_cast<int>(mimosastage::Main(argc, argv));
}
