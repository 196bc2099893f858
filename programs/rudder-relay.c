#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/relay_pump.h"
#include "programs/tool_signal.h"

static const int main_signals[] = { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 };
static volatile sig_atomic_t main_stop;
static volatile sig_atomic_t main_forget;
static volatile sig_atomic_t main_cut;

static void
main_on_signal (int number)
{
  switch (number)
    {
    case SIGUSR1:
      main_forget = 1;
      break;
    case SIGUSR2:
      main_cut = !main_cut;
      main_forget = main_cut;
      break;
    default:
      main_stop = 1;
    }
}

int
main (int argc, const char **argv)
{
  struct relay relay = { 0 };
  struct tool_opt_spec specs[] = {
    { .name = "listen",
      .kind = TOOL_OPT_ADDRESS,
      .to.address = &relay.listen,
      .arg = "IP:PORT",
      .help = "address to serve on" },
    { .name = "to",
      .kind = TOOL_OPT_ADDRESS,
      .to.address = &relay.to,
      .arg = "IP:PORT",
      .help = "target; SIGUSR1 makes all open connections silent for good, "
              "SIGUSR2 turns a cut on and off" },
    { .kind = TOOL_OPT_END },
  };

  slog_init ("rudder-relay", SLOG_INFO);
  slog_set_fd (STDERR_FILENO);
  tool_opt_parse ("rudder-relay", specs, argc, argv);
  if (relay.listen.port == 0 || relay.to.port == 0)
    tool_opt_fail ("rudder-relay", relay.to.port == 0 ? "to" : "listen", "",
                   "IP:PORT");
  tool_signal_catch (main_on_signal, main_signals,
                     sizeof main_signals / sizeof main_signals[0]);
  if (relay_open (&relay) != SR_OK)
    {
      slog (SLOG_ERR, "cannot listen setting=--listen value=%s:%u",
            relay.listen.ip, relay.listen.port);
      return 1;
    }
  while (!main_stop)
    {
      relay.cut = main_cut;
      if (main_forget)
        relay_forget (&relay);
      main_forget = 0;
      relay_turn (&relay);
    }
  relay_close (&relay);
  return 0;
}
