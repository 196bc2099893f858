#include "programs/fake_options.h"

#include <string.h>

#define FAKE_OPTIONS_CALL_ALLOWED                                             \
  "HOST=IP:PORT, the service to call and the address of this server's node"

/* Parses HOST=IP:PORT of --call.  */
static void
fake_options_parse_call (struct fake_options *options)
{
  const char *equals = strchr (options->call, '=');
  size_t len = equals != NULL ? (size_t)(equals - options->call) : 0;

  if (len == 0 || len >= sizeof options->call_host
      || !tool_opt_read_address (equals + 1, &options->call_address))
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "call", options->call,
                   FAKE_OPTIONS_CALL_ALLOWED);
  memcpy (options->call_host, options->call, len);
  options->call_host[len] = '\0';
}

static void
fake_options_check_fields (const struct fake_options *options)
{
  for (size_t i = 0; i < options->answer_fields.count; i++)
    if (strstr (options->answer_fields.items[i], ": ") == NULL)
      tool_opt_fail (FAKE_OPTIONS_PROGRAM, "answer-field",
                     options->answer_fields.items[i], "NAME: VALUE");
}

static void
fake_options_check (struct fake_options *options)
{
  fake_options_check_fields (options);
  if (options->refusal_field != NULL
      && strstr (options->refusal_field, ": ") == NULL)
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "refusal-field",
                   options->refusal_field, "NAME: VALUE");
  if (options->refuse_path != NULL && options->refusal_field == NULL)
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "refusal-field", "",
                   "NAME: VALUE, required with --refuse-path");
  if (options->listen.port == 0)
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "listen", "", "IP:PORT, required");
  if (options->admin.port != 0 && options->service == NULL)
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "service", "",
                   "a name, required with --admin");
  if (options->call != NULL)
    fake_options_parse_call (options);
  if (options->id_field != NULL
      && !tool_opt_read_field_name (options->id_field, options->id_field_name))
    tool_opt_fail (FAKE_OPTIONS_PROGRAM, "id-field", options->id_field,
                   TOOL_OPT_FIELD_NAME_ALLOWED);
}

static void
fake_options_set_defaults (struct fake_options *options)
{
  memset (options, 0, sizeof *options);
  options->slots = 8;
  options->connections = 64;
  options->service_us = 1000;
  options->seed = 1;
  options->answer_bytes = 200;
  options->long_factor = 30;
  options->late_ms = 1000;
  options->slow_factor = 5;
}

void
fake_options_parse (struct fake_options *options, int argc, const char **argv)
{
  const struct tool_opt_spec specs[] = {
#define NUMBER(name, field, min, max, arg, help)                              \
  { name, TOOL_OPT_NUMBER, { .number = &options->field }, min, max, arg, help }
#define TEXT(name, field, arg, help)                                          \
  {                                                                           \
    name, TOOL_OPT_TEXT, { .text = &options->field }, 0, 0, arg, help         \
  }
#define ADDRESS(name, field, help)                                            \
  {                                                                           \
    name, TOOL_OPT_ADDRESS, { .address = &options->field }, 0, 0, "IP:PORT",  \
        help                                                                  \
  }
    ADDRESS ("listen", listen, "address to listen on"),
    ADDRESS ("admin", admin, "admin address of the node to announce to"),
    TEXT ("service", service, "NAME", "service to announce"),
    NUMBER ("slots", slots, 1, 100000, "N",
            "requests that run at the same time"),
    NUMBER ("connections", connections, 1, 100000, "N",
            "connections to announce"),
    NUMBER ("service-us", service_us, 0, 600000000, "N",
            "service time in microseconds"),
    NUMBER ("jitter-percent", jitter_percent, 0, 100, "N",
            "maximum deviation of service times from --service-us"),
    NUMBER ("seed", seed, 0, UINT64_MAX, "N", "seed of the service times"),
    NUMBER ("answer-bytes", answer_bytes, 0, 67108864, "N",
            "fill bytes of an answer whose path has no /bytes/N"),
    TEXT ("long-path", long_path, "PREFIX",
          "path prefix of requests with a long service time"),
    NUMBER ("long-factor", long_factor, 1, 10000, "N",
            "service time factor of these requests"),
    TEXT ("call", call, "HOST=IP:PORT",
          "make a child call to HOST through the node at IP:PORT"),
    NUMBER ("stall-from-ms", stall_from_ms, 0, 86400000, "N",
            "start of a stall, from the start of the process"),
    NUMBER ("stall-for-ms", stall_for_ms, 0, 86400000, "N",
            "length of the stall"),
    TEXT ("id-field", id_field, "NAME",
          "header field of requests that answers echo"),
    { "answer-field",
      TOOL_OPT_LIST,
      { .list = &options->answer_fields },
      0,
      0,
      "NAME: VALUE",
      "header field that is added to all answers; repeatable" },
    TEXT ("crash-path", crash_path, "PREFIX",
          "path prefix of requests at which the process exits"),
    TEXT ("truncate-path", truncate_path, "PREFIX",
          "path prefix of answers that end after half of the bytes"),
    TEXT ("corrupt-path", corrupt_path, "PREFIX",
          "path prefix of answers with one flipped bit"),
    TEXT ("late-path", late_path, "PREFIX",
          "path prefix of answers delayed by --late-ms"),
    NUMBER ("late-ms", late_ms, 0, 600000, "N", "delay of late answers"),
    TEXT ("silent-path", silent_path, "PREFIX",
          "path prefix of requests that are never answered"),
    TEXT ("refuse-path", refuse_path, "PREFIX",
          "path prefix of requests of which some are refused, not run"),
    NUMBER ("refuse-percent", refuse_percent, 0, 100, "N",
            "part of these that is refused"),
    TEXT ("refusal-field", refusal_field, "NAME: VALUE",
          "header field that tells a refusal"),
    NUMBER ("repeat-percent", repeat_percent, 0, 100, "N",
            "refusals that are sent once more when the next request arrives "
            "on the connection"),
    NUMBER ("slow-factor", slow_factor, 1, 1000, "N",
            "service time factor between SIGUSR1 and SIGUSR2"),
    NUMBER ("report-lag-ms", report_lag_ms, 0, 600000, "N",
            "age up to which the reported load is not updated"),
    TEXT ("journal", journal, "FILE",
          "append a line at the start and the end of each request"),
    { .kind = TOOL_OPT_END },
#undef NUMBER
#undef TEXT
#undef ADDRESS
  };

  fake_options_set_defaults (options);
  tool_opt_parse (FAKE_OPTIONS_PROGRAM, specs, argc, argv);
  fake_options_check (options);
}
