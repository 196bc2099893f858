#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/err.h"
#include "log/wal.h"
#include "tests/suite.h"

#define PATH_BYTES 256

static char folder[PATH_BYTES];
static char first_log[PATH_BYTES + 32];
static char error[RAFT_ERROR_BYTES];

/* What a visit found.  */
static uint64_t seen_snapshot;
static uint32_t seen_records;
static uint64_t seen_first;
static char seen_last[64];

static int
see_snapshot (void *arg, uint64_t index, const void *data, size_t len)
{
  (void)arg;
  (void)data;
  (void)len;
  seen_snapshot = index;
  return SR_OK;
}

static int
see_record (void *arg, const void *data, size_t len, uint64_t *last_index)
{
  (void)arg;
  seen_records++;
  snprintf (seen_last, sizeof seen_last, "%.*s", (int)len, (const char *)data);
  *last_index = strtoull (seen_last, NULL, 10);
  if (seen_first == 0)
    seen_first = *last_index;
  return SR_OK;
}

static const struct wal_visitor visitor
    = { .snapshot = see_snapshot, .record = see_record };

static int
open_folder (struct wal **wal, uint64_t segment_bytes)
{
  struct wal_opts opts = { .folder = folder, .segment_bytes = segment_bytes };

  seen_snapshot = 0;
  seen_records = 0;
  seen_first = 0;
  return wal_open (&opts, &visitor, wal, error);
}

/* Removes the files of a former test and starts an empty folder.  */
static struct wal *
fresh (uint64_t segment_bytes)
{
  struct wal *wal = NULL;

  snprintf (folder, sizeof folder, "/tmp/test_sto.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
  snprintf (first_log, sizeof first_log, "%s/log-0000000000000001", folder);
  CU_ASSERT_EQUAL_FATAL (open_folder (&wal, segment_bytes), SR_OK);
  return wal;
}

static void
clean (void)
{
  char command[PATH_BYTES + 16];

  snprintf (command, sizeof command, "rm -r '%s'", folder);
  CU_ASSERT_EQUAL (system (command), 0);
}

/* Appends the numbers FROM … TO as records and syncs them.  */
static void
put (struct wal *wal, uint64_t from, uint64_t to)
{
  char text[32];

  for (uint64_t i = from; i <= to; i++)
    {
      snprintf (text, sizeof text, "%llu", (unsigned long long)i);
      CU_ASSERT_EQUAL (wal_append (wal, text, strlen (text), i), SR_OK);
    }
  CU_ASSERT_EQUAL (wal_sync (wal), SR_OK);
}

static off_t
size_of (const char *path)
{
  struct stat status;

  return stat (path, &status) == 0 ? status.st_size : -1;
}

/* Changes one byte of a file.  */
static void
flip (const char *path, off_t at)
{
  int fd = open (path, O_RDWR);
  uint8_t byte;

  CU_ASSERT_EQUAL (pread (fd, &byte, 1, at), 1);
  byte ^= 0x40;
  CU_ASSERT_EQUAL (pwrite (fd, &byte, 1, at), 1);
  close (fd);
}

/* Guards against records that are missing or come twice after a restart over
   several segments.  */
static void
test_reopen (void)
{
  struct wal *wal = fresh (200);

  put (wal, 1, 50);
  wal_close (wal);
  CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 200), SR_OK);
  CU_ASSERT_EQUAL (seen_records, 50);
  CU_ASSERT_STRING_EQUAL (seen_last, "50");
  put (wal, 51, 51);
  wal_close (wal);
  CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 200), SR_OK);
  CU_ASSERT_EQUAL (seen_records, 51);
  wal_close (wal);
  clean ();
}

/* Replaces a file by the first LEN bytes of DATA.  */
static void
write_file (const char *path, const uint8_t *data, size_t len)
{
  int fd = open (path, O_WRONLY | O_TRUNC);

  CU_ASSERT_EQUAL (write (fd, data, len), (ssize_t)len);
  close (fd);
}

/* Guards against a crash in the middle of a write that makes the folder
   unreadable, or that brings back half a record, at any length.  */
