#ifndef PROGRAMS_CTL_OPTS_H
#define PROGRAMS_CTL_OPTS_H

/**
 * DOC: ctl_opts - command line of rudderctl
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define CTL_OPTS_ADDRESS_BYTES 64
#define CTL_OPTS_TOKEN_BYTES 512
#define CTL_OPTS_CHANGE_ID_BYTES 64
#define CTL_OPTS_FILE_BYTES 4096
#define CTL_OPTS_REQUEST_ID_BYTES 256

/* Exit statuses of rudderctl.  FAILED includes a change whose outcome is
   unknown.  */
enum ctl_opts_exit_status
{
  CTL_OPTS_EXIT_OK = 0,
  CTL_OPTS_EXIT_FAILED = 1,
  CTL_OPTS_EXIT_USAGE = 2,
};

enum ctl_opts_command_kind
{
  CTL_OPTS_VALIDATE,
  CTL_OPTS_APPLY,
  CTL_OPTS_GET,
  CTL_OPTS_STATUS,
  CTL_OPTS_DRAIN,
  CTL_OPTS_MEMBERS,
  CTL_OPTS_EXPLAIN, /* reads log lines, contacts no node */
};

struct ctl_opts_apply
{
  uint64_t base_version;
  char change_id[CTL_OPTS_CHANGE_ID_BYTES];
  bool change_id_generated; /* not given with --change-id */
  bool wait_for_nodes;      /* until the version is in force on all nodes */
};

struct ctl_opts_command
{
  enum ctl_opts_command_kind kind;
  char file[CTL_OPTS_FILE_BYTES]; /* of validate, apply, explain */
  union
  {
    struct ctl_opts_apply apply;
    char request_id[CTL_OPTS_REQUEST_ID_BYTES];
  } u;
};

struct ctl_opts
{
  char address[CTL_OPTS_ADDRESS_BYTES];
  uint16_t port;
  char token[CTL_OPTS_TOKEN_BYTES]; /* empty without a token file */
  int timeout_ms;
  bool json;
  bool quiet;
  struct ctl_opts_command command;
};

enum ctl_opts_result_kind
{
  CTL_OPTS_RUN,  /* run the command of @options */
  CTL_OPTS_EXIT, /* exit with @status: the version was printed, or an error */
};

struct ctl_opts_result
{
  enum ctl_opts_result_kind kind;
  union
  {
    struct ctl_opts options;
    enum ctl_opts_exit_status status;
  } u;
};

/* Reads the command line and the environment; errors are printed to ERR.  */
void ctl_opts_parse (int argc, const char **argv, FILE *err,
                     struct ctl_opts_result *result);

#endif
