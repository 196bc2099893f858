#ifndef PROGRAMS_CTL_EXPLAIN_H
#define PROGRAMS_CTL_EXPLAIN_H

/**
 * DOC: ctl_explain - "rudderctl explain": traces one request through log lines
 *
 * Reads log lines of any number of nodes, in any order.  Prints those of one
 * request and of its calls, whose ids begin with the id of the request, sorted
 * by time, and the cause of the refusal.
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* Explains the request of the command from its file or standard input. Returns
   CTL_OPTS_EXIT_FAILED when no line is about the request, CTL_OPTS_EXIT_USAGE
   when the file cannot be read.  */
enum ctl_opts_exit_status ctl_explain_request (const struct ctl_opts *options,
                                               FILE *out, FILE *err);

/* Explains the request ID from the log lines of IN.  */
enum ctl_opts_exit_status ctl_explain_lines (FILE *in, const char *id,
                                             FILE *out, FILE *err);

#endif
