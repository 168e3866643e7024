#include "mimosastage/daemons/internal/link.h"

#include <algorithm>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/daemons/hello_generated.h"

namespace mimosastage::internal {
namespace {

/// Version of the hello of a daemon whose id fits into 16 bits. Earlier
/// releases know only this version.
constexpr std::uint16_t kShortIdVersion = 1;
/// Version of the hello of a daemon with a longer id.
constexpr std::uint16_t kLongIdVersion = 2;
constexpr std::size_t kHeaderSize = 4;
/// Bounds the memory that an unauthenticated peer can occupy per connection.
constexpr std::size_t kMaxHelloBytes = 512;
/// Space for a frame is made as its bytes arrive, beginning with this size, so
/// that its announced length alone takes no memory. Most frames are shorter.
constexpr std::size_t kReadStep = 64U << 10U;

std::string BuildFrame(std::string_view payload, std::string_view tag) {
  const auto size = static_cast<std::uint32_t>(payload.size() + tag.size());
  std::string frame;
  frame.reserve(kHeaderSize + size);
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xffU));
  }
  frame.append(payload);
  frame.append(tag);
  return frame;
}

std::size_t ParseFrameSize(const std::array<unsigned char, 4>& header) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < header.size(); ++i) {
    size |= static_cast<std::size_t>(header[i]) << (8 * i);
  }
  return size;
}

std::string AddressOf(const asio::ip::tcp::socket& socket) {
  asio::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? "unknown"
               : endpoint.address().to_string() + ":" +
                     std::to_string(endpoint.port());
}

}  // namespace

Link::Link(asio::ip::tcp::socket socket, const Links::Settings& settings,
           std::uint64_t session, std::optional<DaemonId> expected_peer,
           Hooks hooks)
    : socket(std::move(socket)),
      settings(settings),
      session(session),
      expected_peer(expected_peer),
      hooks(std::move(hooks)),
      remote_address(AddressOf(this->socket)),
      heartbeat_timer(this->socket.get_executor()),
      last_received(std::chrono::steady_clock::now()),
      self{settings.own.daemon, GenerateLinkNonce()} {}

void Link::Start() {
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->SendHello();
  this->ReadHeader();
  this->OnHeartbeatTimer();
}

void Link::Close() {
  if (std::exchange(this->closed, true)) {
    return;
  }
  asio::error_code ignored;
  this->socket.close(ignored);
  this->heartbeat_timer.cancel();
  this->hooks.on_closed(this->shared_from_this());
}

void Link::Send(std::string_view message) {
  if (!this->up || this->closed) {
    this->hooks.on_drop("link_down");
    return;
  }
  if (message.size() > Links::kMaxMessageBytes) {
    this->hooks.on_drop("message_too_large");
    return;
  }
  this->CloseIfQueueFull();
  this->Enqueue(
      BuildFrame(message, this->send_authenticator->NextTag(message)));
}

void Link::SendHello() {
  flatbuffers::FlatBufferBuilder builder;
  const auto nonce = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(this->self.nonce.data()),
      this->self.nonce.size());
  const DaemonIdFields id = ToDaemonIdFields(this->self.daemon);
  builder.Finish(link_wire::CreateHello(
      builder, id.address_id == 0 ? kShortIdVersion : kLongIdVersion,
      builder.CreateString(this->settings.cluster), id.number, nonce,
      id.address_id, this->session));
  const std::string_view payload(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize());
  this->Enqueue(BuildFrame(payload, {}));
}

void Link::ReadHeader() {
  asio::async_read(
      this->socket, asio::buffer(this->header),
      [self = this->shared_from_this()](asio::error_code error, std::size_t) {
        if (error) {
          self->Close();
          return;
        }
        self->ReadBody(ParseFrameSize(self->header));
      });
}

void Link::ReadBody(std::size_t size) {
  const std::size_t limit =
      this->receive_authenticator.has_value()
          ? Links::kMaxMessageBytes + FrameAuthenticator::kTagSize
          : kMaxHelloBytes;
  if (size > limit) {
    this->hooks.on_drop("frame_too_large");
    this->Close();
    return;
  }
  this->body.clear();
  this->ReadRest(size);
}

void Link::ReadRest(std::size_t size) {
  const std::size_t start = this->body.size();
  this->body.resize(std::min(size, start + std::max(start, kReadStep)));
  asio::async_read(
      this->socket,
      asio::buffer(this->body.data() + start, this->body.size() - start),
      [self = this->shared_from_this(), size](asio::error_code error,
                                              std::size_t) {
        if (error) {
          self->Close();
          return;
        }
        if (self->body.size() < size) {
          self->ReadRest(size);
          return;
        }
        self->hooks.on_bytes(0, kHeaderSize + self->body.size());
        self->OnFrame();
      });
}

void Link::OnFrame() {
  const bool accepted = this->receive_authenticator.has_value()
                            ? this->OnMessageFrame()
                            : this->OnHello();
  if (!accepted) {
    this->Close();
    return;
  }
  if (!this->closed) {
    this->ReadHeader();
  }
}

