#ifndef MIMOSASTAGE_STATE_KEY_SECRET_H_
#define MIMOSASTAGE_STATE_KEY_SECRET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Starts each key of a caller, so that a key in a wrong place (a log, a
/// repository) can be recognised.
inline constexpr std::string_view kKeySecretPrefix = "msk_";

/// Random bytes in one key.
inline constexpr std::size_t kKeySecretBytes = 32;

/// The text of a key made of random bytes: the prefix and 64 hex digits.
std::string KeySecretFrom(
    const std::array<std::uint8_t, kKeySecretBytes>& random);

/// SHA-256 of the key's text. Keys have 256 random bits, so a plain hash
/// can't be searched.
KeyHash HashKeySecret(std::string_view secret);

/// Compares in a time that doesn't depend on where the texts differ.
bool SecretsEqual(std::string_view a, std::string_view b);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_KEY_SECRET_H_
