#include "wire/pack.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "controllers/qrt.h"
#include "core/err.h"
#include "wire/packio.h"
#include "wire/packscan.h"
#include "wire/reppack.h"

#define PCK_PATH_BYTES_MAX (16 * 1024)
#define PCK_ITEMS_MAX 8192

/* Version, kind and stream.  */
#define PCK_HEAD_FIELDS 3

/* Fields of each kind after the head.  */
static const uint8_t pck_fields[MSG_WIRE_COUNT] = {
  [MSG_OPEN] = 14,  [MSG_BODY] = 6,     [MSG_CREDIT] = 1,  [MSG_CANCEL] = 0,
  [MSG_HEAD] = 3,   [MSG_REFUSE] = 6,   [MSG_PING] = 0,    [MSG_PONG] = 0,
  [MSG_RENEW] = 17, [MSG_MEMBERS] = 14, [MSG_PROPOSE] = 3, [MSG_RESULT] = 6,
  [MSG_REP] = 2,    [MSG_MARKS] = 1,
};

/* Admission level and unused allowance.  */
static void
pck_put_trailer (msgpack_packer *packer, const struct msg_trailer *trailer)
{
  msgpack_pack_uint32 (packer, trailer->level_importance);
  msgpack_pack_uint32 (packer, trailer->level_wait_us);
  msgpack_pack_uint32 (packer, trailer->unused_allowance);
}

static void
pck_get_trailer (struct pio_reader *reader, struct msg_trailer *trailer)
{
  trailer->level_importance = (uint8_t)pio_u32 (reader, UINT8_MAX);
  trailer->level_wait_us = pio_u32 (reader, UINT32_MAX);
  trailer->unused_allowance = pio_u32 (reader, UINT32_MAX);
}

static void
pck_put_open (msgpack_packer *packer, const struct msg_open *open)
{
  pio_put_text (packer, open->service);
  pio_put_text (packer, open->method);
  pio_put_text (packer, open->path);
  pio_put_fields (packer, &open->fields);
  pio_put_text (packer, open->caller);
  pio_put_text (packer, open->key);
  pio_put_text (packer, open->chain_key);
  pio_put_bytes (packer, open->attempt, sizeof open->attempt);
  msgpack_pack_uint32 (packer, open->importance);
  msgpack_pack_uint32 (packer, open->depth);
  msgpack_pack_uint32 (packer, open->allowance);
  msgpack_pack_uint64 (packer, open->remaining_us);
  pio_put_bool (packer, open->suspect);
  msgpack_pack_int64 (packer, open->body_len);
}

static void
pck_get_open (struct pio_reader *reader, struct msg_open *open)
{
  pio_text (reader, open->service, sizeof open->service);
  pio_text (reader, open->method, sizeof open->method);
  open->path = pio_text_new (reader, PCK_PATH_BYTES_MAX);
  pio_fields (reader, &open->fields);
  pio_text (reader, open->caller, sizeof open->caller);
  pio_text (reader, open->key, sizeof open->key);
  pio_text (reader, open->chain_key, sizeof open->chain_key);
  pio_bytes (reader, open->attempt, sizeof open->attempt);
  open->importance = (uint8_t)pio_u32 (reader, MDL_IMPORTANCE_MAX);
  open->depth = pio_u32 (reader, UINT32_MAX);
  open->allowance = pio_u32 (reader, UINT32_MAX);
  open->remaining_us = pio_u64 (reader);
  open->suspect = pio_bool (reader);
  open->body_len = pio_i64 (reader);
}

static void
pck_put_body (msgpack_packer *packer, const struct msg_body *body)
{
  msgpack_pack_uint32 (packer, body->sequence);
  pio_put_bool (packer, body->end);
  msgpack_pack_uint64 (packer, body->total);
  pck_put_trailer (packer, &body->trailer);
}

static void
pck_get_body (struct pio_reader *reader, struct msg_body *body)
{
  body->sequence = pio_u32 (reader, UINT32_MAX);
  body->end = pio_bool (reader);
  body->total = pio_u64 (reader);
  pck_get_trailer (reader, &body->trailer);
}