bool Link::OnHello() {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(this->body.data()),
      this->body.size());
  if (!link_wire::VerifyHelloBuffer(verifier)) {
    this->hooks.on_drop("bad_hello");
    return false;
  }
  const link_wire::Hello* hello = link_wire::GetHello(this->body.data());
  const std::uint16_t version =
      hello->address_id() == 0 ? kShortIdVersion : kLongIdVersion;
  if (hello->version() != version || hello->cluster() == nullptr ||
      hello->cluster()->string_view() != this->settings.cluster ||
      hello->nonce() == nullptr || hello->nonce()->size() != kNonceSize) {
    this->hooks.on_drop("foreign_hello");
    return false;
  }
  this->peer.daemon = FromDaemonIdFields(hello->daemon(), hello->address_id());
  std::copy(hello->nonce()->begin(), hello->nonce()->end(),
            this->peer.nonce.begin());
  const auto is_peer = [this](const LinkAddress& known) {
    return known.daemon == this->peer.daemon;
  };
  const bool accepts_unlisted = this->IsAnonymous()
                                    ? this->settings.accept_anonymous
                                    : this->settings.accept_unlisted;
  if (this->peer.daemon != this->expected_peer.value_or(this->peer.daemon) ||
      (!accepts_unlisted &&
       std::none_of(this->settings.peers.begin(), this->settings.peers.end(),
                    is_peer))) {
    this->hooks.on_drop("unknown_daemon");
    return false;
  }
  this->receive_authenticator.emplace(this->settings.link_key, this->peer,
                                      this->self);
  this->peer_session = hello->session();
  this->refused = !this->hooks.may_come_up(*this);
  if (this->refused) {
    return true;
  }
  this->send_authenticator.emplace(this->settings.link_key, this->self,
                                   this->peer);
  // An empty message is a heartbeat. The first one proves to the peer that this
  // end knows the link key.
  this->Enqueue(BuildFrame({}, this->send_authenticator->NextTag({})));
  return true;
}

bool Link::OnMessageFrame() {
  if (this->body.size() < FrameAuthenticator::kTagSize) {
    this->hooks.on_drop("short_frame");
    return false;
  }
  const std::size_t size = this->body.size() - FrameAuthenticator::kTagSize;
  const std::string_view whole(this->body);
  if (!this->receive_authenticator->VerifyNext(whole.substr(0, size),
                                               whole.substr(size))) {
    this->hooks.on_drop("bad_frame_tag");
    return false;
  }
  if (this->refused) {
    this->hooks.on_refused(*this);
    return false;
  }
  this->last_received = std::chrono::steady_clock::now();
  if (!std::exchange(this->up, true)) {
    this->hooks.on_up(this->shared_from_this());
    if (this->closed) {
      return false;
    }
  }
  if (size > 0) {
    this->body.resize(size);
    this->hooks.on_message(this->Peer(), std::move(this->body));
    this->body.clear();
  }
  return true;
}

void Link::Enqueue(std::string frame) {
  this->queued_bytes += frame.size();
  this->queue.push_back(std::move(frame));
  this->queued_since_heartbeat = true;
  this->WriteNext();
}

// The tags of frames include a counter, so removing a queued frame would
// invalidate all later ones. A link whose peer reads too slowly is closed
// instead; the peer gets what it missed after the reconnect.
void Link::CloseIfQueueFull() {
  if (this->queue.size() < this->settings.max_queued_frames &&
      !this->HasTooManyQueuedBytes()) {
    return;
  }
  this->hooks.on_drop("peer_too_slow");
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this()] { self->Close(); });
}

// The longest frame isn't counted. A message may be longer than the limit, and
// would otherwise close the link as soon as another one follows.
bool Link::HasTooManyQueuedBytes() const {
  if (this->queued_bytes <= this->settings.max_queued_bytes) {
    return false;
  }
  const auto longest = std::max_element(
      this->queue.begin(), this->queue.end(),
      [](const auto& a, const auto& b) { return a.size() < b.size(); });
  return this->queued_bytes - longest->size() > this->settings.max_queued_bytes;
}

void Link::WriteNext() {
  if (this->writing || this->queue.empty() || this->closed) {
    return;
  }
  this->writing = true;
  asio::async_write(
      this->socket, asio::buffer(this->queue.front()),
      [self = this->shared_from_this()](asio::error_code error, std::size_t) {
        self->writing = false;
        if (error) {
          self->Close();
          return;
        }
        self->hooks.on_bytes(self->queue.front().size(), 0);
        self->queued_bytes -= self->queue.front().size();
        self->queue.pop_front();
        self->WriteNext();
      });
}

void Link::OnHeartbeatTimer() {
  if (std::chrono::steady_clock::now() - this->last_received >
      this->settings.silence_limit) {
    this->hooks.on_drop("link_silent");
    this->Close();
    return;
  }
  // A heartbeat is needed only if no other frame was queued since the timer
  // last fired.
  if (this->send_authenticator.has_value() &&
      !std::exchange(this->queued_since_heartbeat, false)) {
    this->Enqueue(BuildFrame({}, this->send_authenticator->NextTag({})));
    this->queued_since_heartbeat = false;
  }
  this->heartbeat_timer.expires_after(this->settings.heartbeat);
  this->heartbeat_timer.async_wait(
      [self = this->shared_from_this()](asio::error_code error) {
        if (!error && !self->closed) {
          self->OnHeartbeatTimer();
        }
      });
}

}  // namespace mimosastage::internal
