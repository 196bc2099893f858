#include "wire/schema.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/model.h"
#include "wire/doc.h"

/* Where a value is kept in the model struct.  */
#define SCH_AT(type, member)                                                  \
  .offset = offsetof (struct type, member),                                   \
  .size = sizeof (((struct type *)0)->member)

#define SCH_RANGE(least, most, otherwise)                                     \
  .as.number = { .min = (least), .max = (most), .preset = (otherwise) }

#define SCH_GROUP(table)                                                      \
  {                                                                           \
    .fields = (table), .count = sizeof (table) / sizeof (table)[0]            \
  }

static const char *const sch_costs[] = { "short", "long", NULL };

/* The methods that the HTTP server of the node passes on.  */
static const char *const sch_methods[]
    = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", NULL };

static const struct sch_field sch_kind_fields[] = {
  { .name = "name",
    .type = SCH_TEXT,
    .required = true,
    SCH_AT (mdl_kind, name),
    .as.text = TXT_NAME,
    .label = "Name",
    .unit = "",
    .meaning = "Name of the kind, unique in its service.",
    .preset_text = "" },
  { .name = "method",
    .type = SCH_CHOICE,
    .required = true,
    SCH_AT (mdl_kind, method),
    .as.choice = { .names = sch_methods, .as_text = true },
    .label = "Method",
    .unit = "",
    .meaning = "HTTP method of the requests.",
    .preset_text = "" },
  { .name = "path",
    .type = SCH_TEXT,
    .required = true,
    SCH_AT (mdl_kind, path_prefix),
    .as.text = TXT_PATH,
    .label = "Path prefix",
    .unit = "",
    .meaning = "Requests whose path begins with this belong to the kind; the "
               "longest prefix wins.",
    .preset_text = "" },
  { .name = "importance",
    .type = SCH_NUMBER,
    .required = true,
    SCH_AT (mdl_kind, importance),
    SCH_RANGE (0, MDL_IMPORTANCE_MAX, 0),
    .label = "Importance",
    .unit = "",
    .meaning = "Under overload, requests of lower importance are refused "
               "first.",
    .preset_text = "" },
  { .name = "idempotent",
    .type = SCH_BOOLEAN,
    .required = true,
    SCH_AT (mdl_kind, idempotent),
    .label = "Idempotent",
    .unit = "",
    .meaning = "Whether a request may run twice without harm; other requests "
               "need an Idempotency-Key and run at most once.",
    .preset_text = "" },
  { .name = "cost",
    .type = SCH_CHOICE,
    SCH_AT (mdl_kind, cost),
    .as.choice = { .names = sch_costs },
    .label = "Cost",
    .unit = "",
    .meaning = "Long requests hold only a part of the slots, so that short "
               "ones do not wait behind them.",
    .preset_text = "short" },
  { .name = "timeout_ms",
    .type = SCH_NUMBER,
    .required = true,
    SCH_AT (mdl_kind, timeout_ms),
    SCH_RANGE (1, 3600 * 1000, 0),
    .label = "Timeout",
    .unit = "ms",
    .meaning = "Time for the whole call, with waiting and retries.",
    .preset_text = "" },
  { .name = "retries",
    .type = SCH_NUMBER,
    SCH_AT (mdl_kind, retries),
    SCH_RANGE (0, 16, SCH_DERIVED),
    .label = "Retries",
    .unit = "retries",
    .meaning = "Most retries of one call, within the chain allowance.",
    .preset_text = "2 (at most the chain allowance), 0 when not idempotent" },
};

