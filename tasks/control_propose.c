#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/control_state.h"

static void
ctl_drop_pending (struct ctl_pending *pending)
{
  lst_remove (&pending->node);
  free (pending->data);
  free (pending);
}

/* Forgets the proposals and reads of one origin; late results find nobody. */
void
ctl_drop_origin (struct control *control, enum ctl_origin_kind kind)
{
  lst_each (node, &control->pending)
    {
      struct ctl_pending *pending = lst_entry (node, struct ctl_pending, node);

      if (pending->origin.kind == kind)
        ctl_drop_pending (pending);
    }
}

/* Whether a claim, an outcome or a release waits for its result.  */
bool
ctl_has_claims (const struct control *control)
{
  lst_each (node, &control->pending)
    if (lst_entry (node, struct ctl_pending, node)->origin.kind
        == CTL_ORIGIN_FRONT)
      return true;
  return false;
}

/* Whether this node's own replica leads the group.  */
static bool
ctl_leads (const struct control *control, enum msg_group group)
{
  return control->replica != NULL
         && strcmp (control->leader[group], control->opts.address) == 0;
}

/* Address to send to next: the leader when known, else one after another. */
static const char *
ctl_target (struct control *control, const struct ctl_pending *pending)
{
  const char *leader = control->leader[pending->group];

  if (leader[0] != '\0')
    return leader;
  if (control->replica_count == 0)
    return NULL;
  return control->replicas[pending->target % control->replica_count].address;
}

/* Sends a proposal or read to a replica.  */
static void
ctl_send (struct control *control, struct ctl_pending *pending, clk_us now)
{
  const char *target = ctl_target (control, pending);
  struct msg *msg;

  pending->next_try = now + CTL_TRY_US;
  if (ctl_leads (control, pending->group))
    {
      if (pending->kind == MSG_PROPOSE_READ)
        rpl_read (control->replica, pending->request, now);
      else
        rpl_propose (control->replica, pending->group, pending->request,
                     pending->data, pending->len, now);
      return;
    }
  if (target == NULL)
    return;
  msg = msg_new (MSG_PROPOSE);
  msg->route.kind = MSG_ROUTE_DIAL;
  snprintf (msg->route.u.address, sizeof msg->route.u.address, "%s", target);
  msg->u.propose.kind = pending->kind;
  msg->u.propose.group = pending->group;
  msg->u.propose.request = pending->request;
  if (pending->len > 0)
    {
      msg->u.propose.data = malloc (pending->len);
      INVARIANT (msg->u.propose.data != NULL);
      memcpy (msg->u.propose.data, pending->data, pending->len);
      msg->u.propose.len = pending->len;
    }
  inb_put (control->peer, msg);
}

static struct ctl_pending *
ctl_new_pending (struct control *control, const struct ctl_origin *origin,
                 struct msg_propose *propose, clk_us now)
{
  struct ctl_pending *pending = calloc (1, sizeof *pending);

  INVARIANT (pending != NULL);
  pending->request = control->next_request++;
  pending->origin = *origin;
  pending->kind = propose->kind;
  pending->group = propose->group;
  pending->data = propose->data;
  pending->len = propose->len;
  propose->data = NULL;
  propose->len = 0;
  pending->began = now;
  pending->deadline = now + clk_ms (propose->timeout_ms);
  lst_push_tail (&control->pending, &pending->node);
  return pending;
}

/* Takes the data of PROPOSE over.  */
void
ctl_propose (struct control *control, const struct ctl_origin *origin,
             struct msg_propose *propose, clk_us now)
{
  ctl_send (control, ctl_new_pending (control, origin, propose, now), now);
  ctl_run_replica (control, now);
}

/* Another node proposes to the replica here.  */
void
ctl_take_propose (struct control *control, struct msg *msg, clk_us now)
{
  struct ctl_origin origin = { .kind = CTL_ORIGIN_REMOTE,
                               .request = msg->u.propose.request,
                               .route = msg->route };
  struct msg_propose *propose = &msg->u.propose;
  struct ctl_pending *pending;

  if (control->replica == NULL)
    return;
  propose->timeout_ms = (uint32_t)(CTL_TRY_US / CLK_US_PER_MS);
  pending = ctl_new_pending (control, &origin, propose, now);
  pending->next_try = pending->deadline;
  if (pending->kind == MSG_PROPOSE_READ)
    rpl_read (control->replica, pending->request, now);
  else
    rpl_propose (control->replica, pending->group, pending->request,
                 pending->data, pending->len, now);
  ctl_run_replica (control, now);
}

