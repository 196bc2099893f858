#ifndef WIRE_RECORD_H
#define WIRE_RECORD_H

/**
 * DOC: record - encoding of recorded responses to non-idempotent requests
 *
 * The record is stored with the claim of the idempotency key and replayed when
 * the caller sends the request again.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/buf.h"
#include "core/list.h"

struct record_answer
{
  int status;
  bool body_recorded; /* false: the body was too large */
  struct list fields; /* struct msg_field */
  struct buf body;
};

/* Encodes ANSWER to a malloc()ed buffer; SR_OK or SR_ENOMEM.  */
int record_encode (const struct record_answer *answer, uint8_t **out,
                   size_t *len);

/* Decodes a record.  Returns SR_OK, with ANSWER to be freed with
   record_free(), or SR_EMALFORMED.  */
int record_decode (const uint8_t *data, size_t len,
                   struct record_answer *answer);
void record_free (struct record_answer *answer);

#endif
