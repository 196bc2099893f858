#include "wire/reppack.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "wire/packio.h"
#include "wire/packscan.h"

static void
rpk_put_members (msgpack_packer *packer, const struct rep_members *members)
{
  msgpack_pack_array (packer, 3 * members->count);
  for (uint32_t i = 0; i < members->count; i++)
    {
      msgpack_pack_uint64 (packer, members->list[i].id);
      pio_put_text (packer, members->list[i].address);
      pio_put_bool (packer, members->list[i].learner);
    }
}

static void
rpk_put_entries (msgpack_packer *packer, const struct lst *entries)
{
  size_t count = 0;

  lst_each (node, entries)
    count++;
  msgpack_pack_array (packer, count);
  lst_each (node, entries)
    {
      const struct rep_entry *entry = lst_entry (node, struct rep_entry, node);

      msgpack_pack_array (packer, 5);
      msgpack_pack_uint64 (packer, entry->term);
      msgpack_pack_uint64 (packer, entry->index);
      msgpack_pack_uint64 (packer, entry->stamp_ms);
      msgpack_pack_uint32 (packer, entry->kind);
      switch (entry->kind)
        {
        case REP_COMMAND:
          pio_put_bytes (packer, entry->data, entry->len);
          break;
        case REP_NOOP:
          pio_put_bytes (packer, NULL, 0);
          break;
        case REP_MEMBERSHIP:
          rpk_put_members (packer, entry->members);
          break;
        }
    }
}

static void
rpk_put_append (msgpack_packer *packer, const struct rep_append *append)
{
  msgpack_pack_uint64 (packer, append->prev_index);
  msgpack_pack_uint64 (packer, append->prev_term);
  msgpack_pack_uint64 (packer, append->commit);
  msgpack_pack_uint64 (packer, append->round);
  msgpack_pack_uint64 (packer, append->sent_us);
  rpk_put_entries (packer, &append->entries);
}

static void
rpk_put_append_reply (msgpack_packer *packer,
                      const struct rep_append_reply *reply)
{
  pio_put_bool (packer, reply->accepted);
  msgpack_pack_uint64 (packer, reply->match);
  msgpack_pack_uint64 (packer, reply->prev);
  msgpack_pack_uint64 (packer, reply->hint);
  msgpack_pack_uint64 (packer, reply->round);
  msgpack_pack_uint64 (packer, reply->sent_us);
}

static void
rpk_put_chunk (msgpack_packer *packer, const struct rep_chunk *chunk)
{
  msgpack_pack_uint64 (packer, chunk->index);
  msgpack_pack_uint64 (packer, chunk->term);
  rpk_put_members (packer, &chunk->members);
  msgpack_pack_uint64 (packer, chunk->total);
  msgpack_pack_uint64 (packer, chunk->offset);
  msgpack_pack_uint64 (packer, chunk->round);
  msgpack_pack_uint64 (packer, chunk->sent_us);
  pio_put_bytes (packer, chunk->data, chunk->len);
}

static void
rpk_put_chunk_reply (msgpack_packer *packer,
                     const struct rep_chunk_reply *reply)
{
  msgpack_pack_uint64 (packer, reply->index);
  msgpack_pack_uint64 (packer, reply->next);
  pio_put_bool (packer, reply->installed);
  msgpack_pack_uint64 (packer, reply->round);
  msgpack_pack_uint64 (packer, reply->sent_us);
}

static void
rpk_put_body (msgpack_packer *packer, const struct rep_msg *msg)
{
  switch (msg->kind)
    {
    case REP_PREVOTE:
    case REP_VOTE:
      msgpack_pack_uint64 (packer, msg->u.vote.last_index);
      msgpack_pack_uint64 (packer, msg->u.vote.last_term);
      pio_put_bool (packer, msg->u.vote.transfer);
      break;
    case REP_PREVOTE_REPLY:
    case REP_VOTE_REPLY:
      msgpack_pack_uint64 (packer, msg->u.vote_reply.asked_term);
      pio_put_bool (packer, msg->u.vote_reply.granted);
      break;
    case REP_APPEND:
      rpk_put_append (packer, &msg->u.append);
      break;
    case REP_APPEND_REPLY:
      rpk_put_append_reply (packer, &msg->u.append_reply);
      break;
    case REP_SNAPSHOT:
      rpk_put_chunk (packer, &msg->u.chunk);
      break;
    case REP_SNAPSHOT_REPLY:
      rpk_put_chunk_reply (packer, &msg->u.chunk_reply);
      break;
    case REP_HELLO:
      msgpack_pack_uint64 (packer, msg->u.hello.peers_digest);
      break;
    case REP_HELLO_REPLY:
      pio_put_bool (packer, msg->u.hello_reply.belongs);
      msgpack_pack_uint64 (packer, msg->u.hello_reply.peers_digest);
      pio_put_text (packer, msg->u.hello_reply.leader);
      break;
    case REP_TIMEOUT_NOW:
    case REP_MSG_COUNT:
      break;
    }
}

