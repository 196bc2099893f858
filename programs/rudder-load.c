#include <signal.h>
#include <stdlib.h>

#include "core/digest.h"
#include "core/slog.h"
#include "programs/load_pair.h"
#include "programs/load_report.h"
#include "programs/load_run.h"

static void
main_open (struct load_state *load)
{
  struct lws_context_creation_info info = { 0 };
  uint8_t id[8];

  signal (SIGPIPE, SIG_IGN);
  lws_set_log_level (LLL_ERR, NULL);
  tool_client_set_context_info (&info);
  info.options |= LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  load->context = lws_create_context (&info);
  if (load->context == NULL)
    {
      slog (SLOG_ERR, "cannot create the libwebsockets context");
      exit (1);
    }
  for (size_t i = 0; i < load->options.target_count; i++)
    {
      load->targets[i].address = load->options.targets[i];
      tool_client_init (&load->targets[i].client, load->context);
    }
  load->direct.address = load->options.direct_target;
  tool_client_init (&load->direct.client, load->context);
  list_init (&load->calls);
  list_init (&load->reasons);
  rng_seed (&load->rng, load->options.seed);
  rng_os_bytes (id, sizeof id);
  digest_hex (id, sizeof id, load->run_id);
  load_pair_init (&load->pairs);
}

static void
main_open_record (struct load_state *load)
{
  if (load->options.record == NULL)
    return;
  load->record_file = fopen (load->options.record, "w");
  if (load->record_file == NULL)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "record", load->options.record,
                   "a file that can be written");
}

static void
main_close (struct load_state *load)
{
  lws_context_destroy (load->context);
  for (size_t i = 0; i < load->options.target_count; i++)
    tool_client_free (&load->targets[i].client);
  tool_client_free (&load->direct.client);
  load_mix_free (&load->mix);
  load_stat_free_reasons (&load->reasons);
  load_pair_free (&load->pairs);
  if (load->record_file != NULL)
    fclose (load->record_file);
}

int
main (int argc, const char **argv)
{
  static struct load_state load;
  uint64_t wrong;

  slog_init (LOAD_OPTIONS_PROGRAM, SLOG_INFO);
  slog_set_fd (STDERR_FILENO);
  load_options_parse (&load.options, argc, argv);
  load_mix_read (&load.mix, &load.options.requests, load.options.mix);
  main_open_record (&load);
  main_open (&load);
  load_run_start (&load);
  while (!load_run_done (&load))
    if (lws_service (load.context, 0) < 0)
      break;
  wrong = load_report_print (&load);
  main_close (&load);
  return wrong == 0 ? 0 : 1;
}
