#ifndef TASKS_STORE_H
#define TASKS_STORE_H

/**
 * DOC: store - task that owns the files of the log groups
 *
 * Takes MSG_STORE_WRITE and answers MSG_STORE_DONE into the inbox of the
 * control task.  All writes that wait share one sync for each group.  After
 * a failure it answers every write with the error and writes nothing more;
 * the process is to be stopped.
 */

#include "core/inbox.h"
#include "core/raftmsg.h"

struct store;

struct store_opts
{
  const char *data_dir;   /* created when its parent exists */
  struct inbox *control;  /* receives MSG_STORE_DONE */
  uint64_t segment_bytes; /* 0 for the default of log/wal */
  int (*sync) (int fd);   /* NULL for fdatasync() */
};

/**
 * store_new() - lock and read a data directory
 * @opts: settings
 * @out: set on success; the thread does not run yet
 * @error: text that names the file and the offset on failure
 *
 * Return: SR_OK, SR_EEXIST when another process uses the directory, SR_EIO,
 * SR_EFULL, SR_EDAMAGED, SR_EVERSION.
 */
int store_new (const struct store_opts *opts, struct store **out,
               char error[RAFT_ERROR_BYTES]);

/* Random id that belongs to the data directory.  */
uint64_t store_id (const struct store *store);

/* What the directory held for GROUP; emptied by replica_new().  */
struct wal_loaded *store_loaded (struct store *store, enum msg_group group);

struct inbox *store_inbox (struct store *store);

/* Starts the thread.  SR_OK, SR_EAGAIN.  */
int store_start (struct store *store);

/* Ends the thread after the writes that it already has.  */
void store_stop (struct store *store);

void store_free (struct store *store);

#endif
