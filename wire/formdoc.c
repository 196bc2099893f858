#include "wire/formdoc.h"

#include <ctype.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "wire/doc.h"
#include "wire/schema.h"

#define FORMDOC_NAME_BYTES 64

/* Copies the key at *NAME, up to the next "." or "[", to KEY and advances
 *NAME past it; false when it is empty or too long.  */
static bool
formdoc_next_key (const char **name, char *key)
{
  size_t len = strcspn (*name, ".[");

  if (len == 0 || len >= FORMDOC_NAME_BYTES)
    return false;
  memcpy (key, *name, len);
  key[len] = '\0';
  *name += len;
  return true;
}

/* Parses "[INDEX]." at *NAME and advances *NAME past it; false when the syntax
   is wrong or the index is not below LIMIT.  */
static bool
formdoc_next_index (const char **name, size_t limit, size_t *index)
{
  const char *text = *name;
  char *end;
  unsigned long number;

  if (text[0] != '[' || !isdigit ((unsigned char)text[1]))
    return false;
  errno = 0;
  number = strtoul (text + 1, &end, 10);
  if (errno != 0 || number >= limit || end[0] != ']' || end[1] != '.')
    return false;
  *index = number;
  *name = end + 2;
  return true;
}

/* Member KEY of OBJECT.  Adds NEW_VALUE if it is absent, else releases it.  */
static json_t *
formdoc_get_or_add_member (json_t *object, const char *key, json_t *new_value)
{
  json_t *member = json_object_get (object, key);

  if (member != NULL)
    {
      json_decref (new_value);
      return member;
    }
  json_object_set_new (object, key, new_value);
  return json_object_get (object, key);
}

/* Entry of LIST at INDEX; empty objects are appended up to it.  */
static json_t *
formdoc_get_or_add_entry (json_t *list, size_t index)
{
  while (json_array_size (list) <= index)
    if (json_array_append_new (list, json_object ()) != 0)
      return NULL;
  return json_array_get (list, index);
}

/* JSON string of TEXT.  If it is not valid UTF-8, each byte that is not ASCII
   is replaced by "?".  */
static json_t *
formdoc_string (const char *text, size_t len)
{
  json_t *value = json_stringn (text, len);
  char *ascii;

  if (value != NULL)
    return value;
  ascii = malloc (len + 1);
  if (ascii == NULL)
    return NULL;
  for (size_t i = 0; i < len; i++)
    ascii[i] = text[i];
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)ascii[i] >= 0x80)
      ascii[i] = '?';
  value = json_stringn (ascii, len);
  free (ascii);
  return value;
}

/* Value of a number field: an integer when TEXT is one, else a string.  */
static json_t *
formdoc_number (const char *text, size_t len)
{
  char *end;
  long long number;

  errno = 0;
  number = strtoll (text, &end, 10);
  if (isdigit ((unsigned char)text[0]) && errno == 0 && end == text + len)
    return json_integer (number);
  return formdoc_string (text, len);
}

/* List of the words in TEXT, which are separated by white space or commas.  */
static json_t *
formdoc_split_words (const char *text)
{
  static const char separators[] = " ,\t\r\n";
  json_t *list = json_array ();

  for (text += strspn (text, separators); *text != '\0';
       text += strspn (text, separators))
    {
      size_t len = strcspn (text, separators);

      json_array_append_new (list, formdoc_string (text, len));
      text += len;
    }
  return list;
}

/* Converts the LEN bytes at TEXT to a value of FIELD; a string when they do
   not match its type.  */
static json_t *
formdoc_convert (const struct schema_field *field, const char *text,
                 size_t len)
{
  switch (field->type)
    {
    case SCHEMA_NUMBER:
      return formdoc_number (text, len);
    case SCHEMA_BOOLEAN:
      if (len == 4 && memcmp (text, "true", len) == 0)
        return json_true ();
      if (len == 5 && memcmp (text, "false", len) == 0)
        return json_false ();
      return formdoc_string (text, len);
    case SCHEMA_LIST:
      return formdoc_split_words (text);
    case SCHEMA_CHOICE:
    case SCHEMA_TEXT:
    case SCHEMA_OBJECT:
      return formdoc_string (text, len);
    }
  return NULL;
}

/* Stores a form value without surrounding white space in OBJECT, unless it is
   empty.  */
