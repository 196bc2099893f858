#include "log/wal.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/rng.h"
#include "log/block.h"

#define WAL_PATH_BYTES 4096
#define WAL_HEADER_BYTES 8
/* File headers; the last byte is the format version.  */
static const uint8_t wal_log_header[WAL_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'L', 'O', 'G', 1 };
static const uint8_t wal_snapshot_header[WAL_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'S', 'N', 'P', 1 };
static const uint8_t wal_id_header[WAL_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'I', 'D', '0', 1 };

struct wal_segment
{
  struct list_node node;
  uint64_t number;
  uint64_t last_index; /* highest log index in its records */
};

struct wal
{
  struct wal_opts opts;
  char *folder;
  struct list segments;    /* struct wal_segment, by number */
  uint64_t snapshot_index; /* 0 for no snapshot */
  int fd;                  /* newest segment, -1 for none */
  uint64_t segment_size;   /* of the newest segment */
  int status;              /* SR_OK, or the first failure */
  char error[RAFT_ERROR_BYTES];
};

static struct wal_segment *
wal_segment_of (struct list_node *node)
{
  return list_entry (node, struct wal_segment, node);
}

static void
wal_path (const struct wal *wal, const char *prefix, uint64_t number,
          char out[WAL_PATH_BYTES])
{
  snprintf (out, WAL_PATH_BYTES, "%s/%s-%016" PRIx64, wal->folder, prefix,
            number);
}

/* Records the first failure with errno; returns its error number.  */
static int
wal_fail (struct wal *wal, int error, const char *path, const char *what)
{
  if (wal->status == SR_OK)
    {
      wal->status = error;
      block_format_error (wal->error, path, what);
    }
  return wal->status;
}

/* Records that a file is damaged at OFFSET; returns SR_EDAMAGED.  */
static int
wal_fail_damaged (struct wal *wal, const char *path, uint64_t offset,
                  const char *what)
{
  wal->status = SR_EDAMAGED;
  snprintf (wal->error, sizeof wal->error, "%.160s: offset %" PRIu64 ": %s",
            block_path_tail (path), offset, what);
  return SR_EDAMAGED;
}

/* Checks magic and format version at the start of a file.  */
static int
wal_check_header (struct wal *wal, const char *path, const uint8_t *file,
                  size_t size, const uint8_t *header)
{
  if (size < WAL_HEADER_BYTES
      || memcmp (file, header, WAL_HEADER_BYTES - 1) != 0)
    return wal_fail_damaged (wal, path, 0, "unknown file header");
  if (file[WAL_HEADER_BYTES - 1] != header[WAL_HEADER_BYTES - 1])
    {
      wal_fail_damaged (wal, path, WAL_HEADER_BYTES - 1,
                        "unknown format version");
      wal->status = SR_EVERSION;
      return SR_EVERSION;
    }
  return SR_OK;
}

/* Adds a segment; the list is sorted by number.  */
static struct wal_segment *
wal_segment_add (struct wal *wal, uint64_t number)
{
  struct wal_segment *segment = calloc (1, sizeof *segment);
  struct list_node *pos = &wal->segments.head;

  INVARIANT (segment != NULL);
  segment->number = number;
  while (pos->prev != &wal->segments.head
         && wal_segment_of (pos->prev)->number > number)
    pos = pos->prev;
  list_insert_before (pos, &segment->node);
  return segment;
}

/* Parses a file name "PREFIX-<16 hexadecimal digits>".  */
static bool
wal_parse_name (const char *name, const char *prefix, uint64_t *number)
{
  size_t len = strlen (prefix);
  char *end;

  if (strncmp (name, prefix, len) != 0 || name[len] != '-'
      || strlen (name) != len + 17)
    return false;
  *number = strtoull (name + len + 1, &end, 16);
  return *end == '\0';
}

/* Removes a temporary file.  Errors are ignored: a file that remains is never
   read.  */
