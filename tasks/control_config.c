#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/control_state.h"
#include "wire/doc.h"

#define CONTROL_READ_TIMEOUT_MS 2000
/* Delay before the next read after a document that this program cannot parse;
   without it, nodes of an older version would read from the leader
   continuously.  */
#define CONTROL_UNREADABLE_RETRY_US clk_s (5)

/* Compares versions by (term, index).  */
static int
control_version_compare (const struct member_config_version *a,
                         const struct member_config_version *b)
{
  if (a->term != b->term)
    return a->term < b->term ? -1 : 1;
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return 0;
}

/* Sends the current configuration to the front task.  */
static void
control_config_send_front (struct control *control)
{
  struct msg *msg = msg_new (MSG_MODEL);

  if (control->model != NULL)
    msg->u.model.model = model_ref (control->model);
  msg->u.model.version = control->version;
  msg->u.model.confirmed = control->confirmed;
  inbox_put (control->opts.front, msg);
}

static int
control_config_parse (const struct control *control, const char *document,
                      size_t len, struct model **model,
                      char fault[API_FAULT_BYTES])
{
  if (control->opts.parse != NULL)
    return control->opts.parse (document, len, model, fault);
  return doc_parse (document, len, NULL, NULL, model);
}

static const char *
control_config_source_name (enum control_config_source source)
{
  switch (source)
    {
    case CONTROL_CONFIG_PUSHED:
      return "pushed";
    case CONTROL_CONFIG_READ:
      return "read";
    case CONTROL_CONFIG_LOCAL:
      return "local";
    }
  return "unknown";
}

/* Installs a version that is newer than the current one; marks the current one
   as confirmed when VERSION is equal and CONFIRMED.  */
void
control_config_install (struct control *control, const char *document,
                        size_t len,
                        const struct member_config_version *version,
                        bool confirmed, enum control_config_source source)
{
  struct model *model = NULL;
  char fault[API_FAULT_BYTES] = "";
  int order = control_version_compare (version, &control->version);

  if (order == 0 && confirmed && !control->confirmed)
    {
      control->confirmed = true;
      control_config_send_front (control);
    }
  if (order <= 0 || document == NULL)
    return;
  if (control_config_parse (control, document, len, &model, fault) != SR_OK)
    {
      slog (SLOG_ERR,
            "configuration cannot be parsed version=%llu "
            "reason=\"%s\"",
            (unsigned long long)version->number, fault);
      control->next_read = clk_now () + CONTROL_UNREADABLE_RETRY_US;
      return;
    }
  model_unref (control->model);
  free (control->document);
  control->model = model;
  control->document = malloc (len + 1);
  INVARIANT (control->document != NULL);
  memcpy (control->document, document, len);
  control->document[len] = '\0';
  control->document_len = len;
  control->version = *version;
  control->confirmed = control->confirmed || confirmed;
  slog (SLOG_NOTICE,
        "configuration in force version=%llu confirmed=%d source=%s",
        (unsigned long long)version->number, (int)control->confirmed,
        control_config_source_name (source));
  control_config_send_front (control);
  if (control->replica != NULL)
    control_push_config (control);
  /* Renew at once: the operator's tool waits until all nodes report the new
     version.  */
  control->next_renew = 0;
}

/* Whether the node still waits for a quorum to confirm its version.  */
static bool
control_config_awaits_quorum (const struct control *control, clk_us now)
{
  return !control->confirmed
         && now - control->unconfirmed_since < CONTROL_CONFIRM_TIMEOUT_US;
}

/* Installs the version that the local replica has applied.  After a restart it
   may be older than the one this node had installed before, because the
   replica learns the commit index only from a leader.  */
void
control_config_install_local (struct control *control, clk_us now)
{
  struct member_config_version version;
  const char *document;
  size_t len;

  if (control->replica == NULL || control_config_awaits_quorum (control, now))
    return;
  replica_config (control->replica, &version, &document, &len);
  control_config_install (control, document, len, &version, false,
                          CONTROL_CONFIG_LOCAL);
}

