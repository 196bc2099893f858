#ifndef PROGRAMS_TOOL_OPT_H
#define PROGRAMS_TOOL_OPT_H

/**
 * DOC: top - settings of the tools
 *
 * A table of settings is read with popt.  A wrong one ends the process with
 * one line that names the setting, the value and what is allowed, and with
 * exit status 2.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TOP_LIST_MAX 32
/* Name of an HTTP field, with a colon.  */
#define TOP_FIELD_BYTES 64
#define TOP_FIELD_ALLOWED "name of an HTTP field"

struct top_address
{
  char ip[48];
  uint16_t port; /* 0: not given */
};

struct top_list
{
  size_t count;
  char *items[TOP_LIST_MAX];
};

enum top_kind
{
  TOP_END,
  TOP_TEXT,
  TOP_NUMBER,
  TOP_FLAG,
  TOP_ADDRESS,
  TOP_LIST,
};

/* One setting; the member of TO that KIND names receives the value.  */
struct top_spec
{
  const char *name;
  enum top_kind kind;
  union
  {
    char **text;
    uint64_t *number;
    bool *flag;
    struct top_address *address;
    struct top_list *list;
  } to;
  uint64_t min;
  uint64_t max;
  const char *arg;
  const char *help;
};

/**
 * top_parse() - read the command line
 * @program: name for messages
 * @specs: settings, ending with kind TOP_END
 * @argc: number of arguments
 * @argv: arguments
 *
 * Handles --help and --version itself.  Values stay allocated until the
 * process ends.
 */
void top_parse (const char *program, const struct top_spec *specs, int argc,
                const char **argv);

/* Ends the process because of a wrong setting.  */
void top_fail (const char *program, const char *name, const char *value,
               const char *allowed) __attribute__ ((noreturn));

/* Reads IP:PORT; returns false when TEXT is not in that form.  */
bool top_read_address (const char *text, struct top_address *address);

/* Copies the name of an HTTP field as libwebsockets wants it, in lower case
   and with a colon; returns false when TEXT is empty or too long.  */
bool top_read_field (const char *text, char out[TOP_FIELD_BYTES]);

#endif
