#include "mimosastage/storage/data_folder.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string_view>
#include <system_error>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/storage/internal/file_system.h"
#include "mimosastage/storage/internal/frame.h"
#include "mimosastage/storage/internal/identity.h"
#include "mimosastage/storage/internal/log_records.h"
#include "mimosastage/storage/internal/numbered_files.h"
#include "mimosastage/storage/internal/replace_file.h"
#include "mimosastage/storage/internal/snapshot_file.h"
#include "mimosastage/storage/internal/storage_failure.h"

namespace mimosastage {
namespace {

using internal::StorageFailure;

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
/// Exists while damaged files are set aside. Until all are, the rest can look
/// like an older state.
constexpr const char* kSetAsideMarker = "setting_aside";
constexpr std::string_view kSetAsideSuffix = ".damaged";
constexpr std::string_view kRemedy =
    "; check the disk, then move the folder's files away so that the voter "
    "recovers from the other voters";

/// Ignores the folder that mkfs creates in the root of a file system, so that
/// a data folder may be a mount point, and what an interrupted Format leaves.
bool CountsAsContent(const std::string& name) {
  return name != "lost+found" && !name.ends_with(internal::kTemporarySuffix);
}

bool IsEmpty(internal::FileSystem& file_system,
             const std::filesystem::path& folder) {
  const auto names = file_system.FileNames(folder);
  return std::none_of(names.begin(), names.end(), CountsAsContent);
}

[[noreturn]] void ThrowDamaged(const std::filesystem::path& path,
                               std::size_t offset, const std::string& found) {
  throw StorageFailure{StorageError::kDamaged,
                       path.string() + ": offset " + std::to_string(offset) +
                           ": " + found + std::string(kRemedy)};
}

/// Runs `action` and converts the exceptions of this package and of
/// the standard library to an error code and a `detail` text.
Result<void> CatchErrors(const std::function<void()>& action,
                         std::string& detail) {
  try {
    action();
    return {};
  } catch (const StorageFailure& failure) {
    detail = failure.detail;
    return make_error_code(failure.error);
  } catch (const std::system_error& failure) {
    detail = std::string(failure.what()) +
             "; check the disk and the folder's permissions";
    return make_error_code(StorageError::kInputOutput);
  }
}

}  // namespace

/// Implements DataFolder. Its functions throw StorageFailure and
/// filesystem_error.
class DataFolder::Files {
 public:
  Files(std::filesystem::path folder, std::string cluster_id, DaemonId voter,
        internal::FileSystem& file_system)
      : file_system(file_system),
        folder(std::move(folder)),
        cluster_id(std::move(cluster_id)),
        voter(voter),
        checksum_seed(internal::Checksum(this->cluster_id,
                                         static_cast<std::uint64_t>(voter))) {}

  DurableImage Open();
  void Write(const DurableWrite& write);
  void Sync();
  void SetDamagedFilesAside();

  std::string open_report;

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::filesystem::path path;
    /// Highest index of the log entries in the segment.
    LogIndex last_index = 0;
  };

  void Lock();
  internal::Identity ReadOrCreateIdentity();
  /// Throws kForeignFolder unless the folder belongs to this voter.
  void CheckOwner(const internal::Identity& identity) const;
  [[noreturn]] void ThrowNoIdentity() const;
  void RemoveTemporaryFiles();
  void ReadSegments(internal::LogContent& content);
  void ReadSegment(Segment& segment, bool is_newest,
                   internal::LogContent& content);
  void TruncateTornTail(const Segment& segment, std::string_view bytes,
                        std::size_t offset);
  /// Makes durable what Open has read, so that later files may rely on it.
  void SyncFilesRead();
  void RaiseIncarnation(internal::Identity& identity);
  void StartSegment();
  void StoreSnapshot(const DurableWrite& write);
  void RemoveObsoleteFiles();

  internal::FileSystem& file_system;
  std::filesystem::path folder;
  std::string cluster_id;
  DaemonId voter;
  std::uint64_t checksum_seed;
  std::unique_ptr<internal::FolderLock> lock;
  internal::LogState state;
  std::deque<Segment> segments;
  std::unique_ptr<internal::OpenFile> newest_segment;
  bool folder_changed = false;
  std::uint64_t next_sequence = 1;
  internal::LogRecordWriter records;
};