static void
pck_put_head (msgpack_packer *packer, const struct msg_head *head)
{
  msgpack_pack_uint32 (packer, (uint32_t)head->status);
  pio_put_fields (packer, &head->fields);
  msgpack_pack_int64 (packer, head->body_len);
}

static void
pck_get_head (struct pio_reader *reader, struct msg_head *head)
{
  head->status = (int)pio_u32 (reader, 999);
  pio_fields (reader, &head->fields);
  head->body_len = pio_i64 (reader);
}

static void
pck_put_refuse (msgpack_packer *packer, const struct msg_refuse *refuse)
{
  pio_put_text (packer, rsn_name (refuse->reason));
  msgpack_pack_uint32 (packer, refuse->run);
  msgpack_pack_uint32 (packer, refuse->retry_after_ms);
  pck_put_trailer (packer, &refuse->trailer);
}

/* Reasons travel by name, so that nodes of two versions agree on them.  */
static void
pck_get_refuse (struct pio_reader *reader, struct msg_refuse *refuse)
{
  char name[MDL_NAME_BYTES];

  pio_text (reader, name, sizeof name);
  refuse->reason = RSN_INTERNAL;
  for (int i = RSN_NONE + 1; i < RSN_COUNT; i++)
    if (strcmp (name, rsn_name ((enum rsn_refusal)i)) == 0)
      refuse->reason = (enum rsn_refusal)i;
  refuse->run = (enum rsn_run)pio_u32 (reader, RSN_UNKNOWN);
  refuse->retry_after_ms = pio_u32 (reader, UINT32_MAX);
  pck_get_trailer (reader, &refuse->trailer);
}

static void
pck_put_version (msgpack_packer *packer, const struct mem_version *version)
{
  msgpack_pack_uint64 (packer, version->term);
  msgpack_pack_uint64 (packer, version->index);
  msgpack_pack_uint64 (packer, version->number);
}

static void
pck_get_version (struct pio_reader *reader, struct mem_version *version)
{
  version->term = pio_u64 (reader);
  version->index = pio_u64 (reader);
  version->number = pio_u64 (reader);
}

static void
pck_put_record (msgpack_packer *packer, const struct mem_record *record)
{
  pio_put_text (packer, record->instance);
  pio_put_text (packer, record->service);
  pio_put_text (packer, record->address);
  pio_put_text (packer, record->failure_domain);
  msgpack_pack_uint64 (packer, record->incarnation);
  msgpack_pack_uint64 (packer, record->sequence);
  msgpack_pack_uint32 (packer, record->slots);
  msgpack_pack_uint32 (packer, record->state);
  pio_put_bool (packer, record->control);
}

static void
pck_get_record (struct pio_reader *reader, struct mem_record *record)
{
  pio_text (reader, record->instance, sizeof record->instance);
  pio_text (reader, record->service, sizeof record->service);
  pio_text (reader, record->address, sizeof record->address);
  pio_text (reader, record->failure_domain, sizeof record->failure_domain);
  record->incarnation = pio_u64 (reader);
  record->sequence = pio_u64 (reader);
  record->slots = pio_u32 (reader, UINT32_MAX);
  record->state = (enum mem_state)pio_u32 (reader, MEM_GONE);
  record->control = pio_bool (reader);
}

static void
pck_put_marks (msgpack_packer *packer, const struct lst *marks)
{
  size_t count = 0;

  lst_each (node, marks)
    count++;
  msgpack_pack_array (packer, 3 * count);
  lst_each (node, marks)
    {
      const struct qrt_mark *mark = lst_entry (node, struct qrt_mark, node);

      msgpack_pack_uint64 (packer, mark->fingerprint);
      pio_put_text (packer, mark->instance);
      msgpack_pack_uint32 (packer, mark->age_ms);
    }
}

