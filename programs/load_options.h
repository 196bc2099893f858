#ifndef PROGRAMS_LOAD_OPTIONS_H
#define PROGRAMS_LOAD_OPTIONS_H

/**
 * DOC: load_options - settings of the load generator
 */

#include "programs/tool_opt.h"

#define LOAD_OPTIONS_PROGRAM "rudder-load"
#define LOAD_OPTIONS_TARGETS_MAX 16

struct load_options
{
  char *target;
  struct tool_opt_address targets[LOAD_OPTIONS_TARGETS_MAX];
  size_t target_count;
  bool direct;
  struct tool_opt_address direct_target;
  char *host;
  char *mix;
  struct tool_opt_list requests;
  uint64_t rate;        /* 0: closed loop */
  uint64_t concurrency; /* 0: open loop */
  uint64_t seconds;
  uint64_t max_open;
  uint64_t seed;
  uint64_t retries;
  bool retry_at_once;
  uint64_t timeout_ms;
  uint64_t callers;
  bool chunked;
  bool json;
  char *id_field;
  char id_field_name[TOOL_OPT_FIELD_NAME_BYTES]; /* @id_field in lower case
                                                    with a colon */
  char *record;
};

/* Parses the command line.  Exits with status 2 when a setting is invalid.  */
void load_options_parse (struct load_options *options, int argc,
                         const char **argv);

#endif
