#include "programs/fake_report.h"

#include <stdio.h>

/* Fraction of the slots in use; 1 while the server is slowed down.  */
static double
fake_report_utilization (const struct fake_state *fake)
{
  double load = (double)fake->slots_in_use / (double)fake->options.slots;

  return fake->slow ? 1.0 : load;
}

void
fake_report_restart_lag (struct fake_state *fake)
{
  fake->report.updated_at = clk_now ();
}

void
fake_report_format (struct fake_state *fake, char *out, size_t size)
{
  clk_us now = clk_now ();

  if (now - fake->report.updated_at >= clk_ms (fake->options.report_lag_ms))
    {
      fake->report.utilization = fake_report_utilization (fake);
      fake->report.updated_at = now;
    }
  snprintf (out, size,
            "JSON {\"cpu_utilization\":%.3f,\"mem_utilization\":0.1,"
            "\"rps_fractional\":0}",
            fake->report.utilization);
}
