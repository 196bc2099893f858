#include "programs/ctl_explain.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/list.h"
#include "core/reason.h"

#define CTL_EXPLAIN_LINE_BYTES 4096

/* One log line about the request, in the list sorted by time.  */
struct ctl_explain_line
{
  struct list_node node;
  double time; /* in seconds, 0 without the key "time" */
  char text[CTL_EXPLAIN_LINE_BYTES];
};

/* Explanation of a refusal reason for operators.  */
struct ctl_explain_cause
{
  enum reason_refusal reason;
  const char *text;
};

static const struct ctl_explain_cause ctl_explain_causes[] = {
  { REASON_UPSTREAM_SHED,
    "the downstream services were overloaded; see pressure_ms and the lines "
    "of the servers' nodes" },
  { REASON_QUEUE_FULL,
    "the expected queueing time was too long at every server; see running and "
    "waiting" },
  { REASON_EVICTED, "requests of higher priority replaced it in the queue" },
  { REASON_DEADLINE_QUEUED, "its deadline passed before a slot was free" },
  { REASON_DEADLINE_RUNNING,
    "its deadline passed while the server worked on it; see the lines of its "
    "calls" },
  { REASON_NO_SERVER,
    "no server of the service was known; see members changed" },
  { REASON_NO_BACKEND,
    "the node had lost its backend server; see backend server lost" },
  { REASON_DRAINING, "the backend server or its node was draining" },
  { REASON_SERVER_REFUSED,
    "the backend server refused it and did not run it" },
  { REASON_BACKEND_CLOSED,
    "the backend server closed the connection without an answer" },
  { REASON_ANSWER_INCOMPLETE,
    "the backend server's answer was incomplete, invalid or without the field "
    "that marks it as the server's own" },
  { REASON_CONNECT_FAILED, "no connection could be established" },
  { REASON_PEER_LOST, "the connection to the server's node was lost" },
  { REASON_STOPPING, "the node stopped before the answer arrived" },
  { REASON_UNKNOWN_SERVICE,
    "no route matches; compare with routes in force at that time" },
  { REASON_NOT_READY, "the node had not received a configuration yet" },
  { REASON_CANCELLED, "the caller closed the connection" },
  { REASON_MEMORY_SHORT,
    "connections held too much of the node's memory; see connection gives "
    "way" },
};

/* Copies the value of KEY=value or KEY="value" from a log line to OUT.
   Returns false when the line has no such key.  */
static bool
ctl_explain_read_value (const char *line, const char *key, char *out,
                        size_t size)
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

/* Whether the "id" of the line is ID, or that of one of its calls, which is ID
   with a suffix that begins with ".".  */
static bool
ctl_explain_matches_id (const char *line, const char *id)
{
  char value[256];
  size_t len = strlen (id);

  return ctl_explain_read_value (line, "id", value, sizeof value)
         && strncmp (value, id, len) == 0
         && (value[len] == '\0' || value[len] == '.');
}

/* Inserts LINE in order of time, behind lines of the same time.  */
static void
ctl_explain_insert (struct list *lines, struct ctl_explain_line *line)
{
  struct list_node *pos = &lines->head;

  while (pos->prev != &lines->head
         && list_entry (pos->prev, struct ctl_explain_line, node)->time
                > line->time)
    pos = pos->prev;
  list_insert_before (pos, &line->node);
}

/* Text of the line behind the value of "msg".  Every log line has the same
   leading keys, of which "msg" is the last.  */
static const char *
ctl_explain_after_msg (const char *line)
{
  const char *at = strstr (line, "msg=\"");

  if (at == NULL)
    return "";
  at = strchr (at + 5, '"');
  return at != NULL ? at + 1 : "";
}

static void
ctl_explain_show_lines (const struct list *lines, FILE *out)
{
  double first
      = list_entry (list_first (lines), struct ctl_explain_line, node)->time;

  list_each (node, lines)
    {
      const struct ctl_explain_line *line
          = list_entry (node, struct ctl_explain_line, node);
      char name[128] = "-";
      char msg[128] = "";

      ctl_explain_read_value (line->text, "node", name, sizeof name);
      ctl_explain_read_value (line->text, "msg", msg, sizeof msg);
      fprintf (out, "%+9.3f s  %-20s %s%s", line->time - first, name, msg,
               ctl_explain_after_msg (line->text));
    }
}

/* Prints the cause: the reason of the refusal that the caller received, or
   else the reason in the last line that has one.  */
static void
ctl_explain_show_cause (const struct list *lines, const char *id, FILE *out)
{
  size_t count = sizeof ctl_explain_causes / sizeof ctl_explain_causes[0];
  char reason[64] = "";
  char caller_reason[64] = "";

  list_each (node, lines)
    {
      const char *line
          = list_entry (node, struct ctl_explain_line, node)->text;
      char value[256] = "";
      char msg[64] = "";

      ctl_explain_read_value (line, "id", value, sizeof value);
      ctl_explain_read_value (line, "msg", msg, sizeof msg);
      ctl_explain_read_value (line, "reason", reason, sizeof reason);
      if (strcmp (value, id) == 0 && strcmp (msg, "request refused") == 0)
        ctl_explain_read_value (line, "reason", caller_reason,
                                sizeof caller_reason);
    }
  if (caller_reason[0] != '\0')
    memcpy (reason, caller_reason, sizeof reason);
  for (size_t i = 0; i < count; i++)
    if (strcmp (reason_name (ctl_explain_causes[i].reason), reason) == 0)
      {
        fprintf (out, "cause: %s: %s\n", reason, ctl_explain_causes[i].text);
        return;
      }
  if (reason[0] != '\0')
    fprintf (out, "cause: %s\n", reason);
}

enum ctl_opts_exit_status
ctl_explain_lines (FILE *in, const char *id, FILE *out, FILE *err)
{
  char text[CTL_EXPLAIN_LINE_BYTES];
  struct list lines;
  struct list_node *node;

  list_init (&lines);
  while (fgets (text, sizeof text, in) != NULL)
    {
      struct ctl_explain_line *line;
      char time[32];

      if (!ctl_explain_matches_id (text, id))
        continue;
      line = calloc (1, sizeof *line);
      INVARIANT (line != NULL);
      memcpy (line->text, text, sizeof text);
      if (ctl_explain_read_value (text, "time", time, sizeof time))
        line->time = strtod (time, NULL);
      ctl_explain_insert (&lines, line);
    }
  if (list_empty (&lines))
    {
      fprintf (err, "rudderctl: no line mentions id %s\n", id);
      return CTL_OPTS_EXIT_FAILED;
    }
  ctl_explain_show_lines (&lines, out);
  ctl_explain_show_cause (&lines, id, out);
  while ((node = list_pop_head (&lines)) != NULL)
    free (list_entry (node, struct ctl_explain_line, node));
  return CTL_OPTS_EXIT_OK;
}

enum ctl_opts_exit_status
ctl_explain_request (const struct ctl_opts *options, FILE *out, FILE *err)
{
  const struct ctl_opts_command *command = &options->command;
  enum ctl_opts_exit_status status;
  FILE *in = stdin;

  if (command->file[0] != '\0' && strcmp (command->file, "-") != 0)
    in = fopen (command->file, "r");
  if (in == NULL)
    {
      fprintf (err, "rudderctl: cannot read %s\n", command->file);
      return CTL_OPTS_EXIT_USAGE;
    }
  status = ctl_explain_lines (in, command->u.request_id, out, err);
  if (in != stdin)
    fclose (in);
  return status;
}
