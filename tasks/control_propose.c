#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/control_state.h"

static void
control_free_pending (struct control_pending *pending)
{
  list_remove (&pending->node);
  free (pending->data);
  free (pending);
}

/* Drops the pending proposals and reads of one origin; late results are
   ignored.  */
void
control_drop_pending_origin (struct control *control,
                             enum control_origin_kind kind)
{
  list_each (node, &control->pending)
    {
      struct control_pending *pending
          = list_entry (node, struct control_pending, node);

      if (pending->origin.kind == kind)
        control_free_pending (pending);
    }
}

/* Whether a claim, an outcome or a release is pending.  */
bool
control_has_pending_claims (const struct control *control)
{
  list_each (node, &control->pending)
    if (list_entry (node, struct control_pending, node)->origin.kind
        == CONTROL_ORIGIN_FRONT)
      return true;
  return false;
}

/* Whether the local replica leads the group.  */
static bool
control_leads_group (const struct control *control, enum msg_group group)
{
  return control->replica != NULL
         && strcmp (control->leader_addresses[group], control->opts.address)
                == 0;
}

/* Returns the address for the next attempt: the leader if known, otherwise the
   replicas in turn; NULL if there are none.  */
static const char *
control_target_address (struct control *control,
                        const struct control_pending *pending)
{
  const char *leader = control->leader_addresses[pending->group];

  if (leader[0] != '\0')
    return leader;
  if (control->replica_count == 0)
    return NULL;
  return control->replicas[pending->replica_index % control->replica_count]
      .address;
}

/* Sends a proposal or read to the leader or to another replica.  */
static void
control_send_pending (struct control *control, struct control_pending *pending,
                      clk_us now)
{
  const char *target = control_target_address (control, pending);
  struct msg *msg;

  pending->next_attempt_at = now + CONTROL_ATTEMPT_TIMEOUT_US;
  if (control_leads_group (control, pending->group))
    {
      if (pending->kind == MSG_PROPOSE_READ)
        replica_read (control->replica, pending->request_id, now);
      else
        replica_propose (control->replica, pending->group, pending->request_id,
                         pending->data, pending->len, now);
      return;
    }
  if (target == NULL)
    return;
  msg = msg_new (MSG_PROPOSE);
  msg->endpoint.kind = MSG_ENDPOINT_DIAL;
  snprintf (msg->endpoint.u.address, sizeof msg->endpoint.u.address, "%s",
            target);
  msg->u.propose.kind = pending->kind;
  msg->u.propose.group = pending->group;
  msg->u.propose.request_id = pending->request_id;
  if (pending->len > 0)
    {
      msg->u.propose.data = malloc (pending->len);
      INVARIANT (msg->u.propose.data != NULL);
      memcpy (msg->u.propose.data, pending->data, pending->len);
      msg->u.propose.len = pending->len;
    }
  inbox_put (control->peer, msg);
}

static struct control_pending *
control_new_pending (struct control *control,
                     const struct control_origin *origin,
                     struct msg_propose *propose, clk_us now)
{
  struct control_pending *pending = calloc (1, sizeof *pending);

  INVARIANT (pending != NULL);
  pending->request_id = control->next_request_id++;
  pending->origin = *origin;
  pending->kind = propose->kind;
  pending->group = propose->group;
  pending->data = propose->data;
  pending->len = propose->len;
  propose->data = NULL;
  propose->len = 0;
  pending->started_at = now;
  pending->deadline = now + clk_ms (propose->timeout_ms);
  list_push_tail (&control->pending, &pending->node);
  return pending;
}

/* Starts a proposal or read; takes over the data of PROPOSE.  */
void
control_propose (struct control *control, const struct control_origin *origin,
                 struct msg_propose *propose, clk_us now)
{
  control_send_pending (
      control, control_new_pending (control, origin, propose, now), now);
  control_process_replica_outputs (control, now);
}

/* Handles a proposal or read of another node, on a control replica.  */
void
control_handle_propose (struct control *control, struct msg *msg, clk_us now)
{
  struct control_origin origin = { .kind = CONTROL_ORIGIN_REMOTE,
                                   .request_id = msg->u.propose.request_id,
                                   .endpoint = msg->endpoint };
  struct msg_propose *propose = &msg->u.propose;
  struct control_pending *pending;

  if (control->replica == NULL)
    return;
  propose->timeout_ms = (uint32_t)(CONTROL_ATTEMPT_TIMEOUT_US / CLK_US_PER_MS);
  pending = control_new_pending (control, &origin, propose, now);
  pending->next_attempt_at = pending->deadline;
  if (pending->kind == MSG_PROPOSE_READ)
    replica_read (control->replica, pending->request_id, now);
  else
    replica_propose (control->replica, pending->group, pending->request_id,
                     pending->data, pending->len, now);
  control_process_replica_outputs (control, now);
}

