#ifndef MIMOSASTAGE_HTTP_INTERNAL_REQUEST_METER_H_
#define MIMOSASTAGE_HTTP_INTERNAL_REQUEST_METER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace mimosastage::internal {

/// Reads the bytes of a connection beside the HTTP server, with the same
/// parser, and estimates the memory that the server holds for them. The server
/// tells nothing about a request before it is complete.
class RequestMeter {
 public:
  struct Limits {
    std::uint64_t max_body_bytes = 1U << 20U;
    /// Names and values of all fields, trailers included.
    std::size_t max_header_bytes = 16U << 10U;
  };
  enum class Finding : std::uint8_t {
    kNone,
    kHeadersTooLarge,
    kBodyTooLarge,
  };

  explicit RequestMeter(Limits limits);
  RequestMeter(const RequestMeter&) = delete;
  RequestMeter& operator=(const RequestMeter&) = delete;

  /// Reads on. Bytes after one that the parser refuses, or that exceeds a
  /// limit, are ignored, because the server closes the connection then.
  Finding Read(std::string_view bytes);

  /// Estimate of the memory for the request that isn't complete.
  std::size_t HeldBytes() const;
  /// Estimates for the requests that were completed since the last call.
  std::vector<std::size_t> TakeCompleted();

 private:
  static RequestMeter& Self(http_parser* parser);
  static http_parser_settings MakeCallbacks();
  /// Counts bytes of a field's name, or of its value.
  int OnHeaderBytes(std::size_t length);
  int OnHeadersComplete();
  int OnBodyBytes(std::uint64_t length);
  int OnMessageComplete();
  int Stop(Finding reason);
  void BeginRequest();

  const Limits limits;
  http_parser parser{};
  bool stopped = false;
  Finding finding = Finding::kNone;
  std::vector<std::size_t> completed;
  // Of the request that isn't complete.
  bool message_complete = false;
  bool last_was_value = true;
  std::optional<std::uint64_t> announced_length;
  std::size_t target_bytes = 0;
  std::size_t header_bytes = 0;
  std::size_t fields = 0;
  std::size_t chunks = 0;
  std::uint64_t body_bytes = 0;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_HTTP_INTERNAL_REQUEST_METER_H_
