#ifndef PROGRAMS_CTL_APPLY_H
#define PROGRAMS_CTL_APPLY_H

/**
 * DOC: ctl_apply - "rudderctl validate" and "rudderctl apply"
 *
 * The first checks a configuration document, the second also makes it the
 * document in force.
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* Validates the document without contacting a node.  */
enum ctl_opts_exit_status ctl_apply_validate (const struct ctl_opts *options,
                                              FILE *out, FILE *err);

/**
 * ctl_apply_document() - replace the configuration document in force
 * @options: options with the command CTL_OPTS_APPLY
 * @out: receives the result
 * @err: receives the change id, the difference and error messages
 *
 * A change whose outcome is unknown is resent with the same change id until
 * the timeout.  Resending is idempotent: a node answers a change id that it
 * has seen with the first result.
 *
 * Return: CTL_OPTS_EXIT_OK when the change was accepted and, with --wait, is
 * in force on every node; CTL_OPTS_EXIT_FAILED otherwise.
 */
enum ctl_opts_exit_status ctl_apply_document (const struct ctl_opts *options,
                                              FILE *out, FILE *err);

#endif
