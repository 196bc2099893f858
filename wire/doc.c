#include "wire/doc.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/err.h"
#include "wire/schema.h"

#define DOC_PATH_BYTES 256
#define DOC_TEXT_BYTES 512
#define DOC_KEY_SHOWN 64
#define DOC_VALUE_SHOWN 60
#define DOC_ALLOWED_BYTES 160
#define DOC_FIELDS_MAX 16
#define DOC_RETRIES_PRESET 2

/* State of one reading.  PATH names the field that is being read.  */
struct doc_reader
{
  sr_fault_fn fault;
  void *arg;
  unsigned faults;
  int error; /* of memory; stops the reading */
  struct mdl *model;
  char path[DOC_PATH_BYTES];
  size_t path_len;
};

/* Reports a fault at the current path.  */
static void __attribute__ ((format (printf, 2, 3)))
doc_report (struct doc_reader *reader, const char *format, ...)
{
  char text[DOC_TEXT_BYTES];
  const char *path = reader->path_len == 0 ? "document" : reader->path;
  va_list args;

  reader->faults++;
  if (reader->fault == NULL)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  reader->fault (reader->arg, path, text);
}

/* Appends a key to the path; characters that could upset a terminal are
   replaced.  Returns the length to which doc_leave() goes back.  */
static size_t
doc_enter (struct doc_reader *reader, const char *key)
{
  size_t before = reader->path_len;
  size_t used;

  used = (size_t)snprintf (reader->path + before, DOC_PATH_BYTES - before,
                           "%s%.*s", before == 0 ? "" : ".", DOC_KEY_SHOWN,
                           key);
  INVARIANT (before + used < DOC_PATH_BYTES);
  reader->path_len = before + used;
  for (char *c = reader->path + before; *c != '\0'; c++)
    if (!isprint ((unsigned char)*c))
      *c = '?';
  return before;
}

/* Appends a position in a list to the path.  */
static size_t
doc_enter_index (struct doc_reader *reader, size_t index)
{
  size_t before = reader->path_len;

  reader->path_len += (size_t)snprintf (
      reader->path + before, DOC_PATH_BYTES - before, "[%zu]", index);
  INVARIANT (reader->path_len < DOC_PATH_BYTES);
  return before;
}

static void
doc_leave (struct doc_reader *reader, size_t before)
{
  reader->path_len = before;
  reader->path[before] = '\0';
}

