#include "wire/pack.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "controllers/quarantine.h"
#include "core/err.h"
#include "core/httpstatus.h"
#include "wire/packio.h"
#include "wire/packscan.h"
#include "wire/raftpack.h"

#define PACK_PATH_BYTES_MAX (16 * 1024)
#define PACK_ITEMS_MAX 8192

/* Version, kind and stream.  */
#define PACK_COMMON_FIELDS 3

/* Number of fields of each kind after the common ones.  */
static const uint8_t pack_field_counts[MSG_WIRE_COUNT] = {
  [MSG_OPEN] = 14,        [MSG_BODY] = 6,        [MSG_CREDIT] = 1,
  [MSG_CANCEL] = 0,       [MSG_HEAD] = 3,        [MSG_REFUSE] = 6,
  [MSG_PING] = 0,         [MSG_PONG] = 0,        [MSG_RENEW] = 17,
  [MSG_RENEW_REPLY] = 14, [MSG_PROPOSE] = 3,     [MSG_RESULT] = 6,
  [MSG_RAFT] = 2,         [MSG_CRASH_MARKS] = 1,
};

/* Admission level and unused retry allowance.  */
static void
pack_put_trailer (msgpack_packer *packer, const struct msg_trailer *trailer)
{
  msgpack_pack_uint32 (packer, trailer->level_importance);
  msgpack_pack_uint32 (packer, trailer->level_wait_us);
  msgpack_pack_uint32 (packer, trailer->unused_retry_allowance);
}

static void
pack_get_trailer (struct packio_reader *reader, struct msg_trailer *trailer)
{
  trailer->level_importance = (uint8_t)packio_get_u32 (reader, UINT8_MAX);
  trailer->level_wait_us = packio_get_u32 (reader, UINT32_MAX);
  trailer->unused_retry_allowance = packio_get_u32 (reader, UINT32_MAX);
}

static void
pack_put_open (msgpack_packer *packer, const struct msg_open *open)
{
  packio_put_text (packer, open->service);
  packio_put_text (packer, open->method);
  packio_put_text (packer, open->path);
  packio_put_http_fields (packer, &open->fields);
  packio_put_text (packer, open->caller);
  packio_put_text (packer, open->idempotency_key);
  packio_put_text (packer, open->chain_key);
  packio_put_bytes (packer, open->attempt_id, sizeof open->attempt_id);
  msgpack_pack_uint32 (packer, open->importance);
  msgpack_pack_uint32 (packer, open->depth);
  msgpack_pack_uint32 (packer, open->retry_allowance);
  msgpack_pack_uint64 (packer, open->remaining_us);
  packio_put_bool (packer, open->suspect);
  msgpack_pack_int64 (packer, open->body_len);
}

static void
pack_get_open (struct packio_reader *reader, struct msg_open *open)
{
  packio_get_text (reader, open->service, sizeof open->service);
  packio_get_text (reader, open->method, sizeof open->method);
  open->path = packio_get_new_text (reader, PACK_PATH_BYTES_MAX);
  packio_get_http_fields (reader, &open->fields);
  packio_get_text (reader, open->caller, sizeof open->caller);
  packio_get_text (reader, open->idempotency_key,
                   sizeof open->idempotency_key);
  packio_get_text (reader, open->chain_key, sizeof open->chain_key);
  packio_get_bytes (reader, open->attempt_id, sizeof open->attempt_id);
  open->importance = (uint8_t)packio_get_u32 (reader, MODEL_IMPORTANCE_MAX);
  open->depth = packio_get_u32 (reader, UINT32_MAX);
  open->retry_allowance = packio_get_u32 (reader, UINT32_MAX);
  open->remaining_us = packio_get_u64 (reader);
  open->suspect = packio_get_bool (reader);
  open->body_len = packio_get_i64 (reader);
}

static void
pack_put_body (msgpack_packer *packer, const struct msg_body *body)
{
  msgpack_pack_uint32 (packer, body->sequence);
  packio_put_bool (packer, body->end);
  msgpack_pack_uint64 (packer, body->total);
  pack_put_trailer (packer, &body->trailer);
}

static void
pack_get_body (struct packio_reader *reader, struct msg_body *body)
{
  body->sequence = packio_get_u32 (reader, UINT32_MAX);
  body->end = packio_get_bool (reader);
  body->total = packio_get_u64 (reader);
  pack_get_trailer (reader, &body->trailer);
}

