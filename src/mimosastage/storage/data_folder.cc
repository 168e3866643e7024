#include "mimosastage/storage/data_folder.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include "mimosastage/storage/internal/file.h"
#include "mimosastage/storage/internal/frame.h"
#include "mimosastage/storage/internal/identity.h"
#include "mimosastage/storage/internal/log_records.h"
#include "mimosastage/storage/internal/numbered_files.h"
#include "mimosastage/storage/internal/snapshot_file.h"

namespace mimosastage {
namespace {

using internal::StorageFailure;

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kRemedy =
    "; check the disk, then move the folder's files away so that the voter "
    "recovers from the others";

/// A file system puts this folder into the root of a disk of its own.
bool IsForeign(const std::filesystem::path& name) {
  return name != "lost+found";
}

bool IsEmpty(const std::filesystem::path& folder) {
  const std::filesystem::directory_iterator items(folder);
  return std::none_of(begin(items), end(items), [](const auto& item) {
    return IsForeign(item.path().filename());
  });
}

[[noreturn]] void ThrowDamaged(const std::filesystem::path& path,
                               std::size_t offset, const std::string& found) {
  throw StorageFailure{StorageError::kDamaged,
                       path.string() + ": offset " + std::to_string(offset) +
                           ": " + found + std::string(kRemedy)};
}

/// Runs `action`; turns what it throws into an error code and its detail.
Result<void> Catch(const std::function<void()>& action, std::string& detail) {
  try {
    action();
    return {};
  } catch (const StorageFailure& failure) {
    detail = failure.detail;
    return make_error_code(failure.error);
  } catch (const std::filesystem::filesystem_error& failure) {
    detail = std::string(failure.what()) +
             "; check the disk and the folder's permissions";
    return make_error_code(StorageError::kInputOutput);
  }
}

}  // namespace

/// The open folder. Throws StorageFailure and filesystem_error.
class DataFolder::Files {
 public:
  Files(std::filesystem::path folder, std::string cluster_id, DaemonId voter)
      : folder(std::move(folder)),
        cluster_id(std::move(cluster_id)),
        voter(voter),
        salt(internal::Checksum(this->cluster_id,
                                static_cast<std::uint64_t>(voter))) {}

  DurableImage Open();
  void Write(const DurableWrite& write);
  void Sync();

  std::string report;

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::filesystem::path path;
    /// Highest index of an entry in it.
    LogIndex last_index = 0;
  };

  void Lock();
  internal::Identity ReadOrCreateIdentity();
  void RemoveTemporaryFiles();
  void ReadSegments(internal::LogContent& content);
  void ReadSegment(Segment& segment, bool newest,
                   internal::LogContent& content);
  void CutTail(const Segment& segment, std::string_view bytes,
               std::size_t offset);
  void RaiseIncarnation(internal::Identity& identity);
  void StartSegment();
  void StoreSnapshot(const DurableWrite& write);
  void RemoveReplaced();

  std::filesystem::path folder;
  std::string cluster_id;
  DaemonId voter;
  std::uint64_t salt;
  internal::File lock;
  internal::LogState state;
  std::deque<Segment> segments;
  internal::File newest;
  bool folder_changed = false;
  std::uint64_t next_sequence = 1;
  internal::LogRecordWriter records;
};

DurableImage DataFolder::Files::Open() {
  this->Lock();
  internal::Identity identity = this->ReadOrCreateIdentity();
  this->RemoveTemporaryFiles();
  internal::LogContent content;
  content.state.intact = identity.formatted;
  this->ReadSegments(content);
  // Each start is recorded in the log before it is in the identity.
  const Incarnation latest =
      content.state.starts.empty() ? 0 : content.state.starts.back();
  if (latest < identity.incarnation) {
    ThrowDamaged(this->folder, 0, "the newest log records are missing");
  }
  auto snapshot = internal::ReadNewestSnapshot(this->folder, this->salt);
  const LogIndex newest_snapshot = snapshot.has_value() ? snapshot->index : 0;
  if (newest_snapshot < content.state.snapshot_index) {
    ThrowDamaged(this->folder, 0,
                 "the snapshot at index " +
                     std::to_string(content.state.snapshot_index) +
                     " is missing");
  }
  if (snapshot.has_value()) {
    content.ReplaceThrough(snapshot->index, snapshot->view);
  }
  if (!content.Complete()) {
    ThrowDamaged(this->folder, 0,
                 "entries before index " + std::to_string(content.first) +
                     " are missing");
  }
  this->state = content.state;
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
  std::filesystem::create_directories(this->folder);
  this->lock = internal::File::OpenFolder(this->folder);
  this->lock.Lock();
}

internal::Identity DataFolder::Files::ReadOrCreateIdentity() {
  if (auto identity = internal::ReadIdentity(this->folder)) {
    if (identity->cluster_id != this->cluster_id ||
        identity->voter != this->voter) {
      throw StorageFailure{
          StorageError::kForeignFolder,
          this->folder.string() + ": belongs to voter " +
              std::to_string(static_cast<unsigned>(identity->voter)) +
              " of cluster '" + identity->cluster_id +
              "'; correct the setting, or move the folder's files away so that "
              "the voter recovers from the others"};
    }
    return *identity;
  }
  this->RemoveTemporaryFiles();
  if (!IsEmpty(this->folder)) {
    throw StorageFailure{
        StorageError::kForeignFolder,
        this->folder.string() +
            ": isn't empty and has no identity; correct the setting, or move "
            "the folder's files away so that the voter recovers from the "
            "others"};
  }
  internal::Identity lost{this->cluster_id, this->voter, false, 0};
  internal::WriteIdentity(this->folder, lost);
  this->report += this->folder.string() +
                  ": was empty; the voter recovers from the others. ";
  return lost;
}

