#include "programs/ctl_show.h"

#include <ctype.h>

#define CTL_SHOW_INDENT 2

void
ctl_show_json (FILE *out, const json_t *value)
{
  json_dumpf (value, out, JSON_INDENT (CTL_SHOW_INDENT) | JSON_ENCODE_ANY);
  fputc ('\n', out);
}

/* Prints TEXT with "?" for control characters, since they come from a node and
   could change the state of the terminal.  */
static void
ctl_show_printable (FILE *out, const char *text)
{
  for (; *text != '\0'; text++)
    fputc (iscntrl ((unsigned char)*text) ? '?' : *text, out);
}

void
ctl_show_line (FILE *out, const char *text)
{
  ctl_show_printable (out, text);
  fputc ('\n', out);
}

/* Prints a value that is neither an object nor an array.  */
static void
ctl_show_scalar (FILE *out, const json_t *value)
{
  if (json_is_string (value))
    ctl_show_printable (out, json_string_value (value));
  else
    json_dumpf (value, out, JSON_ENCODE_ANY | JSON_COMPACT);
}

/* Prints an array element on one line, objects as "key=value" pairs.  */
static void
ctl_show_entry (FILE *out, const json_t *entry)
{
  const char *key;
  const char *separator = "";
  json_t *value;

  if (!json_is_object (entry))
    {
      ctl_show_scalar (out, entry);
      return;
    }
  json_object_foreach ((json_t *)entry, key, value)
    {
      fprintf (out, "%s%s=", separator, key);
      ctl_show_scalar (out, value);
      separator = " ";
    }
}

static void
ctl_show_list (FILE *out, const json_t *list, int indent)
{
  size_t i;
  json_t *entry;

  json_array_foreach (list, i, entry)
    {
      fprintf (out, "%*s", indent, "");
      ctl_show_entry (out, entry);
      fputc ('\n', out);
    }
}

/* Prints one member of an object.  The members of a nested object get a line
   each at the top level, and share one line below it.  */
static void
ctl_show_field (FILE *out, const char *key, const json_t *value, int indent)
{
  const char *inner_key;
  json_t *inner;

  fprintf (out, "%*s%s:", indent, "", key);
  if (json_is_array (value))
    {
      fprintf (out, " %zu\n", json_array_size (value));
      ctl_show_list (out, value, indent + CTL_SHOW_INDENT);
      return;
    }
  if (!json_is_object (value) || indent > 0)
    {
      fputc (' ', out);
      ctl_show_entry (out, value);
      fputc ('\n', out);
      return;
    }
  fputc ('\n', out);
  json_object_foreach ((json_t *)value, inner_key, inner)
    {
      ctl_show_field (out, inner_key, inner, indent + CTL_SHOW_INDENT);
    }
}

void
ctl_show_text (FILE *out, const json_t *value)
{
  const char *key;
  json_t *field;

  if (json_is_array (value))
    {
      ctl_show_list (out, value, 0);
      return;
    }
  json_object_foreach ((json_t *)value, key, field)
    {
      ctl_show_field (out, key, field, 0);
    }
}

void
ctl_show_faults (FILE *out, const json_t *faults)
{
  size_t i;
  json_t *fault;

  json_array_foreach (faults, i, fault)
    {
      const char *path = json_string_value (json_object_get (fault, "path"));
      const char *text = json_string_value (json_object_get (fault, "text"));

      ctl_show_printable (out, path != NULL ? path : "document");
      fputs (": ", out);
      ctl_show_printable (out, text != NULL ? text : "not allowed");
      fputc ('\n', out);
    }
}

void
ctl_show_append_fault (void *list, const char *path, const char *text)
{
  json_array_append_new (list,
                         json_pack ("{ssss}", "path", path, "text", text));
}
