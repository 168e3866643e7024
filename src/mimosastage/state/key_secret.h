#ifndef MIMOSASTAGE_STATE_KEY_SECRET_H_
#define MIMOSASTAGE_STATE_KEY_SECRET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Prefix of all callers' keys, so that a key that leaked into a log or a
/// repository can be recognised.
inline constexpr std::string_view kKeySecretPrefix = "msk_";

/// Number of random bytes in a key.
inline constexpr std::size_t kKeySecretBytes = 32;

/// Formats random bytes as a key: the prefix and 64 hex digits.
std::string KeySecretFrom(
    const std::array<std::uint8_t, kKeySecretBytes>& random);

/// SHA-256 of the key's text. A plain hash is enough: keys have 256 random
/// bits, so they can't be found by brute force.
KeyHash HashKeySecret(std::string_view secret);

/// Compares in constant time, independent of the position at which the texts
/// differ.
bool SecretsEqual(std::string_view a, std::string_view b);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_KEY_SECRET_H_
