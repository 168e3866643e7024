#include "mimosastage/http/internal/request_meter.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "mimosastage/http/large_blocks.h"

namespace mimosastage::internal {
namespace {

/// Two strings and the list entry of a field, in a list that grows by doubling.
constexpr std::size_t kFieldBytes = 160;
/// RESTinio notes the offset and length of each chunk in a list that grows by
/// doubling.
constexpr std::size_t kChunkBytes = 32;
/// A text of unknown length grows by doubling.
constexpr std::size_t kGrowth = 2;

}  // namespace

RequestMeter::RequestMeter(Limits limits) : limits(limits) {
  this->BeginRequest();
}

RequestMeter::Finding RequestMeter::Read(std::string_view bytes) {
  static const http_parser_settings kCallbacks = MakeCallbacks();
  while (!bytes.empty() && !this->stopped) {
    const std::size_t parsed = http_parser_execute(&this->parser, &kCallbacks,
                                                   bytes.data(), bytes.size());
    const auto error = static_cast<http_errno>(this->parser.http_errno);
    if (error != HPE_OK && error != HPE_PAUSED) {
      if (this->finding == Finding::kNone) {
        // The server closes the connection at the same byte.
        this->BeginRequest();
      }
      this->stopped = true;
    } else if (this->message_complete) {
      this->completed.push_back(this->HeldBytes());
      this->BeginRequest();
    }
    // A request has at least one byte.
    if (parsed == 0) {
      break;
    }
    bytes.remove_prefix(parsed);
  }
  return this->finding;
}

std::size_t RequestMeter::HeldBytes() const {
  // Space for an announced body is reserved. A large block occupies memory only
  // as far as bytes were written to it.
  const std::size_t body = static_cast<std::size_t>(
      this->announced_length.has_value()
          ? std::max(this->body_bytes,
                     std::min<std::uint64_t>(*this->announced_length,
                                             kLargeBlockBytes))
          : kGrowth * this->body_bytes);
  return this->target_bytes + this->header_bytes + this->fields * kFieldBytes +
         this->chunks * kChunkBytes + body;
}

std::vector<std::size_t> RequestMeter::TakeCompleted() {
  return std::exchange(this->completed, {});
}

RequestMeter& RequestMeter::Self(http_parser* parser) {
  return *static_cast<RequestMeter*>(parser->data);
}

http_parser_settings RequestMeter::MakeCallbacks() {
  http_parser_settings callbacks{};
  http_parser_settings_init(&callbacks);
  callbacks.on_url = [](http_parser* parser, const char*, std::size_t length) {
    Self(parser).target_bytes += length;
    return 0;
  };
  callbacks.on_header_field = [](http_parser* parser, const char*,
                                 std::size_t length) {
    RequestMeter& self = Self(parser);
    self.fields += std::exchange(self.last_was_value, false) ? 1 : 0;
    return self.OnHeaderBytes(length);
  };
  callbacks.on_header_value = [](http_parser* parser, const char*,
                                 std::size_t length) {
    RequestMeter& self = Self(parser);
    self.last_was_value = true;
    return self.OnHeaderBytes(length);
  };
  callbacks.on_headers_complete = [](http_parser* parser) {
    return Self(parser).OnHeadersComplete();
  };
  callbacks.on_body = [](http_parser* parser, const char*, std::size_t length) {
    return Self(parser).OnBodyBytes(length);
  };
  callbacks.on_chunk_header = [](http_parser* parser) {
    RequestMeter& self = Self(parser);
    self.chunks += parser->content_length > 0 ? 1 : 0;
    // A chunk that can't fit needn't be read first.
    return parser->content_length > self.limits.max_body_bytes - self.body_bytes
               ? self.Stop(Finding::kBodyTooLarge)
               : 0;
  };
  callbacks.on_message_complete = [](http_parser* parser) {
    return Self(parser).OnMessageComplete();
  };
  return callbacks;
}

int RequestMeter::OnHeaderBytes(std::size_t length) {
  this->header_bytes += length;
  return this->header_bytes > this->limits.max_header_bytes
             ? this->Stop(Finding::kHeadersTooLarge)
             : 0;
}

int RequestMeter::OnHeadersComplete() {
  constexpr std::uint64_t kUnknown = std::numeric_limits<std::uint64_t>::max();
  if ((this->parser.flags & F_CHUNKED) != 0 ||
      this->parser.content_length == kUnknown) {
    return 0;
  }
  this->announced_length = this->parser.content_length;
  return this->parser.content_length > this->limits.max_body_bytes
             ? this->Stop(Finding::kBodyTooLarge)
             : 0;
}

int RequestMeter::OnBodyBytes(std::uint64_t length) {
  this->body_bytes += length;
  return this->body_bytes > this->limits.max_body_bytes
             ? this->Stop(Finding::kBodyTooLarge)
             : 0;
}

int RequestMeter::OnMessageComplete() {
  // As RESTinio does, so that both read the next request from the same byte.
  http_parser_pause(&this->parser, 1);
  this->message_complete = true;
  return 0;
}

int RequestMeter::Stop(Finding reason) {
  this->finding = reason;
  this->stopped = true;
  return -1;
}

void RequestMeter::BeginRequest() {
  http_parser_init(&this->parser, HTTP_REQUEST);
  this->parser.data = this;
  this->message_complete = false;
  this->last_was_value = true;
  this->announced_length.reset();
  this->target_bytes = 0;
  this->header_bytes = 0;
  this->fields = 0;
  this->chunks = 0;
  this->body_bytes = 0;
}

}  // namespace mimosastage::internal
