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

/* What the visitor read at the last wal_open().  */
static uint64_t visited_snapshot;
static uint32_t visited_records;
static uint64_t visited_first;
static char visited_last[64];

static int
visit_snapshot (void *arg, uint64_t index, const void *data, size_t len)
{
  (void)arg;
  (void)data;
  (void)len;
  visited_snapshot = index;
  return SR_OK;
}

static int
visit_record (void *arg, const void *data, size_t len, uint64_t *last_index)
{
  (void)arg;
  visited_records++;
  snprintf (visited_last, sizeof visited_last, "%.*s", (int)len,
            (const char *)data);
  *last_index = strtoull (visited_last, NULL, 10);
  if (visited_first == 0)
    visited_first = *last_index;
  return SR_OK;
}

static const struct wal_visitor visitor
    = { .snapshot = visit_snapshot, .record = visit_record };

static int
open_log (struct wal **wal, uint64_t segment_bytes)
{
  struct wal_opts opts = { .folder = folder, .segment_bytes = segment_bytes };

  visited_snapshot = 0;
  visited_records = 0;
  visited_first = 0;
  return wal_open (&opts, &visitor, wal, error);
}

/* Opens a log in a new folder.  */
static struct wal *
open_new_log (uint64_t segment_bytes)
{
  struct wal *wal = NULL;

  snprintf (folder, sizeof folder, "/tmp/test_wal.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
  snprintf (first_log, sizeof first_log, "%s/log-0000000000000001", folder);
  CU_ASSERT_EQUAL_FATAL (open_log (&wal, segment_bytes), SR_OK);
  return wal;
}

/* Removes the folder of the log.  */
static void
remove_folder (void)
{
  char command[PATH_BYTES + 16];

  snprintf (command, sizeof command, "rm -r '%s'", folder);
  CU_ASSERT_EQUAL (system (command), 0);
}

/* Appends the numbers FIRST … LAST as records and syncs them.  */
static void
append_records (struct wal *wal, uint64_t first, uint64_t last)
{
  char text[32];

  for (uint64_t i = first; i <= last; i++)
    {
      snprintf (text, sizeof text, "%llu", (unsigned long long)i);
      CU_ASSERT_EQUAL (wal_append (wal, text, strlen (text), i), SR_OK);
    }
  CU_ASSERT_EQUAL (wal_sync (wal), SR_OK);
}

static off_t
file_size (const char *path)
{
  struct stat status;

  return stat (path, &status) == 0 ? status.st_size : -1;
}

/* Inverts one bit of the byte at OFFSET of a file.  */
static void
flip_bit (const char *path, off_t offset)
{
  int fd = open (path, O_RDWR);
  uint8_t byte;

  CU_ASSERT_EQUAL (pread (fd, &byte, 1, offset), 1);
  byte ^= 0x40;
  CU_ASSERT_EQUAL (pwrite (fd, &byte, 1, offset), 1);
  close (fd);
}

/* Guards against records that are missing or duplicated when a log of several
   segments is opened again.  */
static void
test_reopen_segments (void)
{
  struct wal *wal = open_new_log (200);

  append_records (wal, 1, 50);
  wal_close (wal);
  CU_ASSERT_EQUAL_FATAL (open_log (&wal, 200), SR_OK);
  CU_ASSERT_EQUAL (visited_records, 50);
  CU_ASSERT_STRING_EQUAL (visited_last, "50");
  append_records (wal, 51, 51);
  wal_close (wal);
  CU_ASSERT_EQUAL_FATAL (open_log (&wal, 200), SR_OK);
  CU_ASSERT_EQUAL (visited_records, 51);
  wal_close (wal);
  remove_folder ();
}

/* Replaces the content of a file by LEN bytes of DATA.  */
static void
write_file (const char *path, const uint8_t *data, size_t len)
{
  int fd = open (path, O_WRONLY | O_TRUNC);

  CU_ASSERT_EQUAL (write (fd, data, len), (ssize_t)len);
  close (fd);
}

/* Guards against a crash during a write after which the folder cannot be
   opened, or a partial record is read; the last record is cut at each
   length.  */
static void
test_torn_tail (void)
{
  struct wal *wal = open_new_log (0);
  uint8_t content[1000];
  off_t size_before;
  off_t size;
  int fd;

  append_records (wal, 1, 9);
  size_before = file_size (first_log);
  append_records (wal, 10, 10);
  size = file_size (first_log);
  wal_close (wal);
  fd = open (first_log, O_RDONLY);
  CU_ASSERT_EQUAL (read (fd, content, sizeof content), size);
  close (fd);
  for (off_t torn_size = size - 1; torn_size >= size_before; torn_size--)
    {
      write_file (first_log, content, (size_t)torn_size);
      CU_ASSERT_EQUAL_FATAL (open_log (&wal, 0), SR_OK);
      CU_ASSERT_EQUAL (visited_records, 9);
      CU_ASSERT_EQUAL (file_size (first_log), size_before);
      append_records (wal, 10, 10);
      wal_close (wal);
      CU_ASSERT_EQUAL_FATAL (open_log (&wal, 0), SR_OK);
      CU_ASSERT_EQUAL (visited_records, 10);
      wal_close (wal);
    }
  remove_folder ();
}

/* Guards against the loss of synced records, because damage before them is
   mistaken for a torn tail and cut off.  */
static void
test_damage_before_tail (void)
{
  struct wal *wal = open_new_log (0);
  off_t first_end;
  off_t size;

  append_records (wal, 1, 1);
  first_end = file_size (first_log);
  append_records (wal, 2, 5);
  size = file_size (first_log);
  wal_close (wal);
  flip_bit (first_log, first_end - 1);
  CU_ASSERT_EQUAL (open_log (&wal, 0), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, first_log));
  CU_ASSERT_PTR_NOT_NULL (strstr (error, "offset 8:"));
  CU_ASSERT_EQUAL (file_size (first_log), size);
  remove_folder ();
}

