#include "tasks/peer.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/rng.h"
#include "core/slog.h"
#include "tasks/peer_link.h"
#include "tasks/peer_monitor.h"
#include "wire/pack.h"

#define PEER_DIALS_MAX 128
#define PEER_INBOUND_MAX 2048
/* Maximum messages read from one socket before the next socket is read.  */
#define PEER_READ_BATCH_MAX 256
/* Maximum interval between checks of the connections.  */
#define PEER_POLL_TIMEOUT_MS 250
/* Time between two checks after which this process counts as suspended.  */
#define PEER_SUSPENDED_MIN_US clk_ms (2 * PEER_POLL_TIMEOUT_MS)
#define PEER_SEND_HWM 8192
/* No high-water mark for received messages: the task reads them at once, and
   libzmq aborts the process as described below when a connection fails whose
   input was stopped at the mark.  */
#define PEER_RECEIVE_HWM 0
/* One connection of each node at the target size, all opened at once.  */
#define PEER_BACKLOG 1024
/* A node has opts.contact to regain contact.  A third is for the interval
   between its renewals, a third for the answer to the first one that is lost,
   and the rest for the new connection.  */
#define PEER_CONTACT_SHARES 3
#define PEER_CONTACT_MIN_US clk_s (1)
/* Time for the longest message, PACK_FRAME_BYTES_MAX, at 1 Mbit/s.  */
#define PEER_SLOW_TIMEOUT_MAX_US clk_s (17)
/* Heartbeats of DEALER sockets only.  After a handover a ROUTER socket of
   libzmq 4.3.4 keeps the previous connection with its input stopped; once that
   connection fails, its next heartbeat aborts the process (assertion
   !_io_error).  The TTL in the heartbeats of the DEALER ends silent
   connections on both sides.  */
#define PEER_HEARTBEAT_MS 2000
#define PEER_HEARTBEAT_TIMEOUT_MS 6000
/* TCP keepalive ends accepted connections that fail before their first
   heartbeat, within the same time.  */
#define PEER_KEEPALIVE_IDLE_S 2
#define PEER_KEEPALIVE_INTERVAL_S 2
#define PEER_KEEPALIVE_COUNT 2

/* Outbound connection to another node.  */
struct peer_dial
{
  struct list_node node; /* peer->dials, least recently used first */
  char address[MSG_ADDRESS_BYTES];
  void *socket;  /* NULL after a loss, until the next message */
  void *monitor; /* events of a connection to a control replica, or NULL */
  struct peer_link link;
  bool has_control_traffic; /* used for renewals, proposals or Raft messages */
};

/* Inbound connection of a node that has streams open.  */
struct peer_inbound
{
  struct list_node node;
  struct msg_endpoint endpoint;
  struct peer_link link;
};

struct peer
{
  struct peer_opts opts;
  char address[MSG_ADDRESS_BYTES];
  struct inbox *inbox;
  void *context;
  void *router;
  struct list dials;
  struct list inbound;
  uint32_t dial_count;
  uint32_t inbound_count;
  zmq_pollitem_t *poll_items;  /* for peer_poll() */
  uint32_t poll_item_capacity; /* allocated length of @poll_items */
  clk_us last_check;           /* of the connections */
  bool stopping;
  pthread_t thread;
};

static void
peer_set_int (void *socket, int option, int value)
{
  INVARIANT (zmq_setsockopt (socket, option, &value, sizeof value) == 0);
}

/* Sets the options of both kinds of sockets.  */
static void
peer_configure (const struct peer *peer, void *socket)
{
  int64_t frame_max = PACK_FRAME_BYTES_MAX;

  peer_set_int (socket, ZMQ_LINGER, 0);
  peer_set_int (socket, ZMQ_SNDHWM, PEER_SEND_HWM);
  peer_set_int (socket, ZMQ_RCVHWM, PEER_RECEIVE_HWM);
  peer_set_int (socket, ZMQ_TCP_MAXRT, PEER_HEARTBEAT_TIMEOUT_MS);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &frame_max, sizeof frame_max);
  if (peer->opts.curve_secret == NULL)
    return;
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, peer->opts.curve_secret,
                  strlen (peer->opts.curve_secret) + 1);
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, peer->opts.curve_public,
                  strlen (peer->opts.curve_public) + 1);
}

