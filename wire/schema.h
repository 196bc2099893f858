#ifndef WIRE_SCHEMA_H
#define WIRE_SCHEMA_H

/**
 * DOC: sch - the fields of the configuration document
 *
 * One table for each object of the document.  The JSON reader, the console
 * and the tests of the operators' page all work from these tables.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/text.h"

#define SCHEMA_DOCUMENT_BYTES_MAX (1024 * 1024)
#define SCHEMA_SERVICES_MAX 1000
#define SCHEMA_KINDS_MAX 64

/* Preset of a number that follows from other fields.  Also stored for a
   number that is wrong, so that later checks can leave it out.  */
#define SCHEMA_DERIVED UINT32_MAX

enum schema_type
{
  SCHEMA_NUMBER,
  SCHEMA_BOOLEAN,
  SCHEMA_CHOICE,
  SCHEMA_TEXT,
  SCHEMA_OBJECT,
  SCHEMA_LIST,
};

/* What a list holds.  */
enum schema_item
{
  SCHEMA_ITEM_SERVICE,
  SCHEMA_ITEM_KIND,
  SCHEMA_ITEM_HEADER,
};

struct schema_number
{
  uint32_t min;
  uint32_t max;
  uint32_t preset; /* SCHEMA_DERIVED: see preset_text of the field */
};

struct schema_choice
{
  const char *const *names; /* ends with NULL; the first one is the preset */
  bool as_text;             /* the model holds the name, not its position */
};

struct schema_list
{
  enum schema_item item;
  uint32_t min;
  uint32_t max;
  const struct schema_group *group; /* NULL for a list of texts */
};

/**
 * struct schema_field - one field of an object
 * @name: key in the document
 * @type: which member of @as is in use; SCHEMA_BOOLEAN has none
 * @required: a document without the field is refused
 * @offset: of the value in the model struct; unused for objects and lists
 * @size: of the value in the model struct
 * @label: short name for people
 * @unit: empty for a field without a unit
 * @meaning: one sentence
 * @preset_text: what holds when the field is absent; empty when required
 */
struct schema_field
{
  const char *name;
  enum schema_type type;
  bool required;
  size_t offset;
  size_t size;
  union
  {
    struct schema_number number;
    struct schema_choice choice;
    enum text_form text;
    const struct schema_group *object;
    struct schema_list list;
  } as;
  const char *label;
  const char *unit;
  const char *description;
  const char *default_text;
};

struct schema_group
{
  const struct schema_field *fields;
  size_t count;
};

extern const struct schema_group schema_document;
extern const struct schema_group schema_service;
extern const struct schema_group schema_kind;

/* Field of GROUP called NAME, or NULL.  */
const struct schema_field *schema_find_field (const struct schema_group *group,
                                              const char *name);

/* Position of NAME among the names of CHOICE, or -1.  */
int schema_choice_index (const struct schema_choice *choice, const char *name);

/**
 * schema_describe_allowed() - say which values a field may have
 * @field: field
 * @out: buffer
 * @size: its size; 160 bytes hold every text
 */
void schema_describe_allowed (const struct schema_field *field, char *out,
                              size_t size);

#endif