static void
control_config_start_read (struct control *control, clk_us now)
{
  struct control_origin origin = { .kind = CONTROL_ORIGIN_CONFIG };
  struct msg_propose propose = { .kind = MSG_PROPOSE_READ,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CONTROL_READ_TIMEOUT_MS };
  clk_us elapsed = now - control->unconfirmed_since;

  if (control_config_awaits_quorum (control, now)
      && CONTROL_CONFIRM_TIMEOUT_US - elapsed
             < clk_ms (CONTROL_READ_TIMEOUT_MS))
    propose.timeout_ms
        = (uint32_t)((CONTROL_CONFIRM_TIMEOUT_US - elapsed) / CLK_US_PER_MS)
          + 1;
  /* A nonempty request asks the replica to return its applied version when
     there is no quorum.  */
  if (!control->confirmed && !control_config_awaits_quorum (control, now))
    {
      propose.len = 1;
      propose.data = calloc (1, propose.len);
      INVARIANT (propose.data != NULL);
    }
  control->read_pending = true;
  control_propose (control, &origin, &propose, now);
}

/* Logs the first report of a version that is not in force here.  */
static void
control_config_log_reported (struct control *control,
                             const struct control_replica *replica)
{
  if (control_version_compare (&replica->config, &control->reported) <= 0)
    return;
  control->reported = replica->config;
  slog (SLOG_INFO,
        "newer configuration reported version=%llu in_force=%llu "
        "address=%s",
        (unsigned long long)replica->config.number,
        (unsigned long long)control->version.number, replica->address);
}

/* Reads the configuration while it is unconfirmed, or when a replica reports a
   newer version.  */
void
control_config_refresh (struct control *control, clk_us now)
{
  bool newer = false;

  control_config_install_local (control, now);
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (control_version_compare (&control->replicas[i].config,
                                 &control->version)
        > 0)
      {
        newer = true;
        control_config_log_reported (control, &control->replicas[i]);
      }
  if (control->read_pending || now < control->next_read)
    return;
  if (newer || !control->confirmed)
    control_config_start_read (control, now);
}

/* Handles the result of a read.  A leader returns a version confirmed by a
   quorum, another replica the version that it has applied.  */
void
control_config_handle_result (struct control *control,
                              struct msg_result *result, clk_us now)
{
  bool confirmed = result->status == SR_OK;

  if (!confirmed && control_config_awaits_quorum (control, now))
    return;
  /* No change has been accepted yet, so there is no document to install.  */
  if (confirmed && result->version.index == 0)
    {
      control->confirmed = control->version.index == 0;
      return;
    }
  control_config_install (control, (const char *)result->data, result->len,
                          &result->version, confirmed, CONTROL_CONFIG_READ);
}

/* Handles a version pushed by the leader.  It is committed but may not be the
   newest, so a node that waits for a quorum ignores it.  */
void
control_config_handle_push (struct control *control, struct msg_result *result,
                            clk_us now)
{
  if (control_config_awaits_quorum (control, now))
    slog (SLOG_NOTICE,
          "pushed configuration ignored version=%llu in_force=%llu "
          "reason=\"no quorum has confirmed the version in force\"",
          (unsigned long long)result->version.number,
          (unsigned long long)control->version.number);
  else
    control_config_install (control, (const char *)result->data, result->len,
                            &result->version, false, CONTROL_CONFIG_PUSHED);
}

/* Marks the configuration as unconfirmed until a quorum confirms it again.
   Drops pending reads, whose results may be just as old.  */
void
control_config_clear_confirmed (struct control *control, clk_us now)
{
  control->confirmed = false;
  control->unconfirmed_since = now;
  control_drop_pending_origin (control, CONTROL_ORIGIN_CONFIG);
  control_drop_pending_origin (control, CONTROL_ORIGIN_ADMIN_GET);
  control->read_pending = false;
  control_config_send_front (control);
}

/* Adds the version that the local replica has applied to the result of a
   failed read, so that a node without a quorum can install the newest version
   of any replica.  */
void
control_config_attach_local (const struct control *control,
                             struct msg_result *result)
{
  const char *document;
  size_t len;

  replica_config (control->replica, &result->version, &document, &len);
  if (document == NULL)
    return;
  result->data = malloc (len);
  INVARIANT (result->data != NULL);
  memcpy (result->data, document, len);
  result->len = len;
}
