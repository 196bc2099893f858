#include "wire/doc.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "wire/doccheck.h"
#include "wire/docread.h"
#include "wire/schema.h"

/* Parses the JSON text and reports a syntax error.  */
static int
doc_parse_json (struct docreport *report, const char *text, size_t len,
                json_t **root)
{
  json_error_t error;

  *root = NULL;
  if (len > SCHEMA_DOCUMENT_BYTES_MAX)
    {
      docreport_fault (report,
                       "%zu bytes are not allowed; allowed: at most %d", len,
                       SCHEMA_DOCUMENT_BYTES_MAX);
      return SR_EINVAL;
    }
  *root = json_loadb (text, len, JSON_REJECT_DUPLICATES, &error);
  if (*root != NULL)
    return SR_OK;
  docreport_fault (report, "%s at line %d, column %d", error.text, error.line,
                   error.column);
  switch (json_error_code (&error))
    {
    case json_error_out_of_memory:
      return SR_ENOMEM;
    case json_error_duplicate_key:
      return SR_EINVAL;
    default:
      return SR_EMALFORMED;
    }
}

/* Builds the model of a parsed document and validates it.  */
static int
doc_build_model (const json_t *root, struct docreport *report,
                 struct model **model)
{
  int error;

  *model = model_new ();
  if (*model == NULL)
    return SR_ENOMEM;
  error = docread_document (root, report, *model);
  if (error == SR_OK)
    doccheck_model (*model, report);
  if (error == SR_OK && report->faults > 0)
    error = SR_EINVAL;
  return error;
}

int
doc_parse (const char *text, size_t len, sr_fault_fn fault, void *arg,
           struct model **model)
{
  struct docreport report = { .fault = fault, .arg = arg };
  struct model *built = NULL;
  json_t *root;
  int error = doc_parse_json (&report, text, len, &root);

  if (error == SR_OK)
    error = doc_build_model (root, &report, &built);
  json_decref (root);
  if (model != NULL)
    *model = error == SR_OK ? built : NULL;
  if (model == NULL || error != SR_OK)
    model_unref (built);
  return error;
}

int
sr_document_check (const char *text, size_t len, sr_fault_fn fault, void *arg)
{
  return doc_parse (text, len, fault, arg, NULL);
}

/* Compares two list entries, each a string or an object with a "name".  */
static int
doc_compare_entries (const void *a, const void *b)
{
  const json_t *left = *(json_t *const *)a;
  const json_t *right = *(json_t *const *)b;

  if (json_is_object (left))
    left = json_object_get (left, "name");
  if (json_is_object (right))
    right = json_object_get (right, "name");
  return strcmp (json_string_value (left), json_string_value (right));
}

/* Sorts the list at KEY of OBJECT by doc_compare_entries().  */
static int
doc_sort_list (const json_t *object, const char *key)
{
  json_t *list = json_object_get (object, key);
  size_t count = json_array_size (list);
  json_t **entries;

  if (count < 2)
    return SR_OK;
  entries = calloc (count, sizeof (json_t *));
  if (entries == NULL)
    return SR_ENOMEM;
  for (size_t i = 0; i < count; i++)
    entries[i] = json_incref (json_array_get (list, i));
  qsort (entries, count, sizeof (json_t *), doc_compare_entries);
  for (size_t i = 0; i < count; i++)
    json_array_set_new (list, i, entries[i]);
  free (entries);
  return SR_OK;
}

char *
doc_canonical (const char *text, size_t len)
{
  json_t *root;
  json_t *service;
  size_t i;
  char *out = NULL;
  int error;

  if (doc_parse (text, len, NULL, NULL, NULL) != SR_OK)
    return NULL;
  root = json_loadb (text, len, 0, NULL);
  error = doc_sort_list (root, "services");
  if (doc_sort_list (root, "headers") != SR_OK)
    error = SR_ENOMEM;
  json_array_foreach (json_object_get (root, "services"), i, service)
    {
      if (doc_sort_list (service, "kinds") != SR_OK)
        error = SR_ENOMEM;
    }
  if (error == SR_OK)
    out = json_dumps (root, JSON_INDENT (2) | JSON_SORT_KEYS);
  json_decref (root);
  return out;
}