/* Opens and binds the ROUTER socket.  */
static int
peer_bind (struct peer *peer)
{
  char endpoint[MSG_ADDRESS_BYTES + 8];

  peer->router = zmq_socket (peer->context, ZMQ_ROUTER);
  if (peer->router == NULL)
    return SR_EIO;
  peer_configure (peer, peer->router);
  peer_set_int (peer->router, ZMQ_BACKLOG, PEER_BACKLOG);
  peer_set_int (peer->router, ZMQ_ROUTER_MANDATORY, 1);
  peer_set_int (peer->router, ZMQ_ROUTER_HANDOVER, 1);
  peer_set_int (peer->router, ZMQ_TCP_KEEPALIVE, 1);
  peer_set_int (peer->router, ZMQ_TCP_KEEPALIVE_IDLE, PEER_KEEPALIVE_IDLE_S);
  peer_set_int (peer->router, ZMQ_TCP_KEEPALIVE_INTVL,
                PEER_KEEPALIVE_INTERVAL_S);
  peer_set_int (peer->router, ZMQ_TCP_KEEPALIVE_CNT, PEER_KEEPALIVE_COUNT);
  if (peer->opts.curve_secret != NULL)
    peer_set_int (peer->router, ZMQ_CURVE_SERVER, 1);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", peer->address);
  if (zmq_bind (peer->router, endpoint) != 0)
    {
      slog (SLOG_ERR, "cannot bind setting=--peer value=%s error=\"%s\"",
            peer->address, zmq_strerror (errno));
      return SR_EIO;
    }
  return SR_OK;
}

struct peer *
peer_new (const struct peer_opts *opts)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct peer *peer = calloc (1, sizeof *peer);

  INVARIANT (peer != NULL);
  peer->opts = *opts;
  if (peer->opts.contact == 0)
    peer->opts.contact = PEER_CONTACT_DEFAULT_US;
  if (peer->opts.contact < PEER_CONTACT_MIN_US)
    peer->opts.contact = PEER_CONTACT_MIN_US;
  snprintf (peer->address, sizeof peer->address, "%s", opts->address);
  list_init (&peer->dials);
  list_init (&peer->inbound);
  peer->inbox = inbox_new (&inbox);
  peer->context = zmq_ctx_new ();
  INVARIANT (peer->inbox != NULL && peer->context != NULL);
  if (peer_bind (peer) == SR_OK)
    return peer;
  if (peer->router != NULL)
    zmq_close (peer->router);
  zmq_ctx_term (peer->context);
  inbox_free (peer->inbox);
  free (peer);
  return NULL;
}

struct inbox *
peer_inbox (struct peer *peer)
{
  return peer->inbox;
}

/* Reports a lost endpoint to the front and control tasks.  */
static void
peer_report_lost (struct peer *peer, const struct msg_endpoint *endpoint)
{
  struct inbox *inboxes[] = { peer->opts.front, peer->opts.control };

  for (int i = 0; i < 2; i++)
    {
      struct msg *msg = msg_new (MSG_PEER_LOST);

      msg->endpoint = *endpoint;
      inbox_put (inboxes[i], msg);
    }
}

static void
peer_close_socket (struct peer_dial *dial)
{
  if (dial->socket == NULL)
    return;
  peer_monitor_close (dial->monitor, dial->socket);
  zmq_close (dial->socket);
  dial->socket = NULL;
  dial->monitor = NULL;
}

static void
peer_close_dial (struct peer *peer, struct peer_dial *dial)
{
  list_remove (&dial->node);
  peer->dial_count--;
  peer_link_clear (&dial->link);
  peer_close_socket (dial);
  free (dial);
}

/* Closes the least recently used connection without open streams.  Connections
   to control replicas are kept: there are few, and closing one loses a renewal
   that is not sent yet.  */
static void
peer_evict_dial (struct peer *peer)
{
  list_each (node, &peer->dials)
    {
      struct peer_dial *dial = list_entry (node, struct peer_dial, node);

      if ((dial->has_control_traffic && dial->socket != NULL)
          || !list_empty (&dial->link.streams))
        continue;
      peer_close_dial (peer, dial);
      return;
    }
}

/* Whether MSG goes to a control replica.  */
static bool
peer_is_control_traffic (const struct msg *msg)
{
  return msg->kind == MSG_RENEW || msg->kind == MSG_PROPOSE
         || msg->kind == MSG_RAFT;
}

