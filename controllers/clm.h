#ifndef CONTROLLERS_CLM_H
#define CONTROLLERS_CLM_H

/**
 * DOC: clm - claims state machine of log group 1
 *
 * A claim gives one attempt the right to run a non-idempotent request.  Time
 * is the leader's stamp in the log entry.  A claim without an outcome after
 * its run deadline answers "unknown" until its key is forgotten, and never
 * runs again.
 *
 * No key is evicted before its declared time, and no answer is dropped to make
 * room: claims reserve the bytes of their answer, and a store without room for
 * another key or reservation refuses the claim.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

#define CLM_KEY_BYTES 16
#define CLM_ATTEMPT_BYTES 16
/* Longest time from claim to run deadline.  A key is kept at least as long,
   so that it is not forgotten while its request may still run.  */
#define CLM_RUN_MS_MAX (60u * 60 * 1000)
#define CLM_KEEP_HOURS_MAX (366u * 24)
#define CLM_ANSWER_BYTES_MAX (1024u * 1024)

struct clm;

/* All replicas must use the same options, otherwise their states diverge.  */
struct clm_opts
{
  uint64_t keep_ms;   /* time that a key is kept after its claim; raised to
                         CLM_RUN_MS_MAX when less */
  uint32_t keys_max;  /* a full store refuses new keys */
  uint64_t bytes_max; /* of recorded and reserved answers */
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
  uint32_t keys_max;                  /* CLM_CLAIM: the configuration's bound,
                                         in the command so that all replicas
                                         apply the same; 0 for the option's */
  uint32_t answer_reserve;            /* CLM_CLAIM: an answer up to this many
                                         bytes is recorded for certain */
  bool without_answer;                /* CLM_OUTCOME: done, answer too large */
  const uint8_t *answer;              /* CLM_OUTCOME: opaque to this module */
  size_t answer_len;
};

enum clm_result_kind
{
  CLM_GRANTED,     /* also for a repeated claim by the same attempt */
  CLM_IN_PROGRESS, /* another attempt holds it, before its deadline */
  CLM_DONE,        /* answer holds the recorded answer, if there is one */
  CLM_UNKNOWN,     /* claimed, no outcome, deadline passed */
  CLM_MISMATCH,    /* the key was used with another body */
  CLM_FULL,        /* no room for a new key or its answer */
  CLM_RELEASED,    /* the key is as if never claimed */
  CLM_RECORDED,    /* also when this attempt repeats its outcome */
  CLM_NOT_HELD,    /* release or outcome by an attempt that does not hold it */
};

struct clm_result
{
  enum clm_result_kind kind;
  bool without_answer;   /* CLM_DONE, CLM_RECORDED: the request is done, but
                            its answer did not fit and is not recorded */
  const uint8_t *answer; /* CLM_DONE: valid until the next clm_apply() */
  size_t answer_len;
};

struct clm *clm_new (const struct clm_opts *opts);
void clm_free (struct clm *clm);

/**
 * clm_apply() - apply one committed log entry
 * @clm: state machine
 * @stamp_ms: leader's wall clock stamp in the entry; an earlier stamp than the
 *	highest so far counts as the highest
 * @data: encoded command, see clm_encode()
 * @len: length of @data
 * @result: set on success
 *
 * Nothing changes unless SR_OK is returned.  After SR_ENOMEM the replica must
 * not go on to the next entry, as its state would differ from the others.
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.
 */
int clm_apply (struct clm *clm, uint64_t stamp_ms, const uint8_t *data,
               size_t len, struct clm_result *result);

/* Encoded command; the buffer is malloc()ed.  Returns SR_OK, SR_ENOMEM,
   SR_EINVAL when a time or the answer is above its limit.  */
int clm_encode (const struct clm_command *command, uint8_t **out, size_t *len);

/* Whole state, malloc()ed; equal states give equal bytes.  */
int clm_snapshot (const struct clm *clm, uint8_t **out, size_t *len);

/* Replaces the state by a snapshot; the state is unchanged unless SR_OK is
   returned.  Returns SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.  */
int clm_restore (struct clm *clm, const uint8_t *data, size_t len);

uint32_t clm_keys (const struct clm *clm);

/* Bytes of recorded and reserved answers.  */
uint64_t clm_bytes (const struct clm *clm);

/* Encoded results, as sent from the leader to the node that proposed.  The
   answer of a decoded result points into DATA.  */
int clm_result_encode (const struct clm_result *result, uint8_t **out,
                       size_t *len);
int clm_result_decode (const uint8_t *data, size_t len,
                       struct clm_result *result);

#endif
