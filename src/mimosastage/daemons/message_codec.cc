#include "mimosastage/daemons/message_codec.h"

#include "mimosastage/daemons/messages_generated.h"

namespace mimosastage {
namespace {

using flatbuffers::FlatBufferBuilder;
using Bytes = flatbuffers::Vector<std::uint8_t>;

flatbuffers::Offset<Bytes> ToVector(FlatBufferBuilder& builder,
                                    const std::string& text) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

std::string ToString(const Bytes* bytes) {
  if (bytes == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

std::string FinishedBytes(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

flatbuffers::Offset<link_wire::Proposal> ToWire(FlatBufferBuilder& builder,
                                                const Proposal& proposal) {
  const auto command = ToVector(builder, proposal.command);
  return link_wire::CreateProposal(
      builder, static_cast<std::uint16_t>(proposal.session.daemon),
      static_cast<std::uint64_t>(proposal.session.id), proposal.number,
      command);
}

Proposal FromWire(const link_wire::Proposal& proposal) {
  return Proposal{
      Session{DaemonId{proposal.daemon()}, SessionId{proposal.session()}},
      proposal.number(), ToString(proposal.command())};
}

/// Serializes the body of a message; returns its union type and offset.
struct BodyWriter {
  using Body = std::pair<link_wire::Body, flatbuffers::Offset<void>>;

  FlatBufferBuilder& builder;

  Body operator()(const ReplicationBytes& message) const {
    const auto bytes = ToVector(this->builder, message.bytes);
    return {link_wire::Body_Replication,
            link_wire::CreateReplication(this->builder, bytes).Union()};
  }
  Body operator()(const Proposal& message) const {
    return {link_wire::Body_Proposal, ToWire(this->builder, message).Union()};
  }
  Body operator()(const DemandBytes& message) const {
    const auto bytes = ToVector(this->builder, message.bytes);
    return {link_wire::Body_Demand,
            link_wire::CreateDemand(this->builder, bytes).Union()};
  }
  Body operator()(const RecallBytes& message) const {
    const auto bytes = ToVector(this->builder, message.bytes);
    return {link_wire::Body_Recall,
            link_wire::CreateRecall(this->builder, bytes).Union()};
  }
  Body operator()(const AnnouncementBytes& message) const {
    const auto bytes = ToVector(this->builder, message.bytes);
    return {link_wire::Body_Announcements,
            link_wire::CreateAnnouncements(this->builder, bytes).Union()};
  }
  Body operator()(const JobsBytes& message) const {
    const auto bytes = ToVector(this->builder, message.bytes);
    return {link_wire::Body_Jobs,
            link_wire::CreateJobs(this->builder, bytes).Union()};
  }
};

std::error_code BadMessage() {
  return std::make_error_code(std::errc::bad_message);
}

}  // namespace

std::string EncodeMessage(const DaemonMessage& message) {
  FlatBufferBuilder builder;
  const auto [type, body] = std::visit(BodyWriter{builder}, message);
  builder.Finish(link_wire::CreateMessage(builder, type, body));
  return FinishedBytes(builder);
}

Result<DaemonMessage> DecodeMessage(std::string_view bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!link_wire::VerifyMessageBuffer(verifier)) {
    return BadMessage();
  }
  const link_wire::Message* message = link_wire::GetMessage(bytes.data());
  if (message->body() == nullptr) {
    return BadMessage();
  }
  switch (message->body_type()) {
    case link_wire::Body_Replication:
      return DaemonMessage(
          ReplicationBytes{ToString(message->body_as_Replication()->bytes())});
    case link_wire::Body_Proposal:
      return DaemonMessage(FromWire(*message->body_as_Proposal()));
    case link_wire::Body_Demand:
      return DaemonMessage(
          DemandBytes{ToString(message->body_as_Demand()->bytes())});
    case link_wire::Body_Recall:
      return DaemonMessage(
          RecallBytes{ToString(message->body_as_Recall()->bytes())});
    case link_wire::Body_Announcements:
      return DaemonMessage(AnnouncementBytes{
          ToString(message->body_as_Announcements()->bytes())});
    case link_wire::Body_Jobs:
      return DaemonMessage(
          JobsBytes{ToString(message->body_as_Jobs()->bytes())});
    default:
      return BadMessage();
  }
}

std::string EncodeProposal(const Proposal& proposal) {
  FlatBufferBuilder builder;
  builder.Finish(ToWire(builder, proposal));
  return FinishedBytes(builder);
}

Result<Proposal> DecodeProposal(std::string_view bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<link_wire::Proposal>(nullptr)) {
    return BadMessage();
  }
  return FromWire(*flatbuffers::GetRoot<link_wire::Proposal>(bytes.data()));
}

}  // namespace mimosastage
