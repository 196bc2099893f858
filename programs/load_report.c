#include "programs/load_report.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "core/err.h"

struct lrp_share
{
  const char *name;
  double share;
};

static const struct lrp_share lrp_shares[]
    = { { "p50", 0.50 }, { "p95", 0.95 }, { "p99", 0.99 } };

static double
lrp_ms (double us)
{
  return us / CLK_US_PER_MS;
}

static const char *
lrp_reason (const struct load_verdict *verdict)
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
lrp_record (const struct load_call *call, const struct load_verdict *verdict)
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
           lsm_outcome_name (verdict->outcome), lrp_reason (verdict),
           lsm_run_name (verdict->run), call->resends, call->states);
}

/* Result of one label as an object.  */
static json_t *
lrp_stat (const char *label, const struct load_stat *stat)
{
  json_t *out = json_object ();

  json_object_set_new (out, "label", json_string (label));
  json_object_set_new (out, "calls", json_integer ((json_int_t)stat->calls));
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (out, lsm_outcome_name ((enum load_outcome)i),
                         json_integer ((json_int_t)stat->counts[i]));
  for (size_t i = 0; i < sizeof lrp_shares / sizeof lrp_shares[0]; i++)
    json_object_set_new (out, lrp_shares[i].name,
                         json_real (lrp_ms (lsm_quantile (
                             stat->latency, lrp_shares[i].share))));
  json_object_set_new (out, "max", json_real (lrp_ms (stat->latency_max)));
  return out;
}

static json_t *
lrp_reasons (const struct lst *reasons)
{
  json_t *out = json_array ();

  lst_each (node, reasons)
    {
      const struct load_reason *reason
          = lst_entry (node, struct load_reason, node);

      json_array_append_new (
          out, json_pack ("{s:s, s:s, s:I}", "reason", reason->name, "run",
                          lsm_run_name (reason->run), "count",
                          (json_int_t)reason->count));
    }
  return out;
}

/* Added latency: the quantile through the nodes less that of direct calls,
   and the quantile of the paired differences.  */
static json_t *
lrp_pairs (const struct load_pairs *pairs)
{
  json_t *out = json_object ();
  char name[32];

  json_object_set_new (out, "pairs", json_integer ((json_int_t)pairs->count));
  for (size_t i = 0; i < sizeof lrp_shares / sizeof lrp_shares[0]; i++)
    {
      double share = lrp_shares[i].share;
      double via = lsm_quantile (pairs->via.latency, share);
      double direct = lsm_quantile (pairs->direct.latency, share);

      snprintf (name, sizeof name, "added_%s", lrp_shares[i].name);
      json_object_set_new (out, name, json_real (lrp_ms (via - direct)));
      snprintf (name, sizeof name, "difference_%s", lrp_shares[i].name);
      json_object_set_new (
          out, name,
          json_real (lrp_ms (lsm_quantile (pairs->difference, share))));
      snprintf (name, sizeof name, "via_%s", lrp_shares[i].name);
      json_object_set_new (out, name, json_real (lrp_ms (via)));
      snprintf (name, sizeof name, "direct_%s", lrp_shares[i].name);
      json_object_set_new (out, name, json_real (lrp_ms (direct)));
    }
  return out;
}

static json_t *
lrp_labels (const struct load *load, struct load_stat *all)
{
  json_t *out = json_array ();

  lst_each (node, &load->mix.kinds)
    {
      const struct load_kind *kind = lst_entry (node, struct load_kind, node);

      lsm_add (all, &kind->stat);
      json_array_append_new (out, lrp_stat (kind->label, &kind->stat));
    }
  return out;
}

static json_t *
lrp_build (const struct load *load, struct load_stat *all)
{
  json_t *labels = lrp_labels (load, all);
  json_t *out = json_pack (
      "{s:f, s:I, s:I, s:I, s:o, s:o, s:o}", "seconds",
      (double)(clk_now () - load->started) / CLK_US_PER_S, "attempts",
      (json_int_t)load->attempts, "resends", (json_int_t)load->resends,
      "not_sent", (json_int_t)load->not_sent, "all", lrp_stat ("all", all),
      "labels", labels, "refusals", lrp_reasons (&load->reasons));

  INVARIANT (out != NULL);
  if (load->options.direct)
    json_object_set_new (out, "direct", lrp_pairs (&load->pairs));
  return out;
}

/* Prints the members of OBJECT as "name value" on one line.  */
static void
lrp_print_line (const char *prefix, json_t *object)
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
lrp_print_text (json_t *result)
{
  size_t index;
  json_t *item;

  lrp_print_line ("run", result);
  lrp_print_line ("label", json_object_get (result, "all"));
  json_array_foreach (json_object_get (result, "labels"), index, item)
  {
    lrp_print_line ("label", item);
  }
  json_array_foreach (json_object_get (result, "refusals"), index, item)
  {
    lrp_print_line ("refused", item);
  }
  if (json_object_get (result, "direct") != NULL)
    lrp_print_line ("direct", json_object_get (result, "direct"));
}

uint64_t
lrp_print (struct load *load)
{
  struct load_stat all;
  json_t *result;
  uint64_t wrong;

  lsm_init (&all);
  result = lrp_build (load, &all);
  wrong = all.counts[LOAD_WRONG];
  if (load->options.json)
    {
      json_dumpf (result, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
      printf ("\n");
    }
  else
    lrp_print_text (result);
  json_decref (result);
  lsm_free (&all);
  return wrong;
}
