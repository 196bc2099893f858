#ifndef PROGRAMS_FAKE_REPORT_H
#define PROGRAMS_FAKE_REPORT_H

/**
 * DOC: frp - load report that lags behind the load
 */

#include "programs/fake_state.h"

/* Value of the endpoint-load-metrics header, ORCA in JSON form.  */
void fake_report_format (struct fake_state *fake, char *out, size_t size);

/* Keeps the present value for another lag after a change of speed.  */
void fake_report_hold (struct fake_state *fake);

#endif
