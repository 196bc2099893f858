#include "programs/node_settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/slog.h"
#include "sycamorerudder.h"

#define NST_NAME_MAX 63
#define NST_JOIN_MAX 7
#define NST_DRAIN_LIMIT_MS_MAX 3600000
#define NST_DEFAULT_ADMIN "127.0.0.1:7070"

/* What a setting has to look like.  */
enum nst_form
{
  NST_ADDRESS,
  NST_ADDRESSES,
  NST_NAME,
  NST_PATH,
  NST_DURATION_MS,
  NST_SEVERITY,
};

struct nst_rule
{
  const char *flag;
  const char *variable;
  enum nst_form form;
  bool required;
  size_t offset;
};

/* The one setting that is not taken from the platform's file.  */
#define NST_RULE_SEVERITY 0

#define NST_RULE(flag, variable, form, required, member)                      \
  {                                                                           \
    flag, "SYCAMORERUDDER_" variable, form, required,                         \
        offsetof (struct nst, member)                                         \
  }

static const struct nst_rule nst_rules[] = {
  [NST_RULE_SEVERITY] = NST_RULE ("--log-severity", "LOG_SEVERITY",
                                  NST_SEVERITY, false, log_severity),
  NST_RULE ("--listen", "LISTEN", NST_ADDRESS, true, listen),
  NST_RULE ("--admin", "ADMIN", NST_ADDRESS, false, admin),
  NST_RULE ("--peer", "PEER", NST_ADDRESS, true, peer),
  NST_RULE ("--failure-domain", "FAILURE_DOMAIN", NST_NAME, true,
            failure_domain),
  NST_RULE ("--instance", "INSTANCE", NST_NAME, true, instance),
  NST_RULE ("--join", "JOIN", NST_ADDRESSES, true, join),
  NST_RULE ("--data-dir", "DATA_DIR", NST_PATH, false, data_dir),
  NST_RULE ("--operator-token-file", "OPERATOR_TOKEN_FILE", NST_PATH, false,
            token_file),
  NST_RULE ("--peer-key-file", "PEER_KEY_FILE", NST_PATH, false, curve_file),
  NST_RULE ("--drain-limit-ms", "DRAIN_LIMIT_MS", NST_DURATION_MS, false,
            drain_limit),
};

#define NST_RULES (sizeof nst_rules / sizeof nst_rules[0])

static const char *const nst_allowed[] = {
  [NST_ADDRESS] = "IP:PORT with a port from 1 to 65535",
  [NST_ADDRESSES] = "1 to 7 times IP:PORT, separated by commas",
  [NST_NAME] = "1 to 63 characters of a-z, 0-9 and -",
  [NST_PATH] = "a path",
  [NST_DURATION_MS] = "1 to 3600000 milliseconds",
  [NST_SEVERITY] = "crit, err, warning, notice, info or debug",
};

/* Writes the one line that names a wrong setting.  */
static enum nst_result
nst_wrong (const char *setting, const char *value, const char *allowed)
{
  fprintf (stderr,
           "severity=err program=sycamorerudder-node msg=\"wrong setting\" "
           "setting=%s value=\"%s\" "
           "allowed=\"%s\"\n",
           setting, value, allowed);
  return NST_WRONG;
}

static char **
nst_value (struct nst *settings, const struct nst_rule *rule)
{
  return (char **)((char *)settings + rule->offset);
}

/* IP:PORT of LEN characters.  */
static bool
nst_is_address (const char *text, size_t len)
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
nst_are_addresses (const char *text)
{
  int count = 0;

  for (;;)
    {
      size_t len = strcspn (text, ",");

      if (!nst_is_address (text, len) || ++count > NST_JOIN_MAX)
        return false;
      if (text[len] == '\0')
        return true;
      text += len + 1;
    }
}

static bool
nst_is_name (const char *text)
{
  size_t len = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-");

  return len >= 1 && len <= NST_NAME_MAX && text[len] == '\0';
}

static bool
nst_is_duration (const char *text)
{
  char *end = NULL;
  long value = strtol (text, &end, 10);

  return end != text && *end == '\0' && value >= 1
         && value <= NST_DRAIN_LIMIT_MS_MAX;
}

static bool
nst_matches (const char *text, enum nst_form form)
{
  switch (form)
    {
    case NST_ADDRESS:
      return nst_is_address (text, strlen (text));
    case NST_ADDRESSES:
      return nst_are_addresses (text);
    case NST_NAME:
      return nst_is_name (text);
    case NST_PATH:
      return text[0] != '\0';
    case NST_DURATION_MS:
      return nst_is_duration (text);
    case NST_SEVERITY:
      return slog_severity_of (text) >= 0;
    }
  return false;
}

/* Fills in the variable of a setting without a flag, and checks it.  */
static enum nst_result
nst_check_one (struct nst *settings, const struct nst_rule *rule)
{
  char **value = nst_value (settings, rule);
  const char *variable = getenv (rule->variable);

  if (*value == NULL && variable != NULL)
    *value = strdup (variable);
  if (*value == NULL && rule->required)
    return nst_wrong (rule->flag, "", nst_allowed[rule->form]);
  if (*value != NULL && !nst_matches (*value, rule->form))
    return nst_wrong (rule->flag, *value, nst_allowed[rule->form]);
  return NST_RUN;
}

