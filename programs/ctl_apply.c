#include "programs/ctl_apply.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/clk.h"
#include "programs/ctl_http.h"
#include "programs/ctl_show.h"
#include "wire/diff.h"
#include "wire/doc.h"
#include "wire/schema.h"

/* Timeout of one attempt to send the change.  The node answers within 5 s even
   when it does not know the result, and a shorter timeout would miss that
   answer.  */
#define CTL_APPLY_ATTEMPT_TIMEOUT_MS 6000
#define CTL_APPLY_RESEND_DELAY_MS 250
#define CTL_APPLY_POLL_INTERVAL_MS 200

/* State of one "rudderctl apply".  */
struct ctl_apply_run
{
  const struct ctl_opts *options;
  FILE *out;
  FILE *err;
  clk_us deadline;
  char *document; /* JSON text of the file */
  size_t document_len;
};

/* Reads a file into a malloc()ed string, up to one byte more than a document
   may have, so that a longer one is refused by its length.  Returns NULL on
   failure.  */
static char *
ctl_apply_read_file (const char *path, size_t *len)
{
  size_t bytes_max = SCHEMA_DOCUMENT_BYTES_MAX + 1;
  FILE *file = fopen (path, "r");
  char *text = NULL;

  if (file != NULL)
    text = malloc (bytes_max + 1);
  if (text != NULL)
    {
      *len = fread (text, 1, bytes_max, file);
      text[*len] = '\0';
      if (ferror (file))
        {
          free (text);
          text = NULL;
        }
    }
  if (file != NULL)
    fclose (file);
  return text;
}

/* Prints the faults of an invalid document: JSON on OUT with --json, otherwise
   text on ERR.  */
static void
ctl_apply_show_invalid (const struct ctl_opts *options, json_t *faults,
                        FILE *out, FILE *err)
{
  json_t *result;

  if (!options->json)
    {
      ctl_show_faults (err, faults);
      return;
    }
  result = json_pack ("{sssO}", "status", "invalid", "faults", faults);
  ctl_show_json (out, result);
  json_decref (result);
}

/* Reads and validates the document.  Prints a message and returns NULL when
   the file cannot be read or is invalid.  */
static char *
ctl_apply_read_document (const struct ctl_opts *options, size_t *len,
                         FILE *out, FILE *err)
{
  const char *path = options->command.file;
  char *text = ctl_apply_read_file (path, len);
  json_t *faults;
  int error;

  if (text == NULL)
    {
      fprintf (err, "rudderctl: cannot read \"%s\"\n", path);
      return NULL;
    }
  faults = json_array ();
  error = sr_document_check (text, *len, ctl_show_append_fault, faults);
  if (error != SR_OK)
    {
      ctl_apply_show_invalid (options, faults, out, err);
      fprintf (err, "rudderctl: %s is invalid: %s\n", path,
               sr_strerror (error));
      free (text);
      text = NULL;
    }
  json_decref (faults);
  return text;
}

enum ctl_opts_exit_status
ctl_apply_validate (const struct ctl_opts *options, FILE *out, FILE *err)
{
  size_t len;
  char *text = ctl_apply_read_document (options, &len, out, err);

  if (text == NULL)
    return CTL_OPTS_EXIT_FAILED;
  if (options->json)
    fputs ("{\"status\": \"valid\"}\n", out);
  else
    fprintf (out, "%s is valid\n", options->command.file);
  free (text);
  return CTL_OPTS_EXIT_OK;
}

static void
ctl_apply_sleep (long ms)
{
  struct timespec delay = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&delay, NULL);
}

/* Time until the deadline in milliseconds, at most MAX_MS.  */
static int64_t
ctl_apply_remaining_ms (const struct ctl_apply_run *run, int64_t max_ms)
{
  clk_us now = clk_now ();
  int64_t remaining = 0;

  if (now < run->deadline)
    remaining = (int64_t)((run->deadline - now) / CLK_US_PER_MS);
  return remaining < max_ms ? remaining : max_ms;
}

/* Prints the difference between the document in force, which is the LEN bytes
   at IN_FORCE, and the file.  */
static void
ctl_apply_show_difference (const struct ctl_apply_run *run,
                           const char *in_force, size_t len, uint64_t version)
{
  char *before = doc_canonical (in_force, len);
  char *after = doc_canonical (run->document, run->document_len);
  char *difference = NULL;

  if (after != NULL)
    difference = diff_text (before != NULL ? before : "", after);
  if (difference == NULL)
    fputs ("rudderctl: out of memory\n", run->err);
  else if (difference[0] == '\0')
    fprintf (run->err, "no difference to version %" PRIu64 "\n", version);
  else
    fprintf (run->err, "difference to version %" PRIu64 ":\n%s", version,
             difference);
  free (before);
  free (after);
  free (difference);
}

/* Gets the document in force and prints the difference to it.  When this fails
   the change is still sent: the node detects conflicts by the base version. */