static void
pack_put_head (msgpack_packer *packer, const struct msg_head *head)
{
  msgpack_pack_uint32 (packer, (uint32_t)head->status);
  packio_put_http_fields (packer, &head->fields);
  msgpack_pack_int64 (packer, head->body_len);
}

static void
pack_get_head (struct packio_reader *reader, struct msg_head *head)
{
  head->status = (int)packio_get_u32 (reader, 999);
  if (!httpstatus_valid (head->status, 3))
    reader->failed = true;
  packio_get_http_fields (reader, &head->fields);
  head->body_len = packio_get_i64 (reader);
}

static void
pack_put_refuse (msgpack_packer *packer, const struct msg_refuse *refuse)
{
  packio_put_text (packer, reason_name (refuse->reason));
  msgpack_pack_uint32 (packer, refuse->run);
  msgpack_pack_uint32 (packer, refuse->retry_after_ms);
  pack_put_trailer (packer, &refuse->trailer);
}

/* Reasons are sent by name, so that nodes of different versions agree on them;
   an unknown one is read as REASON_INTERNAL.  */
static void
pack_get_refuse (struct packio_reader *reader, struct msg_refuse *refuse)
{
  char name[MODEL_NAME_BYTES];

  packio_get_text (reader, name, sizeof name);
  refuse->reason = REASON_INTERNAL;
  for (int i = REASON_NONE + 1; i < REASON_COUNT; i++)
    if (strcmp (name, reason_name ((enum reason_refusal)i)) == 0)
      refuse->reason = (enum reason_refusal)i;
  refuse->run = (enum reason_run)packio_get_u32 (reader, REASON_RUN_UNKNOWN);
  refuse->retry_after_ms = packio_get_u32 (reader, UINT32_MAX);
  pack_get_trailer (reader, &refuse->trailer);
}

static void
pack_put_version (msgpack_packer *packer,
                  const struct member_config_version *version)
{
  msgpack_pack_uint64 (packer, version->term);
  msgpack_pack_uint64 (packer, version->index);
  msgpack_pack_uint64 (packer, version->number);
}

static void
pack_get_version (struct packio_reader *reader,
                  struct member_config_version *version)
{
  version->term = packio_get_u64 (reader);
  version->index = packio_get_u64 (reader);
  version->number = packio_get_u64 (reader);
}

static void
pack_put_record (msgpack_packer *packer, const struct member_record *record)
{
  packio_put_text (packer, record->instance);
  packio_put_text (packer, record->service);
  packio_put_text (packer, record->address);
  packio_put_text (packer, record->failure_domain);
  msgpack_pack_uint64 (packer, record->incarnation);
  msgpack_pack_uint64 (packer, record->sequence);
  msgpack_pack_uint32 (packer, record->slots);
  msgpack_pack_uint32 (packer, record->state);
  packio_put_bool (packer, record->control_replica);
}

static void
pack_get_record (struct packio_reader *reader, struct member_record *record)
{
  packio_get_text (reader, record->instance, sizeof record->instance);
  packio_get_text (reader, record->service, sizeof record->service);
  packio_get_text (reader, record->address, sizeof record->address);
  packio_get_text (reader, record->failure_domain,
                   sizeof record->failure_domain);
  record->incarnation = packio_get_u64 (reader);
  record->sequence = packio_get_u64 (reader);
  record->slots = packio_get_u32 (reader, UINT32_MAX);
  record->state = (enum member_state)packio_get_u32 (reader, MEMBER_TOMBSTONE);
  record->control_replica = packio_get_bool (reader);
}

static void
pack_put_crash_marks (msgpack_packer *packer, const struct list *marks)
{
  size_t count = 0;

  list_each (node, marks)
    count++;
  msgpack_pack_array (packer, 3 * count);
  list_each (node, marks)
    {
      const struct quarantine_mark *mark
          = list_entry (node, struct quarantine_mark, node);

      msgpack_pack_uint64 (packer, mark->fingerprint);
      packio_put_text (packer, mark->instance);
      msgpack_pack_uint32 (packer, mark->age_ms);
    }
}

