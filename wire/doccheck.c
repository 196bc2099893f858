#include "wire/doccheck.h"

#include <inttypes.h>
#include <string.h>

#include "wire/schema.h"

#define DOCCHECK_DEFAULT_RETRIES 2

/* State of one validation.  */
struct doccheck
{
  struct docreport *report;
  struct model *model;
};

/* Sets the defaults of a kind that depend on other fields and validates it
   against its service and the document.  */
static void
doccheck_kind (struct doccheck *check, const struct model_service *service,
               struct model_kind *kind)
{
  uint32_t allowance = check->model->chain_allowance;
  size_t path_len;

  if (kind->retries_max == SCHEMA_DERIVED)
    {
      kind->retries_max = kind->idempotent ? DOCCHECK_DEFAULT_RETRIES : 0;
      if (kind->retries_max > allowance)
        kind->retries_max = allowance;
    }
  path_len = docreport_enter (check->report, "retries");
  if (kind->retries_max > allowance)
    docreport_fault (check->report,
                     "%" PRIu32
                     " is more than retry.chain_allowance, which is "
                     "%" PRIu32 "; allowed: at most that",
                     kind->retries_max, allowance);
  docreport_leave (check->report, path_len);
  path_len = docreport_enter (check->report, "cost");
  if (kind->cost == MODEL_COST_LONG && service->long_slots_percent == 0)
    docreport_fault (check->report,
                     "\"long\" is not allowed while long_slots_percent of "
                     "the service is 0; allowed: \"short\"");
  docreport_leave (check->report, path_len);
}

/* Reports a kind with the name of an earlier one.  */
static void
doccheck_unique_kind_name (struct doccheck *check,
                           const struct model_service *service,
                           const struct model_kind *kind)
{
  size_t path_len = docreport_enter (check->report, "name");

  list_each (node, &service->kinds)
    {
      const struct model_kind *other
          = list_entry (node, struct model_kind, node);

      if (other == kind)
        break;
      if (kind->name[0] == '\0' || strcmp (kind->name, other->name) != 0)
        continue;
      docreport_fault (check->report,
                       "\"%s\" is the name of kinds[%" PRIu32 "] too; "
                       "allowed: a name of its own",
                       kind->name, other->index);
      break;
    }
  docreport_leave (check->report, path_len);
}

/* Reports a kind with the method and path of an earlier one.  */
static void
doccheck_unique_kind_path (struct doccheck *check,
                           const struct model_service *service,
                           const struct model_kind *kind)
{
  size_t path_len = docreport_enter (check->report, "path");

  list_each (node, &service->kinds)
    {
      const struct model_kind *other
          = list_entry (node, struct model_kind, node);

      if (other == kind || kind->method[0] == '\0'
          || kind->path_prefix[0] == '\0')
        break;
      if (strcmp (kind->method, other->method) != 0
          || strcmp (kind->path_prefix, other->path_prefix) != 0)
        continue;
      docreport_fault (check->report,
                       "%s \"%s\" belongs to kinds[%" PRIu32
                       "] too; allowed: a "
                       "method and path of its own",
                       kind->method, kind->path_prefix, other->index);
      break;
    }
  docreport_leave (check->report, path_len);
}

/* Reports a service with the name of an earlier one.  */
static void
doccheck_unique_service_name (struct doccheck *check,
                              const struct model_service *service)
{
  size_t path_len = docreport_enter (check->report, "name");

  list_each (node, &check->model->services)
    {
      const struct model_service *other
          = list_entry (node, struct model_service, node);

      if (other == service)
        break;
      if (service->name[0] == '\0' || strcmp (service->name, other->name) != 0)
        continue;
      docreport_fault (check->report,
                       "\"%s\" is the name of services[%" PRIu32
                       "] too; allowed: "
                       "a name of its own",
                       service->name, other->index);
      break;
    }
  docreport_leave (check->report, path_len);
}

/* Sets the defaults of a service that depend on other fields and validates it
   against the rest of the document.  */
static void
doccheck_service (struct doccheck *check, struct model_service *service)
{
  size_t path_len;

  doccheck_unique_service_name (check, service);
  if (service->queue_max == SCHEMA_DERIVED)
    service->queue_max = 2 * service->slots;
  path_len = docreport_enter (check->report, "connections");
  if (service->slots != SCHEMA_DERIVED
      && service->connections_max < service->slots)
    docreport_fault (check->report,
                     "%" PRIu32 " is less than slots, which is %" PRIu32
                     "; allowed: at least that",
                     service->connections_max, service->slots);
  docreport_leave (check->report, path_len);
  list_each (node, &service->kinds)
    {
      struct model_kind *kind = list_entry (node, struct model_kind, node);
      size_t kinds_path_len = docreport_enter (check->report, "kinds");

      docreport_enter_index (check->report, kind->index);
      doccheck_unique_kind_name (check, service, kind);
      doccheck_unique_kind_path (check, service, kind);
      doccheck_kind (check, service, kind);
      docreport_leave (check->report, kinds_path_len);
    }
}

void
doccheck_model (struct model *model, struct docreport *report)
{
  struct doccheck check = { .report = report, .model = model };

  list_each (node, &model->services)
    {
      struct model_service *service
          = list_entry (node, struct model_service, node);
      size_t path_len = docreport_enter (report, "services");

      docreport_enter_index (report, service->index);
      doccheck_service (&check, service);
      docreport_leave (report, path_len);
    }
}