DurableImage DataFolder::Files::Open() {
  this->Lock();
  internal::Identity identity = this->ReadOrCreateIdentity();
  if (this->file_system.Exists(this->folder / kSetAsideMarker)) {
    ThrowDamaged(this->folder / kSetAsideMarker, 0,
                 "damaged files weren't all set aside");
  }
  this->RemoveTemporaryFiles();
  internal::LogContent content;
  content.state.intact = identity.formatted;
  this->ReadSegments(content);
  // Each start is synced to the log before the identity file is written, so the
  // log is behind the identity only if records were lost.
  const Incarnation latest =
      content.state.starts.empty() ? 0 : content.state.starts.back();
  if (latest < identity.incarnation) {
    ThrowDamaged(this->folder, 0, "the newest log records are missing");
  }
  auto snapshot = internal::ReadNewestSnapshot(this->file_system, this->folder,
                                               this->checksum_seed);
  const LogIndex newest_snapshot = snapshot.has_value() ? snapshot->index : 0;
  if (newest_snapshot < content.state.snapshot_index) {
    ThrowDamaged(this->folder, 0,
                 "the snapshot at index " +
                     std::to_string(content.state.snapshot_index) +
                     " is missing");
  }
  if (snapshot.has_value()) {
    content.CompactThrough(snapshot->index, snapshot->view);
  }
  if (!content.IsContiguous()) {
    ThrowDamaged(this->folder, 0,
                 "entries before index " + std::to_string(content.first_index) +
                     " are missing");
  }
  this->state = content.state;
  this->SyncFilesRead();
  this->RaiseIncarnation(identity);
  DurableImage image;
  image.intact = this->state.intact;
  image.incarnation = identity.incarnation;
  image.starts = this->state.starts;
  image.view = this->state.view;
  image.last_normal_view = this->state.last_normal_view;
  image.snapshot_index = this->state.snapshot_index;
  image.snapshot_view = this->state.snapshot_view;
  if (snapshot.has_value()) {
    image.snapshot = std::move(snapshot->bytes);
  }
  image.entries = std::move(content.entries);
  image.incarnations = {this->state.incarnations.begin(),
                        this->state.incarnations.end()};
  return image;
}

void DataFolder::Files::Lock() {
  this->file_system.CreateFolder(this->folder);
  this->lock = this->file_system.LockFolder(this->folder);
}

void DataFolder::Files::SetDamagedFilesAside() {
  this->Lock();
  auto identity = internal::ReadIdentity(this->file_system, this->folder);
  if (!identity.has_value()) {
    this->ThrowNoIdentity();
  }
  this->CheckOwner(*identity);
  const bool resumed = this->file_system.Exists(this->folder / kSetAsideMarker);
  if (!resumed) {
    internal::ReplaceFile(this->file_system, this->folder, kSetAsideMarker, "");
  }
  for (const std::string& name : this->file_system.FileNames(this->folder)) {
    if (name.ends_with(kSetAsideSuffix)) {
      if (!resumed) {
        this->file_system.Remove(this->folder / name);
      }
    } else if (name.starts_with(kSegmentPrefix) ||
               name.starts_with(kSnapshotPrefix)) {
      this->file_system.Rename(
          this->folder / name,
          this->folder / (name + std::string(kSetAsideSuffix)));
    }
  }
  this->file_system.SyncFolder(this->folder);
  identity->formatted = false;
  identity->incarnation = 0;
  internal::WriteIdentity(this->file_system, this->folder, *identity);
  this->file_system.Remove(this->folder / kSetAsideMarker);
  this->file_system.SyncFolder(this->folder);
}

void DataFolder::Files::CheckOwner(const internal::Identity& identity) const {
  const bool own = identity.voter == this->voter ||
                   identity.voter == LegacyDaemonId(this->voter);
  if (identity.cluster_id == this->cluster_id && own) {
    return;
  }
  throw StorageFailure{
      StorageError::kForeignFolder,
      this->folder.string() + ": belongs to voter " +
          DaemonIdText(identity.voter) + " of cluster '" + identity.cluster_id +
          "'; correct the setting, or move the folder's files away so that "
          "the voter recovers from the other voters"};
}

void DataFolder::Files::ThrowNoIdentity() const {
  throw StorageFailure{
      StorageError::kForeignFolder,
      this->folder.string() +
          ": has files but no identity file; correct the setting, or move "
          "the folder's files away so that the voter recovers from the "
          "other voters"};
}