static void
test_torn_tail (void)
{
  struct wal *wal = fresh (0);
  uint8_t whole[1000];
  off_t before;
  off_t size;
  int fd;

  put (wal, 1, 9);
  before = size_of (first_log);
  put (wal, 10, 10);
  size = size_of (first_log);
  wal_close (wal);
  fd = open (first_log, O_RDONLY);
  CU_ASSERT_EQUAL (read (fd, whole, sizeof whole), size);
  close (fd);
  for (off_t cut = size - 1; cut >= before; cut--)
    {
      write_file (first_log, whole, (size_t)cut);
      CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 0), SR_OK);
      CU_ASSERT_EQUAL (seen_records, 9);
      CU_ASSERT_EQUAL (size_of (first_log), before);
      put (wal, 10, 10);
      wal_close (wal);
      CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 0), SR_OK);
      CU_ASSERT_EQUAL (seen_records, 10);
      wal_close (wal);
    }
  clean ();
}

/* Guards against acknowledged records that vanish because damage in front of
   them is taken for a torn tail.  */
static void
test_damage_before_tail (void)
{
  struct wal *wal = fresh (0);
  off_t first_end;
  off_t size;

  put (wal, 1, 1);
  first_end = size_of (first_log);
  put (wal, 2, 5);
  size = size_of (first_log);
  wal_close (wal);
  flip (first_log, first_end - 1);
  CU_ASSERT_EQUAL (open_folder (&wal, 0), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, first_log));
  CU_ASSERT_PTR_NOT_NULL (strstr (error, "offset 8:"));
  CU_ASSERT_EQUAL (size_of (first_log), size);
  clean ();
}

/* Guards against a damaged end of a segment that others follow.  */
static void
test_damage_in_old_segment (void)
{
  struct wal *wal = fresh (100);

  put (wal, 1, 20);
  wal_close (wal);
  flip (first_log, size_of (first_log) - 1);
  CU_ASSERT_EQUAL (open_folder (&wal, 100), SR_EDAMAGED);
  clean ();
}

/* Guards against a missing segment that goes unnoticed.  */
static void
test_missing_segment (void)
{
  char path[PATH_BYTES + 32];
  struct wal *wal = fresh (100);

  put (wal, 1, 20);
  wal_close (wal);
  snprintf (path, sizeof path, "%s/log-0000000000000002", folder);
  CU_ASSERT_EQUAL (unlink (path), 0);
  CU_ASSERT_EQUAL (open_folder (&wal, 100), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, path));
  clean ();
}

/* Guards against files of a newer program that are read or cut.  */
static void
test_unknown_version (void)
{
  struct wal *wal = fresh (0);

  put (wal, 1, 1);
  wal_close (wal);
  flip (first_log, 7);
  CU_ASSERT_EQUAL (open_folder (&wal, 0), SR_EVERSION);
  clean ();
}

/* Guards against segments that are kept for ever, or removed although the
   snapshot does not cover them, and against a damaged snapshot in use.  */
static void
test_snapshots (void)
{
  char path[PATH_BYTES + 32];
  struct wal *wal = fresh (100);

  put (wal, 1, 20);
  CU_ASSERT_EQUAL (wal_write_snapshot (wal, 10, "state", 5), SR_OK);
  CU_ASSERT_EQUAL (size_of (first_log), -1);
  put (wal, 21, 30);
  CU_ASSERT_EQUAL (wal_write_snapshot (wal, 21, "state", 5), SR_OK);
  wal_close (wal);
  snprintf (path, sizeof path, "%s/snapshot-000000000000000a", folder);
  CU_ASSERT_EQUAL (size_of (path), -1);
  CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 100), SR_OK);
  CU_ASSERT_EQUAL (seen_snapshot, 21);
  CU_ASSERT_TRUE (seen_first > 1 && seen_first <= 22);
  CU_ASSERT_EQUAL (seen_records, 31 - seen_first);
  CU_ASSERT_STRING_EQUAL (seen_last, "30");
  wal_close (wal);
  snprintf (path, sizeof path, "%s/snapshot-0000000000000015", folder);
  flip (path, size_of (path) - 1);
  CU_ASSERT_EQUAL (open_folder (&wal, 100), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, path));
  clean ();
}

