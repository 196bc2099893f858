#include "controllers/clm.h"

#include <stdlib.h>
#include <string.h>

#include "controllers/clm_code.h"
#include "core/bytes.h"
#include "core/err.h"
#include "core/hash.h"

#define CLM_SNAPSHOT_FORMAT 1u
#define CLM_MS_PER_HOUR (60u * 60 * 1000)
/* Encoded bytes of a claim in a snapshot without its answer; only sizes the
   first buffer.  */
#define CLM_ENTRY_BYTES 70u

enum clm_state
{
  CLM_CLAIMED,
  CLM_FINISHED,
  CLM_FINISHED_WITHOUT_ANSWER,
  CLM_STATE_COUNT,
};

/* Claims that are kept for the same time.  Stamps never go back, so the list
   is in the order in which the claims are forgotten.  */
struct clm_class
{
  struct lst_node node;
  uint64_t keep_ms;
  uint32_t count;
  struct lst entries; /* struct clm_entry, oldest first */
};

struct clm_entry
{
  struct hsh_node by_key;
  struct lst_node by_expiry;
  struct clm_class *owner;
  uint8_t key[CLM_KEY_BYTES];
  uint8_t attempt[CLM_ATTEMPT_BYTES];
  uint64_t body_hash;
  uint64_t claimed_ms;
  uint32_t run_ms;
  uint32_t reserved; /* bytes for the answer, while claimed */
  uint8_t *answer;
  uint32_t answer_len;
  uint8_t state; /* enum clm_state */
};

/* What a snapshot holds.  */
struct clm_store
{
  struct hsh keys;
  struct lst classes; /* struct clm_class, in order of first use */
  uint32_t class_count;
  uint64_t now_ms; /* highest stamp so far */
  uint64_t bytes;  /* recorded and reserved */
};

struct clm
{
  struct clm_opts opts;
  struct clm_store *store;
};

static struct clm_store *
clm_store_new (void)
{
  struct clm_store *store = calloc (1, sizeof *store);

  if (store == NULL || hsh_init (&store->keys) != SR_OK)
    {
      free (store);
      return NULL;
    }
  lst_init (&store->classes);
  return store;
}

static void
clm_forget (struct clm_store *store, struct clm_entry *entry)
{
  store->bytes -= (uint64_t)entry->reserved + entry->answer_len;
  entry->owner->count--;
  hsh_remove (&store->keys, &entry->by_key);
  lst_remove (&entry->by_expiry);
  free (entry->answer);
  free (entry);
}

/* Frees a class that has become empty.  */
static void
clm_class_trim (struct clm_store *store, struct clm_class *class)
{
  if (class->count > 0)
    return;
  lst_remove (&class->node);
  store->class_count--;
  free (class);
}

/* Forgets the entries of a class that were claimed AGE or longer ago.  */
static void
clm_forget_older (struct clm_store *store, struct clm_class *class,
                  uint64_t age)
{
  lst_each (node, &class->entries)
    {
      struct clm_entry *entry = lst_entry (node, struct clm_entry, by_expiry);

      if (store->now_ms - entry->claimed_ms < age)
        break;
      clm_forget (store, entry);
    }
  clm_class_trim (store, class);
}

static void
clm_store_free (struct clm_store *store)
{
  lst_each (node, &store->classes)
    clm_forget_older (store, lst_entry (node, struct clm_class, node), 0);
  hsh_fini (&store->keys);
  free (store);
}

struct clm *
clm_new (const struct clm_opts *opts)
{
  struct clm *clm = calloc (1, sizeof *clm);

  if (clm == NULL)
    return NULL;
  clm->opts = *opts;
  if (clm->opts.keep_ms < CLM_RUN_MS_MAX)
    clm->opts.keep_ms = CLM_RUN_MS_MAX;
  clm->store = clm_store_new ();
  if (clm->store == NULL)
    {
      free (clm);
      return NULL;
    }
  return clm;
}

void
clm_free (struct clm *clm)
{
  if (clm == NULL)
    return;
  clm_store_free (clm->store);
  free (clm);
}

uint32_t
clm_keys (const struct clm *clm)
{
  return (uint32_t)clm->store->keys.items;
}

uint64_t
clm_bytes (const struct clm *clm)
{
  return clm->store->bytes;
}

