#include <stdlib.h>
#include <string.h>

#include "core/rng.h"
#include "filters/admit.h"
#include "filters/importance.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define SLOTS 18
#define REQUESTS_MAX 400

/* Kinds of requests at the node.  */
enum kind
{
  INTERNAL,
  EXTERNAL,
  URGENT, /* external, of the highest priority, and short */
  KIND_COUNT
};

struct kind_opts
{
  uint8_t importance;
  clk_us service_time;
  clk_us target;
  clk_us deadline;
};

static const struct kind_opts kinds[KIND_COUNT]
    = { [INTERNAL] = { 60, clk_ms (55), clk_ms (300), clk_ms (700) },
        [EXTERNAL] = { 60, clk_ms (750), clk_ms (2500), clk_s (5) },
        [URGENT]
        = { IMPORTANCE_ROUTE_MAX, clk_ms (72), clk_ms (250), clk_s (1) } };

/* A request at the node, and when its run ends.  */
struct entry
{
  enum kind kind;
  struct admit_request request;
  bool used;
  bool running;
  clk_us done_at;
};

static struct admit_state state;
static struct entry requests[REQUESTS_MAX];
static struct rng rng;

static void
set_up (void)
{
  struct api_heartbeat heartbeat = { .id = "i-1",
                                     .service = "marks",
                                     .address = "10.0.0.1:80",
                                     .slots = SLOTS,
                                     .sequence = 1 };

  rng_seed (&rng, 9);
  memset (requests, 0, sizeof requests);
  CU_ASSERT_EQUAL (admit_init (&state), SR_OK);
  backend_apply_heartbeat (&state.backend, &heartbeat, 1);
  admit_set_slots (&state, SLOTS);
}

static void
start_run (struct entry *entry, clk_us now)
{
  clk_us mean = kinds[entry->kind].service_time;

  entry->running = true;
  entry->done_at = now + (clk_us)((double)mean * (0.5 + rng_uniform (&rng)));
  admit_record_start (&state, &entry->request, now);
}

static void
withdraw (struct entry *entry, clk_us now)
{
  if (entry->request.ticket.state != SLOTS_IDLE)
    slots_withdraw (state.slots, &entry->request.ticket, now);
  admit_release (&state, &entry->request, AIMD_IGNORED, 0, now);
  entry->used = false;
}

/* Sends a request to the node; returns whether it runs or is queued.  */
static bool
submit (enum kind kind, clk_us now)
{
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (!requests[i].used)
      {
        struct admit_request *request = &requests[i].request;
        struct admit_result result;

        memset (&requests[i], 0, sizeof requests[i]);
        snprintf (request->service, sizeof request->service, "marks");
        requests[i].kind = kind;
        request->internal = kind == INTERNAL;
        request->importance = kinds[kind].importance;
        request->arrived = now;
        request->deadline = now + kinds[kind].deadline;
        request->target_deadline = now + kinds[kind].target;
        result = admit_run_chain (&state, request, now);
        requests[i].used = result.kind != ADMIT_REFUSE;
        if (result.kind == ADMIT_RUN)
          start_run (&requests[i], now);
        return requests[i].used;
      }
  return false;
}

struct counts
{
  int internal_sent;
  int internal_done;
  int external_in_time;
  int external_late;
  int urgent_sent;
  int urgent_in_time;
  double internal_wait_ms;
};

static void
finish_runs (struct counts *counts, clk_us now)
{
  for (int i = 0; i < REQUESTS_MAX; i++)
    {
      struct entry *entry = &requests[i];

      if (!entry->used || !entry->running || entry->done_at > now)
        continue;
      slots_finish (state.slots, &entry->request.ticket, true, now);
      admit_record_end (&state, &entry->request,
                        entry->done_at - entry->request.arrived);
      admit_release (&state, &entry->request, AIMD_ANSWERED, 0, now);
      entry->used = false;
      if (entry->kind == INTERNAL)
        counts->internal_done++;
      else if (entry->kind == URGENT)
        counts->urgent_in_time += now <= entry->request.target_deadline;
      else if (now <= entry->request.target_deadline)
        counts->external_in_time++;
      else
        counts->external_late++;
    }
}

