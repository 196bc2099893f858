#include "tasks/store.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/err.h"
#include "core/hist.h"
#include "core/slog.h"
#include "log/wal.h"
#include "wire/raftpack.h"

#define STORE_PATH_BYTES 4096
/* Maximum time of one wait; the thread has no timers and wakes only for
   messages.  */
#define STORE_WAIT_MAX_US (clk_s (3600))
/* Half of the shortest election timeout.  */
#define STORE_SLOW_SYNC_US clk_ms (250)

struct store_group
{
  struct wal *wal;
  struct raft_persistent_state loaded;
  uint64_t unsynced_sequence; /* newest, 0: none */
};

struct store
{
  struct store_opts opts;
  struct inbox *inbox;
  struct store_group groups[MSG_GROUP_COUNT];
  uint64_t id;
  int lock_fd;
  pthread_t thread;
  bool running;
  int status; /* first failure, or SR_OK */
  char error[RAFT_ERROR_BYTES];
};

static struct raft_entry *
store_entry (struct list_node *node)
{
  return node == NULL ? NULL : list_entry (node, struct raft_entry, node);
}

static int
store_visit_snapshot (void *arg, uint64_t index, const void *data, size_t len)
{
  struct raft_persistent_state *loaded = arg;
  int error = raftpack_decode_snapshot (data, len, &loaded->snapshot);

  if (error == SR_OK && loaded->snapshot->index != index)
    error = SR_EDAMAGED;
  return error;
}

/* Removes the entries from index FROM on.  */
static void
store_truncate (struct list *entries, uint64_t from)
{
  struct raft_entry *entry;

  while ((entry = store_entry (list_last (entries))) != NULL
         && entry->index >= from)
    {
      list_remove (&entry->node);
      raft_entry_free (entry);
    }
}

static int
store_visit_record (void *arg, const void *data, size_t len,
                    uint64_t *last_index)
{
  struct raft_persistent_state *loaded = arg;
  const struct raft_entry *last;
  const struct raft_entry *first;
  struct raft_write *write;
  int error = raftpack_decode_write (data, len, &write);

  if (error != SR_OK)
    return error;
  if (write->truncate_from != 0)
    store_truncate (&loaded->entries, write->truncate_from);
  last = store_entry (list_last (&loaded->entries));
  first = store_entry (list_first (&write->entries));
  /* A gap is valid only where a snapshot replaced the log.  */
  if (first != NULL && last != NULL && first->index != last->index + 1)
    {
      if (loaded->snapshot == NULL
          || first->index > loaded->snapshot->index + 1)
        error = SR_EDAMAGED;
      else
        raft_entries_free (&loaded->entries);
    }
  list_splice_tail (&loaded->entries, &write->entries);
  last = store_entry (list_last (&loaded->entries));
  *last_index = first == NULL ? 0 : last->index;
  loaded->hard_state = write->hard_state;
  raft_write_free (write);
  return error;
}

/* Keeps only the entries after the snapshot.  If the log differs from the
   snapshot at its index, the snapshot replaced all entries after it and the
   process ended before it could write that.  */
static int
store_merge_snapshot (struct raft_persistent_state *loaded)
{
  const struct raft_snapshot *snapshot = loaded->snapshot;
  uint64_t base = snapshot == NULL ? 0 : snapshot->index;
  struct raft_entry *entry = store_entry (list_first (&loaded->entries));

  while (entry != NULL && entry->index <= base)
    {
      bool differs = entry->index == base && entry->term != snapshot->term;

      list_remove (&entry->node);
      raft_entry_free (entry);
      if (differs)
        raft_entries_free (&loaded->entries);
      entry = store_entry (list_first (&loaded->entries));
    }
  return entry == NULL || entry->index == base + 1 ? SR_OK : SR_EDAMAGED;
}

static int
store_open_group (struct store *store, uint32_t group_id)
{
  struct store_group *group = &store->groups[group_id];
  struct wal_visitor visitor = { .arg = &group->loaded,
                                 .snapshot = store_visit_snapshot,
                                 .record = store_visit_record };
  char folder[STORE_PATH_BYTES];
  struct wal_opts opts = { .folder = folder,
                           .segment_bytes = store->opts.segment_bytes,
                           .sync = store->opts.sync };
  int error;

  snprintf (folder, sizeof folder, "%s/group-%u", store->opts.data_dir,
            group_id);
  error = wal_open (&opts, &visitor, &group->wal, store->error);
  if (error == SR_OK)
    error = store_merge_snapshot (&group->loaded);
  if (error != SR_OK && store->error[0] == '\0')
    snprintf (store->error, sizeof store->error,
              "%.160s: entries are missing between snapshot and log", folder);
  return error;
}

/* Creates, locks and reads the directory.  */
static int
store_open (struct store *store)
{
  const char *dir = store->opts.data_dir;
  int error;

  if (mkdir (dir, 0700) != 0 && errno != EEXIST)
    {
      snprintf (store->error, sizeof store->error, "%.160s: %s", dir,
                strerror (errno));
      return SR_EIO;
    }
  store->lock_fd = wal_lock (dir, store->error);
  if (store->lock_fd < 0)
    return store->lock_fd;
  error = wal_replica_id (dir, &store->id, store->error);
  for (uint32_t i = 0; i < MSG_GROUP_COUNT && error == SR_OK; i++)
    error = store_open_group (store, i);
  return error;
}

