#include "controllers/cfg.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "core/bytes.h"
#include "core/err.h"
#include "core/list.h"

/* Changes of the first format carry no version number.  */
#define CFG_CHANGE_FORMAT_FIRST 1u
#define CFG_CHANGE_FORMAT 2u
/* Encoding of MEMBER_NUMBERING_NEXT; never a given number.  */
#define CFG_NUMBER_NEXT 0u
#define CFG_SNAPSHOT_FORMAT 1u
/* Encoded size of a change without change id and document, at most.  */
#define CFG_CHANGE_OVERHEAD_BYTES 40u
#define CFG_RESULT_BYTES 9u

/* Result of one change id, stored for resends.  */
struct cfg_saved_result
{
  struct list_node node;
  char change_id[CFG_CHANGE_ID_BYTES];
  struct cfg_result result;
};

/* Contents of a snapshot.  */
struct cfg_state
{
  uint64_t last_term; /* of the last entry applied */
  uint64_t last_index;
  struct member_config_version version;
  char *document;
  size_t document_len;
  struct list results; /* struct cfg_saved_result, oldest first */
  uint32_t result_count;
};

struct cfg
{
  struct cfg_opts opts;
  struct cfg_state state;
};

static void
cfg_state_init (struct cfg_state *state)
{
  *state = (struct cfg_state){ 0 };
  list_init (&state->results);
}

static void
cfg_state_fini (struct cfg_state *state)
{
  struct list_node *node;

  while ((node = list_pop_head (&state->results)) != NULL)
    free (list_entry (node, struct cfg_saved_result, node));
  free (state->document);
}

struct cfg *
cfg_new (const struct cfg_opts *opts)
{
  struct cfg *cfg = calloc (1, sizeof *cfg);

  if (cfg == NULL)
    return NULL;
  cfg->opts = *opts;
  if (cfg->opts.results_max == 0)
    cfg->opts.results_max = 1;
  cfg_state_init (&cfg->state);
  return cfg;
}

void
cfg_free (struct cfg *cfg)
{
  if (cfg == NULL)
    return;
  cfg_state_fini (&cfg->state);
  free (cfg);
}

struct member_config_version
cfg_version (const struct cfg *cfg)
{
  return cfg->state.version;
}

const char *
cfg_document (const struct cfg *cfg, size_t *len)
{
  *len = cfg->state.document_len;
  return cfg->state.document;
}

/* Copies a document, with a terminating zero so that the copy is never NULL
   for an empty one.  */
static char *
cfg_copy_document (const char *document, size_t len)
{
  char *copy = malloc (len + 1);

  if (copy == NULL)
    return NULL;
  if (len > 0)
    memcpy (copy, document, len);
  copy[len] = '\0';
  return copy;
}

static const struct cfg_saved_result *
cfg_find_result (const struct cfg_state *state, const char *change_id)
{
  list_each (node, &state->results)
    {
      const struct cfg_saved_result *saved
          = list_entry (node, struct cfg_saved_result, node);

      if (strcmp (saved->change_id, change_id) == 0)
        return saved;
    }
  return NULL;
}

static void
cfg_save_result (struct cfg *cfg, struct cfg_saved_result *saved)
{
  struct cfg_state *state = &cfg->state;

  list_push_tail (&state->results, &saved->node);
  state->result_count++;
  while (state->result_count > cfg->opts.results_max)
    {
      struct list_node *oldest = list_pop_head (&state->results);

      free (list_entry (oldest, struct cfg_saved_result, node));
      state->result_count--;
    }
}

/* Number of the version that CHANGE creates.  */
static uint64_t
cfg_new_number (const struct cfg_state *state, const struct cfg_change *change)
{
  switch (change->numbering.kind)
    {
    case MEMBER_NUMBERING_NEXT:
      return state->version.number + 1;
    case MEMBER_NUMBERING_GIVEN:
      return change->numbering.number;
    }
  return 0;
}

