#ifndef PROGRAMS_LOAD_OPTIONS_H
#define PROGRAMS_LOAD_OPTIONS_H

/**
 * DOC: lop - settings of the load tool
 */

#include "programs/tool_opt.h"

#define LOP_PROGRAM "rudder-load"
#define LOP_TARGETS_MAX 16

struct load_options
{
  char *target;
  struct top_address targets[LOP_TARGETS_MAX];
  size_t target_count;
  bool direct;
  struct top_address direct_target;
  char *host;
  char *mix;
  struct top_list requests;
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
  char id_name[TOP_FIELD_BYTES]; /* of @id_field, for libwebsockets */
  char *record;
};

/* Reads the settings; a wrong one ends the process with status 2.  */
void lop_parse (struct load_options *options, int argc, const char **argv);

#endif