int
store_new (const struct store_opts *opts, struct store **out,
           char error[RAFT_ERROR_BYTES])
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct store *store = calloc (1, sizeof *store);
  int result;

  INVARIANT (store != NULL);
  store->opts = *opts;
  store->lock_fd = -1;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    raft_persistent_state_init (&store->groups[i].loaded);
  store->inbox = inbox_new (&inbox);
  INVARIANT (store->inbox != NULL);
  result = store_open (store);
  if (result == SR_OK)
    {
      *out = store;
      return SR_OK;
    }
  snprintf (error, RAFT_ERROR_BYTES, "%s", store->error);
  store_free (store);
  return result;
}

uint64_t
store_id (const struct store *store)
{
  return store->id;
}

struct raft_persistent_state *
store_loaded (struct store *store, enum msg_group group)
{
  return &store->groups[group].loaded;
}

struct inbox *
store_inbox (struct store *store)
{
  return store->inbox;
}

/* Records the first failure of a group's files.  */
static void
store_record_failure (struct store *store, const struct store_group *group,
                      int status)
{
  if (status == SR_OK || store->status != SR_OK)
    return;
  store->status = status;
  snprintf (store->error, sizeof store->error, "%s", wal_error (group->wal));
  slog (SLOG_CRIT, "store failed error=\"%s\"", store->error);
}

/* Appends one write to the files without a sync.  */
static void
store_write (struct store *store, const struct raft_write *write)
{
  struct store_group *group = &store->groups[write->group];
  const struct raft_entry *last = store_entry (list_last (&write->entries));
  uint8_t *data = NULL;
  size_t len = 0;

  group->unsynced_sequence = write->sequence;
  if (store->status == SR_OK && write->snapshot != NULL)
    {
      INVARIANT (raftpack_encode_snapshot (write->snapshot, &data, &len)
                 == SR_OK);
      store_record_failure (
          store, group,
          wal_write_snapshot (group->wal, write->snapshot->index, data, len));
      free (data);
    }
  if (store->status == SR_OK)
    {
      INVARIANT (raftpack_encode_write (write, &data, &len) == SR_OK);
      store_record_failure (
          store, group,
          wal_append (group->wal, data, len, last == NULL ? 0 : last->index));
      free (data);
    }
}

/* Syncs the files of a group, and logs a slow sync: votes and commits wait for
   it.  */
static int
store_sync (const struct store_group *group, uint32_t group_id)
{
  clk_us started_at = clk_now ();
  int status = wal_sync (group->wal);
  clk_us duration = clk_now () - started_at;

  hist_add (HIST_SYNC, duration);
  if (duration > STORE_SLOW_SYNC_US)
    slog (SLOG_WARNING, "log sync was slow group=%u ms=%llu", group_id,
          (unsigned long long)(duration / CLK_US_PER_MS));
  return status;
}

/* Syncs each group with new writes and reports to the control task.  */
static void
store_sync_groups (struct store *store)
{
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      struct store_group *group = &store->groups[i];
      struct msg *msg;

      if (group->unsynced_sequence == 0)
        continue;
      if (store->status == SR_OK)
        store_record_failure (store, group, store_sync (group, i));
      msg = msg_new (MSG_STORE_DONE);
      msg->u.store_done
          = raft_write_done_new (i, group->unsynced_sequence, store->status);
      memcpy (msg->u.store_done->error, store->error, sizeof store->error);
      group->unsynced_sequence = 0;
      inbox_put (store->opts.control, msg);
    }
}

/* Processes one batch of messages; returns false on MSG_STOP.  */
static bool
store_run_batch (struct store *store, struct list *batch)
{
  bool running = true;
  struct list_node *node;

  while ((node = list_pop_head (batch)) != NULL)
    {
      struct msg *msg = list_entry (node, struct msg, node);

      switch (msg->kind)
        {
        case MSG_STORE_WRITE:
          store_write (store, msg->u.store_write);
          break;
        case MSG_STOP:
          running = false;
          break;
        default:
          break;
        }
      msg_free (msg);
    }
  store_sync_groups (store);
  return running;
}

static void *
store_main (void *arg)
{
  struct store *store = arg;
  struct list batch;

  list_init (&batch);
  do
    inbox_drain_until (store->inbox, clk_now () + STORE_WAIT_MAX_US, &batch);
  while (store_run_batch (store, &batch));
  return NULL;
}

int
store_start (struct store *store)
{
  if (pthread_create (&store->thread, NULL, store_main, store) != 0)
    return SR_EAGAIN;
  store->running = true;
  return SR_OK;
}

void
store_stop (struct store *store)
{
  if (!store->running)
    return;
  inbox_put (store->inbox, msg_new (MSG_STOP));
  pthread_join (store->thread, NULL);
  store->running = false;
}

void
store_free (struct store *store)
{
  if (store == NULL)
    return;
  store_stop (store);
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      wal_close (store->groups[i].wal);
      raft_persistent_state_clear (&store->groups[i].loaded);
    }
  inbox_free (store->inbox);
  if (store->lock_fd >= 0)
    close (store->lock_fd);
  free (store);
}
