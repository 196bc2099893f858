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

#define SCH_DOCUMENT_BYTES_MAX (1024 * 1024)
#define SCH_SERVICES_MAX 1000
#define SCH_KINDS_MAX 64

/* Preset of a number that follows from other fields.  Also stored for a
   number that is wrong, so that later checks can leave it out.  */
#define SCH_DERIVED UINT32_MAX

enum sch_type
{
  SCH_NUMBER,
  SCH_BOOLEAN,
  SCH_CHOICE,
  SCH_TEXT,
  SCH_OBJECT,
  SCH_LIST,
};

/* What a list holds.  */
enum sch_item
{
  SCH_ITEM_SERVICE,
  SCH_ITEM_KIND,
  SCH_ITEM_HEADER,
};

struct sch_number
{
  uint32_t min;
  uint32_t max;
  uint32_t preset; /* SCH_DERIVED: see preset_text of the field */
};

struct sch_choice
{
  const char *const *names; /* ends with NULL; the first one is the preset */
  bool as_text;             /* the model holds the name, not its position */
};

struct sch_list
{
  enum sch_item item;
  uint32_t min;
  uint32_t max;
  const struct sch_group *group; /* NULL for a list of texts */
};

/**
 * struct sch_field - one field of an object
 * @name: key in the document
 * @type: which member of @as is in use; SCH_BOOLEAN has none
 * @required: a document without the field is refused
 * @offset: of the value in the model struct; unused for objects and lists
 * @size: of the value in the model struct
 * @label: short name for people
 * @unit: empty for a field without a unit
 * @meaning: one sentence
 * @preset_text: what holds when the field is absent; empty when required
 */
struct sch_field
{
  const char *name;
  enum sch_type type;
  bool required;
  size_t offset;
  size_t size;
  union
  {
    struct sch_number number;
    struct sch_choice choice;
    enum txt_form text;
    const struct sch_group *object;
    struct sch_list list;
  } as;
  const char *label;
  const char *unit;
  const char *meaning;
  const char *preset_text;
};

struct sch_group
{
  const struct sch_field *fields;
  size_t count;
};

extern const struct sch_group sch_document;
extern const struct sch_group sch_service;
extern const struct sch_group sch_kind;

/* Field of GROUP called NAME, or NULL.  */
const struct sch_field *sch_find (const struct sch_group *group,
                                  const char *name);

/* Position of NAME among the names of CHOICE, or -1.  */
int sch_choice_index (const struct sch_choice *choice, const char *name);

/**
 * sch_allowed() - say which values a field may have
 * @field: field
 * @out: buffer
 * @size: its size; 160 bytes hold every text
 */
void sch_allowed (const struct sch_field *field, char *out, size_t size);

#endif
