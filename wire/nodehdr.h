#ifndef WIRE_NODEHDR_H
#define WIRE_NODEHDR_H

/**
 * DOC: nh - fields that two nodes add to a request that passes between them
 *
 * The node at which a request arrived tells the node beside the chosen server
 * what the request is; that node tells how it ended and how loaded it is.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/reason.h"
#include "core/route.h"

#define NODEHDR_REQUEST_FIELD "Rudder-Request"
#define NODEHDR_ANSWER_FIELD "Rudder-Answer"
#define NODEHDR_TEXT_BYTES 192
/* Values on the wire that stand for one.  */
#define NODEHDR_FRACTION_SCALE 100u
#define NODEHDR_FAN_OUT_SCALE 16u
#define NODEHDR_LOAD_SCALE 100u

struct nodehdr_request
{
  char service[ROUTE_NAME_BYTES];
  uint32_t importance;
  uint32_t timeout_ms;       /* left of the route's timeout */
  uint32_t target_ms;        /* left until an answer counts as late */
  uint32_t timeout_fraction; /* part of their time limit that such requests
                     take, in NODEHDR_FRACTION_SCALE */
  uint64_t route_id;         /* digest of the route's name */
  bool idempotent;
  bool may_have_run; /* an earlier attempt may have run */
  bool internal; /* the route is known to be sent by backend servers only */
};

enum nodehdr_outcome
{
  NODEHDR_ANSWERED, /* by the backend server */
  NODEHDR_NOT_RUN,  /* the backend server has not run it and will not */
  NODEHDR_UNKNOWN,
};

struct nodehdr_answer
{
  enum nodehdr_outcome outcome;
  enum reason_refusal reason;
  uint32_t retry_after_ms;   /* 0: none */
  uint32_t internal_wait_us; /* expected wait of a call of a running request */
  uint32_t
      downstream_wait_us; /* the longest such wait below the backend server */
  uint32_t queue_us;      /* by this request, for a slot */
  uint32_t fan_out;       /* calls that one run leads to, in
                                       NODEHDR_FAN_OUT_SCALE */
  uint32_t load;          /* running and waiting requests for each slot, in
                             NODEHDR_LOAD_SCALE */
  bool internal;          /* the route is sent by backend servers only */
};

void nodehdr_encode_request (const struct nodehdr_request *request,
                             char out[NODEHDR_TEXT_BYTES]);
void nodehdr_encode_answer (const struct nodehdr_answer *answer,
                            char out[NODEHDR_TEXT_BYTES]);

/* SR_OK or SR_EMALFORMED.  */
int nodehdr_decode_request (const char *text, struct nodehdr_request *request);
int nodehdr_decode_answer (const char *text, struct nodehdr_answer *answer);

#endif
