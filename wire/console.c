#include "wire/console.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sycamorerudder.h"
#include "wire/consoleform.h"
#include "wire/diff.h"
#include "wire/doc.h"
#include "wire/formdoc.h"
#include "wire/html.h"
#include "wire/urlform.h"

#define CONSOLE_VERSION_DIGITS 24
#define CONSOLE_CHANGE_ID_CHARS                                               \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

enum console_action_kind
{
  CONSOLE_ACT_REVIEW,
  CONSOLE_ACT_DOWNLOAD,
  CONSOLE_ACT_SHOW_FORM, /* return to the form */
  CONSOLE_ACT_APPLY,
  CONSOLE_ACT_EDIT_LISTS, /* add or remove a service or kind */
};

struct console_action
{
  enum console_action_kind kind;
  union
  {
    struct formdoc_edit list_edit;
  } u;
};

/* A submitted form.  */
struct console_form
{
  struct urlform fields;
  json_t *document;
  char *text;       /* of the document, compact */
  json_t *faults;   /* as consoleform_faults() */
  const char *base; /* version that the form is based on */
  uint64_t base_number;
};

/* Parses the value of the pressed button.  An absent value is a review, an
   unknown one returns to the form.  */
static struct console_action
console_parse_action (const char *value)
{
  struct console_action action = { .kind = CONSOLE_ACT_REVIEW };
  struct formdoc_edit *edit = &action.u.list_edit;

  if (value == NULL || strcmp (value, CONSOLEFORM_REVIEW) == 0)
    return action;
  action.kind = CONSOLE_ACT_EDIT_LISTS;
  if (strcmp (value, CONSOLEFORM_DOWNLOAD) == 0)
    action.kind = CONSOLE_ACT_DOWNLOAD;
  else if (strcmp (value, CONSOLEFORM_APPLY) == 0)
    action.kind = CONSOLE_ACT_APPLY;
  else if (strcmp (value, CONSOLEFORM_ADD_SERVICE) == 0)
    edit->op = FORMDOC_ADD_SERVICE;
  else if (sscanf (value, CONSOLEFORM_REMOVE_SERVICE "%9zu",
                   &edit->service_index)
           == 1)
    edit->op = FORMDOC_REMOVE_SERVICE;
  else if (sscanf (value, CONSOLEFORM_ADD_KIND "%9zu", &edit->service_index)
           == 1)
    edit->op = FORMDOC_ADD_KIND;
  else if (sscanf (value, CONSOLEFORM_REMOVE_KIND "%9zu.%9zu",
                   &edit->service_index, &edit->kind_index)
           == 2)
    edit->op = FORMDOC_REMOVE_KIND;
  else
    action.kind = CONSOLE_ACT_SHOW_FORM;
  return action;
}

/* Parses a version number; 0 when TEXT is not one.  */
static uint64_t
console_parse_version (const char *text)
{
  char *end;
  uint64_t version;

  errno = 0;
  version = strtoull (text, &end, 10);
  if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0)
    return 0;
  return version;
}

/* Reads the document and base version from the fields and validates the
   document.  */
static int
console_form_read (struct console_form *form)
{
  const char *document = urlform_get (&form->fields, "document");

  form->base = urlform_get (&form->fields, "base");
  if (form->base == NULL)
    form->base = "0";
  form->base_number = console_parse_version (form->base);
  if (document != NULL)
    form->document = json_loads (document, JSON_REJECT_DUPLICATES, NULL);
  if (form->document == NULL)
    form->document = formdoc_read (&form->fields);
  form->text = json_dumps (form->document, JSON_COMPACT | JSON_SORT_KEYS);
  if (form->text == NULL)
    return SR_ENOMEM;
  form->faults = consoleform_faults (form->text, strlen (form->text));
  return form->faults == NULL ? SR_ENOMEM : SR_OK;
}

static void
console_form_free (struct console_form *form)
{
  urlform_free (&form->fields);
  json_decref (form->document);
  json_decref (form->faults);
  free (form->text);
}

