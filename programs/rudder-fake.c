#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/fake_announce.h"
#include "programs/fake_journal.h"
#include "programs/fake_options.h"
#include "programs/fake_report.h"
#include "programs/fake_server.h"
#include "programs/tool_signal.h"

static struct lws_context *main_context;
static const int main_signals[] = { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 };
static volatile sig_atomic_t main_stop_signals;
static volatile sig_atomic_t main_slow;

/* Records the signal and makes lws_service() return.  */
static void
main_on_signal (int number)
{
  if (number == SIGUSR1)
    main_slow = 1;
  else if (number == SIGUSR2)
    main_slow = 0;
  else
    main_stop_signals++;
  lws_cancel_service (main_context);
}

static int
main_open (struct fake_state *fake)
{
  struct lws_context_creation_info info = { 0 };

  lws_set_log_level (LLL_ERR, NULL);
  tool_client_set_context_info (&info);
  info.options |= LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.user = fake;
  fake->context = lws_create_context (&info);
  if (fake->context == NULL)
    return SR_ENOMEM;
  main_context = fake->context;
  tool_client_init (&fake->client, fake->context);
  list_init (&fake->queue);
  rng_seed (&fake->rng, fake->options.seed);
  fake->started = clk_now ();
  return fake_journal_open (fake);
}

/* Applies pending signals.  Returns false when the process is to end: after
   the withdrawal once all requests were answered, or at a second SIGTERM or
   SIGINT.  */
static bool
main_running (struct fake_state *fake)
{
  bool slow = main_slow != 0;

  if (slow != fake->slow)
    fake_report_restart_lag (fake);
  fake->slow = slow;
  if (main_stop_signals > 0)
    fake_announce_withdraw (fake);
  return main_stop_signals < 2
         && !(fake->leaving && fake_announce_grace_over (fake)
              && fake->open_requests == 0);
}

int
main (int argc, const char **argv)
{
  static struct fake_state fake;

  slog_init (FAKE_OPTIONS_PROGRAM, SLOG_INFO);
  slog_set_fd (STDERR_FILENO);
  fake_options_parse (&fake.options, argc, argv);
  if (main_open (&fake) != SR_OK)
    {
      slog (SLOG_ERR,
            "cannot create the event loop or open the journal file=%s",
            fake.options.journal);
      return 1;
    }
  tool_signal_catch (main_on_signal, main_signals,
                     sizeof main_signals / sizeof main_signals[0]);
  if (fake_server_open (&fake) != SR_OK)
    {
      slog (SLOG_ERR, "cannot listen address=%s:%u", fake.options.listen.ip,
            fake.options.listen.port);
      return 1;
    }
  fake_journal_write_mark (&fake, "up");
  fake_announce_start (&fake);
  while (main_running (&fake))
    if (lws_service (fake.context, 0) < 0)
      break;
  lws_context_destroy (fake.context);
  tool_client_free (&fake.client);
  return 0;
}
