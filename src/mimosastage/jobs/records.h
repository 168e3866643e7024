#ifndef MIMOSASTAGE_JOBS_RECORDS_H_
#define MIMOSASTAGE_JOBS_RECORDS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/jobs/internal/wire.h"

/// Records of jobs, workers and waves, as stored in the replicated log and sent
/// between daemons. internal/records.fbs defines the schema and the units.
namespace mimosastage::jobs {

using Amount = jobs_wire::AmountT;
using Step = jobs_wire::StepT;
using JobRequest = jobs_wire::JobT;
using Queue = jobs_wire::QueueT;
using Pool = jobs_wire::PoolT;
using Team = jobs_wire::TeamT;
using Configuration = jobs_wire::ConfigurationT;
using Worker = jobs_wire::WorkerT;
using WorkerGone = jobs_wire::WorkerGoneT;
using RunStart = jobs_wire::RunStartT;
using RunEnd = jobs_wire::RunEndT;
using Wave = jobs_wire::WaveT;
using WaveMachine = jobs_wire::WaveMachineT;
using InstanceOrder = jobs_wire::InstanceOrderT;
using CrashedRun = jobs_wire::CrashedRunT;
using WorkerCrash = jobs_wire::WorkerCrashT;
using CrashFinding = jobs_wire::CrashFindingT;
using RunSurvived = jobs_wire::RunSurvivedT;
using Evacuation = jobs_wire::EvacuationT;
using Command = jobs_wire::CommandT;
using Batch = jobs_wire::BatchT;
using Call = jobs_wire::CallT;
using Answer = jobs_wire::AnswerT;
using Leadership = jobs_wire::LeadershipT;
using Candidacy = jobs_wire::CandidacyT;
using GroupMember = jobs_wire::GroupMemberT;

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

/// Answer::phase of an answer that doesn't describe a job.
inline constexpr std::uint8_t kNoPhase = 255;

/// How a run ended.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not start in time.
  kGangIncomplete,
  /// The worker is gone, or never received the start order.
  kLost
};

enum class CallKind : std::uint8_t {
  kSubmit,
  kJobState,
  kCancel,
  kQueueLength,
  kConfigure,
  kReadConfiguration,
  kAnnounceWorker,
  kWorkerLeaves,
  kStartWave,
  kWaveState,
  kEvacuateZone,
  kWithdrawEvacuation,
  kReadEvacuations
};

enum class CallOutcome : std::uint8_t {
  kOk,
  kInvalid,
  kUnauthorised,
  /// No such queue.
  kNoQueue,
  /// No such job or wave.
  kGone,
  /// The same configuration version exists with different content.
  kConflict,
  /// Rejected because of load; nothing is stored.
  kOverloaded,
  /// Nothing was done; the caller may retry later or on another daemon.
  kUnavailable,
  /// It isn't known whether the call took effect.
  kUnknown
};

/// Identifies one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskId&) const = default;
};

/// Formats the id as "JOB.OCCURRENCE.STEP.INDEX".
std::string ToString(const TaskId& task);
/// Parses the format of ToString(TaskId); nullopt if `text` doesn't match it.
std::optional<TaskId> ParseTaskId(std::string_view text);

std::string EncodeBatch(const Batch& batch);
/// Returns nullopt if `bytes` isn't a complete, valid batch.
std::optional<Batch> DecodeBatch(std::string_view bytes);

std::string EncodeCall(const Call& call);
std::string EncodeAnswer(const Answer& answer);
std::string EncodeLeadership(const Leadership& leadership);
std::string EncodeCandidacy(const Candidacy& candidacy);
/// See carried_messages.h.
std::string EncodeBody(const jobs_wire::OrderBatchT& batch);
std::string EncodeBody(const jobs_wire::ReplyBatchT& batch);
std::string EncodeBody(const jobs_wire::CarrierNoticeT& notice);
/// Returns nullopt if `bytes` isn't a complete, valid message.
std::optional<jobs_wire::MessageT> DecodeMessage(std::string_view bytes);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_RECORDS_H_
