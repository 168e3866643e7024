#ifndef MIMOSASTAGE_DAEMONS_FRAME_AUTHENTICATOR_H_
#define MIMOSASTAGE_DAEMONS_FRAME_AUTHENTICATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mimosastage/base/names.h"

struct evp_mac_ctx_st;

namespace mimosastage {

inline constexpr std::size_t kNonceSize = 16;
using LinkNonce = std::array<char, kNonceSize>;

/// Returns a nonce from OpenSSL's cryptographically secure random generator.
LinkNonce GenerateLinkNonce();

/// One end of a connection, as identified in its hello.
struct LinkEndpoint {
  DaemonId daemon{};
  LinkNonce nonce{};
};

/// Authenticates the frames of one direction of one connection. The tag of a
/// frame is the HMAC-SHA-256, truncated to 16 bytes, of a frame counter and the
/// payload. A frame that was modified, replayed, reordered or taken from
/// another connection fails verification.
class FrameAuthenticator {
 public:
  static constexpr std::size_t kTagSize = 16;

  /// `link_key` is the secret that all daemons share.
  FrameAuthenticator(std::string_view link_key, const LinkEndpoint& sender,
                     const LinkEndpoint& receiver);

  /// Returns the tag of the next frame and advances the frame counter.
  std::string NextTag(std::string_view payload);

  /// Returns true and advances the frame counter if `tag` is the tag of the
  /// next frame.
  bool VerifyNext(std::string_view payload, std::string_view tag);

 private:
  struct MacDeleter {
    void operator()(evp_mac_ctx_st* mac) const;
  };
  using Tag = std::array<char, kTagSize>;

  Tag ComputeTag(std::uint64_t number, std::string_view payload);

  /// Holds the key. Looking up the algorithm and deriving the pads from the key
  /// for each frame takes longer than hashing a short payload.
  std::unique_ptr<evp_mac_ctx_st, MacDeleter> mac;
  std::uint64_t next_frame_number = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_FRAME_AUTHENTICATOR_H_
