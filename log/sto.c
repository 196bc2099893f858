#include "log/sto.h"

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
#include "log/stofile.h"

#define STO_PATH_BYTES 4096
#define STO_HEADER_BYTES 8
/* Last byte is the format version.  */
static const uint8_t sto_log_header[STO_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'L', 'O', 'G', 1 };
static const uint8_t sto_snapshot_header[STO_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'S', 'N', 'P', 1 };
static const uint8_t sto_id_header[STO_HEADER_BYTES]
    = { 'S', 'R', 'U', 'D', 'I', 'D', '0', 1 };

struct sto_segment
{
  struct lst_node node;
  uint64_t number;
  uint64_t last_index; /* highest log index in its records */
};

struct sto
{
  struct sto_opts opts;
  char *folder;
  struct lst segments; /* struct sto_segment, by number */
  uint64_t snapshot_index;
  int fd; /* newest segment, -1 for none */
  uint64_t size;
  int failed; /* first failure */
  char error[REP_ERROR_BYTES];
};

static struct sto_segment *
sto_segment (struct lst_node *node)
{
  return lst_entry (node, struct sto_segment, node);
}

static void
sto_path (const struct sto *sto, const char *prefix, uint64_t number,
          char out[STO_PATH_BYTES])
{
  snprintf (out, STO_PATH_BYTES, "%s/%s-%016" PRIx64, sto->folder, prefix,
            number);
}

/* Notes the first failure.  */
static int
sto_fail (struct sto *sto, int error, const char *path, const char *what)
{
  if (sto->failed == SR_OK)
    {
      sto->failed = error;
      stf_fail (sto->error, path, what);
    }
  return sto->failed;
}

static int
sto_damaged (struct sto *sto, const char *path, uint64_t offset,
             const char *what)
{
  sto->failed = SR_EDAMAGED;
  snprintf (sto->error, sizeof sto->error, "%.160s: offset %" PRIu64 ": %s",
            stf_shown (path), offset, what);
  return SR_EDAMAGED;
}

/* Checks magic and version at the start of a file.  */
static int
sto_check_header (struct sto *sto, const char *path, const uint8_t *file,
                  size_t size, const uint8_t *header)
{
  if (size < STO_HEADER_BYTES
      || memcmp (file, header, STO_HEADER_BYTES - 1) != 0)
    return sto_damaged (sto, path, 0, "not a file of this program");
  if (file[STO_HEADER_BYTES - 1] != header[STO_HEADER_BYTES - 1])
    {
      sto_damaged (sto, path, STO_HEADER_BYTES - 1, "unknown format version");
      sto->failed = SR_EVERSION;
      return SR_EVERSION;
    }
  return SR_OK;
}

/* Inserts a segment; the list stays sorted.  */
static struct sto_segment *
sto_segment_add (struct sto *sto, uint64_t number)
{
  struct sto_segment *segment = calloc (1, sizeof *segment);
  struct lst_node *pos = &sto->segments.head;

  INVARIANT (segment != NULL);
  segment->number = number;
  while (pos->prev != &sto->segments.head
         && sto_segment (pos->prev)->number > number)
    pos = pos->prev;
  lst_insert_before (pos, &segment->node);
  return segment;
}

/* Number in NAME behind PREFIX and a dash.  */
static bool
sto_parse_name (const char *name, const char *prefix, uint64_t *number)
{
  size_t len = strlen (prefix);
  char *end;

  if (strncmp (name, prefix, len) != 0 || name[len] != '-'
      || strlen (name) != len + 17)
    return false;
  *number = strtoull (name + len + 1, &end, 16);
  return *end == '\0';
}