static int syncs_left;

/* Fails once when SYNCS_LEFT are used up, then works again.  */
static int
sync_fails_once (int fd)
{
  return syncs_left-- == 0 ? -1 : fdatasync (fd);
}

/* Guards against a second sync after a failed one: it would succeed without
   the data.  */
static void
test_failed_sync (void)
{
  struct wal_opts opts = { .folder = folder, .sync = sync_fails_once };
  struct wal *wal = fresh (0);

  put (wal, 1, 1);
  wal_close (wal);
  syncs_left = 0;
  CU_ASSERT_EQUAL (wal_open (&opts, &visitor, &wal, error), SR_EIO);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, first_log));
  syncs_left = 1;
  CU_ASSERT_EQUAL_FATAL (wal_open (&opts, &visitor, &wal, error), SR_OK);
  CU_ASSERT_EQUAL (wal_append (wal, "2", 1, 2), SR_OK);
  CU_ASSERT_EQUAL (wal_sync (wal), SR_EIO);
  CU_ASSERT_EQUAL (wal_sync (wal), SR_EIO);
  CU_ASSERT_EQUAL (wal_append (wal, "3", 1, 3), SR_EIO);
  CU_ASSERT_EQUAL (syncs_left, -1);
  CU_ASSERT_PTR_NOT_NULL (strstr (wal_error (wal), "sync failed"));
  wal_close (wal);
  clean ();
}

/* Guards against a full disk that is reported as success, or that damages
   what was stored before.  */
static void
test_full_disk (void)
{
  struct rlimit limit;
  struct rlimit small;
  struct wal *wal = fresh (0);
  char block[3000] = { 'x' };

  put (wal, 1, 1);
  signal (SIGXFSZ, SIG_IGN);
  getrlimit (RLIMIT_FSIZE, &limit);
  small = limit;
  small.rlim_cur = 2000;
  setrlimit (RLIMIT_FSIZE, &small);
  CU_ASSERT_EQUAL (wal_append (wal, block, sizeof block, 2), SR_EFULL);
  CU_ASSERT_TRUE (strlen (wal_error (wal)) > 0);
  setrlimit (RLIMIT_FSIZE, &limit);
  CU_ASSERT_EQUAL (wal_append (wal, "2", 1, 2), SR_EFULL);
  CU_ASSERT_EQUAL (wal_sync (wal), SR_EFULL);
  CU_ASSERT_EQUAL (wal_write_snapshot (wal, 1, "s", 1), SR_EFULL);
  wal_close (wal);
  CU_ASSERT_EQUAL_FATAL (open_folder (&wal, 0), SR_OK);
  CU_ASSERT_EQUAL (seen_records, 1);
  wal_close (wal);
  clean ();
}

/* Guards against a replica that comes back under another id, or that takes a
   new one because its file is damaged.  */
static void
test_identity (void)
{
  char path[PATH_BYTES + 8];
  struct wal *wal = fresh (0);
  uint64_t first = 0;
  uint64_t second = 0;
  int lock;

  wal_close (wal);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &first, error), SR_OK);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &second, error), SR_OK);
  CU_ASSERT_TRUE (first != 0 && first == second);
  snprintf (path, sizeof path, "%s/id", folder);
  flip (path, size_of (path) - 1);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &second, error), SR_EDAMAGED);
  lock = wal_lock (folder, error);
  CU_ASSERT_TRUE (lock >= 0);
  CU_ASSERT_EQUAL (wal_lock (folder, error), SR_EEXIST);
  close (lock);
  clean ();
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "reopen", test_reopen },
          { "torn tail", test_torn_tail },
          { "damage before tail", test_damage_before_tail },
          { "damage in old segment", test_damage_in_old_segment },
          { "missing segment", test_missing_segment },
          { "unknown version", test_unknown_version },
          { "snapshots", test_snapshots },
          { "failed sync", test_failed_sync },
          { "full disk", test_full_disk },
          { "identity", test_identity },
          { NULL, NULL } };

  return suite_run ("sto", tests);
}
