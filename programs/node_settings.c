#include "programs/node_settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/slog.h"
#include "sycamorerudder.h"

#define NODE_SETTINGS_NAME_MAX 63
#define NODE_SETTINGS_JOIN_MAX 7
#define NODE_SETTINGS_DRAIN_LIMIT_MS_MAX 3600000
/* The process itself, and the longest request of an operator.  */
#define NODE_SETTINGS_MEMORY_MB_MIN 64
#define NODE_SETTINGS_MEMORY_MB_MAX 1048576
#define NODE_SETTINGS_DEFAULT_MEMORY_MB "256"
#define NODE_SETTINGS_DEFAULT_ADMIN "127.0.0.1:7070"

/* Format of the value of a setting.  */
enum node_settings_format
{
  NODE_SETTINGS_ADDRESS,
  NODE_SETTINGS_ADDRESSES,
  NODE_SETTINGS_NAME,
  NODE_SETTINGS_PATH,
  NODE_SETTINGS_DURATION_MS,
  NODE_SETTINGS_MEMORY_MB,
  NODE_SETTINGS_SEVERITY,
};

struct node_settings_rule
{
  const char *flag;
  const char *variable;
  enum node_settings_format format;
  bool required;
  size_t offset;
};

/* The only rule that also applies with --platform.  */
#define NODE_SETTINGS_RULE_SEVERITY 0

#define NODE_SETTINGS_RULE(flag, variable, format, required, member)          \
  {                                                                           \
    flag, "SYCAMORERUDDER_" variable, format, required,                       \
        offsetof (struct node_settings, member)                               \
  }

static const struct node_settings_rule node_settings_rules[] = {
  [NODE_SETTINGS_RULE_SEVERITY]
  = NODE_SETTINGS_RULE ("--log-severity", "LOG_SEVERITY",
                        NODE_SETTINGS_SEVERITY, false, log_severity),
  NODE_SETTINGS_RULE ("--listen", "LISTEN", NODE_SETTINGS_ADDRESS, true,
                      listen),
  NODE_SETTINGS_RULE ("--admin", "ADMIN", NODE_SETTINGS_ADDRESS, false, admin),
  NODE_SETTINGS_RULE ("--peer", "PEER", NODE_SETTINGS_ADDRESS, true, peer),
  NODE_SETTINGS_RULE ("--failure-domain", "FAILURE_DOMAIN", NODE_SETTINGS_NAME,
                      true, failure_domain),
  NODE_SETTINGS_RULE ("--instance", "INSTANCE", NODE_SETTINGS_NAME, true,
                      instance),
  NODE_SETTINGS_RULE ("--join", "JOIN", NODE_SETTINGS_ADDRESSES, true, join),
  NODE_SETTINGS_RULE ("--data-dir", "DATA_DIR", NODE_SETTINGS_PATH, false,
                      data_dir),
  NODE_SETTINGS_RULE ("--operator-token-file", "OPERATOR_TOKEN_FILE",
                      NODE_SETTINGS_PATH, false, operator_token_file),
  NODE_SETTINGS_RULE ("--peer-key-file", "PEER_KEY_FILE", NODE_SETTINGS_PATH,
                      false, peer_key_file),
  NODE_SETTINGS_RULE ("--drain-limit-ms", "DRAIN_LIMIT_MS",
                      NODE_SETTINGS_DURATION_MS, false, drain_limit_text),
  NODE_SETTINGS_RULE ("--memory-mb", "MEMORY_MB", NODE_SETTINGS_MEMORY_MB,
                      false, memory_text),
};

#define NODE_SETTINGS_RULE_COUNT                                              \
  (sizeof node_settings_rules / sizeof node_settings_rules[0])

