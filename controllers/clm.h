#ifndef CONTROLLERS_CLM_H
#define CONTROLLERS_CLM_H

/**
 * DOC: clm - claims state machine of log group 1
 *
 * A claim gives one attempt the right to run a non-idempotent request.  Time
 * is the leader's stamp in the log entry.  A claim without an outcome after
 * its run deadline answers "unknown" until its key is forgotten, and never
 * runs again.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

#define CLM_KEY_BYTES 16
#define CLM_ATTEMPT_BYTES 16

struct clm;

struct clm_opts
{
  uint64_t keep_ms;   /* time that a key is kept after its claim */
  uint32_t keys_max;  /* a full store refuses new keys */
  uint64_t bytes_max; /* of recorded answers */
};

enum clm_op
{
  CLM_CLAIM,
  CLM_RELEASE, /* with proof that nothing was handed to the server */
  CLM_OUTCOME, /* records the answer */
};

struct clm_command
{
  enum clm_op op;
  uint8_t key[CLM_KEY_BYTES];         /* hash of caller, kind and key */
  uint8_t attempt[CLM_ATTEMPT_BYTES]; /* who claims */
  uint64_t body_hash;                 /* CLM_CLAIM */
  uint32_t run_ms;                    /* CLM_CLAIM: time to the deadline */
  uint32_t keep_hours;                /* CLM_CLAIM: 0 takes the option */
  const uint8_t *answer;              /* CLM_OUTCOME: opaque to this module */
  size_t answer_len;
};

enum clm_result_kind
{
  CLM_GRANTED,     /* also for a repeated claim by the same attempt */
  CLM_IN_PROGRESS, /* another attempt holds it, before its deadline */
  CLM_DONE,        /* answer holds the recorded answer */
  CLM_UNKNOWN,     /* claimed, no outcome, deadline passed */
  CLM_MISMATCH,    /* the key was used with another body */
  CLM_FULL,
  CLM_RELEASED,
  CLM_RECORDED,
  CLM_NOT_HELD, /* release or outcome by an attempt that does not hold it */
};

struct clm_result
{
  enum clm_result_kind kind;
  const uint8_t *answer; /* valid until the next clm_apply() */
  size_t answer_len;
};

struct clm *clm_new (const struct clm_opts *opts);
void clm_free (struct clm *clm);

/**
 * clm_apply() - apply one committed log entry
 * @clm: state machine
 * @stamp_ms: leader's wall clock stamp in the entry
 * @data: encoded command, see clm_encode()
 * @len: length of @data
 * @result: set on success
 *
 * Return: SR_OK, SR_EMALFORMED, SR_ENOMEM.
 */
int clm_apply (struct clm *clm, uint64_t stamp_ms, const uint8_t *data,
               size_t len, struct clm_result *result);

int clm_encode (const struct clm_command *command, uint8_t **out, size_t *len);
int clm_snapshot (const struct clm *clm, uint8_t **out, size_t *len);
int clm_restore (struct clm *clm, const uint8_t *data, size_t len);
uint32_t clm_keys (const struct clm *clm);

/* Encoded results, as sent from the leader to the node that proposed.  */
int clm_result_encode (const struct clm_result *result, uint8_t **out,
                       size_t *len);
int clm_result_decode (const uint8_t *data, size_t len,
                       struct clm_result *result);

#endif
