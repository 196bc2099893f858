#ifndef CONTROLLERS_CLAIM_H
#define CONTROLLERS_CLAIM_H

/**
 * DOC: claim - claims state machine of log group 1
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

#define CLAIM_KEY_BYTES 16
#define CLAIM_ATTEMPT_BYTES 16
/* Longest time from claim to run deadline.  A key is kept at least as long,
   so that it is not forgotten while its request may still run.  */
#define CLAIM_RUN_MS_MAX (60u * 60 * 1000)
#define CLAIM_KEEP_HOURS_MAX (366u * 24)
#define CLAIM_ANSWER_BYTES_MAX (1024u * 1024)

struct claim;

/* All replicas must use the same options, otherwise their states diverge.  */
struct claim_opts
{
  uint64_t keep_ms;   /* time that a key is kept after its claim; raised to
                         CLAIM_RUN_MS_MAX when less */
  uint32_t keys_max;  /* a full store refuses new keys */
  uint64_t bytes_max; /* of recorded and reserved answers */
};

enum claim_op
{
  CLAIM_CLAIM,
  CLAIM_RELEASE, /* with proof that nothing was handed to the server */
  CLAIM_OUTCOME, /* records the answer */
};

struct claim_command
{
  enum claim_op op;
  uint8_t key[CLAIM_KEY_BYTES];         /* hash of caller, kind and key */
  uint8_t attempt[CLAIM_ATTEMPT_BYTES]; /* who claims */
  uint64_t body_hash;                   /* CLAIM_CLAIM */
  uint32_t run_ms;                      /* CLAIM_CLAIM: time to the deadline */
  uint32_t keep_hours;                  /* CLAIM_CLAIM: 0 takes the option */
  uint32_t keys_max;       /* CLAIM_CLAIM: the configuration's bound,
                              in the command so that all replicas
                              apply the same; 0 for the option's */
  uint32_t answer_reserve; /* CLAIM_CLAIM: an answer up to this many
                              bytes is recorded for certain */
  bool without_answer;     /* CLAIM_OUTCOME: done, answer too large */
  const uint8_t *answer;   /* CLAIM_OUTCOME: opaque to this module */
  size_t answer_len;
};

enum claim_result_kind
{
  CLAIM_GRANTED,     /* also for a repeated claim by the same attempt */
  CLAIM_IN_PROGRESS, /* another attempt holds it, before its deadline */
  CLAIM_DONE,        /* answer holds the recorded answer, if there is one */
  CLAIM_UNKNOWN,     /* claimed, no outcome, deadline passed */
  CLAIM_MISMATCH,    /* the key was used with another body */
  CLAIM_FULL,        /* no room for a new key or its answer */
  CLAIM_RELEASED,    /* the key is as if never claimed */
  CLAIM_RECORDED,    /* also when this attempt repeats its outcome */
  CLAIM_NOT_HELD, /* release or outcome by an attempt that does not hold it */
};

struct claim_result
{
  enum claim_result_kind kind;
  bool without_answer; /* CLAIM_DONE, CLAIM_RECORDED: the request is done, but
                          its answer did not fit and is not recorded */
  const uint8_t *answer; /* CLAIM_DONE: valid until the next claim_apply() */
  size_t answer_len;
};

struct claim *claim_new (const struct claim_opts *opts);
void claim_free (struct claim *claim);

/**
 * claim_apply() - apply one committed log entry
 * @claim: state machine
 * @stamp_ms: leader's wall clock stamp in the entry; an earlier stamp than the
 *	highest so far counts as the highest
 * @data: encoded command, see claim_encode()
 * @len: length of @data
 * @result: set on success
 *
 * Nothing changes unless SR_OK is returned.  After SR_ENOMEM the replica must
 * not go on to the next entry, as its state would differ from the others.
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.
 */
int claim_apply (struct claim *claim, uint64_t stamp_ms, const uint8_t *data,
                 size_t len, struct claim_result *result);

/* Encoded command; the buffer is malloc()ed.  Returns SR_OK, SR_ENOMEM,
   SR_EINVAL when a time or the answer is above its limit.  */
int claim_encode (const struct claim_command *command, uint8_t **out,
                  size_t *len);

/* Whole state, malloc()ed; equal states give equal bytes.  */
int claim_snapshot (const struct claim *claim, uint8_t **out, size_t *len);

/* Replaces the state by a snapshot; the state is unchanged unless SR_OK is
   returned.  Returns SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.  */
int claim_restore (struct claim *claim, const uint8_t *data, size_t len);

uint32_t claim_key_count (const struct claim *claim);

/* Bytes of recorded and reserved answers.  */
uint64_t claim_bytes_used (const struct claim *claim);

/* Encoded results, as sent from the leader to the node that proposed.  The
   answer of a decoded result points into DATA.  */
int claim_result_encode (const struct claim_result *result, uint8_t **out,
                         size_t *len);
int claim_result_decode (const uint8_t *data, size_t len,
                         struct claim_result *result);

#endif
