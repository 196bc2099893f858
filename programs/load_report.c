#include "programs/load_report.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "core/err.h"

struct load_report_share
{
  const char *name;
  double share;
};

static const struct load_report_share load_report_shares[]
    = { { "p50", 0.50 }, { "p95", 0.95 }, { "p99", 0.99 } };

static double
load_report_ms (double us)
{
  return us / CLK_US_PER_MS;
}

static const char *
load_report_reason (const struct load_verdict *verdict)
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
load_report_record (const struct load_call *call,
                    const struct load_verdict *verdict)
{
  if (call->load->record == NULL)
    return;
  fprintf (call->load->record,
           "%" PRIu64 " %" PRIu64 " %s %s key=%s trace=%s caller=%s "
           "sent=%" PRIu64 " status=%d result=%s reason=%s run=%s "
           "resends=%" PRIu32 " states=%s\n",
           call->started_ms, clk_wall_ms (), call->kind->method,
           call->facts.path, call->facts.key[0] ? call->facts.key : "-",
           call->trace, call->facts.caller, call->sent_ms, verdict->status,
           load_stat_outcome_name (verdict->outcome),
           load_report_reason (verdict), load_stat_run_name (verdict->run),
           call->resends, call->states);
}

/* Result of one label as an object.  */
static json_t *
load_report_stat (const char *label, const struct load_stat *stat)
{
  json_t *out = json_object ();

  json_object_set_new (out, "label", json_string (label));
  json_object_set_new (out, "calls", json_integer ((json_int_t)stat->calls));
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (out, load_stat_outcome_name ((enum load_outcome)i),
                         json_integer ((json_int_t)stat->counts[i]));
  for (size_t i = 0;
       i < sizeof load_report_shares / sizeof load_report_shares[0]; i++)
    json_object_set_new (out, load_report_shares[i].name,
                         json_real (load_report_ms (load_stat_quantile (
                             stat->latency, load_report_shares[i].share))));
  json_object_set_new (out, "max",
                       json_real (load_report_ms (stat->latency_max)));
  return out;
}

static json_t *
load_report_reasons (const struct list *reasons)
{
  json_t *out = json_array ();

  list_each (node, reasons)
    {
      const struct load_reason *reason
          = list_entry (node, struct load_reason, node);

      json_array_append_new (
          out, json_pack ("{s:s, s:s, s:I}", "reason", reason->name, "run",
                          load_stat_run_name (reason->run), "count",
                          (json_int_t)reason->count));
    }
  return out;
}

/* Added latency: the quantile through the nodes less that of direct calls,
   and the quantile of the paired differences.  */
static json_t *
load_report_pairs (const struct load_pairs *pairs)
{
  json_t *out = json_object ();
  char name[32];

  json_object_set_new (out, "pairs", json_integer ((json_int_t)pairs->count));
  for (size_t i = 0;
       i < sizeof load_report_shares / sizeof load_report_shares[0]; i++)
    {
      double share = load_report_shares[i].share;
      double via = load_stat_quantile (pairs->via.latency, share);
      double direct = load_stat_quantile (pairs->direct.latency, share);

      snprintf (name, sizeof name, "added_%s", load_report_shares[i].name);
      json_object_set_new (out, name,
                           json_real (load_report_ms (via - direct)));
      snprintf (name, sizeof name, "difference_%s",
                load_report_shares[i].name);
      json_object_set_new (out, name,
                           json_real (load_report_ms (load_stat_quantile (
                               pairs->difference, share))));
      snprintf (name, sizeof name, "via_%s", load_report_shares[i].name);
      json_object_set_new (out, name, json_real (load_report_ms (via)));
      snprintf (name, sizeof name, "direct_%s", load_report_shares[i].name);
      json_object_set_new (out, name, json_real (load_report_ms (direct)));
    }
  return out;
}

static json_t *
load_report_labels (const struct load *load, struct load_stat *all)
{
  json_t *out = json_array ();

  list_each (node, &load->mix.kinds)
    {
      const struct load_kind *kind = list_entry (node, struct load_kind, node);

      load_stat_add (all, &kind->stat);
      json_array_append_new (out, load_report_stat (kind->label, &kind->stat));
    }
  return out;
}

static json_t *
load_report_build (const struct load *load, struct load_stat *all)
{
  json_t *labels = load_report_labels (load, all);
  json_t *out = json_pack ("{s:f, s:I, s:I, s:I, s:o, s:o, s:o}", "seconds",
                           (double)(clk_now () - load->started) / CLK_US_PER_S,
                           "attempts", (json_int_t)load->attempts, "resends",
                           (json_int_t)load->resends, "not_sent",
                           (json_int_t)load->not_sent, "all",
                           load_report_stat ("all", all), "labels", labels,
                           "refusals", load_report_reasons (&load->reasons));

  INVARIANT (out != NULL);
  if (load->options.direct)
    json_object_set_new (out, "direct", load_report_pairs (&load->pairs));
  return out;
}

/* Prints the members of OBJECT as "name value" on one line.  */
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
load_report_print (struct load *load)
{
  struct load_stat all;
  json_t *result;
  uint64_t wrong;

  load_stat_init (&all);
  result = load_report_build (load, &all);
  wrong = all.counts[LOAD_WRONG];
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
