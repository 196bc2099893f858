#include "controllers/claim.h"

#include <stdlib.h>
#include <string.h>

#include "controllers/claim_code.h"
#include "core/bytes.h"
#include "core/err.h"
#include "core/htable.h"

#define CLAIM_SNAPSHOT_FORMAT 1u
#define CLAIM_MS_PER_HOUR (60u * 60 * 1000)
/* Encoded size of a claim in a snapshot without its answer; used only for the
   initial buffer size.  */
#define CLAIM_ENTRY_BYTES_ESTIMATE 70u

enum claim_state
{
  CLAIM_CLAIMED,  /* no outcome yet */
  CLAIM_FINISHED, /* the answer is recorded */
  CLAIM_FINISHED_WITHOUT_ANSWER,
  CLAIM_STATE_COUNT,
};

/* Claims with the same retention time.  Time stamps never decrease, so the
   list is in the order in which the claims expire.  */
struct claim_class
{
  struct list_node node;
  uint64_t retention_ms;
  uint32_t count;
  struct list entries; /* struct claim_entry, oldest first */
};

struct claim_entry
{
  struct htable_node by_key;
  struct list_node by_expiry;
  struct claim_class *class;
  uint8_t key[CLAIM_KEY_BYTES];
  uint8_t attempt[CLAIM_ATTEMPT_BYTES];
  uint64_t body_hash;
  uint64_t claimed_ms;
  uint32_t run_ms;
  uint32_t reserved_bytes; /* for the answer, in state CLAIM_CLAIMED */
  uint8_t *answer;
  uint32_t answer_len;
  uint8_t state; /* enum claim_state */
};

/* Contents of a snapshot.  */
struct claim_store
{
  struct htable keys;
  struct list classes; /* struct claim_class, in order of first use */
  uint32_t class_count;
  uint64_t now_ms; /* highest time stamp so far */
  uint64_t bytes;  /* recorded and reserved bytes of answers */
};

struct claim
{
  struct claim_opts opts;
  struct claim_store *store;
};

static struct claim_store *
claim_store_new (void)
{
  struct claim_store *store = calloc (1, sizeof *store);

  if (store == NULL || htable_init (&store->keys) != SR_OK)
    {
      free (store);
      return NULL;
    }
  list_init (&store->classes);
  return store;
}

static void
claim_remove (struct claim_store *store, struct claim_entry *entry)
{
  store->bytes -= (uint64_t)entry->reserved_bytes + entry->answer_len;
  entry->class->count--;
  htable_remove (&store->keys, &entry->by_key);
  list_remove (&entry->by_expiry);
  free (entry->answer);
  free (entry);
}

/* Frees CLASS if it is empty.  */
static void
claim_class_free_empty (struct claim_store *store, struct claim_class *class)
{
  if (class->count > 0)
    return;
  list_remove (&class->node);
  store->class_count--;
  free (class);
}

/* Removes the entries of a class that were claimed at least AGE_MS ago.  */
static void
claim_expire_class (struct claim_store *store, struct claim_class *class,
                    uint64_t age_ms)
{
  list_each (node, &class->entries)
    {
      struct claim_entry *entry
          = list_entry (node, struct claim_entry, by_expiry);

      if (store->now_ms - entry->claimed_ms < age_ms)
        break;
      claim_remove (store, entry);
    }
  claim_class_free_empty (store, class);
}

static void
claim_store_free (struct claim_store *store)
{
  list_each (node, &store->classes)
    claim_expire_class (store, list_entry (node, struct claim_class, node), 0);
  htable_fini (&store->keys);
  free (store);
}

struct claim *
claim_new (const struct claim_opts *opts)
{
  struct claim *claim = calloc (1, sizeof *claim);

  if (claim == NULL)
    return NULL;
  claim->opts = *opts;
  if (claim->opts.retention_ms < CLAIM_RUN_MS_MAX)
    claim->opts.retention_ms = CLAIM_RUN_MS_MAX;
  claim->store = claim_store_new ();
  if (claim->store == NULL)
    {
      free (claim);
      return NULL;
    }
  return claim;
}

void
claim_free (struct claim *claim)
{
  if (claim == NULL)
    return;
  claim_store_free (claim->store);
  free (claim);
}

uint32_t
claim_key_count (const struct claim *claim)
{
  return (uint32_t)claim->store->keys.item_count;
}

uint64_t
claim_bytes_used (const struct claim *claim)
{
  return claim->store->bytes;
}