/* Fields of each kind after the common ones.  */
static const uint32_t rpk_fields[REP_MSG_COUNT] = {
  [REP_PREVOTE] = 3,    [REP_PREVOTE_REPLY] = 2,  [REP_VOTE] = 3,
  [REP_VOTE_REPLY] = 2, [REP_APPEND] = 6,         [REP_APPEND_REPLY] = 6,
  [REP_SNAPSHOT] = 8,   [REP_SNAPSHOT_REPLY] = 5, [REP_TIMEOUT_NOW] = 0,
  [REP_HELLO] = 1,      [REP_HELLO_REPLY] = 3,
};

/* Hands the bytes of BUFFER to the caller.  */
static int
rpk_take (msgpack_sbuffer *buffer, uint8_t **out, size_t *len)
{
  *len = buffer->size;
  *out = (uint8_t *)msgpack_sbuffer_release (buffer);
  return *out == NULL ? SR_ENOMEM : SR_OK;
}

int
rpk_encode_msg (const struct rep_msg *msg, uint8_t **out, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6 + rpk_fields[msg->kind]);
  msgpack_pack_uint32 (&packer, RPK_VERSION);
  msgpack_pack_uint32 (&packer, msg->kind);
  msgpack_pack_uint64 (&packer, msg->from);
  msgpack_pack_uint64 (&packer, msg->to);
  msgpack_pack_uint64 (&packer, msg->term);
  pio_put_text (&packer, msg->address);
  rpk_put_body (&packer, msg);
  return rpk_take (&buffer, out, len);
}

int
rpk_encode_write (const struct sto_write *write, uint8_t **out, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6);
  msgpack_pack_uint32 (&packer, RPK_VERSION);
  msgpack_pack_uint64 (&packer, write->hard.term);
  msgpack_pack_uint64 (&packer, write->hard.vote);
  msgpack_pack_uint64 (&packer, write->hard.commit);
  msgpack_pack_uint64 (&packer, write->truncate_from);
  rpk_put_entries (&packer, &write->entries);
  return rpk_take (&buffer, out, len);
}

int
rpk_encode_snapshot (const struct rep_snapshot *snapshot, uint8_t **out,
                     size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint32 (&packer, RPK_VERSION);
  msgpack_pack_uint64 (&packer, snapshot->index);
  msgpack_pack_uint64 (&packer, snapshot->term);
  rpk_put_members (&packer, &snapshot->members);
  pio_put_bytes (&packer, snapshot->data, snapshot->len);
  return rpk_take (&buffer, out, len);
}

/* Bytes of the next field, malloc()ed; NULL when there are none.  */
static void
rpk_data (struct pio_reader *reader, size_t most, uint8_t **out, size_t *len)
{
  const msgpack_object *field;

  if (!pio_ok (reader) || reader->next >= reader->count)
    {
      reader->fault = true;
      return;
    }
  field = &reader->fields[reader->next++];
  if (field->type != MSGPACK_OBJECT_BIN || field->via.bin.size > most)
    {
      reader->fault = true;
      return;
    }
  if (field->via.bin.size == 0)
    return;
  *out = malloc (field->via.bin.size);
  INVARIANT (*out != NULL);
  memcpy (*out, field->via.bin.ptr, field->via.bin.size);
  *len = field->via.bin.size;
}

static void
rpk_members (struct pio_reader *reader, struct rep_members *members)
{
  struct pio_reader nested = pio_array (reader);

  if (!pio_ok (&nested) || nested.count % 3 != 0
      || nested.count / 3 > REP_MEMBERS_MAX)
    {
      reader->fault = true;
      return;
    }
  members->count = nested.count / 3;
  for (uint32_t i = 0; i < members->count; i++)
    {
      members->list[i].id = pio_u64 (&nested);
      pio_text (&nested, members->list[i].address, REP_ADDRESS_BYTES);
      members->list[i].learner = pio_bool (&nested);
      if (members->list[i].id == 0)
        reader->fault = true;
    }
  if (!pio_ok (&nested))
    reader->fault = true;
}

