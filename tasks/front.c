#include "tasks/front.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"

#define FRONT_TICK_US clk_ms (250)
/* Idle timeout of connections from callers and operators.  */
#define FRONT_KEEPALIVE_S 60
/* Maximum time until all other nodes know that this node leaves.  */
#define FRONT_LEAVE_PROPAGATION_US clk_ms (1500)
#define FRONT_DRAIN_LIMIT_DEFAULT_MS 30000
/* More than the connections that are open at a time.  */
#define FRONT_HEADER_POOL 65535
#define FRONT_SERVICE_BUFFER_BYTES (64 * 1024)
/* Long enough that timeouts of libwebsockets never end a request before its
   deadline.  */
#define FRONT_LWS_TIMEOUT_S 3600
#define FRONT_CHAINS_MAX 65536
#define FRONT_CHAIN_RETENTION_US clk_s (60)
#define FRONT_FINGERPRINTS_MAX 4096
#define FRONT_QUARANTINE_DEFAULT_S 300

static const struct lws_protocols front_call_protocols[]
    = { { "http", front_call_lws_callback, sizeof (struct front_call *), 0, 0,
          NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

static const struct lws_protocols front_admin_protocols[]
    = { { "admin", front_admin_lws_callback,
          sizeof (struct front_admin_request *), 0, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

static void front_handle_tick (lws_sorted_usec_list_t *timer);

/* Wakes the libwebsockets event loop from another thread.  */
static void
front_wake (void *arg)
{
  struct front *front = arg;

  lws_cancel_service (front->context);
}

/* Forwards a message of libwebsockets to the log, without its newline.  */
static void
front_lws_log (int level, const char *line)
{
  enum slog_severity severity = level & LLL_ERR ? SLOG_ERR : SLOG_WARNING;

  slog (severity, "libwebsockets: %.*s", (int)strcspn (line, "\n"), line);
}

/* Creates a vhost that listens on ADDRESS, "IP:PORT".  */
static struct lws_vhost *
front_listen (struct front *front, const char *setting, const char *address,
              const struct lws_protocols *protocols)
{
  struct lws_context_creation_info info = { 0 };
  char host[MSG_ADDRESS_BYTES];
  const char *colon = strrchr (address, ':');
  struct lws_vhost *vhost;

  INVARIANT (colon != NULL);
  snprintf (host, sizeof host, "%.*s", (int)(colon - address), address);
  info.port = atoi (colon + 1);
  info.iface = host;
  info.protocols = protocols;
  info.vhost_name = setting;
  info.keepalive_timeout = FRONT_KEEPALIVE_S;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  vhost = lws_create_vhost (front->context, &info);
  if (vhost == NULL)
    slog (SLOG_ERR, "cannot listen setting=%s value=%s", setting, address);
  return vhost;
}

static struct lws_context *
front_new_context (struct front *front)
{
  struct lws_context_creation_info info = { 0 };

  lws_set_log_level (LLL_ERR, front_lws_log);
  info.options
      = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.user = front;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.timeout_secs = FRONT_LWS_TIMEOUT_S;
  info.max_http_header_data2 = FRONT_HEADER_BYTES;
  info.max_http_header_pool2 = FRONT_HEADER_POOL;
  info.pt_serv_buf_size = FRONT_SERVICE_BUFFER_BYTES;
  return lws_create_context (&info);
}

/* Creates the controllers with their limits before the first
   configuration.  */
static void
front_init_state (struct front *front)
{
  struct slots_opts admission = { .slots = 1, .queue_max = 1 };
  struct share_opts caller_shares = { 0 };
  struct quarantine_opts quarantine
      = { .duration = clk_s (FRONT_QUARANTINE_DEFAULT_S),
          .fingerprints_max = FRONT_FINGERPRINTS_MAX };
  struct retry_table_opts chains = { .chains_max = FRONT_CHAINS_MAX,
                                     .retention = FRONT_CHAIN_RETENTION_US };
  uint64_t seed;

  rng_os_bytes ((uint8_t *)&seed, sizeof seed);
  rng_seed (&front->state.rng, seed);
  list_init (&front->state.services);
  front->state.slots = slots_new (&admission);
  front->state.caller_shares = share_new (&caller_shares);
  front->state.suspects.marks = quarantine_new (&quarantine);
  front->state.call_chains = retry_table_new (&chains);
  front->state.hops = hop_table_new ();
  INVARIANT (front->state.caller_shares != NULL);
  INVARIANT (front->state.slots != NULL && front->state.suspects.marks != NULL
             && front->state.call_chains != NULL && front->state.hops != NULL);
}

static void
front_init_lists (struct front *front)
{
  list_init (&front->calls);
  list_init (&front->serves);
  list_init (&front->admin_requests);
  list_init (&front->local_messages);
  list_init (&front->view);
  list_init (&front->backend.idle);
  list_init (&front->backend.busy);
  list_init (&front->backend.probe_waiters);
  for (int i = 0; i < FRONT_HASH_BUCKETS; i++)
    {
      list_init (&front->attempt_buckets[i]);
      list_init (&front->serve_buckets[i]);
    }
}

struct front *
front_new (const struct front_opts *opts)
{
  struct front *front = calloc (1, sizeof *front);
  struct inbox_opts inbox
      = { .wake = INBOX_WAKE_CALLBACK, .callback = front_wake, .arg = front };

  INVARIANT (front != NULL);
  front->opts = *opts;
  front_init_lists (front);
  front_init_state (front);
  front_held_init (front);
  front->next_stream = 1;
  front->next_request_id = 1;
  front->inbox = inbox_new (&inbox);
  front->context = front_new_context (front);
  INVARIANT (front->inbox != NULL && front->context != NULL);
  front->listen_vhost = front_listen (front, "--listen", opts->listen_address,
                                      front_call_protocols);
  front->admin_vhost = front_listen (front, "--admin", opts->admin_address,
                                     front_admin_protocols);
  if (front->listen_vhost != NULL && front->admin_vhost != NULL)
    return front;
  front_free (front);
  return NULL;
}

struct inbox *
front_inbox (struct front *front)
{
  return front->inbox;
}

void
front_attach (struct front *front, struct inbox *peer, struct inbox *control)
{
  front->peer = peer;
  front->control = control;
}

void
front_send (struct front *front, struct msg *msg)
{
  if (msg->endpoint.kind != MSG_ENDPOINT_LOCAL)
    {
      inbox_put (front->peer, msg);
      return;
    }
  /* A timer callback can run inside lws_service() just before it blocks; wake
     it to handle the message.  */
  if (list_empty (&front->local_messages))
    lws_cancel_service (front->context);
  list_push_tail (&front->local_messages, &msg->node);
}

/* Reports the state of the backend server to the control task.  */
void
front_report_backend (struct front *front)
{
  struct msg *msg = msg_new (MSG_BACKEND);
  struct msg_backend *backend = &msg->u.backend;

  if (front->state.draining || front->backend.leaving)
    backend->state = MSG_BACKEND_DRAINING;
  else
    backend->state
        = front->state.backend_up ? MSG_BACKEND_UP : MSG_BACKEND_DOWN;
  snprintf (backend->service, sizeof backend->service, "%s",
            front->backend.service);
  backend->slots = front->backend.slots;
  inbox_put (front->control, msg);
  front_apply_members (front);
}

void
front_drain (struct front *front)
{
  if (front->state.draining)
    return;
  slog (SLOG_NOTICE, "draining: the backend server gets no new requests");
  front->state.draining = true;
  front_report_backend (front);
  front_serve_refuse_waiting (front, REASON_DRAINING);
}

/* Sends the crash marks to the control task.  */
void
front_send_crash_marks (struct front *front)
{
  struct msg *msg = msg_new (MSG_CRASH_MARKS);

  quarantine_export_marks (front->state.suspects.marks, &msg->u.items,
                           MEMBER_CRASH_MARKS_MAX, clk_now ());
  inbox_put (front->control, msg);
}

void
front_configure_admission (struct front *front)
{
  const struct model_service *service = NULL;
  struct slots_opts opts = { .slots = front->backend.slots };
  struct share_opts callers = { 0 };

  if (front->state.model != NULL)
    service = model_find_service (front->state.model, front->backend.service);
  if (service != NULL)
    {
      if (service->slots < opts.slots)
        opts.slots = service->slots;
      opts.queue_max = service->queue_max;
      opts.long_slots_percent = service->long_slots_percent;
    }
  if (opts.slots == 0)
    opts.slots = 1;
  slots_configure (front->state.slots, &opts);
  callers.capacity = opts.slots + opts.queue_max;
  if (front->state.model != NULL)
    callers.percent = front->state.model->caller_share_percent;
  share_configure (front->state.caller_shares, &callers);
}

/* Creates or updates the load balancer and retry budget of a declared
   service.  */
static void
front_configure_service (struct front *front,
                         const struct model_service *declared, clk_us now)
{
  struct filter_service *service
      = filter_find_service (&front->state, declared->name);
  struct lb_opts opts
      = { .max_ejected_percent = declared->max_ejected_percent };

  snprintf (opts.failure_domain, sizeof opts.failure_domain, "%s",
            front->opts.failure_domain);
  if (service == NULL)
    {
      service = calloc (1, sizeof *service);
      INVARIANT (service != NULL);
      snprintf (service->name, sizeof service->name, "%s", declared->name);
      service->servers = lb_new (&opts);
      INVARIANT (service->servers != NULL);
      list_push_tail (&front->state.services, &service->node);
      retry_budget_init (&service->budget,
                         front->state.model->retry_budget_percent, now);
      return;
    }
  lb_configure (service->servers, &opts);
  service->budget.percent = front->state.model->retry_budget_percent;
}

static void
front_handle_model (struct front *front, struct msg_model *model_msg)
{
  struct quarantine_opts quarantine
      = { .fingerprints_max = FRONT_FINGERPRINTS_MAX };
  clk_us now = clk_now ();

  if (model_msg->model == NULL || model_msg->model == front->state.model)
    return;
  model_unref (front->state.model);
  front->state.model = model_ref (model_msg->model);
  counter_add (COUNTER_CONFIG_CHANGES, 1);
  quarantine.duration = clk_s (model_msg->model->quarantine_s);
  quarantine_configure (front->state.suspects.marks, &quarantine);
  list_each (node, &model_msg->model->services)
    front_configure_service (
        front, list_entry (node, struct model_service, node), now);
  front_configure_admission (front);
  front_apply_members (front);
}

/* Adds the backend server of this node to the load balancer of its
   service.  */
static void
front_apply_local_backend (struct front *front, clk_us now)
{
  struct filter_service *service
      = filter_find_service (&front->state, front->backend.service);
  struct lb_server server = { .local = true, .present = true };

  if (service == NULL || !front->state.backend_up)
    return;
  snprintf (server.instance, sizeof server.instance, "%s",
            front->opts.instance);
  snprintf (server.address, sizeof server.address, "%s",
            front->opts.peer_address);
  snprintf (server.failure_domain, sizeof server.failure_domain, "%s",
            front->opts.failure_domain);
  server.draining = front->state.draining;
  server.slots = front->backend.slots;
  lb_update (service->servers, &server, now);
}

static void
front_apply_member (struct front *front, const struct member_record *record,
                    clk_us now)
{
  struct filter_service *service
      = filter_find_service (&front->state, record->service);
  struct lb_server server = { .present = true };

  if (service == NULL || strcmp (record->instance, front->opts.instance) == 0)
    return;
  if (record->state != MEMBER_SERVING && record->state != MEMBER_DRAINING)
    return;
  snprintf (server.instance, sizeof server.instance, "%s", record->instance);
  snprintf (server.address, sizeof server.address, "%s", record->address);
  snprintf (server.failure_domain, sizeof server.failure_domain, "%s",
            record->failure_domain);
  server.incarnation = record->incarnation;
  server.draining = record->state == MEMBER_DRAINING;
  server.slots = record->slots;
  lb_update (service->servers, &server, now);
}

/* Updates the servers of all load balancers from the member list.  */
void
front_apply_members (struct front *front)
{
  clk_us now = clk_now ();

  list_each (node, &front->state.services)
    lb_mark_absent (list_entry (node, struct filter_service, node)->servers);
  front_apply_local_backend (front, now);
  list_each (node, &front->view)
    front_apply_member (
        front, &list_entry (node, struct member_item, node)->record, now);
  list_each (node, &front->state.services)
    lb_remove_absent (list_entry (node, struct filter_service, node)->servers);
}

static void
front_handle_view (struct front *front, struct list *items)
{
  struct list_node *node;

  while ((node = list_pop_head (&front->view)) != NULL)
    free (list_entry (node, struct member_item, node));
  list_splice_tail (&front->view, items);
  front_apply_members (front);
}

static void
front_handle_crash_marks (struct front *front, const struct list *marks)
{
  clk_us now = clk_now ();

  list_each (node, marks)
    quarantine_import_mark (front->state.suspects.marks,
                            list_entry (node, struct quarantine_mark, node),
                            now);
}

/* Dispatches a stream message to the call side or the serve side.  */
static void
front_handle_stream_message (struct front *front, struct msg *msg)
{
  switch (msg->endpoint.kind)
    {
    case MSG_ENDPOINT_DIAL:
      front_attempt_handle_message (front, msg);
      break;
    case MSG_ENDPOINT_REPLY:
      front_serve_handle_message (front, msg);
      break;
    case MSG_ENDPOINT_LOCAL:
      if (msg->endpoint.u.to_serve)
        front_serve_handle_message (front, msg);
      else
        front_attempt_handle_message (front, msg);
      break;
    }
}

static void
front_handle_message (struct front *front, struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
    case MSG_BODY:
    case MSG_CREDIT:
    case MSG_CANCEL:
    case MSG_HEAD:
    case MSG_REFUSE:
      front_handle_stream_message (front, msg);
      break;
    case MSG_PEER_LOST:
      if (msg->endpoint.kind == MSG_ENDPOINT_DIAL)
        front_attempt_handle_peer_lost (front, &msg->endpoint);
      else
        front_serve_handle_peer_lost (front, &msg->endpoint);
      break;
    case MSG_RESULT:
      front_claim_handle_result (front, msg);
      break;
    case MSG_MODEL:
      front_handle_model (front, &msg->u.model);
      break;
    case MSG_VIEW:
      front_handle_view (front, &msg->u.items);
      break;
    case MSG_CRASH_MARKS:
      front_handle_crash_marks (front, &msg->u.items);
      break;
    case MSG_ADMIN_REPLY:
      front_admin_handle_reply (front, msg);
      break;
    case MSG_STOP:
      /* The control task has failed, so the process must exit.  */
      front->exit_status = 1;
      front->stopped = true;
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* Handles all queued messages, including those that this creates.  */
static void
front_handle_messages (struct front *front)
{
  struct list messages;
  struct list_node *node;

  list_init (&messages);
  inbox_drain (front->inbox, &messages);
  while ((node = list_pop_head (&messages)) != NULL
         || (node = list_pop_head (&front->local_messages)) != NULL)
    front_handle_message (front, list_entry (node, struct msg, node));
}

/* Begins a graceful shutdown by draining.  */
static void
front_begin_stop (struct front *front)
{
  uint32_t limit_ms = front->opts.drain_limit_ms;
  clk_us now = clk_now ();

  if (limit_ms == 0 && front->state.model != NULL)
    limit_ms = front->state.model->drain_limit_ms;
  if (limit_ms == 0)
    limit_ms = FRONT_DRAIN_LIMIT_DEFAULT_MS;
  front->stopping = true;
  front->stop_deadline = now + clk_ms (limit_ms);
  front->stop_not_before = now + FRONT_LEAVE_PROPAGATION_US;
  slog (SLOG_NOTICE, "graceful shutdown started limit_ms=%u", limit_ms);
  front_drain (front);
}

/* Ends the event loop once no request is in flight, or at the time limit.  */
static void
front_check_stop (struct front *front, clk_us now)
{
  bool idle = list_empty (&front->calls) && list_empty (&front->serves);

  if (front->stop_requests > 0 && !front->stopping)
    front_begin_stop (front);
  if (front->stop_requests > 1)
    {
      slog (SLOG_WARNING, "stopped immediately by a second signal");
      front->exit_status = 1;
      front->stopped = true;
    }
  if (!front->stopping)
    return;
  if (now >= front->stop_not_before && idle)
    front->stopped = true;
  if (now < front->stop_deadline || front->stopped)
    return;
  slog (SLOG_WARNING, "graceful shutdown reached its limit");
  front->exit_status = 1;
  front->stopped = true;
}

static void
front_handle_tick (lws_sorted_usec_list_t *timer)
{
  struct front *front = lws_container_of (timer, struct front, tick_timer);
  clk_us now = clk_now ();

  front_health_check_announcement (front, now);
  hop_expire (front->state.hops, now);
  quarantine_expire (front->state.suspects.marks, now);
  front_serve_run_admission (front);
  front_check_stop (front, now);
  lws_sul_schedule (front->context, 0, &front->tick_timer, front_handle_tick,
                    (lws_usec_t)FRONT_TICK_US);
}

int
front_run (struct front *front)
{
  front_handle_tick (&front->tick_timer);
  while (!front->stopped)
    {
      front_handle_messages (front);
      front_check_stop (front, clk_now ());
      if (front->stopped)
        break;
      front_held_close_dropped (front);
      if (lws_service (front->context, 0) < 0)
        {
          slog (SLOG_ERR, "HTTP event loop failed");
          front->exit_status = 1;
          break;
        }
    }
  return front->exit_status;
}

void
front_shut_down (struct front *front)
{
  front->stop_requests++;
  lws_cancel_service (front->context);
}

static void
front_free_state (struct front *front)
{
  struct list_node *node;

  while ((node = list_pop_head (&front->state.services)) != NULL)
    {
      struct filter_service *service
          = list_entry (node, struct filter_service, node);

      lb_free (service->servers);
      free (service);
    }
  while ((node = list_pop_head (&front->view)) != NULL)
    free (list_entry (node, struct member_item, node));
  while ((node = list_pop_head (&front->local_messages)) != NULL)
    msg_free (list_entry (node, struct msg, node));
  slots_free (front->state.slots);
  share_free (front->state.caller_shares);
  quarantine_free (front->state.suspects.marks);
  retry_table_free (front->state.call_chains);
  hop_table_free (front->state.hops);
  model_unref (front->state.model);
}

void
front_free (struct front *front)
{
  struct list_node *node;

  /* Requests still in flight end with their connections.  */
  while ((node = list_first (&front->serves)) != NULL)
    front_serve_free (list_entry (node, struct front_serve, node));
  lws_context_destroy (front->context);
  front_backend_free (front);
  front_free_state (front);
  inbox_free (front->inbox);
  free (front);
}