static void
ctl_apply_preview (const struct ctl_apply_run *run)
{
  struct ctl_http_request request
      = ctl_http_make_request (run->options, "GET", "/v1/document");
  struct ctl_http_result result;

  request.timeout_ms
      = ctl_apply_remaining_ms (run, CTL_APPLY_ATTEMPT_TIMEOUT_MS);
  ctl_http_exchange (&request, &result);
  switch (result.kind)
    {
    case CTL_HTTP_RESPONSE:
      if (result.u.response.status == 200)
        ctl_apply_show_difference (run, result.u.response.body,
                                   result.u.response.len,
                                   result.u.response.version);
      else if (result.u.response.status == 404)
        ctl_apply_show_difference (run, "", 0, 0);
      else
        fprintf (run->err, "no difference shown: HTTP status %d\n",
                 result.u.response.status);
      break;
    case CTL_HTTP_FAILED:
      fprintf (run->err, "no difference shown: %s\n", result.u.error);
      break;
    }
  ctl_http_result_free (&result);
}

/* Whether BODY is JSON with the version number of an accepted change.  */
static bool
ctl_apply_has_version (const char *body)
{
  json_t *reply = json_loads (body, 0, NULL);
  json_int_t version = json_integer_value (json_object_get (reply, "version"));

  json_decref (reply);
  return version > 0;
}

/* Whether the result says if the change was accepted or refused.  A failed
   exchange, a status of 500 or above and a 200 without a version leave that
   open.  */
static bool
ctl_apply_outcome_known (const struct ctl_http_result *result)
{
  if (result->kind == CTL_HTTP_FAILED || result->u.response.status >= 500)
    return false;
  return result->u.response.status != 200
         || ctl_apply_has_version (result->u.response.body);
}

/* Sends the change, again with the same change id while its outcome is
   unknown, until the timeout of the command.  */
static void
ctl_apply_send (const struct ctl_apply_run *run,
                struct ctl_http_result *result)
{
  const struct ctl_opts_apply *apply = &run->options->command.u.apply;
  struct ctl_http_request request;
  char path[160];

  snprintf (path, sizeof path, "/v1/document?base=%" PRIu64 "&change_id=%s",
            apply->base_version, apply->change_id);
  request = ctl_http_make_request (run->options, "PUT", path);
  request.body = run->document;
  request.body_len = run->document_len;
  for (;;)
    {
      request.timeout_ms
          = ctl_apply_remaining_ms (run, CTL_APPLY_ATTEMPT_TIMEOUT_MS);
      if (request.timeout_ms == 0)
        request.timeout_ms = 1;
      ctl_http_exchange (&request, result);
      if (ctl_apply_outcome_known (result)
          || ctl_apply_remaining_ms (run, CTL_APPLY_ATTEMPT_TIMEOUT_MS)
                 <= CTL_APPLY_RESEND_DELAY_MS)
        return;
      ctl_http_result_free (result);
      ctl_apply_sleep (CTL_APPLY_RESEND_DELAY_MS);
    }
}

/* Gets the nodes that do not have VERSION yet: JSON with the number "behind",
   or NULL when no valid response arrives.  */
static json_t *
ctl_apply_get_lagging (const struct ctl_apply_run *run, uint64_t version)
{
  struct ctl_http_request request;
  struct ctl_http_result result;
  json_t *answer = NULL;
  char path[64];

  snprintf (path, sizeof path, "/v1/behind?version=%" PRIu64, version);
  request = ctl_http_make_request (run->options, "GET", path);
  request.timeout_ms
      = ctl_apply_remaining_ms (run, CTL_APPLY_ATTEMPT_TIMEOUT_MS);
  ctl_http_exchange (&request, &result);
  if (result.kind == CTL_HTTP_RESPONSE && result.u.response.status == 200)
    answer = json_loads (result.u.response.body, 0, NULL);
  ctl_http_result_free (&result);
  if (json_is_integer (json_object_get (answer, "behind")))
    return answer;
  json_decref (answer);
  return NULL;
}

/* Polls until no node is behind VERSION or the timeout has passed.  Returns
   the last response, or NULL.  */
static json_t *
ctl_apply_wait_for_nodes (const struct ctl_apply_run *run, uint64_t version)
{
  json_t *answer = NULL;

  while (ctl_apply_remaining_ms (run, CTL_APPLY_ATTEMPT_TIMEOUT_MS) > 0)
    {
      json_decref (answer);
      answer = ctl_apply_get_lagging (run, version);
      if (answer != NULL
          && json_integer_value (json_object_get (answer, "behind")) == 0)
        break;
      ctl_apply_sleep (
          ctl_apply_remaining_ms (run, CTL_APPLY_POLL_INTERVAL_MS));
    }
  return answer;
}

/* Waits until all nodes have VERSION, prints the result and adds the nodes
   that are still behind to REPLY.  */