/* Accepts or rejects a change with a new id, and stores the result.  */
static int
cfg_decide (struct cfg *cfg, uint64_t term, uint64_t index,
            const struct cfg_change *change)
{
  struct cfg_state *state = &cfg->state;
  struct cfg_saved_result *saved = calloc (1, sizeof *saved);
  char *document = NULL;
  bool accepted = change->base == state->version.number
                  && cfg_new_number (state, change) > state->version.number;

  if (accepted)
    document = cfg_copy_document (change->document, change->document_len);
  if (saved == NULL || (accepted && document == NULL))
    {
      free (saved);
      free (document);
      return SR_ENOMEM;
    }
  if (accepted)
    {
      free (state->document);
      state->document = document;
      state->document_len = change->document_len;
      state->version = (struct member_config_version){
        .term = term, .index = index, .number = cfg_new_number (state, change)
      };
    }
  memcpy (saved->change_id, change->change_id, sizeof saved->change_id);
  saved->result.kind = accepted ? CFG_ACCEPTED : CFG_CONFLICT;
  saved->result.number = state->version.number;
  cfg_save_result (cfg, saved);
  return SR_OK;
}

static void
cfg_put_numbering (struct bytes_writer *writer,
                   const struct member_numbering *numbering)
{
  switch (numbering->kind)
    {
    case MEMBER_NUMBERING_NEXT:
      bytes_put_u64 (writer, CFG_NUMBER_NEXT);
      break;
    case MEMBER_NUMBERING_GIVEN:
      bytes_put_u64 (writer, numbering->number);
      break;
    }
}

static struct member_numbering
cfg_get_numbering (struct bytes_reader *reader)
{
  uint64_t number = bytes_get_u64 (reader);

  if (number == CFG_NUMBER_NEXT)
    return (struct member_numbering){ .kind = MEMBER_NUMBERING_NEXT };
  return (struct member_numbering){ .kind = MEMBER_NUMBERING_GIVEN,
                                    .number = number };
}

/* Decodes a change; its document points into DATA.  */
static int
cfg_decode_change (const uint8_t *data, size_t len, struct cfg_change *change)
{
  struct bytes_reader reader;
  uint8_t format;

  memset (change, 0, sizeof *change);
  bytes_reader_init (&reader, data, len);
  format = bytes_get_u8 (&reader);
  if (format != CFG_CHANGE_FORMAT && format != CFG_CHANGE_FORMAT_FIRST)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  change->base = bytes_get_u64 (&reader);
  if (format == CFG_CHANGE_FORMAT)
    change->numbering = cfg_get_numbering (&reader);
  bytes_get_text (&reader, change->change_id, sizeof change->change_id);
  change->document = (const char *)bytes_get_blob (
      &reader, CFG_DOCUMENT_BYTES_MAX, &change->document_len);
  return bytes_reader_finish (&reader);
}

int
cfg_apply (struct cfg *cfg, uint64_t term, uint64_t index, const uint8_t *data,
           size_t len, struct cfg_result *result)
{
  struct cfg_state *state = &cfg->state;
  struct cfg_change change;
  const struct cfg_saved_result *saved;
  int error = cfg_decode_change (data, len, &change);

  if (error != SR_OK)
    return error;
  if (index <= state->last_index || term < state->last_term)
    return SR_EINVAL;
  saved = cfg_find_result (state, change.change_id);
  if (saved == NULL)
    {
      error = cfg_decide (cfg, term, index, &change);
      if (error != SR_OK)
        return error;
      saved = list_entry (list_last (&state->results), struct cfg_saved_result,
                          node);
    }
  state->last_term = term;
  state->last_index = index;
  *result = saved->result;
  return SR_OK;
}

int
cfg_change_encode (const struct cfg_change *change, uint8_t **out, size_t *len)
{
  struct bytes_writer writer;
  size_t id_len = strnlen (change->change_id, sizeof change->change_id);

  if (id_len == 0 || id_len == sizeof change->change_id
      || change->document_len > CFG_DOCUMENT_BYTES_MAX
      || (change->numbering.kind == MEMBER_NUMBERING_GIVEN
          && (change->numbering.number == CFG_NUMBER_NEXT
              || change->numbering.number > MEMBER_CONFIG_NUMBER_MAX)))
    return SR_EINVAL;
  bytes_writer_init (&writer, id_len + change->document_len
                                  + CFG_CHANGE_OVERHEAD_BYTES);
  bytes_put_u8 (&writer, CFG_CHANGE_FORMAT);
  bytes_put_u64 (&writer, change->base);
  cfg_put_numbering (&writer, &change->numbering);
  bytes_put_blob (&writer, change->change_id, id_len);
  bytes_put_blob (&writer, change->document, change->document_len);
  return bytes_writer_finish (&writer, out, len);
}

static void
cfg_put_result (struct bytes_writer *writer, const struct cfg_result *result)
{
  bytes_put_u8 (writer, (uint8_t)result->kind);
  bytes_put_u64 (writer, result->number);
}

