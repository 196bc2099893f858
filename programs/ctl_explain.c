#include "programs/ctl_explain.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/list.h"
#include "core/reason.h"

#define CTE_LINE_BYTES 4096

/* A log line of the request.  */
struct cte_line
{
  struct lst_node node;
  double time; /* seconds */
  char text[CTE_LINE_BYTES];
};

/* What a reason means for whoever looks into a failed request.  */
struct cte_cause
{
  enum rsn_refusal reason;
  const char *text;
};

static const struct cte_cause cte_causes[] = {
  { RSN_UPSTREAM_SHED,
    "the services below were overloaded; see pressure_ms and the lines of the "
    "servers' nodes" },
  { RSN_QUEUE_FULL,
    "it would have waited too long at every server; see running and waiting" },
  { RSN_EVICTED, "more important requests took its place in the queue" },
  { RSN_DEADLINE_QUEUED, "its time was over before a slot was free" },
  { RSN_DEADLINE_RUNNING,
    "its time was over while the server was at work; see the lines of its "
    "calls" },
  { RSN_NO_SERVER, "no server of the service was known; see members changed" },
  { RSN_NO_BACKEND,
    "the server beside the node was gone; see backend server lost" },
  { RSN_DRAINING, "the server, or the node beside it, was leaving" },
  { RSN_SERVER_REFUSED, "the server itself refused and did not run it" },
  { RSN_BACKEND_CLOSED, "the server closed the connection without an answer" },
  { RSN_ANSWER_INCOMPLETE, "the server's answer was broken or not its own" },
  { RSN_CONNECT_FAILED, "no connection could be established" },
  { RSN_PEER_LOST, "the connection to the server's node was lost" },
  { RSN_STOPPING, "the node ended before the answer was there" },
  { RSN_UNKNOWN_SERVICE,
    "no route fits; compare with routes in force at that time" },
  { RSN_NOT_READY, "the node had no configuration yet" },
  { RSN_CANCELLED, "the caller left" },
};

/* Value of KEY in a line; false when it is not there.  */
static bool
cte_value (const char *line, const char *key, char *out, size_t size)
{
  size_t len = strlen (key);
  const char *at = line;

  while ((at = strstr (at, key)) != NULL)
    {
      if (at[len] == '=' && (at == line || at[-1] == ' '))
        {
          const char *value = at + len + 1;
          bool quoted = *value == '"';
          size_t end;

          value += quoted;
          end = strcspn (value, quoted ? "\"" : " \n");
          snprintf (out, size, "%.*s", (int)end, value);
          return true;
        }
      at += len;
    }
  return false;
}

/* Whether the line is about the request or one of its calls.  */
static bool
cte_is_about (const char *line, const char *id)
{
  char value[256];
  size_t len = strlen (id);

  return cte_value (line, "id", value, sizeof value)
         && strncmp (value, id, len) == 0
         && (value[len] == '\0' || value[len] == '.');
}

/* Inserts by time; lines of one time stay in their order.  */
static void
cte_insert (struct lst *lines, struct cte_line *line)
{
  struct lst_node *pos = &lines->head;

  while (pos->prev != &lines->head
         && lst_entry (pos->prev, struct cte_line, node)->time > line->time)
    pos = pos->prev;
  lst_insert_before (pos, &line->node);
}

/* Text after the key msg, which comes last of the keys of every line.  */
static const char *
cte_pairs (const char *line)
{
  const char *at = strstr (line, "msg=\"");

  if (at == NULL)
    return "";
  at = strchr (at + 5, '"');
  return at != NULL ? at + 1 : "";
}

static void
cte_show (const struct lst *lines, FILE *out)
{
  double first = lst_entry (lst_first (lines), struct cte_line, node)->time;

  lst_each (node, lines)
    {
      const struct cte_line *line = lst_entry (node, struct cte_line, node);
      char name[128] = "-";
      char msg[128] = "";

      cte_value (line->text, "node", name, sizeof name);
      cte_value (line->text, "msg", msg, sizeof msg);
      fprintf (out, "%+9.3f s  %-20s %s%s", line->time - first, name, msg,
               cte_pairs (line->text));
    }
}

/* Names the cause: the reason of the refusal that the caller got, or else the
   last one that a line names.  */
static void
cte_show_cause (const struct lst *lines, const char *id, FILE *out)
{
  size_t count = sizeof cte_causes / sizeof cte_causes[0];
  char reason[64] = "";
  char own[64] = "";

  lst_each (node, lines)
    {
      const char *line = lst_entry (node, struct cte_line, node)->text;
      char value[256] = "";
      char msg[64] = "";

      cte_value (line, "id", value, sizeof value);
      cte_value (line, "msg", msg, sizeof msg);
      cte_value (line, "reason", reason, sizeof reason);
      if (strcmp (value, id) == 0 && strcmp (msg, "request refused") == 0)
        cte_value (line, "reason", own, sizeof own);
    }
  if (own[0] != '\0')
    memcpy (reason, own, sizeof reason);
  for (size_t i = 0; i < count; i++)
    if (strcmp (rsn_name (cte_causes[i].reason), reason) == 0)
      {
        fprintf (out, "cause: %s: %s\n", reason, cte_causes[i].text);
        return;
      }
  if (reason[0] != '\0')
    fprintf (out, "cause: %s\n", reason);
}

enum cto_exit
cte_read (FILE *in, const char *id, FILE *out, FILE *err)
{
  char text[CTE_LINE_BYTES];
  struct lst lines;
  struct lst_node *node;

  lst_init (&lines);
  while (fgets (text, sizeof text, in) != NULL)
    {
      struct cte_line *line;
      char time[32];

      if (!cte_is_about (text, id))
        continue;
      line = calloc (1, sizeof *line);
      INVARIANT (line != NULL);
      memcpy (line->text, text, sizeof text);
      if (cte_value (text, "time", time, sizeof time))
        line->time = strtod (time, NULL);
      cte_insert (&lines, line);
    }
  if (lst_empty (&lines))
    {
      fprintf (err, "rudderctl: no line mentions id %s\n", id);
      return CTO_REFUSED;
    }
  cte_show (&lines, out);
  cte_show_cause (&lines, id, out);
  while ((node = lst_pop_head (&lines)) != NULL)
    free (lst_entry (node, struct cte_line, node));
  return CTO_DONE;
}

enum cto_exit
cte_explain (const struct cto_options *options, FILE *out, FILE *err)
{
  const struct cto_command *command = &options->command;
  enum cto_exit status;
  FILE *in = stdin;

  if (command->file[0] != '\0' && strcmp (command->file, "-") != 0)
    in = fopen (command->file, "r");
  if (in == NULL)
    {
      fprintf (err, "rudderctl: cannot read %s\n", command->file);
      return CTO_USAGE;
    }
  status = cte_read (in, command->u.request_id, out, err);
  if (in != stdin)
    fclose (in);
  return status;
}