/* Removes a snapshot or temporary file; a leftover does no harm.  */
static void
sto_remove (const struct sto *sto, const char *name)
{
  char path[STO_PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s", sto->folder, name);
  unlink (path);
}

/* Notes one file of the folder.  */
static void
sto_note_file (struct sto *sto, const char *name)
{
  size_t len = strlen (name);
  uint64_t number;

  if (len > 4 && strcmp (name + len - 4, ".tmp") == 0)
    sto_remove (sto, name);
  else if (sto_parse_name (name, "log", &number))
    sto_segment_add (sto, number);
  else if (sto_parse_name (name, "snapshot", &number)
           && number > sto->snapshot_index)
    sto->snapshot_index = number;
}

static int
sto_list_folder (struct sto *sto)
{
  const struct dirent *item;
  DIR *dir = opendir (sto->folder);

  if (dir == NULL)
    return sto_fail (sto, SR_EIO, sto->folder, "cannot be read");
  while ((item = readdir (dir)) != NULL)
    sto_note_file (sto, item->d_name);
  closedir (dir);
  return SR_OK;
}

static int
sto_load_snapshot (struct sto *sto, const struct sto_visitor *visitor)
{
  char path[STO_PATH_BYTES];
  uint8_t *file;
  size_t size;
  int64_t len;
  int error;

  if (sto->snapshot_index == 0)
    return SR_OK;
  sto_path (sto, "snapshot", sto->snapshot_index, path);
  if (stf_read (path, &file, &size) != SR_OK)
    return sto_fail (sto, SR_EIO, path, "cannot be read");
  error = sto_check_header (sto, path, file, size, sto_snapshot_header);
  if (error == SR_OK)
    {
      len = stf_block_at (file, size, STO_HEADER_BYTES);
      if (len < 0 || STO_HEADER_BYTES + STF_BLOCK_BYTES + (size_t)len != size)
        error = sto_damaged (sto, path, STO_HEADER_BYTES,
                             "snapshot does not match its checksum");
      else
        error = visitor->snapshot (visitor->arg, sto->snapshot_index,
                                   file + STO_HEADER_BYTES + STF_BLOCK_BYTES,
                                   (size_t)len);
      if (error != SR_OK && sto->failed == SR_OK)
        sto_damaged (sto, path, STO_HEADER_BYTES,
                     "snapshot cannot be decoded");
    }
  free (file);
  return error;
}

/* Visits the records of a segment in memory; sets *END behind the last valid
   one.  */
static int
sto_visit_records (struct sto *sto, struct sto_segment *segment,
                   const char *path, const uint8_t *file, size_t size,
                   const struct sto_visitor *visitor, uint64_t *end)
{
  uint64_t at = STO_HEADER_BYTES;
  int64_t len;

  while ((len = stf_block_at (file, size, at)) >= 0)
    {
      uint64_t last = 0;
      int error = visitor->record (visitor->arg, file + at + STF_BLOCK_BYTES,
                                   (size_t)len, &last);

      if (error != SR_OK)
        {
          sto_damaged (sto, path, at, "record cannot be decoded");
          return error;
        }
      if (last > segment->last_index)
        segment->last_index = last;
      at += STF_BLOCK_BYTES + (uint64_t)len;
    }
  *end = at;
  return SR_OK;
}

/* Cuts the last segment behind its last valid record and opens it.  */
static int
sto_open_tail (struct sto *sto, const char *path, uint64_t end)
{
  sto->fd = open (path, O_WRONLY | O_CLOEXEC);
  sto->size = end;
  if (sto->fd < 0 || ftruncate (sto->fd, (off_t)end) != 0
      || lseek (sto->fd, (off_t)end, SEEK_SET) < 0
      || sto->opts.sync (sto->fd) != 0)
    return sto_fail (sto, SR_EIO, path, "cannot be opened for writing");
  return SR_OK;
}

static int
sto_load_segment (struct sto *sto, struct sto_segment *segment,
                  const struct sto_visitor *visitor)
{
  bool last = lst_last (&sto->segments) == &segment->node;
  char path[STO_PATH_BYTES];
  uint64_t end = 0;
  uint8_t *file;
  size_t size;
  int error;

  sto_path (sto, "log", segment->number, path);
  if (stf_read (path, &file, &size) != SR_OK)
    return sto_fail (sto, SR_EIO, path, "cannot be read");
  if (last && size < STO_HEADER_BYTES)
    {
      /* The process ended while it created the segment.  */
      free (file);
      unlink (path);
      lst_remove (&segment->node);
      free (segment);
      return SR_OK;
    }
  error = sto_check_header (sto, path, file, size, sto_log_header);
  if (error == SR_OK)
    error = sto_visit_records (sto, segment, path, file, size, visitor, &end);
  if (error == SR_OK && end < size
      && (!last || stf_block_after (file, size, end + 1) >= 0))
    error = sto_damaged (sto, path, end,
                         "damaged record before the end of the log");
  free (file);
  if (error == SR_OK && last)
    error = sto_open_tail (sto, path, end);
  return error;
}

static int
sto_load_segments (struct sto *sto, const struct sto_visitor *visitor)
{
  uint64_t expected = 0;

  lst_each (node, &sto->segments)
    {
      struct sto_segment *segment = sto_segment (node);
      char path[STO_PATH_BYTES];
      int error;

      if (expected != 0 && segment->number != expected)
        {
          sto_path (sto, "log", expected, path);
          return sto_damaged (sto, path, 0, "segment is missing");
        }
      expected = segment->number + 1;
      error = sto_load_segment (sto, segment, visitor);
      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

int
sto_open (const struct sto_opts *opts, const struct sto_visitor *visitor,
          struct sto **out, char error[REP_ERROR_BYTES])
{
  struct sto *sto = calloc (1, sizeof *sto);
  int result = SR_OK;

  INVARIANT (sto != NULL);
  sto->opts = *opts;
  if (opts->segment_bytes == 0)
    sto->opts.segment_bytes = STO_SEGMENT_BYTES;
  if (opts->sync == NULL)
    sto->opts.sync = fdatasync;
  sto->fd = -1;
  lst_init (&sto->segments);
  sto->folder = strdup (opts->folder);
  INVARIANT (sto->folder != NULL);
  if (mkdir (sto->folder, 0700) != 0 && errno != EEXIST)
    result = sto_fail (sto, stf_errno (), sto->folder, "cannot be created");
  if (result == SR_OK)
    result = sto_list_folder (sto);
  if (result == SR_OK)
    result = sto_load_snapshot (sto, visitor);
  if (result == SR_OK)
    result = sto_load_segments (sto, visitor);
  if (result == SR_OK)
    {
      *out = sto;
      return SR_OK;
    }
  snprintf (error, REP_ERROR_BYTES, "%s", sto->error);
  sto_close (sto);
  return result;
}

void
sto_close (struct sto *sto)
{
  struct lst_node *node;

  if (sto == NULL)
    return;
  while ((node = lst_pop_head (&sto->segments)) != NULL)
    free (sto_segment (node));
  if (sto->fd >= 0)
    close (sto->fd);
  free (sto->folder);
  free (sto);
}

/* Starts the next segment.  The former one is synced first, so that only the
   last segment may have an incomplete record.  */
static int
sto_rotate (struct sto *sto)
{
  const struct lst_node *last = lst_last (&sto->segments);
  uint64_t number
      = last == NULL ? 1
                     : lst_entry (last, struct sto_segment, node)->number + 1;
  char path[STO_PATH_BYTES];

  if (sto->fd >= 0 && sto_sync (sto) != SR_OK)
    return sto->failed;
  if (sto->fd >= 0)
    close (sto->fd);
  sto_path (sto, "log", number, path);
  sto->fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (sto->fd < 0)
    return sto_fail (sto, stf_errno (), path, "cannot be created");
  sto_segment_add (sto, number);
  sto->size = STO_HEADER_BYTES;
  if (stf_write (sto->fd, sto_log_header, STO_HEADER_BYTES) != SR_OK)
    return sto_fail (sto, stf_errno (), path, "write failed");
  if (sto->opts.sync (sto->fd) != 0
      || stf_sync_folder (sto->folder, sto->opts.sync) != SR_OK)
    return sto_fail (sto, stf_errno (), path, "sync failed");
  return SR_OK;
}

int
sto_append (struct sto *sto, const void *data, size_t len, uint64_t last_index)
{
  uint8_t header[STF_BLOCK_BYTES];
  struct sto_segment *segment;
  int error;

  if (sto->failed != SR_OK)
    return sto->failed;
  if ((sto->fd < 0 || sto->size >= sto->opts.segment_bytes)
      && sto_rotate (sto) != SR_OK)
    return sto->failed;
  segment = sto_segment (lst_last (&sto->segments));
  stf_block_header (header, data, len, sto->size);
  error = stf_write (sto->fd, header, sizeof header);
  if (error == SR_OK)
    error = stf_write (sto->fd, data, len);
  if (error != SR_OK)
    return sto_fail (sto, error, sto->folder, "write failed");
  sto->size += sizeof header + len;
  if (last_index > segment->last_index)
    segment->last_index = last_index;
  return SR_OK;
}

int
sto_sync (struct sto *sto)
{
  if (sto->failed != SR_OK)
    return sto->failed;
  if (sto->fd >= 0 && sto->opts.sync (sto->fd) != 0)
    return sto_fail (sto, stf_errno (), sto->folder, "sync failed");
  return SR_OK;
}

/* Removes the oldest segments while the snapshot covers them.  The folder is
   synced after each, so that a crash never leaves a gap.  */
static int
sto_remove_covered (struct sto *sto)
{
  char path[STO_PATH_BYTES];

  lst_each (node, &sto->segments)
    {
      struct sto_segment *segment = sto_segment (node);

      if (node == lst_last (&sto->segments)
          || segment->last_index > sto->snapshot_index)
        return SR_OK;
      sto_path (sto, "log", segment->number, path);
      if (unlink (path) != 0
          || stf_sync_folder (sto->folder, sto->opts.sync) != SR_OK)
        return sto_fail (sto, SR_EIO, path, "cannot be removed");
      lst_remove (node);
      free (segment);
    }
  return SR_OK;
}

int
sto_snapshot (struct sto *sto, uint64_t index, const void *data, size_t len)
{
  uint8_t head[STO_HEADER_BYTES + STF_BLOCK_BYTES];
  uint64_t old = sto->snapshot_index;
  char path[STO_PATH_BYTES];
  char name[32];

  if (sto->failed != SR_OK)
    return sto->failed;
  INVARIANT (index > old);
  memcpy (head, sto_snapshot_header, STO_HEADER_BYTES);
  stf_block_header (head + STO_HEADER_BYTES, data, len, STO_HEADER_BYTES);
  snprintf (name, sizeof name, "snapshot-%016" PRIx64, index);
  sto->failed = stf_replace (sto->folder, name, head, sizeof head, data, len,
                             sto->opts.sync, sto->error);
  if (sto->failed != SR_OK)
    return sto->failed;
  sto->snapshot_index = index;
  if (old != 0)
    {
      sto_path (sto, "snapshot", old, path);
      unlink (path);
    }
  return sto_remove_covered (sto);
}

const char *
sto_error (const struct sto *sto)
{
  return sto->error;
}

/* Stores a new random id.  */
static int
sto_identity_new (const char *folder, uint64_t *id,
                  char error[REP_ERROR_BYTES])
{
  uint8_t head[STO_HEADER_BYTES + STF_BLOCK_BYTES];

  do
    rng_id ((uint8_t *)id, sizeof *id);
  while (*id == 0);
  memcpy (head, sto_id_header, STO_HEADER_BYTES);
  stf_block_header (head + STO_HEADER_BYTES, id, sizeof *id, STO_HEADER_BYTES);
  return stf_replace (folder, "id", head, sizeof head, id, sizeof *id,
                      fdatasync, error);
}

int
sto_identity (const char *folder, uint64_t *id, char error[REP_ERROR_BYTES])
{
  const size_t start = STO_HEADER_BYTES + STF_BLOCK_BYTES;
  char path[STO_PATH_BYTES];
  uint8_t *file;
  size_t size;
  int result = SR_OK;

  snprintf (path, sizeof path, "%s/id", folder);
  if (access (path, F_OK) != 0 && errno == ENOENT)
    return sto_identity_new (folder, id, error);
  if (stf_read (path, &file, &size) != SR_OK)
    {
      stf_fail (error, path, "cannot be read");
      return SR_EIO;
    }
  if (size == start + sizeof *id
      && memcmp (file, sto_id_header, STO_HEADER_BYTES) == 0
      && stf_block_at (file, size, STO_HEADER_BYTES) == sizeof *id)
    memcpy (id, file + start, sizeof *id);
  else
    {
      snprintf (error, REP_ERROR_BYTES, "%.160s: offset 0: damaged",
                stf_shown (path));
      result = SR_EDAMAGED;
    }
  free (file);
  return result;
}

int
sto_lock (const char *folder, char error[REP_ERROR_BYTES])
{
  char path[STO_PATH_BYTES];
  int fd;

  snprintf (path, sizeof path, "%s/lock", folder);
  fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0)
    return fd;
  if (fd >= 0 && errno == EWOULDBLOCK)
    {
      snprintf (error, REP_ERROR_BYTES, "%.160s: in use by another process",
                stf_shown (path));
      close (fd);
      return SR_EEXIST;
    }
  stf_fail (error, path, "cannot be locked");
  if (fd >= 0)
    close (fd);
  return SR_EIO;
}