static const char *
peer_dial_state (const struct peer_dial *dial)
{
  if (dial->monitor == NULL)
    return "unknown";
  return dial->link.connected ? "established" : "none";
}

/* Opens the socket of a connection for MSG.  Only connections to control
   replicas are monitored: there are few, and a monitor needs two more
   sockets.  Returns SR_OK or SR_EIO.  */
static int
peer_open_socket (struct peer *peer, struct peer_dial *dial,
                  const struct msg *msg)
{
  char endpoint[MSG_ADDRESS_BYTES + 8];
  uint8_t identity[RNG_ID_BYTES + 1] = { 'n' };

  dial->socket = zmq_socket (peer->context, ZMQ_DEALER);
  INVARIANT (dial->socket != NULL);
  peer_configure (peer, dial->socket);
  peer_set_int (dial->socket, ZMQ_HEARTBEAT_IVL, PEER_HEARTBEAT_MS);
  peer_set_int (dial->socket, ZMQ_HEARTBEAT_TIMEOUT,
                PEER_HEARTBEAT_TIMEOUT_MS);
  peer_set_int (dial->socket, ZMQ_HEARTBEAT_TTL, PEER_HEARTBEAT_TIMEOUT_MS);
  rng_os_bytes (identity + 1, RNG_ID_BYTES);
  zmq_setsockopt (dial->socket, ZMQ_ROUTING_ID, identity, sizeof identity);
  if (peer->opts.curve_public != NULL)
    zmq_setsockopt (dial->socket, ZMQ_CURVE_SERVERKEY, peer->opts.curve_public,
                    strlen (peer->opts.curve_public) + 1);
  if (peer_is_control_traffic (msg))
    dial->monitor = peer_monitor_open (peer->context, dial->socket);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", dial->address);
  if (zmq_connect (dial->socket, endpoint) == 0)
    return SR_OK;
  peer_close_socket (dial);
  return SR_EIO;
}

static struct peer_dial *
peer_new_dial (struct peer *peer, const char *address, clk_us now)
{
  struct peer_dial *dial = calloc (1, sizeof *dial);
  struct peer_link_opts link
      = { .lost_after = PEER_LINK_LOST_US,
          .answer_timeout = peer->opts.contact / PEER_CONTACT_SHARES,
          .answer_timeout_max = 2 * peer->opts.contact / PEER_CONTACT_SHARES,
          .slow_timeout_max = PEER_SLOW_TIMEOUT_MAX_US };

  INVARIANT (dial != NULL);
  if (peer->dial_count >= PEER_DIALS_MAX)
    peer_evict_dial (peer);
  snprintf (dial->address, sizeof dial->address, "%s", address);
  peer_link_init (&dial->link, &link, now);
  list_push_tail (&peer->dials, &dial->node);
  peer->dial_count++;
  return dial;
}

static struct peer_dial *
peer_find_dial (struct peer *peer, const char *address)
{
  list_each (node, &peer->dials)
    {
      struct peer_dial *dial = list_entry (node, struct peer_dial, node);

      if (strcmp (dial->address, address) == 0)
        return dial;
    }
  return NULL;
}

static struct peer_inbound *
peer_find_inbound (struct peer *peer, const struct msg_endpoint *endpoint)
{
  list_each (node, &peer->inbound)
    {
      struct peer_inbound *inbound
          = list_entry (node, struct peer_inbound, node);

      if (inbound->endpoint.u.identity.len == endpoint->u.identity.len
          && memcmp (inbound->endpoint.u.identity.bytes,
                     endpoint->u.identity.bytes, endpoint->u.identity.len)
                 == 0)
        return inbound;
    }
  return NULL;
}

/* Sends all frames without blocking; returns SR_OK or SR_EAGAIN.  */
static int
peer_send_frames (void *socket, const struct msg_endpoint *endpoint,
                  const struct pack_frames *frames)
{
  int flags = ZMQ_DONTWAIT | ZMQ_SNDMORE;

  if (endpoint->kind == MSG_ENDPOINT_REPLY
      && zmq_send (socket, endpoint->u.identity.bytes,
                   endpoint->u.identity.len, flags)
             < 0)
    return SR_EAGAIN;
  if (zmq_send (socket, frames->header, frames->header_len, flags) < 0)
    return SR_EAGAIN;
  if (zmq_send (socket, frames->payload, frames->payload_len, ZMQ_DONTWAIT)
      < 0)
    return SR_EAGAIN;
  counter_add (COUNTER_PEER_SENT_BYTES,
               frames->header_len + frames->payload_len);
  return SR_OK;
}

