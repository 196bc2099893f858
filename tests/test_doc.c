#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/suite.h"
#include "wire/doc.h"
#include "wire/schema.h"

/* JSON text of a document with one service and one request kind.  The
   arguments are further fields of each, such as ",\"queue\":3".  */
#define KIND                                                                  \
  "{\"name\":\"k\",\"method\":\"GET\",\"path\":\"/\",\"importance\":5,"       \
  "\"idempotent\":true,\"timeout_ms\":9"
#define SERVICE "{\"name\":\"s\",\"slots\":4,\"connections\":8"
#define DOCUMENT(document, service, kind)                                     \
  "{\"format\":1" document ",\"services\":[" SERVICE service                  \
  ",\"kinds\":[" KIND kind "}]}]}"

struct faults
{
  unsigned count;
  char lines[4096];
};

static void
record_fault (void *arg, const char *path, const char *text)
{
  struct faults *faults = arg;
  size_t used = strlen (faults->lines);

  faults->count++;
  snprintf (faults->lines + used, sizeof faults->lines - used, "%s: %s\n",
            path, text);
}

static char *
read_file (const char *path, size_t *len)
{
  FILE *file = fopen (path, "r");
  char *text = calloc (1, 65536);

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  *len = fread (text, 1, 65535, file);
  fclose (file);
  return text;
}

/* The example documents must be valid, and must give orders a higher
   importance than read requests.  */
static void
test_examples (void)
{
  static const struct
  {
    const char *file, *service, *method, *important_path, *minor_service,
        *minor_path;
  } rows[] = {
    { "examples/taquari.json", "orders", "POST", "/orders", "stock",
      "/stock" },
    { "examples/fes.json", "shelf-marks", "POST", "/shelf-marks", "search",
      "/search" },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct faults faults = { 0 };
      struct model *model = NULL;
      const struct model_kind *important;
      const struct model_kind *minor;
      size_t len;
      char *text = read_file (rows[i].file, &len);

      CU_ASSERT_EQUAL (doc_parse (text, len, record_fault, &faults, &model),
                       SR_OK);
      CU_ASSERT_STRING_EQUAL (faults.lines, "");
      CU_ASSERT_PTR_NOT_NULL_FATAL (model);
      CU_ASSERT_EQUAL (model->service_count, 4);
      important = model_find_kind (model_find_service (model, rows[i].service),
                                   rows[i].method, rows[i].important_path);
      minor
          = model_find_kind (model_find_service (model, rows[i].minor_service),
                             "GET", rows[i].minor_path);
      CU_ASSERT_FALSE (important->idempotent);
      CU_ASSERT_TRUE (important->importance > minor->importance);
      model_unref (model);
      free (text);
    }
}

/* The defaults must be those that the operators' page documents.  */
static void
test_defaults (void)
{
  static const char text[] = DOCUMENT ("", "", "");
  struct model *model = NULL;
  const struct model_service *service;
  const struct model_kind *kind;

  CU_ASSERT_EQUAL (doc_parse (text, strlen (text), NULL, NULL, &model), SR_OK);
  CU_ASSERT_PTR_NOT_NULL_FATAL (model);
  service = model_find_service (model, "s");
  kind = model_find_kind (service, "GET", "/");
  CU_ASSERT_EQUAL (service->queue_max, 8);
  CU_ASSERT_EQUAL (service->long_slots_percent, 30);
  CU_ASSERT_EQUAL (service->max_ejected_percent, 34);
  CU_ASSERT_EQUAL (kind->cost, MODEL_COST_SHORT);
  CU_ASSERT_EQUAL (kind->retries_max, 2);
  CU_ASSERT_EQUAL (model->chain_allowance, 3);
  CU_ASSERT_EQUAL (model->retry_budget_percent, 10);
  CU_ASSERT_EQUAL (model->claim_retention_hours, 72);
  CU_ASSERT_EQUAL (model->claim_answer_bytes_max, 16384);
  CU_ASSERT_EQUAL (model->claim_keys_max, 200000);
  CU_ASSERT_EQUAL (model->caller_share_percent, 50);
  CU_ASSERT_STRING_EQUAL (model->caller_header, "");
  CU_ASSERT_EQUAL (model->quarantine_s, 300);
  CU_ASSERT_EQUAL (model->drain_limit_ms, 30000);
  model_unref (model);
}

/* Each fault must be reported, at its own field, and without further reports
   that follow from it.  */
