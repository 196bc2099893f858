#ifndef TASKS_HCONN_H
#define TASKS_HCONN_H

/**
 * DOC: hcn - one HTTP connection on a raw socket
 *
 * Reads into a parser and writes what its owner appends.  Embedded in the
 * owner's record, which is freed by @release some time after hcn_close().
 */

#include "core/buf.h"
#include "tasks/loop.h"
#include "wire/httpmsg.h"

/* Above this many unsent bytes the source of a body is held back, below the
   second it goes on.  */
#define HCN_HIGH_BYTES (64 * 1024)
#define HCN_LOW_BYTES (16 * 1024)

struct hcn;

/* How a connection ended.  */
enum hcn_end
{
  HCN_END_ORDERLY, /* the peer closed it */
  HCN_END_RESET,
  HCN_END_MALFORMED,     /* what came is not HTTP */
  HCN_END_TOO_LONG,      /* a header is too long */
  HCN_END_CONNECT_FAILED /* it was never open */
};

struct hcn_events
{
  struct hm_sink sink; /* @arg is the struct hcn */
  /* The connection is open; for those that were dialled.  */
  void (*opened) (struct hcn *conn);
  /* Unsent bytes have fallen to HCN_LOW_BYTES.  */
  void (*drained) (struct hcn *conn);
  /* The connection has ended; the owner calls hcn_close().  */
  void (*ended) (struct hcn *conn, enum hcn_end end);
  /* Frees the owner's record.  */
  void (*release) (struct hcn *conn);
};

struct hcn_opts
{
  struct lop *loop;
  const struct hcn_events *events;
  enum hm_role reads;
  const struct hm_names *names;
  size_t header_bytes;
  uint32_t silent_ms; /* unacknowledged bytes fail the connection after this */
};

struct hcn
{
  struct lop_io io;
  struct hcn_opts opts;
  struct hm_parser parser;
  struct buf out;
  struct lop_timer release;
  bool open;      /* connected */
  bool closed;    /* hcn_close() was called */
  bool above;     /* more than HCN_HIGH_BYTES were unsent */
  bool written;   /* a byte was handed to the system */
  bool finish;    /* close once all is written */
  bool lingering; /* written and shut down; the peer may still send */
};

/* Takes over an accepted socket.  SR_OK or SR_EIO; FD is closed then.  */
int hcn_accept (struct hcn *conn, const struct hcn_opts *opts, int fd);

/* Opens a connection to ADDRESS, "IP:PORT".  SR_OK, SR_EINVAL, SR_EIO.  */
int hcn_dial (struct hcn *conn, const struct hcn_opts *opts,
              const char *address);

/* Writes what is in @out as far as the system takes it.  */
void hcn_flush (struct hcn *conn);

/* Whether more than HCN_HIGH_BYTES are unsent.  */
bool hcn_full (const struct hcn *conn);

/* Closes when all that was appended has been written; no event follows.  */
void hcn_finish (struct hcn *conn);

/* Tells the peer that nothing more will be sent; its answer is still read.  */
void hcn_half_close (struct hcn *conn);

/* Closes now; @release follows.  RESET shows the peer that it did not end in
   order.  */
void hcn_close (struct hcn *conn, bool reset);

/* Non-blocking listener on "IP:PORT", or a negative error number.  */
int hcn_listen (const char *address);

/* Next connection of a listener, or -1.  */
int hcn_next (int listener);

#endif