static struct claim_entry *
claim_find (struct claim_store *store, const uint8_t *key)
{
  uint64_t hash = htable_hash_bytes (key, CLAIM_KEY_BYTES);

  list_each (node, htable_bucket (&store->keys, hash))
    {
      struct claim_entry *entry
          = list_entry (node, struct claim_entry, by_key.node);

      if (entry->by_key.hash == hash
          && memcmp (entry->key, key, CLAIM_KEY_BYTES) == 0)
        return entry;
    }
  return NULL;
}

/* Finds or creates the class with RETENTION_MS; NULL without memory.  */
static struct claim_class *
claim_class_get (struct claim_store *store, uint64_t retention_ms)
{
  struct claim_class *class;

  list_each (node, &store->classes)
    {
      class = list_entry (node, struct claim_class, node);
      if (class->retention_ms == retention_ms)
        return class;
    }
  class = calloc (1, sizeof *class);
  if (class == NULL)
    return NULL;
  class->retention_ms = retention_ms;
  list_init (&class->entries);
  list_push_tail (&store->classes, &class->node);
  store->class_count++;
  return class;
}

/* Adds an entry with a new key to the store.  */
static void
claim_link (struct claim_store *store, struct claim_class *class,
            struct claim_entry *entry)
{
  entry->class = class;
  class->count++;
  list_push_tail (&class->entries, &entry->by_expiry);
  htable_add (&store->keys, &entry->by_key,
              htable_hash_bytes (entry->key, CLAIM_KEY_BYTES));
  store->bytes += (uint64_t)entry->reserved_bytes + entry->answer_len;
}

/* Maximum number of keys that applies to COMMAND.  */
static uint32_t
claim_keys_max (const struct claim *claim, const struct claim_command *command)
{
  uint32_t keys_max = claim->opts.keys_max;

  return command->keys_max > 0 && command->keys_max < keys_max
             ? command->keys_max
             : keys_max;
}

/* Claims a key that is not in the store.  */
static int
claim_add (struct claim *claim, const struct claim_command *command,
           struct claim_result *result)
{
  struct claim_store *store = claim->store;
  struct claim_class *class;
  struct claim_entry *entry;
  uint64_t reserve_bytes
      = command->answer_reserve_bytes > 0 ? command->answer_reserve_bytes : 1;
  uint64_t retention_ms
      = (uint64_t)command->retention_hours * CLAIM_MS_PER_HOUR;

  if (store->keys.item_count >= claim_keys_max (claim, command)
      || store->bytes + reserve_bytes > claim->opts.bytes_max)
    {
      result->kind = CLAIM_FULL;
      return SR_OK;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return SR_ENOMEM;
  class = claim_class_get (store, retention_ms > 0 ? retention_ms
                                                   : claim->opts.retention_ms);
  if (class == NULL)
    {
      free (entry);
      return SR_ENOMEM;
    }
  memcpy (entry->key, command->key, CLAIM_KEY_BYTES);
  memcpy (entry->attempt, command->attempt, CLAIM_ATTEMPT_BYTES);
  entry->body_hash = command->body_hash;
  entry->claimed_ms = store->now_ms;
  entry->run_ms = command->run_ms;
  entry->reserved_bytes = command->answer_reserve_bytes;
  entry->state = CLAIM_CLAIMED;
  claim_link (store, class, entry);
  result->kind = CLAIM_GRANTED;
  return SR_OK;
}

/* Whether the attempt of COMMAND holds the claim.  */
static bool
claim_held_by (const struct claim_entry *entry,
               const struct claim_command *command)
{
  return memcmp (entry->attempt, command->attempt, CLAIM_ATTEMPT_BYTES) == 0;
}

/* Sets the result of a claim whose key is in the store.  */
static void
claim_check_existing (const struct claim_store *store,
                      const struct claim_entry *entry,
                      const struct claim_command *command,
                      struct claim_result *result)
{
  if (entry->body_hash != command->body_hash)
    {
      result->kind = CLAIM_MISMATCH;
      return;
    }
  switch ((enum claim_state)entry->state)
    {
    case CLAIM_CLAIMED:
      if (store->now_ms - entry->claimed_ms >= entry->run_ms)
        result->kind = CLAIM_UNKNOWN;
      else if (claim_held_by (entry, command))
        result->kind = CLAIM_GRANTED;
      else
        result->kind = CLAIM_IN_PROGRESS;
      break;
    case CLAIM_FINISHED:
    case CLAIM_FINISHED_WITHOUT_ANSWER:
      result->kind = CLAIM_DONE;
      result->without_answer = entry->state == CLAIM_FINISHED_WITHOUT_ANSWER;
      result->answer = entry->answer;
      result->answer_len = entry->answer_len;
      break;
    default:
      INVARIANT (entry->state < CLAIM_STATE_COUNT);
    }
}

/* Removes a claim that the attempt of COMMAND holds and that has no outcome.
 */
static void
claim_release (struct claim_store *store, struct claim_entry *entry,
               const struct claim_command *command,
               struct claim_result *result)
{
  struct claim_class *class;

