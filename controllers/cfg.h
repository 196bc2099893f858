#ifndef CONTROLLERS_CFG_H
#define CONTROLLERS_CFG_H

/**
 * DOC: cfg - configuration state machine of log group 0
 *
 * Applies committed changes in log order.  A change names its base version
 * and a change id; a resent change id gets its first result.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/member.h"

#define CFG_CHANGE_ID_BYTES 64
#define CFG_DOCUMENT_BYTES_MAX (1024 * 1024)

struct cfg;

struct cfg_opts
{
  uint32_t results_kept; /* change ids whose result is remembered */
};

struct cfg_change
{
  uint64_t base; /* version number that the operator saw; 0 for the first */
  char change_id[CFG_CHANGE_ID_BYTES];
  const char *document;
  size_t document_len;
};

enum cfg_result_kind
{
  CFG_ACCEPTED,
  CFG_CONFLICT, /* base is not the version in force */
};

struct cfg_result
{
  enum cfg_result_kind kind;
  uint64_t number; /* version accepted, or in force at the conflict */
};

struct cfg *cfg_new (const struct cfg_opts *opts);
void cfg_free (struct cfg *cfg);

/**
 * cfg_apply() - apply one committed log entry
 * @cfg: state machine
 * @term: term of the entry
 * @index: index of the entry
 * @data: encoded change, see cfg_encode()
 * @len: length of @data
 * @result: set on success
 *
 * Return: SR_OK (also for a conflict), SR_EMALFORMED, SR_ENOMEM.
 */
int cfg_apply (struct cfg *cfg, uint64_t term, uint64_t index,
               const uint8_t *data, size_t len, struct cfg_result *result);

/* Version in force; the document is valid until the next change.  */
struct mem_version cfg_version (const struct cfg *cfg);
const char *cfg_document (const struct cfg *cfg, size_t *len);

/* Encoded forms; the buffer is malloc()ed.  */
int cfg_encode (const struct cfg_change *change, uint8_t **out, size_t *len);
int cfg_snapshot (const struct cfg *cfg, uint8_t **out, size_t *len);
int cfg_restore (struct cfg *cfg, const uint8_t *data, size_t len);

#endif
