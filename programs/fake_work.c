#include "programs/fake_work.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/fake_journal.h"
#include "programs/fake_server.h"

#define FWK_CRASH_STATUS 70
#define FWK_STATUS_OK 200
#define FWK_STATUS_CHILD_FAILED 502
#define FWK_STATUS_TIMEOUT 504

static void fwk_start_next (struct fake *fake);

static bool
fwk_has_prefix (const char *path, const char *prefix)
{
  return prefix != NULL && strncmp (path, prefix, strlen (prefix)) == 0;
}

/* What the settings want done with PATH.  */
static struct fake_act
fwk_choose (const struct fake_options *options, const char *path)
{
  struct fake_act act = { .kind = FAKE_ACT_ANSWER };

  if (fwk_has_prefix (path, options->crash_path))
    act.kind = FAKE_ACT_CRASH;
  else if (fwk_has_prefix (path, options->truncate_path))
    act.kind = FAKE_ACT_TRUNCATE;
  else if (fwk_has_prefix (path, options->corrupt_path))
    act.kind = FAKE_ACT_CORRUPT;
  else if (fwk_has_prefix (path, options->silent_path))
    act.kind = FAKE_ACT_SILENT;
  else if (fwk_has_prefix (path, options->late_path))
    {
      act.kind = FAKE_ACT_LATE;
      act.u.late_us = clk_ms (options->late_ms);
    }
  return act;
}

/* Service time of a request, with jitter and the present speed.  */
static uint64_t
fwk_work_us (struct fake_request *request)
{
  struct fake *fake = request->fake;
  const struct fake_options *options = &fake->options;
  double share = (2 * rng_unit (&fake->rng) - 1)
                 * (double)options->jitter_percent / 100;
  double work = (double)options->service_us * (1 + share);

  if (fwk_has_prefix (request->facts.path, options->long_path))
    work *= (double)options->long_factor;
  if (fake->slow)
    work *= (double)options->slow_factor;
  if (request->act.kind == FAKE_ACT_LATE)
    work += (double)request->act.u.late_us;
  return (uint64_t)work;
}

/* Time until the stall of the settings ends, or 0 outside of it.  */
static clk_us
fwk_stall_left (const struct fake *fake)
{
  clk_us now = clk_now () - fake->started;
  clk_us from = clk_ms (fake->options.stall_from_ms);
  clk_us end = from + clk_ms (fake->options.stall_for_ms);

  return now >= from && now < end ? end - now : 0;
}

/* Stops all that runs for a request and gives its slot back.  */
static void
fwk_stop (struct fake_request *request)
{
  struct fake *fake = request->fake;

  lws_sul_cancel (&request->work_timer);
  lws_sul_cancel (&request->deadline_timer);
  lst_remove (&request->node);
  if (request->child != NULL)
    tcl_cancel (request->child);
  request->child = NULL;
  if (request->phase == FAKE_RUNNING || request->phase == FAKE_CALLING)
    fake->busy--;
  request->phase = FAKE_ANSWERING;
  fwk_start_next (fake);
}

/* Length of the fill of an answer; long work has larger answers.  */
static size_t
fwk_fill_bytes (const struct fake_request *request)
{
  const struct fake_options *options = &request->fake->options;
  size_t fallback = options->answer_bytes;

  if (fwk_has_prefix (request->facts.path, options->long_path))
    fallback *= options->long_factor;
  return tan_path_bytes (request->facts.path, fallback);
}

static void
fwk_answer (struct fake_request *request, const struct tbf *child)
{
  fwk_stop (request);
  request->status = FWK_STATUS_OK;
  tan_build (&request->answer, &request->facts, fwk_fill_bytes (request),
             child);
  if (request->act.kind == FAKE_ACT_TRUNCATE)
    request->act.u.cut_at = request->answer.len / 2;
  if (request->act.kind == FAKE_ACT_CORRUPT)
    request->answer.data[request->answer.len / 2] ^= 1;
  fsv_answer (request);
}

static void
fwk_fail (struct fake_request *request, int status, const char *text)
{
  fwk_stop (request);
  request->status = status;
  tbf_addf (&request->answer, "%s\n", text);
  fsv_answer (request);
}

/* Answer of the child call; it becomes a part of the own answer.  */
static void
fwk_on_child (void *arg, const struct tcl_result *result)
{
  struct fake_request *request = arg;
  char text[TCL_VALUE_BYTES + 64];

  request->child = NULL;
  if (result->outcome == TCL_WHOLE && result->answer.status == FWK_STATUS_OK)
    {
      fwk_answer (request, result->answer.body);
      return;
    }
  snprintf (text, sizeof text, "child failed outcome=%d status=%d %s",
            (int)result->outcome, result->answer.status,
            result->answer.proxy_status);
  slog (SLOG_NOTICE, "%s path=%s", text, request->facts.path);
  fwk_fail (request, FWK_STATUS_CHILD_FAILED, text);
}