static void
formdoc_store (json_t *object, const struct schema_field *field,
               const char *text)
{
  size_t len;

  while (isspace ((unsigned char)*text))
    text++;
  len = strlen (text);
  while (len > 0 && isspace ((unsigned char)text[len - 1]))
    len--;
  if (len > 0)
    json_object_set_new (object, field->name,
                         formdoc_convert (field, text, len));
}

/* Stores the form field NAME, a path, in the document OBJECT; ignores unknown
   fields.  */
static void
formdoc_set (json_t *object, const char *name, const char *text)
{
  const struct schema_group *group = &schema_document;
  char key[FORMDOC_NAME_BYTES];

  while (formdoc_next_key (&name, key))
    {
      const struct schema_field *field = schema_find_field (group, key);
      size_t index;

      if (field == NULL)
        return;
      if (name[0] == '\0')
        {
          bool nested = field->type == SCHEMA_OBJECT
                        || (field->type == SCHEMA_LIST
                            && field->as.list.group != NULL);

          if (!nested)
            formdoc_store (object, field, text);
          return;
        }
      if (field->type == SCHEMA_OBJECT && name[0] == '.')
        {
          name++;
          group = field->as.object;
          object = formdoc_get_or_add_member (object, field->name,
                                              json_object ());
        }
      else if (field->type == SCHEMA_LIST && field->as.list.group != NULL
               && formdoc_next_index (&name, field->as.list.max, &index))
        {
          group = field->as.list.group;
          object = formdoc_get_or_add_entry (
              formdoc_get_or_add_member (object, field->name, json_array ()),
              index);
        }
      else
        return;
    }
}

/* Removes empty objects at the top level, which represent absent ones.  */
static void
formdoc_remove_empty (json_t *root)
{
  for (size_t i = 0; i < schema_document.count; i++)
    {
      const struct schema_field *field = &schema_document.fields[i];
      const json_t *member = json_object_get (root, field->name);

      if (field->type == SCHEMA_OBJECT && member != NULL
          && json_object_size (member) == 0)
        json_object_del (root, field->name);
    }
}

json_t *
formdoc_read (const struct urlform *form)
{
  json_t *root = json_object ();

  list_each (node, &form->pairs)
    {
      const struct urlform_pair *pair
          = list_entry (node, struct urlform_pair, node);

      formdoc_set (root, pair->name, pair->value);
    }
  formdoc_remove_empty (root);
  json_object_set_new (root, "format", json_integer (DOC_FORMAT));
  return root;
}

/* A new service, with one empty kind.  */
static json_t *
formdoc_new_service (void)
{
  return json_pack ("{s[{}]}", "kinds");
}

void
formdoc_edit (json_t *document, const struct formdoc_edit *edit)
{
  json_t *services
      = formdoc_get_or_add_member (document, "services", json_array ());
  json_t *service = json_array_get (services, edit->service_index);
  json_t *kinds = json_object_get (service, "kinds");

  switch (edit->op)
    {
    case FORMDOC_ADD_SERVICE:
      if (json_array_size (services) < SCHEMA_SERVICES_MAX)
        json_array_append_new (services, formdoc_new_service ());
      return;
    case FORMDOC_REMOVE_SERVICE:
      json_array_remove (services, edit->service_index);
      return;
    case FORMDOC_ADD_KIND:
      if (!json_is_object (service))
        return;
      kinds = formdoc_get_or_add_member (service, "kinds", json_array ());
      if (json_array_size (kinds) < SCHEMA_KINDS_MAX)
        json_array_append_new (kinds, json_object ());
      return;
    case FORMDOC_REMOVE_KIND:
      json_array_remove (kinds, edit->kind_index);
      return;
    }
}

/* The strings of LIST, one per line; malloc()ed, NULL when out of memory.  */
static char *
formdoc_join_lines (const json_t *list)
{
  size_t size = 1;
  size_t used = 0;
  char *text;

  for (size_t i = 0; i < json_array_size (list); i++)
    size += json_string_length (json_array_get (list, i)) + 1;
  text = calloc (1, size);
  for (size_t i = 0; text != NULL && i < json_array_size (list); i++)
    {
      const json_t *entry = json_array_get (list, i);
      size_t len = json_string_length (entry);

      if (len > 0)
        memcpy (text + used, json_string_value (entry), len);
      used += len;
      text[used++] = '\n';
    }
  return text;
}

char *
formdoc_value_text (const json_t *value)
{
  if (value == NULL)
    return calloc (1, 1);
  if (json_is_string (value))
    return strdup (json_string_value (value));
  if (json_is_array (value))
    return formdoc_join_lines (value);
  return json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
}