/* Writes the start of VALUE as JSON.  */
static void
doc_show (const json_t *value, char *out, size_t size)
{
  char *text;

  if (json_is_object (value) || json_is_array (value))
    {
      snprintf (out, size, json_is_object (value) ? "an object" : "a list");
      return;
    }
  text = json_dumps (value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
  if (text == NULL)
    snprintf (out, size, "the value");
  else if (snprintf (out, size, "%s", text) >= (int)size)
    memcpy (out + size - 4, "...", 4);
  free (text);
}

/* Reports a value that the field does not allow.  */
static void
doc_report_value (struct doc_reader *reader, const struct sch_field *field,
                  const json_t *value)
{
  char shown[DOC_VALUE_SHOWN];
  char allowed[DOC_ALLOWED_BYTES];

  doc_show (value, shown, sizeof shown);
  sch_allowed (field, allowed, sizeof allowed);
  doc_report (reader, "%s is not allowed; allowed: %s", shown, allowed);
}

/* Reports a key that GROUP does not have.  */
static void
doc_report_unknown (struct doc_reader *reader, const struct sch_group *group,
                    const char *key)
{
  const char *names[DOC_FIELDS_MAX];
  const char *nearest;
  size_t before = doc_enter (reader, key);

  INVARIANT (group->count <= DOC_FIELDS_MAX);
  for (size_t i = 0; i < group->count; i++)
    names[i] = group->fields[i].name;
  nearest = txt_nearest (key, names, group->count);
  if (nearest != NULL)
    doc_report (reader, "unknown field; did you mean \"%s\"?", nearest);
  else
    doc_report (reader, "unknown field");
  doc_leave (reader, before);
}

/* Stores a number in the model struct at BASE.  */
static void
doc_store_number (const struct sch_field *field, void *base, uint32_t number)
{
  char *at = (char *)base + field->offset;

  if (field->size == sizeof (uint8_t))
    *(uint8_t *)at = (uint8_t)number;
  else if (field->size == sizeof (uint32_t))
    *(uint32_t *)at = number;
}

static void
doc_read_number (struct doc_reader *reader, const struct sch_field *field,
                 const json_t *value, void *base)
{
  const struct sch_number *range = &field->as.number;
  json_int_t number = json_integer_value (value);

  if (json_is_integer (value) && number >= range->min && number <= range->max)
    {
      doc_store_number (field, base, (uint32_t)number);
      return;
    }
  doc_store_number (field, base, SCH_DERIVED);
  doc_report_value (reader, field, value);
}

static void
doc_read_choice (struct doc_reader *reader, const struct sch_field *field,
                 const json_t *value, void *base)
{
  const char *name = json_string_value (value);
  char *at = (char *)base + field->offset;
  int index = -1;

  if (name != NULL)
    index = sch_choice_index (&field->as.choice, name);
  if (index < 0)
    doc_report_value (reader, field, value);
  else if (field->as.choice.as_text)
    snprintf (at, field->size, "%s", name);
  else
    *(int *)at = index;
}

static void
doc_read_text (struct doc_reader *reader, const struct sch_field *field,
               const json_t *value, void *base)
{
  const char *text = json_string_value (value);

  if (text != NULL && txt_valid (field->as.text, text))
    snprintf ((char *)base + field->offset, field->size, "%s", text);
  else
    doc_report_value (reader, field, value);
}

static void doc_read_object (struct doc_reader *reader,
                             const struct sch_group *group,
                             const json_t *object, void *base);
static void doc_read_fields (struct doc_reader *reader,
                             const struct sch_group *group,
                             const json_t *object, void *base);

/* Allocates the service at position INDEX of the document.  */
static struct mdl_service *
doc_new_service (struct doc_reader *reader, size_t index)
{
  struct mdl_service *service = calloc (1, sizeof *service);

  if (service == NULL)
    {
      reader->error = SR_ENOMEM;
      return NULL;
    }
  service->index = (uint32_t)index;
  lst_init (&service->kinds);
  lst_push_tail (&reader->model->services, &service->node);
  reader->model->service_count++;
  return service;
}

/* Allocates the kind at position INDEX of a service.  */
static struct mdl_kind *
doc_new_kind (struct doc_reader *reader, struct mdl_service *service,
              size_t index)
{
  struct mdl_kind *kind = calloc (1, sizeof *kind);

  if (kind == NULL)
    {
      reader->error = SR_ENOMEM;
      return NULL;
    }
  kind->index = (uint32_t)index;
  lst_push_tail (&service->kinds, &kind->node);
  return kind;
}

/* Reads one name of an HTTP field; the model holds it in lower case.  */
static void
doc_read_header (struct doc_reader *reader, const json_t *value)
{
  struct mdl *model = reader->model;
  struct sch_field field = { .type = SCH_TEXT, .as.text = TXT_HEADER };
  const char *text = json_string_value (value);
  char *at;

  if (text == NULL || !txt_valid (TXT_HEADER, text))
    {
      doc_report_value (reader, &field, value);
      return;
    }
  for (uint32_t i = 0; i < model->pass_header_count; i++)
    if (strcasecmp (model->pass_headers[i], text) == 0)
      {
        doc_report (reader, "\"%s\" is named twice; allowed: once", text);
        return;
      }
  at = model->pass_headers[model->pass_header_count++];
  for (; *text != '\0'; text++)
    *at++ = (char)tolower ((unsigned char)*text);
  *at = '\0';
}

/* Reads the entry at position INDEX of a list.  */
static void
doc_read_entry (struct doc_reader *reader, const struct sch_list *list,
                const json_t *value, void *base, size_t index)
{
  void *entry = NULL;

  switch (list->item)
    {
    case SCH_ITEM_SERVICE:
      entry = doc_new_service (reader, index);
      break;
    case SCH_ITEM_KIND:
      entry = doc_new_kind (reader, base, index);
      break;
    case SCH_ITEM_HEADER:
      doc_read_header (reader, value);
      return;
    }
  if (entry != NULL)
    doc_read_object (reader, list->group, value, entry);
}

static void
doc_read_list (struct doc_reader *reader, const struct sch_field *field,
               const json_t *value, void *base)
{
  const struct sch_list *list = &field->as.list;
  size_t count = json_array_size (value);

  if (!json_is_array (value))
    {
      doc_report_value (reader, field, value);
      return;
    }
  if (count < list->min || count > list->max)
    doc_report (reader,
                "%zu entries are not allowed; allowed: %" PRIu32
                " to %" PRIu32,
                count, list->min, list->max);
  if (count > list->max)
    count = list->max;
  for (size_t i = 0; i < count && reader->error == SR_OK; i++)
    {
      size_t before = doc_enter_index (reader, i);

      doc_read_entry (reader, list, json_array_get (value, i), base, i);
      doc_leave (reader, before);
    }
}

/* Reads the value of a field that is present.  */
static void
doc_read_value (struct doc_reader *reader, const struct sch_field *field,
                const json_t *value, void *base)
{
  switch (field->type)
    {
    case SCH_NUMBER:
      doc_read_number (reader, field, value, base);
      return;
    case SCH_BOOLEAN:
      if (json_is_boolean (value))
        *((bool *)((char *)base + field->offset)) = json_is_true (value);
      else
        doc_report_value (reader, field, value);
      return;
    case SCH_CHOICE:
      doc_read_choice (reader, field, value, base);
      return;
    case SCH_TEXT:
      doc_read_text (reader, field, value, base);
      return;
    case SCH_OBJECT:
      doc_read_object (reader, field->as.object, value, base);
      return;
    case SCH_LIST:
      doc_read_list (reader, field, value, base);
      return;
    }
}

/* Puts the preset of an absent field into the model.  */
static void
doc_read_absent (struct doc_reader *reader, const struct sch_field *field,
                 void *base)
{
  char allowed[DOC_ALLOWED_BYTES];

  if (field->required)
    {
      sch_allowed (field, allowed, sizeof allowed);
      doc_report (reader, "missing; allowed: %s", allowed);
    }
  switch (field->type)
    {
    case SCH_NUMBER:
      doc_store_number (field, base,
                        field->required ? SCH_DERIVED
                                        : field->as.number.preset);
      return;
    case SCH_OBJECT:
      doc_read_fields (reader, field->as.object, NULL, base);
      return;
    case SCH_BOOLEAN:
    case SCH_CHOICE:
    case SCH_TEXT:
    case SCH_LIST:
      return;
    }
}

/* Reads the fields of GROUP; all are absent when OBJECT is NULL.  */
static void
doc_read_fields (struct doc_reader *reader, const struct sch_group *group,
                 const json_t *object, void *base)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct sch_field *field = &group->fields[i];
      const json_t *value = json_object_get (object, field->name);
      size_t before = doc_enter (reader, field->name);

      if (value == NULL)
        doc_read_absent (reader, field, base);
      else
        doc_read_value (reader, field, value, base);
      doc_leave (reader, before);
    }
}

