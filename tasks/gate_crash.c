#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/digest.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* A request that was in flight when its server was lost is a candidate first:
   a connection may also end while the server lives on.  The server is lost
   when it refuses connections, or when another incarnation follows.  */

/* Servers that a request must have been in flight at when they were lost.  */
#define GATE_CRASH_SERVERS_MIN 3
/* Validity of a mark, and duration of a quarantine.  */
#define GATE_CRASH_DURATION_US clk_s (300)
#define GATE_CRASH_FINGERPRINTS_MAX 4096
#define GATE_CRASH_CANDIDATES_MAX 1024
/* Time within which the loss of the server is noticed: several heartbeats.  */
#define GATE_CRASH_CONFIRM_MAX_US clk_s (8)
/* Marks in one message to the control task.  */
#define GATE_CRASH_MARKS_SENT_MAX 256

int
gate_crash_init (struct gate *gate)
{
  struct quarantine_opts opts
      = { .duration = GATE_CRASH_DURATION_US,
          .fingerprints_max = GATE_CRASH_FINGERPRINTS_MAX,
          .servers_min = GATE_CRASH_SERVERS_MIN };

  list_init (&gate->crash_candidates);
  gate->suspects.marks = quarantine_new (&opts);
  return gate->suspects.marks == NULL ? SR_ENOMEM : SR_OK;
}

static void
gate_crash_drop_candidate (struct gate *gate,
                           struct gate_crash_candidate *candidate)
{
  list_remove (&candidate->node);
  gate->crash_candidate_count--;
  free (candidate);
}

void
gate_crash_fini (struct gate *gate)
{
  list_each (node, &gate->crash_candidates)
    gate_crash_drop_candidate (
        gate, list_entry (node, struct gate_crash_candidate, node));
  quarantine_free (gate->suspects.marks);
}

uint64_t
gate_crash_fingerprint (const struct gate_request *request,
                        const char *caller_service)
{
  size_t len = request->body.len < GATE_BODY_START_BYTES
                   ? request->body.len
                   : GATE_BODY_START_BYTES;
  struct suspects_identity identity
      = { .caller = caller_service,
          .target = request->head.value[HTTPMSG_HOST],
          .method = request->head.method,
          .path = request->head.target,
          .body_hash = digest_buffer_64 (request->body.data, len) };

  return suspects_fingerprint (&identity);
}

/* Name of the current incarnation of the server in marks.  */
static void
gate_crash_server_name (const struct gate *gate,
                        char name[QUARANTINE_INSTANCE_BYTES])
{
  const struct api_heartbeat *server = &gate->admit.backend.last_heartbeat;
  struct digest_part parts[]
      = { { gate->opts.instance, strlen (gate->opts.instance) },
          { server->id, strlen (server->id) },
          { &server->started_ms, sizeof server->started_ms } };

  snprintf (
      name, QUARANTINE_INSTANCE_BYTES, "%016llx",
      (unsigned long long)digest_64 (parts, sizeof parts / sizeof parts[0]));
}

void
gate_crash_add_candidate (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  struct gate_crash_candidate *candidate;
  struct list_node *pos = &gate->crash_candidates.head;

  /* A server that leaves may end with requests in flight.  */
  if (gate->admit.backend.state == BACKEND_DRAINING)
    return;
  if (gate->crash_candidate_count == GATE_CRASH_CANDIDATES_MAX)
    gate_crash_drop_candidate (
        gate, list_entry (list_first (&gate->crash_candidates),
                          struct gate_crash_candidate, node));
  candidate = calloc (1, sizeof *candidate);
  INVARIANT (candidate != NULL);
  candidate->fingerprint = serve->admit.fingerprint;
  candidate->dispatched_at = serve->dispatched_at;
  candidate->lost_at = loop_now (gate->loop);
  while (pos->prev != &gate->crash_candidates.head
         && list_entry (pos->prev, struct gate_crash_candidate, node)
                    ->dispatched_at
                > candidate->dispatched_at)
    pos = pos->prev;
  list_insert_before (pos, &candidate->node);
  gate->crash_candidate_count++;
  /* The loss may have been noticed by a connection that was closed before.  */
  if (gate->admit.backend.state == BACKEND_ABSENT)
    gate_crash_confirm (gate);
}

void
gate_crash_record_answer (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);

  /* An answer to a request that was sent after the loss.  */
  list_each (node, &gate->crash_candidates)
    {
      struct gate_crash_candidate *candidate
          = list_entry (node, struct gate_crash_candidate, node);

      if (candidate->lost_at < serve->dispatched_at)
        gate_crash_drop_candidate (gate, candidate);
    }
  if (quarantine_clear_marks (gate->suspects.marks, serve->admit.fingerprint,
                              now))
    gate->crash_marks_changed = true;
}

void
gate_crash_confirm (struct gate *gate)
{
  clk_us now = loop_now (gate->loop);
  char name[QUARANTINE_INSTANCE_BYTES];
  struct list_node *node;
  uint32_t count = 0;

  gate_crash_server_name (gate, name);
  while ((node = list_first (&gate->crash_candidates)) != NULL)
    {
      struct gate_crash_candidate *candidate
          = list_entry (node, struct gate_crash_candidate, node);

      if (candidate->lost_at + GATE_CRASH_CONFIRM_MAX_US >= now
          && quarantine_add_mark (gate->suspects.marks, candidate->fingerprint,
                                  name, candidate->lost_at)
                 == SR_OK)
        count++;
      gate_crash_drop_candidate (gate, candidate);
    }
  if (count == 0)
    return;
  gate->crash_marks_changed = true;
  slog (SLOG_NOTICE, "crash marks added server=%s requests=%u",
        gate->admit.backend.last_heartbeat.id, count);
}

void
gate_crash_import (struct gate *gate, const struct list *marks)
{
  clk_us now = loop_now (gate->loop);

  list_each (node, marks)
    quarantine_import_mark (gate->suspects.marks,
                            list_entry (node, struct quarantine_mark, node),
                            now);
}

void
gate_crash_tick (struct gate *gate, clk_us now)
{
  struct msg *msg;

  list_each (node, &gate->crash_candidates)
    {
      struct gate_crash_candidate *candidate
          = list_entry (node, struct gate_crash_candidate, node);

      if (candidate->lost_at + GATE_CRASH_CONFIRM_MAX_US < now)
        gate_crash_drop_candidate (gate, candidate);
    }
  quarantine_expire (gate->suspects.marks, now);
  if (!gate->crash_marks_changed)
    return;
  gate->crash_marks_changed = false;
  msg = msg_new (MSG_CRASH_MARKS);
  quarantine_export_marks (gate->suspects.marks, &msg->u.items,
                           GATE_CRASH_MARKS_SENT_MAX, now);
  inbox_put (gate->control, msg);
}
