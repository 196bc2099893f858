#include "wire/schema.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/model.h"
#include "wire/doc.h"

/* Location of the value in the model struct.  */
#define SCHEMA_MEMBER(type, member)                                           \
  .offset = offsetof (struct type, member),                                   \
  .size = sizeof (((struct type *)0)->member)

#define SCHEMA_RANGE(minimum, maximum, default_number)                        \
  .as.number = { .min = (minimum),                                            \
                 .max = (maximum),                                            \
                 .default_value = (default_number) }

#define SCHEMA_GROUP(table)                                                   \
  {                                                                           \
    .fields = (table), .count = sizeof (table) / sizeof (table)[0]            \
  }

static const char *const schema_costs[] = { "short", "long", NULL };

/* The methods that the HTTP server of the node forwards.  */
static const char *const schema_methods[]
    = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", NULL };

static const struct schema_field schema_kind_fields[] = {
  { .name = "name",
    .type = SCHEMA_TEXT,
    .required = true,
    SCHEMA_MEMBER (model_kind, name),
    .as.text = TEXT_NAME,
    .label = "Name",
    .unit = "",
    .description = "Name of the kind, unique in its service.",
    .default_text = "" },
  { .name = "method",
    .type = SCHEMA_CHOICE,
    .required = true,
    SCHEMA_MEMBER (model_kind, method),
    .as.choice = { .names = schema_methods, .as_text = true },
    .label = "Method",
    .unit = "",
    .description = "HTTP method of the requests.",
    .default_text = "" },
  { .name = "path",
    .type = SCHEMA_TEXT,
    .required = true,
    SCHEMA_MEMBER (model_kind, path_prefix),
    .as.text = TEXT_PATH,
    .label = "Path prefix",
    .unit = "",
    .description
    = "Requests whose path begins with this belong to the kind; the "
      "longest prefix wins.",
    .default_text = "" },
  { .name = "importance",
    .type = SCHEMA_NUMBER,
    .required = true,
    SCHEMA_MEMBER (model_kind, importance),
    SCHEMA_RANGE (0, MODEL_IMPORTANCE_MAX, 0),
    .label = "Importance",
    .unit = "",
    .description = "Under overload, requests of lower importance are refused "
                   "first.",
    .default_text = "" },
  { .name = "idempotent",
    .type = SCHEMA_BOOLEAN,
    .required = true,
    SCHEMA_MEMBER (model_kind, idempotent),
    .label = "Idempotent",
    .unit = "",
    .description
    = "Whether a request may run twice without harm; other requests "
      "need an Idempotency-Key and run at most once.",
    .default_text = "" },
  { .name = "cost",
    .type = SCHEMA_CHOICE,
    SCHEMA_MEMBER (model_kind, cost),
    .as.choice = { .names = schema_costs },
    .label = "Cost",
    .unit = "",
    .description
    = "Long requests hold only a part of the slots, so that short "
      "ones do not wait behind them.",
    .default_text = "short" },
  { .name = "timeout_ms",
    .type = SCHEMA_NUMBER,
    .required = true,
    SCHEMA_MEMBER (model_kind, timeout_ms),
    SCHEMA_RANGE (1, 3600 * 1000, 0),
    .label = "Timeout",
    .unit = "ms",
    .description = "Time for the whole call, with waiting and retries.",
    .default_text = "" },
  { .name = "retries",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model_kind, retries_max),
    SCHEMA_RANGE (0, 16, SCHEMA_DERIVED),
    .label = "Retries",
    .unit = "retries",
    .description = "Most retries of one call, within the chain allowance.",
    .default_text = "2 (at most the chain allowance), 0 when not idempotent" },
};

