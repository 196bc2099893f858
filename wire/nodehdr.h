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

#define NH_REQUEST_FIELD "Rudder-Request"
#define NH_ANSWER_FIELD "Rudder-Answer"
#define NH_TEXT_BYTES 192
/* Values on the wire that stand for one.  */
#define NH_HASTE_UNIT 100u
#define NH_FAN_OUT_UNIT 16u
#define NH_LOAD_UNIT 100u

struct nh_request
{
  char service[RTE_NAME_BYTES];
  uint32_t importance;
  uint32_t timeout_ms; /* left of the route's timeout */
  uint32_t target_ms;  /* left until an answer counts as late */
  uint32_t haste;      /* part of their time limit that such requests take, in
                          NH_HASTE_UNIT */
  uint64_t route;      /* digest of the route's name */
  bool idempotent;
  bool repeat; /* an earlier attempt may have run */
  bool inner;  /* the route is known to be sent by backend servers only */
};

enum nh_end
{
  NH_ANSWERED, /* by the backend server */
  NH_NOT_RUN,  /* the backend server has not run it and will not */
  NH_UNKNOWN,
};

struct nh_answer
{
  enum nh_end end;
  enum rsn_refusal reason;
  uint32_t retry_after_ms; /* 0: none */
  uint32_t wait_us;        /* expected wait of a call of a running request */
  uint32_t pressure_us;    /* the longest such wait below the backend server */
  uint32_t waited_us;      /* by this request, for a slot */
  uint32_t fan_out; /* calls that one run leads to, in NH_FAN_OUT_UNIT */
  uint32_t load;    /* running and waiting requests for each slot, in
                       NH_LOAD_UNIT */
  bool inner;       /* the route is sent by backend servers only */
};

void nh_put_request (const struct nh_request *request,
                     char out[NH_TEXT_BYTES]);
void nh_put_answer (const struct nh_answer *answer, char out[NH_TEXT_BYTES]);

/* SR_OK or SR_EMALFORMED.  */
int nh_get_request (const char *text, struct nh_request *request);
int nh_get_answer (const char *text, struct nh_answer *answer);

#endif
