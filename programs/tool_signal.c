#include "programs/tool_signal.h"

#include <signal.h>

void
tool_signal_catch (void (*handler) (int number), const int *numbers, int count)
{
  struct sigaction action = { .sa_handler = handler };

  sigemptyset (&action.sa_mask);
  for (int i = 0; i < count; i++)
    sigaction (numbers[i], &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}
