#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/store.h"
#include "tests/suite.h"

#define CHANGE_COUNT 700
#define DOCUMENT_BYTES (20 * 1024)
#define RESTART_MAX_US (clk_s (2))

static char data_dir[64];
static char error[RAFT_ERROR_BYTES];
static struct inbox *control;
static uint32_t sync_count;
static int syncs_before_failure;

/* Calls fdatasync(), and fails once after SYNCS_BEFORE_FAILURE calls.  */
static int
sync_and_count (int fd)
{
  __atomic_add_fetch (&sync_count, 1, __ATOMIC_SEQ_CST);
  return syncs_before_failure-- == 0 ? -1 : fdatasync (fd);
}

static struct store *
open_store (void)
{
  struct store_opts opts = { .data_dir = data_dir,
                             .control = control,
                             .segment_bytes = 1024 * 1024,
                             .sync = sync_and_count };
  struct store *store = NULL;

  CU_ASSERT_EQUAL_FATAL (store_new (&opts, &store, error), SR_OK);
  return store;
}

/* Opens a store in a new data directory.  */
static struct store *
open_new_store (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };

  syncs_before_failure = 1000000;
  strcpy (data_dir, "/tmp/test_store.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (data_dir));
  control = inbox_new (&inbox);
  return open_store ();
}

/* Frees STORE and removes its data directory.  */
static void
remove_store (struct store *store)
{
  char command[128];

  store_free (store);
  inbox_free (control);
  snprintf (command, sizeof command, "rm -r '%s'", data_dir);
  CU_ASSERT_EQUAL (system (command), 0);
}

static void
add_entry (struct raft_write *write, uint64_t term, uint64_t index, size_t len)
{
  struct raft_entry *entry = raft_entry_new (RAFT_ENTRY_COMMAND);

  entry->term = term;
  entry->index = index;
  entry->len = len;
  entry->data = calloc (1, len);
  memcpy (entry->data, &index, sizeof index);
  list_push_tail (&write->entries, &entry->node);
}

static struct raft_snapshot *
make_snapshot (uint64_t term, uint64_t index, size_t len)
{
  struct raft_snapshot *snapshot = calloc (1, sizeof *snapshot);

  snapshot->term = term;
  snapshot->index = index;
  snapshot->len = len;
  snapshot->data = calloc (1, len);
  return snapshot;
}

static struct raft_write *
make_write (uint64_t sequence, uint64_t term)
{
  struct raft_write *write = raft_write_new (MSG_GROUP_CONFIG);

  write->sequence = sequence;
  write->hard_state.term = term;
  return write;
}

static void
send_write (struct store *store, struct raft_write *write)
{
  struct msg *msg = msg_new (MSG_STORE_WRITE);

  msg->u.store_write = write;
  inbox_put (store_inbox (store), msg);
}

/* Waits until the write SEQUENCE is done; returns the last status.  */
static int
wait_done (uint64_t sequence)
{
  clk_us deadline = clk_now () + clk_s (20);
  uint64_t done_sequence = 0;
  int status = SR_EAGAIN;
  struct list list;

  list_init (&list);
  while (done_sequence < sequence && clk_now () < deadline)
    {
      struct list_node *node;

      inbox_drain_until (control, deadline, &list);
      while ((node = list_pop_head (&list)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          done_sequence = msg->u.store_done->sequence;
          status = msg->u.store_done->status;
          msg_free (msg);
        }
    }
  return status;
}

static uint64_t
entry_index (struct list_node *node)
{
  return node == NULL ? 0 : list_entry (node, struct raft_entry, node)->index;
}

/* Guards against a restart after hundreds of changes that loses some of them,
   or takes longer than 2 s.  */
static void
test_restart (void)
{
  struct store *store = open_new_store ();
  struct raft_persistent_state *loaded;
  uint64_t id = store_id (store);
  clk_us start;

  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  for (uint64_t i = 1; i <= CHANGE_COUNT; i++)
    {
      struct raft_write *write = make_write (i, 3);

      add_entry (write, 3, i, DOCUMENT_BYTES);
      write->hard_state.commit_index = i - 1;
      if (i % 100 == 0)
        write->snapshot = make_snapshot (3, i - 1, DOCUMENT_BYTES);
      send_write (store, write);
    }
  CU_ASSERT_EQUAL (wait_done (CHANGE_COUNT), SR_OK);
  store_free (store);
  start = clk_now ();
  store = open_store ();
  CU_ASSERT_TRUE (clk_now () - start < RESTART_MAX_US);
  printf ("restart %llu us ", (unsigned long long)(clk_now () - start));
  CU_ASSERT_EQUAL (store_id (store), id);
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_PTR_NOT_NULL_FATAL (loaded->snapshot);
  CU_ASSERT_EQUAL (loaded->snapshot->index, CHANGE_COUNT - 1);
  CU_ASSERT_EQUAL (entry_index (list_first (&loaded->entries)), CHANGE_COUNT);
  CU_ASSERT_EQUAL (entry_index (list_last (&loaded->entries)), CHANGE_COUNT);
  CU_ASSERT_EQUAL (loaded->hard_state.term, 3);
  CU_ASSERT_EQUAL (loaded->hard_state.commit_index, CHANGE_COUNT - 1);
  remove_store (store);
}

/* Guards against a sync for each of many pending writes, which must share
   one.  */
static void
test_group_sync (void)
{
  struct store *store = open_new_store ();
  uint32_t syncs_before;

  for (uint64_t i = 1; i <= 200; i++)
    {
      struct raft_write *write = make_write (i, 1);

      add_entry (write, 1, i, 100);
      send_write (store, write);
    }
  syncs_before = sync_count;
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (200), SR_OK);
  store_stop (store);
  /* One sync for the batch and two for the new segment.  */
  CU_ASSERT_TRUE (sync_count - syncs_before <= 4);
  remove_store (store);
}