static int
peer_send_socket (void *socket, const struct msg *msg)
{
  struct pack_frames frames;
  int error = pack_encode (msg, &frames);

  if (error != SR_OK)
    return error;
  error = peer_send_frames (socket, &msg->endpoint, &frames);
  pack_frames_free (&frames);
  return error;
}

/* Refuses a request that ZeroMQ did not accept; it certainly did not run.  */
static void
peer_refuse_open (struct peer *peer, const struct msg *open)
{
  struct msg *msg = msg_new (MSG_REFUSE);

  msg->endpoint = open->endpoint;
  msg->stream = open->stream;
  msg->u.refuse.reason = REASON_PEER_CONGESTED;
  msg->u.refuse.run = REASON_NOT_RUN;
  msg->u.refuse.trailer.unused_retry_allowance = open->u.open.retry_allowance;
  inbox_put (peer->opts.front, msg);
}

static void
peer_send_dial (struct peer *peer, const struct msg *msg, clk_us now)
{
  struct peer_dial *dial = peer_find_dial (peer, msg->endpoint.u.address);

  if (dial == NULL)
    dial = peer_new_dial (peer, msg->endpoint.u.address, now);
  if ((dial->socket == NULL && peer_open_socket (peer, dial, msg) != SR_OK)
      || peer_send_socket (dial->socket, msg) != SR_OK)
    {
      if (msg->kind == MSG_OPEN)
        peer_refuse_open (peer, msg);
      return;
    }
  list_remove (&dial->node);
  list_push_tail (&peer->dials, &dial->node);
  dial->link.last_sent = now;
  if (peer_is_control_traffic (msg))
    {
      dial->has_control_traffic = true;
      peer_link_expect_answer (&dial->link, now);
    }
  if (msg->kind == MSG_OPEN)
    peer_link_add_stream (&dial->link, msg->stream, now);
  if (msg->kind == MSG_CANCEL)
    peer_link_remove_stream (&dial->link, msg->stream);
}

/* Whether MSG is the last message of its stream from the serve side.  */
static bool
peer_ends_stream (const struct msg *msg)
{
  return msg->kind == MSG_REFUSE || (msg->kind == MSG_BODY && msg->u.body.end);
}

static void
peer_drop_inbound (struct peer *peer, struct peer_inbound *inbound)
{
  list_remove (&inbound->node);
  peer->inbound_count--;
  peer_link_clear (&inbound->link);
  free (inbound);
}

static void
peer_send_reply (struct peer *peer, const struct msg *msg, clk_us now)
{
  struct peer_inbound *inbound = peer_find_inbound (peer, &msg->endpoint);

  if (peer_send_socket (peer->router, msg) != SR_OK)
    {
      /* The calling node has disconnected, so no one receives its streams.  */
      if (inbound == NULL)
        return;
      peer_report_lost (peer, &inbound->endpoint);
      peer_drop_inbound (peer, inbound);
      return;
    }
  if (inbound == NULL)
    return;
  inbound->link.last_sent = now;
  if (!peer_ends_stream (msg))
    return;
  peer_link_remove_stream (&inbound->link, msg->stream);
  if (list_empty (&inbound->link.streams))
    peer_drop_inbound (peer, inbound);
}

static void
peer_send (struct peer *peer, const struct msg *msg, clk_us now)
{
  switch (msg->endpoint.kind)
    {
    case MSG_ENDPOINT_DIAL:
      peer_send_dial (peer, msg, now);
      break;
    case MSG_ENDPOINT_REPLY:
      peer_send_reply (peer, msg, now);
      break;
    case MSG_ENDPOINT_LOCAL:
      INVARIANT (!"local message in the peer task");
    }
}

/* Sends the queued messages of other tasks.  */
static void
peer_handle_inbox (struct peer *peer)
{
  struct list messages;
  struct list_node *node;
  clk_us now = clk_now ();

  list_init (&messages);
  inbox_drain (peer->inbox, &messages);
  while ((node = list_pop_head (&messages)) != NULL)
    {
      struct msg *msg = list_entry (node, struct msg, node);

      if (msg->kind == MSG_STOP)
        peer->stopping = true;
      else
        peer_send (peer, msg, now);
      msg_free (msg);
    }
}

