#ifndef MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_
#define MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "mimosastage/base/result.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

/// Serializes the message with the FlatBuffers schema replication.fbs, without
/// framing.
std::string Encode(const ReplicationMessage& message);

/// Returns kMalformedMessage for bytes that Encode can't have produced.
Result<ReplicationMessage> Decode(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_
