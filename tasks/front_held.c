#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"

/* What this task holds for its clients: connections of callers and operators
   with their requests and answers, and the requests that other nodes sent to
   this one.  Buffers count with their capacity.  */

/* A connection with the memory of libwebsockets for its header fields.  */
#define FRONT_HELD_CONN_BYTES (FRONT_HEADER_BYTES + 4096u)
/* Part of the descriptors that clients may use.  */
#define FRONT_HELD_DESCRIPTORS_PERCENT 75u
/* Fewer bytes at a time are no progress, or a byte now and then would hold a
   long body for good.  */
#define FRONT_HELD_PROGRESS_BYTES 4096u

/* Returns what a connection without a request counts for, so that connections
   alone reach the limit before they use up the descriptors.  */
static uint64_t
front_held_conn_bytes (uint64_t bytes_max)
{
  struct rlimit limit;
  uint64_t share;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < 100)
    return FRONT_HELD_CONN_BYTES;
  share = bytes_max / (limit.rlim_cur / 100 * FRONT_HELD_DESCRIPTORS_PERCENT);
  return share > FRONT_HELD_CONN_BYTES ? share : FRONT_HELD_CONN_BYTES;
}

void
front_held_init (struct front *front)
{
  struct held_opts opts
      = held_opts_for (held_memory_bytes (front->opts.memory_bytes));

  front->conn_bytes = front_held_conn_bytes (opts.bytes_max);
  opts.small_bytes += front->conn_bytes;
  held_init (&front->held, &opts);
  list_init (&front->closing_conns);
}

static uint64_t
front_held_fields_bytes (const struct list *fields)
{
  uint64_t bytes = 0;

  list_each (node, fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      bytes += sizeof *field + strlen (field->name) + strlen (field->value);
    }
  return bytes;
}

static uint64_t
front_held_call_bytes (const struct front_call *call)
{
  uint64_t bytes = sizeof *call + front_held_fields_bytes (&call->fields)
                   + front_held_fields_bytes (&call->answer.fields)
                   + call->body.capacity + call->answer.body.capacity;

  list_each (node, &call->attempts)
    bytes += sizeof (struct front_attempt);
  return bytes;
}

/* Whether a server may be running the request or is to get it next.  */
static bool
front_held_call_is_at_work (const struct front_call *call)
{
  switch (call->phase)
    {
    case FRONT_CALL_RUNNING:
      return true;
    case FRONT_CALL_ANSWERING:
      return !list_empty (&call->attempts);
    case FRONT_CALL_RECEIVING:
    case FRONT_CALL_ENDED:
      break;
    }
  return false;
}

/* The control task gets a copy of the body.  */
static uint64_t
front_held_admin_bytes (const struct front_admin_request *request)
{
  return sizeof *request + request->body.capacity
         + (request->id != 0 ? request->body.len : 0) + request->len;
}

static bool
front_held_admin_is_at_work (const struct front_admin_request *request)
{
  return request->id != 0 && request->text == NULL;
}

void
front_held_update_conn (struct front_conn *conn)
{
  uint64_t bytes = conn->front->conn_bytes;
  enum held_state state = HELD_WAITING;

  if (!list_is_linked (&conn->held.item.node))
    return;
  if (conn->call != NULL)
    {
      bytes += front_held_call_bytes (conn->call);
      if (front_held_call_is_at_work (conn->call))
        state = HELD_AT_WORK;
    }
  if (conn->admin_request != NULL)
    {
      bytes += front_held_admin_bytes (conn->admin_request);
      if (front_held_admin_is_at_work (conn->admin_request))
        state = HELD_AT_WORK;
    }
  held_set (&conn->front->held, &conn->held.item, bytes, state, clk_now ());
}

void
front_held_update_serve (struct front_serve *serve)
{
  uint64_t bytes = sizeof *serve + strlen (serve->path)
                   + front_held_fields_bytes (&serve->fields)
                   + front_held_fields_bytes (&serve->record_fields)
                   + serve->body.capacity + serve->answer.capacity
                   + serve->record_body.capacity;

  held_set (&serve->front->held, &serve->held.item, bytes,
            serve->chain_started ? HELD_AT_WORK : HELD_WAITING, clk_now ());
}

static void
front_held_start_progress (struct front *front, struct front_held *held)
{
  held->moved_bytes = 0;
  held_record_progress (&front->held, &held->item, clk_now ());
}

void
front_held_record_bytes (struct front *front, struct front_held *held,
                         size_t len)
{
  held->moved_bytes += len;
  if (held->moved_bytes >= FRONT_HELD_PROGRESS_BYTES)
    front_held_start_progress (front, held);
}

void
front_held_begin_request (struct front_conn *conn)
{
  front_held_start_progress (conn->front, &conn->held);
}

/* Closes a connection after the events that libwebsockets is handling.  */
static void
front_held_close_conn (struct front_conn *conn)
{
  struct front *front = conn->front;

  held_remove (&front->held, &conn->held.item);
  conn->closing = true;
  list_push_tail (&front->closing_conns, &conn->closing_node);
  if (conn->admin_request != NULL)
    buf_free (&conn->admin_request->body);
}

