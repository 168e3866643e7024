#ifndef MIMOSASTAGE_REPLICATION_MEMBERSHIP_H_
#define MIMOSASTAGE_REPLICATION_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/link_address.h"

namespace mimosastage {

/// Placeholder id for the occupant of a vacant slot.
inline constexpr DaemonId kNoVoter{0xffff};

using Member = LinkAddress;
inline Member VacantSlot() { return Member{kNoVoter, "", 0}; }

/// The voters of a group. The number of slots, and with it the quorum size,
/// never changes, and each change fills or vacates one slot. Every quorum
/// before a change therefore overlaps with every quorum after it.
struct Membership {
  /// Incremented with each change; 0 for the membership from the settings.
  std::uint64_t version = 0;
  std::vector<Member> slots;

  /// False for kNoVoter.
  bool Contains(DaemonId daemon) const;
  /// The occupants in slot order, kNoVoter for a vacant slot.
  std::vector<DaemonId> Voters() const;
  /// False if two slots have the same daemon. Votes of one daemon would then
  /// count as those of two.
  bool HasDistinctVoters() const;
  bool operator==(const Membership&) const = default;
};

/// The membership of a first start. It has 2f + 1 slots to tolerate f losses,
/// or more if needed to give each founder a slot, and always an odd number. The
/// founders are sorted by id, so that all daemons compute the same membership.
/// A founder that is listed twice has one slot. Vacant slots are filled later.
Membership FoundingMembership(std::vector<Member> founders, std::size_t losses);

/// True if `next` is a valid successor of `current`: its version is the next
/// one, its voters are distinct, and at most one slot was filled or vacated.
bool IsValidSuccessor(const Membership& current, const Membership& next);

/// Encodes a membership as the command of a log entry. The membership takes
/// effect with that entry.
std::string EncodeMembership(const Membership& membership);
/// std::nullopt if `command` isn't an encoded membership, or if two of its
/// slots have the same daemon.
std::optional<Membership> DecodeMembership(std::string_view command);

/// Combines a snapshot of the state machine with the membership at its index.
std::string WrapSnapshot(const Membership& membership, std::string_view state);
struct UnwrappedSnapshot {
  /// std::nullopt for a snapshot of a group whose membership never changed, and
  /// for a membership in which two slots have the same daemon.
  std::optional<Membership> membership;
  std::string_view state;
};
UnwrappedSnapshot UnwrapSnapshot(std::string_view snapshot);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MEMBERSHIP_H_