static const char *const node_settings_allowed[] = {
  [NODE_SETTINGS_ADDRESS] = "IP:PORT with a port from 1 to 65535",
  [NODE_SETTINGS_ADDRESSES] = "1 to 7 addresses IP:PORT, separated by commas",
  [NODE_SETTINGS_NAME] = "1 to 63 characters of a-z, 0-9 and -",
  [NODE_SETTINGS_PATH] = "a path",
  [NODE_SETTINGS_DURATION_MS] = "1 to 3600000 milliseconds",
  [NODE_SETTINGS_MEMORY_MB] = "64 to 1048576 MiB",
  [NODE_SETTINGS_SEVERITY] = "crit, err, warning, notice, info or debug",
};

/* Writes one line with the invalid setting, its value and what is allowed.  */
static enum node_settings_result
node_settings_report_invalid (const char *setting, const char *value,
                              const char *allowed)
{
  fprintf (stderr,
           "severity=err program=sycamorerudder-node msg=\"invalid setting\" "
           "setting=%s value=\"%s\" "
           "allowed=\"%s\"\n",
           setting, value, allowed);
  return NODE_SETTINGS_INVALID;
}

static char **
node_settings_value (struct node_settings *settings,
                     const struct node_settings_rule *rule)
{
  return (char **)((char *)settings + rule->offset);
}

/* Whether the LEN characters at TEXT are IP:PORT.  */
static bool
node_settings_is_address (const char *text, size_t len)
{
  char copy[64];
  char *colon;
  char *end = NULL;
  struct in_addr address;
  long port;

  if (len >= sizeof copy)
    return false;
  memcpy (copy, text, len);
  copy[len] = '\0';
  colon = strrchr (copy, ':');
  if (colon == NULL || !isdigit ((unsigned char)colon[1]))
    return false;
  *colon = '\0';
  port = strtol (colon + 1, &end, 10);
  return *end == '\0' && port >= 1 && port <= 65535
         && inet_pton (AF_INET, copy, &address) == 1;
}

static bool
node_settings_are_addresses (const char *text)
{
  int count = 0;

  for (;;)
    {
      size_t len = strcspn (text, ",");

      if (!node_settings_is_address (text, len)
          || ++count > NODE_SETTINGS_JOIN_MAX)
        return false;
      if (text[len] == '\0')
        return true;
      text += len + 1;
    }
}

static bool
node_settings_is_name (const char *text)
{
  size_t len = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-");

  return len >= 1 && len <= NODE_SETTINGS_NAME_MAX && text[len] == '\0';
}

static bool
node_settings_is_number (const char *text, long min, long max)
{
  char *end = NULL;
  long value = strtol (text, &end, 10);

  return end != text && *end == '\0' && value >= min && value <= max;
}

static bool
node_settings_is_valid (const char *text, enum node_settings_format format)
{
  switch (format)
    {
    case NODE_SETTINGS_ADDRESS:
      return node_settings_is_address (text, strlen (text));
    case NODE_SETTINGS_ADDRESSES:
      return node_settings_are_addresses (text);
    case NODE_SETTINGS_NAME:
      return node_settings_is_name (text);
    case NODE_SETTINGS_PATH:
      return text[0] != '\0';
    case NODE_SETTINGS_DURATION_MS:
      return node_settings_is_number (text, 1,
                                      NODE_SETTINGS_DRAIN_LIMIT_MS_MAX);
    case NODE_SETTINGS_MEMORY_MB:
      return node_settings_is_number (text, NODE_SETTINGS_MEMORY_MB_MIN,
                                      NODE_SETTINGS_MEMORY_MB_MAX);
    case NODE_SETTINGS_SEVERITY:
      return slog_severity_from_name (text) >= 0;
    }
  return false;
}

/* Takes a setting without a flag from its environment variable, and validates
   it.  */
static enum node_settings_result
node_settings_check_rule (struct node_settings *settings,
                          const struct node_settings_rule *rule)
{
  char **value = node_settings_value (settings, rule);
  const char *variable = getenv (rule->variable);

  if (*value == NULL && variable != NULL)
    *value = strdup (variable);
  if (*value == NULL && rule->required)
    return node_settings_report_invalid (rule->flag, "",
                                         node_settings_allowed[rule->format]);
  if (*value != NULL && !node_settings_is_valid (*value, rule->format))
    return node_settings_report_invalid (rule->flag, *value,
                                         node_settings_allowed[rule->format]);
  return NODE_SETTINGS_RUN;
}