static void
pck_get_marks (struct pio_reader *reader, struct lst *out)
{
  struct pio_reader nested = pio_array (reader);

  if (!pio_ok (&nested) || nested.count > PCK_ITEMS_MAX)
    {
      reader->fault = true;
      return;
    }
  while (nested.next < nested.count)
    {
      struct qrt_mark *mark = calloc (1, sizeof *mark);

      INVARIANT (mark != NULL);
      mark->fingerprint = pio_u64 (&nested);
      pio_text (&nested, mark->instance, sizeof mark->instance);
      mark->age_ms = pio_u32 (&nested, UINT32_MAX);
      lst_push_tail (out, &mark->node);
      if (!pio_ok (&nested))
        {
          reader->fault = true;
          return;
        }
    }
}

static void
pck_put_renew (msgpack_packer *packer, const struct mem_renew *renew)
{
  pck_put_record (packer, &renew->record);
  msgpack_pack_uint64 (packer, renew->position.epoch);
  msgpack_pack_uint64 (packer, renew->position.change);
  pck_put_version (packer, &renew->config);
  pio_put_bool (packer, renew->all_services);
  msgpack_pack_array (packer, renew->service_count);
  for (uint32_t i = 0; i < renew->service_count; i++)
    pio_put_text (packer, renew->services[i]);
  pck_put_marks (packer, &renew->marks);
}

static void
pck_get_renew (struct pio_reader *reader, struct mem_renew *renew)
{
  struct pio_reader names;

  pck_get_record (reader, &renew->record);
  renew->position.epoch = pio_u64 (reader);
  renew->position.change = pio_u64 (reader);
  pck_get_version (reader, &renew->config);
  renew->all_services = pio_bool (reader);
  names = pio_array (reader);
  if (!pio_ok (&names) || names.count > MEM_SERVICES_MAX)
    {
      reader->fault = true;
      return;
    }
  renew->service_count = names.count;
  if (names.count > 0)
    {
      renew->services = calloc (names.count, MDL_NAME_BYTES);
      INVARIANT (renew->services != NULL);
    }
  for (uint32_t i = 0; i < names.count; i++)
    pio_text (&names, renew->services[i], MDL_NAME_BYTES);
  if (!pio_ok (&names))
    reader->fault = true;
  pck_get_marks (reader, &renew->marks);
}

static void
pck_put_members (msgpack_packer *packer, const struct mem_members *members)
{
  size_t count = 0;

  msgpack_pack_uint32 (packer, members->status);
  msgpack_pack_uint64 (packer, members->since.epoch);
  msgpack_pack_uint64 (packer, members->since.change);
  msgpack_pack_uint64 (packer, members->position.epoch);
  msgpack_pack_uint64 (packer, members->position.change);
  pio_put_bool (packer, members->whole);
  pck_put_version (packer, &members->config);
  pio_put_bool (packer, members->config_confirmed);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    pio_put_text (packer, members->leader[i]);
  pck_put_marks (packer, &members->marks);
  lst_each (node, &members->items)
    count++;
  msgpack_pack_array (packer, count);
  lst_each (node, &members->items)
    {
      msgpack_pack_array (packer, 9);
      pck_put_record (packer,
                      &lst_entry (node, struct mem_item, node)->record);
    }
}

static void
pck_get_members (struct pio_reader *reader, struct mem_members *members)
{
  struct pio_reader items;

  members->status = (enum mem_status)pio_u32 (reader, MEM_NAME_TAKEN);
  members->since.epoch = pio_u64 (reader);
  members->since.change = pio_u64 (reader);
  members->position.epoch = pio_u64 (reader);
  members->position.change = pio_u64 (reader);
  members->whole = pio_bool (reader);
  pck_get_version (reader, &members->config);
  members->config_confirmed = pio_bool (reader);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    pio_text (reader, members->leader[i], sizeof members->leader[i]);
  pck_get_marks (reader, &members->marks);
  items = pio_array (reader);
  if (!pio_ok (&items) || items.count > PCK_ITEMS_MAX)
    {
      reader->fault = true;
      return;
    }
  while (items.next < items.count && pio_ok (reader))
    {
      struct pio_reader fields = pio_array (&items);
      struct mem_item *item = calloc (1, sizeof *item);

      INVARIANT (item != NULL);
      pck_get_record (&fields, &item->record);
      lst_push_tail (&members->items, &item->node);
      if (!pio_ok (&fields))
        reader->fault = true;
    }
}