static void
pack_get_crash_marks (struct packio_reader *reader, struct list *out)
{
  struct packio_reader nested = packio_get_array (reader);

  if (!packio_ok (&nested) || nested.count > PACK_ITEMS_MAX)
    {
      reader->failed = true;
      return;
    }
  while (nested.next < nested.count)
    {
      struct quarantine_mark *mark = calloc (1, sizeof *mark);

      INVARIANT (mark != NULL);
      mark->fingerprint = packio_get_u64 (&nested);
      packio_get_text (&nested, mark->instance, sizeof mark->instance);
      mark->age_ms = packio_get_u32 (&nested, UINT32_MAX);
      list_push_tail (out, &mark->node);
      if (!packio_ok (&nested))
        {
          reader->failed = true;
          return;
        }
    }
}

static void
pack_put_renew (msgpack_packer *packer, const struct member_renew *renew)
{
  pack_put_record (packer, &renew->record);
  msgpack_pack_uint64 (packer, renew->position.epoch);
  msgpack_pack_uint64 (packer, renew->position.change);
  pack_put_version (packer, &renew->config_version);
  packio_put_bool (packer, renew->all_services);
  msgpack_pack_array (packer, renew->service_count);
  for (uint32_t i = 0; i < renew->service_count; i++)
    packio_put_text (packer, renew->services[i]);
  pack_put_crash_marks (packer, &renew->crash_marks);
}

static void
pack_get_renew (struct packio_reader *reader, struct member_renew *renew)
{
  struct packio_reader names;

  pack_get_record (reader, &renew->record);
  renew->position.epoch = packio_get_u64 (reader);
  renew->position.change = packio_get_u64 (reader);
  pack_get_version (reader, &renew->config_version);
  renew->all_services = packio_get_bool (reader);
  names = packio_get_array (reader);
  if (!packio_ok (&names) || names.count > MEMBER_SERVICES_MAX)
    {
      reader->failed = true;
      return;
    }
  renew->service_count = names.count;
  if (names.count > 0)
    {
      renew->services = calloc (names.count, MODEL_NAME_BYTES);
      INVARIANT (renew->services != NULL);
    }
  for (uint32_t i = 0; i < names.count; i++)
    packio_get_text (&names, renew->services[i], MODEL_NAME_BYTES);
  if (!packio_ok (&names))
    reader->failed = true;
  pack_get_crash_marks (reader, &renew->crash_marks);
}

static void
pack_put_renew_reply (msgpack_packer *packer,
                      const struct member_renew_reply *reply)
{
  size_t count = 0;

  msgpack_pack_uint32 (packer, reply->status);
  msgpack_pack_uint64 (packer, reply->since.epoch);
  msgpack_pack_uint64 (packer, reply->since.change);
  msgpack_pack_uint64 (packer, reply->position.epoch);
  msgpack_pack_uint64 (packer, reply->position.change);
  packio_put_bool (packer, reply->full);
  pack_put_version (packer, &reply->config_version);
  packio_put_bool (packer, reply->config_confirmed);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    packio_put_text (packer, reply->leader_addresses[i]);
  pack_put_crash_marks (packer, &reply->crash_marks);
  list_each (node, &reply->items)
    count++;
  msgpack_pack_array (packer, count);
  list_each (node, &reply->items)
    {
      msgpack_pack_array (packer, 9);
      pack_put_record (packer,
                       &list_entry (node, struct member_item, node)->record);
    }
}

static void
pack_get_renew_reply (struct packio_reader *reader,
                      struct member_renew_reply *reply)
{
  struct packio_reader items;

  reply->status
      = (enum member_status)packio_get_u32 (reader, MEMBER_NAME_TAKEN);
  reply->since.epoch = packio_get_u64 (reader);
  reply->since.change = packio_get_u64 (reader);
  reply->position.epoch = packio_get_u64 (reader);
  reply->position.change = packio_get_u64 (reader);
  reply->full = packio_get_bool (reader);
  pack_get_version (reader, &reply->config_version);
  reply->config_confirmed = packio_get_bool (reader);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    packio_get_text (reader, reply->leader_addresses[i],
                     sizeof reply->leader_addresses[i]);
  pack_get_crash_marks (reader, &reply->crash_marks);
  items = packio_get_array (reader);
  if (!packio_ok (&items) || items.count > PACK_ITEMS_MAX)
    {
      reader->failed = true;
      return;
    }
  while (items.next < items.count && packio_ok (reader))
    {
      struct packio_reader fields = packio_get_array (&items);
      struct member_item *item = calloc (1, sizeof *item);

      INVARIANT (item != NULL);
      pack_get_record (&fields, &item->record);
      list_push_tail (&reply->items, &item->node);
      if (!packio_ok (&fields))
        reader->failed = true;
    }
}

