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

/// The occupant of a slot that is vacant.
inline constexpr DaemonId kNoVoter{0xffff};

using Member = LinkAddress;
inline Member VacantSlot() { return Member{kNoVoter, "", 0}; }

/// The voters of a group. The number of slots, and with it the size of a
/// quorum, never changes; one change fills or vacates one slot. A quorum before
/// a change and one after it then always share a voter.
struct Membership {
  /// Rises by one with each change; 0 is what the settings say.
  std::uint64_t version = 0;
  std::vector<Member> slots;

  /// False for kNoVoter.
  bool Contains(DaemonId daemon) const;
  /// The occupants, kNoVoter for a vacant slot.
  std::vector<DaemonId> Voters() const;
  bool operator==(const Membership&) const = default;
};

/// The membership of a first start: 2f + 1 slots to bear f losses, at least one
/// for each founder and an odd number, in the order of the ids, so that all
/// daemons agree on it. Vacant slots are filled later.
Membership FoundingMembership(std::vector<Member> founders, std::size_t losses);

/// True if `next` can follow `current`: its version is the next one, and one
/// slot at most was filled or vacated.
bool IsOneStep(const Membership& current, const Membership& next);

/// The log entry that puts a membership into force.
std::string EncodeMembership(const Membership& membership);
/// Nothing if `command` isn't such an entry.
std::optional<Membership> DecodeMembership(std::string_view command);

/// A snapshot of the state machine together with the membership at its index.
std::string WrapSnapshot(const Membership& membership, std::string_view state);
struct UnwrappedSnapshot {
  /// Nothing in a snapshot of a group whose membership never changed.
  std::optional<Membership> membership;
  std::string_view state;
};
UnwrappedSnapshot UnwrapSnapshot(std::string_view snapshot);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MEMBERSHIP_H_