static const struct schema_field schema_service_fields[] = {
  { .name = "name",
    .type = SCHEMA_TEXT,
    .required = true,
    SCHEMA_MEMBER (model_service, name),
    .as.text = TEXT_NAME,
    .label = "Name",
    .unit = "",
    .description = "Name of the service: the Host of its requests up to the "
                   "first dot.",
    .default_text = "" },
  { .name = "slots",
    .type = SCHEMA_NUMBER,
    .required = true,
    SCHEMA_MEMBER (model_service, slots),
    SCHEMA_RANGE (1, 100000, 0),
    .label = "Slots",
    .unit = "requests",
    .description = "Requests that one backend server runs at the same time.",
    .default_text = "" },
  { .name = "connections",
    .type = SCHEMA_NUMBER,
    .required = true,
    SCHEMA_MEMBER (model_service, connections_max),
    SCHEMA_RANGE (1, 1000000, 0),
    .label = "Connections",
    .unit = "connections",
    .description = "Connections that one backend server accepts.",
    .default_text = "" },
  { .name = "queue",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model_service, queue_max),
    SCHEMA_RANGE (1, 1000000, SCHEMA_DERIVED),
    .label = "Queue",
    .unit = "requests",
    .description = "Most requests that wait at one node.",
    .default_text = "2 × slots" },
  { .name = "long_slots_percent",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model_service, long_slots_percent),
    SCHEMA_RANGE (0, 100, 30),
    .label = "Slots for long requests",
    .unit = "% of the slots",
    .description = "Most slots that long requests hold at the same time.",
    .default_text = "30" },
  { .name = "max_ejected_percent",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model_service, max_ejected_percent),
    SCHEMA_RANGE (0, 90, 34),
    .label = "Ejected servers",
    .unit = "% of the servers",
    .description
    = "Most servers of the service that are ejected as stragglers "
      "at the same time.",
    .default_text = "34" },
  { .name = "kinds",
    .type = SCHEMA_LIST,
    .required = true,
    .as.list = { .item = SCHEMA_ITEM_KIND,
                 .min = 1,
                 .max = SCHEMA_KINDS_MAX,
                 .group = &schema_kind },
    .label = "Kinds",
    .unit = "",
    .description = "The service's request kinds.",
    .default_text = "" },
};

static const struct schema_field schema_retry_fields[] = {
  { .name = "chain_allowance",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, chain_allowance),
    SCHEMA_RANGE (0, 16, 3),
    .label = "Chain allowance",
    .unit = "retries",
    .description = "Retries and hedges that one caller's request may cause in "
                   "its whole chain of calls.",
    .default_text = "3" },
  { .name = "budget_percent",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, retry_budget_percent),
    SCHEMA_RANGE (0, 100, 10),
    .label = "Retry budget",
    .unit = "% of first attempts",
    .description = "Retries and hedges that a node may send to a service in "
                   "relation to first attempts.",
    .default_text = "10" },
};

static const struct schema_field schema_claims_fields[] = {
  { .name = "keep_hours",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, claim_retention_hours),
    SCHEMA_RANGE (1, 720, 72),
    .label = "Keep keys",
    .unit = "h",
    .description = "How long an idempotency key and its recorded response are "
                   "kept.",
    .default_text = "72" },
  { .name = "answer_bytes_max",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, claim_answer_bytes_max),
    SCHEMA_RANGE (0, 262144, 16384),
    .label = "Recorded response",
    .unit = "bytes",
    .description = "Longest response that is recorded for a resend.",
    .default_text = "16384" },
  { .name = "keys_max",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, claim_keys_max),
    SCHEMA_RANGE (1, 10000000, 200000),
    .label = "Keys",
    .unit = "keys",
    .description = "Most keys that are kept; further new keys are refused.",
    .default_text = "200000" },
};

static const struct schema_field schema_callers_fields[] = {
  { .name = "header",
    .type = SCHEMA_TEXT,
    SCHEMA_MEMBER (model, caller_header),
    .as.text = TEXT_HEADER,
    .label = "Header that names the caller",
    .unit = "",
    .description = "HTTP field whose value identifies a caller.",
    .default_text = "the caller's IP address" },
  { .name = "share_percent",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, caller_share_percent),
    SCHEMA_RANGE (1, 100, 50),
    .label = "Share of one caller",
    .unit = "% of a service's queue",
    .description = "Most of a service's queue that one caller may hold.",
    .default_text = "50" },
};

static const struct schema_group schema_retry
    = SCHEMA_GROUP (schema_retry_fields);
static const struct schema_group schema_claims
    = SCHEMA_GROUP (schema_claims_fields);
static const struct schema_group schema_callers
    = SCHEMA_GROUP (schema_callers_fields);