static void
doc_read_object (struct doc_reader *reader, const struct sch_group *group,
                 const json_t *object, void *base)
{
  char shown[DOC_VALUE_SHOWN];
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    {
      doc_show (object, shown, sizeof shown);
      doc_report (reader, "%s is not allowed; allowed: an object", shown);
      return;
    }
  json_object_foreach ((json_t *)object, key, value)
  {
    if (sch_find (group, key) == NULL)
      doc_report_unknown (reader, group, key);
  }
  doc_read_fields (reader, group, object, base);
}

/* Fills in the presets that follow from other fields and checks a kind
   against its service and the document.  */
static void
doc_check_kind (struct doc_reader *reader, const struct mdl_service *service,
                struct mdl_kind *kind)
{
  uint32_t allowance = reader->model->chain_allowance;
  size_t before;

  if (kind->retries == SCH_DERIVED)
    {
      kind->retries = kind->idempotent ? DOC_RETRIES_PRESET : 0;
      if (kind->retries > allowance)
        kind->retries = allowance;
    }
  before = doc_enter (reader, "retries");
  if (kind->retries > allowance)
    doc_report (reader,
                "%" PRIu32 " is more than retry.chain_allowance, which is "
                "%" PRIu32 "; allowed: at most that",
                kind->retries, allowance);
  doc_leave (reader, before);
  before = doc_enter (reader, "cost");
  if (kind->cost == MDL_LONG && service->long_slots_percent == 0)
    doc_report (reader, "\"long\" is not allowed while long_slots_percent of "
                        "the service is 0; allowed: \"short\"");
  doc_leave (reader, before);
}

/* Reports a kind with the name of an earlier one.  */
static void
doc_check_kind_name (struct doc_reader *reader,
                     const struct mdl_service *service,
                     const struct mdl_kind *kind)
{
  size_t before = doc_enter (reader, "name");

  lst_each (node, &service->kinds)
    {
      const struct mdl_kind *other = lst_entry (node, struct mdl_kind, node);

      if (other == kind)
        break;
      if (kind->name[0] == '\0' || strcmp (kind->name, other->name) != 0)
        continue;
      doc_report (reader,
                  "\"%s\" is the name of kinds[%" PRIu32 "] too; "
                  "allowed: a name of its own",
                  kind->name, other->index);
      break;
    }
  doc_leave (reader, before);
}

/* Reports a kind with the method and path of an earlier one.  */
static void
doc_check_kind_path (struct doc_reader *reader,
                     const struct mdl_service *service,
                     const struct mdl_kind *kind)
{
  size_t before = doc_enter (reader, "path");

  lst_each (node, &service->kinds)
    {
      const struct mdl_kind *other = lst_entry (node, struct mdl_kind, node);

      if (other == kind || kind->method[0] == '\0'
          || kind->path_prefix[0] == '\0')
        break;
      if (strcmp (kind->method, other->method) != 0
          || strcmp (kind->path_prefix, other->path_prefix) != 0)
        continue;
      doc_report (reader,
                  "%s \"%s\" belongs to kinds[%" PRIu32 "] too; allowed: a "
                  "method and path of its own",
                  kind->method, kind->path_prefix, other->index);
      break;
    }
  doc_leave (reader, before);
}

