#include "mimosastage/daemons/frame_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>

#include "mimosastage/daemons/random_bytes.h"

namespace mimosastage {
namespace {

std::string HmacSha256(std::string_view key, std::string_view data) {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       reinterpret_cast<unsigned char*>(digest.data()), &size);
  digest.resize(size);
  return digest;
}

void AppendLittleEndian(std::string& text, std::uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    text.push_back(static_cast<char>((number >> shift) & 0xffU));
  }
}

void AppendEndpoint(std::string& text, const LinkEndpoint& end) {
  AppendLittleEndian(text, static_cast<std::uint64_t>(end.daemon));
  text.append(end.nonce.data(), end.nonce.size());
}

}  // namespace

LinkNonce GenerateLinkNonce() {
  LinkNonce nonce{};
  // A predictable nonce would allow frames of earlier connections to be
  // replayed.
  FillWithRandomBytes(
      {reinterpret_cast<unsigned char*>(nonce.data()), nonce.size()});
  return nonce;
}

FrameAuthenticator::FrameAuthenticator(std::string_view link_key,
                                       const LinkEndpoint& sender,
                                       const LinkEndpoint& receiver) {
  std::string context = "mimosastage link 1";
  AppendEndpoint(context, sender);
  AppendEndpoint(context, receiver);
  this->key = HmacSha256(link_key, context);
}

std::string FrameAuthenticator::NextTag(std::string_view payload) {
  return this->ComputeTag(this->next_frame_number++, payload);
}

bool FrameAuthenticator::VerifyNext(std::string_view payload,
                                    std::string_view tag) {
  const std::string expected =
      this->ComputeTag(this->next_frame_number, payload);
  if (tag.size() != expected.size() ||
      CRYPTO_memcmp(tag.data(), expected.data(), tag.size()) != 0) {
    return false;
  }
  ++this->next_frame_number;
  return true;
}

std::string FrameAuthenticator::ComputeTag(std::uint64_t number,
                                           std::string_view payload) const {
  std::string data;
  data.reserve(sizeof(number) + payload.size());
  AppendLittleEndian(data, number);
  data.append(payload);
  return HmacSha256(this->key, data).substr(0, kTagSize);
}

}  // namespace mimosastage
