#include "log/block.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include "core/err.h"

#define BLOCK_MAGIC 0x6b6c6253u /* "Sblk" */
#define BLOCK_PATH_BYTES 4096

static void
block_put_le (uint8_t *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (uint8_t)(value >> (8 * i));
}

static uint64_t
block_get_le (const uint8_t *in, int bytes)
{
  uint64_t value = 0;

  for (int i = 0; i < bytes; i++)
    value |= (uint64_t)in[i] << (8 * i);
  return value;
}

void
block_put_header (uint8_t out[BLOCK_HEADER_BYTES], const void *data,
                  size_t len, uint64_t offset)
{
  INVARIANT (len <= UINT32_MAX);
  block_put_le (out, BLOCK_MAGIC, 4);
  block_put_le (out + 4, len, 4);
  block_put_le (out + 8, XXH64 (data, len, offset), 8);
}

int64_t
block_len_at (const uint8_t *file, size_t size, uint64_t offset)
{
  const uint8_t *header = file + offset;
  uint64_t len;

  if (offset > size || size - offset < BLOCK_HEADER_BYTES)
    return -1;
  len = block_get_le (header + 4, 4);
  if (block_get_le (header, 4) != BLOCK_MAGIC
      || len > size - offset - BLOCK_HEADER_BYTES)
    return -1;
  if (block_get_le (header + 8, 8)
      != XXH64 (header + BLOCK_HEADER_BYTES, len, offset))
    return -1;
  return (int64_t)len;
}

int64_t
block_find (const uint8_t *file, size_t size, uint64_t from)
{
  for (uint64_t offset = from; offset + BLOCK_HEADER_BYTES <= size; offset++)
    if (block_len_at (file, size, offset) >= 0)
      return (int64_t)offset;
  return -1;
}

int
block_error_from_errno (void)
{
  return errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? SR_EFULL
                                                              : SR_EIO;
}

const char *
block_path_tail (const char *path)
{
  size_t len = strlen (path);

  return len > BLOCK_PATH_TAIL_BYTES ? path + len - BLOCK_PATH_TAIL_BYTES
                                     : path;
}

void
block_format_error (char error[RAFT_ERROR_BYTES], const char *path,
                    const char *what)
{
  snprintf (error, RAFT_ERROR_BYTES, "%.160s: %.40s: %s",
            block_path_tail (path), what, strerror (errno));
}

int
block_write_all (int fd, const void *data, size_t len)
{
  const uint8_t *position = data;

  while (len > 0)
    {
      ssize_t written = write (fd, position, len);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return block_error_from_errno ();
      position += written;
      len -= (size_t)written;
    }
  return SR_OK;
}

/* Reads exactly LEN bytes; a shorter file is an error.  */
static int
block_read_exact (int fd, uint8_t *out, size_t len)
{
  while (len > 0)
    {
      ssize_t count = read (fd, out, len);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return SR_EIO;
      out += count;
      len -= (size_t)count;
    }
  return SR_OK;
}

int
block_read_file (const char *path, uint8_t **out, size_t *len)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat status;
  int error = SR_EIO;

  if (fd < 0)
    return SR_EIO;
  if (fstat (fd, &status) == 0)
    {
      *len = (size_t)status.st_size;
      *out = malloc (*len + 1);
      INVARIANT (*out != NULL);
      error = block_read_exact (fd, *out, *len);
      if (error != SR_OK)
        free (*out);
    }
  close (fd);
  return error;
}

int
block_sync_folder (const char *folder, int (*sync) (int fd))
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  int error = SR_OK;

  if (fd < 0)
    return SR_EIO;
  if (sync (fd) != 0)
    error = block_error_from_errno ();
  close (fd);
  return error;
}

/* Creates or truncates the file at PATH, writes both parts and syncs it.  */
static int
block_create_file (const char *path, const void *head, size_t head_len,
                   const void *data, size_t len, int (*sync) (int fd))
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  int error;

  if (fd < 0)
    return block_error_from_errno ();
  error = block_write_all (fd, head, head_len);
  if (error == SR_OK)
    error = block_write_all (fd, data, len);
  if (error == SR_OK && sync (fd) != 0)
    error = block_error_from_errno ();
  if (close (fd) != 0 && error == SR_OK)
    error = block_error_from_errno ();
  return error;
}

int
block_replace_file (const char *folder, const char *name, const void *head,
                    size_t head_len, const void *data, size_t len,
                    int (*sync) (int fd), char error[RAFT_ERROR_BYTES])
{
  char temporary[BLOCK_PATH_BYTES];
  char path[BLOCK_PATH_BYTES];
  int result;

  snprintf (temporary, sizeof temporary, "%s/%s.tmp", folder, name);
  snprintf (path, sizeof path, "%s/%s", folder, name);
  result = block_create_file (temporary, head, head_len, data, len, sync);
  if (result == SR_OK && rename (temporary, path) != 0)
    result = block_error_from_errno ();
  if (result == SR_OK)
    result = block_sync_folder (folder, sync);
  if (result != SR_OK)
    block_format_error (error, path, "cannot be written");
  return result;
}
