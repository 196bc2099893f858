#ifndef TASKS_HCONN_H
#define TASKS_HCONN_H

/**
 * DOC: hconn - one HTTP connection on a raw socket
 *
 * Reads into a parser and writes what its owner appends.  Embedded in the
 * owner's record, which is freed by @release some time after hconn_close().
 */

#include "core/buf.h"
#include "tasks/loop.h"
#include "wire/httpmsg.h"

/* Above this many unsent bytes the source of a body is held back, below the
   second it goes on.  */
#define HCONN_HIGH_WATER_BYTES (64 * 1024)
#define HCONN_LOW_WATER_BYTES (16 * 1024)

struct hconn;

/* How a connection ended.  */
enum hconn_end
{
  HCONN_END_ORDERLY, /* the peer closed it */
  HCONN_END_RESET,
  HCONN_END_MALFORMED,     /* what came is not HTTP */
  HCONN_END_TOO_LONG,      /* a header is too long */
  HCONN_END_CONNECT_FAILED /* it was never open */
};

struct hconn_events
{
  struct httpmsg_sink sink; /* @arg is the struct hconn */
  /* The connection is open; for those that were dialled.  */
  void (*connected) (struct hconn *conn);
  /* Unsent bytes have fallen to HCONN_LOW_WATER_BYTES.  */
  void (*drained) (struct hconn *conn);
  /* The connection has ended; the owner calls hconn_close().  */
  void (*ended) (struct hconn *conn, enum hconn_end end);
  /* Frees the owner's record.  */
  void (*destroy) (struct hconn *conn);
};

struct hconn_opts
{
  struct loop *loop;
  const struct hconn_events *events;
  enum httpmsg_role role;
  const struct httpmsg_names *names;
  size_t header_bytes_max;
  uint32_t unacked_timeout_ms; /* unacknowledged bytes fail the connection
                                  after this */
};

struct hconn
{
  struct loop_io io;
  struct hconn_opts opts;
  struct httpmsg_parser parser;
  struct buf send_buf;
  struct loop_timer close_timer;
  bool connected;          /* connected */
  bool closed;             /* hconn_close() was called */
  bool above_high_water;   /* more than HCONN_HIGH_WATER_BYTES were unsent */
  bool any_written;        /* a byte was handed to the system */
  bool close_when_flushed; /* close once all is written */
  bool lingering;          /* written and shut down; the peer may still send */
};

/* Takes over an accepted socket.  SR_OK or SR_EIO; FD is closed then.  */
int hconn_adopt (struct hconn *conn, const struct hconn_opts *opts, int fd);

/* Opens a connection to ADDRESS, "IP:PORT".  SR_OK, SR_EINVAL, SR_EIO.  */
int hconn_connect (struct hconn *conn, const struct hconn_opts *opts,
                   const char *address);

/* Writes what is in @out as far as the system takes it.  */
void hconn_flush (struct hconn *conn);

/* Whether more than HCONN_HIGH_WATER_BYTES are unsent.  */
bool hconn_full (const struct hconn *conn);

/* Closes when all that was appended has been written; no event follows.  */
void hconn_flush_and_close (struct hconn *conn);

/* Tells the peer that nothing more will be sent; its answer is still read.  */
void hconn_half_close (struct hconn *conn);

/* Closes now; @release follows.  RESET shows the peer that it did not end in
   order.  */
void hconn_close (struct hconn *conn, bool reset);

/* Non-blocking listener on "IP:PORT", or a negative error number.  */
int hconn_listen (const char *address);

/* Next connection of a listener, or -1.  */
int hconn_accept (int listener);

#endif
