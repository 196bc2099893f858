#include "wire/consoleform.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "wire/doc.h"
#include "wire/formdoc.h"
#include "wire/html.h"
#include "wire/schema.h"

#define CONSOLEFORM_PATH_BYTES 256
#define CONSOLEFORM_ALLOWED_BYTES 160
#define CONSOLEFORM_ACTION_BYTES 64
#define CONSOLEFORM_HEADERS "headers"

/* Up to this number, all services are shown expanded.  */
#define CONSOLEFORM_EXPANDED_MAX 4

/* State of writing a form.  */
struct consoleform
{
  FILE *out;
  const json_t *faults;
};

/* sr_fault_fn: adds a fault to the JSON object ARG.  Faults in entries of the
   header list belong to the one form field of the list.  */
static void
consoleform_add_fault (void *arg, const char *path, const char *text)
{
  json_t *faults = arg;
  const char *before;
  json_t *line;

  if (strncmp (path, CONSOLEFORM_HEADERS "[", strlen (CONSOLEFORM_HEADERS "["))
      == 0)
    path = CONSOLEFORM_HEADERS;
  before = json_string_value (json_object_get (faults, path));
  if (before == NULL)
    line = json_string (text);
  else
    line = json_sprintf ("%s\n%s", before, text);
  json_object_set_new (faults, path, line);
}

json_t *
consoleform_faults (const char *text, size_t len)
{
  json_t *faults = json_object ();

  if (doc_parse (text, len, consoleform_add_fault, faults, NULL) != SR_OK
      && json_object_size (faults) == 0)
    consoleform_add_fault (faults, "document", "out of memory");
  return faults;
}

static const char *
consoleform_get_fault (const struct consoleform *form, const char *path)
{
  return json_string_value (json_object_get (form->faults, path));
}

/* Writes the fault at PATH, if there is one.  */
static void
consoleform_write_fault (const struct consoleform *form, const char *path)
{
  const char *fault = consoleform_get_fault (form, path);

  if (fault == NULL)
    return;
  fputs ("<p class=\"fault\"", form->out);
  html_id_attribute (form->out, "id", path, "-fault");
  fputc ('>', form->out);
  html_text (form->out, fault);
  fputs ("</p>\n", form->out);
}

/* Writes the attributes that are common to all controls.  */
static void
consoleform_write_control_attributes (const struct consoleform *form,
                                      const struct schema_field *field,
                                      const char *path)
{
  bool faulty = consoleform_get_fault (form, path) != NULL;

  html_id_attribute (form->out, "id", path, "");
  html_attribute (form->out, "name", path);
  fputs (" aria-describedby=\"", form->out);
  html_id (form->out, path, "-help");
  if (faulty)
    {
      fputc (' ', form->out);
      html_id (form->out, path, "-fault");
    }
  fputc ('"', form->out);
  if (faulty)
    fputs (" aria-invalid=\"true\"", form->out);
  if (field->required)
    fputs (" aria-required=\"true\"", form->out);
}

/* Writes an option of a select element, with LABEL or, when NULL, VALUE as its
   text.  */
static void
consoleform_write_option (FILE *out, const char *value, const char *label,
                          const char *selected)
{
  fputs ("<option", out);
  html_attribute (out, "value", value);
  if (strcmp (value, selected) == 0)
    fputs (" selected", out);
  fputc ('>', out);
  html_text (out, label != NULL ? label : value);
  fputs ("</option>\n", out);
}

/* Writes a select element with the options NAMES.  An unknown value is added,
   so that it is shown together with its fault.  */
static void
consoleform_write_select (const struct consoleform *form,
                          const struct schema_field *field, const char *path,
                          const char *const *names, const char *selected)
{
  bool known = selected[0] == '\0';

  fputs ("<select", form->out);
  consoleform_write_control_attributes (form, field, path);
  fputs (">\n", form->out);
  consoleform_write_option (form->out, "",
                            field->required ? "choose" : "not set", selected);
  for (; *names != NULL; names++)
    {
      known = known || strcmp (*names, selected) == 0;
      consoleform_write_option (form->out, *names, NULL, selected);
    }
  if (!known)
    consoleform_write_option (form->out, selected, NULL, selected);
  fputs ("</select>\n", form->out);
}