static void
wal_remove_file (const struct wal *wal, const char *name)
{
  char path[WAL_PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s", wal->folder, name);
  unlink (path);
}

/* Registers a segment or snapshot by its name; removes a temporary file.  */
static void
wal_scan_file (struct wal *wal, const char *name)
{
  size_t len = strlen (name);
  uint64_t number;

  if (len > 4 && strcmp (name + len - 4, ".tmp") == 0)
    wal_remove_file (wal, name);
  else if (wal_parse_name (name, "log", &number))
    wal_segment_add (wal, number);
  else if (wal_parse_name (name, "snapshot", &number)
           && number > wal->snapshot_index)
    wal->snapshot_index = number;
}

static int
wal_scan_folder (struct wal *wal)
{
  const struct dirent *entry;
  DIR *dir = opendir (wal->folder);

  if (dir == NULL)
    return wal_fail (wal, SR_EIO, wal->folder, "cannot be read");
  while ((entry = readdir (dir)) != NULL)
    wal_scan_file (wal, entry->d_name);
  closedir (dir);
  return SR_OK;
}

static int
wal_load_snapshot (struct wal *wal, const struct wal_visitor *visitor)
{
  char path[WAL_PATH_BYTES];
  uint8_t *file;
  size_t size;
  int64_t len;
  int error;

  if (wal->snapshot_index == 0)
    return SR_OK;
  wal_path (wal, "snapshot", wal->snapshot_index, path);
  if (block_read_file (path, &file, &size) != SR_OK)
    return wal_fail (wal, SR_EIO, path, "cannot be read");
  error = wal_check_header (wal, path, file, size, wal_snapshot_header);
  if (error == SR_OK)
    {
      len = block_len_at (file, size, WAL_HEADER_BYTES);
      if (len < 0
          || WAL_HEADER_BYTES + BLOCK_HEADER_BYTES + (size_t)len != size)
        error = wal_fail_damaged (wal, path, WAL_HEADER_BYTES,
                                  "snapshot does not match its checksum");
      else
        error = visitor->snapshot (
            visitor->arg, wal->snapshot_index,
            file + WAL_HEADER_BYTES + BLOCK_HEADER_BYTES, (size_t)len);
      if (error != SR_OK && wal->status == SR_OK)
        wal_fail_damaged (wal, path, WAL_HEADER_BYTES,
                          "snapshot cannot be decoded");
    }
  free (file);
  return error;
}

/* Visits the records of a segment in memory; sets *END to the offset after the
   last valid one.  */
static int
wal_visit_records (struct wal *wal, struct wal_segment *segment,
                   const char *path, const uint8_t *file, size_t size,
                   const struct wal_visitor *visitor, uint64_t *end)
{
  uint64_t offset = WAL_HEADER_BYTES;
  int64_t len;

  while ((len = block_len_at (file, size, offset)) >= 0)
    {
      uint64_t last_index = 0;
      int error
          = visitor->record (visitor->arg, file + offset + BLOCK_HEADER_BYTES,
                             (size_t)len, &last_index);

      if (error != SR_OK)
        {
          wal_fail_damaged (wal, path, offset, "record cannot be decoded");
          return error;
        }
      if (last_index > segment->last_index)
        segment->last_index = last_index;
      offset += BLOCK_HEADER_BYTES + (uint64_t)len;
    }
  *end = offset;
  return SR_OK;
}

/* Truncates the last segment to END and opens it for appending.  */
static int
wal_open_tail (struct wal *wal, const char *path, uint64_t end)
{
  wal->fd = open (path, O_WRONLY | O_CLOEXEC);
  wal->segment_size = end;
  if (wal->fd < 0 || ftruncate (wal->fd, (off_t)end) != 0
      || lseek (wal->fd, (off_t)end, SEEK_SET) < 0
      || wal->opts.sync (wal->fd) != 0)
    return wal_fail (wal, SR_EIO, path, "cannot be opened for writing");
  return SR_OK;
}

static int
wal_load_segment (struct wal *wal, struct wal_segment *segment,
                  const struct wal_visitor *visitor)
{
  bool is_last = list_last (&wal->segments) == &segment->node;
  char path[WAL_PATH_BYTES];
  uint64_t end = 0;
  uint8_t *file;
  size_t size;
  int error;

  wal_path (wal, "log", segment->number, path);
  if (block_read_file (path, &file, &size) != SR_OK)
    return wal_fail (wal, SR_EIO, path, "cannot be read");
  if (is_last && size < WAL_HEADER_BYTES)
    {
      /* A crash while the segment was created.  */
      free (file);
      unlink (path);
      list_remove (&segment->node);
      free (segment);
      return SR_OK;
    }
  error = wal_check_header (wal, path, file, size, wal_log_header);
  if (error == SR_OK)
    error = wal_visit_records (wal, segment, path, file, size, visitor, &end);
  if (error == SR_OK && end < size
      && (!is_last || block_find (file, size, end + 1) >= 0))
    error = wal_fail_damaged (wal, path, end,
                              "damaged record before the end of the log");
  free (file);
  if (error == SR_OK && is_last)
    error = wal_open_tail (wal, path, end);
  return error;
}

static int
wal_load_segments (struct wal *wal, const struct wal_visitor *visitor)
{
  uint64_t expected = 0;

  list_each (node, &wal->segments)
    {
      struct wal_segment *segment = wal_segment_of (node);
      char path[WAL_PATH_BYTES];
      int error;

      if (expected != 0 && segment->number != expected)
        {
          wal_path (wal, "log", expected, path);
          return wal_fail_damaged (wal, path, 0, "segment is missing");
        }
      expected = segment->number + 1;
      error = wal_load_segment (wal, segment, visitor);
      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

int
wal_open (const struct wal_opts *opts, const struct wal_visitor *visitor,
          struct wal **out, char error[RAFT_ERROR_BYTES])
{
  struct wal *wal = calloc (1, sizeof *wal);
  int result = SR_OK;

  INVARIANT (wal != NULL);
  wal->opts = *opts;
  if (opts->segment_bytes == 0)
    wal->opts.segment_bytes = WAL_SEGMENT_BYTES;
  if (opts->sync == NULL)
    wal->opts.sync = fdatasync;
  wal->fd = -1;
  list_init (&wal->segments);
  wal->folder = strdup (opts->folder);
  INVARIANT (wal->folder != NULL);
  if (mkdir (wal->folder, 0700) != 0 && errno != EEXIST)
    result = wal_fail (wal, block_error_from_errno (), wal->folder,
                       "cannot be created");
  if (result == SR_OK)
    result = wal_scan_folder (wal);
  if (result == SR_OK)
    result = wal_load_snapshot (wal, visitor);
  if (result == SR_OK)
    result = wal_load_segments (wal, visitor);
  if (result == SR_OK)
    {
      *out = wal;
      return SR_OK;
    }
  snprintf (error, RAFT_ERROR_BYTES, "%s", wal->error);
  wal_close (wal);
  return result;
}

void
wal_close (struct wal *wal)
{
  struct list_node *node;

  if (wal == NULL)
    return;
  while ((node = list_pop_head (&wal->segments)) != NULL)
    free (wal_segment_of (node));
  if (wal->fd >= 0)
    close (wal->fd);
  free (wal->folder);
  free (wal);
}

/* Starts the next segment.  The previous one is synced first, so that only the
   last segment may end in an incomplete record.  */
static int
wal_rotate (struct wal *wal)
{
  const struct list_node *last = list_last (&wal->segments);
  uint64_t number
      = last == NULL ? 1
                     : list_entry (last, struct wal_segment, node)->number + 1;
  char path[WAL_PATH_BYTES];

  if (wal->fd >= 0 && wal_sync (wal) != SR_OK)
    return wal->status;
  if (wal->fd >= 0)
    close (wal->fd);
  wal_path (wal, "log", number, path);
  wal->fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (wal->fd < 0)
    return wal_fail (wal, block_error_from_errno (), path,
                     "cannot be created");
  wal_segment_add (wal, number);
  wal->segment_size = WAL_HEADER_BYTES;
  if (block_write_all (wal->fd, wal_log_header, WAL_HEADER_BYTES) != SR_OK)
    return wal_fail (wal, block_error_from_errno (), path, "write failed");
  if (wal->opts.sync (wal->fd) != 0
      || block_sync_folder (wal->folder, wal->opts.sync) != SR_OK)
    return wal_fail (wal, block_error_from_errno (), path, "sync failed");
  return SR_OK;
}

int
wal_append (struct wal *wal, const void *data, size_t len, uint64_t last_index)
{
  uint8_t header[BLOCK_HEADER_BYTES];
  struct wal_segment *segment;
  int error;

  if (wal->status != SR_OK)
    return wal->status;
  if ((wal->fd < 0 || wal->segment_size >= wal->opts.segment_bytes)
      && wal_rotate (wal) != SR_OK)
    return wal->status;
  segment = wal_segment_of (list_last (&wal->segments));
  block_put_header (header, data, len, wal->segment_size);
  error = block_write_all (wal->fd, header, sizeof header);
  if (error == SR_OK)
    error = block_write_all (wal->fd, data, len);
  if (error != SR_OK)
    return wal_fail (wal, error, wal->folder, "write failed");
  wal->segment_size += sizeof header + len;
  if (last_index > segment->last_index)
    segment->last_index = last_index;
  return SR_OK;
}

int
wal_sync (struct wal *wal)
{
  if (wal->status != SR_OK)
    return wal->status;
  if (wal->fd >= 0 && wal->opts.sync (wal->fd) != 0)
    return wal_fail (wal, block_error_from_errno (), wal->folder,
                     "sync failed");
  return SR_OK;
}

/* Removes the oldest segments that the snapshot covers.  The directory is
   synced after each, so that a crash never leaves a gap.  */
static int
wal_remove_covered (struct wal *wal)
{
  char path[WAL_PATH_BYTES];

  list_each (node, &wal->segments)
    {
      struct wal_segment *segment = wal_segment_of (node);

      if (node == list_last (&wal->segments)
          || segment->last_index > wal->snapshot_index)
        return SR_OK;
      wal_path (wal, "log", segment->number, path);
      if (unlink (path) != 0
          || block_sync_folder (wal->folder, wal->opts.sync) != SR_OK)
        return wal_fail (wal, SR_EIO, path, "cannot be removed");
      list_remove (node);
      free (segment);
    }
  return SR_OK;
}

int
wal_write_snapshot (struct wal *wal, uint64_t index, const void *data,
                    size_t len)
{
  uint8_t header[WAL_HEADER_BYTES + BLOCK_HEADER_BYTES];
  uint64_t old_index = wal->snapshot_index;
  char path[WAL_PATH_BYTES];
  char name[32];

  if (wal->status != SR_OK)
    return wal->status;
  INVARIANT (index > old_index);
  memcpy (header, wal_snapshot_header, WAL_HEADER_BYTES);
  block_put_header (header + WAL_HEADER_BYTES, data, len, WAL_HEADER_BYTES);
  snprintf (name, sizeof name, "snapshot-%016" PRIx64, index);
  wal->status = block_replace_file (wal->folder, name, header, sizeof header,
                                    data, len, wal->opts.sync, wal->error);
  if (wal->status != SR_OK)
    return wal->status;
  wal->snapshot_index = index;
  if (old_index != 0)
    {
      wal_path (wal, "snapshot", old_index, path);
      unlink (path);
    }
  return wal_remove_covered (wal);
}

const char *
wal_error (const struct wal *wal)
{
  return wal->error;
}

/* Creates the id file with a new random id.  */
static int
wal_create_replica_id (const char *folder, uint64_t *id,
                       char error[RAFT_ERROR_BYTES])
{
  uint8_t header[WAL_HEADER_BYTES + BLOCK_HEADER_BYTES];

  do
    rng_os_bytes ((uint8_t *)id, sizeof *id);
  while (*id == 0);
  memcpy (header, wal_id_header, WAL_HEADER_BYTES);
  block_put_header (header + WAL_HEADER_BYTES, id, sizeof *id,
                    WAL_HEADER_BYTES);
  return block_replace_file (folder, "id", header, sizeof header, id,
                             sizeof *id, fdatasync, error);
}

int
wal_replica_id (const char *folder, uint64_t *id, char error[RAFT_ERROR_BYTES])
{
  const size_t data_offset = WAL_HEADER_BYTES + BLOCK_HEADER_BYTES;
  char path[WAL_PATH_BYTES];
  uint8_t *file;
  size_t size;
  int result = SR_OK;

  snprintf (path, sizeof path, "%s/id", folder);
  if (access (path, F_OK) != 0 && errno == ENOENT)
    return wal_create_replica_id (folder, id, error);
  if (block_read_file (path, &file, &size) != SR_OK)
    {
      block_format_error (error, path, "cannot be read");
      return SR_EIO;
    }
  if (size == data_offset + sizeof *id
      && memcmp (file, wal_id_header, WAL_HEADER_BYTES) == 0
      && block_len_at (file, size, WAL_HEADER_BYTES) == sizeof *id)
    memcpy (id, file + data_offset, sizeof *id);
  else
    {
      snprintf (error, RAFT_ERROR_BYTES,
                "%.160s: offset 0: damaged replica id",
                block_path_tail (path));
      result = SR_EDAMAGED;
    }
  free (file);
  return result;
}

int
wal_lock (const char *folder, char error[RAFT_ERROR_BYTES])
{
  char path[WAL_PATH_BYTES];
  int fd;

  snprintf (path, sizeof path, "%s/lock", folder);
  fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0)
    return fd;
  if (fd >= 0 && errno == EWOULDBLOCK)
    {
      snprintf (error, RAFT_ERROR_BYTES, "%.160s: in use by another process",
                block_path_tail (path));
      close (fd);
      return SR_EEXIST;
    }
  block_format_error (error, path, "cannot be locked");
  if (fd >= 0)
    close (fd);
  return SR_EIO;
}
