#include "programs/load_options.h"

#include <stdio.h>
#include <string.h>

#define LOAD_OPTIONS_TARGET_ALLOWED "IP:PORT[,IP:PORT...], at most 16"

/* Parses the comma-separated targets.  */
static void
load_options_parse_targets (struct load_options *options)
{
  const char *at = options->target;
  char address[64];

  while (*at != '\0')
    {
      size_t len = strcspn (at, ",");

      if (len >= sizeof address
          || options->target_count == LOAD_OPTIONS_TARGETS_MAX)
        tool_opt_fail (LOAD_OPTIONS_PROGRAM, "target", options->target,
                       LOAD_OPTIONS_TARGET_ALLOWED);
      memcpy (address, at, len);
      address[len] = '\0';
      if (!tool_opt_read_address (address,
                                  &options->targets[options->target_count]))
        tool_opt_fail (LOAD_OPTIONS_PROGRAM, "target", options->target,
                       LOAD_OPTIONS_TARGET_ALLOWED);
      options->target_count++;
      at += len + (at[len] == ',');
    }
}

static void
load_options_check (struct load_options *options)
{
  if (options->target == NULL)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "target", "",
                   LOAD_OPTIONS_TARGET_ALLOWED);
  load_options_parse_targets (options);
  if (options->host == NULL)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "host", "",
                   "a service name, required");
  if (options->id_field != NULL
      && !tool_opt_read_field_name (options->id_field, options->id_field_name))
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "id-field", options->id_field,
                   TOOL_OPT_FIELD_NAME_ALLOWED);
  if (options->direct && options->direct_target.port == 0)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "direct-target", "",
                   "IP:PORT, required with --direct");
  if (options->direct && options->rate > 0)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "rate", "",
                   "--concurrency; pairs of --direct run in a closed loop");
  if (options->rate > 0 && options->concurrency > 0)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "rate", "",
                   "either --rate or --concurrency");
  if (options->rate == 0 && options->concurrency == 0)
    options->concurrency = 1;
}

static void
load_options_set_defaults (struct load_options *options)
{
  memset (options, 0, sizeof *options);
  options->seconds = 5;
  options->max_open = 2000;
  options->seed = 1;
  options->timeout_ms = 10000;
  options->callers = 1;
}

void
load_options_parse (struct load_options *options, int argc, const char **argv)
{
  const struct tool_opt_spec specs[] = {
#define NUMBER(name, field, min, max, help)                                   \
  { name, TOOL_OPT_NUMBER, { .number = &options->field }, min, max, "N", help }
#define TEXT(name, field, arg, help)                                          \
  {                                                                           \
    name, TOOL_OPT_TEXT, { .text = &options->field }, 0, 0, arg, help         \
  }
#define FLAG(name, field, help)                                               \
  {                                                                           \
    name, TOOL_OPT_FLAG, { .flag = &options->field }, 0, 0, NULL, help        \
  }
    TEXT ("target", target, "IP:PORT,...", "addresses to call, round-robin"),
    TEXT ("host", host, "SERVICE", "service to call"),
    TEXT ("mix", mix, "FILE",
          "file with a request per line, as for --request"),
    { "request",
      TOOL_OPT_LIST,
      { .list = &options->requests },
      0,
      0,
      "TEXT",
      "METHOD PATH WEIGHT [bytes=N] [key] [label=NAME]; repeatable" },
    NUMBER ("rate", rate, 1, 100000, "calls per second, open loop"),
    NUMBER ("concurrency", concurrency, 1, 10000,
            "concurrent calls, closed loop"),
    NUMBER ("seconds", seconds, 1, 86400,
            "duration in which calls are started"),
    NUMBER ("max-open", max_open, 1, 10000,
            "maximum of concurrent calls, open loop"),
    NUMBER ("seed", seed, 0, UINT64_MAX, "seed of the run"),
    NUMBER ("retries", retries, 0, 31, "maximum of resends for one call"),
    FLAG ("retry-at-once", retry_at_once, "resend without backoff"),
    NUMBER ("timeout-ms", timeout_ms, 1, 600000, "timeout of one attempt"),
    NUMBER ("callers", callers, 1, 100000,
            "number of different x-caller-id values"),
    TEXT ("id-field", id_field, "NAME",
          "header field with an id that is unique for each attempt"),
    FLAG ("chunked", chunked, "send bodies chunked"),
    FLAG ("direct", direct, "also send each request to --direct-target"),
    { "direct-target",
      TOOL_OPT_ADDRESS,
      { .address = &options->direct_target },
      0,
      0,
      "IP:PORT",
      "backend server that is called without a node" },
    FLAG ("json", json, "print the result as JSON"),
    TEXT ("record", record, "FILE", "write a line for each call"),
    { .kind = TOOL_OPT_END },
#undef NUMBER
#undef TEXT
#undef FLAG
  };

  load_options_set_defaults (options);
  tool_opt_parse (LOAD_OPTIONS_PROGRAM, specs, argc, argv);
  load_options_check (options);
}