/* One entry, or NULL after a fault.  */
static struct rep_entry *
rpk_entry (struct pio_reader *reader)
{
  struct pio_reader nested = pio_array (reader);
  struct rep_entry *entry = rep_entry_new (REP_NOOP);
  size_t none = 0;

  entry->term = pio_u64 (&nested);
  entry->index = pio_u64 (&nested);
  entry->stamp_ms = pio_u64 (&nested);
  entry->kind = (enum rep_entry_kind)pio_u32 (&nested, REP_MEMBERSHIP);
  switch (entry->kind)
    {
    case REP_COMMAND:
      rpk_data (&nested, RPK_DATA_BYTES_MAX, &entry->data, &entry->len);
      break;
    case REP_NOOP:
      rpk_data (&nested, 0, &entry->data, &none);
      break;
    case REP_MEMBERSHIP:
      entry->members = calloc (1, sizeof *entry->members);
      INVARIANT (entry->members != NULL);
      rpk_members (&nested, entry->members);
      break;
    }
  if (pio_ok (&nested) && nested.next == nested.count && entry->term > 0
      && entry->index > 0)
    return entry;
  reader->fault = true;
  rep_entry_free (entry);
  return NULL;
}

/* Entries with indexes without a gap from FIRST on (0: any) and terms that do
   not fall and are at most MOST_TERM.  */
static void
rpk_entries (struct pio_reader *reader, uint64_t first, uint64_t most_term,
             struct lst *out)
{
  struct pio_reader nested = pio_array (reader);
  uint64_t term = 0;

  while (pio_ok (&nested) && nested.next < nested.count)
    {
      struct rep_entry *entry = rpk_entry (&nested);

      if (entry == NULL)
        break;
      lst_push_tail (out, &entry->node);
      if ((first != 0 && entry->index != first) || entry->term < term
          || entry->term > most_term)
        {
          nested.fault = true;
          break;
        }
      first = entry->index + 1;
      term = entry->term;
    }
  if (!pio_ok (&nested))
    reader->fault = true;
}

static void
rpk_get_append (struct pio_reader *reader, struct rep_msg *msg)
{
  struct rep_append *append = &msg->u.append;

  append->prev_index = pio_u64 (reader);
  append->prev_term = pio_u64 (reader);
  append->commit = pio_u64 (reader);
  append->round = pio_u64 (reader);
  append->sent_us = pio_u64 (reader);
  if (append->prev_index == UINT64_MAX)
    reader->fault = true;
  rpk_entries (reader, append->prev_index + 1, msg->term, &append->entries);
}

static void
rpk_get_append_reply (struct pio_reader *reader,
                      struct rep_append_reply *reply)
{
  reply->accepted = pio_bool (reader);
  reply->match = pio_u64 (reader);
  reply->prev = pio_u64 (reader);
  reply->hint = pio_u64 (reader);
  reply->round = pio_u64 (reader);
  reply->sent_us = pio_u64 (reader);
}

static void
rpk_get_chunk (struct pio_reader *reader, struct rep_msg *msg)
{
  struct rep_chunk *chunk = &msg->u.chunk;

  chunk->index = pio_u64 (reader);
  chunk->term = pio_u64 (reader);
  rpk_members (reader, &chunk->members);
  chunk->total = pio_u64 (reader);
  chunk->offset = pio_u64 (reader);
  chunk->round = pio_u64 (reader);
  chunk->sent_us = pio_u64 (reader);
  rpk_data (reader, REP_CHUNK_BYTES_MAX, &chunk->data, &chunk->len);
  if (chunk->index == 0 || chunk->term == 0 || chunk->term > msg->term
      || chunk->total > RPK_DATA_BYTES_MAX || chunk->offset > chunk->total
      || chunk->len > chunk->total - chunk->offset)
    reader->fault = true;
}

