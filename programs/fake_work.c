#include "programs/fake_work.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/fake_journal.h"
#include "programs/fake_server.h"

#define FAKE_WORK_CRASH_EXIT_STATUS 70
#define FAKE_WORK_STATUS_OK 200
#define FAKE_WORK_STATUS_CHILD_FAILED 502
#define FAKE_WORK_STATUS_REFUSED 503
#define FAKE_WORK_STATUS_TIMEOUT 504

static void fake_work_start_next (struct fake_state *fake);

static bool
fake_work_has_prefix (const char *path, const char *prefix)
{
  return prefix != NULL && strncmp (path, prefix, strlen (prefix)) == 0;
}

/* Chooses the action that the settings name for PATH, or a refusal.  */
static struct fake_action
fake_work_choose_action (struct fake_state *fake, const char *path)
{
  const struct fake_options *options = &fake->options;
  struct fake_action act = { .kind = FAKE_ACTION_ANSWER };

  if (fake_work_has_prefix (path, options->refuse_path)
      && rng_below (&fake->rng, 100) < options->refuse_percent)
    {
      act.kind = FAKE_ACTION_REFUSE;
      return act;
    }
  if (fake_work_has_prefix (path, options->crash_path))
    act.kind = FAKE_ACTION_CRASH;
  else if (fake_work_has_prefix (path, options->truncate_path))
    act.kind = FAKE_ACTION_TRUNCATE;
  else if (fake_work_has_prefix (path, options->corrupt_path))
    act.kind = FAKE_ACTION_CORRUPT;
  else if (fake_work_has_prefix (path, options->silent_path))
    act.kind = FAKE_ACTION_SILENT;
  else if (fake_work_has_prefix (path, options->late_path))
    {
      act.kind = FAKE_ACTION_LATE;
      act.u.delay_us = clk_ms (options->late_ms);
    }
  return act;
}

/* Draws the service time of a request in microseconds, with jitter and the
   factors of the settings.  */
static uint64_t
fake_work_service_us (struct fake_request *request)
{
  struct fake_state *fake = request->fake;
  const struct fake_options *options = &fake->options;
  double jitter = (2 * rng_uniform (&fake->rng) - 1)
                  * (double)options->jitter_percent / 100;
  double service_us = (double)options->service_us * (1 + jitter);

  if (fake_work_has_prefix (request->echo.path, options->long_path))
    service_us *= (double)options->long_factor;
  if (fake->slow)
    service_us *= (double)options->slow_factor;
  if (request->action.kind == FAKE_ACTION_LATE)
    service_us += (double)request->action.u.delay_us;
  return (uint64_t)service_us;
}

/* Time until the end of the stall, or 0 outside of it.  */
static clk_us
fake_work_stall_remaining (const struct fake_state *fake)
{
  clk_us now = clk_now () - fake->started;
  clk_us from = clk_ms (fake->options.stall_from_ms);
  clk_us end = from + clk_ms (fake->options.stall_for_ms);

  return now >= from && now < end ? end - now : 0;
}

/* Cancels the timers and the child call of a request, releases its slot and
   starts queued requests.  */
static void
fake_work_release (struct fake_request *request)
{
  struct fake_state *fake = request->fake;

  lws_sul_cancel (&request->work_timer);
  lws_sul_cancel (&request->deadline_timer);
  list_remove (&request->node);
  if (request->child != NULL)
    tool_client_cancel (request->child);
  request->child = NULL;
  if (request->phase == FAKE_RUNNING || request->phase == FAKE_CALLING)
    fake->slots_in_use--;
  request->phase = FAKE_ANSWERING;
  fake_work_start_next (fake);
}

/* Length of the fill of an answer; requests with a long service time have
   larger answers.  */
static size_t
fake_work_fill_bytes (const struct fake_request *request)
{
  const struct fake_options *options = &request->fake->options;
  size_t fallback = options->answer_bytes;

  if (fake_work_has_prefix (request->echo.path, options->long_path))
    fallback *= options->long_factor;
  return tool_answer_path_bytes (request->echo.path, fallback);
}

static void
fake_work_answer (struct fake_request *request, const struct tool_buf *child)
{
  fake_work_release (request);
  request->status = FAKE_WORK_STATUS_OK;
  tool_answer_build (&request->answer, &request->echo,
                     fake_work_fill_bytes (request), child);
  if (request->action.kind == FAKE_ACTION_TRUNCATE)
    request->action.u.truncate_at = request->answer.len / 2;
  if (request->action.kind == FAKE_ACTION_CORRUPT)
    request->answer.data[request->answer.len / 2] ^= 1;
  fake_server_send_answer (request);
}

static void
fake_work_fail (struct fake_request *request, int status, const char *text)
{
  fake_work_release (request);
  request->status = status;
  tool_buf_addf (&request->answer, "%s\n", text);
  fake_server_send_answer (request);
}

/* Handles the end of the child call, whose answer is embedded in that of the
   request.  */
static void
fake_work_on_child_result (void *arg, const struct tool_client_result *result)
{
  struct fake_request *request = arg;
  char text[TOOL_CLIENT_VALUE_BYTES + 64];

  request->child = NULL;
  if (result->outcome == TOOL_CLIENT_COMPLETE
      && result->answer.status == FAKE_WORK_STATUS_OK)
    {
      fake_work_answer (request, result->answer.body);
      return;
    }
  snprintf (text, sizeof text, "child failed outcome=%d status=%d %s",
            (int)result->outcome, result->answer.status,
            result->answer.proxy_status);
  slog (SLOG_NOTICE, "%s path=%s", text, request->echo.path);
  fake_work_fail (request, FAKE_WORK_STATUS_CHILD_FAILED, text);
}

