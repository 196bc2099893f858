#ifndef WIRE_SCHEMA_H
#define WIRE_SCHEMA_H

/**
 * DOC: schema - schema of the configuration document
 *
 * One table for each object of the document.  The JSON reader, the console and
 * the tests of the operators' page use these tables.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/text.h"

#define SCHEMA_DOCUMENT_BYTES_MAX (1024 * 1024)
#define SCHEMA_SERVICES_MAX 1000
#define SCHEMA_KINDS_MAX 64

/* Default of a number that depends on other fields.  Also stored for an
   invalid number, so that later checks can skip it.  */
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

/* Type of the entries of a list.  */
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
  uint32_t default_value; /* SCHEMA_DERIVED: see default_text of the field */
};

struct schema_choice
{
  const char *const *names; /* ends with NULL; the first one is the default */
  bool as_text;             /* the model stores the name, not its index */
};

struct schema_list
{
  enum schema_item item;
  uint32_t min;
  uint32_t max;
  const struct schema_group *group; /* of the entries; NULL for strings */
};

/**
 * struct schema_field - one field of an object
 * @name: key in the document
 * @type: which member of @as is in use; SCHEMA_BOOLEAN has none
 * @required: whether a document without the field is invalid
 * @offset: of the member in the model struct, in bytes; unused for objects and
 *          lists
 * @size: of that member, in bytes
 * @label: short name on the console
 * @unit: unit of the value, empty when it has none
 * @description: one sentence
 * @default_text: the default, as text; empty for a required field
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

/* The fields of one object.  */
struct schema_group
{
  const struct schema_field *fields;
  size_t count;
};

extern const struct schema_group schema_document;
extern const struct schema_group schema_service;
extern const struct schema_group schema_kind;

/* Field of GROUP with the key NAME, or NULL.  */
const struct schema_field *schema_find_field (const struct schema_group *group,
                                              const char *name);

/* Index of NAME in the names of CHOICE, or -1.  */
int schema_choice_index (const struct schema_choice *choice, const char *name);

/**
 * schema_describe_allowed() - describe which values a field allows
 * @field: field
 * @out: buffer for the text
 * @size: its size in bytes; 160 are enough for all fields
 */
void schema_describe_allowed (const struct schema_field *field, char *out,
                              size_t size);

#endif