static const struct sch_field sch_service_fields[] = {
  { .name = "name",
    .type = SCH_TEXT,
    .required = true,
    SCH_AT (mdl_service, name),
    .as.text = TXT_NAME,
    .label = "Name",
    .unit = "",
    .meaning = "Name of the service: the Host of its requests up to the "
               "first dot.",
    .preset_text = "" },
  { .name = "slots",
    .type = SCH_NUMBER,
    .required = true,
    SCH_AT (mdl_service, slots),
    SCH_RANGE (1, 100000, 0),
    .label = "Slots",
    .unit = "requests",
    .meaning = "Requests that one backend server runs at the same time.",
    .preset_text = "" },
  { .name = "connections",
    .type = SCH_NUMBER,
    .required = true,
    SCH_AT (mdl_service, connections),
    SCH_RANGE (1, 1000000, 0),
    .label = "Connections",
    .unit = "connections",
    .meaning = "Connections that one backend server accepts.",
    .preset_text = "" },
  { .name = "queue",
    .type = SCH_NUMBER,
    SCH_AT (mdl_service, queue),
    SCH_RANGE (1, 1000000, SCH_DERIVED),
    .label = "Queue",
    .unit = "requests",
    .meaning = "Most requests that wait at one node.",
    .preset_text = "2 × slots" },
  { .name = "long_slots_percent",
    .type = SCH_NUMBER,
    SCH_AT (mdl_service, long_slots_percent),
    SCH_RANGE (0, 100, 30),
    .label = "Slots for long requests",
    .unit = "% of the slots",
    .meaning = "Most slots that long requests hold at the same time.",
    .preset_text = "30" },
  { .name = "max_ejected_percent",
    .type = SCH_NUMBER,
    SCH_AT (mdl_service, max_ejected_percent),
    SCH_RANGE (0, 90, 34),
    .label = "Ejected servers",
    .unit = "% of the servers",
    .meaning = "Most servers of the service that are ejected as stragglers "
               "at the same time.",
    .preset_text = "34" },
  { .name = "kinds",
    .type = SCH_LIST,
    .required = true,
    .as.list = { .item = SCH_ITEM_KIND,
                 .min = 1,
                 .max = SCH_KINDS_MAX,
                 .group = &sch_kind },
    .label = "Kinds",
    .unit = "",
    .meaning = "The service's request kinds.",
    .preset_text = "" },
};

static const struct sch_field sch_retry_fields[] = {
  { .name = "chain_allowance",
    .type = SCH_NUMBER,
    SCH_AT (mdl, chain_allowance),
    SCH_RANGE (0, 16, 3),
    .label = "Chain allowance",
    .unit = "retries",
    .meaning = "Retries and hedges that one caller's request may cause in "
               "its whole chain of calls.",
    .preset_text = "3" },
  { .name = "budget_percent",
    .type = SCH_NUMBER,
    SCH_AT (mdl, retry_budget_percent),
    SCH_RANGE (0, 100, 10),
    .label = "Retry budget",
    .unit = "% of first attempts",
    .meaning = "Retries and hedges that a node may send to a service in "
               "relation to first attempts.",
    .preset_text = "10" },
};

static const struct sch_field sch_claims_fields[] = {
  { .name = "keep_hours",
    .type = SCH_NUMBER,
    SCH_AT (mdl, claim_keep_hours),
    SCH_RANGE (1, 720, 72),
    .label = "Keep keys",
    .unit = "h",
    .meaning = "How long an idempotency key and its recorded response are "
               "kept.",
    .preset_text = "72" },
  { .name = "answer_bytes_max",
    .type = SCH_NUMBER,
    SCH_AT (mdl, claim_answer_bytes_max),
    SCH_RANGE (0, 262144, 16384),
    .label = "Recorded response",
    .unit = "bytes",
    .meaning = "Longest response that is recorded for a resend.",
    .preset_text = "16384" },
  { .name = "keys_max",
    .type = SCH_NUMBER,
    SCH_AT (mdl, claim_keys_max),
    SCH_RANGE (1, 10000000, 200000),
    .label = "Keys",
    .unit = "keys",
    .meaning = "Most keys that are kept; further new keys are refused.",
    .preset_text = "200000" },
};

static const struct sch_field sch_callers_fields[] = {
  { .name = "header",
    .type = SCH_TEXT,
    SCH_AT (mdl, caller_header),
    .as.text = TXT_HEADER,
    .label = "Header that names the caller",
    .unit = "",
    .meaning = "HTTP field whose value identifies a caller.",
    .preset_text = "the caller's IP address" },
  { .name = "share_percent",
    .type = SCH_NUMBER,
    SCH_AT (mdl, caller_share_percent),
    SCH_RANGE (1, 100, 50),
    .label = "Share of one caller",
    .unit = "% of a service's queue",
    .meaning = "Most of a service's queue that one caller may hold.",
    .preset_text = "50" },
};

static const struct sch_group sch_retry = SCH_GROUP (sch_retry_fields);
static const struct sch_group sch_claims = SCH_GROUP (sch_claims_fields);
static const struct sch_group sch_callers = SCH_GROUP (sch_callers_fields);

