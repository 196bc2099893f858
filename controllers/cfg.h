#ifndef CONTROLLERS_CFG_H
#define CONTROLLERS_CFG_H

/**
 * DOC: cfg - replicated state machine of the configuration, log group
 * MSG_GROUP_CONFIG
 *
 * Applies committed changes in log order.  A change names the version that it
 * is based on (optimistic concurrency) and a change id.  When a change id is
 * sent again, the result of the first change is returned.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/member.h"

#define CFG_CHANGE_ID_BYTES 64
#define CFG_DOCUMENT_BYTES_MAX (1024 * 1024)

struct cfg;

struct cfg_opts
{
  /* Number of change ids whose result is stored, at least 1.  All replicas
     must use the same number, otherwise their states diverge.  */
  uint32_t results_max;
};

struct cfg_change
{
  uint64_t base; /* number of the version that the change is based on; 0 for
                    the first */
  struct member_numbering numbering;   /* of the new version */
  char change_id[CFG_CHANGE_ID_BYTES]; /* not empty */
  const char *document;
  size_t document_len;
};

enum cfg_result_kind
{
  CFG_ACCEPTED,
  CFG_CONFLICT, /* base is not the current version, or the number is not higher
                   than the current one */
};

struct cfg_result
{
  enum cfg_result_kind kind;
  uint64_t number; /* accepted version, or the current one after a conflict */
};

/* Returns NULL without memory.  */
struct cfg *cfg_new (const struct cfg_opts *opts);
void cfg_free (struct cfg *cfg);

/**
 * cfg_apply() - apply one committed log entry
 * @cfg: state machine
 * @term: term of the entry
 * @index: index of the entry
 * @data: encoded change, see cfg_change_encode()
 * @len: length of @data in bytes
 * @result: set on success
 *
 * The state changes only when SR_OK is returned.  After SR_ENOMEM the replica
 * must not apply the next entry, as its state would differ from the others.
 *
 * Return: SR_OK (also for a conflict), SR_EMALFORMED, SR_EVERSION, SR_ENOMEM,
 * SR_EINVAL when the entry is not after the last one applied.
 */
int cfg_apply (struct cfg *cfg, uint64_t term, uint64_t index,
               const uint8_t *data, size_t len, struct cfg_result *result);

/* Current version, all 0 before the first change.  The document is valid until
   the next change or cfg_restore(), and NULL before the first change.  */
struct member_config_version cfg_version (const struct cfg *cfg);
const char *cfg_document (const struct cfg *cfg, size_t *len);

/* Encodes a change into a malloc()ed buffer.  Returns SR_OK, SR_ENOMEM,
   SR_EINVAL for an empty change id, a given number out of range or a document
   that is too long.  */
int cfg_change_encode (const struct cfg_change *change, uint8_t **out,
                       size_t *len);

/* Encodes the state into a malloc()ed buffer; equal states give equal bytes.
   Returns SR_OK or SR_ENOMEM.  */
int cfg_snapshot (const struct cfg *cfg, uint8_t **out, size_t *len);

/* Replaces the state by that of a snapshot; the state changes only when SR_OK
   is returned.  Returns SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.  */
int cfg_restore (struct cfg *cfg, const uint8_t *data, size_t len);

/* Encodes a result, which the leader sends to the proposer, into a malloc()ed
   buffer.  Returns SR_OK or SR_ENOMEM.  */
int cfg_result_encode (const struct cfg_result *result, uint8_t **out,
                       size_t *len);

/* Returns SR_OK or SR_EMALFORMED.  */
int cfg_result_decode (const uint8_t *data, size_t len,
                       struct cfg_result *result);

#endif
