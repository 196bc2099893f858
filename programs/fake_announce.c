#include "programs/fake_announce.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/slog.h"
#include "programs/fake_journal.h"

#define FAKE_ANNOUNCE_INTERVAL_MS 1000
#define FAKE_ANNOUNCE_TIMEOUT_MS 900
/* A request that the node sent just before it handled the DELETE uses another
   connection and may arrive after the answer to the DELETE.  */
#define FAKE_ANNOUNCE_GRACE_MS 100

static void
fake_announce_on_timer (lws_sorted_usec_list_t *sul)
{
  struct fake_state *fake
      = lws_container_of (sul, struct fake_state, announce.timer);

  fake_announce_start (fake);
}

static void
fake_announce_send (struct fake_state *fake, const char *method,
                    const char *body, tool_client_done_fn done)
{
  struct tool_client_request request
      = { .address = fake->options.admin,
          .method = method,
          .path = "/v1/backend",
          .host = "admin",
          .body = body,
          .body_len = strlen (body),
          .timeout_ms = FAKE_ANNOUNCE_TIMEOUT_MS };

  tool_client_send (&fake->client, &request, done, fake);
}

/* Makes lws_service() return, which it does not do after a timer alone.  */
static void
fake_announce_on_grace_end (lws_sorted_usec_list_t *sul)
{
  struct fake_state *fake
      = lws_container_of (sul, struct fake_state, announce.timer);

  lws_cancel_service (fake->context);
}

static void
fake_announce_on_withdrawn (void *arg, const struct tool_client_result *result)
{
  struct fake_state *fake = arg;

  if (result->outcome != TOOL_CLIENT_COMPLETE || result->answer.status >= 300)
    slog (SLOG_WARNING, "withdrawal not acknowledged outcome=%d status=%d",
          (int)result->outcome, result->answer.status);
  fake->announce.withdrawn = true;
  fake->announce.withdrawn_at = clk_now ();
  fake_journal_write_mark (fake, "left");
  lws_sul_schedule (fake->context, 0, &fake->announce.timer,
                    fake_announce_on_grace_end,
                    (lws_usec_t)clk_ms (FAKE_ANNOUNCE_GRACE_MS));
}

/* Handles the answer to a PUT.  A node that is not up yet gets the next PUT of
   the timer.  The DELETE is sent only after the answer, because a PUT that
   arrives after the DELETE would announce the server again.  */
static void
fake_announce_on_announced (void *arg, const struct tool_client_result *result)
{
  struct fake_state *fake = arg;

  fake->announce.request_pending = false;
  if (result->outcome == TOOL_CLIENT_COMPLETE && result->answer.status >= 300)
    slog (SLOG_WARNING, "announcement refused status=%d",
          result->answer.status);
  if (fake->leaving)
    fake_announce_send (fake, "DELETE", "", fake_announce_on_withdrawn);
}

void
fake_announce_start (struct fake_state *fake)
{
  const struct fake_options *options = &fake->options;
  char body[512];

  if (options->admin.port == 0 || fake->leaving)
    return;
  lws_sul_schedule (fake->context, 0, &fake->announce.timer,
                    fake_announce_on_timer,
                    (lws_usec_t)clk_ms (FAKE_ANNOUNCE_INTERVAL_MS));
  if (fake->announce.request_pending)
    return;
  fake->announce.request_pending = true;
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%u\",\"slots\":%" PRIu64
            ",\"connections\":%" PRIu64 "}",
            options->service, options->listen.ip, options->listen.port,
            options->slots, options->connections);
  fake_announce_send (fake, "PUT", body, fake_announce_on_announced);
}

void
fake_announce_withdraw (struct fake_state *fake)
{
  if (fake->leaving)
    return;
  fake->leaving = true;
  lws_sul_cancel (&fake->announce.timer);
  if (fake->options.admin.port == 0)
    fake->announce.withdrawn = true;
  else if (!fake->announce.request_pending)
    fake_announce_send (fake, "DELETE", "", fake_announce_on_withdrawn);
}

bool
fake_announce_grace_over (const struct fake_state *fake)
{
  return fake->announce.withdrawn
         && clk_now () - fake->announce.withdrawn_at
                >= clk_ms (FAKE_ANNOUNCE_GRACE_MS);
}
