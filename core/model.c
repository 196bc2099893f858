#include "core/model.h"

#include <stdlib.h>
#include <string.h>

struct model *
model_new (void)
{
  struct model *model = calloc (1, sizeof *model);

  if (model == NULL)
    return NULL;
  model->refs = 1;
  list_init (&model->services);
  return model;
}

struct model *
model_ref (struct model *model)
{
  model->refs++;
  return model;
}

/* Frees a service with its kinds.  */
static void
model_free_service (struct model_service *service)
{
  list_each (node, &service->kinds)
    free (list_entry (node, struct model_kind, node));
  free (service);
}

void
model_unref (struct model *model)
{
  if (model == NULL || --model->refs > 0)
    return;
  list_each (node, &model->services)
    model_free_service (list_entry (node, struct model_service, node));
  route_table_free (model->routes);
  free (model);
}

const struct model_service *
model_find_service (const struct model *model, const char *name)
{
  list_each (node, &model->services)
    {
      struct model_service *service
          = list_entry (node, struct model_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

const struct model_kind *
model_find_kind (const struct model_service *service, const char *method,
                 const char *path)
{
  const struct model_kind *best = NULL;
  size_t best_len = 0;

  list_each (node, &service->kinds)
    {
      const struct model_kind *kind
          = list_entry (node, struct model_kind, node);
      size_t len = strlen (kind->path_prefix);

      if (strcmp (kind->method, method) != 0)
        continue;
      if (strncmp (kind->path_prefix, path, len) != 0)
        continue;
      if (best != NULL && len <= best_len)
        continue;
      best = kind;
      best_len = len;
    }
  return best;
}