static struct control_pending *
control_find_pending (struct control *control, uint64_t request_id)
{
  list_each (node, &control->pending)
    {
      struct control_pending *pending
          = list_entry (node, struct control_pending, node);

      if (pending->request_id == request_id)
        return pending;
    }
  return NULL;
}

/* Passes the result to the origin and removes the pending request; takes over
   the data of RESULT.  */
static void
control_finish_pending (struct control *control,
                        struct control_pending *pending,
                        struct msg_result *result, clk_us now)
{
  struct control_origin origin = pending->origin;
  bool fallback = origin.kind == CONTROL_ORIGIN_REMOTE
                  && pending->kind == MSG_PROPOSE_READ && pending->len > 0;
  struct msg *msg;

  if (pending->kind == MSG_PROPOSE_COMMAND && result->status == SR_OK)
    hist_add (HIST_COMMIT, now - pending->started_at);
  control_free_pending (pending);
  if (fallback && result->status != SR_OK)
    control_config_attach_local (control, result);
  switch (origin.kind)
    {
    case CONTROL_ORIGIN_FRONT:
    case CONTROL_ORIGIN_REMOTE:
      msg = msg_new (MSG_RESULT);
      msg->endpoint = origin.endpoint;
      msg->u.result = *result;
      msg->u.result.request_id = origin.request_id;
      result->data = NULL;
      inbox_put (origin.kind == CONTROL_ORIGIN_FRONT ? control->opts.front
                                                     : control->peer,
                 msg);
      break;
    case CONTROL_ORIGIN_ADMIN_CHANGE:
      control_admin_reply_change (control, origin.request_id, result);
      break;
    case CONTROL_ORIGIN_CONFIG:
      control->read_pending = false;
      control_config_handle_result (control, result, now);
      break;
    case CONTROL_ORIGIN_ADMIN_GET:
      control_admin_reply_get (control, origin.request_id, result);
      break;
    }
}

void
control_fail_pending (struct control *control, clk_us now)
{
  struct list_node *node;

  while ((node = list_first (&control->pending)) != NULL)
    {
      struct msg_result result = { .status = SR_EAGAIN };

      control_finish_pending (control,
                              list_entry (node, struct control_pending, node),
                              &result, now);
    }
}

/* Whether another replica, or the same one later, may accept the request.  */
static bool
control_may_retry (const struct control_pending *pending,
                   const struct msg_result *result)
{
  if (pending->origin.kind == CONTROL_ORIGIN_REMOTE)
    return false;
  return result->status == SR_ENOTLEADER || result->status == SR_EAGAIN;
}

void
control_handle_result (struct control *control, struct msg_result *result,
                       clk_us now)
{
  struct control_pending *pending
      = control_find_pending (control, result->request_id);

  if (pending == NULL && result->request_id == CONTROL_REQUEST_UNSOLICITED)
    control_config_handle_push (control, result, now);
  if (pending == NULL)
    return;
  if (!control_may_retry (pending, result))
    {
      control_finish_pending (control, pending, result, now);
      return;
    }
  /* On a control replica the leader is known from the local replica.  */
  if (control->replica == NULL)
    snprintf (control->leader_addresses[pending->group],
              sizeof control->leader_addresses[pending->group], "%s",
              result->leader_address);
  if (result->leader_address[0] == '\0')
    pending->replica_index++;
  pending->answered = true;
  pending->next_attempt_at = now + CONTROL_RETRY_DELAY_US;
  if (pending->origin.kind == CONTROL_ORIGIN_CONFIG)
    control_config_handle_result (control, result, now);
}

void
control_tick_pending (struct control *control, clk_us now)
{
  list_each (node, &control->pending)
    {
      struct control_pending *pending
          = list_entry (node, struct control_pending, node);
      struct msg_result result = { .status = SR_EAGAIN };

      if (now >= pending->deadline)
        {
          control_finish_pending (control, pending, &result, now);
          continue;
        }
      if (now < pending->next_attempt_at)
        continue;
      if (!pending->answered)
        {
          /* A leader that does not answer may be unreachable or replaced.  */
          if (control->replica == NULL)
            control->leader_addresses[pending->group][0] = '\0';
          pending->replica_index++;
        }
      pending->answered = false;
      control_send_pending (control, pending, now);
    }
}

clk_us
control_pending_wakeup (const struct control *control, clk_us wakeup)
{
  list_each (node, &control->pending)
    {
      const struct control_pending *pending
          = list_entry (node, struct control_pending, node);

      if (pending->next_attempt_at < wakeup)
        wakeup = pending->next_attempt_at;
      if (pending->deadline < wakeup)
        wakeup = pending->deadline;
    }
  return wakeup;
}
