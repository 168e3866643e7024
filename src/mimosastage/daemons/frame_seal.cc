#include "mimosastage/daemons/frame_seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <cstring>

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

void AppendNumber(std::string& text, std::uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    text.push_back(static_cast<char>((number >> shift) & 0xffU));
  }
}

void AppendEnd(std::string& text, const LinkEnd& end) {
  AppendNumber(text, static_cast<std::uint64_t>(end.daemon));
  text.append(end.nonce.data(), end.nonce.size());
}

}  // namespace

LinkNonce MakeLinkNonce() {
  LinkNonce nonce{};
  // A guessable nonce would allow replays.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    std::abort();
  }
  return nonce;
}

FrameSeal::FrameSeal(std::string_view link_key, const LinkEnd& sender,
                     const LinkEnd& receiver) {
  std::string context = "mimosastage link 1";
  AppendEnd(context, sender);
  AppendEnd(context, receiver);
  this->key = HmacSha256(link_key, context);
}

std::string FrameSeal::NextTag(std::string_view payload) {
  return this->TagFor(this->frames++, payload);
}

bool FrameSeal::VerifyNext(std::string_view payload, std::string_view tag) {
  const std::string expected = this->TagFor(this->frames, payload);
  if (tag.size() != expected.size() ||
      CRYPTO_memcmp(tag.data(), expected.data(), tag.size()) != 0) {
    return false;
  }
  ++this->frames;
  return true;
}

std::string FrameSeal::TagFor(std::uint64_t number,
                              std::string_view payload) const {
  std::string data;
  data.reserve(sizeof(number) + payload.size());
  AppendNumber(data, number);
  data.append(payload);
  return HmacSha256(this->key, data).substr(0, kTagSize);
}

}  // namespace mimosastage
