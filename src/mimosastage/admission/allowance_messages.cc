#include "mimosastage/admission/allowance_messages.h"

#include <flatbuffers/flatbuffers.h>

#include "mimosastage/admission/internal/allowance_generated.h"
#include "mimosastage/admission/refusal.h"

namespace mimosastage {
namespace {

namespace wire = admission_wire;
using Builder = flatbuffers::FlatBufferBuilder;

std::string Finish(Builder& builder) {
  const auto* data = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return {data, builder.GetSize()};
}

template <class Root>
const Root* Verified(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Root>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<Root>(data);
}

bool IsKind(std::uint8_t kind) {
  return kind <= static_cast<std::uint8_t>(ResourceKind::kBackendServerSlots);
}

template <class Message>
Resource ResourceOf(const Message& message) {
  return {static_cast<ResourceKind>(message.kind()), message.name()->str()};
}

Session SessionOf(std::uint16_t daemon, std::uint64_t session) {
  return {DaemonId{daemon}, SessionId{session}};
}

auto Encode(Builder& builder, const ResourceDemand& demand) {
  return wire::CreateResourceDemand(
      builder, static_cast<std::uint8_t>(demand.resource.kind),
      builder.CreateString(demand.resource.name), demand.held, demand.running,
      demand.waiting, demand.returned_total);
}

auto Encode(Builder& builder, const TeamDemand& demand) {
  const auto pool = builder.CreateSharedString(demand.pool.str());
  const auto team = builder.CreateString(demand.team.str());
  return wire::CreateTeamDemand(builder, pool, team, demand.waiting,
                                demand.running);
}

auto Encode(Builder& builder, const RecallRequest& recall) {
  return wire::CreateRecallRequest(
      builder, static_cast<std::uint8_t>(recall.resource.kind),
      builder.CreateString(recall.resource.name), recall.recalled_total);
}

auto Encode(Builder& builder, const TeamFraction& fraction) {
  const auto pool = builder.CreateSharedString(fraction.pool.str());
  const auto team = builder.CreateString(fraction.team.str());
  return wire::CreateTeamFraction(builder, pool, team, fraction.millionths);
}

template <class Name>
auto EncodeNames(Builder& builder, const std::vector<Name>& names) {
  std::vector<std::string> strings;
  strings.reserve(names.size());
  for (const Name& name : names) {
    strings.push_back(name.str());
  }
  return builder.CreateVectorOfStrings(strings);
}

template <class WireItem, class Item>
auto EncodeAll(Builder& builder, const std::vector<Item>& items) {
  std::vector<flatbuffers::Offset<WireItem>> offsets;
  offsets.reserve(items.size());
  for (const Item& item : items) {
    offsets.push_back(Encode(builder, item));
  }
  return builder.CreateVector(offsets);
}

/// Calls `add` for each item; an absent FlatBuffers vector has none. False if a
/// resource is of an unknown kind.
template <class Items, class Add>
bool ForEach(const Items* items, Add add) {
  if (items == nullptr) {
    return true;
  }
  for (const auto* item : *items) {
    if constexpr (requires { item->kind(); }) {
      if (!IsKind(item->kind())) {
        return false;
      }
    }
    add(*item);
  }
  return true;
}

}  // namespace

std::string EncodeDemandReport(const DemandReport& report) {
  Builder builder;
  const auto resources =
      EncodeAll<wire::ResourceDemand>(builder, report.resources);
  const auto teams = EncodeAll<wire::TeamDemand>(builder, report.teams);
  builder.Finish(wire::CreateDemandReport(
      builder, static_cast<std::uint16_t>(report.session.daemon),
      static_cast<std::uint64_t>(report.session.id), report.number,
      report.applied, report.full, resources, teams));
  return Finish(builder);
}

std::string EncodeLenderNotice(const LenderNotice& notice) {
  Builder builder;
  const auto recalls = EncodeAll<wire::RecallRequest>(builder, notice.recalls);
  const auto fractions =
      EncodeAll<wire::TeamFraction>(builder, notice.fractions);
  const auto teams = EncodeNames(builder, notice.exhausted_teams);
  const auto pools = EncodeNames(builder, notice.exhausted_pools);
  builder.Finish(wire::CreateLenderNotice(
      builder, static_cast<std::uint16_t>(notice.session.daemon),
      static_cast<std::uint64_t>(notice.session.id), notice.wants_full_report,
      recalls, fractions, teams, pools));
  return Finish(builder);
}

Result<DemandReport> DecodeDemandReport(std::string_view bytes) {
  const auto* root = Verified<wire::DemandReport>(bytes);
  if (root == nullptr) {
    return make_error_code(AdmissionError::kMalformedMessage);
  }
  DemandReport report;
  report.session = SessionOf(root->daemon(), root->session());
  report.number = root->number();
  report.applied = root->applied();
  report.full = root->full();
  const bool known = ForEach(root->resources(), [&](const auto& item) {
    report.resources.push_back({ResourceOf(item), item.held(), item.running(),
                                item.waiting(), item.returned_total()});
  });
  ForEach(root->teams(), [&](const auto& item) {
    report.teams.push_back({PoolName(item.pool()->str()),
                            TeamName(item.team()->str()), item.waiting(),
                            item.running()});
  });
  if (!known) {
    return make_error_code(AdmissionError::kMalformedMessage);
  }
  return report;
}

Result<LenderNotice> DecodeLenderNotice(std::string_view bytes) {
  const auto* root = Verified<wire::LenderNotice>(bytes);
  if (root == nullptr) {
    return make_error_code(AdmissionError::kMalformedMessage);
  }
  LenderNotice notice;
  notice.session = SessionOf(root->daemon(), root->session());
  notice.wants_full_report = root->wants_full_report();
  const bool known = ForEach(root->recalls(), [&](const auto& item) {
    notice.recalls.push_back({ResourceOf(item), item.recalled_total()});
  });
  ForEach(root->fractions(), [&](const auto& item) {
    notice.fractions.push_back({PoolName(item.pool()->str()),
                                TeamName(item.team()->str()),
                                item.millionths()});
  });
  ForEach(root->exhausted_teams(), [&](const auto& item) {
    notice.exhausted_teams.emplace_back(item.str());
  });
  ForEach(root->exhausted_pools(), [&](const auto& item) {
    notice.exhausted_pools.emplace_back(item.str());
  });
  if (!known) {
    return make_error_code(AdmissionError::kMalformedMessage);
  }
  return notice;
}

}  // namespace mimosastage