static enum node_settings_result
node_settings_check (struct node_settings *settings)
{
  for (size_t i = 0; i < NODE_SETTINGS_RULE_COUNT; i++)
    if (node_settings_check_rule (settings, &node_settings_rules[i])
        != NODE_SETTINGS_RUN)
      return NODE_SETTINGS_INVALID;
  if (settings->admin == NULL)
    settings->admin = strdup (NODE_SETTINGS_DEFAULT_ADMIN);
  if (settings->memory_text == NULL)
    settings->memory_text = strdup (NODE_SETTINGS_DEFAULT_MEMORY_MB);
  if (getenv ("SYCAMORERUDDER_CONTROL") != NULL)
    settings->control = 1;
  if (settings->control && settings->data_dir == NULL)
    return node_settings_report_invalid ("--data-dir", "",
                                         "a path, required with --control");
  if (settings->drain_limit_text != NULL)
    settings->drain_limit_ms
        = (uint32_t)strtoul (settings->drain_limit_text, NULL, 10);
  settings->memory_mb = (uint32_t)strtoul (settings->memory_text, NULL, 10);
  return NODE_SETTINGS_RUN;
}

/* Reads one line of FILE into OUT without its line end.  Returns false for an
   empty line.  */
static bool
node_settings_read_line (FILE *file, char *out, size_t size)
{
  if (fgets (out, (int)size, file) == NULL)
    return false;
  out[strcspn (out, "\r\n")] = '\0';
  return out[0] != '\0';
}

static enum node_settings_result
node_settings_read_token (struct node_settings *settings)
{
  FILE *file;
  bool ok;

  if (settings->operator_token_file == NULL)
    return NODE_SETTINGS_RUN;
  file = fopen (settings->operator_token_file, "r");
  ok = file != NULL
       && node_settings_read_line (file, settings->token_buffer,
                                   sizeof settings->token_buffer);
  if (file != NULL)
    fclose (file);
  if (!ok)
    return node_settings_report_invalid (
        "--operator-token-file", settings->operator_token_file,
        "a readable file whose first line is the token");
  settings->operator_token = settings->token_buffer;
  return NODE_SETTINGS_RUN;
}

/* Reads the peer key file.  Its first line is the secret CURVE key and its
   second the public one, both in Z85.  All nodes of a mesh have the same
   file.  */
static enum node_settings_result
node_settings_read_keys (struct node_settings *settings)
{
  FILE *file;
  bool ok;

  if (settings->peer_key_file == NULL)
    return NODE_SETTINGS_RUN;
  file = fopen (settings->peer_key_file, "r");
  ok = file != NULL
       && node_settings_read_line (file, settings->curve_secret_buffer,
                                   sizeof settings->curve_secret_buffer)
       && fgetc (file) == '\n'
       && node_settings_read_line (file, settings->curve_public_buffer,
                                   sizeof settings->curve_public_buffer)
       && strlen (settings->curve_secret_buffer) == NODE_SETTINGS_KEY_BYTES - 1
       && strlen (settings->curve_public_buffer)
              == NODE_SETTINGS_KEY_BYTES - 1;
  if (file != NULL)
    fclose (file);
  if (!ok)
    return node_settings_report_invalid (
        "--peer-key-file", settings->peer_key_file,
        "a readable file with a secret and a public key, one "
        "a line, 40 characters each");
  settings->curve_secret = settings->curve_secret_buffer;
  settings->curve_public = settings->curve_public_buffer;
  return NODE_SETTINGS_RUN;
}

