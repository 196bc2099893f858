#ifndef CORE_COUNTER_H
#define CORE_COUNTER_H

/**
 * DOC: counter - monotonic counters for metrics
 *
 * One set for each process; any thread may add.  Refusals and retries have
 * one counter for each reason of core/reason.h.
 */

#include <stdint.h>

#include "core/reason.h"

/* X (symbol, metric name, help text) */
#define COUNTER_TABLE(X)                                                      \
  X (CALLS, "rudder_calls_total", "Requests received from callers")           \
  X (ANSWERS, "rudder_answers_total", "Whole answers given to callers")       \
  X (ATTEMPTS, "rudder_attempts_total", "Attempts started")                   \
  X (ATTEMPTS_CROSS_DOMAIN, "rudder_attempts_far_total",                      \
     "Attempts at servers of another failure domain")                         \
  X (BYTES_CROSS_DOMAIN, "rudder_request_bytes_far_total",                    \
     "Body bytes of requests and answers passed between failure domains")     \
  X (SERVES, "rudder_serves_total", "Requests received for the own server")   \
  X (DISPATCHED, "rudder_dispatched_total",                                   \
     "Requests sent to the own server")                                       \
  X (SERVES_OVERDUE, "rudder_serves_overdue_total",                           \
     "Running requests ended because the node that sent them fell silent")    \
  X (CONNECTIONS, "rudder_backend_connections_total",                         \
     "Connections opened to the own server")                                  \
  X (CONNECTIONS_SILENT, "rudder_connections_silent_total",                   \
     "Connections closed because the other end fell silent")                  \
  X (ANSWER_READS_PAUSED, "rudder_answer_reads_paused_total",                 \
     "Pauses in reading an answer because too much of it was unsent")         \
  X (REQUEST_READS_PAUSED, "rudder_request_reads_paused_total",               \
     "Pauses in reading requests, for a long body or a long pipeline")        \
  X (CONNECTIONS_GAVE_WAY, "rudder_connections_gave_way_total",               \
     "Connections refused or closed because memory was short")                \
  X (CLAIMS_GRANTED, "rudder_claims_granted_total", "Claims granted")         \
  X (CLAIMS_REPLAYED, "rudder_claims_replayed_total",                         \
     "Recorded answers given to a resend")                                    \
  X (PEER_MALFORMED, "rudder_peer_malformed_total",                           \
     "Peer messages dropped because they could not be decoded")               \
  X (PEER_SILENT, "rudder_peer_silent_total",                                 \
     "Peer connections replaced after silence")                               \
  X (CONTROL_SILENT, "rudder_control_silent_total",                           \
     "Times that a control replica stopped answering renewals")               \
  X (PEER_SENT_BYTES, "rudder_peer_sent_bytes_total",                         \
     "Bytes of the frames of peer messages sent")                             \
  X (PEER_RECEIVED_BYTES, "rudder_peer_received_bytes_total",                 \
     "Bytes of the frames of peer messages received")                         \
  X (ALLOWANCE_LOST, "rudder_allowance_lost_total",                           \
     "Retry allowance that did not come back with an answer")                 \
  X (TOLERANCE_UNMET, "rudder_tolerance_unmet_seconds_total",                 \
     "Seconds for which the voters of a log group that is led here did not "  \
     "bear the losses that the settings name")                                \
  X (CONFIG_CHANGES, "rudder_config_changes_total",                           \
     "Configuration versions put in force")

enum counter_id
{
#define COUNTER_X(symbol, name, help) COUNTER_##symbol,
  COUNTER_TABLE (COUNTER_X)
#undef COUNTER_X
      COUNTER_COUNT
};

void counter_add (enum counter_id id, uint64_t amount);
uint64_t counter_get (enum counter_id id);

/* Adds one to the refusals with REASON.  */
void counter_add_refusal (enum reason_refusal reason);

/* Adds one to the retries with REASON.  */
void counter_add_retry (enum reason_retry reason);

/**
 * counter_each() - visit all counters
 * @visit: called with the metric name, help text, label value (NULL when the
 *	metric has no label) and value
 * @arg: passed to @visit
 */
void counter_each (void (*visit) (void *arg, const char *name,
                                  const char *help, const char *label,
                                  uint64_t value),
                   void *arg);

#endif
