#include "programs/ctl_opts.h"

#include <arpa/inet.h>
#include <errno.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>

#include "core/digest.h"
#include "core/rng.h"
#include "sycamorerudder.h"

#define CTL_OPTS_DEFAULT_ADMIN "127.0.0.1:7070"
/* Long enough for an attempt of "apply" that times out and a resend to a new
   leader.  */
#define CTL_OPTS_DEFAULT_TIMEOUT_MS 15000
#define CTL_OPTS_TIMEOUT_MS_MAX 3600000
#define CTL_OPTS_CHANGE_ID_CHARS                                              \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

/* Option values as read by popt; strings are malloc()ed.  */
struct ctl_opts_raw
{
  char *admin;
  char *token_file;
  char *base;
  char *change_id;
  int timeout_ms;
  int json;
  int quiet;
  int wait_for_nodes;
  int version;
};

struct ctl_opts_command_row
{
  const char *name;
  enum ctl_opts_command_kind kind;
  bool takes_file;
};

static const struct ctl_opts_command_row ctl_opts_commands[] = {
  { "validate", CTL_OPTS_VALIDATE, true },
  { "apply", CTL_OPTS_APPLY, true },
  { "get", CTL_OPTS_GET, false },
  { "status", CTL_OPTS_STATUS, false },
  { "drain", CTL_OPTS_DRAIN, false },
  { "explain", CTL_OPTS_EXPLAIN, false },
  { "members", CTL_OPTS_MEMBERS, false },
};

/* Finds a command by NAME, which may be NULL; NULL when there is none.  */
static const struct ctl_opts_command_row *
ctl_opts_find_command (const char *name)
{
  size_t count = sizeof ctl_opts_commands / sizeof ctl_opts_commands[0];

  for (size_t i = 0; name != NULL && i < count; i++)
    if (strcmp (ctl_opts_commands[i].name, name) == 0)
      return &ctl_opts_commands[i];
  return NULL;
}

/* Prints an invalid setting with its value and the allowed values.  Returns
   SR_EINVAL.  */
static int
ctl_opts_report_invalid (FILE *err, const char *setting, const char *value,
                         const char *allowed)
{
  fprintf (err, "rudderctl: %s: \"%s\" is not allowed; allowed: %s\n", setting,
           value, allowed);
  return SR_EINVAL;
}

/* Reads a decimal number from 0 to MAX.  */
static int
ctl_opts_read_number (const char *text, uint64_t max, uint64_t *number)
{
  char *end;

  if (text[0] < '0' || text[0] > '9')
    return SR_EINVAL;
  errno = 0;
  *number = strtoull (text, &end, 10);
  return *end != '\0' || errno != 0 || *number > max ? SR_EINVAL : SR_OK;
}

static int
ctl_opts_read_admin (const char *text, struct ctl_opts *options, FILE *err)
{
  const char *colon = strrchr (text, ':');
  size_t len = colon == NULL ? 0 : (size_t)(colon - text);
  struct in_addr address;
  uint64_t port;

  if (colon != NULL && len < sizeof options->address)
    {
      memcpy (options->address, text, len);
      options->address[len] = '\0';
      if (inet_pton (AF_INET, options->address, &address) == 1
          && ctl_opts_read_number (colon + 1, UINT16_MAX, &port) == SR_OK
          && port > 0)
        {
          options->port = (uint16_t)port;
          return SR_OK;
        }
    }
  return ctl_opts_report_invalid (err, "--admin", text,
                                  "IP:PORT, such as 127.0.0.1:7070");
}

/* Reads the operator's token, the first line of the file.  */
static int
ctl_opts_read_token (const char *path, struct ctl_opts *options, FILE *err)
{
  FILE *file = fopen (path, "r");
  char *line = NULL;

  if (file != NULL)
    {
      line = fgets (options->token, sizeof options->token, file);
      fclose (file);
    }
  if (line != NULL)
    options->token[strcspn (options->token, "\r\n")] = '\0';
  if (line != NULL && options->token[0] != '\0')
    return SR_OK;
  return ctl_opts_report_invalid (
      err, "--operator-token-file", path,
      "a readable file whose first line is the token");
}

