#include <signal.h>
#include <stdlib.h>

#include "core/digest.h"
#include "core/slog.h"
#include "programs/load_pair.h"
#include "programs/load_report.h"
#include "programs/load_run.h"

static void
main_open (struct load *load)
{
  struct lws_context_creation_info info = { 0 };
  uint8_t id[8];

  signal (SIGPIPE, SIG_IGN);
  lws_set_log_level (LLL_ERR, NULL);
  tcl_context_info (&info);
  info.options |= LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  load->context = lws_create_context (&info);
  if (load->context == NULL)
    {
      slog (SLOG_ERR, "libwebsockets context cannot be created");
      exit (1);
    }
  for (size_t i = 0; i < load->options.target_count; i++)
    {
      load->targets[i].address = load->options.targets[i];
      tcl_init (&load->targets[i].client, load->context);
    }
  load->direct.address = load->options.direct_target;
  tcl_init (&load->direct.client, load->context);
  lst_init (&load->calls);
  lst_init (&load->reasons);
  rng_seed (&load->rng, load->options.seed);
  rng_id (id, sizeof id);
  dig_text (id, sizeof id, load->run_id);
  lpr_init (&load->pairs);
}

static void
main_open_record (struct load *load)
{
  if (load->options.record == NULL)
    return;
  load->record = fopen (load->options.record, "w");
  if (load->record == NULL)
    top_fail (LOP_PROGRAM, "record", load->options.record,
              "a file that can be written");
}

static void
main_close (struct load *load)
{
  lws_context_destroy (load->context);
  for (size_t i = 0; i < load->options.target_count; i++)
    tcl_free (&load->targets[i].client);
  tcl_free (&load->direct.client);
  lmx_free (&load->mix);
  lsm_free_reasons (&load->reasons);
  lpr_free (&load->pairs);
  if (load->record != NULL)
    fclose (load->record);
}

int
main (int argc, const char **argv)
{
  static struct load load;
  uint64_t wrong;

  slog_open (LOP_PROGRAM, SLOG_INFO);
  slog_to (STDERR_FILENO);
  lop_parse (&load.options, argc, argv);
  lmx_read (&load.mix, &load.options.requests, load.options.mix);
  main_open_record (&load);
  main_open (&load);
  lrn_start (&load);
  while (!lrn_done (&load))
    if (lws_service (load.context, 0) < 0)
      break;
  wrong = lrp_print (&load);
  main_close (&load);
  return wrong == 0 ? 0 : 1;
}
