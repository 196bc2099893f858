#include <stdio.h>

#include "programs/ctl_opts.h"
#include "programs/ctl_run.h"

int
main (int argc, char **argv)
{
  struct ctl_opts_result result;

  ctl_opts_parse (argc, (const char **)argv, stderr, &result);
  switch (result.kind)
    {
    case CTL_OPTS_RUN:
      return (int)ctl_run (&result.u.options, stdout, stderr);
    case CTL_OPTS_EXIT:
      return (int)result.u.status;
    }
  return CTL_OPTS_EXIT_USAGE;
}