static struct ctl_pending *
ctl_find_pending (struct control *control, uint64_t request)
{
  lst_each (node, &control->pending)
    {
      struct ctl_pending *pending = lst_entry (node, struct ctl_pending, node);

      if (pending->request == request)
        return pending;
    }
  return NULL;
}

/* Gives the result to whoever waits; takes its data over.  */
static void
ctl_finish (struct control *control, struct ctl_pending *pending,
            struct msg_result *result, clk_us now)
{
  struct ctl_origin origin = pending->origin;
  bool fallback = origin.kind == CTL_ORIGIN_REMOTE
                  && pending->kind == MSG_PROPOSE_READ && pending->len > 0;
  struct msg *msg;

  if (pending->kind == MSG_PROPOSE_COMMAND && result->status == SR_OK)
    hst_add (HST_COMMIT, now - pending->began);
  ctl_drop_pending (pending);
  if (fallback && result->status != SR_OK)
    ctl_config_fallback (control, result);
  switch (origin.kind)
    {
    case CTL_ORIGIN_FRONT:
    case CTL_ORIGIN_REMOTE:
      msg = msg_new (MSG_RESULT);
      msg->route = origin.route;
      msg->u.result = *result;
      msg->u.result.request = origin.request;
      result->data = NULL;
      inb_put (origin.kind == CTL_ORIGIN_FRONT ? control->opts.front
                                               : control->peer,
               msg);
      break;
    case CTL_ORIGIN_CHANGE:
      ctl_change_result (control, origin.request, result);
      break;
    case CTL_ORIGIN_CONFIG:
      control->reading = false;
      ctl_config_result (control, result, now);
      break;
    case CTL_ORIGIN_GET:
      ctl_get_result (control, origin.request, result);
      break;
    }
}

void
ctl_give_up_pending (struct control *control, clk_us now)
{
  struct lst_node *node;

  while ((node = lst_first (&control->pending)) != NULL)
    {
      struct msg_result result = { .status = SR_EAGAIN };

      ctl_finish (control, lst_entry (node, struct ctl_pending, node), &result,
                  now);
    }
}

/* Whether another replica, or the same one later, may accept.  */
static bool
ctl_may_repeat (const struct ctl_pending *pending,
                const struct msg_result *result)
{
  if (pending->origin.kind == CTL_ORIGIN_REMOTE)
    return false;
  return result->status == SR_ENOTLEADER || result->status == SR_EAGAIN;
}

void
ctl_take_result (struct control *control, struct msg_result *result,
                 clk_us now)
{
  struct ctl_pending *pending = ctl_find_pending (control, result->request);

  if (pending == NULL && result->request == CTL_PUSHED)
    ctl_config_pushed (control, result, now);
  if (pending == NULL)
    return;
  if (!ctl_may_repeat (pending, result))
    {
      ctl_finish (control, pending, result, now);
      return;
    }
  /* Nodes that hold a replica know the leader from it.  */
  if (control->replica == NULL)
    snprintf (control->leader[pending->group],
              sizeof control->leader[pending->group], "%s", result->leader);
  if (result->leader[0] == '\0')
    pending->target++;
  pending->answered = true;
  pending->next_try = now + CTL_RETRY_US;
  if (pending->origin.kind == CTL_ORIGIN_CONFIG)
    ctl_config_result (control, result, now);
}

void
ctl_check_pending (struct control *control, clk_us now)
{
  lst_each (node, &control->pending)
    {
      struct ctl_pending *pending = lst_entry (node, struct ctl_pending, node);
      struct msg_result result = { .status = SR_EAGAIN };

      if (now >= pending->deadline)
        {
          ctl_finish (control, pending, &result, now);
          continue;
        }
      if (now < pending->next_try)
        continue;
      if (!pending->answered)
        {
          /* A leader that does not answer may be cut off.  */
          if (control->replica == NULL)
            control->leader[pending->group][0] = '\0';
          pending->target++;
        }
      pending->answered = false;
      ctl_send (control, pending, now);
    }
}

clk_us
ctl_pending_wakeup (const struct control *control, clk_us latest)
{
  lst_each (node, &control->pending)
    {
      const struct ctl_pending *pending
          = lst_entry (node, struct ctl_pending, node);

      if (pending->next_try < latest)
        latest = pending->next_try;
      if (pending->deadline < latest)
        latest = pending->deadline;
    }
  return latest;
}