void DataFolder::Files::RemoveTemporaryFiles() {
  for (const auto& item : std::filesystem::directory_iterator(this->folder)) {
    if (item.path().extension() == internal::kTemporary) {
      std::filesystem::remove(item.path());
    }
  }
}

void DataFolder::Files::ReadSegments(internal::LogContent& content) {
  for (const auto& [number, path] :
       internal::NumberedFiles(this->folder, kSegmentPrefix)) {
    this->segments.push_back(Segment{number, path, 0});
  }
  for (Segment& segment : this->segments) {
    const bool newest = segment.number == this->segments.back().number;
    this->ReadSegment(segment, newest, content);
  }
  if (!this->segments.empty()) {
    this->newest = internal::File::OpenForAppend(this->segments.back().path);
  }
}

void DataFolder::Files::ReadSegment(Segment& segment, bool newest,
                                    internal::LogContent& content) {
  const std::string bytes = internal::ReadWholeFile(segment.path);
  const std::uint64_t segment_salt = this->salt ^ segment.number;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const auto frame = internal::FrameAt(bytes, offset, segment_salt);
    if (!frame.has_value()) {
      if (!newest ||
          internal::FindFrameAfter(bytes, offset, segment_salt).has_value()) {
        ThrowDamaged(segment.path, offset,
                     "the record's checksum doesn't match");
      }
      this->CutTail(segment, bytes, offset);
      return;
    }
    const bool first = this->next_sequence == 1;
    if (!first && frame->sequence != this->next_sequence) {
      ThrowDamaged(segment.path, offset,
                   "found record " + std::to_string(frame->sequence) +
                       " in place of " + std::to_string(this->next_sequence));
    }
    if (!content.Apply(frame->payload)) {
      ThrowDamaged(segment.path, offset, "the record can't be read");
    }
    segment.last_index = std::max(segment.last_index, content.End());
    this->next_sequence = frame->sequence + 1;
    offset += frame->size;
  }
}

void DataFolder::Files::CutTail(const Segment& segment, std::string_view bytes,
                                std::size_t offset) {
  this->report += segment.path.string() + ": cut off a torn record of " +
                  std::to_string(bytes.size() - offset) + " bytes at offset " +
                  std::to_string(offset) + "; it was never acknowledged. ";
  internal::File file = internal::File::OpenForAppend(segment.path);
  file.Truncate(offset);
  file.Sync();
}

void DataFolder::Files::RaiseIncarnation(internal::Identity& identity) {
  std::random_device random;
  identity.incarnation = AddStart(this->state.starts, random());
  this->records.State(this->state);
  this->Sync();
  internal::WriteIdentity(this->folder, identity);
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
      this->folder, this->salt,
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
  this->newest = internal::File::CreateEmpty(path);
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
  this->newest.Write(
      internal::EncodeFrame(this->salt ^ this->segments.back().number,
                            this->next_sequence, this->records.Take()));
  ++this->next_sequence;
  this->newest.Sync();
  if (std::exchange(this->folder_changed, false)) {
    internal::SyncFolder(this->folder);
    this->RemoveReplaced();
  }
}

void DataFolder::Files::RemoveReplaced() {
  internal::RemoveSnapshotsBefore(this->folder, this->state.snapshot_index);
  while (this->segments.size() > 1 &&
         this->segments.front().last_index <= this->state.snapshot_index) {
    std::filesystem::remove(this->segments.front().path);
    this->segments.pop_front();
  }
}

Result<void> DataFolder::Format(const std::filesystem::path& folder,
                                const std::string& cluster_id, DaemonId voter) {
  std::string detail;
  return Catch(
      [&] {
        std::filesystem::create_directories(folder);
        if (!IsEmpty(folder)) {
          throw StorageFailure{StorageError::kNotEmpty, folder.string()};
        }
        internal::WriteIdentity(folder, {cluster_id, voter, true, 0});
      },
      detail);
}

DataFolder::DataFolder(std::filesystem::path folder, std::string cluster_id,
                       DaemonId voter)
    : files(std::make_unique<Files>(std::move(folder), std::move(cluster_id),
                                    voter)) {}

DataFolder::~DataFolder() = default;

Result<DurableImage> DataFolder::Open() {
  DurableImage image;
  this->failed = false;
  if (auto result = this->Guard([&] { image = this->files->Open(); });
      result.has_error()) {
    return result.error();
  }
  return image;
}

Result<void> DataFolder::Write(const DurableWrite& write) {
  return this->Guard([&] { this->files->Write(write); });
}

Result<void> DataFolder::Sync() {
  return this->Guard([&] { this->files->Sync(); });
}

Result<void> DataFolder::Guard(const std::function<void()>& action) {
  if (this->failed) {
    return make_error_code(StorageError::kInputOutput);
  }
  auto result = Catch(action, this->error_detail);
  this->failed = result.has_error();
  return result;
}

const std::string& DataFolder::ErrorDetail() const {
  return this->error_detail;
}

const std::string& DataFolder::Report() const { return this->files->report; }

}  // namespace mimosastage