static struct clm_entry *
clm_find (struct clm_store *store, const uint8_t *key)
{
  uint64_t hash = hsh_bytes (key, CLM_KEY_BYTES);

  lst_each (node, hsh_bucket (&store->keys, hash))
    {
      struct clm_entry *entry
          = lst_entry (node, struct clm_entry, by_key.node);

      if (entry->by_key.hash == hash
          && memcmp (entry->key, key, CLM_KEY_BYTES) == 0)
        return entry;
    }
  return NULL;
}

/* The class with KEEP_MS; a new one is empty.  NULL without memory.  */
static struct clm_class *
clm_class_get (struct clm_store *store, uint64_t keep_ms)
{
  struct clm_class *class;

  lst_each (node, &store->classes)
    {
      class = lst_entry (node, struct clm_class, node);
      if (class->keep_ms == keep_ms)
        return class;
    }
  class = calloc (1, sizeof *class);
  if (class == NULL)
    return NULL;
  class->keep_ms = keep_ms;
  lst_init (&class->entries);
  lst_push_tail (&store->classes, &class->node);
  store->class_count++;
  return class;
}

/* Links an entry whose key is new.  */
static void
clm_link (struct clm_store *store, struct clm_class *owner,
          struct clm_entry *entry)
{
  entry->owner = owner;
  owner->count++;
  lst_push_tail (&owner->entries, &entry->by_expiry);
  hsh_add (&store->keys, &entry->by_key,
           hsh_bytes (entry->key, CLM_KEY_BYTES));
  store->bytes += (uint64_t)entry->reserved + entry->answer_len;
}

/* Most keys while COMMAND is applied.  */
static uint32_t
clm_keys_max (const struct clm *clm, const struct clm_command *command)
{
  uint32_t most = clm->opts.keys_max;

  return command->keys_max > 0 && command->keys_max < most ? command->keys_max
                                                           : most;
}

/* Claims a key that is not in the store.  */
static int
clm_claim_new (struct clm *clm, const struct clm_command *command,
               struct clm_result *result)
{
  struct clm_store *store = clm->store;
  struct clm_class *owner;
  struct clm_entry *entry;
  uint64_t needed = command->answer_reserve > 0 ? command->answer_reserve : 1;
  uint64_t keep_ms = (uint64_t)command->keep_hours * CLM_MS_PER_HOUR;

