#ifndef CORE_ERR_H
#define CORE_ERR_H

/**
 * DOC: err - error texts and run-time assertions
 *
 * Error numbers are those of the public header.  INVARIANT() logs a failed
 * condition and aborts the process, in release builds too.
 */

#include "sycamorerudder.h"

#define INVARIANT(cond)                                                       \
  ((cond) ? (void)0 : err_invariant_failed (#cond, __FILE__, __LINE__))

/* Logs the failed CONDITION and aborts.  */
_Noreturn void err_invariant_failed (const char *condition, const char *file,
                                     int line);

#endif
