#include "mimosastage/daemons/frame_authenticator.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <stdexcept>

#include "mimosastage/daemons/random_bytes.h"

namespace mimosastage {
namespace {

constexpr std::size_t kDigestSize = 32;

/// Fails only if OpenSSL lacks memory or the algorithm, which no caller could
/// continue without.
void Check(bool ok) {
  if (!ok) {
    throw std::runtime_error(
        "OpenSSL can't compute HMAC-SHA-256; check its providers and memory");
  }
}

const unsigned char* Bytes(const char* text) {
  return reinterpret_cast<const unsigned char*>(text);
}

EVP_MAC_CTX* MakeMac(std::string_view key) {
  const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> algorithm(
      EVP_MAC_fetch(nullptr, "HMAC", nullptr), &EVP_MAC_free);
  Check(algorithm != nullptr);
  // Keeps its own reference to the algorithm.
  EVP_MAC_CTX* const mac = EVP_MAC_CTX_new(algorithm.get());
  Check(mac != nullptr);
  std::string digest_name = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST,
                                       digest_name.data(), 0),
      OSSL_PARAM_construct_end()};
  if (EVP_MAC_init(mac, Bytes(key.data()), key.size(), parameters.data()) !=
      1) {
    EVP_MAC_CTX_free(mac);
    Check(false);
  }
  return mac;
}

std::array<char, kDigestSize> Finish(EVP_MAC_CTX* mac) {
  std::array<char, kDigestSize> digest{};
  std::size_t size = 0;
  Check(EVP_MAC_final(mac, reinterpret_cast<unsigned char*>(digest.data()),
                      &size, digest.size()) == 1 &&
        size == digest.size());
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
  this->mac.reset(MakeMac(link_key));
  Check(EVP_MAC_update(this->mac.get(), Bytes(context.data()),
                       context.size()) == 1);
  const auto key = Finish(this->mac.get());
  this->mac.reset(MakeMac({key.data(), key.size()}));
}

void FrameAuthenticator::MacDeleter::operator()(evp_mac_ctx_st* mac) const {
  EVP_MAC_CTX_free(mac);
}

std::string FrameAuthenticator::NextTag(std::string_view payload) {
  const Tag tag = this->ComputeTag(this->next_frame_number++, payload);
  return {tag.data(), tag.size()};
}

bool FrameAuthenticator::VerifyNext(std::string_view payload,
                                    std::string_view tag) {
  const Tag expected = this->ComputeTag(this->next_frame_number, payload);
  if (tag.size() != expected.size() ||
      CRYPTO_memcmp(tag.data(), expected.data(), tag.size()) != 0) {
    return false;
  }
  ++this->next_frame_number;
  return true;
}

FrameAuthenticator::Tag FrameAuthenticator::ComputeTag(
    std::uint64_t number, std::string_view payload) {
  std::array<unsigned char, sizeof(number)> prefix{};
  for (std::size_t i = 0; i < prefix.size(); ++i) {
    prefix[i] = static_cast<unsigned char>(number >> (8 * i));
  }
  EVP_MAC_CTX* const context = this->mac.get();
  // Without a key, the context keeps its present one.
  Check(EVP_MAC_init(context, nullptr, 0, nullptr) == 1 &&
        EVP_MAC_update(context, prefix.data(), prefix.size()) == 1 &&
        EVP_MAC_update(context, Bytes(payload.data()), payload.size()) == 1);
  const auto digest = Finish(context);
  Tag tag{};
  std::copy_n(digest.begin(), tag.size(), tag.begin());
  return tag;
}

}  // namespace mimosastage
