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

/* One sending of a change.  The node answers within 5 s, also when it did not
   learn the result; waiting less would hide that answer.  */
#define CTA_SEND_MS 6000
#define CTA_RESEND_PAUSE_MS 250
#define CTA_WAIT_PAUSE_MS 200

/* A run of apply.  */
struct cta_run
{
  const struct cto_options *options;
  FILE *out;
  FILE *err;
  clk_us deadline;
  char *text; /* of the document */
  size_t len;
};

/* Reads a whole file; the text is malloc()ed.  */
static char *
cta_read_file (const char *path, size_t *len)
{
  size_t most = SCH_DOCUMENT_BYTES_MAX + 1;
  FILE *file = fopen (path, "r");
  char *text = NULL;

  if (file != NULL)
    text = malloc (most + 1);
  if (text != NULL)
    {
      *len = fread (text, 1, most, file);
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

/* Writes a result: JSON, or the faults of the document for people.  */
static void
cta_show_invalid (const struct cto_options *options, json_t *faults, FILE *out,
                  FILE *err)
{
  json_t *result;

  if (!options->json)
    {
      cts_faults (err, faults);
      return;
    }
  result = json_pack ("{sssO}", "status", "invalid", "faults", faults);
  cts_json (out, result);
  json_decref (result);
}

/* Reads and checks the file; NULL when it was refused.  */
static char *
cta_load (const struct cto_options *options, size_t *len, FILE *out, FILE *err)
{
  const char *path = options->command.file;
  char *text = cta_read_file (path, len);
  json_t *faults;
  int error;

  if (text == NULL)
    {
      fprintf (err, "rudderctl: cannot read \"%s\"\n", path);
      return NULL;
    }
  faults = json_array ();
  error = sr_document_check (text, *len, cts_keep_fault, faults);
  if (error != SR_OK)
    {
      cta_show_invalid (options, faults, out, err);
      fprintf (err, "rudderctl: %s is refused: %s\n", path,
               sr_strerror (error));
      free (text);
      text = NULL;
    }
  json_decref (faults);
  return text;
}

enum cto_exit
cta_validate (const struct cto_options *options, FILE *out, FILE *err)
{
  size_t len;
  char *text = cta_load (options, &len, out, err);

  if (text == NULL)
    return CTO_REFUSED;
  if (options->json)
    fputs ("{\"status\": \"valid\"}\n", out);
  else
    fprintf (out, "%s is valid\n", options->command.file);
  free (text);
  return CTO_DONE;
}

static void
cta_pause (long ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

/* Milliseconds until the deadline of the run, at most MOST.  */
static int64_t
cta_left_ms (const struct cta_run *run, int64_t most)
{
  clk_us now = clk_now ();
  int64_t left = 0;

  if (now < run->deadline)
    left = (int64_t)((run->deadline - now) / CLK_US_PER_MS);
  return left < most ? left : most;
}

/* Writes the difference between the version in force and the file.  */
static void
cta_show_difference (const struct cta_run *run, const char *in_force,
                     size_t len, uint64_t version)
{
  char *before = doc_canonical (in_force, len);
  char *after = doc_canonical (run->text, run->len);
  char *difference = NULL;

  if (after != NULL)
    difference = dif_text (before != NULL ? before : "", after);
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

/* Gets the version in force and shows the difference to it.  A failure only
   costs the difference: the base version decides about conflicts.  */
static void
cta_preview (const struct cta_run *run)
{
  struct cth_request request
      = cth_request_to (run->options, "GET", "/v1/document");
  struct cth_result result;

  request.timeout_ms = cta_left_ms (run, CTA_SEND_MS);
  cth_exchange (&request, &result);
  switch (result.kind)
    {
    case CTH_RESPONSE:
      if (result.u.response.status == 200)
        cta_show_difference (run, result.u.response.body,
                             result.u.response.len, result.u.response.version);
      else if (result.u.response.status == 404)
        cta_show_difference (run, "", 0, 0);
      else
        fprintf (run->err, "no difference shown: HTTP status %d\n",
                 result.u.response.status);
      break;
    case CTH_FAILED:
      fprintf (run->err, "no difference shown: %s\n", result.u.error);
      break;
    }
  cth_result_free (&result);
}

/* Whether the body says that the change was accepted, and as which version. */
static bool
cta_has_version (const char *body)
{
  json_t *reply = json_loads (body, 0, NULL);
  json_int_t version = json_integer_value (json_object_get (reply, "version"));

  json_decref (reply);
  return version > 0;
}

/* Whether the result tells what became of the change.  */
static bool
cta_known (const struct cth_result *result)
{
  if (result->kind == CTH_FAILED || result->u.response.status >= 500)
    return false;
  return result->u.response.status != 200
         || cta_has_version (result->u.response.body);
}

/* Sends the change until its result is known or the time is over.  */
static void
cta_send (const struct cta_run *run, struct cth_result *result)
{
  const struct cto_apply *apply = &run->options->command.u.apply;
  struct cth_request request;
  char path[160];

  snprintf (path, sizeof path, "/v1/document?base=%" PRIu64 "&change_id=%s",
            apply->base, apply->change_id);
  request = cth_request_to (run->options, "PUT", path);
  request.body = run->text;
  request.body_len = run->len;
  for (;;)
    {
      request.timeout_ms = cta_left_ms (run, CTA_SEND_MS);
      if (request.timeout_ms == 0)
        request.timeout_ms = 1;
      cth_exchange (&request, result);
      if (cta_known (result)
          || cta_left_ms (run, CTA_SEND_MS) <= CTA_RESEND_PAUSE_MS)
        return;
      cth_result_free (result);
      cta_pause (CTA_RESEND_PAUSE_MS);
    }
}

/* Asks once how many nodes are behind VERSION; NULL when not known.  */
static json_t *
cta_ask_behind (const struct cta_run *run, uint64_t version)
{
  struct cth_request request;
  struct cth_result result;
  json_t *answer = NULL;
  char path[64];

  snprintf (path, sizeof path, "/v1/behind?version=%" PRIu64, version);
  request = cth_request_to (run->options, "GET", path);
  request.timeout_ms = cta_left_ms (run, CTA_SEND_MS);
  cth_exchange (&request, &result);
  if (result.kind == CTH_RESPONSE && result.u.response.status == 200)
    answer = json_loads (result.u.response.body, 0, NULL);
  cth_result_free (&result);
  if (json_is_integer (json_object_get (answer, "behind")))
    return answer;
  json_decref (answer);
  return NULL;
}

/* Waits until no node is behind; returns the last answer, or NULL.  */
static json_t *
cta_wait (const struct cta_run *run, uint64_t version)
{
  json_t *answer = NULL;

  while (cta_left_ms (run, CTA_SEND_MS) > 0)
    {
      json_decref (answer);
      answer = cta_ask_behind (run, version);
      if (answer != NULL
          && json_integer_value (json_object_get (answer, "behind")) == 0)
        break;
      cta_pause (cta_left_ms (run, CTA_WAIT_PAUSE_MS));
    }
  return answer;
}

/* Waits for all nodes and puts what is known into REPLY.  */
static enum cto_exit
cta_finish_wait (const struct cta_run *run, json_t *reply, uint64_t version)
{
  json_t *answer = cta_wait (run, version);
  json_t *behind = json_object_get (answer, "behind");
  json_t *members = json_object_get (answer, "members");
  bool all = behind != NULL && json_integer_value (behind) == 0;

  json_object_set_new (reply, "behind",
                       behind != NULL ? json_incref (behind) : json_null ());
  if (members != NULL)
    json_object_set (reply, "members", members);
  if (run->options->json)
    ;
  else if (all)
    fprintf (run->out, "in force on every node\n");
  else if (behind == NULL)
    fprintf (run->err, "not known which nodes are behind at the timeout\n");
  else
    {
      fprintf (run->err, "nodes behind at the timeout: ");
      cts_json (run->err, members != NULL ? members : behind);
    }
  json_decref (answer);
  return all ? CTO_DONE : CTO_REFUSED;
}

/* Reports an accepted change.  */
static enum cto_exit
cta_accepted (const struct cta_run *run, json_t *reply)
{
  const struct cto_apply *apply = &run->options->command.u.apply;
  json_int_t version = json_integer_value (json_object_get (reply, "version"));

  if (!run->options->json)
    fprintf (run->out, "accepted as version %" JSON_INTEGER_FORMAT "\n",
             version);
  if (!apply->wait)
    return CTO_DONE;
  return cta_finish_wait (run, reply, (uint64_t)version);
}

/* Says for people why the change was refused.  */
static void
cta_explain (const struct cta_run *run, const json_t *reply, int status)
{
  const struct cto_apply *apply = &run->options->command.u.apply;
  const char *error = json_string_value (json_object_get (reply, "error"));

  if (error != NULL && status != 401)
    cts_line (run->err, error);
  switch (status)
    {
    case 400:
      cts_faults (run->err, json_object_get (reply, "faults"));
      fputs ("rudderctl: the document is refused\n", run->err);
      return;
    case 401:
      fputs ("rudderctl: the operator's token is missing or wrong\n",
             run->err);
      return;
    case 409:
      fprintf (run->err,
               "rudderctl: conflict: version %" JSON_INTEGER_FORMAT
               " is in force, not the base %" PRIu64
               "; get it, redo the change on it and apply with that base\n",
               json_integer_value (json_object_get (reply, "version")),
               apply->base);
      return;
    default:
      fprintf (run->err, "rudderctl: refused with HTTP status %d\n", status);
      return;
    }
}

/* Reports the response to the change.  */
static enum cto_exit
cta_report (const struct cta_run *run, const struct cth_response *response)
{
  json_t *reply = json_loads (response->body, 0, NULL);
  enum cto_exit status = CTO_REFUSED;

  if (!json_is_object (reply))
    {
      json_decref (reply);
      reply = json_pack ("{sssi}", "status", "refused", "http_status",
                         response->status);
    }
  json_object_set_new (reply, "change_id",
                       json_string (run->options->command.u.apply.change_id));
  if (response->status == 200)
    status = cta_accepted (run, reply);
  else if (!run->options->json)
    cta_explain (run, reply, response->status);
  if (run->options->json)
    cts_json (run->out, reply);
  json_decref (reply);
  return status;
}

/* Reports a change whose result did not become known.  */
static enum cto_exit
cta_report_unknown (const struct cta_run *run)
{
  const struct cto_apply *apply = &run->options->command.u.apply;

  if (run->options->json)
    fprintf (run->out, "{\"status\": \"unknown\", \"change_id\": \"%s\"}\n",
             apply->change_id);
  fprintf (run->err,
           "rudderctl: the result is not known; send it again with --base "
           "%" PRIu64 " --change-id %s\n",
           apply->base, apply->change_id);
  return CTO_REFUSED;
}

enum cto_exit
cta_apply (const struct cto_options *options, FILE *out, FILE *err)
{
  const struct cto_apply *apply = &options->command.u.apply;
  struct cta_run run = { .options = options, .out = out, .err = err };
  struct cth_result result;
  enum cto_exit status;

  run.text = cta_load (options, &run.len, out, err);
  if (run.text == NULL)
    return CTO_REFUSED;
  if (apply->change_id_made)
    {
      fprintf (err, "change id %s\n", apply->change_id);
      fflush (err);
    }
  run.deadline = clk_now () + clk_ms (options->timeout_ms);
  if (!options->quiet)
    cta_preview (&run);
  cta_send (&run, &result);
  if (cta_known (&result))
    status = cta_report (&run, &result.u.response);
  else
    status = cta_report_unknown (&run);
  cth_result_free (&result);
  free (run.text);
  return status;
}