static struct cfg_result
cfg_get_result (struct bytes_reader *reader)
{
  struct cfg_result result = { 0 };
  uint8_t kind = bytes_get_u8 (reader);

  if (kind > CFG_CONFLICT)
    bytes_reader_fail (reader);
  else
    result.kind = (enum cfg_result_kind)kind;
  result.number = bytes_get_u64 (reader);
  return result;
}

int
cfg_result_encode (const struct cfg_result *result, uint8_t **out, size_t *len)
{
  struct bytes_writer writer;

  bytes_writer_init (&writer, CFG_RESULT_BYTES);
  cfg_put_result (&writer, result);
  return bytes_writer_finish (&writer, out, len);
}

int
cfg_result_decode (const uint8_t *data, size_t len, struct cfg_result *result)
{
  struct bytes_reader reader;

  bytes_reader_init (&reader, data, len);
  *result = cfg_get_result (&reader);
  return bytes_reader_finish (&reader);
}

int
cfg_snapshot (const struct cfg *cfg, uint8_t **out, size_t *len)
{
  const struct cfg_state *state = &cfg->state;
  struct bytes_writer writer;

  bytes_writer_init (&writer, state->document_len);
  bytes_put_u8 (&writer, CFG_SNAPSHOT_FORMAT);
  bytes_put_u64 (&writer, state->last_term);
  bytes_put_u64 (&writer, state->last_index);
  bytes_put_u64 (&writer, state->version.term);
  bytes_put_u64 (&writer, state->version.index);
  bytes_put_u64 (&writer, state->version.number);
  bytes_put_blob (&writer, state->document, state->document_len);
  bytes_put_u32 (&writer, state->result_count);
  list_each (node, &state->results)
    {
      const struct cfg_saved_result *saved
          = list_entry (node, struct cfg_saved_result, node);

      bytes_put_blob (&writer, saved->change_id, strlen (saved->change_id));
      cfg_put_result (&writer, &saved->result);
    }
  return bytes_writer_finish (&writer, out, len);
}

/* Reads the stored results.  Stops at the first malformed one, so that a false
   count in the input does not cause more work than its length justifies.  */
static int
cfg_get_results (struct bytes_reader *reader, struct cfg_state *state)
{
  uint32_t count = bytes_get_u32 (reader);

  while (state->result_count < count && !reader->failed)
    {
      struct cfg_saved_result *saved = calloc (1, sizeof *saved);

      if (saved == NULL)
        return SR_ENOMEM;
      bytes_get_text (reader, saved->change_id, sizeof saved->change_id);
      saved->result = cfg_get_result (reader);
      list_push_tail (&state->results, &saved->node);
      state->result_count++;
    }
  return SR_OK;
}

static int
cfg_get_state (struct bytes_reader *reader, struct cfg_state *state)
{
  const uint8_t *document;

  state->last_term = bytes_get_u64 (reader);
  state->last_index = bytes_get_u64 (reader);
  state->version.term = bytes_get_u64 (reader);
  state->version.index = bytes_get_u64 (reader);
  state->version.number = bytes_get_u64 (reader);
  document
      = bytes_get_blob (reader, CFG_DOCUMENT_BYTES_MAX, &state->document_len);
  if (state->version.index > state->last_index
      || state->version.term > state->last_term)
    bytes_reader_fail (reader);
  if ((state->version.index == 0) != (state->version.number == 0)
      || (state->version.index == 0 && state->document_len > 0))
    bytes_reader_fail (reader);
  if (state->version.index == 0)
    return cfg_get_results (reader, state);
  state->document
      = cfg_copy_document ((const char *)document, state->document_len);
  if (state->document == NULL)
    return SR_ENOMEM;
  return cfg_get_results (reader, state);
}

int
cfg_restore (struct cfg *cfg, const uint8_t *data, size_t len)
{
  struct bytes_reader reader;
  struct cfg_state state;
  int error;

  bytes_reader_init (&reader, data, len);
  if (bytes_get_u8 (&reader) != CFG_SNAPSHOT_FORMAT)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  cfg_state_init (&state);
  error = cfg_get_state (&reader, &state);
  if (error == SR_OK)
    error = bytes_reader_finish (&reader);
  if (error != SR_OK)
    {
      cfg_state_fini (&state);
      return error;
    }
  cfg_state_fini (&cfg->state);
  cfg->state = state;
  list_init (&cfg->state.results);
  list_splice_tail (&cfg->state.results, &state.results);
  return SR_OK;
}