static void
peer_send_pong (struct peer *peer, const struct msg_endpoint *endpoint,
                clk_us now)
{
  struct msg *msg = msg_new (MSG_PONG);

  msg->endpoint = *endpoint;
  peer_send (peer, msg, now);
  msg_free (msg);
}

/* Passes a received message to the task that handles it.  */
static void
peer_deliver (struct peer *peer, struct msg *msg, clk_us now)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
    case MSG_BODY:
    case MSG_CREDIT:
    case MSG_CANCEL:
    case MSG_HEAD:
    case MSG_REFUSE:
      inbox_put (peer->opts.front, msg);
      return;
    case MSG_RENEW:
    case MSG_RENEW_REPLY:
    case MSG_PROPOSE:
    case MSG_RESULT:
    case MSG_RAFT:
    case MSG_CRASH_MARKS:
      inbox_put (peer->opts.control, msg);
      return;
    case MSG_PING:
      peer_send_pong (peer, &msg->endpoint, now);
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* Updates the streams and the time of the last message of an inbound
   connection.  */
static void
peer_update_inbound (struct peer *peer, const struct msg *msg, clk_us now)
{
  struct peer_inbound *inbound = peer_find_inbound (peer, &msg->endpoint);
  struct peer_link_opts link = { .lost_after = PEER_LINK_INBOUND_LOST_US };

  if (inbound == NULL)
    {
      if (msg->kind != MSG_OPEN || peer->inbound_count >= PEER_INBOUND_MAX)
        return;
      inbound = calloc (1, sizeof *inbound);
      INVARIANT (inbound != NULL);
      inbound->endpoint = msg->endpoint;
      peer_link_init (&inbound->link, &link, now);
      list_push_tail (&peer->inbound, &inbound->node);
      peer->inbound_count++;
    }
  if (msg->kind == MSG_OPEN)
    peer_link_add_stream (&inbound->link, msg->stream, now);
  peer_link_receive (&inbound->link, true, now);
  if (msg->kind != MSG_CANCEL)
    return;
  peer_link_remove_stream (&inbound->link, msg->stream);
  if (list_empty (&inbound->link.streams))
    peer_drop_inbound (peer, inbound);
}

/* Maximum frames of one received message; on the ROUTER, [0] is the
   identity.  */
#define PEER_FRAMES 3

/* Reads one message into FRAMES.  Returns its number of frames, which may
   exceed PEER_FRAMES, or 0 when there is none.  */
