#ifndef MIMOSASTAGE_STATE_COMMAND_CODEC_H_
#define MIMOSASTAGE_STATE_COMMAND_CODEC_H_

#include <string>
#include <string_view>

#include "mimosastage/base/result.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Encodes a command as a FlatBuffers buffer, for the log and for the links
/// between daemons.
std::string EncodeCommand(const Command& command);

/// Verifies and decodes the output of EncodeCommand. Any other bytes give
/// StateError::kUndecodable.
Result<Command> DecodeCommand(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_COMMAND_CODEC_H_
