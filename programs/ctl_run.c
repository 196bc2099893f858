#include "programs/ctl_run.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "programs/ctl_apply.h"
#include "programs/ctl_explain.h"
#include "programs/ctl_http.h"
#include "programs/ctl_show.h"
#include "wire/doc.h"

/* Shows the document in force; the version goes to ERR, so that the output
   can be kept as a file.  */
static void
ctl_show_document (const struct cto_options *options,
                   const struct cth_response *response, FILE *out, FILE *err)
{
  char *canonical;
  json_t *document;
  json_t *shown;

  if (!options->json)
    {
      canonical = doc_canonical (response->body, response->len);
      fprintf (err, "version %" PRIu64 "\n", response->version);
      fprintf (out, "%s\n", canonical != NULL ? canonical : response->body);
      free (canonical);
      return;
    }
  document = json_loads (response->body, 0, NULL);
  shown = json_pack ("{sIso*}", "version", (json_int_t)response->version,
                     "document", document);
  cts_json (out, shown);
  json_decref (shown);
}

/* Shows a response in JSON.  */
static void
ctl_show_json (const struct cto_options *options,
               const struct cth_response *response, FILE *out)
{
  json_t *value = json_loads (response->body, 0, NULL);

  if (value == NULL)
    {
      fputs ("done\n", out);
      return;
    }
  if (options->json)
    cts_json (out, value);
  else
    cts_text (out, value);
  json_decref (value);
}

static void
ctl_show (const struct cto_options *options,
          const struct cth_response *response, FILE *out, FILE *err)
{
  switch (options->command.kind)
    {
    case CTO_GET:
      ctl_show_document (options, response, out, err);
      return;
    case CTO_STATUS:
    case CTO_MEMBERS:
    case CTO_DRAIN:
      ctl_show_json (options, response, out);
      return;
    case CTO_VALIDATE:
    case CTO_APPLY:
    case CTO_EXPLAIN:
      return; /* these have their own output */
    }
}

/* Says why the node refused.  */
static void
ctl_refused (const struct cth_response *response, FILE *err)
{
  json_t *reply = json_loads (response->body, 0, NULL);
  const char *error = json_string_value (json_object_get (reply, "error"));

  if (error != NULL)
    cts_line (err, error);
  fprintf (err, "rudderctl: refused with HTTP status %d\n", response->status);
  json_decref (reply);
}

/* Sends one request and shows its response.  */
static enum cto_exit
ctl_ask (const struct cto_options *options, const char *method,
         const char *path, FILE *out, FILE *err)
{
  struct cth_request request = cth_request_to (options, method, path);
  enum cto_exit status = CTO_REFUSED;
  struct cth_result result;

  cth_exchange (&request, &result);
  switch (result.kind)
    {
    case CTH_RESPONSE:
      if (result.u.response.status / 100 == 2)
        {
          ctl_show (options, &result.u.response, out, err);
          status = CTO_DONE;
        }
      else if (result.u.response.status == 401)
        fputs ("rudderctl: the operator's token is missing or wrong\n", err);
      else
        ctl_refused (&result.u.response, err);
      break;
    case CTH_FAILED:
      fprintf (err, "rudderctl: %s:%u: %s\n", options->address,
               (unsigned)options->port, result.u.error);
      break;
    }
  cth_result_free (&result);
  return status;
}

enum cto_exit
ctl_run (const struct cto_options *options, FILE *out, FILE *err)
{
  switch (options->command.kind)
    {
    case CTO_VALIDATE:
      return cta_validate (options, out, err);
    case CTO_APPLY:
      return cta_apply (options, out, err);
    case CTO_GET:
      return ctl_ask (options, "GET", "/v1/document", out, err);
    case CTO_STATUS:
      return ctl_ask (options, "GET", "/v1/status", out, err);
    case CTO_MEMBERS:
      return ctl_ask (options, "GET", "/v1/members", out, err);
    case CTO_DRAIN:
      return ctl_ask (options, "POST", "/v1/drain", out, err);
    case CTO_EXPLAIN:
      return cte_explain (options, out, err);
    }
  return CTO_USAGE;
}