/* Starts a page with TITLE; NULL when out of memory.  */
static FILE *
console_start (struct console_response *response, int status,
               const char *title)
{
  FILE *out;

  response->kind = CONSOLE_PAGE;
  response->u.page.status = status;
  response->u.page.html = NULL;
  out = open_memstream (&response->u.page.html, &response->u.page.len);
  if (out != NULL)
    html_page_start (out, title);
  return out;
}

/* Ends the page and closes OUT; SR_OK or SR_ENOMEM.  */
static int
console_finish (FILE *out, struct console_response *response)
{
  html_page_end (out);
  if (fclose (out) == 0)
    return SR_OK;
  free (response->u.page.html);
  response->u.page.html = NULL;
  return SR_ENOMEM;
}

/* Writes a link to the form for the current version.  */
static void
console_write_restart_link (FILE *out)
{
  fputs ("<p><a href=\"/console\">Start from the version in force</a></p>\n",
         out);
}

/* Writes the difference between the current version and the document TEXT.  */
static void
console_write_difference (FILE *out, const struct console_current *current,
                          const char *text)
{
  char *before = NULL;
  char *after = doc_canonical (text, strlen (text));
  char *difference = NULL;

  if (current->version > 0)
    before = doc_canonical (current->document, current->len);
  if (after != NULL)
    difference = diff_text (before != NULL ? before : "", after);
  if (difference == NULL)
    fputs ("<p>The difference cannot be shown.</p>\n", out);
  else if (difference[0] == '\0')
    fprintf (out, "<p>No difference to version %" PRIu64 ".</p>\n",
             current->version);
  else
    {
      fprintf (out,
               "<h2>Difference to version %" PRIu64
               "</h2>\n<pre tabindex=\"0\">\n",
               current->version);
      html_text (out, difference);
      fputs ("</pre>\n", out);
    }
  free (before);
  free (after);
  free (difference);
}

/* Writes a form with a whole change in hidden fields, and its buttons.  */
static void
console_write_change (FILE *out, const char *base, const char *change_id,
                      const char *text, const char *apply_label)
{
  fputs ("<form method=\"post\" action=\"/console\">\n", out);
  html_hidden (out, "base", base);
  html_hidden (out, "change_id", change_id);
  html_hidden (out, "document", text);
  fputs ("<div class=\"field\">\n<label for=\"token\">Operator's token"
         "</label>\n<input type=\"password\" id=\"token\" name=\"token\" "
         "autocomplete=\"off\" aria-describedby=\"token-help\">\n"
         "<p class=\"help\" id=\"token-help\">Needed when the node has an "
         "operator token file.</p>\n</div>\n",
         out);
  html_button (out, CONSOLEFORM_APPLY, apply_label);
  html_button (out, CONSOLEFORM_DOWNLOAD, "Download the document");
  html_button (out, CONSOLEFORM_EDIT, "Back to the form");
  fputs ("</form>\n", out);
}

/* Responds with the form for DOCUMENT.  */
static int
console_show_form (const json_t *document, const json_t *faults,
                   const char *base, struct console_response *response)
{
  bool faulty = json_object_size (faults) > 0;
  FILE *out = console_start (response, faulty ? 400 : 200, "Configuration");

  if (out == NULL)
    return SR_ENOMEM;
  fputs ("<p>Based on version ", out);
  html_text (out, base);
  fputs (". Keep the downloaded document in version control; it can be "
         "applied here or with <code>rudderctl apply</code>.</p>\n",
         out);
  consoleform_write (out, document, faults, base);
  return console_finish (out, response);
}

/* Responds to GET with the form for the current version.  */
static int
console_show (const struct console_current *current,
              struct console_response *response)
{
  json_t *document = NULL;
  char base[CONSOLE_VERSION_DIGITS];
  int error;

  if (current->version > 0)
    document = json_loadb (current->document, current->len, 0, NULL);
  snprintf (base, sizeof base, "%" PRIu64, current->version);
  error = console_show_form (document, NULL, base, response);
  json_decref (document);
  return error;
}