static void
test_one_fault (void)
{
  static const struct
  {
    const char *text;
    const char *line;
  } rows[] = {
    { DOCUMENT (",\"qarantine_s\":3", "", ""),
      "qarantine_s: unknown field; did you mean \"quarantine_s\"?" },
    { DOCUMENT ("", ",\"colour\":3", ""),
      "services[0].colour: unknown field" },
    { DOCUMENT ("", ",\"queue\":\"3\"", ""),
      "services[0].queue: \"3\" is not allowed; allowed: a whole number from "
      "1 to 1000000" },
    { DOCUMENT ("", "", ",\"retries\":1.0"),
      "services[0].kinds[0].retries: 1.0 is not allowed" },
    { DOCUMENT ("", "", ",\"retries\":4"),
      "services[0].kinds[0].retries: 4 is more than retry.chain_allowance, "
      "which is 3" },
    { DOCUMENT (",\"retry\":{\"chain_allowance\":17}", "", ",\"retries\":9"),
      "retry.chain_allowance: 17 is not allowed; allowed: a whole number from "
      "0 to 16" },
    { DOCUMENT ("", ",\"long_slots_percent\":0", ",\"cost\":\"long\""),
      "services[0].kinds[0].cost: \"long\" is not allowed" },
    { DOCUMENT ("", "", ",\"cost\":\"huge\""),
      "services[0].kinds[0].cost: \"huge\" is not allowed; allowed: one of "
      "\"short\", \"long\"" },
    { DOCUMENT (",\"headers\":[\"accept\",\"Accept\"]", "", ""),
      "headers[1]: \"Accept\" is named twice" },
    { DOCUMENT (",\"headers\":[\"TraceState\"]", "", ""),
      "headers[0]: \"TraceState\" is not allowed" },
    { DOCUMENT (",\"headers\":[\"a b\"]", "", ""),
      "headers[0]: \"a b\" is not allowed" },
    { DOCUMENT (",\"callers\":{\"header\":\"host\"}", "", ""),
      "callers.header: \"host\" is not allowed" },
    { DOCUMENT (",\"claims\":[]", "", ""), "claims: a list is not allowed" },
    { DOCUMENT (",\"\\u001b[2J\":1", "", ""), "?[2J: unknown field" },
    { "{\"format\":1,\"services\":[]}",
      "services: 0 entries are not allowed; allowed: 1 to 1000" },
    { "{\"format\":1,\"services\":[" SERVICE ",\"kinds\":[]}]}",
      "services[0].kinds: 0 entries are not allowed; allowed: 1 to 64" },
    { "{\"format\":1,\"services\":[" SERVICE ",\"kinds\":[" KIND "}]}," SERVICE
      ",\"kinds\":[" KIND "}]}]}",
      "services[1].name: \"s\" is the name of services[0] too" },
    { "{\"format\":1,\"services\":[{\"name\":\"s\",\"slots\":9,"
      "\"connections\":8,\"kinds\":[" KIND "}]}]}",
      "services[0].connections: 8 is less than slots, which is 9" },
    { "{\"format\":1,\"services\":[{\"name\":\"S\",\"slots\":9,"
      "\"connections\":9,\"kinds\":[" KIND "}]}]}",
      "services[0].name: \"S\" is not allowed; allowed: 1 to 63 characters" },
    { "[]", "document: a list is not allowed; allowed: an object" },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct faults faults = { 0 };
      int error = sr_document_check (rows[i].text, strlen (rows[i].text),
                                     record_fault, &faults);

      CU_ASSERT_EQUAL (error, SR_EINVAL);
      CU_ASSERT_EQUAL (faults.count, 1);
      CU_ASSERT_EQUAL (
          strncmp (faults.lines, rows[i].line, strlen (rows[i].line)), 0);
      if (faults.count != 1
          || strncmp (faults.lines, rows[i].line, strlen (rows[i].line)) != 0)
        printf ("\n  expected %s\n  got %s", rows[i].line, faults.lines);
    }
}

/* The check must not stop at the first fault.  */
static void
test_all_faults (void)
{
  static const char text[]
      = "{\"format\":1,\"services\":[{\"name\":\"s\",\"slots\":0,"
        "\"connections\":8,\"kinds\":["
        "{\"name\":\"k\",\"method\":\"get\",\"path\":\"x\",\"importance\":101,"
        "\"idempotent\":1,\"timeout_ms\":0}," KIND "}," KIND "}]},7]}";
  static const char *const paths[] = {
    "services[0].slots:",
    "services[0].kinds[0].method:",
    "services[0].kinds[0].path:",
    "services[0].kinds[0].importance:",
    "services[0].kinds[0].idempotent:",
    "services[0].kinds[0].timeout_ms:",
    "services[1]: 7 is not allowed",
    "services[0].kinds[1].name:",
    "services[0].kinds[2].path: GET \"/\" belongs to kinds[1] too",
  };
  struct faults faults = { 0 };

  CU_ASSERT_EQUAL (
      sr_document_check (text, strlen (text), record_fault, &faults),
      SR_EINVAL);
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (faults.lines, paths[i]));
  CU_ASSERT_EQUAL (faults.count, 10);
}