static void
start_queued (struct counts *counts, clk_us now)
{
  for (;;)
    {
      struct slots_event event = slots_next (state.slots, now);
      struct entry *entry;

      if (event.kind == SLOTS_NOTHING)
        return;
      entry = list_entry (event.ticket, struct entry, request.ticket);
      if (event.kind == SLOTS_REFUSE)
        {
          admit_release (&state, &entry->request, AIMD_IGNORED, 0, now);
          entry->used = false;
          continue;
        }
      if (entry->request.internal)
        counts->internal_wait_ms
            += (double)(now - entry->request.arrived) / 1000;
      start_run (entry, now);
    }
}

/* Sends requests of each kind at the given rates for 20 s.  */
static struct counts
simulate (double internal_per_s, double external_per_s, double urgent_per_s)
{
  struct counts counts = { 0 };

  set_up ();
  for (clk_us now = clk_ms (1); now < clk_s (20); now += clk_ms (1))
    {
      finish_runs (&counts, now);
      start_queued (&counts, now);
      if (rng_uniform (&rng) < internal_per_s / 1000)
        {
          submit (INTERNAL, now);
          counts.internal_sent++;
        }
      if (rng_uniform (&rng) < external_per_s / 1000)
        submit (EXTERNAL, now);
      if (rng_uniform (&rng) < urgent_per_s / 1000)
        {
          submit (URGENT, now);
          counts.urgent_sent++;
        }
      if (now % clk_ms (125) < clk_ms (1))
        admit_update_slot_shares (&state);
    }
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (requests[i].used)
      withdraw (&requests[i], clk_s (20));
  admit_fini (&state);
  return counts;
}

/* Internal requests are calls of requests that run at other servers.  When
   they queue behind long external requests of an overloaded server, the
   requests that made them exceed their deadlines.  Here the external load is
   about twice what the server can serve, and internal requests need half of
   its slots: they must wait less than half of their service time.  */
static void
test_internal_under_overload (void)
{
  struct counts counts = simulate (150, 40, 0);

  CU_ASSERT_TRUE (counts.internal_done >= counts.internal_sent * 97 / 100);
  CU_ASSERT_TRUE (counts.internal_wait_ms / counts.internal_sent < 55.0 / 2);
  /* External requests get a share of the slots too, and are answered in time
     or refused.  */
  CU_ASSERT_TRUE (counts.external_in_time >= 100);
  CU_ASSERT_TRUE (counts.external_late * 5 <= counts.external_in_time);
}

/* Short requests of the highest priority come to a server that is overloaded
   by calls of less urgent requests, twice what it can serve.  A request behind
   the queue of calls misses its latency target, though it needs a twelfth of
   the slots.  */
static void
test_urgent_behind_calls (void)
{
  struct counts counts = simulate (650, 0, 20);

  CU_ASSERT_TRUE (counts.urgent_in_time * 100 >= counts.urgent_sent * 95);
  /* The calls use the rest of the slots.  */
  CU_ASSERT_TRUE (counts.internal_done >= 0.8 * 20 * 15.5 / 0.055);
}

/* Urgent requests far beyond their share must leave slots to calls, or every
   chain that has been started fails.  */
static void
test_urgent_flood (void)
{
  struct counts counts = simulate (150, 0, 500);

  CU_ASSERT_TRUE (counts.internal_done >= counts.internal_sent * 95 / 100);
}

/* Slots must not be kept free for internal requests when none arrive.  */
static void
test_external_only (void)
{
  struct counts counts = simulate (0, 18, 0);

  CU_ASSERT_TRUE (counts.external_in_time + counts.external_late >= 18 * 18);
}

/* A high average of earlier service times must not lead to the refusal of all
   requests: while nothing is queued, a request runs.  */
static void
test_slow_history (void)
{
  set_up ();
  state.external_service_time_us = clk_s (4);
  CU_ASSERT_TRUE (submit (EXTERNAL, clk_s (1)));
  CU_ASSERT_TRUE (requests[0].running);
  withdraw (&requests[0], clk_s (1));
  admit_fini (&state);
}

/* A request must not be passed to a backend server that belongs to another
   service, is draining or is absent, nor when too little time is left.  */
static void
test_server_states (void)
{
  struct api_deregister deregister = { .id = "i-1" };
  struct admit_request request
      = { .service = "other", .arrived = clk_s (1), .deadline = clk_s (9) };

  set_up ();
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_NO_BACKEND);
  snprintf (request.service, sizeof request.service, "marks");
  request.deadline = clk_s (1) + clk_ms (20);
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_DEADLINE_QUEUED);
  request.deadline = clk_s (9);
  backend_apply_deregister (&state.backend, &deregister);
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_DRAINING);
  state.backend.state = BACKEND_ABSENT;
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_NO_BACKEND);
  admit_fini (&state);
}

