#ifndef MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_
#define MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "mimosastage/base/result.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// A command that is sent to the leader, and the content of a log entry. The
/// proposer recognises its own commands by session and number.
struct Proposal {
  Session session;
  std::uint64_t number = 0;
  /// Encoded by the state package.
  std::string command;

  bool operator==(const Proposal&) const = default;
};

/// A message whose content is encoded by another package. `Tag` makes each kind
/// of message a distinct type.
template <class Tag>
struct OpaqueMessage {
  std::string bytes;

  bool operator==(const OpaqueMessage&) const = default;
};

using ReplicationBytes = OpaqueMessage<struct ReplicationBytesTag>;
using DemandBytes = OpaqueMessage<struct DemandBytesTag>;
using RecallBytes = OpaqueMessage<struct RecallBytesTag>;
using AnnouncementBytes = OpaqueMessage<struct AnnouncementBytesTag>;
using JobsBytes = OpaqueMessage<struct JobsBytesTag>;

using DaemonMessage = std::variant<ReplicationBytes, Proposal, DemandBytes,
                                   RecallBytes, AnnouncementBytes, JobsBytes>;

std::string EncodeMessage(const DaemonMessage& message);

/// Returns std::errc::bad_message if `bytes` isn't a valid message.
Result<DaemonMessage> DecodeMessage(std::string_view bytes);

std::string EncodeProposal(const Proposal& proposal);
Result<Proposal> DecodeProposal(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_
