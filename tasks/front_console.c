#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tasks/front_state.h"

/* Generates a random change id in hexadecimal.  */
static void
front_console_new_change_id (char out[RNG_ID_DIGITS + 1])
{
  uint8_t id[RNG_ID_BYTES];

  rng_os_bytes (id, sizeof id);
  digest_hex (id, sizeof id, out);
}

/* Whether a change carries the operators' token, or comes from loopback when
   none is set.  */
static bool
front_console_is_authorized (const struct front_admin_request *request)
{
  const char *token = request->front->opts.operator_token;

  if (token == NULL)
    return request->loopback;
  return front_admin_equal_constant_time (request->change.token, token);
}

void
front_console_start (struct front_admin_request *request)
{
  if (!request->front->opts.control_replica)
    {
      front_admin_answer_error (request, 404,
                                "the console is on control replicas");
      return;
    }
  if (strcmp (request->method, "POST") == 0 && !request->same_origin)
    {
      front_admin_answer_error (request, 403,
                                "the form comes from another site");
      return;
    }
  request->console_state = FRONT_CONSOLE_PAGE;
  front_admin_forward (request, MSG_ADMIN_GET);
}

static void
front_console_answer_page (struct front_admin_request *request,
                           struct console_response *response)
{
  request->content_security_policy = CONSOLE_PAGE_POLICY;
  front_admin_answer (request, response->u.page.status, CONSOLE_PAGE_TYPE,
                      strdup (response->u.page.html));
}

static void front_console_show_result (struct front_admin_request *request,
                                       enum console_outcome outcome,
                                       uint64_t version);

/* Sends the change to the control task.  */
static void
front_console_apply (struct front_admin_request *request,
                     struct console_change *change)
{
  struct front *front = request->front;
  struct msg *msg;

  request->change = *change;
  change->document = NULL;
  if (!front_console_is_authorized (request))
    {
      front_console_show_result (request, CONSOLE_DENIED, 0);
      return;
    }
  msg = msg_new (MSG_ADMIN);
  request->console_state = FRONT_CONSOLE_APPLY;
  request->id = front->next_request_id++;
  msg->u.admin.op = MSG_ADMIN_APPLY;
  msg->u.admin.request_id = request->id;
  msg->u.admin.base_version = request->change.base;
  snprintf (msg->u.admin.change_id, sizeof msg->u.admin.change_id, "%s",
            request->change.change_id);
  msg->u.admin.text = strdup (request->change.document);
  msg->u.admin.len = request->change.len;
  inbox_put (front->control, msg);
}

/* Renders a console page and performs the action that it returns.  */
static void
front_console_run (struct front_admin_request *request,
                   struct console_request *page)
{
  struct console_response response;
  char new_id[RNG_ID_DIGITS + 1];

  front_console_new_change_id (new_id);
  page->new_change_id = new_id;
  page->current.version = request->current_version;
  page->current.document = request->current_document;
  page->current.len = request->current_document != NULL
                          ? strlen (request->current_document)
                          : 0;
  if (console_respond (page, &response) != SR_OK)
    {
      page->new_change_id = NULL;
      front_admin_answer_error (request, 500, "out of memory");
      return;
    }
  switch (response.kind)
    {
    case CONSOLE_PAGE:
      front_console_answer_page (request, &response);
      break;
    case CONSOLE_DOWNLOAD:
      request->content_disposition = CONSOLE_DOWNLOAD_DISPOSITION;
      front_admin_answer (request, 200, CONSOLE_DOWNLOAD_TYPE,
                          strdup (response.u.download.document));
      break;
    case CONSOLE_APPLY:
      front_console_apply (request, &response.u.apply);
      break;
    }
  console_response_free (&response);
  page->new_change_id = NULL;
}

static void
front_console_show_result (struct front_admin_request *request,
                           enum console_outcome outcome, uint64_t version)
{
  struct console_request page = { .kind = CONSOLE_RESULT };

  page.u.result.outcome = outcome;
  page.u.result.version = version;
  page.u.result.change = &request->change;
  front_console_run (request, &page);
}

/* Shows the form, or submits it, once the version in force is known.  */
static void
front_console_handle_config (struct front_admin_request *request,
                             struct msg_admin_reply *reply)
{
  struct console_request page = { .kind = CONSOLE_SHOW };

  if (reply->http_status == 200)
    {
      request->current_document = reply->text;
      request->current_version = reply->version;
      reply->text = NULL;
    }
  else if (reply->http_status != 404)
    {
      front_admin_answer_error (request, 503,
                                "the version in force is not known");
      return;
    }
  if (strcmp (request->method, "POST") == 0)
    {
      page.kind = CONSOLE_SUBMIT;
      page.u.submit.body = (const char *)request->body.data;
      page.u.submit.len = request->body.len;
    }
  front_console_run (request, &page);
}

void
front_console_handle_reply (struct front_admin_request *request,
                            struct msg_admin_reply *reply)
{
  if (request->console_state == FRONT_CONSOLE_PAGE)
    {
      front_console_handle_config (request, reply);
      return;
    }
  if (reply->http_status == 200)
    front_console_show_result (request, CONSOLE_ACCEPTED, reply->version);
  else if (reply->http_status == 409)
    front_console_show_result (request, CONSOLE_CONFLICT, reply->version);
  else
    front_console_show_result (request, CONSOLE_UNAVAILABLE, 0);
}

void
front_console_free (struct front_admin_request *request)
{
  free (request->current_document);
  free (request->change.document);
}
