#include "mimosastage/jobs/records.h"

#include <array>
#include <charconv>
#include <system_error>

namespace mimosastage::jobs {
namespace {

using flatbuffers::FlatBufferBuilder;

std::string CopyBuffer(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

flatbuffers::Verifier VerifierFor(std::string_view bytes) {
  return {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()};
}

template <class Table>
std::string EncodeMessage(jobs_wire::Body type, const Table& table) {
  FlatBufferBuilder builder;
  const auto body = Table::TableType::Pack(builder, &table);
  builder.Finish(jobs_wire::CreateMessage(builder, type, body.Union()));
  return CopyBuffer(builder);
}

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string ToString(const TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<TaskId> ParseTaskId(std::string_view text) {
  std::array<std::uint32_t, 3> numbers{};
  for (std::size_t i = numbers.size(); i > 0; --i) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const auto number = ParseNumber(text.substr(dot + 1));
    if (!number.has_value()) {
      return std::nullopt;
    }
    numbers[i - 1] = *number;
    text = text.substr(0, dot);
  }
  return TaskId{std::string(text), numbers[0], numbers[1], numbers[2]};
}

std::string EncodeBatch(const Batch& batch) {
  FlatBufferBuilder builder;
  builder.Finish(jobs_wire::Batch::Pack(builder, &batch));
  return CopyBuffer(builder);
}

std::optional<Batch> DecodeBatch(std::string_view bytes) {
  auto verifier = VerifierFor(bytes);
  if (!verifier.VerifyBuffer<jobs_wire::Batch>(nullptr)) {
    return std::nullopt;
  }
  Batch batch;
  flatbuffers::GetRoot<jobs_wire::Batch>(bytes.data())->UnPackTo(&batch);
  return batch;
}

std::string EncodeCall(const Call& call) {
  return EncodeMessage(jobs_wire::Body::Call, call);
}

std::string EncodeAnswer(const Answer& answer) {
  return EncodeMessage(jobs_wire::Body::Answer, answer);
}

std::string EncodeLeadership(const Leadership& leadership) {
  return EncodeMessage(jobs_wire::Body::Leadership, leadership);
}

std::string EncodeCandidacy(const Candidacy& candidacy) {
  return EncodeMessage(jobs_wire::Body::Candidacy, candidacy);
}

std::string EncodeBody(const jobs_wire::OrderBatchT& batch) {
  return EncodeMessage(jobs_wire::Body::OrderBatch, batch);
}

std::string EncodeBody(const jobs_wire::ReplyBatchT& batch) {
  return EncodeMessage(jobs_wire::Body::ReplyBatch, batch);
}

std::string EncodeBody(const jobs_wire::CarrierNoticeT& notice) {
  return EncodeMessage(jobs_wire::Body::CarrierNotice, notice);
}

std::optional<jobs_wire::MessageT> DecodeMessage(std::string_view bytes) {
  auto verifier = VerifierFor(bytes);
  if (!verifier.VerifyBuffer<jobs_wire::Message>(nullptr)) {
    return std::nullopt;
  }
  jobs_wire::MessageT message;
  flatbuffers::GetRoot<jobs_wire::Message>(bytes.data())->UnPackTo(&message);
  return message;
}

}  // namespace mimosastage::jobs