/* Refuses a request that waits for its body, or closes the connection.  */
static void
front_held_drop_conn (struct front_conn *conn)
{
  struct front_call *call = conn->call;

  if (call != NULL && call->phase == FRONT_CALL_RECEIVING)
    {
      front_call_refuse (call, REASON_MEMORY_SHORT, REASON_NOT_RUN);
      /* Time to read the refusal.  */
      front_held_start_progress (conn->front, &conn->held);
    }
  else
    front_held_close_conn (conn);
}

static void
front_held_log_drop (const struct front *front, const char *kind,
                     uint64_t bytes, bool stopped)
{
  counter_add (COUNTER_CONNECTIONS_GAVE_WAY, 1);
  slog (SLOG_WARNING,
        "client dropped kind=%s bytes=%llu stopped=%d held_kb=%llu "
        "held_kb_max=%llu",
        kind, (unsigned long long)bytes, (int)stopped,
        (unsigned long long)(front->held.bytes / 1024),
        (unsigned long long)(front->held.opts.bytes_max / 1024));
}

static void
front_held_drop (struct front *front, struct front_held *held, clk_us now)
{
  bool stopped
      = now >= held->item.progress_at + front->held.opts.stopped_after;
  const char *kind = held->kind == FRONT_HELD_CONN ? "connection" : "request";

  front_held_log_drop (front, kind, held->item.bytes, stopped);
  switch (held->kind)
    {
    case FRONT_HELD_CONN:
      front_held_drop_conn (list_entry (held, struct front_conn, held));
      break;
    case FRONT_HELD_SERVE:
      front_serve_refuse (list_entry (held, struct front_serve, held),
                          REASON_MEMORY_SHORT, REASON_NOT_RUN);
      break;
    }
}

bool
front_held_make_room (struct front *front, struct front_held *held)
{
  clk_us now = clk_now ();
  struct held_item *victim;

  while ((victim = held_find_victim (&front->held, &held->item, now)) != NULL)
    {
      bool own = victim == &held->item;

      front_held_drop (front, list_entry (victim, struct front_held, item),
                       now);
      if (own)
        return false;
    }
  return true;
}

/* Whether there is room for one more connection; others may give way.  */
static bool
front_held_admit_conn (struct front *front)
{
  clk_us now = clk_now ();

  while (front->held.bytes + front->conn_bytes > front->held.opts.bytes_max)
    {
      struct held_item *victim = held_find_stopped (&front->held, now);

      if (victim == NULL)
        {
          front_held_log_drop (front, "connection", 0, false);
          return false;
        }
      front_held_drop (front, list_entry (victim, struct front_held, item),
                       now);
    }
  return true;
}

void
front_held_close_dropped (struct front *front)
{
  struct list_node *node;

  while ((node = list_pop_head (&front->closing_conns)) != NULL)
    {
      struct front_conn *conn
          = list_entry (node, struct front_conn, closing_node);
      struct lws *wsi = conn->wsi;
      bool freed = false;

      /* The first close can wait for that of the client.  */
      conn->freed = &freed;
      lws_set_timeout (wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
      if (!freed)
        lws_set_timeout (wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
      if (!freed)
        conn->freed = NULL;
    }
}

static void
front_held_open_conn (struct front *front, struct lws *wsi)
{
  struct front_conn *conn = calloc (1, sizeof *conn);

  INVARIANT (conn != NULL);
  conn->front = front;
  conn->wsi = wsi;
  conn->held.kind = FRONT_HELD_CONN;
  lws_set_opaque_user_data (wsi, conn);
  held_add (&front->held, &conn->held.item, clk_now ());
  front_held_update_conn (conn);
}

static void
front_held_free_conn (struct front *front, struct front_conn *conn)
{
  held_remove (&front->held, &conn->held.item);
  list_remove (&conn->closing_node);
  if (conn->freed != NULL)
    *conn->freed = true;
  free (conn);
}

/* Creates or frees the record of the connection of WSI; returns it, or NULL
   when there is none.  */
static struct front_conn *
front_held_track_conn (struct front *front, struct lws *wsi,
                       enum lws_callback_reasons reason)
{
  struct front_conn *conn;

  if (wsi == NULL)
    return NULL;
  conn = lws_get_opaque_user_data (wsi);
  if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED && conn == NULL)
    front_held_open_conn (front, wsi);
  if (reason != LWS_CALLBACK_WSI_DESTROY || conn == NULL)
    return lws_get_opaque_user_data (wsi);
  lws_set_opaque_user_data (wsi, NULL);
  front_held_free_conn (front, conn);
  return NULL;
}

struct front_conn *
front_held_begin_event (struct lws *wsi, enum lws_callback_reasons reason,
                        const void *user, int *result)
{
  struct front *front = lws_context_user (lws_get_context (wsi));
  struct front_conn *conn = front_held_track_conn (front, wsi, reason);

  *result = 0;
  if (reason == LWS_CALLBACK_FILTER_NETWORK_CONNECTION)
    {
      *result = front_held_admit_conn (front) ? 0 : -1;
      return NULL;
    }
  /* A connection that ends before its first request has no user data.  */
  if (user == NULL || conn == NULL)
    {
      *result = reason == LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION ? -1 : 0;
      return NULL;
    }
  if (conn->closing && reason != LWS_CALLBACK_CLOSED_HTTP
      && reason != LWS_CALLBACK_HTTP_DROP_PROTOCOL)
    {
      *result = -1;
      return NULL;
    }
  return conn;
}
