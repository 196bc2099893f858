#include <stdlib.h>
#include <string.h>

#include "core/rng.h"
#include "filters/admit.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define SLOTS 18
#define OPEN_MOST 400

/* A request at the node, and the end of its run.  */
struct work
{
  struct admit_request request;
  bool used;
  bool running;
  clk_us done_at;
};

static struct admit_state state;
static struct work works[OPEN_MOST];
static struct rng rng;

static void
begin (void)
{
  struct api_heartbeat beat = { .id = "i-1",
                                .service = "marks",
                                .address = "10.0.0.1:80",
                                .slots = SLOTS,
                                .sequence = 1 };

  rng_seed (&rng, 9);
  memset (works, 0, sizeof works);
  CU_ASSERT_EQUAL (admit_init (&state), SR_OK);
  backend_heartbeat (&state.backend, &beat, 1);
  admit_set_slots (&state, SLOTS);
}

static void
run (struct work *work, clk_us now)
{
  clk_us mean = work->request.internal ? clk_ms (55) : clk_ms (750);

  work->running = true;
  work->done_at = now + (clk_us)((double)mean * (0.5 + rng_uniform (&rng)));
  admit_record_start (&state, &work->request, now);
}

static void
drop (struct work *work, clk_us now)
{
  if (work->request.ticket.state != SLOTS_IDLE)
    slots_withdraw (state.slots, &work->request.ticket, now);
  admit_release (&state, &work->request, AIMD_IGNORED, 0, now);
  work->used = false;
}

/* Begins a request; returns whether it runs or waits.  */
static bool
submit (bool inner, clk_us now)
{
  for (int i = 0; i < OPEN_MOST; i++)
    if (!works[i].used)
      {
        struct admit_request *request = &works[i].request;
        struct admit_result result;

        memset (&works[i], 0, sizeof works[i]);
        snprintf (request->service, sizeof request->service, "marks");
        request->internal = inner;
        request->importance = 60;
        request->arrived = now;
        request->deadline = now + (inner ? clk_ms (700) : clk_s (5));
        request->target_deadline
            = now + (inner ? clk_ms (300) : clk_ms (2500));
        result = admit_run_chain (&state, request, now);
        works[i].used = result.kind != ADMIT_REFUSE;
        if (result.kind == ADMIT_RUN)
          run (&works[i], now);
        return works[i].used;
      }
  return false;
}

struct tally
{
  int calls;
  int calls_done;
  int direct_done;
  int direct_late;
  double call_wait_ms;
};

static void
finish (struct tally *tally, clk_us now)
{
  for (int i = 0; i < OPEN_MOST; i++)
    {
      struct work *work = &works[i];

      if (!work->used || !work->running || work->done_at > now)
        continue;
      slots_finish (state.slots, &work->request.ticket, true, now);
      admit_record_end (&state, &work->request,
                        work->done_at - work->request.arrived);
      admit_release (&state, &work->request, AIMD_ANSWERED, 0, now);
      work->used = false;
      if (work->request.internal)
        tally->calls_done++;
      else if (now <= work->request.target_deadline)
        tally->direct_done++;
      else
        tally->direct_late++;
    }
}

static void
next (struct tally *tally, clk_us now)
{
  for (;;)
    {
      struct slots_event event = slots_next (state.slots, now);
      struct work *work;

      if (event.kind == SLOTS_NOTHING)
        return;
      work = list_entry (event.ticket, struct work, request.ticket);
      if (event.kind == SLOTS_REFUSE)
        {
          admit_release (&state, &work->request, AIMD_IGNORED, 0, now);
          work->used = false;
          continue;
        }
      if (work->request.internal)
        tally->call_wait_ms += (double)(now - work->request.arrived) / 1000;
      run (work, now);
    }
}

/* CALLS and DIRECT requests a second for 20 s.  */
static struct tally
play (double calls, double direct)
{
  struct tally tally = { 0 };

  begin ();
  for (clk_us now = clk_ms (1); now < clk_s (20); now += clk_ms (1))
    {
      finish (&tally, now);
      next (&tally, now);
      if (rng_uniform (&rng) < calls / 1000)
        {
          submit (true, now);
          tally.calls++;
        }
      if (rng_uniform (&rng) < direct / 1000)
        submit (false, now);
      if (now % clk_ms (125) < clk_ms (1))
        admit_update_shares (&state);
    }
  for (int i = 0; i < OPEN_MOST; i++)
    if (works[i].used)
      drop (&works[i], clk_s (20));
  admit_fini (&state);
  return tally;
}

/* Guards against short calls of running chains behind long new requests: the
   deep service is asked for twice what it carries by new requests, and calls
   that need half of it wait less than half of their own time.  */
static void
test_short_behind_long (void)
{
  struct tally tally = play (150, 40);

  CU_ASSERT_TRUE (tally.calls_done >= tally.calls * 97 / 100);
  CU_ASSERT_TRUE (tally.call_wait_ms / tally.calls < 55.0 / 2);
  /* New requests have their part, and are answered in time or refused.  */
  CU_ASSERT_TRUE (tally.direct_done >= 100);
  CU_ASSERT_TRUE (tally.direct_late * 5 <= tally.direct_done);
}

/* Guards against slots that are kept free for calls that do not come.  */
static void
test_no_calls (void)
{
  struct tally tally = play (0, 18);

  CU_ASSERT_TRUE (tally.direct_done + tally.direct_late >= 18 * 18);
}

/* Guards against a refusal of all requests because earlier ones were slow:
   without a queue a request runs.  */
static void
test_slow_before (void)
{
  begin ();
  state.external_service_us = clk_s (4);
  CU_ASSERT_TRUE (submit (false, clk_s (1)));
  CU_ASSERT_TRUE (works[0].running);
  drop (&works[0], clk_s (1));
  admit_fini (&state);
}

/* Guards against work for a server that leaves, is another one, or is gone. */
static void
test_states (void)
{
  struct api_deregister leave = { .id = "i-1" };
  struct admit_request request
      = { .service = "other", .arrived = clk_s (1), .deadline = clk_s (9) };

  begin ();
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_NO_BACKEND);
  snprintf (request.service, sizeof request.service, "marks");
  request.deadline = clk_s (1) + clk_ms (20);
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_DEADLINE_QUEUED);
  request.deadline = clk_s (9);
  backend_leave (&state.backend, &leave);
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_DRAINING);
  state.backend.state = BACKEND_ABSENT;
  CU_ASSERT_EQUAL (admit_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_NO_BACKEND);
  admit_fini (&state);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "short calls behind long requests", test_short_behind_long },
          { "no calls", test_no_calls },
          { "slow before", test_slow_before },
          { "states of the server", test_states },
          { NULL, NULL } };

  return suite_run ("beside", tests);
}