/* Guards against a damaged record at the end of an old segment that is
   mistaken for a torn tail; only the last segment can have one.  */
static void
test_damage_in_old_segment (void)
{
  struct wal *wal = open_new_log (100);

  append_records (wal, 1, 20);
  wal_close (wal);
  flip_bit (first_log, file_size (first_log) - 1);
  CU_ASSERT_EQUAL (open_log (&wal, 100), SR_EDAMAGED);
  remove_folder ();
}

/* Guards against a missing segment that is not detected.  */
static void
test_missing_segment (void)
{
  char path[PATH_BYTES + 32];
  struct wal *wal = open_new_log (100);

  append_records (wal, 1, 20);
  wal_close (wal);
  snprintf (path, sizeof path, "%s/log-0000000000000002", folder);
  CU_ASSERT_EQUAL (unlink (path), 0);
  CU_ASSERT_EQUAL (open_log (&wal, 100), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, path));
  remove_folder ();
}

/* Guards against files of a newer program, with another format version, that
   are read or truncated.  */
static void
test_unknown_version (void)
{
  struct wal *wal = open_new_log (0);

  append_records (wal, 1, 1);
  wal_close (wal);
  flip_bit (first_log, 7);
  CU_ASSERT_EQUAL (open_log (&wal, 0), SR_EVERSION);
  remove_folder ();
}

/* Guards against segments that are never removed, or removed although the
   snapshot does not cover them, and against the use of a damaged snapshot.  */
static void
test_snapshot_removes_segments (void)
{
  char path[PATH_BYTES + 32];
  struct wal *wal = open_new_log (100);

  append_records (wal, 1, 20);
  CU_ASSERT_EQUAL (wal_write_snapshot (wal, 10, "state", 5), SR_OK);
  CU_ASSERT_EQUAL (file_size (first_log), -1);
  append_records (wal, 21, 30);
  CU_ASSERT_EQUAL (wal_write_snapshot (wal, 21, "state", 5), SR_OK);
  wal_close (wal);
  snprintf (path, sizeof path, "%s/snapshot-000000000000000a", folder);
  CU_ASSERT_EQUAL (file_size (path), -1);
  CU_ASSERT_EQUAL_FATAL (open_log (&wal, 100), SR_OK);
  CU_ASSERT_EQUAL (visited_snapshot, 21);
  CU_ASSERT_TRUE (visited_first > 1 && visited_first <= 22);
  CU_ASSERT_EQUAL (visited_records, 31 - visited_first);
  CU_ASSERT_STRING_EQUAL (visited_last, "30");
  wal_close (wal);
  snprintf (path, sizeof path, "%s/snapshot-0000000000000015", folder);
  flip_bit (path, file_size (path) - 1);
  CU_ASSERT_EQUAL (open_log (&wal, 100), SR_EDAMAGED);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, path));
  remove_folder ();
}