static const struct schema_field schema_document_fields[] = {
  { .name = "format",
    .type = SCHEMA_NUMBER,
    .required = true,
    SCHEMA_RANGE (DOC_FORMAT, DOC_FORMAT, DOC_FORMAT),
    .label = "Format",
    .unit = "",
    .description = "Version of the document's format.",
    .default_text = "" },
  { .name = "quarantine_s",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, quarantine_s),
    SCHEMA_RANGE (1, 86400, 300),
    .label = "Quarantine",
    .unit = "s",
    .description = "How long a request that crashed two servers is refused.",
    .default_text = "300" },
  { .name = "drain_limit_ms",
    .type = SCHEMA_NUMBER,
    SCHEMA_MEMBER (model, drain_limit_ms),
    SCHEMA_RANGE (100, 3600 * 1000, 30000),
    .label = "Drain limit",
    .unit = "ms",
    .description = "Longest time that a stopping node waits for requests in "
                   "flight.",
    .default_text = "30000" },
  { .name = "retry",
    .type = SCHEMA_OBJECT,
    .as.object = &schema_retry,
    .label = "Retries",
    .unit = "",
    .description = "Bounds for retries.",
    .default_text = "every field's own" },
  { .name = "claims",
    .type = SCHEMA_OBJECT,
    .as.object = &schema_claims,
    .label = "Claims",
    .unit = "",
    .description = "Idempotency keys of requests that run at most once.",
    .default_text = "every field's own" },
  { .name = "callers",
    .type = SCHEMA_OBJECT,
    .as.object = &schema_callers,
    .label = "Callers",
    .unit = "",
    .description = "How callers are told apart.",
    .default_text = "every field's own" },
  { .name = "headers",
    .type = SCHEMA_LIST,
    .as.list = { .item = SCHEMA_ITEM_HEADER, .max = MODEL_PASS_HEADERS_MAX },
    .label = "Headers",
    .unit = "",
    .description = "HTTP fields passed between the caller and the backend "
                   "server.",
    .default_text = "none" },
  { .name = "services",
    .type = SCHEMA_LIST,
    .required = true,
    .as.list = { .item = SCHEMA_ITEM_SERVICE,
                 .min = 1,
                 .max = SCHEMA_SERVICES_MAX,
                 .group = &schema_service },
    .label = "Services",
    .unit = "",
    .description = "All services of the mesh.",
    .default_text = "" },
};

const struct schema_group schema_document
    = SCHEMA_GROUP (schema_document_fields);
const struct schema_group schema_service
    = SCHEMA_GROUP (schema_service_fields);
const struct schema_group schema_kind = SCHEMA_GROUP (schema_kind_fields);

const struct schema_field *
schema_find_field (const struct schema_group *group, const char *name)
{
  for (size_t i = 0; i < group->count; i++)
    if (strcmp (group->fields[i].name, name) == 0)
      return &group->fields[i];
  return NULL;
}

int
schema_choice_index (const struct schema_choice *choice, const char *name)
{
  for (int i = 0; choice->names[i] != NULL; i++)
    if (strcmp (choice->names[i], name) == 0)
      return i;
  return -1;
}

/* Writes the names of CHOICE as text.  */
static void
schema_describe_choice (const struct schema_choice *choice, char *out,
                        size_t size)
{
  size_t used = (size_t)snprintf (out, size, "one of");

  for (int i = 0; choice->names[i] != NULL && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s \"%s\"",
                              i == 0 ? "" : ",", choice->names[i]);
}

void
schema_describe_allowed (const struct schema_field *field, char *out,
                         size_t size)
{
  switch (field->type)
    {
    case SCHEMA_NUMBER:
      snprintf (out, size, "a whole number from %" PRIu32 " to %" PRIu32,
                field->as.number.min, field->as.number.max);
      return;
    case SCHEMA_BOOLEAN:
      snprintf (out, size, "true or false");
      return;
    case SCHEMA_CHOICE:
      schema_describe_choice (&field->as.choice, out, size);
      return;
    case SCHEMA_TEXT:
      snprintf (out, size, "%s", text_describe_allowed (field->as.text));
      return;
    case SCHEMA_OBJECT:
      snprintf (out, size, "an object");
      return;
    case SCHEMA_LIST:
      snprintf (out, size, "a list of %" PRIu32 " to %" PRIu32 " entries",
                field->as.list.min, field->as.list.max);
      return;
    }
}
