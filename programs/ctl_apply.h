#ifndef PROGRAMS_CTL_APPLY_H
#define PROGRAMS_CTL_APPLY_H

/**
 * DOC: cta - the commands of rudderctl that check and change the document
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* Checks the file without a connection.  */
enum ctl_opts_exit_status ctl_apply_validate (const struct ctl_opts *options,
                                              FILE *out, FILE *err);

/**
 * ctl_apply_document() - change the document in force
 * @options: options with a command CTL_OPTS_APPLY
 * @out: for the result
 * @err: for the change id, the difference and messages
 *
 * A change whose result is unknown is sent again under the same change id
 * until the timeout; the node answers a change id that it knows with the
 * first result.
 */
enum ctl_opts_exit_status ctl_apply_document (const struct ctl_opts *options,
                                              FILE *out, FILE *err);

#endif