/* Generates a random change id.  */
static void
ctl_opts_generate_change_id (struct ctl_opts_apply *apply)
{
  uint8_t id[RNG_ID_BYTES];

  rng_os_bytes (id, sizeof id);
  digest_hex (id, sizeof id, apply->change_id);
  apply->change_id_generated = true;
}

static int
ctl_opts_read_apply (const struct ctl_opts_raw *raw,
                     struct ctl_opts_apply *apply, FILE *err)
{
  const char *base = raw->base == NULL ? "" : raw->base;
  size_t len;

  apply->wait_for_nodes = raw->wait_for_nodes != 0;
  if (ctl_opts_read_number (base, INT64_MAX, &apply->base_version) != SR_OK)
    return ctl_opts_report_invalid (
        err, "--base", base,
        "the version number that the change is based on, 0 "
        "for the first document");
  if (raw->change_id == NULL)
    {
      ctl_opts_generate_change_id (apply);
      return SR_OK;
    }
  len = strlen (raw->change_id);
  if (len == 0 || len >= sizeof apply->change_id
      || strspn (raw->change_id, CTL_OPTS_CHANGE_ID_CHARS) != len)
    return ctl_opts_report_invalid (
        err, "--change-id", raw->change_id,
        "1 to 63 letters, digits, \"-\", \"_\" or \".\"");
  memcpy (apply->change_id, raw->change_id, len + 1);
  return SR_OK;
}

/* Reads the arguments of "explain": the id of the request and, optionally, the
   file with log lines.  */
static int
ctl_opts_read_explain (poptContext popt, struct ctl_opts_command *command,
                       FILE *err)
{
  const char *id = poptGetArg (popt);
  const char *file = poptGetArg (popt);

  if (id == NULL || strlen (id) >= sizeof command->u.request_id)
    return ctl_opts_report_invalid (
        err, "ID", id == NULL ? "" : id,
        "the id of a request, up to 255 characters");
  snprintf (command->u.request_id, sizeof command->u.request_id, "%s", id);
  if (file != NULL)
    snprintf (command->file, sizeof command->file, "%s", file);
  return SR_OK;
}

/* Reads the command and its arguments.  */
static int
ctl_opts_read_command (poptContext popt, const struct ctl_opts_raw *raw,
                       struct ctl_opts_command *command, FILE *err)
{
  const char *name = poptGetArg (popt);
  const struct ctl_opts_command_row *row = ctl_opts_find_command (name);
  const char *file = NULL;

  if (row == NULL)
    return ctl_opts_report_invalid (
        err, "command", name == NULL ? "" : name,
        "validate, apply, get, status, drain, members or "
        "explain");
  command->kind = row->kind;
  if (row->takes_file)
    {
      file = poptGetArg (popt);
      if (file == NULL || strlen (file) >= sizeof command->file)
        return ctl_opts_report_invalid (
            err, "FILE", file == NULL ? "" : file,
            "the path of a configuration document");
      snprintf (command->file, sizeof command->file, "%s", file);
    }
  if (row->kind == CTL_OPTS_EXPLAIN
      && ctl_opts_read_explain (popt, command, err) != SR_OK)
    return SR_EINVAL;
  if (poptPeekArg (popt) != NULL)
    return ctl_opts_report_invalid (err, "argument", poptPeekArg (popt),
                                    "no further arguments");
  if (row->kind == CTL_OPTS_APPLY)
    return ctl_opts_read_apply (raw, &command->u.apply, err);
  return SR_OK;
}

/* The option, else the environment variable, else the default.  */
static const char *
ctl_opts_setting (const char *option, const char *variable,
                  const char *default_value)
{
  const char *value = option != NULL ? option : getenv (variable);

  return value != NULL && value[0] != '\0' ? value : default_value;
}

