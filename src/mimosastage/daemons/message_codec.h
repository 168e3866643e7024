#ifndef MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_
#define MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "mimosastage/base/result.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// A command on its way to the leader, and the content of a log entry. The
/// proposer knows its own commands again by session and number.
struct Proposal {
  Session session;
  std::uint64_t number = 0;
  /// Encoded by the state package.
  std::string command;

  bool operator==(const Proposal&) const = default;
};

/// A message whose content another package encodes.
template <class Kind>
struct Opaque {
  std::string bytes;

  bool operator==(const Opaque&) const = default;
};

using ReplicationBytes = Opaque<struct ReplicationBytesKind>;
using DemandBytes = Opaque<struct DemandBytesKind>;
using RecallBytes = Opaque<struct RecallBytesKind>;
using AnnouncementBytes = Opaque<struct AnnouncementBytesKind>;

using JobsBytes = Opaque<struct JobsBytesKind>;

using DaemonMessage = std::variant<ReplicationBytes, Proposal, DemandBytes,
                                   RecallBytes, AnnouncementBytes, JobsBytes>;

std::string EncodeMessage(const DaemonMessage& message);

/// std::errc::bad_message if `bytes` isn't a whole message.
Result<DaemonMessage> DecodeMessage(std::string_view bytes);

std::string EncodeProposal(const Proposal& proposal);
Result<Proposal> DecodeProposal(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_MESSAGE_CODEC_H_
