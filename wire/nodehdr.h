#ifndef WIRE_NODEHDR_H
#define WIRE_NODEHDR_H

/**
 * DOC: nodehdr - header fields that nodes add to forwarded HTTP messages
 *
 * The entry node describes the request to the node of the chosen backend
 * server, which reports the outcome and its load in the response.  The value
 * of each field is a list of values separated by spaces, in the order of the
 * struct.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/reason.h"
#include "core/route.h"

#define NODEHDR_REQUEST_FIELD "Rudder-Request"
#define NODEHDR_ANSWER_FIELD "Rudder-Answer"
#define NODEHDR_TEXT_BYTES 192
/* Fixed-point scales: the value on the wire that represents 1.0.  */
#define NODEHDR_FRACTION_SCALE 100u
#define NODEHDR_FAN_OUT_SCALE 16u
#define NODEHDR_LOAD_SCALE 100u

/* Value of NODEHDR_REQUEST_FIELD.  */
struct nodehdr_request
{
  char service[ROUTE_NAME_BYTES];
  uint32_t importance;
  uint32_t timeout_ms; /* remaining time of the route's timeout */
  uint32_t target_ms;  /* remaining time until a response is late; 0:
                          late already, or the route has no target */
  uint32_t timeout_used_fraction; /* average of latency / timeout of such
                                requests, times NODEHDR_FRACTION_SCALE */
  uint64_t route_id;              /* hash of the route's name */
  bool idempotent;
  bool may_have_run; /* an earlier attempt may have run */
  bool internal; /* the route is known to be used by backend servers only */
};

enum nodehdr_outcome
{
  NODEHDR_ANSWERED, /* the backend server responded */
  NODEHDR_NOT_RUN,  /* the backend server did not and will not execute it */
  NODEHDR_UNKNOWN,  /* not known whether it was executed */
};

/* Value of NODEHDR_ANSWER_FIELD.  */
struct nodehdr_answer
{
  enum nodehdr_outcome outcome;
  enum reason_refusal reason;
  uint32_t retry_after_ms;           /* 0: none */
  uint32_t internal_queue_wait_us;   /* expected, of internal requests here */
  uint32_t downstream_queue_wait_us; /* maximum at downstream nodes */
  uint32_t queue_wait_us; /* time that this request waited for a slot */
  uint32_t fan_out;       /* downstream calls per executed request, times
                             NODEHDR_FAN_OUT_SCALE */
  uint32_t load; /* (running + waiting requests) / concurrency limit, times
                    NODEHDR_LOAD_SCALE */
  bool internal; /* the route is used by backend servers only */
  uint32_t downstream_queue_wait_age_ms; /* time since
                                            downstream_queue_wait_us was
                                            measured; 0 if not reported */
};

/* Write the value of NODEHDR_REQUEST_FIELD or NODEHDR_ANSWER_FIELD to OUT,
   terminated by NUL.  */
void nodehdr_encode_request (const struct nodehdr_request *request,
                             char out[NODEHDR_TEXT_BYTES]);
void nodehdr_encode_answer (const struct nodehdr_answer *answer,
                            char out[NODEHDR_TEXT_BYTES]);

/* Parse the value of a field.  Return SR_OK or SR_EMALFORMED.  */
int nodehdr_decode_request (const char *text, struct nodehdr_request *request);
int nodehdr_decode_answer (const char *text, struct nodehdr_answer *answer);

#endif
