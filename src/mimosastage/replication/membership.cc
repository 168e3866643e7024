#include "mimosastage/replication/membership.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/replication/internal/wire.h"

namespace mimosastage {
namespace {

/// Prefixes of a log entry and a snapshot that contain a membership. No other
/// command or state starts with these bytes: read as the root offset of a
/// FlatBuffer, they point beyond the end of any buffer.
constexpr std::string_view kEntryMagic{"\xff\xffMEMB", 6};
constexpr std::string_view kSnapshotMagic{"\xff\xffSNAP", 6};
constexpr std::size_t kSizeBytes = 4;

std::string Pack(const Membership& membership) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::Member>> slots;
  slots.reserve(membership.slots.size());
  for (const Member& member : membership.slots) {
    const DaemonIdFields id = ToDaemonIdFields(member.daemon);
    slots.push_back(wire::CreateMember(builder, id.number,
                                       builder.CreateString(member.address),
                                       member.port, id.address_id));
  }
  builder.Finish(wire::CreateMembership(builder, membership.version,
                                        builder.CreateVector(slots)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// Returns the magic bytes, the size of the packed membership and the packed
/// membership.
std::string PackWithMagic(std::string_view magic,
                          const Membership& membership) {
  const std::string packed = Pack(membership);
  std::string bytes(magic);
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    bytes.push_back(static_cast<char>((packed.size() >> (8 * i)) & 0xffU));
  }
  return bytes + packed;
}

/// Returns the packed membership, or std::nullopt if `bytes` don't start with
/// the magic bytes and a complete membership.
std::optional<std::string_view> FindPacked(std::string_view magic,
                                           std::string_view bytes) {
  const std::size_t header = magic.size() + kSizeBytes;
  if (!bytes.starts_with(magic) || bytes.size() < header) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[magic.size() + i]);
    size |= static_cast<std::size_t>(byte) << (8 * i);
  }
  if (size > bytes.size() - header) {
    return std::nullopt;
  }
  return bytes.substr(header, size);
}

/// Reads a member. Replaces a legacy id by the id of the member's address, so
/// that two daemons whose legacy ids are equal are told apart.
Member ToMember(const wire::Member& row) {
  Member member{FromDaemonIdFields(row.daemon(), row.address_id()),
                row.address() == nullptr ? std::string() : row.address()->str(),
                row.port()};
  if (const auto current = DaemonIdFromAddress(member.address, member.port);
      current.has_value() && LegacyDaemonId(*current) == member.daemon) {
    member.daemon = *current;
  }
  return member;
}

std::optional<Membership> Unpack(std::string_view bytes) {
  // The bytes follow the magic bytes and may therefore be unaligned.
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!verifier.VerifyBuffer<wire::Membership>(nullptr)) {
    return std::nullopt;
  }
  const auto* table = flatbuffers::GetRoot<wire::Membership>(aligned.data());
  Membership membership;
  membership.version = table->version();
  if (table->slots() == nullptr) {
    return membership;
  }
  for (const wire::Member* row : *table->slots()) {
    membership.slots.push_back(ToMember(*row));
  }
  if (!membership.HasDistinctVoters()) {
    return std::nullopt;
  }
  return membership;
}

}  // namespace

bool Membership::Contains(DaemonId daemon) const {
  return daemon != kNoVoter &&
         std::any_of(
             this->slots.begin(), this->slots.end(),
             [&](const Member& member) { return member.daemon == daemon; });
}

std::vector<DaemonId> Membership::Voters() const {
  std::vector<DaemonId> voters;
  voters.reserve(this->slots.size());
  for (const Member& member : this->slots) {
    voters.push_back(member.daemon);
  }
  return voters;
}

bool Membership::HasDistinctVoters() const {
  std::vector<DaemonId> voters = this->Voters();
  std::erase(voters, kNoVoter);
  std::sort(voters.begin(), voters.end());
  return std::adjacent_find(voters.begin(), voters.end()) == voters.end();
}

Membership FoundingMembership(std::vector<Member> founders,
                              std::size_t losses) {
  Membership membership;
  membership.slots = std::move(founders);
  std::sort(
      membership.slots.begin(), membership.slots.end(),
      [](const Member& a, const Member& b) { return a.daemon < b.daemon; });
  membership.slots.erase(
      std::unique(membership.slots.begin(), membership.slots.end()),
      membership.slots.end());
  const std::size_t slots =
      std::max(membership.slots.size() | 1U, 2 * losses + 1);
  membership.slots.resize(slots, VacantSlot());
  return membership;
}

bool IsValidSuccessor(const Membership& current, const Membership& next) {
  if (next.version != current.version + 1 ||
      next.slots.size() != current.slots.size() || !next.HasDistinctVoters()) {
    return false;
  }
  std::size_t changed = 0;
  for (std::size_t i = 0; i < current.slots.size(); ++i) {
    const DaemonId before = current.slots[i].daemon;
    const DaemonId after = next.slots[i].daemon;
    if (before == after) {
      continue;
    }
    ++changed;
    const bool fills = before == kNoVoter && !current.Contains(after);
    if (!fills && after != kNoVoter) {
      return false;
    }
  }
  return changed <= 1;
}

std::string EncodeMembership(const Membership& membership) {
  return PackWithMagic(kEntryMagic, membership);
}

std::optional<Membership> DecodeMembership(std::string_view command) {
  const auto packed = FindPacked(kEntryMagic, command);
  return packed.has_value() ? Unpack(*packed) : std::nullopt;
}

std::string WrapSnapshot(const Membership& membership, std::string_view state) {
  return PackWithMagic(kSnapshotMagic, membership) + std::string(state);
}

UnwrappedSnapshot UnwrapSnapshot(std::string_view snapshot) {
  const auto packed = FindPacked(kSnapshotMagic, snapshot);
  if (!packed.has_value()) {
    return UnwrappedSnapshot{std::nullopt, snapshot};
  }
  return UnwrappedSnapshot{
      Unpack(*packed),
      snapshot.substr(kSnapshotMagic.size() + kSizeBytes + packed->size())};
}

}  // namespace mimosastage