/* Adds a header with a value that is not empty.  */
static void
fake_work_add_header (struct tool_client_request *child, const char *name,
                      const char *value)
{
  if (value[0] == '\0')
    return;
  child->headers[child->header_count].name = name;
  child->headers[child->header_count].value = value;
  child->header_count++;
}

static void
fake_work_call_child (struct fake_request *request)
{
  const struct fake_options *options = &request->fake->options;
  struct tool_client_request child = { .address = options->call_address,
                                       .method = request->method,
                                       .path = request->echo.path,
                                       .host = options->call_host,
                                       .body = request->body.data,
                                       .body_len = request->body.len };

  fake_work_add_header (&child, "traceparent:", request->traceparent);
  fake_work_add_header (&child, "tracestate:", request->tracestate);
  fake_work_add_header (&child, "idempotency-key:", request->echo.key);
  fake_work_add_header (&child, "x-caller-id:", request->echo.caller);
  fake_work_add_header (&child, options->id_field_name, request->request_id);
  request->phase = FAKE_CALLING;
  request->child = tool_client_send (&request->fake->client, &child,
                                     fake_work_on_child_result, request);
}

/* Handles the end of the service time: waits for the end of a stall, then
   makes the child call or answers.  */
static void
fake_work_on_service_end (lws_sorted_usec_list_t *sul)
{
  struct fake_request *request
      = lws_container_of (sul, struct fake_request, work_timer);
  clk_us stall = fake_work_stall_remaining (request->fake);

  if (stall > 0)
    lws_sul_schedule (request->fake->context, 0, sul, fake_work_on_service_end,
                      (lws_usec_t)stall);
  else if (request->fake->options.call != NULL)
    fake_work_call_child (request);
  else
    fake_work_answer (request, NULL);
}

/* Handles the end of x-request-timeout-ms: the caller no longer waits for the
   answer, so the request is not run any further.  */
static void
fake_work_on_deadline (lws_sorted_usec_list_t *sul)
{
  struct fake_request *request
      = lws_container_of (sul, struct fake_request, deadline_timer);

  fake_work_fail (request, FAKE_WORK_STATUS_TIMEOUT, "deadline passed");
}

static void
fake_work_start (struct fake_request *request)
{
  uint64_t service_us = fake_work_service_us (request);

  request->phase = FAKE_RUNNING;
  request->fake->slots_in_use++;
  if (service_us > 0)
    lws_sul_schedule (request->fake->context, 0, &request->work_timer,
                      fake_work_on_service_end, (lws_usec_t)service_us);
  else
    fake_work_on_service_end (&request->work_timer);
}

/* Starts queued requests while slots are free.  */
static void
fake_work_start_next (struct fake_state *fake)
{
  while (fake->slots_in_use < fake->options.slots
         && !list_empty (&fake->queue))
    fake_work_start (
        list_entry (list_pop_head (&fake->queue), struct fake_request, node));
}

static void
fake_work_enqueue (struct fake_request *request)
{
  struct fake_state *fake = request->fake;

  fake->open_requests++;
  request->phase = FAKE_QUEUED;
  list_push_tail (&fake->queue, &request->node);
  if (request->timeout_ms > 0)
    lws_sul_schedule (fake->context, 0, &request->deadline_timer,
                      fake_work_on_deadline,
                      (lws_usec_t)clk_ms (request->timeout_ms));
  fake_work_start_next (fake);
}

void
fake_work_on_request (struct fake_request *request)
{
  request->echo.body_hash
      = tool_answer_hash (request->body.data, request->body.len);
  request->action
      = fake_work_choose_action (request->fake, request->echo.path);
  fake_journal_write_event (request, request->action.kind == FAKE_ACTION_REFUSE
                                         ? "refuse"
                                         : "start");
  switch (request->action.kind)
    {
    case FAKE_ACTION_CRASH:
      _exit (FAKE_WORK_CRASH_EXIT_STATUS);
    case FAKE_ACTION_SILENT:
      request->phase = FAKE_SILENT;
      break;
    case FAKE_ACTION_REFUSE:
      request->fake->open_requests++;
      request->phase = FAKE_ANSWERING;
      request->status = FAKE_WORK_STATUS_REFUSED;
      tool_buf_addf (&request->answer, "refused\n");
      fake_server_send_answer (request);
      break;
    case FAKE_ACTION_ANSWER:
    case FAKE_ACTION_TRUNCATE:
    case FAKE_ACTION_CORRUPT:
    case FAKE_ACTION_LATE:
      fake_work_enqueue (request);
      break;
    }
}

void
fake_work_on_request_end (struct fake_request *request)
{
  bool complete = request->phase == FAKE_ANSWERING
                  && request->sent_bytes == request->answer.len
                  && request->head_sent;

  if (request->phase == FAKE_READING)
    return;
  fake_journal_write_event (request, complete ? "end" : "cancelled");
  if (request->phase == FAKE_SILENT)
    return;
  request->fake->open_requests--;
  if (request->fake->open_requests == 0 && request->fake->leaving)
    lws_cancel_service (request->fake->context);
  if (request->phase != FAKE_ANSWERING)
    fake_work_release (request);
}