/* Writes the control of a field with VALUE.  */
static void
consoleform_write_value (const struct consoleform *form,
                         const struct schema_field *field, const char *path,
                         const char *value)
{
  static const char *const booleans[] = { "true", "false", NULL };

  switch (field->type)
    {
    case SCHEMA_BOOLEAN:
      consoleform_write_select (form, field, path, booleans, value);
      return;
    case SCHEMA_CHOICE:
      consoleform_write_select (form, field, path, field->as.choice.names,
                                value);
      return;
    case SCHEMA_LIST:
      fputs ("<textarea rows=\"6\" cols=\"40\"", form->out);
      consoleform_write_control_attributes (form, field, path);
      fputs (">\n", form->out);
      html_text (form->out, value);
      fputs ("</textarea>\n", form->out);
      return;
    case SCHEMA_NUMBER:
    case SCHEMA_TEXT:
    case SCHEMA_OBJECT:
      fputs ("<input type=\"text\"", form->out);
      if (field->type == SCHEMA_NUMBER)
        fputs (" inputmode=\"numeric\"", form->out);
      consoleform_write_control_attributes (form, field, path);
      html_attribute (form->out, "value", value);
      fputs (">\n", form->out);
      return;
    }
}

/* Writes the description of a field, its allowed values and its default.  */
static void
consoleform_write_help (const struct consoleform *form,
                        const struct schema_field *field, const char *path)
{
  char allowed[CONSOLEFORM_ALLOWED_BYTES];

  schema_describe_allowed (field, allowed, sizeof allowed);
  fputs ("<p class=\"help\"", form->out);
  html_id_attribute (form->out, "id", path, "-help");
  fputc ('>', form->out);
  html_text (form->out, field->description);
  fputs (" Allowed: ", form->out);
  if (field->type == SCHEMA_LIST)
    fputs ("names of HTTP fields, one a line; ", form->out);
  html_text (form->out, allowed);
  if (!field->required)
    {
      fputs (". When empty: ", form->out);
      html_text (form->out, field->default_text);
    }
  fputs (".</p>\n", form->out);
}

/* Writes a field: label, control, help and fault.  */
static void
consoleform_write_field (const struct consoleform *form,
                         const struct schema_field *field, const char *path,
                         const json_t *value)
{
  char *text = formdoc_value_text (value);

  fputs ("<div class=\"field\">\n<label", form->out);
  html_id_attribute (form->out, "for", path, "");
  fputc ('>', form->out);
  html_text (form->out, field->label);
  if (field->unit[0] != '\0')
    {
      fputs (" (", form->out);
      html_text (form->out, field->unit);
      fputc (')', form->out);
    }
  fputs ("</label>\n", form->out);
  consoleform_write_value (form, field, path, text != NULL ? text : "");
  consoleform_write_help (form, field, path);
  consoleform_write_fault (form, path);
  fputs ("</div>\n", form->out);
  free (text);
}

static void consoleform_write_group (const struct consoleform *form,
                                     const struct schema_group *group,
                                     const json_t *object, const char *path);

/* Starts a fieldset with a legend, and writes the fault at PATH.  */
static void
consoleform_open_fieldset (const struct consoleform *form, const char *path,
                           const char *label, const char *name)
{
  fputs ("<fieldset", form->out);
  html_id_attribute (form->out, "id", path, "");
  fputs ("><legend>", form->out);
  html_text (form->out, label);
  if (name != NULL)
    {
      fputc (' ', form->out);
      html_text (form->out, name);
    }
  fputs ("</legend>\n", form->out);
  consoleform_write_fault (form, path);
}

/* Writes the path of an entry of the list at PATH to ENTRY_PATH, which has
   CONSOLEFORM_PATH_BYTES bytes.  */
static void
consoleform_entry_path (char *entry_path, const char *path, size_t index)
{
  int len
      = snprintf (entry_path, CONSOLEFORM_PATH_BYTES, "%s[%zu]", path, index);

  INVARIANT (len > 0 && len < CONSOLEFORM_PATH_BYTES);
}

/* Name of a service or kind, or NULL.  */
static const char *
consoleform_entry_name (const json_t *entry)
{
  return json_string_value (json_object_get (entry, "name"));
}

static void
consoleform_write_kinds (const struct consoleform *form,
                         const struct schema_field *field, const char *path,
                         const json_t *kinds, size_t service_index)
{
  char action[CONSOLEFORM_ACTION_BYTES];
  char entry_path[CONSOLEFORM_PATH_BYTES];

  consoleform_write_fault (form, path);
  for (size_t i = 0; i < json_array_size (kinds); i++)
    {
      const json_t *kind = json_array_get (kinds, i);

      consoleform_entry_path (entry_path, path, i);
      consoleform_open_fieldset (form, entry_path, "Kind",
                                 consoleform_entry_name (kind));
      consoleform_write_group (form, field->as.list.group, kind, entry_path);
      snprintf (action, sizeof action, CONSOLEFORM_REMOVE_KIND "%zu.%zu",
                service_index, i);
      html_button (form->out, action, "Remove this kind");
      fputs ("</fieldset>\n", form->out);
    }
  snprintf (action, sizeof action, CONSOLEFORM_ADD_KIND "%zu", service_index);
  html_button (form->out, action, "Add a kind");
}

