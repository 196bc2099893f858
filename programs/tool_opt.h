#ifndef PROGRAMS_TOOL_OPT_H
#define PROGRAMS_TOOL_OPT_H

/**
 * DOC: tool_opt - command line of the tools
 *
 * A table describes the settings, which are parsed with popt.  An invalid one
 * ends the process with exit status 2, after one line with the setting, its
 * value and what is allowed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TOOL_OPT_LIST_MAX 32
/* Size of the name of an HTTP field, with a colon and NUL.  */
#define TOOL_OPT_FIELD_NAME_BYTES 64
#define TOOL_OPT_FIELD_NAME_ALLOWED "name of an HTTP field"

struct tool_opt_address
{
  char ip[48];
  uint16_t port; /* 0: not given */
};

struct tool_opt_list
{
  size_t count;
  char *items[TOOL_OPT_LIST_MAX];
};

enum tool_opt_kind
{
  TOOL_OPT_END,
  TOOL_OPT_TEXT,
  TOOL_OPT_NUMBER,
  TOOL_OPT_FLAG,
  TOOL_OPT_ADDRESS,
  TOOL_OPT_LIST,
};

/* One setting; the member of @dest that @kind selects receives the value.  */
struct tool_opt_spec
{
  const char *name;
  enum tool_opt_kind kind;
  union
  {
    char **text;
    uint64_t *number;
    bool *flag;
    struct tool_opt_address *address;
    struct tool_opt_list *list;
  } dest;
  uint64_t min;
  uint64_t max;
  const char *arg;
  const char *help;
};

/**
 * tool_opt_parse() - parse the command line
 * @program: name of the program in messages
 * @specs: settings, terminated by one of kind TOOL_OPT_END
 * @argc: number of arguments
 * @argv: arguments
 *
 * Handles --help and --version, which end the process.  Texts stay allocated
 * until the process ends.
 */
void tool_opt_parse (const char *program, const struct tool_opt_spec *specs,
                     int argc, const char **argv);

/* Prints an invalid setting with its value and what is allowed, and ends the
   process with status 2.  */
void tool_opt_fail (const char *program, const char *name, const char *value,
                    const char *allowed) __attribute__ ((noreturn));

/* Parses IP:PORT; returns false when TEXT has another form.  */
bool tool_opt_read_address (const char *text,
                            struct tool_opt_address *address);

/* Copies the name of an HTTP field in the form that libwebsockets needs: in
   lower case, with a colon.  Returns false when TEXT is empty or too long.  */
bool tool_opt_read_field_name (const char *text,
                               char out[TOOL_OPT_FIELD_NAME_BYTES]);

#endif