static enum nst_result
nst_check (struct nst *settings)
{
  for (size_t i = 0; i < NST_RULES; i++)
    if (nst_check_one (settings, &nst_rules[i]) != NST_RUN)
      return NST_WRONG;
  if (settings->admin == NULL)
    settings->admin = strdup (NST_DEFAULT_ADMIN);
  if (getenv ("SYCAMORERUDDER_CONTROL") != NULL)
    settings->control = 1;
  if (settings->control && settings->data_dir == NULL)
    return nst_wrong ("--data-dir", "", "a path, required with --control");
  if (settings->drain_limit != NULL)
    settings->drain_limit_ms
        = (uint32_t)strtoul (settings->drain_limit, NULL, 10);
  return NST_RUN;
}

/* Reads one line of FILE into OUT.  */
static bool
nst_read_line (FILE *file, char *out, size_t size)
{
  if (fgets (out, (int)size, file) == NULL)
    return false;
  out[strcspn (out, "\r\n")] = '\0';
  return out[0] != '\0';
}

static enum nst_result
nst_read_token (struct nst *settings)
{
  FILE *file;
  bool ok;

  if (settings->token_file == NULL)
    return NST_RUN;
  file = fopen (settings->token_file, "r");
  ok = file != NULL
       && nst_read_line (file, settings->token, sizeof settings->token);
  if (file != NULL)
    fclose (file);
  if (!ok)
    return nst_wrong ("--operator-token-file", settings->token_file,
                      "a readable file whose first line is the token");
  settings->operator_token = settings->token;
  return NST_RUN;
}

/* The key file has the secret key in its first line and the public key in its
   second, both in Z85.  All nodes of a mesh share it.  */
static enum nst_result
nst_read_keys (struct nst *settings)
{
  FILE *file;
  bool ok;

  if (settings->curve_file == NULL)
    return NST_RUN;
  file = fopen (settings->curve_file, "r");
  ok = file != NULL
       && nst_read_line (file, settings->secret, sizeof settings->secret)
       && fgetc (file) == '\n'
       && nst_read_line (file, settings->public, sizeof settings->public)
       && strlen (settings->secret) == NST_KEY_BYTES - 1
       && strlen (settings->public) == NST_KEY_BYTES - 1;
  if (file != NULL)
    fclose (file);
  if (!ok)
    return nst_wrong ("--peer-key-file", settings->curve_file,
                      "a readable file with a secret and a public key, one "
                      "a line, 40 characters each");
  settings->curve_secret = settings->secret;
  settings->curve_public = settings->public;
  return NST_RUN;
}

enum nst_result
nst_read (struct nst *settings, int argc, const char **argv)
{
  int version = 0;
  struct poptOption options[] = {
    { "listen", 0, POPT_ARG_STRING, &settings->listen, 0,
      "address for callers and the own backend server", "IP:PORT" },
    { "admin", 0, POPT_ARG_STRING, &settings->admin, 0,
      "address for operators and announcements (" NST_DEFAULT_ADMIN ")",
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
      "hold a control replica", NULL },
    { "data-dir", 0, POPT_ARG_STRING, &settings->data_dir, 0,
      "folder of the control replica's files", "DIR" },
    { "drain-limit-ms", 0, POPT_ARG_STRING, &settings->drain_limit, 0,
      "longest graceful shutdown (from the configuration)", "N" },
    { "operator-token-file", 0, POPT_ARG_STRING, &settings->token_file, 0,
      "file with the operators' token; without it changes are taken from "
      "loopback only",
      "FILE" },
    { "peer-key-file", 0, POPT_ARG_STRING, &settings->curve_file, 0,
      "file with the mesh's secret and public CURVE key", "FILE" },
    { "log-severity", 0, POPT_ARG_STRING, &settings->log_severity, 0,
      "least severe log lines that are written (info)", "NAME" },
    { "platform", 0, POPT_ARG_NONE, &settings->platform, 0,
      "take all settings from the platform's file", NULL },
    { "check-settings", 0, POPT_ARG_NONE, &settings->check, 0,
      "check the settings and exit", NULL },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit",
      NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context
      = poptGetContext ("sycamorerudder-node", argc, argv, options, 0);
  int code = poptGetNextOpt (context);
  enum nst_result result;

  if (code < -1)
    result = nst_wrong (poptBadOption (context, POPT_BADOPTION_NOALIAS),
                        poptStrerror (code), "see --help");
  else if (poptPeekArg (context) != NULL)
    result = nst_wrong ("argument", poptPeekArg (context), "none");
  else
    result = NST_RUN;
  poptFreeContext (context);
  if (result != NST_RUN)
    return result;
  if (version)
    {
      printf ("sycamorerudder-node " SR_VERSION "\n");
      return NST_DONE;
    }
  result = nst_check_one (settings, &nst_rules[NST_RULE_SEVERITY]);
  if (result != NST_RUN)
    return result;
  if (settings->log_severity != NULL)
    slog_limit ((enum slog_severity)slog_severity_of (settings->log_severity));
  if (settings->platform)
    return NST_RUN;
  result = nst_check (settings);
  if (result == NST_RUN)
    result = nst_read_token (settings);
  if (result == NST_RUN)
    result = nst_read_keys (settings);
  if (result == NST_RUN && settings->check)
    {
      printf ("settings are valid\n");
      return NST_DONE;
    }
  return result;
}

void
nst_free (struct nst *settings)
{
  for (size_t i = 0; i < NST_RULES; i++)
    free (*nst_value (settings, &nst_rules[i]));
}