/* A node that shuts down must not admit a request that must not run twice and
   would probably be cut off: another node can run it.  */
static void
test_time_left_in_shutdown (void)
{
  struct entry *entry = &requests[0];

  for (int idempotent = 0; idempotent < 2; idempotent++)
    {
      clk_us now = clk_s (100);
      struct admit_result result;

      set_up ();
      state.external_service_time_us = 500000;
      state.stop_at = now + clk_ms (900);
      snprintf (entry->request.service, sizeof entry->request.service,
                "marks");
      entry->request.idempotent = idempotent;
      entry->request.arrived = now;
      entry->request.deadline = now + clk_s (5);
      entry->request.target_deadline = now + clk_s (2);
      result = admit_run_chain (&state, &entry->request, now);
      CU_ASSERT_EQUAL (result.kind, idempotent ? ADMIT_RUN : ADMIT_REFUSE);
      if (result.kind == ADMIT_RUN)
        withdraw (entry, now);
      else
        CU_ASSERT_EQUAL (result.reason, REASON_DRAINING);
      admit_fini (&state);
    }
}

/* Submits a request with FINGERPRINT.  */
static struct admit_result
submit_suspect (struct admit_request *request, uint64_t fingerprint)
{
  memset (request, 0, sizeof *request);
  snprintf (request->service, sizeof request->service, "marks");
  request->fingerprint = fingerprint;
  request->arrived = clk_s (1);
  request->deadline = clk_s (2);
  return admit_run_chain (&state, request, clk_s (1));
}

/* Guards against a harmless suspect that is quarantined because it runs beside
   the request that crashes servers: suspects run one at a time; and against a
   quarantined request at the server.  */
static void
test_suspects (void)
{
  struct quarantine_opts opts
      = { .duration = clk_s (300), .fingerprints_max = 8, .servers_min = 3 };
  struct suspects suspects = { .marks = quarantine_new (&opts) };
  struct admit_request first;
  struct admit_request second;
  struct admit_request other;
  struct admit_result result;

  set_up ();
  state.suspects = &suspects;
  for (uint64_t i = 1; i <= 2; i++)
    {
      quarantine_add_mark (suspects.marks, i, "a", clk_s (1));
      quarantine_add_mark (suspects.marks, i, "b", clk_s (1));
    }
  CU_ASSERT_EQUAL (submit_suspect (&first, 1).kind, ADMIT_RUN);
  result = submit_suspect (&second, 2);
  CU_ASSERT_EQUAL (result.kind, ADMIT_REFUSE);
  CU_ASSERT_EQUAL (result.reason, REASON_SUSPECT_RUNNING);
  admit_release (&state, &second, AIMD_IGNORED, 0, clk_s (1));
  CU_ASSERT_EQUAL (submit_suspect (&other, 9).kind, ADMIT_RUN);
  admit_release (&state, &first, AIMD_IGNORED, 0, clk_s (1));
  CU_ASSERT_EQUAL (submit_suspect (&second, 2).kind, ADMIT_RUN);
  admit_release (&state, &second, AIMD_IGNORED, 0, clk_s (1));
  CU_ASSERT_EQUAL (suspects.running, 0);
  quarantine_add_mark (suspects.marks, 1, "c", clk_s (1));
  result = submit_suspect (&first, 1);
  CU_ASSERT_EQUAL (result.kind, ADMIT_REFUSE);
  CU_ASSERT_EQUAL (result.reason, REASON_QUARANTINED);
  admit_fini (&state);
  quarantine_free (suspects.marks);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "internal requests wait little under overload",
            test_internal_under_overload },
          { "urgent requests behind calls", test_urgent_behind_calls },
          { "flood of urgent requests", test_urgent_flood },
          { "external requests alone use all slots", test_external_only },
          { "request runs after slow ones when nothing is queued",
            test_slow_history },
          { "no request for an unavailable server", test_server_states },
          { "time left in a shutdown", test_time_left_in_shutdown },
          { "suspects run one at a time", test_suspects },
          { NULL, NULL } };

  return suite_run ("admit", tests);
}
