#include "mimosastage/state/key_secret.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace mimosastage {

std::string KeySecretFrom(
    const std::array<std::uint8_t, kKeySecretBytes>& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kKeySecretPrefix);
  for (const std::uint8_t byte : random) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

KeyHash HashKeySecret(std::string_view secret) {
  KeyHash hash{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         hash.data());
  return hash;
}

bool SecretsEqual(std::string_view a, std::string_view b) {
  // Comparing hashes, which have equal length, hides the secret's length too.
  const KeyHash hash_a = HashKeySecret(a);
  const KeyHash hash_b = HashKeySecret(b);
  return CRYPTO_memcmp(hash_a.data(), hash_b.data(), hash_a.size()) == 0;
}

}  // namespace mimosastage
