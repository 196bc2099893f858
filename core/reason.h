#ifndef CORE_REASON_H
#define CORE_REASON_H

/**
 * DOC: reason - reasons for refusals and retries
 *
 * One table row for each reason defines its name, HTTP status, error type of
 * RFC 9209 and counter.
 */

/* X (symbol, name, HTTP status, RFC 9209 error type, retryable) */
#define REASON_REFUSAL_TABLE(X)                                               \
  X (MALFORMED, "malformed", 400, "http_request_error", 0)                    \
  X (HEADERS_TOO_LARGE, "headers-too-large", 431, "http_request_error", 0)    \
  X (LENGTH_REQUIRED, "length-required", 411, "http_request_error", 0)        \
  X (BODY_TOO_LARGE, "body-too-large", 413, "http_request_error", 0)          \
  X (BODY_INCOMPLETE, "body-incomplete", 400, "http_request_error", 0)        \
  X (UNKNOWN_SERVICE, "unknown-service", 404, "destination_not_found", 0)     \
  X (UNKNOWN_KIND, "unknown-kind", 404, "destination_not_found", 0)           \
  X (KEY_REQUIRED, "idempotency-key-required", 400, "http_request_error", 0)  \
  X (KEY_REUSED, "key-reused", 422, "http_request_error", 0)                  \
  X (PARENT_ENDED, "parent-ended", 504, "http_response_timeout", 0)           \
  X (CHAIN_TOO_DEEP, "chain-too-deep", 508, "proxy_loop_detected", 0)         \
  X (NOT_READY, "not-ready", 503, "proxy_configuration_error", 1)             \
  X (NO_SERVER, "no-server", 503, "destination_unavailable", 1)               \
  X (NO_BACKEND, "no-backend", 503, "destination_unavailable", 1)             \
  X (DRAINING, "draining", 503, "destination_unavailable", 1)                 \
  X (UPSTREAM_SHED, "upstream-shed", 503, "connection_limit_reached", 1)      \
  X (QUEUE_FULL, "queue-full", 503, "connection_limit_reached", 1)            \
  X (SERVER_REFUSED, "server-refused", 503, "connection_limit_reached", 1)    \
  X (EVICTED, "evicted", 503, "connection_limit_reached", 1)                  \
  X (CALLER_SHARE, "caller-share", 429, "connection_limit_reached", 1)        \
  X (DEADLINE_QUEUED, "deadline-queued", 504, "http_response_timeout", 1)     \
  X (DEADLINE_RUNNING, "deadline-running", 504, "http_response_timeout", 1)   \
  X (QUARANTINED, "quarantined", 503, "http_request_denied", 0)               \
  X (SUSPECT_RUNNING, "suspect-running", 503, "destination_unavailable", 1)   \
  X (CLAIM_UNAVAILABLE, "claim-unavailable", 503, "proxy_internal_error", 1)  \
  X (CLAIM_STORE_FULL, "claim-store-full", 503, "proxy_internal_error", 1)    \
  X (CLAIM_UNKNOWN, "claim-unknown", 502, "proxy_internal_error", 0)          \
  X (ANSWER_NOT_KEPT, "answer-not-kept", 409, "proxy_internal_error", 0)      \
  X (CONNECT_FAILED, "connect-failed", 502, "connection_refused", 1)          \
  X (BACKEND_CLOSED, "backend-closed", 502, "connection_terminated", 1)       \
  X (BACKEND_CRASHED, "backend-crashed", 502, "connection_terminated", 0)     \
  X (ANSWER_INCOMPLETE, "answer-incomplete", 502, "http_response_incomplete", \
     1)                                                                       \
  X (CONNECTION_SILENT, "connection-silent", 504, "connection_read_timeout",  \
     1)                                                                       \
  X (PEER_LOST, "peer-lost", 502, "connection_terminated", 1)                 \
  X (PEER_CONGESTED, "peer-congested", 503, "connection_limit_reached", 1)    \
  X (STOPPING, "stopping", 502, "connection_terminated", 1)                   \
  X (CANCELLED, "cancelled", 499, "http_request_error", 0)                    \
  X (INTERNAL, "internal", 500, "proxy_internal_error", 0)                    \
  X (MEMORY_SHORT, "memory-short", 503, "connection_limit_reached", 1)

/* X (symbol, name) */
#define REASON_RETRY_TABLE(X)                                                 \
  X (REFUSED_BELOW, "refused-below")                                          \
  X (CONNECT_FAILED, "connect-failed")                                        \
  X (BACKEND_CLOSED, "backend-closed")                                        \
  X (CONNECTION_SILENT, "connection-silent")                                  \
  X (PEER_LOST, "peer-lost")                                                  \
  X (ANSWER_INCOMPLETE, "answer-incomplete")                                  \
  X (HEDGE, "hedge")

enum reason_refusal
{
  REASON_NONE,
#define REASON_X(symbol, name, status, type, retryable) REASON_##symbol,
  REASON_REFUSAL_TABLE (REASON_X)
#undef REASON_X
      REASON_COUNT
};

enum reason_retry
{
  REASON_RETRY_NONE,
#define REASON_X(symbol, name) REASON_RETRY_##symbol,
  REASON_RETRY_TABLE (REASON_X)
#undef REASON_X
      REASON_RETRY_COUNT
};

/* Whether a backend server may have executed a refused request.  */
enum reason_run
{
  REASON_NOT_RUN,
  REASON_RUN_UNKNOWN,
};

const char *reason_name (enum reason_refusal reason);
int reason_http_status (enum reason_refusal reason);

/* Returns the error type of the Proxy-Status field (RFC 9209).  */
const char *reason_proxy_error (enum reason_refusal reason);

/* Returns 1 when a retry of the refused request may succeed, else 0.  */
int reason_is_retryable (enum reason_refusal reason);
const char *reason_retry_name (enum reason_retry reason);
const char *reason_run_name (enum reason_run run);

#endif
