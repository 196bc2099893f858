#include "core/slog.h"
#include "tasks/gate_state.h"

/* A graceful shutdown takes several steps, so that callers, other nodes and
   the platform notice it before this node refuses requests, and requests in
   progress are answered.  The times below count from its start.  */

/* Idle connections of callers are closed from this time on.  */
#define GATE_CLOSE_IDLE_AFTER_US clk_ms (1200)
/* The backend server is reported as draining, so that other nodes choose other
   servers.  */
#define GATE_ANNOUNCE_AFTER_US clk_ms (1100)
/* Requests for the backend server are refused; those running can still end
   before the process does.  */
#define GATE_REFUSE_AFTER_US clk_ms (1500)
/* New requests are refused.  Until then they may arrive, since the platform
   checks the readiness of a node once a second and stops sending requests
   after two failed checks.  */
#define GATE_CLOSE_AFTER_US clk_ms (2600)
/* The same for a node without callers, which need not wait for the readiness
   checks.  */
#define GATE_CLOSE_CONTROL_AFTER_US clk_ms (200)
/* Time before the end at which requests queued at other nodes are
   withdrawn.  */
#define GATE_WITHDRAW_BEFORE_US clk_ms (400)

static bool
gate_has_callers (const struct gate *gate)
{
  const char *address = gate->opts.listen_addresses[GATE_PORT_CALLERS];

  return address != NULL && address[0] != '\0';
}

void
gate_stop_begin (struct gate *gate)
{
  clk_us now = loop_now (gate->loop);
  struct gate_stop *stop = &gate->stop;
  clk_us limit = gate->opts.stop_limit;

  slog (SLOG_NOTICE, "graceful shutdown started limit_ms=%llu",
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
  /* No step is due after the next one: a short limit, or an early
     GATE_STOP_CLOSE, moves the steps before it.  */
  for (int step = GATE_STOP_END; step > 0; step--)
    if (stop->due[step - 1] > stop->due[step])
      stop->due[step - 1] = stop->due[step];
  gate->dispatch.stop_at = stop->due[GATE_STOP_WITHDRAW];
  gate->admit.stop_at = stop->due[GATE_STOP_END];
}

static void
gate_stop_run_step (struct gate *gate, enum gate_stop_step step)
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
      /* The control task ends the lease of this node, which requests in
         progress do not need.  */
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

/* Whether no request is open and all answers were sent.  After
   GATE_STOP_GIVE_UP the rest of the time is left for sending them.  */
static bool
gate_is_idle (const struct gate *gate)
{
  return !gate_stop_done (gate, GATE_STOP_GIVE_UP) && list_empty (&gate->calls)
         && list_empty (&gate->serves) && list_empty (&gate->api_requests)
         && !gate_in_has_unsent (gate);
}

bool
gate_stop_run (struct gate *gate, clk_us now)
{
  struct gate_stop *stop = &gate->stop;

  while (stop->next < GATE_STOP_STEP_COUNT && now >= stop->due[stop->next])
    {
      enum gate_stop_step step = stop->next++;

      gate_stop_run_step (gate, step);
    }
  if (now >= stop->close_idle_at)
    gate_in_close_idle (gate);
  return stop->next == GATE_STOP_STEP_COUNT
         || (gate_stop_done (gate, GATE_STOP_CLOSE) && gate_is_idle (gate));
}