/* Reports a service with the name of an earlier one.  */
static void
doc_check_service_unique (struct doc_reader *reader,
                          const struct mdl_service *service)
{
  size_t before = doc_enter (reader, "name");

  lst_each (node, &reader->model->services)
    {
      const struct mdl_service *other
          = lst_entry (node, struct mdl_service, node);

      if (other == service)
        break;
      if (service->name[0] == '\0' || strcmp (service->name, other->name) != 0)
        continue;
      doc_report (reader,
                  "\"%s\" is the name of services[%" PRIu32 "] too; allowed: "
                  "a name of its own",
                  service->name, other->index);
      break;
    }
  doc_leave (reader, before);
}

/* Checks a service against the rest of the document.  */
static void
doc_check_service (struct doc_reader *reader, struct mdl_service *service)
{
  size_t before;

  doc_check_service_unique (reader, service);
  if (service->queue == SCH_DERIVED)
    service->queue = 2 * service->slots;
  before = doc_enter (reader, "connections");
  if (service->slots != SCH_DERIVED && service->connections < service->slots)
    doc_report (reader,
                "%" PRIu32 " is less than slots, which is %" PRIu32
                "; allowed: at least that",
                service->connections, service->slots);
  doc_leave (reader, before);
  lst_each (node, &service->kinds)
    {
      struct mdl_kind *kind = lst_entry (node, struct mdl_kind, node);
      size_t at = doc_enter (reader, "kinds");

      doc_enter_index (reader, kind->index);
      doc_check_kind_name (reader, service, kind);
      doc_check_kind_path (reader, service, kind);
      doc_check_kind (reader, service, kind);
      doc_leave (reader, at);
    }
}

/* Checks that need the whole document.  */
static void
doc_check_whole (struct doc_reader *reader)
{
  lst_each (node, &reader->model->services)
    {
      struct mdl_service *service = lst_entry (node, struct mdl_service, node);
      size_t before = doc_enter (reader, "services");

      doc_enter_index (reader, service->index);
      doc_check_service (reader, service);
      doc_leave (reader, before);
    }
}

/* Parses the JSON text; reports its faults.  */
static int
doc_load (struct doc_reader *reader, const char *text, size_t len,
          json_t **root)
{
  json_error_t error;

  *root = NULL;
  if (len > SCH_DOCUMENT_BYTES_MAX)
    {
      doc_report (reader, "%zu bytes are not allowed; allowed: at most %d",
                  len, SCH_DOCUMENT_BYTES_MAX);
      return SR_EINVAL;
    }
  *root = json_loadb (text, len, JSON_REJECT_DUPLICATES, &error);
  if (*root != NULL)
    return SR_OK;
  doc_report (reader, "%s at line %d, column %d", error.text, error.line,
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

/* Whether the document says that it has another format than this build.  */
static bool
doc_other_format (const json_t *root)
{
  const json_t *format = json_object_get (root, "format");

  return json_is_integer (format) && json_integer_value (format) != DOC_FORMAT;
}

/* Reads the parsed document into the model of READER.  */
static int
doc_read (struct doc_reader *reader, const json_t *root)
{
  if (doc_other_format (root))
    {
      size_t before = doc_enter (reader, "format");

      doc_report_value (reader, sch_find (&sch_document, "format"),
                        json_object_get (root, "format"));
      doc_leave (reader, before);
      return SR_EVERSION;
    }
  doc_read_object (reader, &sch_document, root, reader->model);
  if (reader->error == SR_OK)
    doc_check_whole (reader);
  if (reader->error != SR_OK)
    return reader->error;
  return reader->faults == 0 ? SR_OK : SR_EINVAL;
}

int
doc_parse (const char *text, size_t len, sr_fault_fn fault, void *arg,
           struct mdl **model)
{
  struct doc_reader reader = { .fault = fault, .arg = arg };
  json_t *root;
  int error = doc_load (&reader, text, len, &root);

  if (model != NULL)
    *model = NULL;
  if (error != SR_OK)
    return error;
  reader.model = mdl_new ();
  error = reader.model == NULL ? SR_ENOMEM : doc_read (&reader, root);
  json_decref (root);
  if (error == SR_OK && model != NULL)
    *model = reader.model;
  else
    mdl_unref (reader.model);
  return error;
}

int
sr_document_check (const char *text, size_t len, sr_fault_fn fault, void *arg)
{
  return doc_parse (text, len, fault, arg, NULL);
}

/* Orders two entries of a list by their text or their member "name".  */
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

/* Sorts the list that OBJECT holds as KEY; entries are texts or named.  */
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
