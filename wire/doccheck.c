#include "wire/doccheck.h"

#include <inttypes.h>
#include <string.h>

#include "wire/schema.h"

#define DCK_RETRIES_PRESET 2

/* State of one check.  */
struct dck
{
  struct drp *report;
  struct mdl *model;
};

/* Fills in the presets that follow from other fields and checks a kind
   against its service and the document.  */
static void
dck_kind (struct dck *check, const struct mdl_service *service,
          struct mdl_kind *kind)
{
  uint32_t allowance = check->model->chain_allowance;
  size_t before;

  if (kind->retries == SCH_DERIVED)
    {
      kind->retries = kind->idempotent ? DCK_RETRIES_PRESET : 0;
      if (kind->retries > allowance)
        kind->retries = allowance;
    }
  before = drp_enter (check->report, "retries");
  if (kind->retries > allowance)
    drp_report (check->report,
                "%" PRIu32 " is more than retry.chain_allowance, which is "
                "%" PRIu32 "; allowed: at most that",
                kind->retries, allowance);
  drp_leave (check->report, before);
  before = drp_enter (check->report, "cost");
  if (kind->cost == MDL_LONG && service->long_slots_percent == 0)
    drp_report (check->report,
                "\"long\" is not allowed while long_slots_percent of "
                "the service is 0; allowed: \"short\"");
  drp_leave (check->report, before);
}

/* Reports a kind with the name of an earlier one.  */
static void
dck_kind_name (struct dck *check, const struct mdl_service *service,
               const struct mdl_kind *kind)
{
  size_t before = drp_enter (check->report, "name");

  lst_each (node, &service->kinds)
    {
      const struct mdl_kind *other = lst_entry (node, struct mdl_kind, node);

      if (other == kind)
        break;
      if (kind->name[0] == '\0' || strcmp (kind->name, other->name) != 0)
        continue;
      drp_report (check->report,
                  "\"%s\" is the name of kinds[%" PRIu32 "] too; "
                  "allowed: a name of its own",
                  kind->name, other->index);
      break;
    }
  drp_leave (check->report, before);
}

/* Reports a kind with the method and path of an earlier one.  */
static void
dck_kind_path (struct dck *check, const struct mdl_service *service,
               const struct mdl_kind *kind)
{
  size_t before = drp_enter (check->report, "path");

  lst_each (node, &service->kinds)
    {
      const struct mdl_kind *other = lst_entry (node, struct mdl_kind, node);

      if (other == kind || kind->method[0] == '\0'
          || kind->path_prefix[0] == '\0')
        break;
      if (strcmp (kind->method, other->method) != 0
          || strcmp (kind->path_prefix, other->path_prefix) != 0)
        continue;
      drp_report (check->report,
                  "%s \"%s\" belongs to kinds[%" PRIu32 "] too; allowed: a "
                  "method and path of its own",
                  kind->method, kind->path_prefix, other->index);
      break;
    }
  drp_leave (check->report, before);
}

/* Reports a service with the name of an earlier one.  */
static void
dck_service_unique (struct dck *check, const struct mdl_service *service)
{
  size_t before = drp_enter (check->report, "name");

  lst_each (node, &check->model->services)
    {
      const struct mdl_service *other
          = lst_entry (node, struct mdl_service, node);

      if (other == service)
        break;
      if (service->name[0] == '\0' || strcmp (service->name, other->name) != 0)
        continue;
      drp_report (check->report,
                  "\"%s\" is the name of services[%" PRIu32 "] too; allowed: "
                  "a name of its own",
                  service->name, other->index);
      break;
    }
  drp_leave (check->report, before);
}

/* Checks a service against the rest of the document.  */
static void
dck_service (struct dck *check, struct mdl_service *service)
{
  size_t before;

  dck_service_unique (check, service);
  if (service->queue == SCH_DERIVED)
    service->queue = 2 * service->slots;
  before = drp_enter (check->report, "connections");
  if (service->slots != SCH_DERIVED && service->connections < service->slots)
    drp_report (check->report,
                "%" PRIu32 " is less than slots, which is %" PRIu32
                "; allowed: at least that",
                service->connections, service->slots);
  drp_leave (check->report, before);
  lst_each (node, &service->kinds)
    {
      struct mdl_kind *kind = lst_entry (node, struct mdl_kind, node);
      size_t at = drp_enter (check->report, "kinds");

      drp_enter_index (check->report, kind->index);
      dck_kind_name (check, service, kind);
      dck_kind_path (check, service, kind);
      dck_kind (check, service, kind);
      drp_leave (check->report, at);
    }
}

void
dck_check (struct mdl *model, struct drp *report)
{
  struct dck check = { .report = report, .model = model };

  lst_each (node, &model->services)
    {
      struct mdl_service *service = lst_entry (node, struct mdl_service, node);
      size_t before = drp_enter (report, "services");

      drp_enter_index (report, service->index);
      dck_service (&check, service);
      drp_leave (report, before);
    }
}