static void
pck_put_result (msgpack_packer *packer, const struct msg_result *result)
{
  msgpack_pack_uint64 (packer, result->request);
  msgpack_pack_int64 (packer, result->status);
  pio_put_text (packer, result->leader);
  pck_put_version (packer, &result->version);
}

static void
pck_get_result (struct pio_reader *reader, struct msg_result *result)
{
  result->request = pio_u64 (reader);
  result->status = (int)pio_i64 (reader);
  pio_text (reader, result->leader, sizeof result->leader);
  pck_get_version (reader, &result->version);
}

static int
pck_put_rep (const struct rep_msg *rep, struct pck_frames *frames)
{
  int error = rpk_encode_msg (rep, &frames->owned, &frames->raw_len);

  frames->raw = frames->owned;
  return error;
}

/* Fields of a message after version, kind and stream.  */
static int
pck_put (msgpack_packer *packer, const struct msg *msg,
         struct pck_frames *frames)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
      pck_put_open (packer, &msg->u.open);
      return SR_OK;
    case MSG_BODY:
      pck_put_body (packer, &msg->u.body);
      frames->raw = msg->u.body.data;
      frames->raw_len = msg->u.body.len;
      return SR_OK;
    case MSG_CREDIT:
      msgpack_pack_uint32 (packer, msg->u.credit);
      return SR_OK;
    case MSG_HEAD:
      pck_put_head (packer, &msg->u.head);
      return SR_OK;
    case MSG_REFUSE:
      pck_put_refuse (packer, &msg->u.refuse);
      return SR_OK;
    case MSG_CANCEL:
    case MSG_PING:
    case MSG_PONG:
      return SR_OK;
    case MSG_RENEW:
      pck_put_renew (packer, &msg->u.renew);
      return SR_OK;
    case MSG_MEMBERS:
      pck_put_members (packer, &msg->u.members);
      return SR_OK;
    case MSG_PROPOSE:
      msgpack_pack_uint32 (packer, msg->u.propose.kind);
      msgpack_pack_uint32 (packer, msg->u.propose.group);
      msgpack_pack_uint64 (packer, msg->u.propose.request);
      frames->raw = msg->u.propose.data;
      frames->raw_len = msg->u.propose.len;
      return SR_OK;
    case MSG_RESULT:
      pck_put_result (packer, &msg->u.result);
      frames->raw = msg->u.result.data;
      frames->raw_len = msg->u.result.len;
      return SR_OK;
    case MSG_REP:
      msgpack_pack_uint32 (packer, msg->u.rep.group);
      pio_put_text (packer, msg->u.rep.from);
      return pck_put_rep (msg->u.rep.msg, frames);
    case MSG_MARKS:
      pck_put_marks (packer, &msg->u.items);
      return SR_OK;
    default:
      return SR_EINVAL;
    }
}

int
pck_encode (const struct msg *msg, struct pck_frames *frames)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  int error;

  *frames = (struct pck_frames){ 0 };
  if (msg->kind >= MSG_WIRE_COUNT)
    return SR_EINVAL;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, PCK_HEAD_FIELDS + pck_fields[msg->kind]);
  msgpack_pack_uint32 (&packer, PCK_VERSION);
  msgpack_pack_uint32 (&packer, msg->kind);
  msgpack_pack_uint64 (&packer, msg->stream);
  error = pck_put (&packer, msg, frames);
  if (error != SR_OK)
    {
      msgpack_sbuffer_destroy (&buffer);
      return error;
    }
  frames->head_len = buffer.size;
  frames->head = msgpack_sbuffer_release (&buffer);
  return SR_OK;
}

void
pck_frames_free (struct pck_frames *frames)
{
  free (frames->head);
  free (frames->owned);
}

/* A copy of the raw frame; NULL when it is empty.  */
static uint8_t *
pck_copy_raw (const void *raw, size_t len)
{
  uint8_t *copy;

  if (len == 0)
    return NULL;
  copy = malloc (len);
  INVARIANT (copy != NULL);
  memcpy (copy, raw, len);
  return copy;
}