static const struct sch_field sch_document_fields[] = {
  { .name = "format",
    .type = SCH_NUMBER,
    .required = true,
    SCH_RANGE (DOC_FORMAT, DOC_FORMAT, DOC_FORMAT),
    .label = "Format",
    .unit = "",
    .meaning = "Version of the document's format.",
    .preset_text = "" },
  { .name = "quarantine_s",
    .type = SCH_NUMBER,
    SCH_AT (mdl, quarantine_s),
    SCH_RANGE (1, 86400, 300),
    .label = "Quarantine",
    .unit = "s",
    .meaning = "How long a request that crashed two servers is refused.",
    .preset_text = "300" },
  { .name = "drain_limit_ms",
    .type = SCH_NUMBER,
    SCH_AT (mdl, drain_limit_ms),
    SCH_RANGE (100, 3600 * 1000, 30000),
    .label = "Drain limit",
    .unit = "ms",
    .meaning = "Longest time that a stopping node waits for requests in "
               "flight.",
    .preset_text = "30000" },
  { .name = "retry",
    .type = SCH_OBJECT,
    .as.object = &sch_retry,
    .label = "Retries",
    .unit = "",
    .meaning = "Bounds for retries.",
    .preset_text = "every field's own" },
  { .name = "claims",
    .type = SCH_OBJECT,
    .as.object = &sch_claims,
    .label = "Claims",
    .unit = "",
    .meaning = "Idempotency keys of requests that run at most once.",
    .preset_text = "every field's own" },
  { .name = "callers",
    .type = SCH_OBJECT,
    .as.object = &sch_callers,
    .label = "Callers",
    .unit = "",
    .meaning = "How callers are told apart.",
    .preset_text = "every field's own" },
  { .name = "headers",
    .type = SCH_LIST,
    .as.list = { .item = SCH_ITEM_HEADER, .max = MDL_PASS_HEADERS_MAX },
    .label = "Headers",
    .unit = "",
    .meaning = "HTTP fields passed between the caller and the backend "
               "server.",
    .preset_text = "none" },
  { .name = "services",
    .type = SCH_LIST,
    .required = true,
    .as.list = { .item = SCH_ITEM_SERVICE,
                 .min = 1,
                 .max = SCH_SERVICES_MAX,
                 .group = &sch_service },
    .label = "Services",
    .unit = "",
    .meaning = "All services of the mesh.",
    .preset_text = "" },
};

const struct sch_group sch_document = SCH_GROUP (sch_document_fields);
const struct sch_group sch_service = SCH_GROUP (sch_service_fields);
const struct sch_group sch_kind = SCH_GROUP (sch_kind_fields);

const struct sch_field *
sch_find (const struct sch_group *group, const char *name)
{
  for (size_t i = 0; i < group->count; i++)
    if (strcmp (group->fields[i].name, name) == 0)
      return &group->fields[i];
  return NULL;
}

int
sch_choice_index (const struct sch_choice *choice, const char *name)
{
  for (int i = 0; choice->names[i] != NULL; i++)
    if (strcmp (choice->names[i], name) == 0)
      return i;
  return -1;
}

/* Lists the names of CHOICE.  */
static void
sch_list_names (const struct sch_choice *choice, char *out, size_t size)
{
  size_t used = (size_t)snprintf (out, size, "one of");

  for (int i = 0; choice->names[i] != NULL && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s \"%s\"",
                              i == 0 ? "" : ",", choice->names[i]);
}

void
sch_allowed (const struct sch_field *field, char *out, size_t size)
{
  switch (field->type)
    {
    case SCH_NUMBER:
      snprintf (out, size, "a whole number from %" PRIu32 " to %" PRIu32,
                field->as.number.min, field->as.number.max);
      return;
    case SCH_BOOLEAN:
      snprintf (out, size, "true or false");
      return;
    case SCH_CHOICE:
      sch_list_names (&field->as.choice, out, size);
      return;
    case SCH_TEXT:
      snprintf (out, size, "%s", txt_allowed (field->as.text));
      return;
    case SCH_OBJECT:
      snprintf (out, size, "an object");
      return;
    case SCH_LIST:
      snprintf (out, size, "a list of %" PRIu32 " to %" PRIu32 " entries",
                field->as.list.min, field->as.list.max);
      return;
    }
}