/* Responds with the change and its difference to the current version.  */
static int
console_review (const struct console_request *request,
                const struct console_form *form,
                struct console_response *response)
{
  FILE *out = console_start (response, 200, "Review the change");

  if (out == NULL)
    return SR_ENOMEM;
  if (form->base_number != request->current.version)
    {
      fprintf (out,
               "<p class=\"fault\" role=\"alert\">Version %" PRIu64
               " is in force by now; this change is based on version %" PRIu64
               " and will be refused.</p>\n",
               request->current.version, form->base_number);
      console_write_restart_link (out);
    }
  console_write_difference (out, &request->current, form->text);
  console_write_change (out, form->base, request->new_change_id, form->text,
                        "Apply this change");
  return console_finish (out, response);
}

/* Responds with the document as a file.  */
static int
console_download (const struct console_form *form,
                  struct console_response *response)
{
  char *text = doc_canonical (form->text, strlen (form->text));
  size_t len;
  char *file;

  if (text == NULL)
    return SR_ENOMEM;
  len = strlen (text);
  file = realloc (text, len + 2);
  if (file == NULL)
    {
      free (text);
      return SR_ENOMEM;
    }
  file[len] = '\n';
  file[len + 1] = '\0';
  response->kind = CONSOLE_DOWNLOAD;
  response->u.download.document = file;
  response->u.download.len = len + 1;
  return SR_OK;
}

/* Responds with an error page for input that the pages of the console do not
   send.  */
static int
console_refuse (const char *text, struct console_response *response)
{
  FILE *out = console_start (response, 400, "The form is refused");

  if (out == NULL)
    return SR_ENOMEM;
  fprintf (out, "<p class=\"fault\" role=\"alert\">%s</p>\n", text);
  console_write_restart_link (out);
  return console_finish (out, response);
}

/* Responds with the change that the node is to apply.  */
static int
console_apply (struct console_form *form, struct console_response *response)
{
  struct console_change *apply = &response->u.apply;
  const char *change_id = urlform_get (&form->fields, "change_id");
  const char *token = urlform_get (&form->fields, "token");
  size_t id_len = change_id == NULL ? 0 : strlen (change_id);

  if (id_len == 0 || id_len >= sizeof apply->change_id
      || strspn (change_id, CONSOLE_CHANGE_ID_CHARS) != id_len)
    return console_refuse ("The change id must be 1 to 63 letters, digits, "
                           "\"-\", \"_\" or \".\".",
                           response);
  if (token != NULL && strlen (token) >= sizeof apply->token)
    return console_refuse ("The token is too long.", response);
  response->kind = CONSOLE_APPLY;
  apply->base = form->base_number;
  memcpy (apply->change_id, change_id, id_len + 1);
  snprintf (apply->token, sizeof apply->token, "%s",
            token == NULL ? "" : token);
  apply->document = form->text;
  apply->len = strlen (form->text);
  form->text = NULL;
  return SR_OK;
}

/* Performs the action of the pressed button.  An invalid document is shown in
   the form with its faults, and is not reviewed, downloaded or applied.  */
static int
console_run_action (const struct console_request *request,
                    struct console_form *form,
                    struct console_response *response)
{
  struct console_action action
      = console_parse_action (urlform_get (&form->fields, "action"));
  bool valid = json_object_size (form->faults) == 0;

  switch (action.kind)
    {
    case CONSOLE_ACT_EDIT_LISTS:
      formdoc_edit (form->document, &action.u.list_edit);
      return console_show_form (form->document, NULL, form->base, response);
    case CONSOLE_ACT_SHOW_FORM:
      return console_show_form (form->document, NULL, form->base, response);
    case CONSOLE_ACT_REVIEW:
      if (valid)
        return console_review (request, form, response);
      break;
    case CONSOLE_ACT_DOWNLOAD:
      if (valid)
        return console_download (form, response);
      break;
    case CONSOLE_ACT_APPLY:
      if (valid)
        return console_apply (form, response);
      break;
    }
  return console_show_form (form->document, form->faults, form->base,
                            response);
}

