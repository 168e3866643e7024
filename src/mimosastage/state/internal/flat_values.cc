#include "mimosastage/state/internal/flat_values.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace mimosastage {
namespace {

flat::RouteT FlatRow(const Route& route) {
  flat::RouteT flat;
  flat.name = route.name.str();
  flat.pool = route.pool.str();
  flat.open = route.open;
  flat.repeatable = route.repeatable;
  flat.urgent = route.urgent;
  flat.deadline_ms = route.deadline.count();
  flat.max_body_bytes = route.max_body_bytes;
  return flat;
}

flat::PoolT FlatRow(const Pool& pool) {
  flat::PoolT flat;
  flat.name = pool.name.str();
  flat.availability_budget = pool.availability_budget;
  flat.spare = pool.spare;
  flat.slots_per_instance = pool.slots_per_instance;
  flat.connections_per_instance = pool.connections_per_instance;
  flat.weight_buffer = pool.weights.buffer;
  flat.weight_share = pool.weights.share;
  flat.weight_moves = pool.weights.moves;
  flat.weight_roll_out = pool.weights.roll_out;
  for (const InstanceName& instance : pool.instances) {
    flat.instances.push_back(instance.str());
  }
  return flat;
}

flat::TeamT FlatRow(const Team& team) {
  flat::TeamT flat;
  flat.name = team.name.str();
  flat.share = team.share;
  flat.upper_limit = team.upper_limit;
  return flat;
}

flat::PolicyT FlatRow(const Policy& policy) {
  flat::PolicyT flat;
  flat.name = policy.name;
  flat.retry_percent = policy.retry_percent;
  flat.ejection_percent = policy.ejection_percent;
  flat.drain_patience_s = policy.drain_patience.count();
  return flat;
}

Row RowFrom(const flat::RouteT& flat) {
  Route route;
  route.name = RouteName(flat.name);
  route.pool = PoolName(flat.pool);
  route.open = flat.open;
  route.repeatable = flat.repeatable;
  route.urgent = flat.urgent;
  route.deadline = std::chrono::milliseconds(flat.deadline_ms);
  route.max_body_bytes = flat.max_body_bytes;
  return route;
}

Row RowFrom(const flat::PoolT& flat) {
  Pool pool;
  pool.name = PoolName(flat.name);
  pool.availability_budget = flat.availability_budget;
  pool.spare = flat.spare;
  pool.slots_per_instance = flat.slots_per_instance;
  pool.connections_per_instance = flat.connections_per_instance;
  pool.weights = {flat.weight_buffer, flat.weight_share, flat.weight_moves,
                  flat.weight_roll_out};
  for (const std::string& instance : flat.instances) {
    pool.instances.emplace_back(instance);
  }
  return pool;
}

Row RowFrom(const flat::TeamT& flat) {
  return Team{TeamName(flat.name), flat.share, flat.upper_limit};
}

Row RowFrom(const flat::PolicyT& flat) {
  return Policy{flat.name, flat.retry_percent, flat.ejection_percent,
                std::chrono::seconds(flat.drain_patience_s)};
}

}  // namespace

std::unique_ptr<flat::RowHolderT> ToFlat(const Row& row) {
  auto holder = std::make_unique<flat::RowHolderT>();
  std::visit([&](const auto& value) { holder->row.Set(FlatRow(value)); }, row);
  return holder;
}

std::optional<Row> FromFlat(const flat::RowHolderT& holder) {
  if (const auto* route = holder.row.AsRoute()) {
    return RowFrom(*route);
  }
  if (const auto* pool = holder.row.AsPool()) {
    return RowFrom(*pool);
  }
  if (const auto* team = holder.row.AsTeam()) {
    return RowFrom(*team);
  }
  if (const auto* policy = holder.row.AsPolicy()) {
    return RowFrom(*policy);
  }
  return std::nullopt;
}

flat::Session ToFlat(const Session& session) {
  return {static_cast<std::uint16_t>(session.daemon),
          static_cast<std::uint64_t>(session.id)};
}

Session FromFlat(const flat::Session& session) {
  return {static_cast<DaemonId>(session.daemon()),
          static_cast<SessionId>(session.id())};
}

std::unique_ptr<flat::StoredAnswerT> ToFlat(const StoredAnswer& answer) {
  auto flat = std::make_unique<flat::StoredAnswerT>();
  flat->status = answer.status;
  flat->content_type = answer.content_type;
  flat->body = answer.body;
  flat->body_kept = answer.body_kept;
  return flat;
}

StoredAnswer FromFlat(const flat::StoredAnswerT& answer) {
  return {answer.status, answer.content_type, answer.body, answer.body_kept};
}

flat::KeyGrantT ToFlat(const KeyGrant& grant) {
  flat::KeyGrantT flat;
  flat.change_id = grant.change_id;
  flat.key_id = grant.key_id;
  flat.hash.assign(grant.hash.begin(), grant.hash.end());
  flat.team = grant.team.str();
  flat.client = grant.client.str();
  return flat;
}

std::optional<KeyGrant> FromFlat(const flat::KeyGrantT& grant) {
  KeyGrant result;
  if (grant.hash.size() != result.hash.size()) {
    return std::nullopt;
  }
  result.change_id = grant.change_id;
  result.key_id = grant.key_id;
  std::copy(grant.hash.begin(), grant.hash.end(), result.hash.begin());
  result.team = TeamName(grant.team);
  result.client = ClientName(grant.client);
  return result;
}

flat::InstanceTransitionT ToFlat(const InstanceTransition& transition) {
  flat::InstanceTransitionT flat;
  flat.instance = transition.instance.str();
  flat.pool = transition.pool.str();
  flat.epoch = transition.epoch;
  flat.state = static_cast<std::uint8_t>(transition.state);
  return flat;
}

std::optional<InstanceTransition> FromFlat(
    const flat::InstanceTransitionT& transition) {
  const auto state = EnumFrom(transition.state, InstanceState::kFailed);
  if (!state) {
    return std::nullopt;
  }
  return InstanceTransition{InstanceName(transition.instance),
                            PoolName(transition.pool), transition.epoch,
                            *state};
}

AlignedBytes::AlignedBytes(std::string_view bytes)
    : start(reinterpret_cast<const std::uint8_t*>(bytes.data())),
      length(bytes.size()) {
  if (reinterpret_cast<std::uintptr_t>(bytes.data()) % sizeof(std::uint64_t) ==
      0) {
    return;
  }
  this->copy.resize(bytes.size() / sizeof(std::uint64_t) + 1);
  std::memcpy(this->copy.data(), bytes.data(), bytes.size());
  this->start = reinterpret_cast<const std::uint8_t*>(this->copy.data());
}

}  // namespace mimosastage
