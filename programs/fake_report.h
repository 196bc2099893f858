#ifndef PROGRAMS_FAKE_REPORT_H
#define PROGRAMS_FAKE_REPORT_H

/**
 * DOC: fake_report - load report that lags behind the actual load
 */

#include "programs/fake_state.h"

/* Writes the value of the endpoint-load-metrics header: an ORCA load report in
   JSON, whose load is updated when it is older than --report-lag-ms.  */
void fake_report_format (struct fake_state *fake, char *out, size_t size);

/* Restarts the age of the reported load, so that a change of speed shows only
   after the lag.  */
void fake_report_restart_lag (struct fake_state *fake);

#endif
