#include "core/slog.h"
#include "tasks/gate_state.h"

/* A stop goes in steps, so that callers, other nodes and the platform notice
   before the node refuses, and what is under way gets its answer.  */

/* Idle connections of callers are closed from this time on.  */
#define GAT_SWEEP_US clk_ms (1200)
/* The other nodes are told that the own server is not to be used from here. */
#define GAT_ANNOUNCE_US clk_ms (1100)
/* Requests for the own server are taken until then; what they run still ends
   before the process does.  */
#define GAT_REFUSE_US clk_ms (1500)
/* New requests are taken until then: the platform asks for the health of a
   node once a second and sends it no more work after two misses.  */
#define GAT_CLOSE_US clk_ms (2600)
/* A node without callers has nothing to wait for.  */
#define GAT_CLOSE_CONTROL_US clk_ms (200)
/* Before the end, what waits at other nodes is withdrawn, and what is still
   unfinished is given up.  */
#define GAT_WITHDRAW_BEFORE_US clk_ms (400)
#define GAT_GIVE_UP_BEFORE_US clk_ms (150)

static bool
gat_has_callers (const struct gate *gate)
{
  const char *address = gate->opts.listen[GAT_CALLERS];

  return address != NULL && address[0] != '\0';
}

void
gat_stop_begin (struct gate *gate)
{
  clk_us now = lop_now (gate->loop);
  struct gat_stop *stop = &gate->stop;
  clk_us limit = gate->opts.stop_limit;

  slog (SLOG_NOTICE, "stopping limit_ms=%llu",
        (unsigned long long)(limit / CLK_US_PER_MS));
  gate->stopping = true;
  stop->due[GAT_STOP_ANNOUNCE] = now + GAT_ANNOUNCE_US;
  stop->due[GAT_STOP_REFUSE] = now + GAT_REFUSE_US;
  stop->due[GAT_STOP_CLOSE]
      = now + (gat_has_callers (gate) ? GAT_CLOSE_US : GAT_CLOSE_CONTROL_US);
  stop->due[GAT_STOP_WITHDRAW] = now + limit - GAT_WITHDRAW_BEFORE_US;
  stop->due[GAT_STOP_GIVE_UP] = now + limit - GAT_GIVE_UP_BEFORE_US;
  stop->due[GAT_STOP_END] = now + limit;
  stop->sweep_from = now + GAT_SWEEP_US;
  /* No step is due after the next one: with a short limit, or a close that
     comes early, those before come early too.  */
  for (int step = GAT_STOP_END; step > 0; step--)
    if (stop->due[step - 1] > stop->due[step])
      stop->due[step - 1] = stop->due[step];
}

static void
gat_stop_step (struct gate *gate, enum gat_stop_step step)
{
  switch (step)
    {
    case GAT_STOP_ANNOUNCE:
      gat_report_backend (gate);
      break;
    case GAT_STOP_REFUSE:
      gate->beside.stopping = true;
      gat_serve_refuse_waiting (gate, RSN_DRAINING);
      break;
    case GAT_STOP_CLOSE:
      gate->entry.closing = true;
      /* The lease ends meanwhile; requests under way need it no longer.  */
      inb_put (gate->control, msg_new (MSG_STOP));
      break;
    case GAT_STOP_WITHDRAW:
      gat_call_withdraw_all (gate);
      break;
    case GAT_STOP_GIVE_UP:
      gat_call_give_up_all (gate);
      break;
    case GAT_STOP_END:
    case GAT_STOP_STEPS:
      break;
    }
}

bool
gat_stop_done (const struct gate *gate, enum gat_stop_step step)
{
  return gate->stopping && gate->stop.done > step;
}

/* Whether nothing is open any more.  After unfinished requests were given up
   their answers take the rest of the time to be written.  */
static bool
gat_is_idle (const struct gate *gate)
{
  return !gat_stop_done (gate, GAT_STOP_GIVE_UP) && lst_empty (&gate->calls)
         && lst_empty (&gate->serves) && lst_empty (&gate->apis);
}

bool
gat_stop_run (struct gate *gate, clk_us now)
{
  struct gat_stop *stop = &gate->stop;

  while (stop->done < GAT_STOP_STEPS && now >= stop->due[stop->done])
    {
      enum gat_stop_step step = stop->done++;

      gat_stop_step (gate, step);
    }
  if (now >= stop->sweep_from)
    gat_in_sweep (gate);
  return stop->done == GAT_STOP_STEPS
         || (gat_stop_done (gate, GAT_STOP_CLOSE) && gat_is_idle (gate));
}