static int syncs_before_failure;

/* Calls fdatasync(), and fails once after SYNCS_BEFORE_FAILURE calls.  */
static int
sync_fails_once (int fd)
{
  return syncs_before_failure-- == 0 ? -1 : fdatasync (fd);
}

/* Guards against a retry of a failed sync: it would succeed although the data
   is lost.  */
static void
test_failed_sync (void)
{
  struct wal_opts opts = { .folder = folder, .sync = sync_fails_once };
  struct wal *wal = open_new_log (0);

  append_records (wal, 1, 1);
  wal_close (wal);
  syncs_before_failure = 0;
  CU_ASSERT_EQUAL (wal_open (&opts, &visitor, &wal, error), SR_EIO);
  CU_ASSERT_PTR_NOT_NULL (strstr (error, first_log));
  syncs_before_failure = 1;
  CU_ASSERT_EQUAL_FATAL (wal_open (&opts, &visitor, &wal, error), SR_OK);
  CU_ASSERT_EQUAL (wal_append (wal, "2", 1, 2), SR_OK);
  CU_ASSERT_EQUAL (wal_sync (wal), SR_EIO);
  CU_ASSERT_EQUAL (wal_sync (wal), SR_EIO);
  CU_ASSERT_EQUAL (wal_append (wal, "3", 1, 3), SR_EIO);
  CU_ASSERT_EQUAL (syncs_before_failure, -1);
  CU_ASSERT_PTR_NOT_NULL (strstr (wal_error (wal), "sync failed"));
  wal_close (wal);
  remove_folder ();
}

/* Guards against a write to a full disk that is reported as success, or that
   damages earlier records.  */
static void
test_full_disk (void)
{
  struct rlimit limit;
  struct rlimit small;
  struct wal *wal = open_new_log (0);
  char block[3000] = { 'x' };

  append_records (wal, 1, 1);
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
  CU_ASSERT_EQUAL_FATAL (open_log (&wal, 0), SR_OK);
  CU_ASSERT_EQUAL (visited_records, 1);
  wal_close (wal);
  remove_folder ();
}

/* Guards against a replica that restarts with another id, or gets a new one
   because its id file is damaged, and against two processes in one folder.  */
static void
test_replica_id_and_lock (void)
{
  char path[PATH_BYTES + 8];
  struct wal *wal = open_new_log (0);
  uint64_t first = 0;
  uint64_t second = 0;
  int lock;

  wal_close (wal);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &first, error), SR_OK);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &second, error), SR_OK);
  CU_ASSERT_TRUE (first != 0 && first == second);
  snprintf (path, sizeof path, "%s/id", folder);
  flip_bit (path, file_size (path) - 1);
  CU_ASSERT_EQUAL (wal_replica_id (folder, &second, error), SR_EDAMAGED);
  lock = wal_lock (folder, error);
  CU_ASSERT_TRUE (lock >= 0);
  CU_ASSERT_EQUAL (wal_lock (folder, error), SR_EEXIST);
  close (lock);
  remove_folder ();
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "reopen several segments", test_reopen_segments },
    { "torn tail is removed", test_torn_tail },
    { "damage before the tail is an error", test_damage_before_tail },
    { "damage in an old segment is an error", test_damage_in_old_segment },
    { "missing segment is an error", test_missing_segment },
    { "unknown version is rejected", test_unknown_version },
    { "snapshot removes covered segments", test_snapshot_removes_segments },
    { "failed sync is not retried", test_failed_sync },
    { "full disk is reported", test_full_disk },
    { "replica id and lock", test_replica_id_and_lock },
    { NULL, NULL }
  };

  return suite_run ("wal", tests);
}