  result->kind = CLAIM_NOT_HELD;
  if (entry == NULL || entry->state != CLAIM_CLAIMED
      || !claim_held_by (entry, command))
    return;
  class = entry->class;
  claim_remove (store, entry);
  claim_class_free_empty (store, class);
  result->kind = CLAIM_RELEASED;
}

/* Records the answer, or that it did not fit.  A later outcome does not change
   it.  */
static int
claim_record_answer (struct claim *claim, struct claim_entry *entry,
                     const struct claim_command *command)
{
  struct claim_store *store = claim->store;
  uint64_t other_bytes = store->bytes - entry->reserved_bytes;

  if (command->without_answer
      || other_bytes + command->answer_len > claim->opts.bytes_max)
    entry->state = CLAIM_FINISHED_WITHOUT_ANSWER;
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
      entry->state = CLAIM_FINISHED;
    }
  entry->reserved_bytes = 0;
  store->bytes = other_bytes + entry->answer_len;
  return SR_OK;
}

static int
claim_record_outcome (struct claim *claim, struct claim_entry *entry,
                      const struct claim_command *command,
                      struct claim_result *result)
{
  int error = SR_OK;

  result->kind = CLAIM_NOT_HELD;
  if (entry == NULL || !claim_held_by (entry, command))
    return SR_OK;
  if (entry->state == CLAIM_CLAIMED)
    error = claim_record_answer (claim, entry, command);
  result->kind = CLAIM_RECORDED;
  result->without_answer = entry->state == CLAIM_FINISHED_WITHOUT_ANSWER;
  return error;
}

static int
claim_execute (struct claim *claim, const struct claim_command *command,
               struct claim_result *result)
{
  struct claim_entry *entry = claim_find (claim->store, command->key);

  switch (command->op)
    {
    case CLAIM_CLAIM:
      if (entry == NULL)
        return claim_add (claim, command, result);
      claim_check_existing (claim->store, entry, command, result);
      return SR_OK;
    case CLAIM_RELEASE:
      claim_release (claim->store, entry, command, result);
      return SR_OK;
    case CLAIM_OUTCOME:
      return claim_record_outcome (claim, entry, command, result);
    }
  return SR_EMALFORMED;
}

int
claim_apply (struct claim *claim, uint64_t stamp_ms, const uint8_t *data,
             size_t len, struct claim_result *result)
{
  struct claim_store *store = claim->store;
  struct claim_command command;
  int error = claim_command_decode (data, len, &command);

  if (error != SR_OK)
    return error;
  memset (result, 0, sizeof *result);
  if (stamp_ms > store->now_ms)
    store->now_ms = stamp_ms;
  list_each (node, &store->classes)
    {
      struct claim_class *class = list_entry (node, struct claim_class, node);

      claim_expire_class (store, class, class->retention_ms);
    }
  return claim_execute (claim, &command, result);
}

static void
claim_put_entry (struct bytes_writer *writer, const struct claim_entry *entry)
{
  bytes_put_raw (writer, entry->key, CLAIM_KEY_BYTES);
  bytes_put_raw (writer, entry->attempt, CLAIM_ATTEMPT_BYTES);
  bytes_put_u64 (writer, entry->body_hash);
  bytes_put_u64 (writer, entry->claimed_ms);
  bytes_put_u32 (writer, entry->run_ms);
  bytes_put_u32 (writer, entry->reserved_bytes);
  bytes_put_u8 (writer, entry->state);
  bytes_put_blob (writer, entry->answer, entry->answer_len);
}