static int
peer_receive (void *socket, zmq_msg_t frames[PEER_FRAMES])
{
  int count = 0;
  int more = 1;

  while (more)
    {
      zmq_msg_t extra;
      zmq_msg_t *frame = count < PEER_FRAMES ? &frames[count] : &extra;

      zmq_msg_init (frame);
      if (zmq_msg_recv (frame, socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (frame);
          break;
        }
      more = zmq_msg_more (frame);
      if (frame == &extra)
        zmq_msg_close (frame);
      count++;
    }
  return count;
}

/* Decodes the last two frames; counts and logs malformed messages.  */
static struct msg *
peer_decode (zmq_msg_t frames[PEER_FRAMES], int count, int expected)
{
  struct msg *msg = NULL;
  int error = SR_EMALFORMED;

  for (int i = expected - 2; i < count && i < expected; i++)
    counter_add (COUNTER_PEER_RECEIVED_BYTES, zmq_msg_size (&frames[i]));
  if (count == expected)
    error = pack_decode (zmq_msg_data (&frames[count - 2]),
                         zmq_msg_size (&frames[count - 2]),
                         zmq_msg_data (&frames[count - 1]),
                         zmq_msg_size (&frames[count - 1]), &msg);
  if (error == SR_OK)
    return msg;
  counter_add (COUNTER_PEER_MALFORMED, 1);
  slog (SLOG_WARNING, "malformed peer message dropped frames=%d error=\"%s\"",
        count, sr_strerror (error));
  return NULL;
}

/* Reads one message from the ROUTER; returns whether there was one.  */
static bool
peer_read_router (struct peer *peer, clk_us now)
{
  zmq_msg_t frames[PEER_FRAMES];
  int count = peer_receive (peer->router, frames);
  struct msg *msg;

  if (count == 0)
    return false;
  msg = peer_decode (frames, count, PEER_FRAMES);
  if (msg != NULL && zmq_msg_size (&frames[0]) <= MSG_IDENTITY_BYTES)
    {
      msg->endpoint.kind = MSG_ENDPOINT_REPLY;
      msg->endpoint.u.identity.len = (uint8_t)zmq_msg_size (&frames[0]);
      memcpy (msg->endpoint.u.identity.bytes, zmq_msg_data (&frames[0]),
              msg->endpoint.u.identity.len);
      peer_update_inbound (peer, msg, now);
      peer_deliver (peer, msg, now);
    }
  else
    msg_free (msg);
  for (int i = 0; i < count && i < PEER_FRAMES; i++)
    zmq_msg_close (&frames[i]);
  return true;
}

/* Whether MSG answers a message of this node; a replica also sends changes and
   notices that nobody has asked for.  */
static bool
peer_is_answer (const struct msg *msg)
{
  return msg->kind == MSG_PONG || msg->kind == MSG_RENEW_REPLY;
}

/* Reads one message from a DEALER; returns whether there was one.  */
static bool
peer_read_dial (struct peer *peer, struct peer_dial *dial, clk_us now)
{
  zmq_msg_t frames[PEER_FRAMES];
  int count = peer_receive (dial->socket, frames);
  struct msg *msg;

  if (count == 0)
    return false;
  msg = peer_decode (frames, count, PEER_FRAMES - 1);
  if (msg != NULL)
    {
      peer_link_receive (&dial->link, peer_is_answer (msg), now);
      if (peer_ends_stream (msg))
        peer_link_remove_stream (&dial->link, msg->stream);
      msg->endpoint.kind = MSG_ENDPOINT_DIAL;
      snprintf (msg->endpoint.u.address, sizeof msg->endpoint.u.address, "%s",
                dial->address);
      peer_deliver (peer, msg, now);
    }
  for (int i = 0; i < count && i < PEER_FRAMES; i++)
    zmq_msg_close (&frames[i]);
  return true;
}

static void
peer_send_ping (struct peer *peer, const struct msg_endpoint *endpoint,
                struct peer_link *link, clk_us now)
{
  struct msg *msg = msg_new (MSG_PING);

  link->last_ping = now;
  msg->endpoint = *endpoint;
  peer_send (peer, msg, now);
  msg_free (msg);
}

/* Ends a lost connection; the next message to its node opens a new one.  That
   to a control replica keeps its record, which counts the losses.  */
static void
peer_lose_dial (struct peer *peer, struct peer_dial *dial, clk_us now)
{
  struct msg_endpoint endpoint = { .kind = MSG_ENDPOINT_DIAL };

  snprintf (endpoint.u.address, sizeof endpoint.u.address, "%s",
            dial->address);
  /* One line and count for each outage.  */
  if (dial->link.losses == 0)
    {
      clk_us silence = peer_link_silence (&dial->link, now);

      counter_add (COUNTER_PEER_SILENT, 1);
      slog (SLOG_WARNING,
            "peer timed out, connection replaced peer=%s state=%s "
            "silent_ms=%llu",
            dial->address, peer_dial_state (dial),
            (unsigned long long)(silence / CLK_US_PER_MS));
    }
  if (dial->has_control_traffic)
    {
      peer_close_socket (dial);
      peer_link_lose (&dial->link, now);
    }
  else
    peer_close_dial (peer, dial);
  peer_report_lost (peer, &endpoint);
}

/* Pings silent connections that have open streams or a due answer, and ends
   those that are lost.  */
static void
peer_check_dials (struct peer *peer, clk_us now)
{
  bool suspended = now - peer->last_check > PEER_SUSPENDED_MIN_US;

  peer->last_check = now;
  list_each (node, &peer->dials)
    {
      struct peer_dial *dial = list_entry (node, struct peer_dial, node);
      struct msg_endpoint endpoint = { .kind = MSG_ENDPOINT_DIAL };

      if (suspended)
        peer_link_resume (&dial->link, now);
      snprintf (endpoint.u.address, sizeof endpoint.u.address, "%s",
                dial->address);
      switch (peer_link_check (&dial->link, now))
        {
        case PEER_LINK_IDLE:
          break;
        case PEER_LINK_PING:
          peer_send_ping (peer, &endpoint, &dial->link, now);
          break;
        case PEER_LINK_LOST:
          peer_lose_dial (peer, dial, now);
          break;
        }
    }
}

static void
peer_check_inbound (struct peer *peer, clk_us now)
{
  list_each (node, &peer->inbound)
    {
      struct peer_inbound *inbound
          = list_entry (node, struct peer_inbound, node);

      if (peer_link_check (&inbound->link, now) != PEER_LINK_LOST)
        continue;
      peer_report_lost (peer, &inbound->endpoint);
      peer_drop_inbound (peer, inbound);
    }
}

/* Reads the events of a connection and logs its changes.  A failed attempt to
   connect is reported as an end, too.  */
static void
peer_read_monitor (struct peer_dial *dial)
{
  enum peer_monitor_event event;

  while ((event = peer_monitor_next (dial->monitor)) != PEER_MONITOR_NONE)
    {
      bool connected = event == PEER_MONITOR_ESTABLISHED;

      if (connected == dial->link.connected)
        continue;
      dial->link.connected = connected;
      slog (SLOG_INFO, "peer connection changed peer=%s state=%s",
            dial->address, peer_dial_state (dial));
    }
}

/* Allocates COUNT poll items.  More than PEER_DIALS_MAX connections are open
   when all have streams; a connection that is not polled would delay its
   answers to the end of the poll timeout.  */
static void
peer_reserve_poll_items (struct peer *peer, uint32_t count)
{
  if (count <= peer->poll_item_capacity)
    return;
  peer->poll_item_capacity = 2 * count;
  peer->poll_items = realloc (
      peer->poll_items, peer->poll_item_capacity * sizeof *peer->poll_items);
  INVARIANT (peer->poll_items != NULL);
}

/* Waits for the sockets and the inbox.  */
static void
peer_poll (struct peer *peer)
{
  int count = 0;

  peer_reserve_poll_items (peer, 2 + 2 * peer->dial_count);
  peer->poll_items[count++]
      = (zmq_pollitem_t){ .fd = inbox_fd (peer->inbox), .events = ZMQ_POLLIN };
  peer->poll_items[count++]
      = (zmq_pollitem_t){ .socket = peer->router, .events = ZMQ_POLLIN };
  list_each (node, &peer->dials)
    {
      const struct peer_dial *dial = list_entry (node, struct peer_dial, node);

      if (dial->socket == NULL)
        continue;
      peer->poll_items[count++]
          = (zmq_pollitem_t){ .socket = dial->socket, .events = ZMQ_POLLIN };
      if (dial->monitor != NULL)
        peer->poll_items[count++] = (zmq_pollitem_t){ .socket = dial->monitor,
                                                      .events = ZMQ_POLLIN };
    }
  zmq_poll (peer->poll_items, count, PEER_POLL_TIMEOUT_MS);
}

static void
peer_run_once (struct peer *peer)
{
  clk_us now;

  peer_poll (peer);
  peer_handle_inbox (peer);
  now = clk_now ();
  for (int i = 0; i < PEER_READ_BATCH_MAX && peer_read_router (peer, now); i++)
    continue;
  list_each (node, &peer->dials)
    {
      struct peer_dial *dial = list_entry (node, struct peer_dial, node);

      if (dial->socket == NULL)
        continue;
      peer_read_monitor (dial);
      for (int i = 0;
           i < PEER_READ_BATCH_MAX && peer_read_dial (peer, dial, now); i++)
        continue;
    }
  peer_check_dials (peer, now);
  peer_check_inbound (peer, now);
}

static void *
peer_main (void *arg)
{
  struct peer *peer = arg;

  while (!peer->stopping)
    peer_run_once (peer);
  return NULL;
}

int
peer_start (struct peer *peer)
{
  return pthread_create (&peer->thread, NULL, peer_main, peer) == 0 ? SR_OK
                                                                    : SR_EIO;
}

void
peer_join (struct peer *peer)
{
  struct list_node *node;

  pthread_join (peer->thread, NULL);
  while ((node = list_first (&peer->dials)) != NULL)
    peer_close_dial (peer, list_entry (node, struct peer_dial, node));
  while ((node = list_first (&peer->inbound)) != NULL)
    peer_drop_inbound (peer, list_entry (node, struct peer_inbound, node));
  zmq_close (peer->router);
  zmq_ctx_term (peer->context);
  inbox_free (peer->inbox);
  free (peer->poll_items);
  free (peer);
}
