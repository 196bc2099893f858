#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/store.h"
#include "tests/suite.h"

#define CHANGES 700
#define DOCUMENT_BYTES (20 * 1024)
#define RESTART_BOUND_US (clk_s (2))

static char data_dir[64];
static char error[RAFT_ERROR_BYTES];
static struct inbox *control;
static uint32_t syncs;
static int syncs_left;

static int
count_sync (int fd)
{
  __atomic_add_fetch (&syncs, 1, __ATOMIC_SEQ_CST);
  return syncs_left-- == 0 ? -1 : fdatasync (fd);
}

static struct store *
open_store (void)
{
  struct store_opts opts = { .data_dir = data_dir,
                             .control = control,
                             .segment_bytes = 1024 * 1024,
                             .sync = count_sync };
  struct store *store = NULL;

  CU_ASSERT_EQUAL_FATAL (store_new (&opts, &store, error), SR_OK);
  return store;
}

static struct store *
fresh (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };

  syncs_left = 1000000;
  strcpy (data_dir, "/tmp/test_store.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (data_dir));
  control = inbox_new (&inbox);
  return open_store ();
}

static void
clean (struct store *store)
{
  char command[128];

  store_free (store);
  inbox_free (control);
  snprintf (command, sizeof command, "rm -r '%s'", data_dir);
  CU_ASSERT_EQUAL (system (command), 0);
}

static void
add_entry (struct wal_write *write, uint64_t term, uint64_t index, size_t len)
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

static struct wal_write *
make_write (uint64_t sequence, uint64_t term)
{
  struct wal_write *write = wal_write_new (MSG_GROUP_CONFIG);

  write->sequence = sequence;
  write->hard_state.term = term;
  return write;
}

static void
put (struct store *store, struct wal_write *write)
{
  struct msg *msg = msg_new (MSG_STORE_WRITE);

  msg->u.store_write = write;
  inbox_put (store_inbox (store), msg);
}