/* Guards against truncated entries that are loaded again after a restart.  */
static void
test_truncated_entries (void)
{
  struct store *store = open_new_store ();
  struct raft_persistent_state *loaded;
  struct raft_write *write = make_write (1, 1);

  for (uint64_t i = 1; i <= 5; i++)
    add_entry (write, 1, i, 8);
  send_write (store, write);
  write = make_write (2, 2);
  write->truncate_from = 3;
  add_entry (write, 2, 3, 8);
  send_write (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (2), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (entry_index (list_last (&loaded->entries)), 3);
  CU_ASSERT_EQUAL (
      list_entry (list_last (&loaded->entries), struct raft_entry, node)->term,
      2);
  remove_store (store);
}

/* Guards against a log that is loaded although an installed snapshot replaced
   it, because the process ended between the two writes, and against entries
   after the snapshot that are dropped although they were written after it.  */
static void
test_installed_snapshot (void)
{
  struct store *store = open_new_store ();
  struct raft_write *write = make_write (1, 1);
  struct raft_persistent_state *loaded;

  for (uint64_t i = 1; i <= 6; i++)
    add_entry (write, 1, i, 8);
  send_write (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  /* The truncation that belongs to the snapshot is not written.  */
  write = make_write (2, 2);
  write->snapshot = make_snapshot (2, 4, 8);
  send_write (store, write);
  CU_ASSERT_EQUAL (wait_done (2), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_TRUE (list_empty (&loaded->entries));
  /* The complete write removes the log and keeps later entries.  */
  write = make_write (1, 2);
  write->truncate_from = 1;
  add_entry (write, 2, 5, 8);
  send_write (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (loaded->snapshot->index, 4);
  CU_ASSERT_EQUAL (entry_index (list_first (&loaded->entries)), 5);
  remove_store (store);
}

/* Guards against a failed sync that is reported as success, or that later
   writes hide: they must fail as well.  */
static void
test_failed_sync (void)
{
  struct store *store = open_new_store ();
  struct raft_write *write = make_write (1, 1);

  add_entry (write, 1, 1, 8);
  send_write (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  syncs_before_failure = 0;
  send_write (store, make_write (2, 2));
  CU_ASSERT_EQUAL (wait_done (2), SR_EIO);
  send_write (store, make_write (3, 3));
  CU_ASSERT_EQUAL (wait_done (3), SR_EIO);
  remove_store (store);
}

/* Guards against two processes that write to the same data directory.  */
static void
test_data_directory_lock (void)
{
  struct store *store = open_new_store ();
  struct store_opts opts = { .data_dir = data_dir };
  struct store *second = NULL;

  CU_ASSERT_EQUAL (store_new (&opts, &second, error), SR_EEXIST);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, data_dir));
  remove_store (store);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "restart after many changes", test_restart },
          { "pending writes share a sync", test_group_sync },
          { "truncated entries are not loaded", test_truncated_entries },
          { "installed snapshot replaces the log", test_installed_snapshot },
          { "failed sync fails later writes too", test_failed_sync },
          { "data directory lock", test_data_directory_lock },
          { NULL, NULL } };

  slog_init ("test_store", SLOG_ERR - 2);
  return suite_run ("store", tests);
}