int
claim_snapshot (const struct claim *claim, uint8_t **out, size_t *len)
{
  const struct claim_store *store = claim->store;
  struct bytes_writer writer;

  bytes_writer_init (&writer,
                     store->keys.item_count * CLAIM_ENTRY_BYTES_ESTIMATE
                         + store->bytes);
  bytes_put_u8 (&writer, CLAIM_SNAPSHOT_FORMAT);
  bytes_put_u64 (&writer, store->now_ms);
  bytes_put_u32 (&writer, store->class_count);
  list_each (node, &store->classes)
    {
      const struct claim_class *class = list_entry (node, struct claim_class,
                                                    node);

      bytes_put_u64 (&writer, class->retention_ms);
      bytes_put_u32 (&writer, class->count);
      list_each (entry_node, &class->entries)
        claim_put_entry (
            &writer, list_entry (entry_node, struct claim_entry, by_expiry));
    }
  return bytes_writer_finish (&writer, out, len);
}

/* Reads the answer of an entry and validates the entry.  */
static int
claim_get_answer (struct bytes_reader *reader, struct claim_store *store,
                  const struct claim_class *class, struct claim_entry *entry)
{
  const struct list_node *last = list_last (&class->entries);
  size_t len;
  const uint8_t *answer
      = bytes_get_blob (reader, CLAIM_ANSWER_BYTES_MAX, &len);

  if (entry->state >= CLAIM_STATE_COUNT
      || (entry->state != CLAIM_FINISHED && len > 0)
      || (entry->state != CLAIM_CLAIMED && entry->reserved_bytes > 0)
      || entry->reserved_bytes > CLAIM_ANSWER_BYTES_MAX
      || entry->run_ms > CLAIM_RUN_MS_MAX || entry->claimed_ms > store->now_ms
      || claim_find (store, entry->key) != NULL
      || (last != NULL
          && list_entry (last, struct claim_entry, by_expiry)->claimed_ms
                 > entry->claimed_ms))
    bytes_reader_fail (reader);
  if (reader->failed || len == 0)
    return SR_OK;
  entry->answer = malloc (len);
  if (entry->answer == NULL)
    return SR_ENOMEM;
  memcpy (entry->answer, answer, len);
  entry->answer_len = (uint32_t)len;
  return SR_OK;
}

/* Reads one entry into CLASS.  */
static int
claim_get_entry (struct bytes_reader *reader, struct claim_store *store,
                 struct claim_class *class)
{
  struct claim_entry *entry = calloc (1, sizeof *entry);
  int error;

  if (entry == NULL)
    return SR_ENOMEM;
  bytes_get_raw (reader, entry->key, CLAIM_KEY_BYTES);
  bytes_get_raw (reader, entry->attempt, CLAIM_ATTEMPT_BYTES);
  entry->body_hash = bytes_get_u64 (reader);
  entry->claimed_ms = bytes_get_u64 (reader);
  entry->run_ms = bytes_get_u32 (reader);
  entry->reserved_bytes = bytes_get_u32 (reader);
  entry->state = bytes_get_u8 (reader);
  error = claim_get_answer (reader, store, class, entry);
  if (error != SR_OK || reader->failed)
    {
      free (entry);
      return error;
    }
  claim_link (store, class, entry);
  return SR_OK;
}

/* Reads one class; an empty class is malformed.  */
static int
claim_get_class (struct bytes_reader *reader, struct claim_store *store)
{
  uint64_t retention_ms = bytes_get_u64 (reader);
  uint32_t count = bytes_get_u32 (reader);
  struct claim_class *class = claim_class_get (store, retention_ms);

  if (class == NULL)
    return SR_ENOMEM;
  if (count == 0 || class->count > 0 || retention_ms < CLAIM_RUN_MS_MAX)
    bytes_reader_fail (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      int error = claim_get_entry (reader, store, class);

      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

static int
claim_get_store (struct bytes_reader *reader, struct claim_store *store)
{
  uint32_t count;

  store->now_ms = bytes_get_u64 (reader);
  count = bytes_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      int error = claim_get_class (reader, store);

      if (error != SR_OK)
        return error;
    }
  return bytes_reader_finish (reader);
}

int
claim_restore (struct claim *claim, const uint8_t *data, size_t len)
{
  struct bytes_reader reader;
  struct claim_store *store;
  int error;

  bytes_reader_init (&reader, data, len);
  if (bytes_get_u8 (&reader) != CLAIM_SNAPSHOT_FORMAT)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  store = claim_store_new ();
  if (store == NULL)
    return SR_ENOMEM;
  error = claim_get_store (&reader, store);
  if (error != SR_OK)
    {
      claim_store_free (store);
      return error;
    }
  claim_store_free (claim->store);
  claim->store = store;
  return SR_OK;
}
