#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/wire_orders.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;

class UnreadableIdTest : public ::testing::Test {
 protected:
  /// A worker's id is the last part of its heartbeat's path, which may hold any
  /// byte.
  const std::string id = "worker-\xff";
};

// Guards against an exception that ends the leader, and each next one, once a
// worker whose id isn't UTF-8 has registered.
TEST_F(UnreadableIdTest, Advice_OneIdIsNotUtf8_TheOthersAreNamed) {
  jobs::AdviceRequest order;
  order.step = "job.0.0";
  order.workers = {this->id, "worker-2"};
  const json body = json::parse(EncodeAdvice(order, "10.0.0.1", 80).body);
  EXPECT_EQ(body["step"], "job.0.0");
  ASSERT_EQ(body["workers"].size(), 2U);
  EXPECT_EQ(body["workers"][1], "worker-2");
}

// Guards against the same for the names of instances and pools.
TEST_F(UnreadableIdTest, InstanceRequest_NamesAreNotUtf8_IsEncoded) {
  for (const auto kind : {jobs::InstanceRequest::Kind::kMove,
                          jobs::InstanceRequest::Kind::kUpkeep}) {
    jobs::InstanceRequest order;
    order.kind = kind;
    order.instance = this->id;
    order.pool = this->id;
    const ExchangeRequest request =
        EncodeInstanceRequest(order, "10.0.0.1", 80);
    EXPECT_TRUE(json::parse(request.body).is_object());
  }
}

}  // namespace
}  // namespace mimosastage::platform
