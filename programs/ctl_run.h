#ifndef PROGRAMS_CTL_RUN_H
#define PROGRAMS_CTL_RUN_H

/**
 * DOC: ctl_run - runs a command of rudderctl
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* Runs the command and returns the exit status.  Results go to OUT, messages
   to ERR.  */
enum ctl_opts_exit_status ctl_run (const struct ctl_opts *options, FILE *out,
                                   FILE *err);

#endif