  if (store->keys.items >= clm_keys_max (clm, command)
      || store->bytes + needed > clm->opts.bytes_max)
    {
      result->kind = CLM_FULL;
      return SR_OK;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return SR_ENOMEM;
  owner = clm_class_get (store, keep_ms > 0 ? keep_ms : clm->opts.keep_ms);
  if (owner == NULL)
    {
      free (entry);
      return SR_ENOMEM;
    }
  memcpy (entry->key, command->key, CLM_KEY_BYTES);
  memcpy (entry->attempt, command->attempt, CLM_ATTEMPT_BYTES);
  entry->body_hash = command->body_hash;
  entry->claimed_ms = store->now_ms;
  entry->run_ms = command->run_ms;
  entry->reserved = command->answer_reserve;
  entry->state = CLM_CLAIMED;
  clm_link (store, owner, entry);
  result->kind = CLM_GRANTED;
  return SR_OK;
}

static bool
clm_held_by (const struct clm_entry *entry, const struct clm_command *command)
{
  return memcmp (entry->attempt, command->attempt, CLM_ATTEMPT_BYTES) == 0;
}

/* Answers a claim of a key that is in the store.  */
static void
clm_claim_known (const struct clm_store *store, const struct clm_entry *entry,
                 const struct clm_command *command, struct clm_result *result)
{
  if (entry->body_hash != command->body_hash)
    {
      result->kind = CLM_MISMATCH;
      return;
    }
  switch ((enum clm_state)entry->state)
    {
    case CLM_CLAIMED:
      if (store->now_ms - entry->claimed_ms >= entry->run_ms)
        result->kind = CLM_UNKNOWN;
      else if (clm_held_by (entry, command))
        result->kind = CLM_GRANTED;
      else
        result->kind = CLM_IN_PROGRESS;
      break;
    case CLM_FINISHED:
    case CLM_FINISHED_WITHOUT_ANSWER:
      result->kind = CLM_DONE;
      result->without_answer = entry->state == CLM_FINISHED_WITHOUT_ANSWER;
      result->answer = entry->answer;
      result->answer_len = entry->answer_len;
      break;
    default:
      INVARIANT (entry->state < CLM_STATE_COUNT);
    }
}

static void
clm_release (struct clm_store *store, struct clm_entry *entry,
             const struct clm_command *command, struct clm_result *result)
{
  struct clm_class *owner;

  result->kind = CLM_NOT_HELD;
  if (entry == NULL || entry->state != CLM_CLAIMED
      || !clm_held_by (entry, command))
    return;
  owner = entry->owner;
  clm_forget (store, entry);
  clm_class_trim (store, owner);
  result->kind = CLM_RELEASED;
}

/* Records the answer, or that it did not fit.  The first outcome stays.  */
static int
clm_record (struct clm *clm, struct clm_entry *entry,
            const struct clm_command *command)
{
  struct clm_store *store = clm->store;
  uint64_t others = store->bytes - entry->reserved;

  if (command->without_answer
      || others + command->answer_len > clm->opts.bytes_max)
    entry->state = CLM_FINISHED_WITHOUT_ANSWER;
  else
    {
      if (command->answer_len > 0)
        {
          entry->answer = malloc (command->answer_len);
          if (entry->answer == NULL)
            return SR_ENOMEM;
          memcpy (entry->answer, command->answer, command->answer_len);
        }
      entry->answer_len = (uint32_t)command->answer_len;
      entry->state = CLM_FINISHED;
    }
  entry->reserved = 0;
  store->bytes = others + entry->answer_len;
  return SR_OK;
}

static int
clm_outcome (struct clm *clm, struct clm_entry *entry,
             const struct clm_command *command, struct clm_result *result)
{
  int error = SR_OK;

  result->kind = CLM_NOT_HELD;
  if (entry == NULL || !clm_held_by (entry, command))
    return SR_OK;
  if (entry->state == CLM_CLAIMED)
    error = clm_record (clm, entry, command);
  result->kind = CLM_RECORDED;
  result->without_answer = entry->state == CLM_FINISHED_WITHOUT_ANSWER;
  return error;
}

static int
clm_execute (struct clm *clm, const struct clm_command *command,
             struct clm_result *result)
{
  struct clm_entry *entry = clm_find (clm->store, command->key);

  switch (command->op)
    {
    case CLM_CLAIM:
      if (entry == NULL)
        return clm_claim_new (clm, command, result);
      clm_claim_known (clm->store, entry, command, result);
      return SR_OK;
    case CLM_RELEASE:
      clm_release (clm->store, entry, command, result);
      return SR_OK;
    case CLM_OUTCOME:
      return clm_outcome (clm, entry, command, result);
    }
  return SR_EMALFORMED;
}

int
clm_apply (struct clm *clm, uint64_t stamp_ms, const uint8_t *data, size_t len,
           struct clm_result *result)
{
  struct clm_store *store = clm->store;
  struct clm_command command;
  int error = clm_decode (data, len, &command);

