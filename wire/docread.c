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

#define DRD_VALUE_SHOWN 60
#define DRD_ALLOWED_BYTES 160
#define DRD_FIELDS_MAX 16

/* State of one reading.  */
struct drd
{
  struct drp *report;
  struct mdl *model;
  int error; /* of memory; stops the reading */
};

/* Writes the start of VALUE as JSON.  */
static void
drd_show (const json_t *value, char *out, size_t size)
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
drd_report_value (struct drd *reader, const struct sch_field *field,
                  const json_t *value)
{
  char shown[DRD_VALUE_SHOWN];
  char allowed[DRD_ALLOWED_BYTES];

  drd_show (value, shown, sizeof shown);
  sch_allowed (field, allowed, sizeof allowed);
  drp_report (reader->report, "%s is not allowed; allowed: %s", shown,
              allowed);
}

/* Reports a key that GROUP does not have.  */
static void
drd_report_unknown (struct drd *reader, const struct sch_group *group,
                    const char *key)
{
  const char *names[DRD_FIELDS_MAX];
  const char *nearest;
  size_t before = drp_enter (reader->report, key);

  INVARIANT (group->count <= DRD_FIELDS_MAX);
  for (size_t i = 0; i < group->count; i++)
    names[i] = group->fields[i].name;
  nearest = txt_nearest (key, names, group->count);
  if (nearest != NULL)
    drp_report (reader->report, "unknown field; did you mean \"%s\"?",
                nearest);
  else
    drp_report (reader->report, "unknown field");
  drp_leave (reader->report, before);
}

/* Stores a number in the model struct at BASE.  */
static void
drd_store_number (const struct sch_field *field, void *base, uint32_t number)
{
  char *at = (char *)base + field->offset;

  if (field->size == sizeof (uint8_t))
    *(uint8_t *)at = (uint8_t)number;
  else if (field->size == sizeof (uint32_t))
    *(uint32_t *)at = number;
}

static void
drd_read_number (struct drd *reader, const struct sch_field *field,
                 const json_t *value, void *base)
{
  const struct sch_number *range = &field->as.number;
  json_int_t number = json_integer_value (value);

  if (json_is_integer (value) && number >= range->min && number <= range->max)
    {
      drd_store_number (field, base, (uint32_t)number);
      return;
    }
  drd_store_number (field, base, SCH_DERIVED);
  drd_report_value (reader, field, value);
}

static void
drd_read_choice (struct drd *reader, const struct sch_field *field,
                 const json_t *value, void *base)
{
  const char *name = json_string_value (value);
  char *at = (char *)base + field->offset;
  int index = -1;

  if (name != NULL)
    index = sch_choice_index (&field->as.choice, name);
  if (index < 0)
    drd_report_value (reader, field, value);
  else if (field->as.choice.as_text)
    snprintf (at, field->size, "%s", name);
  else
    *(int *)at = index;
}

static void
drd_read_text (struct drd *reader, const struct sch_field *field,
               const json_t *value, void *base)
{
  const char *text = json_string_value (value);

  if (text != NULL && txt_valid (field->as.text, text))
    snprintf ((char *)base + field->offset, field->size, "%s", text);
  else
    drd_report_value (reader, field, value);
}

static void drd_read_object (struct drd *reader, const struct sch_group *group,
                             const json_t *object, void *base);
static void drd_read_fields (struct drd *reader, const struct sch_group *group,
                             const json_t *object, void *base);

/* Allocates the service at position INDEX of the document.  */
static struct mdl_service *
drd_new_service (struct drd *reader, size_t index)
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
drd_new_kind (struct drd *reader, struct mdl_service *service, size_t index)
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
drd_read_header (struct drd *reader, const json_t *value)
{
  struct mdl *model = reader->model;
  struct sch_field field = { .type = SCH_TEXT, .as.text = TXT_HEADER };
  const char *text = json_string_value (value);
  char *at;

  if (text == NULL || !txt_valid (TXT_HEADER, text))
    {
      drd_report_value (reader, &field, value);
      return;
    }
  for (uint32_t i = 0; i < model->pass_header_count; i++)
    if (strcasecmp (model->pass_headers[i], text) == 0)
      {
        drp_report (reader->report, "\"%s\" is named twice; allowed: once",
                    text);
        return;
      }
  at = model->pass_headers[model->pass_header_count++];
  for (; *text != '\0'; text++)
    *at++ = (char)tolower ((unsigned char)*text);
  *at = '\0';
}

