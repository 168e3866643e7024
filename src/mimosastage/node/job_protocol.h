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

/// A call whose caller waits for the answer at most `patience`.
struct IncomingCall {
  jobs::Call call;
  std::chrono::milliseconds patience{0};
};

/// A decoded HTTP request, or the answer that refuses a malformed one.
using DecodedRequest =
    std::variant<IncomingCall, ReadinessRequest, MetricsRequest, HttpAnswer>;

/// Translates between HTTP and the messages of jobs, because paths and field
/// names differ between deployments. The hooks keep no state but counts for the
/// log, and run on the node's thread.
struct JobProtocol {
  /// `listener` is the index in JobDaemon::Settings::listeners.
  std::function<DecodedRequest(const HttpRequest& request,
                               std::size_t listener)>
      decode_request;
  std::function<HttpAnswer(jobs::CallKind kind, const jobs::Answer& answer)>
      encode_answer;
  std::function<ExchangeRequest(const jobs::WorkerOrder& order)> encode_order;
  std::function<jobs::WorkerReply(const ExchangeResult& result)> decode_reply;
  std::function<ExchangeRequest(const jobs::InstanceRequest& request)>
      encode_instance_request;
  std::function<jobs::InstanceReply(const ExchangeResult& result)>
      decode_instance_reply;
  std::function<ExchangeRequest(const jobs::AdviceRequest& request)>
      encode_advice_request;
  std::function<jobs::AdviceReply(const ExchangeResult& result)>
      decode_advice_reply;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_JOB_PROTOCOL_H_