/* Adds a header when it has a value.  */
static void
fwk_copy_header (struct tcl_request *child, const char *name,
                 const char *value)
{
  if (value[0] == '\0')
    return;
  child->headers[child->header_count].name = name;
  child->headers[child->header_count].value = value;
  child->header_count++;
}

static void
fwk_call_child (struct fake_request *request)
{
  const struct fake_options *options = &request->fake->options;
  struct tcl_request child = { .to = options->call_to,
                               .method = request->method,
                               .path = request->facts.path,
                               .host = options->call_host,
                               .body = request->body.data,
                               .body_len = request->body.len };

  fwk_copy_header (&child, "traceparent:", request->trace);
  fwk_copy_header (&child, "tracestate:", request->state);
  fwk_copy_header (&child, "idempotency-key:", request->facts.key);
  fwk_copy_header (&child, "x-caller-id:", request->facts.caller);
  fwk_copy_header (&child, options->id_name, request->id);
  request->phase = FAKE_CALLING;
  request->child
      = tcl_send (&request->fake->client, &child, fwk_on_child, request);
}

/* The service time is over.  */
static void
fwk_on_worked (lws_sorted_usec_list_t *sul)
{
  struct fake_request *request
      = lws_container_of (sul, struct fake_request, work_timer);
  clk_us stall = fwk_stall_left (request->fake);

  if (stall > 0)
    lws_sul_schedule (request->fake->context, 0, sul, fwk_on_worked,
                      (lws_usec_t)stall);
  else if (request->fake->options.call != NULL)
    fwk_call_child (request);
  else
    fwk_answer (request, NULL);
}

/* The caller has stopped waiting, so the work would be of no use.  */
static void
fwk_on_deadline (lws_sorted_usec_list_t *sul)
{
  struct fake_request *request
      = lws_container_of (sul, struct fake_request, deadline_timer);

  fwk_fail (request, FWK_STATUS_TIMEOUT, "deadline passed");
}

static void
fwk_run (struct fake_request *request)
{
  uint64_t work = fwk_work_us (request);

  request->phase = FAKE_RUNNING;
  request->fake->busy++;
  if (work > 0)
    lws_sul_schedule (request->fake->context, 0, &request->work_timer,
                      fwk_on_worked, (lws_usec_t)work);
  else
    fwk_on_worked (&request->work_timer);
}

/* Starts queued requests while slots are free.  */
static void
fwk_start_next (struct fake *fake)
{
  while (fake->busy < fake->options.slots && !lst_empty (&fake->queue))
    fwk_run (
        lst_entry (lst_pop_head (&fake->queue), struct fake_request, node));
}

static void
fwk_enqueue (struct fake_request *request)
{
  struct fake *fake = request->fake;

  fake->open++;
  request->phase = FAKE_QUEUED;
  lst_push_tail (&fake->queue, &request->node);
  if (request->timeout_ms > 0)
    lws_sul_schedule (fake->context, 0, &request->deadline_timer,
                      fwk_on_deadline,
                      (lws_usec_t)clk_ms (request->timeout_ms));
  fwk_start_next (fake);
}

void
fwk_arrived (struct fake_request *request)
{
  request->facts.body_hash = tan_hash (request->body.data, request->body.len);
  request->act = fwk_choose (&request->fake->options, request->facts.path);
  fjn_write (request, "start");
  switch (request->act.kind)
    {
    case FAKE_ACT_CRASH:
      _exit (FWK_CRASH_STATUS);
    case FAKE_ACT_SILENT:
      request->phase = FAKE_SILENT;
      break;
    case FAKE_ACT_ANSWER:
    case FAKE_ACT_TRUNCATE:
    case FAKE_ACT_CORRUPT:
    case FAKE_ACT_LATE:
      fwk_enqueue (request);
      break;
    }
}

void
fwk_ended (struct fake_request *request)
{
  bool whole = request->phase == FAKE_ANSWERING
               && request->sent == request->answer.len && request->head_sent;

  if (request->phase == FAKE_READING)
    return;
  fjn_write (request, whole ? "end" : "cancelled");
  if (request->phase == FAKE_SILENT)
    return;
  request->fake->open--;
  if (request->fake->open == 0 && request->fake->leaving)
    lws_cancel_service (request->fake->context);
  if (request->phase != FAKE_ANSWERING)
    fwk_stop (request);
}
