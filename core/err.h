#ifndef CORE_ERR_H
#define CORE_ERR_H

/**
 * DOC: err - error numbers and invariants
 *
 * Error numbers are those of the public header.  INVARIANT stops the process
 * with a log line when a condition that must always hold does not; it stays
 * active in release builds.
 */

#include "sycamorerudder.h"

#define INVARIANT(cond)                                                       \
  ((cond) ? (void)0 : err_invariant_failed (#cond, __FILE__, __LINE__))

_Noreturn void err_invariant_failed (const char *condition, const char *file,
                                     int line);

#endif
