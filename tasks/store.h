#ifndef TASKS_STORE_H
#define TASKS_STORE_H

/**
 * DOC: store - write-ahead log task of the Raft groups
 *
 * Owns the files of all groups.  Processes MSG_STORE_WRITE and sends
 * MSG_STORE_DONE to the control task.  All queued writes of a group share one
 * sync.  After a failure it completes every write with the error and writes
 * nothing more; the process must stop.
 */

#include "core/inbox.h"
#include "core/raftmsg.h"

struct store;

struct store_opts
{
  const char *data_dir;   /* created if its parent exists */
  struct inbox *control;  /* receives MSG_STORE_DONE */
  uint64_t segment_bytes; /* 0: default of log/wal */
  int (*sync) (int fd);   /* NULL: fdatasync() */
};

/**
 * store_new() - lock and read a data directory
 * @opts: settings
 * @out: set on success; its thread is not running yet
 * @error: on failure, a message with file and offset
 *
 * Return: SR_OK, SR_EEXIST when another process uses the directory, SR_EIO,
 * SR_EFULL, SR_EDAMAGED, SR_EVERSION.
 */
int store_new (const struct store_opts *opts, struct store **out,
               char error[RAFT_ERROR_BYTES]);

/* Returns the random id of the data directory.  */
uint64_t store_id (const struct store *store);

/* Returns the loaded state of GROUP; replica_new() empties it.  */
struct raft_persistent_state *store_loaded (struct store *store,
                                            enum msg_group group);

struct inbox *store_inbox (struct store *store);

/* Starts the thread.  Returns SR_OK or SR_EAGAIN.  */
int store_start (struct store *store);

/* Ends the thread after the queued writes.  */
void store_stop (struct store *store);

void store_free (struct store *store);

#endif
