#include "programs/ctl_run.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "programs/ctl_apply.h"
#include "programs/ctl_explain.h"
#include "programs/ctl_http.h"
#include "programs/ctl_show.h"
#include "wire/doc.h"

/* Prints the document in force.  Without --json its version goes to ERR, so
   that the output can be saved as a document.  */
static void
ctl_run_show_document (const struct ctl_opts *options,
                       const struct ctl_http_response *response, FILE *out,
                       FILE *err)
{
  char *canonical;
  json_t *document;
  json_t *object;

  if (!options->json)
    {
      canonical = doc_canonical (response->body, response->len);
      fprintf (err, "version %" PRIu64 "\n", response->version);
      fprintf (out, "%s\n", canonical != NULL ? canonical : response->body);
      free (canonical);
      return;
    }
  document = json_loads (response->body, 0, NULL);
  object = json_pack ("{sIso*}", "version", (json_int_t)response->version,
                      "document", document);
  ctl_show_json (out, object);
  json_decref (object);
}

/* Prints the JSON value of a response, or "done" when it has none.  */
static void
ctl_run_show_value (const struct ctl_opts *options,
                    const struct ctl_http_response *response, FILE *out)
{
  json_t *value = json_loads (response->body, 0, NULL);

  if (value == NULL)
    {
      fputs ("done\n", out);
      return;
    }
  if (options->json)
    ctl_show_json (out, value);
  else
    ctl_show_text (out, value);
  json_decref (value);
}

static void
ctl_run_show_response (const struct ctl_opts *options,
                       const struct ctl_http_response *response, FILE *out,
                       FILE *err)
{
  switch (options->command.kind)
    {
    case CTL_OPTS_GET:
      ctl_run_show_document (options, response, out, err);
      return;
    case CTL_OPTS_STATUS:
    case CTL_OPTS_MEMBERS:
    case CTL_OPTS_DRAIN:
      ctl_run_show_value (options, response, out);
      return;
    case CTL_OPTS_VALIDATE:
    case CTL_OPTS_APPLY:
    case CTL_OPTS_EXPLAIN:
      return; /* these print their own output */
    }
}

/* Prints why the node refused the request.  */
static void
ctl_run_report_refused (const struct ctl_http_response *response, FILE *err)
{
  json_t *reply = json_loads (response->body, 0, NULL);
  const char *error = json_string_value (json_object_get (reply, "error"));

  if (error != NULL)
    ctl_show_line (err, error);
  fprintf (err, "rudderctl: refused with HTTP status %d\n", response->status);
  json_decref (reply);
}

/* Sends one request and prints its response.  */
static enum ctl_opts_exit_status
ctl_run_request (const struct ctl_opts *options, const char *method,
                 const char *path, FILE *out, FILE *err)
{
  struct ctl_http_request request
      = ctl_http_make_request (options, method, path);
  enum ctl_opts_exit_status status = CTL_OPTS_EXIT_FAILED;
  struct ctl_http_result result;

  ctl_http_exchange (&request, &result);
  switch (result.kind)
    {
    case CTL_HTTP_RESPONSE:
      if (result.u.response.status / 100 == 2)
        {
          ctl_run_show_response (options, &result.u.response, out, err);
          status = CTL_OPTS_EXIT_OK;
        }
      else if (result.u.response.status == 401)
        fputs ("rudderctl: the operator's token is missing or wrong\n", err);
      else
        ctl_run_report_refused (&result.u.response, err);
      break;
    case CTL_HTTP_FAILED:
      fprintf (err, "rudderctl: %s:%u: %s\n", options->address,
               (unsigned)options->port, result.u.error);
      break;
    }
  ctl_http_result_free (&result);
  return status;
}

enum ctl_opts_exit_status
ctl_run (const struct ctl_opts *options, FILE *out, FILE *err)
{
  switch (options->command.kind)
    {
    case CTL_OPTS_VALIDATE:
      return ctl_apply_validate (options, out, err);
    case CTL_OPTS_APPLY:
      return ctl_apply_document (options, out, err);
    case CTL_OPTS_GET:
      return ctl_run_request (options, "GET", "/v1/document", out, err);
    case CTL_OPTS_STATUS:
      return ctl_run_request (options, "GET", "/v1/status", out, err);
    case CTL_OPTS_MEMBERS:
      return ctl_run_request (options, "GET", "/v1/members", out, err);
    case CTL_OPTS_DRAIN:
      return ctl_run_request (options, "POST", "/v1/drain", out, err);
    case CTL_OPTS_EXPLAIN:
      return ctl_explain_request (options, out, err);
    }
  return CTL_OPTS_EXIT_USAGE;
}