/* Text that is not JSON, an invalid document and one of another format version
   must give different errors.  A duplicate key would hide a value from the
   operator and must be reported.  */
static void
test_error_codes (void)
{
  static const char duplicate_key[] = "{\"format\":1,\"format\":1}";
  char *large = calloc (1, SCHEMA_DOCUMENT_BYTES_MAX + 1);
  struct faults faults = { 0 };

  CU_ASSERT_EQUAL (sr_document_check ("{", 1, NULL, NULL), SR_EMALFORMED);
  CU_ASSERT_EQUAL (sr_document_check ("{}", 2, NULL, NULL), SR_EINVAL);
  CU_ASSERT_EQUAL (sr_document_check ("{\"format\":2}", 12, NULL, NULL),
                   SR_EVERSION);
  CU_ASSERT_EQUAL (sr_document_check (duplicate_key, strlen (duplicate_key),
                                      record_fault, &faults),
                   SR_EINVAL);
  CU_ASSERT_PTR_NOT_NULL (strstr (faults.lines, "duplicate"));
  CU_ASSERT_EQUAL (
      sr_document_check (large, SCHEMA_DOCUMENT_BYTES_MAX + 1, NULL, NULL),
      SR_EINVAL);
  free (large);
}

/* Documents that differ only in the order of keys and list entries must have
   the same canonical text.  */
static void
test_canonical (void)
{
  static const char unsorted[]
      = "{\"services\":[" SERVICE ",\"kinds\":[" KIND "}]},"
        "{\"kinds\":[" KIND "}],\"connections\":8,\"slots\":4,"
        "\"name\":\"a\"}],\"headers\":[\"b\",\"a\"],\"format\":1}";
  static const char sorted[]
      = "{\"format\":1,\"headers\":[\"a\",\"b\"],\"services\":["
        "{\"name\":\"a\",\"slots\":4,\"connections\":8,"
        "\"kinds\":[" KIND "}]}," SERVICE ",\"kinds\":[" KIND "}]}]}";
  char *first = doc_canonical (unsorted, strlen (unsorted));
  char *second = doc_canonical (sorted, strlen (sorted));

  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_STRING_EQUAL (first, second);
  CU_ASSERT_PTR_NULL (doc_canonical ("{}", 2));
  free (first);
  free (second);
}

/* Checks the row of the operators' page for FIELD at PATH.  */
static void
check_row (const char *page, const struct schema_field *field,
           const char *path)
{
  char cell[128];
  char row[512];
  const char *start;

  snprintf (cell, sizeof cell, "\n| `%s` |", path);
  start = strstr (page, cell);
  CU_ASSERT_PTR_NOT_NULL_FATAL (start);
  snprintf (row, sizeof row, "%.*s", (int)strcspn (start + 1, "\n"),
            start + 1);
  if (field->type != SCHEMA_NUMBER)
    return;
  if (field->as.number.min < field->as.number.max)
    snprintf (cell, sizeof cell, "| %u…%u", field->as.number.min,
              field->as.number.max);
  else
    snprintf (cell, sizeof cell, "| %u |", field->as.number.min);
  CU_ASSERT_PTR_NOT_NULL (strstr (row, cell));
  snprintf (cell, sizeof cell, "| %u |", field->as.number.default_value);
  if (field->required)
    CU_ASSERT_PTR_NOT_NULL (strstr (row, "| required |"))
  else if (field->as.number.default_value != SCHEMA_DERIVED)
    CU_ASSERT_PTR_NOT_NULL (strstr (row, cell))
}

static void
check_rows (const char *page, const struct schema_group *group,
            const char *path)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct schema_field *field = &group->fields[i];
      char field_path[96];

      snprintf (field_path, sizeof field_path, "%s%s", path, field->name);
      check_row (page, field, field_path);
      if (field->type == SCHEMA_OBJECT)
        strcat (field_path, ".");
      else if (field->type == SCHEMA_LIST)
        strcat (field_path, "[].");
      if (field->type == SCHEMA_OBJECT)
        check_rows (page, field->as.object, field_path);
      else if (field->type == SCHEMA_LIST && field->as.list.group != NULL)
        check_rows (page, field->as.list.group, field_path);
    }
}

/* The operators' page must state the bounds and defaults that the check
   uses.  */
static void
test_documentation (void)
{
  size_t len;
  char *page = read_file ("docs/operating.md", &len);

  check_rows (page, &schema_document, "");
  free (page);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "example documents", test_examples },
          { "defaults", test_defaults },
          { "single faults", test_one_fault },
          { "all faults are reported", test_all_faults },
          { "error codes", test_error_codes },
          { "canonical text", test_canonical },
          { "bounds and defaults of the operators' page", test_documentation },
          { NULL, NULL } };

  return suite_run ("doc", tests);
}