internal::Identity DataFolder::Files::ReadOrCreateIdentity() {
  if (auto identity = internal::ReadIdentity(this->file_system, this->folder)) {
    this->CheckOwner(*identity);
    // A folder of an earlier release keeps its identity, because the checksums
    // of all its files depend on it.
    this->checksum_seed = internal::Checksum(
        this->cluster_id, static_cast<std::uint64_t>(identity->voter));
    return *identity;
  }
  this->RemoveTemporaryFiles();
  if (!IsEmpty(this->file_system, this->folder)) {
    this->ThrowNoIdentity();
  }
  internal::Identity unformatted{this->cluster_id, this->voter, false, 0};
  internal::WriteIdentity(this->file_system, this->folder, unformatted);
  this->open_report +=
      this->folder.string() +
      ": was empty; the voter recovers from the other voters. ";
  return unformatted;
}

void DataFolder::Files::RemoveTemporaryFiles() {
  for (const std::string& name : this->file_system.FileNames(this->folder)) {
    if (name.ends_with(internal::kTemporarySuffix)) {
      this->file_system.Remove(this->folder / name);
    }
  }
}

void DataFolder::Files::ReadSegments(internal::LogContent& content) {
  for (const auto& [number, path] : internal::NumberedFiles(
           this->file_system, this->folder, kSegmentPrefix)) {
    this->segments.push_back(Segment{number, path, 0});
  }
  for (Segment& segment : this->segments) {
    const bool is_newest = segment.number == this->segments.back().number;
    this->ReadSegment(segment, is_newest, content);
  }
  if (!this->segments.empty()) {
    this->newest_segment =
        this->file_system.OpenForAppend(this->segments.back().path);
  }
}

void DataFolder::Files::ReadSegment(Segment& segment, bool is_newest,
                                    internal::LogContent& content) {
  const std::string bytes = this->file_system.ReadWholeFile(segment.path);
  const std::uint64_t segment_seed = this->checksum_seed ^ segment.number;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const auto frame = internal::FrameAt(bytes, offset, segment_seed);
    if (!frame.has_value()) {
      if (!is_newest ||
          internal::FindFrameAfter(bytes, offset, segment_seed).has_value()) {
        ThrowDamaged(segment.path, offset,
                     "the record's checksum doesn't match");
      }
      this->TruncateTornTail(segment, bytes, offset);
      return;
    }
    const bool first = this->next_sequence == 1;
    if (!first && frame->sequence != this->next_sequence) {
      ThrowDamaged(segment.path, offset,
                   "found sequence number " + std::to_string(frame->sequence) +
                       ", expected " + std::to_string(this->next_sequence));
    }
    if (!content.Apply(frame->payload)) {
      throw StorageFailure{
          StorageError::kUnknownRecord,
          segment.path.string() + ": offset " + std::to_string(offset) +
              ": the record's checksum matches, but it can't be read; install "
              "the release that wrote it"};
    }
    segment.last_index = std::max(segment.last_index, content.LastIndex());
    this->next_sequence = frame->sequence + 1;
    offset += frame->size;
  }
}

void DataFolder::Files::TruncateTornTail(const Segment& segment,
                                         std::string_view bytes,
                                         std::size_t offset) {
  this->open_report += segment.path.string() + ": truncated a torn record of " +
                       std::to_string(bytes.size() - offset) +
                       " bytes at offset " + std::to_string(offset) +
                       "; its writes were never acknowledged. ";
  const auto file = this->file_system.OpenForAppend(segment.path);
  file->Truncate(offset);
  file->Sync();
}

void DataFolder::Files::SyncFilesRead() {
  // A killed process may have left an unsynced record. If another one followed
  // it in the same file, a loss of power could tear only the earlier one.
  if (this->newest_segment != nullptr) {
    this->newest_segment->Sync();
  }
  // A killed process may also have left names that aren't synced. The record
  // written next names the newest snapshot, whose name must not be lost then.
  this->file_system.SyncFolder(this->folder);
}

void DataFolder::Files::RaiseIncarnation(internal::Identity& identity) {
  std::random_device random;
  identity.incarnation = AddStart(this->state.starts, random());
  this->records.State(this->state);
  this->Sync();
  internal::WriteIdentity(this->file_system, this->folder, identity);
}

void DataFolder::Files::Write(const DurableWrite& write) {
  if (write.snapshot.has_value()) {
    this->StoreSnapshot(write);
  }
  if (write.view.has_value()) {
    this->state.view = *write.view;
    this->records.View(*write.view);
  }
  if (write.truncate_from.has_value()) {
    this->records.Truncate(*write.truncate_from);
  }
  for (const LogEntry& entry : write.entries) {
    this->records.Entry(entry);
    Segment& segment = this->segments.back();
    segment.last_index = std::max(segment.last_index, entry.index);
  }
  if (write.last_normal_view.has_value()) {
    this->state.last_normal_view = *write.last_normal_view;
    this->records.LastNormalView(*write.last_normal_view);
  }
  for (const auto& [daemon, incarnation] : write.incarnations) {
    if (daemon == this->voter) {
      this->state.starts = {incarnation};
      this->records.Starts(this->state.starts);
    } else {
      this->state.incarnations[daemon] = incarnation;
      this->records.KnownIncarnation(daemon, incarnation);
    }
  }
  if (write.intact.has_value()) {
    this->state.intact = *write.intact;
    this->records.Intact(*write.intact);
  }
}

