#include "programs/fake_report.h"

#include <stdio.h>

/* Share of the slots in use; a slow server is fully used.  */
static double
fake_report_load (const struct fake *fake)
{
  double load = (double)fake->busy / (double)fake->options.slots;

  return fake->slow ? 1.0 : load;
}

void
fake_report_hold (struct fake *fake)
{
  fake->report.shown_at = clk_now ();
}

void
fake_report_format (struct fake *fake, char *out, size_t size)
{
  clk_us now = clk_now ();

  if (now - fake->report.shown_at >= clk_ms (fake->options.report_lag_ms))
    {
      fake->report.shown = fake_report_load (fake);
      fake->report.shown_at = now;
    }
  snprintf (out, size,
            "JSON {\"cpu_utilization\":%.3f,\"mem_utilization\":0.1,"
            "\"rps_fractional\":0}",
            fake->report.shown);
}
