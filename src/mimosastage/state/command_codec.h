#ifndef MIMOSASTAGE_STATE_COMMAND_CODEC_H_
#define MIMOSASTAGE_STATE_COMMAND_CODEC_H_

#include <string>
#include <string_view>

#include "mimosastage/base/result.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// The command as a FlatBuffers buffer, for the log and for links.
std::string EncodeCommand(const Command& command);

/// Reads what EncodeCommand wrote. Any other bytes give
/// StateError::kUndecodable, after the buffer was verified.
Result<Command> DecodeCommand(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_COMMAND_CODEC_H_