static void
pack_put_result (msgpack_packer *packer, const struct msg_result *result)
{
  msgpack_pack_uint64 (packer, result->request_id);
  msgpack_pack_int64 (packer, result->status);
  packio_put_text (packer, result->leader_address);
  pack_put_version (packer, &result->version);
}

static void
pack_get_result (struct packio_reader *reader, struct msg_result *result)
{
  result->request_id = packio_get_u64 (reader);
  result->status = (int)packio_get_i64 (reader);
  packio_get_text (reader, result->leader_address,
                   sizeof result->leader_address);
  pack_get_version (reader, &result->version);
}

static int
pack_put_raft (const struct raft_msg *raft, struct pack_frames *frames)
{
  int error = raftpack_encode_msg (raft, &frames->owned_payload,
                                   &frames->payload_len);

  frames->payload = frames->owned_payload;
  return error;
}

/* Appends the fields after version, kind and stream, and sets the payload.  */
static int
pack_put_fields (msgpack_packer *packer, const struct msg *msg,
                 struct pack_frames *frames)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
      pack_put_open (packer, &msg->u.open);
      return SR_OK;
    case MSG_BODY:
      pack_put_body (packer, &msg->u.body);
      frames->payload = msg->u.body.data;
      frames->payload_len = msg->u.body.len;
      return SR_OK;
    case MSG_CREDIT:
      msgpack_pack_uint32 (packer, msg->u.credit);
      return SR_OK;
    case MSG_HEAD:
      pack_put_head (packer, &msg->u.head);
      return SR_OK;
    case MSG_REFUSE:
      pack_put_refuse (packer, &msg->u.refuse);
      return SR_OK;
    case MSG_CANCEL:
    case MSG_PING:
    case MSG_PONG:
      return SR_OK;
    case MSG_RENEW:
      pack_put_renew (packer, &msg->u.renew);
      return SR_OK;
    case MSG_RENEW_REPLY:
      pack_put_renew_reply (packer, &msg->u.renew_reply);
      return SR_OK;
    case MSG_PROPOSE:
      msgpack_pack_uint32 (packer, msg->u.propose.kind);
      msgpack_pack_uint32 (packer, msg->u.propose.group);
      msgpack_pack_uint64 (packer, msg->u.propose.request_id);
      frames->payload = msg->u.propose.data;
      frames->payload_len = msg->u.propose.len;
      return SR_OK;
    case MSG_RESULT:
      pack_put_result (packer, &msg->u.result);
      frames->payload = msg->u.result.data;
      frames->payload_len = msg->u.result.len;
      return SR_OK;
    case MSG_RAFT:
      msgpack_pack_uint32 (packer, msg->u.raft.group);
      packio_put_text (packer, msg->u.raft.from);
      return pack_put_raft (msg->u.raft.msg, frames);
    case MSG_CRASH_MARKS:
      pack_put_crash_marks (packer, &msg->u.items);
      return SR_OK;
    default:
      return SR_EINVAL;
    }
}

int
pack_encode (const struct msg *msg, struct pack_frames *frames)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  int error;

  *frames = (struct pack_frames){ 0 };
  if (msg->kind >= MSG_WIRE_COUNT)
    return SR_EINVAL;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer,
                      PACK_COMMON_FIELDS + pack_field_counts[msg->kind]);
  msgpack_pack_uint32 (&packer, PACK_VERSION);
  msgpack_pack_uint32 (&packer, msg->kind);
  msgpack_pack_uint64 (&packer, msg->stream);
  error = pack_put_fields (&packer, msg, frames);
  if (error != SR_OK)
    {
      msgpack_sbuffer_destroy (&buffer);
      return error;
    }
  frames->header_len = buffer.size;
  frames->header = msgpack_sbuffer_release (&buffer);
  return SR_OK;
}

void
pack_frames_free (struct pack_frames *frames)
{
  free (frames->header);
  free (frames->owned_payload);
}

/* Copy of the payload; NULL when it is empty.  */
static uint8_t *
pack_copy_payload (const void *payload, size_t len)
{
  uint8_t *copy;

  if (len == 0)
    return NULL;
  copy = malloc (len);
  INVARIANT (copy != NULL);
  memcpy (copy, payload, len);
  return copy;
}