/* Waits until SEQUENCE is answered; returns its status.  */
static int
wait_done (uint64_t sequence)
{
  clk_us until = clk_now () + clk_s (20);
  uint64_t seen = 0;
  int status = SR_EAGAIN;
  struct list list;

  list_init (&list);
  while (seen < sequence && clk_now () < until)
    {
      struct list_node *node;

      inbox_drain_until (control, until, &list);
      while ((node = list_pop_head (&list)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          seen = msg->u.store_done->sequence;
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

/* Guards against a restart after hundreds of changes that loses some, or that
   takes longer than 2 s.  */
static void
test_restart (void)
{
  struct store *store = fresh ();
  struct wal_loaded *loaded;
  uint64_t id = store_id (store);
  clk_us start;

  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  for (uint64_t i = 1; i <= CHANGES; i++)
    {
      struct wal_write *write = make_write (i, 3);

      add_entry (write, 3, i, DOCUMENT_BYTES);
      write->hard_state.commit_index = i - 1;
      if (i % 100 == 0)
        write->snapshot = make_snapshot (3, i - 1, DOCUMENT_BYTES);
      put (store, write);
    }
  CU_ASSERT_EQUAL (wait_done (CHANGES), SR_OK);
  store_free (store);
  start = clk_now ();
  store = open_store ();
  CU_ASSERT_TRUE (clk_now () - start < RESTART_BOUND_US);
  printf ("restart %llu us ", (unsigned long long)(clk_now () - start));
  CU_ASSERT_EQUAL (store_id (store), id);
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_PTR_NOT_NULL_FATAL (loaded->snapshot);
  CU_ASSERT_EQUAL (loaded->snapshot->index, CHANGES - 1);
  CU_ASSERT_EQUAL (entry_index (list_first (&loaded->entries)), CHANGES);
  CU_ASSERT_EQUAL (entry_index (list_last (&loaded->entries)), CHANGES);
  CU_ASSERT_EQUAL (loaded->hard_state.term, 3);
  CU_ASSERT_EQUAL (loaded->hard_state.commit_index, CHANGES - 1);
  clean (store);
}

/* Guards against one sync for each write when many wait.  */
static void
test_group_sync (void)
{
  struct store *store = fresh ();
  uint32_t before;

  for (uint64_t i = 1; i <= 200; i++)
    {
      struct wal_write *write = make_write (i, 1);

      add_entry (write, 1, i, 100);
      put (store, write);
    }
  before = syncs;
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (200), SR_OK);
  store_stop (store);
  /* One for the batch and two for the new segment.  */
  CU_ASSERT_TRUE (syncs - before <= 4);
  clean (store);
}

/* Guards against replaced entries that come back after a restart.  */
static void
test_truncate (void)
{
  struct store *store = fresh ();
  struct wal_loaded *loaded;
  struct wal_write *write = make_write (1, 1);

  for (uint64_t i = 1; i <= 5; i++)
    add_entry (write, 1, i, 8);
  put (store, write);
  write = make_write (2, 2);
  write->truncate_from = 3;
  add_entry (write, 2, 3, 8);
  put (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (2), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (entry_index (list_last (&loaded->entries)), 3);
  CU_ASSERT_EQUAL (
      list_entry (list_last (&loaded->entries), struct raft_entry, node)->term,
      2);
  clean (store);
}

/* Guards against a log that is kept behind a snapshot that replaced it, when
   the process ended between the two writes; and against entries behind the
   snapshot that are dropped although they were written after it.  */
static void
test_installed_snapshot (void)
{
  struct store *store = fresh ();
  struct wal_write *write = make_write (1, 1);
  struct wal_loaded *loaded;

  for (uint64_t i = 1; i <= 6; i++)
    add_entry (write, 1, i, 8);
  put (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  /* The truncation that belongs to the snapshot does not reach the disk.  */
  write = make_write (2, 2);
  write->snapshot = make_snapshot (2, 4, 8);
  put (store, write);
  CU_ASSERT_EQUAL (wait_done (2), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_TRUE (list_empty (&loaded->entries));
  /* The whole write: the log goes, later entries stay.  */
  write = make_write (1, 2);
  write->truncate_from = 1;
  add_entry (write, 2, 5, 8);
  put (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  store_free (store);
  store = open_store ();
  loaded = store_loaded (store, MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (loaded->snapshot->index, 4);
  CU_ASSERT_EQUAL (entry_index (list_first (&loaded->entries)), 5);
  clean (store);
}

/* Guards against a failed sync that is answered as done, or that later writes
   make good.  */
static void
test_failed_sync (void)
{
  struct store *store = fresh ();
  struct wal_write *write = make_write (1, 1);

  add_entry (write, 1, 1, 8);
  put (store, write);
  CU_ASSERT_EQUAL (store_start (store), SR_OK);
  CU_ASSERT_EQUAL (wait_done (1), SR_OK);
  syncs_left = 0;
  put (store, make_write (2, 2));
  CU_ASSERT_EQUAL (wait_done (2), SR_EIO);
  put (store, make_write (3, 3));
  CU_ASSERT_EQUAL (wait_done (3), SR_EIO);
  clean (store);
}

/* Guards against two processes that write to one data directory.  */
static void
test_lock (void)
{
  struct store *store = fresh ();
  struct store_opts opts = { .data_dir = data_dir };
  struct store *second = NULL;

  CU_ASSERT_EQUAL (store_new (&opts, &second, error), SR_EEXIST);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, data_dir));
  clean (store);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "restart", test_restart },
          { "group sync", test_group_sync },
          { "truncate", test_truncate },
          { "installed snapshot", test_installed_snapshot },
          { "failed sync", test_failed_sync },
          { "lock", test_lock },
          { NULL, NULL } };

  slog_init ("test_store", SLOG_ERR - 2);
  return suite_run ("store", tests);
}