enum node_settings_result
node_settings_read (struct node_settings *settings, int argc,
                    const char **argv)
{
  int version = 0;
  struct poptOption options[] = {
    { "listen", 0, POPT_ARG_STRING, &settings->listen, 0,
      "address for callers and the backend server of this instance",
      "IP:PORT" },
    { "admin", 0, POPT_ARG_STRING, &settings->admin, 0,
      "address for operators and announcements (" NODE_SETTINGS_DEFAULT_ADMIN
      ")",
      "IP:PORT" },
    { "peer", 0, POPT_ARG_STRING, &settings->peer, 0,
      "address for other nodes", "IP:PORT" },
    { "failure-domain", 0, POPT_ARG_STRING, &settings->failure_domain, 0,
      "failure domain of this instance", "NAME" },
    { "instance", 0, POPT_ARG_STRING, &settings->instance, 0,
      "name of this instance, unique in the mesh", "NAME" },
    { "join", 0, POPT_ARG_STRING, &settings->join, 0,
      "peer addresses of all control replicas", "IP:PORT[,...]" },
    { "control", 0, POPT_ARG_NONE, &settings->control, 0,
      "run a control replica", NULL },
    { "data-dir", 0, POPT_ARG_STRING, &settings->data_dir, 0,
      "directory for the data of the control replica", "DIR" },
    { "drain-limit-ms", 0, POPT_ARG_STRING, &settings->drain_limit_text, 0,
      "maximum duration of a graceful shutdown (from the configuration)",
      "N" },
    { "memory-mb", 0, POPT_ARG_STRING, &settings->memory_text, 0,
      "memory of the process in MiB (" NODE_SETTINGS_DEFAULT_MEMORY_MB
      "); bounds what it holds for clients",
      "N" },
    { "operator-token-file", 0, POPT_ARG_STRING,
      &settings->operator_token_file, 0,
      "file with the operators' token; without it changes are accepted from "
      "loopback only",
      "FILE" },
    { "peer-key-file", 0, POPT_ARG_STRING, &settings->peer_key_file, 0,
      "file with the mesh's secret and public CURVE key", "FILE" },
    { "log-severity", 0, POPT_ARG_STRING, &settings->log_severity, 0,
      "lowest severity of log lines that are written (info)", "NAME" },
    { "platform", 0, POPT_ARG_NONE, &settings->platform, 0,
      "take all settings from the platform's file", NULL },
    { "check-settings", 0, POPT_ARG_NONE, &settings->check_only, 0,
      "check the settings and exit", NULL },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit",
      NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context
      = poptGetContext ("sycamorerudder-node", argc, argv, options, 0);
  int code = poptGetNextOpt (context);
  enum node_settings_result result;

  if (code < -1)
    result = node_settings_report_invalid (
        poptBadOption (context, POPT_BADOPTION_NOALIAS), poptStrerror (code),
        "see --help");
  else if (poptPeekArg (context) != NULL)
    result = node_settings_report_invalid ("argument", poptPeekArg (context),
                                           "none");
  else
    result = NODE_SETTINGS_RUN;
  poptFreeContext (context);
  if (result != NODE_SETTINGS_RUN)
    return result;
  if (version)
    {
      printf ("sycamorerudder-node " SR_VERSION "\n");
      return NODE_SETTINGS_DONE;
    }
  result = node_settings_check_rule (
      settings, &node_settings_rules[NODE_SETTINGS_RULE_SEVERITY]);
  if (result != NODE_SETTINGS_RUN)
    return result;
  if (settings->log_severity != NULL)
    slog_set_severity_max (
        (enum slog_severity)slog_severity_from_name (settings->log_severity));
  if (settings->platform)
    return NODE_SETTINGS_RUN;
  result = node_settings_check (settings);
  if (result == NODE_SETTINGS_RUN)
    result = node_settings_read_token (settings);
  if (result == NODE_SETTINGS_RUN)
    result = node_settings_read_keys (settings);
  if (result == NODE_SETTINGS_RUN && settings->check_only)
    {
      printf ("settings are valid\n");
      return NODE_SETTINGS_DONE;
    }
  return result;
}

void
node_settings_free (struct node_settings *settings)
{
  for (size_t i = 0; i < NODE_SETTINGS_RULE_COUNT; i++)
    free (*node_settings_value (settings, &node_settings_rules[i]));
}