/* Reads the entry at position INDEX of a list.  */
static void
drd_read_entry (struct drd *reader, const struct sch_list *list,
                const json_t *value, void *base, size_t index)
{
  void *entry = NULL;

  switch (list->item)
    {
    case SCH_ITEM_SERVICE:
      entry = drd_new_service (reader, index);
      break;
    case SCH_ITEM_KIND:
      entry = drd_new_kind (reader, base, index);
      break;
    case SCH_ITEM_HEADER:
      drd_read_header (reader, value);
      return;
    }
  if (entry != NULL)
    drd_read_object (reader, list->group, value, entry);
}

static void
drd_read_list (struct drd *reader, const struct sch_field *field,
               const json_t *value, void *base)
{
  const struct sch_list *list = &field->as.list;
  size_t count = json_array_size (value);

  if (!json_is_array (value))
    {
      drd_report_value (reader, field, value);
      return;
    }
  if (count < list->min || count > list->max)
    drp_report (reader->report,
                "%zu entries are not allowed; allowed: %" PRIu32
                " to %" PRIu32,
                count, list->min, list->max);
  if (count > list->max)
    count = list->max;
  for (size_t i = 0; i < count && reader->error == SR_OK; i++)
    {
      size_t before = drp_enter_index (reader->report, i);

      drd_read_entry (reader, list, json_array_get (value, i), base, i);
      drp_leave (reader->report, before);
    }
}

/* Reads the value of a field that is present.  */
static void
drd_read_value (struct drd *reader, const struct sch_field *field,
                const json_t *value, void *base)
{
  switch (field->type)
    {
    case SCH_NUMBER:
      drd_read_number (reader, field, value, base);
      return;
    case SCH_BOOLEAN:
      if (json_is_boolean (value))
        *((bool *)((char *)base + field->offset)) = json_is_true (value);
      else
        drd_report_value (reader, field, value);
      return;
    case SCH_CHOICE:
      drd_read_choice (reader, field, value, base);
      return;
    case SCH_TEXT:
      drd_read_text (reader, field, value, base);
      return;
    case SCH_OBJECT:
      drd_read_object (reader, field->as.object, value, base);
      return;
    case SCH_LIST:
      drd_read_list (reader, field, value, base);
      return;
    }
}

/* Puts the preset of an absent field into the model.  */
static void
drd_read_absent (struct drd *reader, const struct sch_field *field, void *base)
{
  char allowed[DRD_ALLOWED_BYTES];

  if (field->required)
    {
      sch_allowed (field, allowed, sizeof allowed);
      drp_report (reader->report, "missing; allowed: %s", allowed);
    }
  switch (field->type)
    {
    case SCH_NUMBER:
      drd_store_number (field, base,
                        field->required ? SCH_DERIVED
                                        : field->as.number.preset);
      return;
    case SCH_OBJECT:
      drd_read_fields (reader, field->as.object, NULL, base);
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
drd_read_fields (struct drd *reader, const struct sch_group *group,
                 const json_t *object, void *base)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct sch_field *field = &group->fields[i];
      const json_t *value = json_object_get (object, field->name);
      size_t before = drp_enter (reader->report, field->name);

      if (value == NULL)
        drd_read_absent (reader, field, base);
      else
        drd_read_value (reader, field, value, base);
      drp_leave (reader->report, before);
    }
}

static void
drd_read_object (struct drd *reader, const struct sch_group *group,
                 const json_t *object, void *base)
{
  char shown[DRD_VALUE_SHOWN];
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    {
      drd_show (object, shown, sizeof shown);
      drp_report (reader->report, "%s is not allowed; allowed: an object",
                  shown);
      return;
    }
  json_object_foreach ((json_t *)object, key, value)
  {
    if (sch_find (group, key) == NULL)
      drd_report_unknown (reader, group, key);
  }
  drd_read_fields (reader, group, object, base);
}

/* Whether the document says that it has another format than this build.  */
static bool
drd_other_format (const json_t *root)
{
  const json_t *format = json_object_get (root, "format");

  return json_is_integer (format) && json_integer_value (format) != DOC_FORMAT;
}

int
drd_read (const json_t *root, struct drp *report, struct mdl *model)
{
  struct drd reader = { .report = report, .model = model };
  size_t before;

  if (drd_other_format (root))
    {
      before = drp_enter (report, "format");
      drd_report_value (&reader, sch_find (&sch_document, "format"),
                        json_object_get (root, "format"));
      drp_leave (report, before);
      return SR_EVERSION;
    }
  drd_read_object (&reader, &sch_document, root, model);
  return reader.error;
}
