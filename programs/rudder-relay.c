#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/relay_pump.h"
#include "programs/tool_signal.h"

static const int main_signals[] = { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 };
static volatile sig_atomic_t main_stop;
static volatile sig_atomic_t main_blackhole_open;
static volatile sig_atomic_t main_blackhole_new;

static void
main_on_signal (int number)
{
  switch (number)
    {
    case SIGUSR1:
      main_blackhole_open = 1;
      break;
    case SIGUSR2:
      main_blackhole_new = !main_blackhole_new;
      main_blackhole_open = main_blackhole_new;
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
      .dest.address = &relay.listen,
      .arg = "IP:PORT",
      .help = "address to listen on" },
    { .name = "to",
      .kind = TOOL_OPT_ADDRESS,
      .dest.address = &relay.target,
      .arg = "IP:PORT",
      .help = "target; SIGUSR1 blackholes all open connections permanently, "
              "SIGUSR2 also new ones until the next SIGUSR2" },
    { .name = "drop-connects",
      .kind = TOOL_OPT_FLAG,
      .dest.flag = &relay.drop_connects,
      .help = "drop each SYN instead, as a machine without power does; "
              "without --to" },
    { .kind = TOOL_OPT_END },
  };

  slog_init ("rudder-relay", SLOG_INFO);
  slog_set_fd (STDERR_FILENO);
  tool_opt_parse ("rudder-relay", specs, argc, argv);
  if (relay.listen.port == 0)
    tool_opt_fail ("rudder-relay", "listen", "", "IP:PORT");
  if ((relay.target.port == 0) != relay.drop_connects)
    tool_opt_fail ("rudder-relay", "to", "", "IP:PORT, or --drop-connects");
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
      relay.blackhole_new = main_blackhole_new;
      if (main_blackhole_open)
        relay_set_open (&relay, RELAY_PASS_NONE);
      main_blackhole_open = 0;
      relay_poll (&relay);
    }
  relay_close (&relay);
  return 0;
}
