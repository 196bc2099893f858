#ifndef PROGRAMS_FAKE_OPTIONS_H
#define PROGRAMS_FAKE_OPTIONS_H

/**
 * DOC: fake_options - settings of the fake backend server
 */

#include "programs/tool_opt.h"

#define FAKE_OPTIONS_PROGRAM "rudder-fake"

struct fake_options
{
  struct tool_opt_address listen;
  struct tool_opt_address admin; /* port 0: not announced */
  char *service;
  uint64_t slots;
  uint64_t connections;
  uint64_t service_us;
  uint64_t jitter_percent;
  uint64_t seed;
  uint64_t answer_bytes;
  char *long_path;
  uint64_t long_factor;
  char *call;         /* HOST=IP:PORT as given, or NULL */
  char call_host[64]; /* host of @call */
  char id_field_name[TOOL_OPT_FIELD_NAME_BYTES]; /* @id_field in lower case
                                                    with a colon */
  struct tool_opt_address call_address;          /* address of @call */
  uint64_t stall_from_ms;
  uint64_t stall_for_ms;
  char *id_field; /* NULL: no field is echoed */
  struct tool_opt_list answer_fields;
  char *crash_path;
  char *truncate_path;
  char *corrupt_path;
  char *late_path;
  uint64_t late_ms;
  char *silent_path;
  char *refuse_path;
  uint64_t refuse_percent; /* of the requests with @refuse_path */
  char *refusal_field;     /* "NAME: VALUE"; NULL without refusals */
  uint64_t repeat_percent;
  uint64_t slow_factor;
  uint64_t report_lag_ms;
  char *journal;
};

/* Parses the command line.  Exits with status 2 when a setting is invalid.  */
void fake_options_parse (struct fake_options *options, int argc,
                         const char **argv);

#endif
