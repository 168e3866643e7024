#ifndef MIMOSASTAGE_NODE_JOB_PROTOCOL_H_
#define MIMOSASTAGE_NODE_JOB_PROTOCOL_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <variant>

#include "mimosastage/backend_servers/exchange_client.h"
#include "mimosastage/http/http_server.h"
#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/worker_order.h"

namespace mimosastage {

/// Asks whether the daemon may receive new connections.
struct ReadinessRequest {};

/// Asks for the metrics as text.
struct MetricsRequest {};

/// A call that waits at most `patience` for its answer.
struct IncomingCall {
  jobs::Call call;
  std::chrono::milliseconds patience{0};
};

/// What an HTTP request asks for; an HttpAnswer is the refusal of a malformed
/// one.
using DecodedRequest =
    std::variant<IncomingCall, ReadinessRequest, MetricsRequest, HttpAnswer>;

/// How a deployment names things on the wire. The hooks translate and hold no
/// state; they run on the node's thread.
struct JobProtocol {
  /// `listener` is the position in JobDaemon::Settings::listeners.
  std::function<DecodedRequest(const HttpRequest& request,
                               std::size_t listener)>
      decode_request;
  std::function<HttpAnswer(jobs::CallKind kind, const jobs::Answer& answer)>
      encode_answer;
  std::function<ExchangeRequest(const jobs::WorkerOrder& order)> encode_order;
  std::function<jobs::WorkerReply(const ExchangeResult& result)> decode_reply;
  std::function<ExchangeRequest(const jobs::InstanceRequest& order)>
      encode_machine_order;
  std::function<jobs::InstanceReply(const ExchangeResult& result)>
      decode_machine_reply;
  std::function<ExchangeRequest(const jobs::AdviceRequest& order)>
      encode_advice;
  std::function<jobs::AdviceReply(const ExchangeResult& result)> decode_advice;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_JOB_PROTOCOL_H_
