#include "programs/tool_opt.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define TOOL_OPT_SPECS_MAX 48
#define TOOL_OPT_VERSION (TOOL_OPT_SPECS_MAX + 1)

void
tool_opt_fail (const char *program, const char *name, const char *value,
               const char *allowed)
{
  fprintf (stderr, "%s: --%s \"%s\" is not allowed; allowed: %s\n", program,
           name, value, allowed);
  exit (2);
}

bool
tool_opt_read_address (const char *text, struct tool_opt_address *address)
{
  const char *colon = strrchr (text, ':');
  unsigned char ignored[16];
  unsigned long port;
  char *end;

  if (colon == NULL || (size_t)(colon - text) >= sizeof address->ip)
    return false;
  memcpy (address->ip, text, (size_t)(colon - text));
  address->ip[colon - text] = '\0';
  if (inet_pton (AF_INET, address->ip, ignored) != 1)
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || port == 0
      || port > 65535)
    return false;
  address->port = (uint16_t)port;
  return true;
}

/* Parses a decimal number in the range of SPEC.  */
static bool
tool_opt_read_number (const struct tool_opt_spec *spec, const char *text)
{
  char *end;
  uint64_t number;

  errno = 0;
  number = strtoull (text, &end, 10);
  if (errno != 0 || text[0] < '0' || text[0] > '9' || *end != '\0'
      || number < spec->min || number > spec->max)
    return false;
  *spec->dest.number = number;
  return true;
}

/* Parses VALUE, which is NULL for a flag, and stores it in the destination of
   SPEC.  Ends the process when it is invalid.  */
static void
tool_opt_store (const char *program, const struct tool_opt_spec *spec,
                char *value)
{
  char allowed[96];

  switch (spec->kind)
    {
    case TOOL_OPT_TEXT:
      *spec->dest.text = value;
      break;
    case TOOL_OPT_NUMBER:
      snprintf (allowed, sizeof allowed, "%" PRIu64 " to %" PRIu64, spec->min,
                spec->max);
      if (!tool_opt_read_number (spec, value))
        tool_opt_fail (program, spec->name, value, allowed);
      free (value);
      break;
    case TOOL_OPT_FLAG:
      *spec->dest.flag = true;
      break;
    case TOOL_OPT_ADDRESS:
      if (!tool_opt_read_address (value, spec->dest.address))
        tool_opt_fail (program, spec->name, value, "IP:PORT, port 1 to 65535");
      free (value);
      break;
    case TOOL_OPT_LIST:
      snprintf (allowed, sizeof allowed, "at most %d of them",
                TOOL_OPT_LIST_MAX);
      if (spec->dest.list->count == TOOL_OPT_LIST_MAX)
        tool_opt_fail (program, spec->name, value, allowed);
      spec->dest.list->items[spec->dest.list->count++] = value;
      break;
    case TOOL_OPT_END:
      break;
    }
}

/* Fills TABLE with the popt options for SPECS, --version and --help.  */
static void
tool_opt_build_table (const struct tool_opt_spec *specs,
                      struct poptOption *table)
{
  size_t count = 0;

  for (; specs[count].kind != TOOL_OPT_END; count++)
    {
      INVARIANT (count < TOOL_OPT_SPECS_MAX);
      table[count].longName = specs[count].name;
      table[count].argInfo = specs[count].kind == TOOL_OPT_FLAG
                                 ? POPT_ARG_NONE
                                 : POPT_ARG_STRING;
      table[count].val = (int)count + 1;
      table[count].descrip = specs[count].help;
      table[count].argDescrip = specs[count].arg;
    }
  table[count].longName = "version";
  table[count].argInfo = POPT_ARG_NONE;
  table[count].val = TOOL_OPT_VERSION;
  table[count].descrip = "print the version and exit";
  table[count + 1].argInfo = POPT_ARG_INCLUDE_TABLE;
  table[count + 1].arg = poptHelpOptions;
  table[count + 1].descrip = "Help:";
}

void
tool_opt_parse (const char *program, const struct tool_opt_spec *specs,
                int argc, const char **argv)
{
  struct poptOption table[TOOL_OPT_SPECS_MAX + 3] = { 0 };
  poptContext context;
  const char *extra;
  int rc;

  tool_opt_build_table (specs, table);
  context = poptGetContext (program, argc, argv, table, 0);
  while ((rc = poptGetNextOpt (context)) > 0)
    {
      if (rc == TOOL_OPT_VERSION)
        {
          printf ("%s %s\n", program, SR_VERSION);
          exit (0);
        }
      tool_opt_store (program, &specs[rc - 1], poptGetOptArg (context));
    }
  if (rc < -1)
    {
      fprintf (stderr, "%s: %s: %s; allowed: see --help\n", program,
               poptBadOption (context, 0), poptStrerror (rc));
      exit (2);
    }
  extra = poptGetArg (context);
  if (extra != NULL)
    {
      fprintf (stderr,
               "%s: argument \"%s\" is not allowed; allowed: settings "
               "listed by --help\n",
               program, extra);
      exit (2);
    }
  poptFreeContext (context);
}

bool
tool_opt_read_field_name (const char *text,
                          char out[TOOL_OPT_FIELD_NAME_BYTES])
{
  size_t len = strlen (text);

  if (len == 0 || len + 2 > TOOL_OPT_FIELD_NAME_BYTES)
    return false;
  for (size_t i = 0; i < len; i++)
    out[i] = (char)tolower ((unsigned char)text[i]);
  out[len] = ':';
  out[len + 1] = '\0';
  return true;
}
