#include "core/slog.h"
#include "tasks/gate_state.h"

/* A stop goes in steps, so that callers, other nodes and the platform notice
   before the node refuses, and what is under way gets its answer.  */

/* Idle connections of callers are closed from this time on.  */
#define GATE_CLOSE_IDLE_AFTER_US clk_ms (1200)
/* The other nodes are told that the own server is not to be used from here. */
#define GATE_ANNOUNCE_AFTER_US clk_ms (1100)
/* Requests for the own server are taken until then; what they run still ends
   before the process does.  */
#define GATE_REFUSE_AFTER_US clk_ms (1500)
/* New requests are taken until then: the platform asks for the health of a
   node once a second and sends it no more work after two misses.  */
#define GATE_CLOSE_AFTER_US clk_ms (2600)
/* A node without callers has nothing to wait for.  */
#define GATE_CLOSE_CONTROL_AFTER_US clk_ms (200)
/* Before the end, what waits at other nodes is withdrawn, and what is still
   unfinished is given up.  */
#define GATE_WITHDRAW_BEFORE_US clk_ms (400)
#define GATE_GIVE_UP_BEFORE_US clk_ms (150)

static bool
gate_has_callers (const struct gate *gate)
{
  const char *address = gate->opts.listen[GATE_PORT_CALLERS];

  return address != NULL && address[0] != '\0';
}

void
gate_stop_begin (struct gate *gate)
{
  clk_us now = loop_now (gate->loop);
  struct gate_stop *stop = &gate->stop;
  clk_us limit = gate->opts.stop_limit;

  slog (SLOG_NOTICE, "stopping limit_ms=%llu",
        (unsigned long long)(limit / CLK_US_PER_MS));
  gate->stopping = true;
  stop->due[GATE_STOP_ANNOUNCE] = now + GATE_ANNOUNCE_AFTER_US;
  stop->due[GATE_STOP_REFUSE] = now + GATE_REFUSE_AFTER_US;
  stop->due[GATE_STOP_CLOSE]
      = now
        + (gate_has_callers (gate) ? GATE_CLOSE_AFTER_US
                                   : GATE_CLOSE_CONTROL_AFTER_US);
  stop->due[GATE_STOP_WITHDRAW] = now + limit - GATE_WITHDRAW_BEFORE_US;
  stop->due[GATE_STOP_GIVE_UP] = now + limit - GATE_GIVE_UP_BEFORE_US;
  stop->due[GATE_STOP_END] = now + limit;
  stop->close_idle_at = now + GATE_CLOSE_IDLE_AFTER_US;
  /* No step is due after the next one: with a short limit, or a close that
     comes early, those before come early too.  */
  for (int step = GATE_STOP_END; step > 0; step--)
    if (stop->due[step - 1] > stop->due[step])
      stop->due[step - 1] = stop->due[step];
}

static void
gate_stop_step (struct gate *gate, enum gate_stop_step step)
{
  switch (step)
    {
    case GATE_STOP_ANNOUNCE:
      gate_report_backend (gate);
      break;
    case GATE_STOP_REFUSE:
      gate->admit.stopping = true;
      gate_serve_refuse_waiting (gate, REASON_DRAINING);
      break;
    case GATE_STOP_CLOSE:
      gate->dispatch.stopping = true;
      /* The lease ends meanwhile; requests under way need it no longer.  */
      inbox_put (gate->control, msg_new (MSG_STOP));
      break;
    case GATE_STOP_WITHDRAW:
      gate_call_withdraw_all (gate);
      break;
    case GATE_STOP_GIVE_UP:
      gate_call_give_up_all (gate);
      break;
    case GATE_STOP_END:
    case GATE_STOP_STEP_COUNT:
      break;
    }
}

bool
gate_stop_done (const struct gate *gate, enum gate_stop_step step)
{
  return gate->stopping && gate->stop.next > step;
}

/* Whether nothing is open any more.  After unfinished requests were given up
   their answers take the rest of the time to be written.  */
static bool
gate_is_idle (const struct gate *gate)
{
  return !gate_stop_done (gate, GATE_STOP_GIVE_UP) && list_empty (&gate->calls)
         && list_empty (&gate->serves) && list_empty (&gate->api_requests);
}

bool
gate_stop_run (struct gate *gate, clk_us now)
{
  struct gate_stop *stop = &gate->stop;

  while (stop->next < GATE_STOP_STEP_COUNT && now >= stop->due[stop->next])
    {
      enum gate_stop_step step = stop->next++;

      gate_stop_step (gate, step);
    }
  if (now >= stop->close_idle_at)
    gate_in_close_idle (gate);
  return stop->next == GATE_STOP_STEP_COUNT
         || (gate_stop_done (gate, GATE_STOP_CLOSE) && gate_is_idle (gate));
}