static enum ctl_opts_exit_status
ctl_apply_report_wait (const struct ctl_apply_run *run, json_t *reply,
                       uint64_t version)
{
  json_t *answer = ctl_apply_wait_for_nodes (run, version);
  json_t *behind = json_object_get (answer, "behind");
  json_t *members = json_object_get (answer, "members");
  bool all_nodes = behind != NULL && json_integer_value (behind) == 0;

  json_object_set_new (reply, "behind",
                       behind != NULL ? json_incref (behind) : json_null ());
  if (members != NULL)
    json_object_set (reply, "members", members);
  if (run->options->json)
    ;
  else if (all_nodes)
    fprintf (run->out, "in force on every node\n");
  else if (behind == NULL)
    fprintf (run->err, "not known which nodes are behind at the timeout\n");
  else
    {
      fprintf (run->err, "nodes behind at the timeout: ");
      ctl_show_json (run->err, members != NULL ? members : behind);
    }
  json_decref (answer);
  return all_nodes ? CTL_OPTS_EXIT_OK : CTL_OPTS_EXIT_FAILED;
}

/* Prints the new version and, with --wait, waits until all nodes have it.  */
static enum ctl_opts_exit_status
ctl_apply_report_accepted (const struct ctl_apply_run *run, json_t *reply)
{
  const struct ctl_opts_apply *apply = &run->options->command.u.apply;
  json_int_t version = json_integer_value (json_object_get (reply, "version"));

  if (!run->options->json)
    fprintf (run->out, "accepted as version %" JSON_INTEGER_FORMAT "\n",
             version);
  if (!apply->wait_for_nodes)
    return CTL_OPTS_EXIT_OK;
  return ctl_apply_report_wait (run, reply, (uint64_t)version);
}

/* Prints as text why the change was refused.  */
static void
ctl_apply_report_refused (const struct ctl_apply_run *run, const json_t *reply,
                          int status)
{
  const struct ctl_opts_apply *apply = &run->options->command.u.apply;
  const char *error = json_string_value (json_object_get (reply, "error"));

  if (error != NULL && status != 401)
    ctl_show_line (run->err, error);
  switch (status)
    {
    case 400:
      ctl_show_faults (run->err, json_object_get (reply, "faults"));
      fputs ("rudderctl: the document is invalid\n", run->err);
      return;
    case 401:
      fputs ("rudderctl: the operator's token is missing or wrong\n",
             run->err);
      return;
    case 409:
      fprintf (run->err,
               "rudderctl: conflict: version %" JSON_INTEGER_FORMAT
               " is in force, not the base %" PRIu64
               "; get that version, repeat the change on it and apply it with "
               "that base\n",
               json_integer_value (json_object_get (reply, "version")),
               apply->base_version);
      return;
    default:
      fprintf (run->err, "rudderctl: refused with HTTP status %d\n", status);
      return;
    }
}

/* Prints the response to the change and returns the exit status.  */
static enum ctl_opts_exit_status
ctl_apply_report (const struct ctl_apply_run *run,
                  const struct ctl_http_response *response)
{
  json_t *reply = json_loads (response->body, 0, NULL);
  enum ctl_opts_exit_status status = CTL_OPTS_EXIT_FAILED;

  if (!json_is_object (reply))
    {
      json_decref (reply);
      reply = json_pack ("{sssi}", "status", "refused", "http_status",
                         response->status);
    }
  json_object_set_new (reply, "change_id",
                       json_string (run->options->command.u.apply.change_id));
  if (response->status == 200)
    status = ctl_apply_report_accepted (run, reply);
  else if (!run->options->json)
    ctl_apply_report_refused (run, reply, response->status);
  if (run->options->json)
    ctl_show_json (run->out, reply);
  json_decref (reply);
  return status;
}

/* Prints that the outcome is unknown, with the options that resend the change
   under the same change id.  */
static enum ctl_opts_exit_status
ctl_apply_report_unknown (const struct ctl_apply_run *run)
{
  const struct ctl_opts_apply *apply = &run->options->command.u.apply;

  if (run->options->json)
    fprintf (run->out, "{\"status\": \"unknown\", \"change_id\": \"%s\"}\n",
             apply->change_id);
  fprintf (run->err,
           "rudderctl: the result is not known; send it again with --base "
           "%" PRIu64 " --change-id %s\n",
           apply->base_version, apply->change_id);
  return CTL_OPTS_EXIT_FAILED;
}

enum ctl_opts_exit_status
ctl_apply_document (const struct ctl_opts *options, FILE *out, FILE *err)
{
  const struct ctl_opts_apply *apply = &options->command.u.apply;
  struct ctl_apply_run run = { .options = options, .out = out, .err = err };
  struct ctl_http_result result;
  enum ctl_opts_exit_status status;

  run.document
      = ctl_apply_read_document (options, &run.document_len, out, err);
  if (run.document == NULL)
    return CTL_OPTS_EXIT_FAILED;
  if (apply->change_id_generated)
    {
      fprintf (err, "change id %s\n", apply->change_id);
      fflush (err);
    }
  run.deadline = clk_now () + clk_ms (options->timeout_ms);
  if (!options->quiet)
    ctl_apply_preview (&run);
  ctl_apply_send (&run, &result);
  if (ctl_apply_outcome_known (&result))
    status = ctl_apply_report (&run, &result.u.response);
  else
    status = ctl_apply_report_unknown (&run);
  ctl_http_result_free (&result);
  free (run.document);
  return status;
}