static void
consoleform_write_services (const struct consoleform *form,
                            const struct schema_field *field, const char *path,
                            const json_t *services)
{
  size_t count = json_array_size (services);
  bool open = count <= CONSOLEFORM_EXPANDED_MAX
              || json_object_size (form->faults) > 0;
  char action[CONSOLEFORM_ACTION_BYTES];
  char entry_path[CONSOLEFORM_PATH_BYTES];

  fputs ("<h2 id=\"services\">Services</h2>\n", form->out);
  consoleform_write_fault (form, path);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *service = json_array_get (services, i);
      const char *name = consoleform_entry_name (service);

      fprintf (form->out, "<details%s><summary>Service ", open ? " open" : "");
      html_text (form->out, name != NULL ? name : "without a name");
      fputs ("</summary>\n", form->out);
      consoleform_entry_path (entry_path, path, i);
      consoleform_open_fieldset (form, entry_path, "Service", name);
      consoleform_write_group (form, field->as.list.group, service,
                               entry_path);
      fputs ("</fieldset>\n", form->out);
      snprintf (action, sizeof action, CONSOLEFORM_REMOVE_SERVICE "%zu", i);
      html_button (form->out, action, "Remove this service");
      fputs ("</details>\n", form->out);
    }
  html_button (form->out, CONSOLEFORM_ADD_SERVICE, "Add a service");
}

/* Writes a list: one text area for the HTTP fields, else a fieldset for each
   entry.  */
static void
consoleform_write_list (const struct consoleform *form,
                        const struct schema_field *field, const char *path,
                        const json_t *value)
{
  size_t service_index = 0;

  switch (field->as.list.item)
    {
    case SCHEMA_ITEM_HEADER:
      consoleform_write_field (form, field, path, value);
      return;
    case SCHEMA_ITEM_SERVICE:
      consoleform_write_services (form, field, path, value);
      return;
    case SCHEMA_ITEM_KIND:
      sscanf (path, "services[%zu]", &service_index);
      consoleform_write_kinds (form, field, path, value, service_index);
      return;
    }
}

/* Writes the fields of GROUP with the values in OBJECT.  */
static void
consoleform_write_group (const struct consoleform *form,
                         const struct schema_group *group,
                         const json_t *object, const char *path)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct schema_field *field = &group->fields[i];
      const json_t *value = json_object_get (object, field->name);
      char field_path[CONSOLEFORM_PATH_BYTES];

      snprintf (field_path, sizeof field_path, "%s%s%s", path,
                path[0] == '\0' ? "" : ".", field->name);
      if (strcmp (field_path, "format") == 0)
        continue; /* constant, set by formdoc_read() */
      switch (field->type)
        {
        case SCHEMA_OBJECT:
          consoleform_open_fieldset (form, field_path, field->label, NULL);
          consoleform_write_group (form, field->as.object, value, field_path);
          fputs ("</fieldset>\n", form->out);
          break;
        case SCHEMA_LIST:
          consoleform_write_list (form, field, field_path, value);
          break;
        default:
          consoleform_write_field (form, field, field_path, value);
        }
    }
}

/* Writes a list of all faults with links to their fields.  */
static void
consoleform_write_summary (const struct consoleform *form)
{
  const char *path;
  json_t *fault;

  if (json_object_size (form->faults) == 0)
    return;
  fprintf (form->out,
           "<div role=\"alert\">\n<h2>%zu fields need a change</h2>\n<ul>\n",
           json_object_size (form->faults));
  json_object_foreach ((json_t *)form->faults, path, fault)
    {
      fputs ("<li><a href=\"#", form->out);
      html_id (form->out, path, "");
      fputs ("\">", form->out);
      html_text (form->out, path);
      fputs ("</a>: ", form->out);
      html_text (form->out, json_string_value (fault));
      fputs ("</li>\n", form->out);
    }
  fputs ("</ul>\n</div>\n", form->out);
}

void
consoleform_write (FILE *out, const json_t *document, const json_t *faults,
                   const char *base)
{
  struct consoleform form = { .out = out, .faults = faults };

  consoleform_write_summary (&form);
  fputs ("<form method=\"post\" action=\"/console\">\n", out);
  html_hidden (out, "base", base);
  /* Browsers use the first button of a form for the Enter key.  */
  html_button (out, CONSOLEFORM_REVIEW, "Review the change");
  html_button (out, CONSOLEFORM_DOWNLOAD, "Download the document");
  consoleform_write_group (&form, &schema_document, document, "");
  fputs ("<p>", out);
  html_button (out, CONSOLEFORM_REVIEW, "Review the change");
  html_button (out, CONSOLEFORM_DOWNLOAD, "Download the document");
  fputs ("</p>\n</form>\n", out);
}
