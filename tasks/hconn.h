#ifndef TASKS_HCONN_H
#define TASKS_HCONN_H

/**
 * DOC: hconn - HTTP/1.1 connection on a non-blocking TCP socket
 *
 * Feeds received bytes to a parser and sends the bytes that its owner appends
 * to @send_buf.  Embedded in the owner's structure, which @destroy frees in a
 * later turn of the loop after hconn_close().
 */

#include "core/buf.h"
#include "tasks/loop.h"
#include "wire/httpmsg.h"

/* Unsent bytes: above the first number the owner stops reading the source of a
   body; it is told when there are at most as many as the second.  */
#define HCONN_HIGH_WATER_BYTES (64 * 1024)
#define HCONN_LOW_WATER_BYTES (16 * 1024)

/* Receive buffer of a connection, as SO_RCVBUF; the kernel uses up to twice as
   much memory.  It is wide from the first long body to the end of the
   connection: the kernel drops what is on its way to a buffer that was made
   smaller, and the sender repeats it only after its timeout.  The handshake,
   made with a narrow buffer, allows no window of more than 64 KiB.  */
#define HCONN_NARROW_BYTES (8 * 1024)
#define HCONN_WIDE_BYTES (64 * 1024)

/* Connections with a wide receive buffer.  Their number is bounded, since what
   the kernel holds counts for the memory of the machine.  */
struct hconn_windows
{
  uint32_t wide_max;
  uint32_t wide_count;
};

struct hconn;

/* Why a connection ended.  */
enum hconn_end
{
  HCONN_END_ORDERLY,       /* the peer has closed it or half-closed it */
  HCONN_END_RESET,         /* reset by the peer, or another socket error */
  HCONN_END_SILENT,        /* sent bytes were not acknowledged in time */
  HCONN_END_MALFORMED,     /* received bytes are not valid HTTP */
  HCONN_END_TOO_LONG,      /* a header exceeds header_bytes_max */
  HCONN_END_CONNECT_FAILED /* it was never established */
};

/* Callbacks of the owner.  */
struct hconn_events
{
  struct httpmsg_sink sink; /* @arg is the struct hconn */
  /* A connection opened by hconn_connect() is established.  */
  void (*connected) (struct hconn *conn);
  /* Received bytes have been parsed; may be NULL.  */
  void (*received) (struct hconn *conn);
  /* Bytes were sent that could not be sent at once; may be NULL.  */
  void (*sent) (struct hconn *conn);
  /* After bytes could not be sent at once, or the connection was established:
     HCONN_LOW_WATER_BYTES or less are unsent.  */
  void (*drained) (struct hconn *conn);
  /* The connection has ended; the owner must call hconn_close().  */
  void (*ended) (struct hconn *conn, enum hconn_end end);
  /* Frees the owner's structure.  */
  void (*destroy) (struct hconn *conn);
};

struct hconn_opts
{
  struct loop *loop;
  const struct hconn_events *events;
  enum httpmsg_role role; /* of the messages that are read */
  const struct httpmsg_names *names;
  size_t header_bytes_max;
  uint32_t unacked_timeout_ms;   /* TCP_USER_TIMEOUT; 0: system default */
  struct hconn_windows *windows; /* shared by connections; outlives them */
  /* Gets the connections that linger, the one that began to first; may be
     NULL.  */
  struct list *lingering;
};

struct hconn
{
  struct loop_io io;
  struct hconn_opts opts;
  struct httpmsg_parser parser;
  struct buf send_buf;           /* unsent bytes */
  struct loop_timer close_timer; /* end of lingering, then @destroy */
  struct list_node linger_node;  /* opts.lingering */
  uint64_t body_read_bytes; /* read since the body began, while not @wide */
  bool wide;                /* has a wide receive buffer */
  int write_error; /* errno of a failed write; the kernel reports it once */
  bool connected;
  bool closed;             /* hconn_close() was called */
  bool any_written;        /* a byte was sent since the owner cleared this */
  bool close_when_flushed; /* hconn_flush_and_close() was called */
  bool lingering; /* shut down for sending; received bytes are discarded */
};

/* Takes over an accepted socket.  SR_OK, or SR_EIO after closing FD.  */
int hconn_adopt (struct hconn *conn, const struct hconn_opts *opts, int fd);

/**
 * hconn_connect() - start to open a connection
 * @conn: connection to set up
 * @opts: copied
 * @address: "IP:PORT"
 *
 * The outcome is reported by @connected, or by @ended with
 * HCONN_END_CONNECT_FAILED.
 *
 * Return: SR_OK, SR_EINVAL for a malformed address, or SR_EIO.
 */
int hconn_connect (struct hconn *conn, const struct hconn_opts *opts,
                   const char *address);

/* Changes unacked_timeout_ms of the options.  */
void hconn_set_unacked_timeout (struct hconn *conn, uint32_t timeout_ms);

/* Writes as much of @send_buf as the socket accepts; the loop writes the rest.
   Does nothing before the connection is established.  */
void hconn_flush (struct hconn *conn);

/* Whether more than HCONN_HIGH_WATER_BYTES bytes are unsent.  */
bool hconn_is_full (const struct hconn *conn);

/* Closes the connection once @send_buf has been written; @destroy follows.  */
void hconn_flush_and_close (struct hconn *conn);

/* Shuts down the sending side if all bytes were written; received bytes are
   still processed.  */
void hconn_half_close (struct hconn *conn);

/* Closes at once; no event but @destroy follows.  RESET sends a TCP reset
   instead of an orderly close.  Of a connection that lingers, bytes that have
   arrived are discarded first, so that they do not cause a reset.  */
void hconn_close (struct hconn *conn, bool reset);

/* hconn_window.c; for hconn.c only */
/* Makes the receive buffer of a socket narrow; connections that a listener
   accepts inherit it.  */
void hconn_window_init (int fd);
/* Makes it wide after LEN bytes were read and parsed, if they belong to a long
   body and there are not too many wide ones.  */
void hconn_window_update (struct hconn *conn, size_t len);
/* To be called before the connection is closed.  */
void hconn_window_release (struct hconn *conn);

/* Opens a non-blocking listener on "IP:PORT".  Its descriptor, SR_EINVAL or
   SR_EIO.  */
int hconn_listen (const char *address);

/* Accepts a connection as non-blocking socket; -1 with errno on failure.  */
int hconn_accept (int listener_fd);

#endif
