#include "core/model.h"

#include <stdlib.h>
#include <string.h>

struct mdl *
mdl_new (void)
{
  struct mdl *model = calloc (1, sizeof *model);

  if (model == NULL)
    return NULL;
  model->refs = 1;
  lst_init (&model->services);
  return model;
}

struct mdl *
mdl_ref (struct mdl *model)
{
  model->refs++;
  return model;
}

/* Frees a service with its kinds.  */
static void
mdl_free_service (struct mdl_service *service)
{
  lst_each (node, &service->kinds)
    free (lst_entry (node, struct mdl_kind, node));
  free (service);
}

void
mdl_unref (struct mdl *model)
{
  if (model == NULL || --model->refs > 0)
    return;
  lst_each (node, &model->services)
    mdl_free_service (lst_entry (node, struct mdl_service, node));
  rte_free (model->routes);
  free (model);
}

const struct mdl_service *
mdl_find_service (const struct mdl *model, const char *name)
{
  lst_each (node, &model->services)
    {
      struct mdl_service *service = lst_entry (node, struct mdl_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

const struct mdl_kind *
mdl_find_kind (const struct mdl_service *service, const char *method,
               const char *path)
{
  const struct mdl_kind *best = NULL;
  size_t best_len = 0;

  lst_each (node, &service->kinds)
    {
      const struct mdl_kind *kind = lst_entry (node, struct mdl_kind, node);
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