void DataFolder::Files::StoreSnapshot(const DurableWrite& write) {
  this->Sync();
  internal::WriteSnapshot(
      this->file_system, this->folder, this->checksum_seed,
      {write.snapshot_index, write.snapshot_view, *write.snapshot});
  this->state.snapshot_index = write.snapshot_index;
  this->state.snapshot_view = write.snapshot_view;
  this->StartSegment();
  this->records.State(this->state);
}

void DataFolder::Files::StartSegment() {
  const std::uint64_t number =
      this->segments.empty() ? 1 : this->segments.back().number + 1;
  const std::filesystem::path path =
      this->folder / internal::NumberedName(kSegmentPrefix, number);
  this->newest_segment = this->file_system.CreateEmpty(path);
  this->segments.push_back(Segment{number, path, 0});
  this->folder_changed = true;
}

void DataFolder::Files::Sync() {
  if (this->records.Empty()) {
    return;
  }
  if (this->segments.empty()) {
    this->StartSegment();
  }
  this->newest_segment->Write(
      internal::EncodeFrame(this->checksum_seed ^ this->segments.back().number,
                            this->next_sequence, this->records.Take()));
  ++this->next_sequence;
  this->newest_segment->Sync();
  if (std::exchange(this->folder_changed, false)) {
    this->file_system.SyncFolder(this->folder);
    this->RemoveObsoleteFiles();
  }
}

void DataFolder::Files::RemoveObsoleteFiles() {
  internal::RemoveSnapshotsBefore(this->file_system, this->folder,
                                  this->state.snapshot_index);
  bool removed = false;
  while (this->segments.size() > 1 &&
         this->segments.front().last_index <= this->state.snapshot_index) {
    if (removed) {
      // After a loss of power each removed file may return independently. If
      // only an older one returned, the log would have a gap.
      this->file_system.SyncFolder(this->folder);
    }
    this->file_system.Remove(this->segments.front().path);
    this->segments.pop_front();
    removed = true;
  }
}

Result<void> DataFolder::Format(const std::filesystem::path& folder,
                                const std::string& cluster_id, DaemonId voter,
                                internal::FileSystem& file_system) {
  std::string detail;
  return CatchErrors(
      [&] {
        file_system.CreateFolder(folder);
        if (!IsEmpty(file_system, folder)) {
          throw StorageFailure{StorageError::kNotEmpty, folder.string()};
        }
        internal::WriteIdentity(file_system, folder,
                                {cluster_id, voter, true, 0});
      },
      detail);
}

DataFolder::DataFolder(std::filesystem::path folder, std::string cluster_id,
                       DaemonId voter, internal::FileSystem& file_system)
    : files(std::make_unique<Files>(std::move(folder), std::move(cluster_id),
                                    voter, file_system)) {}

DataFolder::~DataFolder() = default;

Result<DurableImage> DataFolder::Open() {
  DurableImage image;
  this->failed = false;
  if (auto result = this->RunUnlessFailed([&] { image = this->files->Open(); });
      result.has_error()) {
    return result.error();
  }
  return image;
}

Result<void> DataFolder::SetDamagedFilesAside() {
  return CatchErrors([this] { this->files->SetDamagedFilesAside(); },
                     this->error_detail);
}

Result<void> DataFolder::Write(const DurableWrite& write) {
  return this->RunUnlessFailed([&] { this->files->Write(write); });
}

Result<void> DataFolder::Sync() {
  return this->RunUnlessFailed([&] { this->files->Sync(); });
}

Result<void> DataFolder::RunUnlessFailed(const std::function<void()>& action) {
  if (this->failed) {
    return make_error_code(StorageError::kInputOutput);
  }
  auto result = CatchErrors(action, this->error_detail);
  this->failed = result.has_error();
  return result;
}

const std::string& DataFolder::ErrorDetail() const {
  return this->error_detail;
}

const std::string& DataFolder::OpenReport() const {
  return this->files->open_report;
}

}  // namespace mimosastage
