#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/control_state.h"
#include "wire/doc.h"

#define CTL_READ_TIMEOUT_MS 2000

/* Orders versions by (term, index).  */
static int
ctl_version_compare (const struct mem_version *a, const struct mem_version *b)
{
  if (a->term != b->term)
    return a->term < b->term ? -1 : 1;
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return 0;
}

/* Tells the front task what is in force.  */
static void
ctl_config_send (struct control *control)
{
  struct msg *msg = msg_new (MSG_MODEL);

  if (control->model != NULL)
    msg->u.model.model = mdl_ref (control->model);
  msg->u.model.version = control->version;
  msg->u.model.confirmed = control->confirmed;
  inb_put (control->opts.front, msg);
}

/* Puts a newer version in force; an older one changes nothing.  */
void
ctl_config_put (struct control *control, const char *document, size_t len,
                const struct mem_version *version, bool confirmed)
{
  struct mdl *model = NULL;
  int order = ctl_version_compare (version, &control->version);

  if (order == 0 && confirmed && !control->confirmed)
    {
      control->confirmed = true;
      ctl_config_send (control);
    }
  if (order <= 0 || document == NULL)
    return;
  if (doc_parse (document, len, NULL, NULL, &model) != SR_OK)
    {
      slog (SLOG_ERR, "version cannot be read by this program version=%llu",
            (unsigned long long)version->number);
      return;
    }
  mdl_unref (control->model);
  free (control->document);
  control->model = model;
  control->document = malloc (len + 1);
  INVARIANT (control->document != NULL);
  memcpy (control->document, document, len);
  control->document[len] = '\0';
  control->document_len = len;
  control->version = *version;
  control->confirmed = control->confirmed || confirmed;
  slog (SLOG_NOTICE, "configuration in force version=%llu confirmed=%d",
        (unsigned long long)version->number, (int)control->confirmed);
  ctl_config_send (control);
}

/* Takes over what the own replica has applied.  */
void
ctl_config_local (struct control *control)
{
  struct mem_version version;
  const char *document;
  size_t len;

  if (control->replica == NULL)
    return;
  rpl_config (control->replica, &version, &document, &len);
  ctl_config_put (control, document, len, &version, false);
}

static void
ctl_config_read (struct control *control, clk_us now)
{
  struct ctl_origin origin = { .kind = CTL_ORIGIN_CONFIG };
  struct msg_propose propose = { .kind = MSG_PROPOSE_READ,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CTL_READ_TIMEOUT_MS };

  control->reading = true;
  ctl_propose (control, &origin, &propose, now);
}

/* Asks for the configuration while it is not confirmed, or when a replica has
   a newer one.  */
void
ctl_config_check (struct control *control, clk_us now)
{
  bool newer = false;

  if (control->reading)
    return;
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (ctl_version_compare (&control->replicas[i].config, &control->version)
        > 0)
      newer = true;
  if (newer || !control->confirmed)
    ctl_config_read (control, now);
}

/* A replica answered with a document: the leader confirmed it by a quorum;
   another one gave what it has applied.  */
void
ctl_config_result (struct control *control, struct msg_result *result,
                   clk_us now)
{
  bool confirmed = result->status == SR_OK;

  if (!confirmed && now - control->started < CTL_CONFIRM_WAIT_US
      && !control->confirmed)
    return;
  /* Nothing has been accepted yet: there is nothing to put in force.  */
  if (confirmed && result->version.number == 0)
    {
      control->confirmed = control->version.number == 0;
      return;
    }
  ctl_config_put (control, (const char *)result->data, result->len,
                  &result->version, confirmed);
}