/* Responds to POST.  */
static int
console_submit (const struct console_request *request,
                struct console_response *response)
{
  struct console_form form = { 0 };
  int error = urlform_parse (&form.fields, request->u.submit.body,
                             request->u.submit.len);

  if (error == SR_OK)
    error = console_form_read (&form);
  if (error == SR_OK)
    error = console_run_action (request, &form, response);
  else if (error == SR_EFULL)
    error = console_refuse ("The form is too long.", response);
  console_form_free (&form);
  return error;
}

/* Page for one result of a change.  */
struct console_outcome_row
{
  int status;
  const char *title;
  const char *text;
};

static const struct console_outcome_row console_outcomes[] = {
  [CONSOLE_ACCEPTED] = { 200, "The change is accepted",
                         "It will be in force on every node within seconds." },
  [CONSOLE_CONFLICT]
  = { 409, "Conflict",
      "Another change was accepted first. Compare, start from "
      "the version in force and make your change again." },
  [CONSOLE_DENIED]
  = { 401, "Not permitted", "The operator's token is missing or wrong." },
  [CONSOLE_UNAVAILABLE]
  = { 503, "The result is not known",
      "No quorum of control replicas confirmed the change "
      "in time. Sending it again is safe." },
};

/* Responds with the result of a change.  */
static int
console_show_result (const struct console_request *request,
                     struct console_response *response)
{
  enum console_outcome outcome = request->u.result.outcome;
  const struct console_change *change = request->u.result.change;
  const struct console_outcome_row *row = &console_outcomes[outcome];
  FILE *out = console_start (response, row->status, row->title);
  char base[CONSOLE_VERSION_DIGITS];

  if (out == NULL)
    return SR_ENOMEM;
  snprintf (base, sizeof base, "%" PRIu64, change->base);
  fprintf (out, "<p role=\"status\">%s</p>\n", row->text);
  switch (outcome)
    {
    case CONSOLE_ACCEPTED:
      fprintf (out, "<p>Version %" PRIu64 ".</p>\n",
               request->u.result.version);
      break;
    case CONSOLE_CONFLICT:
      fprintf (out,
               "<p>Version %" PRIu64 " is in force; the change was based on "
               "version %" PRIu64 ".</p>\n",
               request->u.result.version, change->base);
      console_write_difference (out, &request->current, change->document);
      break;
    case CONSOLE_DENIED:
    case CONSOLE_UNAVAILABLE:
      console_write_change (out, base, change->change_id, change->document,
                            "Send the same change again");
      break;
    }
  console_write_restart_link (out);
  return console_finish (out, response);
}

int
console_respond (const struct console_request *request,
                 struct console_response *response)
{
  switch (request->kind)
    {
    case CONSOLE_SHOW:
      return console_show (&request->current, response);
    case CONSOLE_SUBMIT:
      return console_submit (request, response);
    case CONSOLE_RESULT:
      return console_show_result (request, response);
    }
  return SR_EINVAL;
}

void
console_response_free (struct console_response *response)
{
  switch (response->kind)
    {
    case CONSOLE_PAGE:
      free (response->u.page.html);
      return;
    case CONSOLE_DOWNLOAD:
      free (response->u.download.document);
      return;
    case CONSOLE_APPLY:
      free (response->u.apply.document);
      return;
    }
}

/* Whether the Host field contains an IP address or "localhost".  */
static bool
console_host_is_local (const char *host)
{
  static const char local[] = "localhost";
  size_t len = strlen (local);

  if (strncmp (host, local, len) == 0 && (host[len] == ':' || !host[len]))
    return true;
  return host[0] != '\0'
         && strspn (host, "0123456789abcdef.:[]") == strlen (host)
         && (host[0] == '[' || strspn (host, "0123456789.:") == strlen (host));
}

bool
console_same_origin (const char *origin, const char *host)
{
  static const char scheme[] = "http://";
  size_t len = strlen (scheme);

  if (host == NULL || !console_host_is_local (host))
    return false;
  if (origin == NULL)
    return true;
  return strncmp (origin, scheme, len) == 0
         && strcmp (origin + len, host) == 0;
}
