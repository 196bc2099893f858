#ifndef CONTROLLERS_CLAIM_H
#define CONTROLLERS_CLAIM_H

/**
 * DOC: claim - replicated state machine of idempotency claims, log group
 * MSG_GROUP_CLAIMS
 *
 * A claim gives one attempt the right to run a non-idempotent request.  The
 * current time is the leader's time stamp in the log entry.  When a claim has
 * no outcome at its run deadline, later claims of the key get CLAIM_UNKNOWN
 * until the key is removed, and the request never runs again.
 *
 * No key is evicted before its declared time, and no answer is dropped to make
 * room: each claim reserves the bytes of its answer, and a claim is refused
 * when the store has no room for another key or reservation.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

#define CLAIM_KEY_BYTES 16
#define CLAIM_ATTEMPT_BYTES 16
/* Maximum time from a claim to its run deadline.  A key is kept at least as
   long, so that it is not removed while its request may still run.  */
#define CLAIM_RUN_MS_MAX (60u * 60 * 1000)
#define CLAIM_RETENTION_HOURS_MAX (366u * 24)
#define CLAIM_ANSWER_BYTES_MAX (1024u * 1024)

struct claim;

/* All replicas must use the same options, otherwise their states diverge.  */
struct claim_opts
{
  uint64_t retention_ms; /* time that a key is kept after its claim; at least
                            CLAIM_RUN_MS_MAX */
  uint32_t keys_max;     /* new keys are refused beyond this number */
  uint64_t bytes_max;    /* recorded and reserved bytes of answers */
};

enum claim_op
{
  CLAIM_CLAIM,   /* requests the right to run */
  CLAIM_RELEASE, /* ends a claim whose request was certainly not passed to the
                    server */
  CLAIM_OUTCOME, /* records the answer */
};

struct claim_command
{
  enum claim_op op;
  uint8_t key[CLAIM_KEY_BYTES]; /* hash of caller, kind and idempotency key */
  uint8_t attempt[CLAIM_ATTEMPT_BYTES]; /* the claiming attempt */
  uint64_t body_hash;                   /* CLAIM_CLAIM */
  uint32_t run_ms;          /* CLAIM_CLAIM: time to the run deadline */
  uint32_t retention_hours; /* CLAIM_CLAIM: time that the key is kept; 0 for
                               claim_opts.retention_ms */
  uint32_t keys_max; /* CLAIM_CLAIM: limit of the configuration, part of the
                        command so that all replicas apply the same one; 0 for
                        claim_opts.keys_max */
  uint32_t answer_reserve_bytes; /* CLAIM_CLAIM: bytes reserved; an answer up
                                    to this size is certain to be recorded */
  bool without_answer; /* CLAIM_OUTCOME: the request is done, its answer is too
                          large */
  const uint8_t *answer; /* CLAIM_OUTCOME: opaque to this module */
  size_t answer_len;
};

enum claim_result_kind
{
  CLAIM_GRANTED,     /* also for a repeated claim by the same attempt */
  CLAIM_IN_PROGRESS, /* held by another attempt before its run deadline */
  CLAIM_DONE,        /* done; answer holds the recorded answer, if any */
  CLAIM_UNKNOWN,     /* claimed, without an outcome, run deadline has passed */
  CLAIM_MISMATCH,    /* the key was used with a different body */
  CLAIM_FULL,        /* no room for a new key or its answer */
  CLAIM_RELEASED,    /* the claim is removed */
  CLAIM_RECORDED,    /* also when the attempt repeats its outcome */
  CLAIM_NOT_HELD,    /* release or outcome of an attempt that does not hold the
                        claim */
};

struct claim_result
{
  enum claim_result_kind kind;
  bool without_answer; /* CLAIM_DONE, CLAIM_RECORDED: the request is done, but
                          its answer did not fit and is not recorded */
  const uint8_t *answer; /* CLAIM_DONE: valid until the next claim_apply() */
  size_t answer_len;
};

/* Returns NULL without memory.  */
struct claim *claim_new (const struct claim_opts *opts);
void claim_free (struct claim *claim);

/**
 * claim_apply() - apply one committed log entry
 * @claim: state machine
 * @stamp_ms: leader's wall clock time stamp in the entry; the highest stamp so
 *	far is used instead when that is higher
 * @data: encoded command, see claim_command_encode()
 * @len: length of @data in bytes
 * @result: set on success
 *
 * The state changes only when SR_OK is returned.  After SR_ENOMEM the replica
 * must not apply the next entry, as its state would differ from the others.
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.
 */
int claim_apply (struct claim *claim, uint64_t stamp_ms, const uint8_t *data,
                 size_t len, struct claim_result *result);

/* Encodes a command into a malloc()ed buffer.  Returns SR_OK, SR_ENOMEM,
   SR_EINVAL when a time or the answer exceeds its limit.  */
int claim_command_encode (const struct claim_command *command, uint8_t **out,
                          size_t *len);

/* Encodes the state into a malloc()ed buffer; equal states give equal bytes.
   Returns SR_OK or SR_ENOMEM.  */
int claim_snapshot (const struct claim *claim, uint8_t **out, size_t *len);

/* Replaces the state by that of a snapshot; the state changes only when SR_OK
   is returned.  Returns SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.  */
int claim_restore (struct claim *claim, const uint8_t *data, size_t len);

/* Number of keys in the store.  */
uint32_t claim_key_count (const struct claim *claim);

/* Recorded and reserved bytes of answers.  */
uint64_t claim_bytes_used (const struct claim *claim);

/* Encoding of results, which the leader sends to the proposer.  The buffer of
   an encoded result is malloc()ed, the answer of a decoded one points into
   DATA. Return SR_OK, SR_ENOMEM (encode) or SR_EMALFORMED (decode).  */
int claim_result_encode (const struct claim_result *result, uint8_t **out,
                         size_t *len);
int claim_result_decode (const uint8_t *data, size_t len,
                         struct claim_result *result);

#endif
