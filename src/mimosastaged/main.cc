#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <string>
#include <thread>

#include "mimosastage/http/large_blocks.h"
#include "mimosastage/node/daemon.h"
#include "mimosastage/settings/settings.h"
#include "mimosastage/storage/data_folder.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/log.h"

ABSL_FLAG(std::string, settings, "", "the daemon's settings file (JSON)");
ABSL_FLAG(bool, check_settings, false,
          "only check the settings, the data folder and the addresses");
ABSL_FLAG(bool, format_data_dir, false,
          "write the identity of this voter into its empty data folder, once, "
          "at the first install of the cluster");

namespace {

using mimosastage::Daemon;
using mimosastage::LogEvent;
using mimosastage::LogSeverity;
using mimosastage::Settings;
using mimosastage::SettingsProblem;

constexpr int kExitBadSettings = 2;
constexpr const char* kProgram = "mimosastaged";
/// Name in log lines until the settings give the daemon's own.
constexpr const char* kUnknownDaemon = "unknown";

int PrintProblems(const std::vector<SettingsProblem>& problems) {
  for (const SettingsProblem& problem : problems) {
    std::cerr << problem.Message() << '\n';
  }
  return problems.empty() ? 0 : kExitBadSettings;
}

/// Logs all problems in one line, because a process leaves one line about its
/// end.
void LogRejectedSettings(const std::vector<SettingsProblem>& problems,
                         const std::string& daemon, const std::string& file) {
  std::string text;
  for (const SettingsProblem& problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.Message();
  }
  const mimosastage::JsonLogging logging(kProgram, daemon, {});
  mimosastage::LogRefusedStart(mimosastage::events::kSettingsRejected, text,
                               file, kExitBadSettings);
}

int FormatDataFolder(const Settings& settings) {
  if (!settings.Self().voter) {
    std::cerr << "daemon " << settings.daemon
              << " isn't a voter and has no data folder to format\n";
    return kExitBadSettings;
  }
  const auto formatted = mimosastage::DataFolder::Format(
      settings.data_dir, settings.cluster, settings.self);
  if (!formatted.has_value()) {
    std::cerr << settings.data_dir << ": " << formatted.error().message()
              << '\n';
    return kExitBadSettings;
  }
  std::cout << settings.data_dir << " is formatted for daemon "
            << settings.daemon << " of cluster " << settings.cluster << '\n';
  return 0;
}

/// Blocks the stop signals in all threads, so that one thread receives them
/// with sigwait and no signal handler interrupts other code.
void BlockStopSignals(sigset_t& signals) {
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file size limit then fails with EFBIG, and the daemon
  // ends with the exit status and the line of a failed disk.
  std::signal(SIGXFSZ, SIG_IGN);
}

void ForwardStopSignals(const sigset_t& signals, Daemon& daemon) {
  while (true) {
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.RequestStop();
  }
}

int Run(const Settings& settings, const std::string& file) {
  sigset_t signals;
  BlockStopSignals(signals);
  const std::vector<std::string> secrets{settings.link_key.Reveal(),
                                         settings.operator_key.Reveal(),
                                         settings.platform_key.Reveal()};
  const mimosastage::JsonLogging logging(kProgram, settings.daemon, secrets);
  mimosastage::InstallFatalLog({settings.daemon, secrets, STDERR_FILENO});
  // Static, because the detached signal thread may still use it when main
  // returns.
  static Daemon daemon(settings);
  if (const std::string problem = daemon.Start(); !problem.empty()) {
    mimosastage::LogRefusedStart(mimosastage::events::kListenerFailed, problem,
                                 file, kExitBadSettings);
    return kExitBadSettings;
  }
  LogEvent(LogSeverity::kInfo, mimosastage::events::kDaemonStarted,
           "daemon has started")
      .With("cluster", settings.cluster)
      .With("callers", settings.callers_listen.str())
      .With("operators", settings.operators_listen.str());
  std::thread([signals] {
    const mimosastage::ThreadDuty duty("signals");
    ForwardStopSignals(signals, daemon);
  }).detach();
  return daemon.Wait();
}

}  // namespace

int main(int argc, char** argv) {
  mimosastage::MapLargeBlocks();
  const mimosastage::ThreadDuty duty("main");
  mimosastage::InstallFatalLog({kUnknownDaemon, {}, STDERR_FILENO});
  absl::SetProgramUsageMessage(
      "The mimosastage daemon. mimosastaged --settings=FILE "
      "[--check_settings | --format_data_dir]");
  absl::ParseCommandLine(argc, argv);
  const std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) {
    const mimosastage::JsonLogging logging(kProgram, kUnknownDaemon, {});
    mimosastage::LogRefusedStart(mimosastage::events::kSettingsRejected,
                                 "no settings; give --settings=FILE", file,
                                 kExitBadSettings);
    return kExitBadSettings;
  }
  mimosastage::SettingsResult load = mimosastage::LoadSettings(file);
  const bool starts = !absl::GetFlag(FLAGS_format_data_dir) &&
                      !absl::GetFlag(FLAGS_check_settings);
  if (!load.settings.has_value()) {
    if (!starts) {
      return PrintProblems(load.problems);
    }
    LogRejectedSettings(load.problems, kUnknownDaemon, file);
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_format_data_dir)) {
    return FormatDataFolder(*load.settings);
  }
  const std::vector<SettingsProblem> problems =
      mimosastage::CheckEnvironment(*load.settings, file);
  if (starts && !problems.empty()) {
    LogRejectedSettings(problems, load.settings->daemon, file);
    return kExitBadSettings;
  }
  if (!starts) {
    if (problems.empty()) {
      std::cout << file << " is valid\n";
    }
    return PrintProblems(problems);
  }
  return Run(*load.settings, file);
}
