#ifndef PROGRAMS_CTL_EXPLAIN_H
#define PROGRAMS_CTL_EXPLAIN_H

/**
 * DOC: cte - rudderctl explain: the story of one request from log lines
 *
 * Reads the log lines of any number of nodes, in any order, and shows those of
 * one request and of the calls whose ids begin with its id, by time, with what
 * each node knew, and the cause that the last of them names.
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* CTL_OPTS_EXIT_FAILED when no line mentions the request.  */
enum ctl_opts_exit_status ctl_explain_request (const struct ctl_opts *options,
                                               FILE *out, FILE *err);

/* Reads lines from IN; the part of ctl_explain_request() without files.  */
enum ctl_opts_exit_status ctl_explain_lines (FILE *in, const char *id,
                                             FILE *out, FILE *err);

#endif
