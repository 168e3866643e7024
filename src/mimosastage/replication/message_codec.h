#ifndef MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_
#define MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "mimosastage/base/result.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

/// The message as FlatBuffers bytes (replication.fbs), without a frame.
std::string Encode(const ReplicationMessage& message);

/// Error kMalformedMessage for any bytes that Encode can't have written.
Result<ReplicationMessage> Decode(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MESSAGE_CODEC_H_
