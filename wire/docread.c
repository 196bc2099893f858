#include "wire/docread.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/err.h"
#include "wire/doc.h"
#include "wire/schema.h"

#define DOCREAD_VALUE_BYTES 60
#define DOCREAD_ALLOWED_BYTES 160
#define DOCREAD_FIELDS_MAX 16

/* State of one conversion.  */
struct docread
{
  struct docreport *report;
  struct model *model;
  int error; /* SR_OK or SR_ENOMEM, which stops the conversion */
};

/* Formats VALUE for a message: its JSON text, cut to SIZE, or its type.  */
static void
docread_format_value (const json_t *value, char *out, size_t size)
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

/* Reports a value that FIELD does not allow, with the allowed values.  */
static void
docread_report_invalid (struct docread *reader,
                        const struct schema_field *field, const json_t *value)
{
  char value_text[DOCREAD_VALUE_BYTES];
  char allowed[DOCREAD_ALLOWED_BYTES];

  docread_format_value (value, value_text, sizeof value_text);
  schema_describe_allowed (field, allowed, sizeof allowed);
  docreport_fault (reader->report, "%s is not allowed; allowed: %s",
                   value_text, allowed);
}

/* Reports a key that GROUP does not have, with the most similar known one.  */
static void
docread_report_unknown_field (struct docread *reader,
                              const struct schema_group *group,
                              const char *key)
{
  const char *names[DOCREAD_FIELDS_MAX];
  const char *nearest;
  size_t path_len = docreport_enter (reader->report, key);

  INVARIANT (group->count <= DOCREAD_FIELDS_MAX);
  for (size_t i = 0; i < group->count; i++)
    names[i] = group->fields[i].name;
  nearest = text_nearest (key, names, group->count);
  if (nearest != NULL)
    docreport_fault (reader->report, "unknown field; did you mean \"%s\"?",
                     nearest);
  else
    docreport_fault (reader->report, "unknown field");
  docreport_leave (reader->report, path_len);
}

/* Stores a number in the model struct at BASE, in a member of 1 or 4 bytes. */
static void
docread_store_number (const struct schema_field *field, void *base,
                      uint32_t number)
{
  char *member = (char *)base + field->offset;

  if (field->size == sizeof (uint8_t))
    *(uint8_t *)member = (uint8_t)number;
  else if (field->size == sizeof (uint32_t))
    *(uint32_t *)member = number;
}

static void
docread_number (struct docread *reader, const struct schema_field *field,
                const json_t *value, void *base)
{
  const struct schema_number *range = &field->as.number;
  json_int_t number = json_integer_value (value);

  if (json_is_integer (value) && number >= range->min && number <= range->max)
    {
      docread_store_number (field, base, (uint32_t)number);
      return;
    }
  docread_store_number (field, base, SCHEMA_DERIVED);
  docread_report_invalid (reader, field, value);
}

static void
docread_choice (struct docread *reader, const struct schema_field *field,
                const json_t *value, void *base)
{
  const char *name = json_string_value (value);
  char *member = (char *)base + field->offset;
  int index = -1;

  if (name != NULL)
    index = schema_choice_index (&field->as.choice, name);
  if (index < 0)
    docread_report_invalid (reader, field, value);
  else if (field->as.choice.as_text)
    snprintf (member, field->size, "%s", name);
  else
    *(int *)member = index;
}

static void
docread_text (struct docread *reader, const struct schema_field *field,
              const json_t *value, void *base)
{
  const char *text = json_string_value (value);

  if (text != NULL && text_valid (field->as.text, text))
    snprintf ((char *)base + field->offset, field->size, "%s", text);
  else
    docread_report_invalid (reader, field, value);
}

static void docread_object (struct docread *reader,
                            const struct schema_group *group,
                            const json_t *object, void *base);
static void docread_fields (struct docread *reader,
                            const struct schema_group *group,
                            const json_t *object, void *base);

/* Adds the service at position INDEX of the document to the model.  */
static struct model_service *
docread_new_service (struct docread *reader, size_t index)
{
  struct model_service *service = calloc (1, sizeof *service);

  if (service == NULL)
    {
      reader->error = SR_ENOMEM;
      return NULL;
    }
  service->index = (uint32_t)index;
  list_init (&service->kinds);
  list_push_tail (&reader->model->services, &service->node);
  reader->model->service_count++;
  return service;
}

/* Adds the kind at position INDEX of SERVICE.  */
static struct model_kind *
docread_new_kind (struct docread *reader, struct model_service *service,
                  size_t index)
{
  struct model_kind *kind = calloc (1, sizeof *kind);

  if (kind == NULL)
    {
      reader->error = SR_ENOMEM;
      return NULL;
    }
  kind->index = (uint32_t)index;
  list_push_tail (&service->kinds, &kind->node);
  return kind;
}

/* Reads the name of one HTTP field; the model stores it in lower case.  */
static void
docread_header_name (struct docread *reader, const json_t *value)
{
  struct model *model = reader->model;
  struct schema_field field = { .type = SCHEMA_TEXT, .as.text = TEXT_HEADER };
  const char *text = json_string_value (value);
  char *out;

  if (text == NULL || !text_valid (TEXT_HEADER, text))
    {
      docread_report_invalid (reader, &field, value);
      return;
    }
  for (uint32_t i = 0; i < model->pass_header_count; i++)
    if (strcasecmp (model->pass_headers[i], text) == 0)
      {
        docreport_fault (reader->report,
                         "\"%s\" is named twice; allowed: once", text);
        return;
      }
  out = model->pass_headers[model->pass_header_count++];
  for (; *text != '\0'; text++)
    *out++ = (char)tolower ((unsigned char)*text);
  *out = '\0';
}

