#include "tests/state/support/random_commands.h"

namespace mimosastage {

Row RandomCommands::RandomRow(TableKind table) {
  switch (table) {
    case TableKind::kRoutes: {
      Route route;
      route.name = RouteName(this->PickName("route-", 4));
      route.pool = PoolName(this->PickName("pool-", 4));
      route.open = this->OneIn(2);
      route.deadline = std::chrono::milliseconds(this->OneIn(8) ? 0 : 500);
      return route;
    }
    case TableKind::kPools: {
      Pool pool;
      pool.name = PoolName(this->PickName("pool-", 4));
      for (int i = 0; i < 6; ++i) {
        if (this->OneIn(3)) {
          pool.instances.emplace_back("worker-" + std::to_string(i));
        }
      }
      pool.availability_budget = static_cast<std::uint32_t>(
          this->Below(pool.instances.size() + (this->OneIn(8) ? 2 : 1)));
      return pool;
    }
    case TableKind::kTeams: {
      Team team;
      team.name =
          TeamName(this->OneIn(8) ? "not/a name" : this->PickName("team-", 4));
      team.share = this->OneIn(8) ? 0 : 1;
      team.upper_limit = static_cast<std::uint32_t>(1 + this->Below(9));
      return team;
    }
    case TableKind::kPolicy:
      break;
  }
  Policy policy;
  policy.retry_percent = static_cast<std::uint32_t>(this->Below(110));
  return policy;
}

TableChange RandomCommands::RandomChange() {
  TableChange change;
  change.table = static_cast<TableKind>(this->Below(4));
  for (auto rows = this->Below(3); rows > 0; --rows) {
    change.upserts.push_back(
        this->RandomRow(this->OneIn(20) ? static_cast<TableKind>(this->Below(4))
                                        : change.table));
  }
  if (this->OneIn(3)) {
    constexpr const char* kPrefixes[] = {"route-", "pool-", "team-", "def"};
    change.deletes.push_back(
        this->PickName(kPrefixes[static_cast<int>(change.table)], 4));
  }
  return change;
}

KeyGrant RandomCommands::RandomGrant() {
  KeyGrant grant;
  grant.key_id = this->PickName("key-", 6);
  grant.team = TeamName(this->PickName("team-", 4));
  grant.client = ClientName(this->PickName("client-", 3));
  return grant;
}

InstanceTransition RandomCommands::RandomTransition() {
  return {InstanceName(this->PickName("worker-", 7)),
          PoolName(this->PickName("pool-", 4)), this->Below(6),
          static_cast<InstanceState>(this->Below(5))};
}

Session RandomCommands::RandomSession() {
  return {static_cast<DaemonId>(this->Below(3)),
          static_cast<SessionId>(1 + this->Below(3))};
}

std::string RandomCommands::RandomString() {
  std::string bytes(this->Below(40), '\0');
  for (char& c : bytes) {
    c = static_cast<char>(this->random());
  }
  return bytes;
}

Command RandomCommands::RandomCommand() {
  const IntentKey key{TeamName(this->RandomString()), this->RandomString()};
  switch (this->Below(11)) {
    case 0: {
      TableChange change = this->RandomChange();
      change.change_id = this->RandomString();
      change.base_version = this->random();
      return change;
    }
    case 1: {
      KeyGrant grant = this->RandomGrant();
      grant.change_id = this->RandomString();
      for (auto& byte : grant.hash) {
        byte = static_cast<std::uint8_t>(this->random());
      }
      return grant;
    }
    case 2:
      return KeyRevoke{this->RandomString(), this->RandomString()};
    case 3:
      return SessionStart{this->RandomSession()};
    case 4:
      return SessionEnd{this->RandomSession()};
    case 5: {
      AllowanceMoves moves;
      moves.backend_server_slots.emplace_back(this->RandomString(), 8);
      for (auto count = this->Below(4); count > 0; --count) {
        moves.moves.push_back(
            {{static_cast<ResourceKind>(this->Below(2)), this->RandomString()},
             this->RandomSession(),
             static_cast<std::uint32_t>(this->Below(9)),
             this->random()});
      }
      return moves;
    }
    case 6:
      return IntentBegin{key, this->RandomSession(), this->random(),
                         WallTime(this->Below(1'000'000))};
    case 7:
      return IntentEnd{
          key,
          this->RandomSession(),
          static_cast<IntentOutcome>(this->Below(3)),
          {200, "text/plain", this->RandomString(), this->OneIn(2)}};
    case 8:
      return IntentExpiry{WallTime(this->Below(1'000'000))};
    case 9:
      return this->RandomTransition();
    default:
      return Noop{};
  }
}

}  // namespace mimosastage
