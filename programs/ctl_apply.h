#ifndef PROGRAMS_CTL_APPLY_H
#define PROGRAMS_CTL_APPLY_H

/**
 * DOC: cta - the commands of rudderctl that check and change the document
 */

#include <stdio.h>

#include "programs/ctl_opts.h"

/* Checks the file without a connection.  */
enum cto_exit cta_validate (const struct cto_options *options, FILE *out,
                            FILE *err);

/**
 * cta_apply() - change the document in force
 * @options: options with a command CTO_APPLY
 * @out: for the result
 * @err: for the change id, the difference and messages
 *
 * A change whose result is unknown is sent again under the same change id
 * until the timeout; the node answers a change id that it knows with the
 * first result.
 */
enum cto_exit cta_apply (const struct cto_options *options, FILE *out,
                         FILE *err);

#endif
