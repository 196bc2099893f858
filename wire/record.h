#ifndef WIRE_RECORD_H
#define WIRE_RECORD_H

/**
 * DOC: rcd - recorded answers of non-idempotent requests
 *
 * Stored with the claim, and given again to a resend.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/buf.h"
#include "core/list.h"

struct record_answer
{
  int status;
  bool body_recorded; /* false: the body was too large to be recorded */
  struct list fields; /* struct msg_field */
  struct buf body;
};

int record_encode (const struct record_answer *answer, uint8_t **out,
                   size_t *len);

/* SR_EMALFORMED; on success free with record_free().  */
int record_decode (const uint8_t *data, size_t len,
                   struct record_answer *answer);
void record_free (struct record_answer *answer);

#endif