static void
rpk_get_body (struct pio_reader *reader, struct rep_msg *msg)
{
  switch (msg->kind)
    {
    case REP_PREVOTE:
    case REP_VOTE:
      msg->u.vote.last_index = pio_u64 (reader);
      msg->u.vote.last_term = pio_u64 (reader);
      msg->u.vote.transfer = pio_bool (reader);
      break;
    case REP_PREVOTE_REPLY:
    case REP_VOTE_REPLY:
      msg->u.vote_reply.asked_term = pio_u64 (reader);
      msg->u.vote_reply.granted = pio_bool (reader);
      break;
    case REP_APPEND:
      rpk_get_append (reader, msg);
      break;
    case REP_APPEND_REPLY:
      rpk_get_append_reply (reader, &msg->u.append_reply);
      break;
    case REP_SNAPSHOT:
      rpk_get_chunk (reader, msg);
      break;
    case REP_SNAPSHOT_REPLY:
      msg->u.chunk_reply.index = pio_u64 (reader);
      msg->u.chunk_reply.next = pio_u64 (reader);
      msg->u.chunk_reply.installed = pio_bool (reader);
      msg->u.chunk_reply.round = pio_u64 (reader);
      msg->u.chunk_reply.sent_us = pio_u64 (reader);
      break;
    case REP_HELLO:
      msg->u.hello.peers_digest = pio_u64 (reader);
      break;
    case REP_HELLO_REPLY:
      msg->u.hello_reply.belongs = pio_bool (reader);
      msg->u.hello_reply.peers_digest = pio_u64 (reader);
      pio_text (reader, msg->u.hello_reply.leader, REP_ADDRESS_BYTES);
      break;
    case REP_TIMEOUT_NOW:
    case REP_MSG_COUNT:
      break;
    }
}

/* Unpacks one object that fills DATA and opens READER on it behind its
   version.  */
static int
rpk_open (const void *data, size_t len, msgpack_unpacked *unpacked,
          struct pio_reader *reader)
{
  size_t offset = 0;
  msgpack_unpack_return result;

  msgpack_unpacked_init (unpacked);
  if (!psc_whole (data, len))
    return SR_EMALFORMED;
  result = msgpack_unpack_next (unpacked, data, len, &offset);
  if (result == MSGPACK_UNPACK_NOMEM_ERROR)
    return SR_ENOMEM;
  if (result != MSGPACK_UNPACK_SUCCESS || offset != len)
    return SR_EMALFORMED;
  pio_open (reader, &unpacked->data);
  if (pio_u32 (reader, UINT32_MAX) != RPK_VERSION)
    return pio_ok (reader) ? SR_EVERSION : SR_EMALFORMED;
  return SR_OK;
}

static bool
rpk_complete (const struct pio_reader *reader)
{
  return pio_ok (reader) && reader->next == reader->count;
}

int
rpk_decode_msg (const void *data, size_t len, struct rep_msg **out)
{
  msgpack_unpacked unpacked;
  struct pio_reader reader;
  struct rep_msg *msg;
  int error = rpk_open (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      msg = rep_msg_new (
          (enum rep_msg_kind)pio_u32 (&reader, REP_MSG_COUNT - 1));
      msg->from = pio_u64 (&reader);
      msg->to = pio_u64 (&reader);
      msg->term = pio_u64 (&reader);
      pio_text (&reader, msg->address, sizeof msg->address);
      rpk_get_body (&reader, msg);
      if (rpk_complete (&reader) && msg->from != 0)
        *out = msg;
      else
        {
          rep_msg_free (msg);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}

int
rpk_decode_write (const void *data, size_t len, struct sto_write **out)
{
  msgpack_unpacked unpacked;
  struct pio_reader reader;
  struct sto_write *write;
  int error = rpk_open (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      write = sto_write_new (0);
      write->hard.term = pio_u64 (&reader);
      write->hard.vote = pio_u64 (&reader);
      write->hard.commit = pio_u64 (&reader);
      write->truncate_from = pio_u64 (&reader);
      rpk_entries (&reader, 0, write->hard.term, &write->entries);
      if (rpk_complete (&reader))
        *out = write;
      else
        {
          sto_write_free (write);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}

int
rpk_decode_snapshot (const void *data, size_t len, struct rep_snapshot **out)
{
  msgpack_unpacked unpacked;
  struct pio_reader reader;
  struct rep_snapshot *snapshot;
  int error = rpk_open (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      snapshot = calloc (1, sizeof *snapshot);
      INVARIANT (snapshot != NULL);
      snapshot->index = pio_u64 (&reader);
      snapshot->term = pio_u64 (&reader);
      rpk_members (&reader, &snapshot->members);
      rpk_data (&reader, RPK_DATA_BYTES_MAX, &snapshot->data, &snapshot->len);
      if (rpk_complete (&reader) && snapshot->index > 0)
        *out = snapshot;
      else
        {
          rep_snapshot_free (snapshot);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}
