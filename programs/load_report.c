#include "programs/load_report.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "core/err.h"

struct load_report_quantile
{
  const char *name;
  double fraction;
};

static const struct load_report_quantile load_report_quantiles[]
    = { { "p50", 0.50 }, { "p95", 0.95 }, { "p99", 0.99 } };

static double
load_report_ms (double us)
{
  return us / CLK_US_PER_MS;
}

static const char *
load_report_reason_name (const struct load_verdict *verdict)
{
  switch (verdict->outcome)
    {
    case LOAD_REFUSED:
    case LOAD_ERROR:
      return verdict->u.reason;
    default:
      return "-";
    }
}

void
load_report_write_record (const struct load_call *call,
                          const struct load_verdict *verdict)
{
  if (call->load->record_file == NULL)
    return;
  fprintf (call->load->record_file,
           "%" PRIu64 " %" PRIu64 " %s %s key=%s trace=%s caller=%s "
           "sent=%" PRIu64 " status=%d result=%s reason=%s run=%s "
           "resends=%" PRIu32 " states=%s\n",
           call->start_wall_ms, clk_wall_ms (), call->mix_entry->method,
           call->echo.path, call->echo.key[0] ? call->echo.key : "-",
           call->traceparent, call->echo.caller, call->attempt_start_wall_ms,
           verdict->status, load_stat_outcome_name (verdict->outcome),
           load_report_reason_name (verdict),
           load_stat_run_state_name (verdict->run_state), call->resends,
           call->run_states);
}

/* JSON object with the counts and latencies of one label.  */
static json_t *
load_report_build_stat (const char *label, const struct load_stat *stat)
{
  json_t *out = json_object ();

  json_object_set_new (out, "label", json_string (label));
  json_object_set_new (out, "calls", json_integer ((json_int_t)stat->calls));
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (out, load_stat_outcome_name ((enum load_outcome)i),
                         json_integer ((json_int_t)stat->outcome_counts[i]));
  for (size_t i = 0;
       i < sizeof load_report_quantiles / sizeof load_report_quantiles[0]; i++)
    json_object_set_new (
        out, load_report_quantiles[i].name,
        json_real (load_report_ms (load_stat_quantile (
            stat->latency_us, load_report_quantiles[i].fraction))));
  json_object_set_new (out, "max",
                       json_real (load_report_ms (stat->latency_max)));
  return out;
}

static json_t *
load_report_build_reasons (const struct list *reasons)
{
  json_t *out = json_array ();

  list_each (node, reasons)
    {
      const struct load_reason_count *reason
          = list_entry (node, struct load_reason_count, node);

      json_array_append_new (
          out, json_pack ("{s:s, s:s, s:I}", "reason", reason->name, "run",
                          load_stat_run_state_name (reason->run_state),
                          "count", (json_int_t)reason->count));
    }
  return out;
}

/* JSON object with the latency that the nodes add: the quantile through the
   nodes minus that of direct requests, and the quantile of the paired
   differences.  */
static json_t *
load_report_build_pairs (const struct load_pairs *pairs)
{
  json_t *out = json_object ();
  char name[32];

  json_object_set_new (out, "pairs", json_integer ((json_int_t)pairs->count));
  for (size_t i = 0;
       i < sizeof load_report_quantiles / sizeof load_report_quantiles[0]; i++)
    {
      double fraction = load_report_quantiles[i].fraction;
      double via = load_stat_quantile (pairs->via_nodes.latency_us, fraction);
      double direct = load_stat_quantile (pairs->direct.latency_us, fraction);

      snprintf (name, sizeof name, "added_%s", load_report_quantiles[i].name);
      json_object_set_new (out, name,
                           json_real (load_report_ms (via - direct)));
      snprintf (name, sizeof name, "difference_%s",
                load_report_quantiles[i].name);
      json_object_set_new (out, name,
                           json_real (load_report_ms (load_stat_quantile (
                               pairs->difference, fraction))));
      snprintf (name, sizeof name, "via_%s", load_report_quantiles[i].name);
      json_object_set_new (out, name, json_real (load_report_ms (via)));
      snprintf (name, sizeof name, "direct_%s", load_report_quantiles[i].name);
      json_object_set_new (out, name, json_real (load_report_ms (direct)));
    }
  return out;
}

static json_t *
load_report_build_labels (const struct load_state *load, struct load_stat *all)
{
  json_t *out = json_array ();

  list_each (node, &load->mix.entries)
    {
      const struct load_mix_entry *entry
          = list_entry (node, struct load_mix_entry, node);

      load_stat_merge (all, &entry->stat);
      json_array_append_new (
          out, load_report_build_stat (entry->label, &entry->stat));
    }
  return out;
}

static json_t *
load_report_build (const struct load_state *load, struct load_stat *all)
{
  json_t *labels = load_report_build_labels (load, all);
  json_t *out = json_pack (
      "{s:f, s:I, s:I, s:I, s:o, s:o, s:o}", "seconds",
      (double)(clk_now () - load->started) / CLK_US_PER_S, "attempts",
      (json_int_t)load->attempts, "resends", (json_int_t)load->resends,
      "not_sent", (json_int_t)load->not_sent, "all",
      load_report_build_stat ("all", all), "labels", labels, "refusals",
      load_report_build_reasons (&load->reasons));

  INVARIANT (out != NULL);
  if (load->options.direct)
    json_object_set_new (out, "direct",
                         load_report_build_pairs (&load->pairs));
  return out;
}

/* Prints PREFIX and the members of OBJECT as "name value" on one line; of a
   string only the value.  */
static void
load_report_print_line (const char *prefix, json_t *object)
{
  const char *name;
  json_t *value;

  printf ("%s", prefix);
  json_object_foreach (object, name, value)
    {
      if (json_is_string (value))
        printf (" %s", json_string_value (value));
      else if (json_is_real (value))
        printf (" %s %.3f", name, json_real_value (value));
      else if (json_is_integer (value))
        printf (" %s %" JSON_INTEGER_FORMAT, name, json_integer_value (value));
    }
  printf ("\n");
}

static void
load_report_print_text (json_t *result)
{
  size_t index;
  json_t *item;

  load_report_print_line ("run", result);
  load_report_print_line ("label", json_object_get (result, "all"));
  json_array_foreach (json_object_get (result, "labels"), index, item)
    {
      load_report_print_line ("label", item);
    }
  json_array_foreach (json_object_get (result, "refusals"), index, item)
    {
      load_report_print_line ("refused", item);
    }
  if (json_object_get (result, "direct") != NULL)
    load_report_print_line ("direct", json_object_get (result, "direct"));
}

uint64_t
load_report_print (struct load_state *load)
{
  struct load_stat all;
  json_t *result;
  uint64_t wrong;

  load_stat_init (&all);
  result = load_report_build (load, &all);
  wrong = all.outcome_counts[LOAD_WRONG];
  if (load->options.json)
    {
      json_dumpf (result, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
      printf ("\n");
    }
  else
    load_report_print_text (result);
  json_decref (result);
  load_stat_free (&all);
  return wrong;
}