/* Raw frame of the kinds that have one.  */
static int
pck_get_raw (struct msg *msg, const void *raw, size_t len)
{
  switch (msg->kind)
    {
    case MSG_BODY:
      if (len > MSG_BODY_BYTES_MAX)
        return SR_EMALFORMED;
      msg->u.body.data = pck_copy_raw (raw, len);
      msg->u.body.len = len;
      return SR_OK;
    case MSG_PROPOSE:
      msg->u.propose.data = pck_copy_raw (raw, len);
      msg->u.propose.len = len;
      return SR_OK;
    case MSG_RESULT:
      msg->u.result.data = pck_copy_raw (raw, len);
      msg->u.result.len = len;
      return SR_OK;
    case MSG_REP:
      return rpk_decode_msg (raw, len, &msg->u.rep.msg);
    default:
      return len == 0 ? SR_OK : SR_EMALFORMED;
    }
}

/* Fields after version, kind and stream.  */
static void
pck_get (struct pio_reader *reader, struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
      pck_get_open (reader, &msg->u.open);
      break;
    case MSG_BODY:
      pck_get_body (reader, &msg->u.body);
      break;
    case MSG_CREDIT:
      msg->u.credit = pio_u32 (reader, MSG_WINDOW_BYTES);
      break;
    case MSG_HEAD:
      pck_get_head (reader, &msg->u.head);
      break;
    case MSG_REFUSE:
      pck_get_refuse (reader, &msg->u.refuse);
      break;
    case MSG_RENEW:
      pck_get_renew (reader, &msg->u.renew);
      break;
    case MSG_MEMBERS:
      pck_get_members (reader, &msg->u.members);
      break;
    case MSG_PROPOSE:
      msg->u.propose.kind
          = (enum msg_propose_kind)pio_u32 (reader, MSG_PROPOSE_READ);
      msg->u.propose.group
          = (enum msg_group)pio_u32 (reader, MSG_GROUP_COUNT - 1);
      msg->u.propose.request = pio_u64 (reader);
      break;
    case MSG_RESULT:
      pck_get_result (reader, &msg->u.result);
      break;
    case MSG_REP:
      msg->u.rep.group = (enum msg_group)pio_u32 (reader, MSG_GROUP_COUNT - 1);
      pio_text (reader, msg->u.rep.from, sizeof msg->u.rep.from);
      break;
    case MSG_MARKS:
      pck_get_marks (reader, &msg->u.items);
      break;
    default:
      break;
    }
}

/* Decodes the header array into a new message.  */
static int
pck_get_message (const msgpack_object *object, struct msg **out)
{
  struct pio_reader reader;
  uint32_t version;
  uint32_t kind;
  struct msg *msg;

  pio_open (&reader, object);
  version = pio_u32 (&reader, UINT32_MAX);
  if (pio_ok (&reader) && version != PCK_VERSION)
    return SR_EVERSION;
  kind = pio_u32 (&reader, MSG_WIRE_COUNT - 1);
  if (!pio_ok (&reader))
    return SR_EMALFORMED;
  msg = msg_new ((enum msg_kind)kind);
  msg->stream = pio_u64 (&reader);
  pck_get (&reader, msg);
  if (!pio_ok (&reader) || reader.next != reader.count)
    {
      msg_free (msg);
      return SR_EMALFORMED;
    }
  *out = msg;
  return SR_OK;
}

int
pck_decode (const void *head, size_t head_len, const void *raw, size_t raw_len,
            struct msg **out)
{
  msgpack_unpacked unpacked;
  struct msg *msg = NULL;
  size_t offset = 0;
  int error = SR_EMALFORMED;

  msgpack_unpacked_init (&unpacked);
  if (psc_whole (head, head_len)
      && msgpack_unpack_next (&unpacked, head, head_len, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && offset == head_len)
    error = pck_get_message (&unpacked.data, &msg);
  msgpack_unpacked_destroy (&unpacked);
  if (error != SR_OK)
    return error;
  error = pck_get_raw (msg, raw, raw_len);
  if (error != SR_OK)
    {
      msg_free (msg);
      return error;
    }
  *out = msg;
  return SR_OK;
}
