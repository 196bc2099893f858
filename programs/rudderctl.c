#include <stdio.h>

#include "programs/ctl_opts.h"
#include "programs/ctl_run.h"

int
main (int argc, char **argv)
{
  struct cto_result result;

  cto_parse (argc, (const char **)argv, stderr, &result);
  switch (result.kind)
    {
    case CTO_RUN:
      return (int)ctl_run (&result.u.options, stdout, stderr);
    case CTO_EXIT:
      return (int)result.u.status;
    }
  return CTO_USAGE;
}