  if (error != SR_OK)
    return error;
  memset (result, 0, sizeof *result);
  if (stamp_ms > store->now_ms)
    store->now_ms = stamp_ms;
  lst_each (node, &store->classes)
    {
      struct clm_class *class = lst_entry (node, struct clm_class, node);

      clm_forget_older (store, class, class->keep_ms);
    }
  return clm_execute (clm, &command, result);
}

static void
clm_put_entry (struct byt_writer *writer, const struct clm_entry *entry)
{
  byt_put_raw (writer, entry->key, CLM_KEY_BYTES);
  byt_put_raw (writer, entry->attempt, CLM_ATTEMPT_BYTES);
  byt_put_u64 (writer, entry->body_hash);
  byt_put_u64 (writer, entry->claimed_ms);
  byt_put_u32 (writer, entry->run_ms);
  byt_put_u32 (writer, entry->reserved);
  byt_put_u8 (writer, entry->state);
  byt_put_blob (writer, entry->answer, entry->answer_len);
}

int
clm_snapshot (const struct clm *clm, uint8_t **out, size_t *len)
{
  const struct clm_store *store = clm->store;
  struct byt_writer writer;

  byt_write_begin (&writer,
                   store->keys.items * CLM_ENTRY_BYTES + store->bytes);
  byt_put_u8 (&writer, CLM_SNAPSHOT_FORMAT);
  byt_put_u64 (&writer, store->now_ms);
  byt_put_u32 (&writer, store->class_count);
  lst_each (node, &store->classes)
    {
      const struct clm_class *class = lst_entry (node, struct clm_class, node);

      byt_put_u64 (&writer, class->keep_ms);
      byt_put_u32 (&writer, class->count);
      lst_each (each, &class->entries)
        clm_put_entry (&writer, lst_entry (each, struct clm_entry, by_expiry));
    }
  return byt_write_end (&writer, out, len);
}

/* Reads the answer of an entry and checks the entry against the store.  */
static int
clm_get_answer (struct byt_reader *reader, struct clm_store *store,
                const struct clm_class *owner, struct clm_entry *entry)
{
  const struct lst_node *last = lst_last (&owner->entries);
  size_t len;
  const uint8_t *answer = byt_get_blob (reader, CLM_ANSWER_BYTES_MAX, &len);

  if (entry->state >= CLM_STATE_COUNT
      || (entry->state != CLM_FINISHED && len > 0)
      || (entry->state != CLM_CLAIMED && entry->reserved > 0)
      || entry->reserved > CLM_ANSWER_BYTES_MAX
      || entry->run_ms > CLM_RUN_MS_MAX || entry->claimed_ms > store->now_ms
      || clm_find (store, entry->key) != NULL
      || (last != NULL
          && lst_entry (last, struct clm_entry, by_expiry)->claimed_ms
                 > entry->claimed_ms))
    byt_reject (reader);
  if (reader->failed || len == 0)
    return SR_OK;
  entry->answer = malloc (len);
  if (entry->answer == NULL)
    return SR_ENOMEM;
  memcpy (entry->answer, answer, len);
  entry->answer_len = (uint32_t)len;
  return SR_OK;
}

/* Reads one entry into OWNER.  */
static int
clm_get_entry (struct byt_reader *reader, struct clm_store *store,
               struct clm_class *owner)
{
  struct clm_entry *entry = calloc (1, sizeof *entry);
  int error;

  if (entry == NULL)
    return SR_ENOMEM;
  byt_get_raw (reader, entry->key, CLM_KEY_BYTES);
  byt_get_raw (reader, entry->attempt, CLM_ATTEMPT_BYTES);
  entry->body_hash = byt_get_u64 (reader);
  entry->claimed_ms = byt_get_u64 (reader);
  entry->run_ms = byt_get_u32 (reader);
  entry->reserved = byt_get_u32 (reader);
  entry->state = byt_get_u8 (reader);
  error = clm_get_answer (reader, store, owner, entry);
  if (error != SR_OK || reader->failed)
    {
      free (entry);
      return error;
    }
  clm_link (store, owner, entry);
  return SR_OK;
}

/* Reads one class; an empty class is malformed.  */
static int
clm_get_class (struct byt_reader *reader, struct clm_store *store)
{
  uint64_t keep_ms = byt_get_u64 (reader);
  uint32_t count = byt_get_u32 (reader);
  struct clm_class *class = clm_class_get (store, keep_ms);

  if (class == NULL)
    return SR_ENOMEM;
  if (count == 0 || class->count > 0 || keep_ms < CLM_RUN_MS_MAX)
    byt_reject (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      int error = clm_get_entry (reader, store, class);

      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

static int
clm_get_store (struct byt_reader *reader, struct clm_store *store)
{
  uint32_t count;

  store->now_ms = byt_get_u64 (reader);
  count = byt_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      int error = clm_get_class (reader, store);

      if (error != SR_OK)
        return error;
    }
  return byt_read_end (reader);
}

int
clm_restore (struct clm *clm, const uint8_t *data, size_t len)
{
  struct byt_reader reader;
  struct clm_store *store;
  int error;

  byt_read_begin (&reader, data, len);
  if (byt_get_u8 (&reader) != CLM_SNAPSHOT_FORMAT)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  store = clm_store_new ();
  if (store == NULL)
    return SR_ENOMEM;
  error = clm_get_store (&reader, store);
  if (error != SR_OK)
    {
      clm_store_free (store);
      return error;
    }
  clm_store_free (clm->store);
  clm->store = store;
  return SR_OK;
}
