#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/suite.h"
#include "wire/doc.h"
#include "wire/schema.h"

#define KIND                                                                  \
  "{\"name\":\"k\",\"method\":\"GET\",\"path\":\"/\",\"importance\":5,"       \
  "\"idempotent\":true,\"timeout_ms\":9"
#define SERVICE "{\"name\":\"s\",\"slots\":4,\"connections\":8"
#define ONE(document, service, kind)                                          \
  "{\"format\":1" document ",\"services\":[" SERVICE service                  \
  ",\"kinds\":[" KIND kind "}]}]}"

struct seen
{
  unsigned count;
  char lines[4096];
};

static void
note_fault (void *arg, const char *path, const char *text)
{
  struct seen *seen = arg;
  size_t used = strlen (seen->lines);

  seen->count++;
  snprintf (seen->lines + used, sizeof seen->lines - used, "%s: %s\n", path,
            text);
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

/* Guards against examples that an operator cannot apply as they are, and
   against important work that ranks below a glance.  */
static void
test_examples (void)
{
  static const struct
  {
    const char *path, *service, *method, *most, *less_service, *less;
  } rows[] = {
    { "examples/taquari.json", "orders", "POST", "/orders", "stock",
      "/stock" },
    { "examples/fes.json", "shelf-marks", "POST", "/shelf-marks", "search",
      "/search" },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct seen seen = { 0 };
      struct model *model = NULL;
      const struct model_kind *most;
      const struct model_kind *less;
      size_t len;
      char *text = read_file (rows[i].path, &len);

      CU_ASSERT_EQUAL (doc_parse (text, len, note_fault, &seen, &model),
                       SR_OK);
      CU_ASSERT_STRING_EQUAL (seen.lines, "");
      CU_ASSERT_PTR_NOT_NULL_FATAL (model);
      CU_ASSERT_EQUAL (model->service_count, 4);
      most = model_find_kind (model_find_service (model, rows[i].service),
                              rows[i].method, rows[i].most);
      less = model_find_kind (model_find_service (model, rows[i].less_service),
                              "GET", rows[i].less);
      CU_ASSERT_FALSE (most->idempotent);
      CU_ASSERT_TRUE (most->importance > less->importance);
      model_unref (model);
      free (text);
    }
}

/* Guards against a preset that differs from the documented one.  */
static void
test_presets (void)
{
  static const char text[] = ONE ("", "", "");
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

/* Guards against a fault that is accepted, that is reported at another field,
   or that brings further reports with it.  */
static void
test_one_fault (void)
{
  static const struct
  {
    const char *text;
    const char *line;
  } rows[] = {
    { ONE (",\"qarantine_s\":3", "", ""),
      "qarantine_s: unknown field; did you mean \"quarantine_s\"?" },
    { ONE ("", ",\"colour\":3", ""), "services[0].colour: unknown field" },
    { ONE ("", ",\"queue\":\"3\"", ""),
      "services[0].queue: \"3\" is not allowed; allowed: a whole number from "
      "1 to 1000000" },
    { ONE ("", "", ",\"retries\":1.0"),
      "services[0].kinds[0].retries: 1.0 is not allowed" },
    { ONE ("", "", ",\"retries\":4"),
      "services[0].kinds[0].retries: 4 is more than retry.chain_allowance, "
      "which is 3" },
    { ONE (",\"retry\":{\"chain_allowance\":17}", "", ",\"retries\":9"),
      "retry.chain_allowance: 17 is not allowed; allowed: a whole number from "
      "0 to 16" },
    { ONE ("", ",\"long_slots_percent\":0", ",\"cost\":\"long\""),
      "services[0].kinds[0].cost: \"long\" is not allowed" },
    { ONE ("", "", ",\"cost\":\"huge\""),
      "services[0].kinds[0].cost: \"huge\" is not allowed; allowed: one of "
      "\"short\", \"long\"" },
    { ONE (",\"headers\":[\"accept\",\"Accept\"]", "", ""),
      "headers[1]: \"Accept\" is named twice" },
    { ONE (",\"headers\":[\"TraceState\"]", "", ""),
      "headers[0]: \"TraceState\" is not allowed" },
    { ONE (",\"headers\":[\"a b\"]", "", ""),
      "headers[0]: \"a b\" is not allowed" },
    { ONE (",\"callers\":{\"header\":\"host\"}", "", ""),
      "callers.header: \"host\" is not allowed" },
    { ONE (",\"claims\":[]", "", ""), "claims: a list is not allowed" },
    { ONE (",\"\\u001b[2J\":1", "", ""), "?[2J: unknown field" },
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
      struct seen seen = { 0 };
      int error = sr_document_check (rows[i].text, strlen (rows[i].text),
                                     note_fault, &seen);

      CU_ASSERT_EQUAL (error, SR_EINVAL);
      CU_ASSERT_EQUAL (seen.count, 1);
      CU_ASSERT_EQUAL (
          strncmp (seen.lines, rows[i].line, strlen (rows[i].line)), 0);
      if (seen.count != 1
          || strncmp (seen.lines, rows[i].line, strlen (rows[i].line)) != 0)
        printf ("\n  expected %s\n  got %s", rows[i].line, seen.lines);
    }
}

/* Guards against a check that stops at the first fault.  */
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
  struct seen seen = { 0 };

  CU_ASSERT_EQUAL (sr_document_check (text, strlen (text), note_fault, &seen),
                   SR_EINVAL);
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (seen.lines, paths[i]));
  CU_ASSERT_EQUAL (seen.count, 10);
}

