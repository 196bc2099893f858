#ifndef PROGRAMS_CTL_OPTS_H
#define PROGRAMS_CTL_OPTS_H

/**
 * DOC: cto - command line of rudderctl
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define CTO_ADDRESS_BYTES 64
#define CTO_TOKEN_BYTES 512
#define CTO_CHANGE_ID_BYTES 64
#define CTO_FILE_BYTES 4096
#define CTO_REQUEST_ID_BYTES 256

/* Exit statuses of rudderctl.  */
enum cto_exit
{
  CTO_DONE = 0,
  CTO_REFUSED = 1,
  CTO_USAGE = 2,
};

enum cto_command_kind
{
  CTO_VALIDATE,
  CTO_APPLY,
  CTO_GET,
  CTO_STATUS,
  CTO_DRAIN,
  CTO_MEMBERS,
  CTO_EXPLAIN, /* from log lines; asks no node */
};

struct cto_apply
{
  uint64_t base;
  char change_id[CTO_CHANGE_ID_BYTES];
  bool change_id_made; /* by this run, not given */
  bool wait;           /* until no node is behind */
};

struct cto_command
{
  enum cto_command_kind kind;
  char file[CTO_FILE_BYTES]; /* of validate, apply and explain */
  union
  {
    struct cto_apply apply;
    char request_id[CTO_REQUEST_ID_BYTES];
  } u;
};

struct cto_options
{
  char address[CTO_ADDRESS_BYTES];
  uint16_t port;
  char token[CTO_TOKEN_BYTES]; /* empty: none */
  int timeout_ms;
  bool json;
  bool quiet;
  struct cto_command command;
};

enum cto_kind
{
  CTO_RUN,  /* options are set */
  CTO_EXIT, /* help was shown, or a fault was reported */
};

struct cto_result
{
  enum cto_kind kind;
  union
  {
    struct cto_options options;
    enum cto_exit status;
  } u;
};

/* Reads the command line and the environment.  Faults go to ERR.  */
void cto_parse (int argc, const char **argv, FILE *err,
                struct cto_result *result);

#endif