/* Stores the payload in MSG; kinds without one allow an empty payload only. */
static int
pack_get_payload (struct msg *msg, const void *payload, size_t len)
{
  switch (msg->kind)
    {
    case MSG_BODY:
      if (len > MSG_BODY_BYTES_MAX)
        return SR_EMALFORMED;
      msg->u.body.data = pack_copy_payload (payload, len);
      msg->u.body.len = len;
      return SR_OK;
    case MSG_PROPOSE:
      msg->u.propose.data = pack_copy_payload (payload, len);
      msg->u.propose.len = len;
      return SR_OK;
    case MSG_RESULT:
      msg->u.result.data = pack_copy_payload (payload, len);
      msg->u.result.len = len;
      return SR_OK;
    case MSG_RAFT:
      return raftpack_decode_msg (payload, len, &msg->u.raft.msg);
    default:
      return len == 0 ? SR_OK : SR_EMALFORMED;
    }
}

/* Reads the fields after version, kind and stream.  */
static void
pack_get_fields (struct packio_reader *reader, struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_OPEN:
      pack_get_open (reader, &msg->u.open);
      break;
    case MSG_BODY:
      pack_get_body (reader, &msg->u.body);
      break;
    case MSG_CREDIT:
      msg->u.credit = packio_get_u32 (reader, MSG_WINDOW_BYTES);
      break;
    case MSG_HEAD:
      pack_get_head (reader, &msg->u.head);
      break;
    case MSG_REFUSE:
      pack_get_refuse (reader, &msg->u.refuse);
      break;
    case MSG_RENEW:
      pack_get_renew (reader, &msg->u.renew);
      break;
    case MSG_RENEW_REPLY:
      pack_get_renew_reply (reader, &msg->u.renew_reply);
      break;
    case MSG_PROPOSE:
      msg->u.propose.kind
          = (enum msg_propose_kind)packio_get_u32 (reader, MSG_PROPOSE_READ);
      msg->u.propose.group
          = (enum msg_group)packio_get_u32 (reader, MSG_GROUP_COUNT - 1);
      msg->u.propose.request_id = packio_get_u64 (reader);
      break;
    case MSG_RESULT:
      pack_get_result (reader, &msg->u.result);
      break;
    case MSG_RAFT:
      msg->u.raft.group
          = (enum msg_group)packio_get_u32 (reader, MSG_GROUP_COUNT - 1);
      packio_get_text (reader, msg->u.raft.from, sizeof msg->u.raft.from);
      break;
    case MSG_CRASH_MARKS:
      pack_get_crash_marks (reader, &msg->u.items);
      break;
    default:
      break;
    }
}

/* Decodes the header into a new message.  */
static int
pack_get_message (const msgpack_object *object, struct msg **out)
{
  struct packio_reader reader;
  uint32_t version;
  uint32_t kind;
  struct msg *msg;

  packio_reader_init (&reader, object);
  version = packio_get_u32 (&reader, UINT32_MAX);
  if (packio_ok (&reader) && version != PACK_VERSION)
    return SR_EVERSION;
  kind = packio_get_u32 (&reader, MSG_WIRE_COUNT - 1);
  if (!packio_ok (&reader))
    return SR_EMALFORMED;
  msg = msg_new ((enum msg_kind)kind);
  msg->stream = packio_get_u64 (&reader);
  pack_get_fields (&reader, msg);
  if (!packio_ok (&reader) || reader.next != reader.count)
    {
      msg_free (msg);
      return SR_EMALFORMED;
    }
  *out = msg;
  return SR_OK;
}

int
pack_decode (const void *header, size_t header_len, const void *payload,
             size_t payload_len, struct msg **out)
{
  msgpack_unpacked unpacked;
  struct msg *msg = NULL;
  size_t offset = 0;
  int error = SR_EMALFORMED;

  msgpack_unpacked_init (&unpacked);
  if (packscan_complete (header, header_len)
      && msgpack_unpack_next (&unpacked, header, header_len, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && offset == header_len)
    error = pack_get_message (&unpacked.data, &msg);
  msgpack_unpacked_destroy (&unpacked);
  if (error != SR_OK)
    return error;
  error = pack_get_payload (msg, payload, payload_len);
  if (error != SR_OK)
    {
      msg_free (msg);
      return error;
    }
  *out = msg;
  return SR_OK;
}