static int
ctl_opts_read_all (poptContext popt, const struct ctl_opts_raw *raw,
                   struct ctl_opts *options, FILE *err)
{
  const char *admin = ctl_opts_setting (raw->admin, "SYCAMORERUDDER_ADMIN",
                                        CTL_OPTS_DEFAULT_ADMIN);
  const char *token_file = ctl_opts_setting (
      raw->token_file, "SYCAMORERUDDER_OPERATOR_TOKEN_FILE", NULL);
  char text[16];

  options->json = raw->json != 0;
  options->quiet = raw->quiet != 0;
  options->timeout_ms = raw->timeout_ms;
  if (raw->timeout_ms < 1 || raw->timeout_ms > CTL_OPTS_TIMEOUT_MS_MAX)
    {
      snprintf (text, sizeof text, "%d", raw->timeout_ms);
      return ctl_opts_report_invalid (err, "--timeout-ms", text,
                                      "1 to 3600000");
    }
  if (ctl_opts_read_admin (admin, options, err) != SR_OK)
    return SR_EINVAL;
  if (token_file != NULL
      && ctl_opts_read_token (token_file, options, err) != SR_OK)
    return SR_EINVAL;
  return ctl_opts_read_command (popt, raw, &options->command, err);
}

/* Reads the command line into RESULT.  */
static void
ctl_opts_read (poptContext popt, const struct ctl_opts_raw *raw, FILE *err,
               struct ctl_opts_result *result)
{
  int rc;

  while ((rc = poptGetNextOpt (popt)) > 0)
    ;
  result->kind = CTL_OPTS_EXIT;
  result->u.status = CTL_OPTS_EXIT_USAGE;
  if (rc < -1)
    fprintf (err, "rudderctl: %s: %s\n", poptBadOption (popt, 0),
             poptStrerror (rc));
  else if (raw->version != 0)
    {
      printf ("rudderctl %s\n", SR_VERSION);
      result->u.status = CTL_OPTS_EXIT_OK;
    }
  else
    {
      struct ctl_opts options = { 0 };

      if (ctl_opts_read_all (popt, raw, &options, err) != SR_OK)
        return;
      result->kind = CTL_OPTS_RUN;
      result->u.options = options;
    }
}

void
ctl_opts_parse (int argc, const char **argv, FILE *err,
                struct ctl_opts_result *result)
{
  struct ctl_opts_raw raw = { .timeout_ms = CTL_OPTS_DEFAULT_TIMEOUT_MS };
  struct poptOption table[]
      = { { "admin", '\0', POPT_ARG_STRING, &raw.admin, 0,
            "admin port of a node (127.0.0.1:7070)", "IP:PORT" },
          { "operator-token-file", '\0', POPT_ARG_STRING, &raw.token_file, 0,
            "file with the operator's token", "FILE" },
          { "timeout-ms", '\0', POPT_ARG_INT, &raw.timeout_ms, 0,
            "time limit of the whole command in ms (15000)", "N" },
          { "json", '\0', POPT_ARG_NONE, &raw.json, 0, "print JSON", NULL },
          { "quiet", '\0', POPT_ARG_NONE, &raw.quiet, 0,
            "apply: do not show the difference", NULL },
          { "base", '\0', POPT_ARG_STRING, &raw.base, 0,
            "apply: version that the change is based on", "VERSION" },
          { "change-id", '\0', POPT_ARG_STRING, &raw.change_id, 0,
            "apply: id of the change, the same for a resend", "ID" },
          { "wait", '\0', POPT_ARG_NONE, &raw.wait_for_nodes, 0,
            "apply: wait until the version is in force on every node", NULL },
          { "version", '\0', POPT_ARG_NONE, &raw.version, 0,
            "print the version", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext popt = poptGetContext ("rudderctl", argc, argv, table, 0);

  poptSetOtherOptionHelp (popt,
                          "validate FILE | apply FILE --base VERSION | get | "
                          "status | drain | members | explain ID [FILE]  "
                          "[OPTION...]");
  ctl_opts_read (popt, &raw, err, result);
  poptFreeContext (popt);
  free (raw.admin);
  free (raw.token_file);
  free (raw.base);
  free (raw.change_id);
}
