#include "mimosastage/http/internal/request_meter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "mimosastage/http/large_blocks.h"

namespace mimosastage::internal {
namespace {

using Finding = RequestMeter::Finding;

constexpr RequestMeter::Limits kLimits{1'000, 500};

std::string Post(const std::string& framing, const std::string& body) {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n" + body;
}

std::string Chunked(const std::string& body) {
  return Post("Transfer-Encoding: chunked", body);
}

std::string Repeat(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

class RequestMeterTest : public ::testing::Test {
 protected:
  RequestMeter meter{kLimits};
};

TEST_F(RequestMeterTest, Read_AnnouncedLengthOverLimit_IsFoundBeforeBody) {
  EXPECT_EQ(this->meter.Read(Post("Content-Length: 1001", "")),
            Finding::kBodyTooLarge);
}

TEST_F(RequestMeterTest, Read_LargestBodies_AreComplete) {
  const std::string body(1'000, 'x');
  EXPECT_EQ(this->meter.Read(Post("Content-Length: 1000", body) +
                             Chunked("3e8\r\n" + body + "\r\n0\r\n\r\n")),
            Finding::kNone);
  EXPECT_EQ(this->meter.TakeCompleted().size(), 2U);
  EXPECT_EQ(this->meter.HeldBytes(), 0U);
}

TEST_F(RequestMeterTest, Read_ChunkThatCannotFit_IsFoundAtItsHeader) {
  EXPECT_EQ(this->meter.Read(
                Chunked("3e8\r\n" + std::string(1'000, 'x') + "\r\n1\r\n")),
            Finding::kBodyTooLarge);
}

TEST_F(RequestMeterTest, Read_HeadersOrTrailersOverLimit_AreFound) {
  const std::string field = "X: " + std::string(99, 'x') + "\r\n";
  EXPECT_EQ(this->meter.Read("GET / HTTP/1.1\r\n" + Repeat(field, 6)),
            Finding::kHeadersTooLarge);
  RequestMeter other(kLimits);
  EXPECT_EQ(other.Read(Chunked("0\r\n" + Repeat(field, 6))),
            Finding::kHeadersTooLarge);
}

// Guards against chunks of one byte that cost the server 16 bytes and more
// each, and count as one byte.
TEST_F(RequestMeterTest, Read_ChunksOfOneByte_CountTheirOverhead) {
  EXPECT_EQ(this->meter.Read(Chunked(Repeat("1\r\nx\r\n", 900))),
            Finding::kNone);
  EXPECT_GE(this->meter.HeldBytes(), 900U * (1 + 16));
}

// Guards against an announced length that takes all room before a byte of the
// body has arrived.
TEST_F(RequestMeterTest, Read_AnnouncedLength_CountsAtMostOneLargeBlock) {
  RequestMeter large({64U << 20U, 500});
  EXPECT_EQ(large.Read(Post("Content-Length: 60000000", "")), Finding::kNone);
  EXPECT_LE(large.HeldBytes(), kLargeBlockBytes + 1'000);
  EXPECT_EQ(large.Read(std::string(1U << 20U, 'x')), Finding::kNone);
  EXPECT_GE(large.HeldBytes(), 1U << 20U);
}

/// Requests that follow each other, with a few bytes replaced, erased or
/// inserted.
std::string DrawInput() {
  std::string bytes;
  const auto count = *rc::gen::inRange<std::size_t>(1, 6);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string body(*rc::gen::inRange<std::size_t>(0, 300), 'x');
    const std::string length = "Content-Length: " + std::to_string(body.size());
    bytes += *rc::gen::element(
        std::string("GET / HTTP/1.1\r\n\r\n"), Post(length, body),
        Chunked("5\r\nhello\r\n0\r\n\r\n"),
        Chunked(Repeat("1;x=y\r\nx\r\n", body.size()) + "0\r\nT: t\r\n\r\n"),
        Post("Connection: upgrade\r\nUpgrade: any\r\n" + length, body),
        Post("Expect: 100-continue\r\n" + length, body));
  }
  const auto changes = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        bytes[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        break;
      default:
        bytes.insert(at, *rc::gen::arbitrary<std::string>());
    }
  }
  return bytes;
}

// Guards against counts that depend on how the bytes are split into reads.
RC_GTEST_PROP(RequestMeterProperties, Read_AnySplit_GivesTheSame, ()) {
  const std::string bytes = DrawInput();
  RequestMeter whole(kLimits);
  const Finding finding = whole.Read(bytes);
  RequestMeter split(kLimits);
  Finding split_finding = Finding::kNone;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 100);
    split_finding = split.Read(bytes.substr(at, size));
    at += size;
  }
  RC_ASSERT(finding == split_finding);
  RC_ASSERT(whole.TakeCompleted() == split.TakeCompleted());
  // A limit may be passed in the middle of a read, of which the rest counts.
  if (finding == Finding::kNone) {
    RC_ASSERT(whole.HeldBytes() == split.HeldBytes());
  }
}

// Guards against bytes that end the process, or that make the estimate exceed
// what they can cost.
RC_GTEST_PROP(RequestMeterProperties, Read_AnyBytes_EstimateIsBounded, ()) {
  const std::string bytes = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                            rc::gen::exec(&DrawInput));
  RequestMeter meter(kLimits);
  meter.Read(bytes);
  RC_ASSERT(meter.HeldBytes() <= 160 * bytes.size() + kLimits.max_body_bytes);
}

}  // namespace
}  // namespace mimosastage::internal
