#ifndef MIMOSASTAGE_DAEMONS_FRAME_SEAL_H_
#define MIMOSASTAGE_DAEMONS_FRAME_SEAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mimosastage/base/names.h"

namespace mimosastage {

inline constexpr std::size_t kNonceSize = 16;
using LinkNonce = std::array<char, kNonceSize>;

/// A nonce from the operating system's random source.
LinkNonce MakeLinkNonce();

/// One end of a connection, as it introduced itself.
struct LinkEnd {
  DaemonId daemon{};
  LinkNonce nonce{};
};

/// Authenticates the frames of one direction of one connection with
/// HMAC-SHA-256, cut to 16 bytes, over a frame counter and the payload. A frame
/// that was changed, replayed, reordered or taken from another connection
/// doesn't verify.
class FrameSeal {
 public:
  static constexpr std::size_t kTagSize = 16;

  /// `link_key` is the secret that all daemons share.
  FrameSeal(std::string_view link_key, const LinkEnd& sender,
            const LinkEnd& receiver);

  /// The tag for the next frame.
  std::string NextTag(std::string_view payload);

  /// True if `tag` is the one that NextTag gives; counts the frame then.
  bool VerifyNext(std::string_view payload, std::string_view tag);

 private:
  std::string TagFor(std::uint64_t number, std::string_view payload) const;

  std::string key;
  std::uint64_t frames = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_FRAME_SEAL_H_
