#include "wire/expo.h"

#include <stdio.h>
#include <string.h>

#include "core/counter.h"
#include "core/hist.h"

struct expo_writer
{
  struct buf *out;
  const char *last_metric; /* metric whose HELP line was written last */
};

static void
expo_counter (void *arg, const char *name, const char *help, const char *label,
              uint64_t value)
{
  struct expo_writer *writer = arg;
  char line[512];
  int len = 0;

  if (writer->last_metric == NULL || strcmp (writer->last_metric, name) != 0)
    len = snprintf (line, sizeof line, "# HELP %s %s\n# TYPE %s counter\n",
                    name, help, name);
  writer->last_metric = name;
  if (label != NULL)
    len += snprintf (line + len, sizeof line - (size_t)len,
                     "%s{reason=\"%s\"} %llu\n", name, label,
                     (unsigned long long)value);
  else
    len += snprintf (line + len, sizeof line - (size_t)len, "%s %llu\n", name,
                     (unsigned long long)value);
  buf_append (writer->out, line, (size_t)len);
}

static void
expo_histogram (void *arg, const char *name, const char *help,
                const struct hist_snapshot *snapshot)
{
  struct buf *out = arg;
  char line[512];
  uint64_t count = 0;
  int len = snprintf (line, sizeof line, "# HELP %s %s\n# TYPE %s histogram\n",
                      name, help, name);

  buf_append (out, line, (size_t)len);
  for (uint32_t i = 0; i < HIST_BUCKETS; i++)
    {
      count += snapshot->buckets[i];
      len = snprintf (line, sizeof line, "%s_bucket{le=\"%.6f\"} %llu\n", name,
                      hist_bound_us (i) / 1e6, (unsigned long long)count);
      buf_append (out, line, (size_t)len);
    }
  len = snprintf (line, sizeof line,
                  "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %.6f\n%s_count %llu\n",
                  name, (unsigned long long)snapshot->count, name,
                  (double)snapshot->sum_us / 1e6, name,
                  (unsigned long long)snapshot->count);
  buf_append (out, line, (size_t)len);
}

void
expo_metrics (struct buf *out)
{
  struct expo_writer writer = { .out = out };

  counter_each (expo_counter, &writer);
  hist_each (expo_histogram, out);
}