/* Guards against input that is no document being taken for a wrong one, and
   against a duplicate key hiding a value from the operator.  */
static void
test_error_numbers (void)
{
  static const char twice[] = "{\"format\":1,\"format\":1}";
  char *large = calloc (1, SCHEMA_DOCUMENT_BYTES_MAX + 1);
  struct seen seen = { 0 };

  CU_ASSERT_EQUAL (sr_document_check ("{", 1, NULL, NULL), SR_EMALFORMED);
  CU_ASSERT_EQUAL (sr_document_check ("{}", 2, NULL, NULL), SR_EINVAL);
  CU_ASSERT_EQUAL (sr_document_check ("{\"format\":2}", 12, NULL, NULL),
                   SR_EVERSION);
  CU_ASSERT_EQUAL (
      sr_document_check (twice, strlen (twice), note_fault, &seen), SR_EINVAL);
  CU_ASSERT_PTR_NOT_NULL (strstr (seen.lines, "duplicate"));
  CU_ASSERT_EQUAL (
      sr_document_check (large, SCHEMA_DOCUMENT_BYTES_MAX + 1, NULL, NULL),
      SR_EINVAL);
  free (large);
}

/* Guards against two texts of one configuration that differ when canonical. */
static void
test_canonical (void)
{
  static const char one[]
      = "{\"services\":[" SERVICE ",\"kinds\":[" KIND "}]},"
        "{\"kinds\":[" KIND "}],\"connections\":8,\"slots\":4,"
        "\"name\":\"a\"}],\"headers\":[\"b\",\"a\"],\"format\":1}";
  static const char two[]
      = "{\"format\":1,\"headers\":[\"a\",\"b\"],\"services\":["
        "{\"name\":\"a\",\"slots\":4,\"connections\":8,"
        "\"kinds\":[" KIND "}]}," SERVICE ",\"kinds\":[" KIND "}]}]}";
  char *first = doc_canonical (one, strlen (one));
  char *second = doc_canonical (two, strlen (two));

  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_STRING_EQUAL (first, second);
  CU_ASSERT_PTR_NULL (doc_canonical ("{}", 2));
  free (first);
  free (second);
}

/* Looks at the page's row for FIELD at PATH.  */
static void
check_row (const char *page, const struct schema_field *field,
           const char *path)
{
  char cell[128];
  char row[512];
  const char *at;

  snprintf (cell, sizeof cell, "\n| `%s` |", path);
  at = strstr (page, cell);
  CU_ASSERT_PTR_NOT_NULL_FATAL (at);
  snprintf (row, sizeof row, "%.*s", (int)strcspn (at + 1, "\n"), at + 1);
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
      char at[96];

      snprintf (at, sizeof at, "%s%s", path, field->name);
      check_row (page, field, at);
      if (field->type == SCHEMA_OBJECT)
        strcat (at, ".");
      else if (field->type == SCHEMA_LIST)
        strcat (at, "[].");
      if (field->type == SCHEMA_OBJECT)
        check_rows (page, field->as.object, at);
      else if (field->type == SCHEMA_LIST && field->as.list.group != NULL)
        check_rows (page, field->as.list.group, at);
    }
}

/* Guards against an operators' page whose bounds or presets are not those of
   the check.  */
static void
test_page_bounds (void)
{
  size_t len;
  char *page = read_file ("docs/operating.md", &len);

  check_rows (page, &schema_document, "");
  free (page);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "examples", test_examples },           { "presets", test_presets },
    { "one fault", test_one_fault },         { "all faults", test_all_faults },
    { "error numbers", test_error_numbers }, { "canonical", test_canonical },
    { "page bounds", test_page_bounds },     { NULL, NULL }
  };

  return suite_run ("doc", tests);
}
