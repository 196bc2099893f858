#include "wire/status.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define STATUS_SLOTS_MAX 100000
#define STATUS_FLAGS (JSON_INDENT (2) | JSON_SORT_KEYS)

/* Formats ROOT as text and releases it.  */
static char *
status_dump (json_t *root)
{
  char *text = json_dumps (root, STATUS_FLAGS);

  json_decref (root);
  INVARIANT (text != NULL);
  return text;
}

static json_t *
status_version (const struct member_config_version *version, bool confirmed)
{
  return json_pack ("{s:I,s:I,s:I,s:b}", "number", (json_int_t)version->number,
                    "term", (json_int_t)version->term, "index",
                    (json_int_t)version->index, "confirmed", (int)confirmed);
}

static json_t *
status_groups (const struct status_node *status)
{
  json_t *groups = json_object ();

  for (uint32_t i = 0; i < status->group_count; i++)
    {
      const struct status_group *group = &status->groups[i];

      json_object_set_new (groups, group->name,
                           json_pack ("{s:s,s:I,s:I,s:s}", "role", group->role,
                                      "term", (json_int_t)group->term,
                                      "commit", (json_int_t)group->commit,
                                      "leader", group->leader));
    }
  return groups;
}

char *
status_encode_node (const struct status_node *status)
{
  json_t *root = json_pack (
      "{s:s,s:s,s:I,s:s,s:b,s:i,s:i,s:i}", "instance", status->instance,
      "failure_domain", status->failure_domain, "incarnation",
      (json_int_t)status->incarnation, "state", status->state, "name_taken",
      (int)status->name_taken, "members", (int)status->members,
      "replicas_heard", (int)status->replicas_reachable, "replicas",
      (int)status->replicas);

  INVARIANT (root != NULL);
  json_object_set_new (root, "version",
                       status_version (&status->version, status->confirmed));
  json_object_set_new (root, "groups", status_groups (status));
  if (status->front_json != NULL)
    json_object_set_new (root, "limits",
                         json_loads (status->front_json, 0, NULL));
  return status_dump (root);
}

static const char *
status_state_name (enum member_state state)
{
  switch (state)
    {
    case MEMBER_STARTING:
      return "starting";
    case MEMBER_SERVING:
      return "serving";
    case MEMBER_DRAINING:
      return "draining";
    case MEMBER_TOMBSTONE:
      return "gone";
    }
  return "unknown";
}

char *
status_encode_members (const struct list *items)
{
  json_t *members = json_array ();

  list_each (node, items)
    {
      const struct member_record *record
          = &list_entry (node, struct member_item, node)->record;

      json_array_append_new (
          members,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:b}", "instance",
                     record->instance, "service", record->service, "address",
                     record->address, "failure_domain", record->failure_domain,
                     "state", status_state_name (record->state), "incarnation",
                     (json_int_t)record->incarnation, "slots",
                     (int)record->slots, "control",
                     (int)record->control_replica));
    }
  return status_dump (json_pack ("{s:o}", "members", members));
}

char *
status_encode_lagging (uint32_t count, const struct list *items)
{
  json_t *names = json_array ();

  list_each (node, items)
    json_array_append_new (
        names,
        json_string (
            list_entry (node, struct member_item, node)->record.instance));
  return status_dump (
      json_pack ("{s:I,s:o}", "behind", (json_int_t)count, "members", names));
}

char *
status_encode_front (const struct status_front *front)
{
  return status_dump (json_pack (
      "{s:b,s:b,s:i,s:i,s:i,s:i,s:i}", "backend_up", (int)front->backend_up,
      "draining", (int)front->draining, "limit", (int)front->limit, "running",
      (int)front->running, "waiting", (int)front->waiting, "level",
      (int)front->importance_min, "calls", (int)front->calls));
}

char *
status_encode_change_result (const char *status, uint64_t number)
{
  return status_dump (json_pack ("{s:s,s:I}", "status", status, "version",
                                 (json_int_t)number));
}

char *
status_encode_error (const char *text)
{
  return status_dump (json_pack ("{s:s}", "error", text));
}

struct status_faults
{
  json_t *list;
};

struct status_faults *
status_faults_new (void)
{
  struct status_faults *faults = malloc (sizeof *faults);

  INVARIANT (faults != NULL);
  faults->list = json_array ();
  return faults;
}

void
status_faults_add (void *faults, const char *path, const char *text)
{
  struct status_faults *collector = faults;

  json_array_append_new (collector->list,
                         json_pack ("{s:s,s:s}", "path", path, "text", text));
}

char *
status_faults_encode (struct status_faults *faults)
{
  json_t *root
      = json_pack ("{s:s,s:o}", "status", "invalid", "faults", faults->list);

  free (faults);
  return status_dump (root);
}

/* Copies a string member of ROOT to OUT; false when it is absent, empty or
   longer than SIZE - 1 bytes.  */
static bool
status_get_text (json_t *root, const char *name, char *out, size_t size)
{
  const char *text = json_string_value (json_object_get (root, name));

  if (text == NULL || text[0] == '\0' || strlen (text) >= size)
    return false;
  snprintf (out, size, "%s", text);
  return true;
}

/* Reads a number member of ROOT from 1 to STATUS_SLOTS_MAX; false when it is
   absent or out of range.  */
static bool
status_get_count (json_t *root, const char *name, uint32_t *out)
{
  json_int_t value = json_integer_value (json_object_get (root, name));

  if (value < 1 || value > STATUS_SLOTS_MAX)
    return false;
  *out = (uint32_t)value;
  return true;
}

/* Reads the members of ROOT.  Returns the name of the first invalid one, or
   NULL when all are valid.  */
static const char *
status_get_backend (json_t *root, struct status_backend *backend)
{
  if (!status_get_text (root, "service", backend->service,
                        sizeof backend->service))
    return "service";
  if (!status_get_text (root, "address", backend->address,
                        sizeof backend->address))
    return "address";
  if (!status_get_count (root, "slots", &backend->slots))
    return "slots";
  if (!status_get_count (root, "connections", &backend->connections))
    return "connections";
  return NULL;
}

int
status_decode_backend (const char *text, size_t len,
                       struct status_backend *backend, char *fault,
                       size_t fault_size)
{
  json_error_t error;
  json_t *root = json_loadb (text, len, JSON_REJECT_DUPLICATES, &error);
  const char *invalid;

  if (root == NULL)
    {
      snprintf (fault, fault_size, "body is not JSON: %s", error.text);
      return SR_EMALFORMED;
    }
  invalid = status_get_backend (root, backend);
  json_decref (root);
  if (invalid == NULL)
    return SR_OK;
  snprintf (fault, fault_size,
            "%s is missing or wrong; allowed: service and address as text, "
            "slots and connections from 1 to %d",
            invalid, STATUS_SLOTS_MAX);
  return SR_EINVAL;
}