/* Reads the entry at position INDEX of a list; BASE is the struct that has the
   list.  */
static void
docread_entry (struct docread *reader, const struct schema_list *list,
               const json_t *value, void *base, size_t index)
{
  void *entry = NULL;

  switch (list->item)
    {
    case SCHEMA_ITEM_SERVICE:
      entry = docread_new_service (reader, index);
      break;
    case SCHEMA_ITEM_KIND:
      entry = docread_new_kind (reader, base, index);
      break;
    case SCHEMA_ITEM_HEADER:
      docread_header_name (reader, value);
      return;
    }
  if (entry != NULL)
    docread_object (reader, list->group, value, entry);
}

static void
docread_list (struct docread *reader, const struct schema_field *field,
              const json_t *value, void *base)
{
  const struct schema_list *list = &field->as.list;
  size_t count = json_array_size (value);

  if (!json_is_array (value))
    {
      docread_report_invalid (reader, field, value);
      return;
    }
  if (count < list->min || count > list->max)
    docreport_fault (reader->report,
                     "%zu entries are not allowed; allowed: %" PRIu32
                     " to %" PRIu32,
                     count, list->min, list->max);
  if (count > list->max)
    count = list->max;
  for (size_t i = 0; i < count && reader->error == SR_OK; i++)
    {
      size_t path_len = docreport_enter_index (reader->report, i);

      docread_entry (reader, list, json_array_get (value, i), base, i);
      docreport_leave (reader->report, path_len);
    }
}

/* Reads the value of a field that is present.  */
static void
docread_value (struct docread *reader, const struct schema_field *field,
               const json_t *value, void *base)
{
  switch (field->type)
    {
    case SCHEMA_NUMBER:
      docread_number (reader, field, value, base);
      return;
    case SCHEMA_BOOLEAN:
      if (json_is_boolean (value))
        *((bool *)((char *)base + field->offset)) = json_is_true (value);
      else
        docread_report_invalid (reader, field, value);
      return;
    case SCHEMA_CHOICE:
      docread_choice (reader, field, value, base);
      return;
    case SCHEMA_TEXT:
      docread_text (reader, field, value, base);
      return;
    case SCHEMA_OBJECT:
      docread_object (reader, field->as.object, value, base);
      return;
    case SCHEMA_LIST:
      docread_list (reader, field, value, base);
      return;
    }
}

/* Stores the default of an absent field, and reports it if it is required.  */
static void
docread_default (struct docread *reader, const struct schema_field *field,
                 void *base)
{
  char allowed[DOCREAD_ALLOWED_BYTES];

  if (field->required)
    {
      schema_describe_allowed (field, allowed, sizeof allowed);
      docreport_fault (reader->report, "missing; allowed: %s", allowed);
    }
  switch (field->type)
    {
    case SCHEMA_NUMBER:
      docread_store_number (field, base,
                            field->required ? SCHEMA_DERIVED
                                            : field->as.number.default_value);
      return;
    case SCHEMA_OBJECT:
      docread_fields (reader, field->as.object, NULL, base);
      return;
    case SCHEMA_BOOLEAN:
    case SCHEMA_CHOICE:
    case SCHEMA_TEXT:
    case SCHEMA_LIST:
      return;
    }
}

/* Reads the fields of GROUP into the struct at BASE; all are absent when
   OBJECT is NULL.  */
static void
docread_fields (struct docread *reader, const struct schema_group *group,
                const json_t *object, void *base)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct schema_field *field = &group->fields[i];
      const json_t *value = json_object_get (object, field->name);
      size_t path_len = docreport_enter (reader->report, field->name);

      if (value == NULL)
        docread_default (reader, field, base);
      else
        docread_value (reader, field, value, base);
      docreport_leave (reader->report, path_len);
    }
}

static void
docread_object (struct docread *reader, const struct schema_group *group,
                const json_t *object, void *base)
{
  char value_text[DOCREAD_VALUE_BYTES];
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    {
      docread_format_value (object, value_text, sizeof value_text);
      docreport_fault (reader->report, "%s is not allowed; allowed: an object",
                       value_text);
      return;
    }
  json_object_foreach ((json_t *)object, key, value)
    {
      if (schema_find_field (group, key) == NULL)
        docread_report_unknown_field (reader, group, key);
    }
  docread_fields (reader, group, object, base);
}

/* Whether the document declares a format other than DOC_FORMAT.  */
static bool
docread_is_other_format (const json_t *root)
{
  const json_t *format = json_object_get (root, "format");

  return json_is_integer (format) && json_integer_value (format) != DOC_FORMAT;
}

int
docread_document (const json_t *root, struct docreport *report,
                  struct model *model)
{
  struct docread reader = { .report = report, .model = model };
  size_t path_len;

  if (docread_is_other_format (root))
    {
      path_len = docreport_enter (report, "format");
      docread_report_invalid (&reader,
                              schema_find_field (&schema_document, "format"),
                              json_object_get (root, "format"));
      docreport_leave (report, path_len);
      return SR_EVERSION;
    }
  docread_object (&reader, &schema_document, root, model);
  return reader.error;
}
