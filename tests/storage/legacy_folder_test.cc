#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/replication/replica.h"
#include "mimosastage/storage/data_folder.h"

namespace mimosastage {
namespace {

namespace fs = std::filesystem;

const std::string kCluster = "mimosastage";

/// The files of a voter at 10.1.0.19, written by commit 324b2b8, whose daemon
/// ids were hashes of 15 bits. The snapshot has version 1 of the membership,
/// with 10.2.0.18 and 10.3.0.28, and the state "state". The log has entry 3
/// with version 2, without 10.2.0.18, and entry 4, "second".
constexpr std::string_view kIdentity =
    "4d5353490100bf6101909dce01000000000b0000006d696d6f73617374616765116a8c48d9"
    "d4088c";
constexpr std::string_view kLog =
    "4d53474c46000000967d6b8268afbd99030000000000000001050000000000000002050000"
    "00000000000301040100909dce010000000005240a460000000000000005a62a5000000000"
    "00000006020000000000000004000000000000004d53474cca00000040ed581a9efe6f1a04"
    "0000000000000008030000000000000005000000000000009a000000ffff4d454d42900000"
    "00100000000000000008001400080004000800000010000000020000000000000000000000"
    "03000000540000002c00000004000000e6ffffffbf61581b040000000900000031302e312e"
    "302e3139000a000c000400080006000a000000a62a581b040000000900000031302e332e30"
    "2e323800000008000c0006000800080000000000ffff040000000000000000000000080400"
    "0000000000000500000000000000060000007365636f6e64";
constexpr std::string_view kSnapshot =
    "4d53474ca700000044873b252934c48402000000000000000400000000000000ffff534e41"
    "50900000001000000000000000080014000800040008000000100000000100000000000000"
    "00000000030000004c0000002400000004000000caffffffbf61581b040000000900000031"
    "302e312e302e3139000000e6ffffffa62a581b040000000900000031302e332e302e323800"
    "0a000c000400080006000a000000240a581b040000000900000031302e322e302e31380000"
    "007374617465";
/// A log entry of such a release with the voters 10.1.0.19, 10.2.0.18 and
/// 10.3.0.39. The first and the last have the same id.
constexpr std::string_view kEntryWithEqualIds =
    "ffff4d454d4290000000100000000000000008001400080004000800000010000000010000"
    "000000000000000000030000004c0000002400000004000000caffffffbf61581b04000000"
    "0900000031302e332e302e3339000000e6ffffffbf61581b040000000900000031302e312e"
    "302e3139000a000c000400080006000a000000240a581b040000000900000031302e322e30"
    "2e3138000000";

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(
        std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

Member At(const std::string& ip) {
  return Member{*DaemonIdFromAddress(ip, 7000), ip, 7000};
}

class LegacyFolderTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string name = (fs::temp_directory_path() / "legacy_folder_XXXXXX");
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    this->folder = name;
    this->Write("identity", kIdentity);
    this->Write("log-00000000000000000002", kLog);
    this->Write("snapshot-00000000000000000002", kSnapshot);
  }

  void TearDown() override { fs::remove_all(this->folder); }

  void Write(const std::string& file, std::string_view hex) const {
    std::ofstream(this->folder / file, std::ios::binary) << FromHex(hex);
  }

  /// Opens the folder as the voter at `ip`.
  Result<DurableImage> Open(const std::string& ip) const {
    DataFolder data(this->folder, kCluster, At(ip).daemon);
    return data.Open();
  }

  fs::path folder;
};

// Guards against an upgrade after which a voter can't read its folder, or
// doesn't find itself among the voters.
TEST_F(LegacyFolderTest, Open_FolderOfEarlierRelease_IsReadWithCurrentIds) {
  // The second time, the folder also has a record of this release.
  for (int start = 1; start <= 2; ++start) {
    const auto image = this->Open("10.1.0.19");
    ASSERT_TRUE(image.has_value());
    EXPECT_TRUE(image->intact);
    EXPECT_EQ(image->view, 5U);
    EXPECT_EQ(image->starts.size(), 1U + static_cast<std::size_t>(start));
    const auto snapshot = UnwrapSnapshot(*image->snapshot);
    EXPECT_EQ(snapshot.state, "state");
    ASSERT_TRUE(snapshot.membership.has_value());
    EXPECT_EQ(snapshot.membership->version, 1U);
    for (const char* ip : {"10.1.0.19", "10.2.0.18", "10.3.0.28"}) {
      EXPECT_TRUE(snapshot.membership->Contains(At(ip).daemon)) << ip;
    }
    ASSERT_EQ(image->entries.size(), 2U);
    const auto logged = DecodeMembership(image->entries[0].command);
    ASSERT_TRUE(logged.has_value());
    EXPECT_TRUE(logged->Contains(At("10.1.0.19").daemon));
    EXPECT_FALSE(logged->Contains(At("10.2.0.18").daemon));
    EXPECT_EQ(image->entries[1].command, "second");
  }
}

// Guards against an old copy of another voter's disk that goes unnoticed after
// the upgrade, because the recorded incarnations are under legacy ids.
TEST_F(LegacyFolderTest, Recovery_IncarnationOfEarlierRelease_IsKnown) {
  const Member self = At("10.1.0.19");
  const Member other = At("10.3.0.28");
  auto image = this->Open(self.address);
  ASSERT_TRUE(image.has_value());
  ReplicaConfig config;
  config.self = self.daemon;
  config.voters = {self.daemon, At("10.2.0.18").daemon, other.daemon};
  std::vector<RecoveryResponse> responses;
  Replica::Hooks hooks;
  hooks.send = [&](DaemonId to, const ReplicationMessage& message) {
    const auto* response = std::get_if<RecoveryResponse>(&message);
    if (to == other.daemon && response != nullptr) {
      responses.push_back(*response);
    }
  };
  hooks.persist = [](const DurableWrite&) {};
  hooks.apply = [](LogIndex, const std::string&) {};
  hooks.install_snapshot = [](const std::string&) {};
  hooks.take_snapshot = [] { return std::string(); };
  Replica replica(config, hooks);
  const TimePoint now{std::chrono::seconds(1)};
  replica.Start(*std::move(image), now);
  // The folder has recorded incarnation 80 of this voter.
  replica.Handle(other.daemon, Recovery{1, 75, true, {75}}, now);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].known_incarnation, 80U);
}

TEST_F(LegacyFolderTest, Open_FolderOfAnotherVoter_IsRefused) {
  const auto image = this->Open("10.2.0.18");
  ASSERT_FALSE(image.has_value());
  EXPECT_EQ(image.error(), StorageError::kForeignFolder);
}

// Guards against two voters that stay one after the upgrade.
TEST_F(LegacyFolderTest, Decode_TwoVotersWithOneLegacyId_AreToldApart) {
  const auto membership = DecodeMembership(FromHex(kEntryWithEqualIds));
  ASSERT_TRUE(membership.has_value());
  ASSERT_EQ(membership->slots.size(), 3U);
  for (const char* ip : {"10.1.0.19", "10.2.0.18", "10.3.0.39"}) {
    EXPECT_EQ(
        std::count(membership->slots.begin(), membership->slots.end(), At(ip)),
        1)
        << ip;
  }
}

}  // namespace
}  // namespace mimosastage
