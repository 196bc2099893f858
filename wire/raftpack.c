#include "wire/raftpack.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "wire/packio.h"
#include "wire/packscan.h"

static void
raftpack_put_members (msgpack_packer *packer,
                      const struct raft_members *members)
{
  msgpack_pack_array (packer, 3 * members->count);
  for (uint32_t i = 0; i < members->count; i++)
    {
      msgpack_pack_uint64 (packer, members->list[i].id);
      packio_put_text (packer, members->list[i].address);
      packio_put_bool (packer, members->list[i].learner);
    }
}

static void
raftpack_put_entries (msgpack_packer *packer, const struct list *entries)
{
  size_t count = 0;

  list_each (node, entries)
    count++;
  msgpack_pack_array (packer, count);
  list_each (node, entries)
    {
      const struct raft_entry *entry
          = list_entry (node, struct raft_entry, node);

      msgpack_pack_array (packer, 5);
      msgpack_pack_uint64 (packer, entry->term);
      msgpack_pack_uint64 (packer, entry->index);
      msgpack_pack_uint64 (packer, entry->timestamp_ms);
      msgpack_pack_uint32 (packer, entry->kind);
      switch (entry->kind)
        {
        case RAFT_ENTRY_COMMAND:
          packio_put_bytes (packer, entry->data, entry->len);
          break;
        case RAFT_ENTRY_NOOP:
          packio_put_bytes (packer, NULL, 0);
          break;
        case RAFT_ENTRY_MEMBERSHIP:
          raftpack_put_members (packer, entry->members);
          break;
        }
    }
}

static void
raftpack_put_append (msgpack_packer *packer, const struct raft_append *append)
{
  msgpack_pack_uint64 (packer, append->prev_index);
  msgpack_pack_uint64 (packer, append->prev_term);
  msgpack_pack_uint64 (packer, append->leader_commit);
  msgpack_pack_uint64 (packer, append->round);
  msgpack_pack_uint64 (packer, append->sent_us);
  raftpack_put_entries (packer, &append->entries);
}

static void
raftpack_put_append_reply (msgpack_packer *packer,
                           const struct raft_append_reply *reply)
{
  packio_put_bool (packer, reply->accepted);
  msgpack_pack_uint64 (packer, reply->match_index);
  msgpack_pack_uint64 (packer, reply->prev_index);
  msgpack_pack_uint64 (packer, reply->next_index);
  msgpack_pack_uint64 (packer, reply->round);
  msgpack_pack_uint64 (packer, reply->sent_us);
}

static void
raftpack_put_chunk (msgpack_packer *packer,
                    const struct raft_snapshot_chunk *chunk)
{
  msgpack_pack_uint64 (packer, chunk->index);
  msgpack_pack_uint64 (packer, chunk->term);
  raftpack_put_members (packer, &chunk->members);
  msgpack_pack_uint64 (packer, chunk->total);
  msgpack_pack_uint64 (packer, chunk->offset);
  msgpack_pack_uint64 (packer, chunk->round);
  msgpack_pack_uint64 (packer, chunk->sent_us);
  packio_put_bytes (packer, chunk->data, chunk->len);
}

static void
raftpack_put_chunk_reply (msgpack_packer *packer,
                          const struct raft_snapshot_chunk_reply *reply)
{
  msgpack_pack_uint64 (packer, reply->index);
  msgpack_pack_uint64 (packer, reply->next_offset);
  packio_put_bool (packer, reply->installed);
  msgpack_pack_uint64 (packer, reply->round);
  msgpack_pack_uint64 (packer, reply->sent_us);
}

static void
raftpack_put_silent_peers (msgpack_packer *packer,
                           const struct raft_silent_peers *peers)
{
  msgpack_pack_array (packer, 2 * peers->count);
  for (uint32_t i = 0; i < peers->count; i++)
    {
      msgpack_pack_uint64 (packer, peers->list[i].id);
      msgpack_pack_uint64 (packer, peers->list[i].silent_us);
    }
}

static void
raftpack_put_body (msgpack_packer *packer, const struct raft_msg *msg)
{
  switch (msg->kind)
    {
    case RAFT_PREVOTE:
    case RAFT_VOTE:
      msgpack_pack_uint64 (packer, msg->u.vote.last_index);
      msgpack_pack_uint64 (packer, msg->u.vote.last_term);
      packio_put_bool (packer, msg->u.vote.leadership_transfer);
      break;
    case RAFT_PREVOTE_REPLY:
    case RAFT_VOTE_REPLY:
      msgpack_pack_uint64 (packer, msg->u.vote_reply.request_term);
      packio_put_bool (packer, msg->u.vote_reply.granted);
      break;
    case RAFT_APPEND:
      raftpack_put_append (packer, &msg->u.append);
      break;
    case RAFT_APPEND_REPLY:
      raftpack_put_append_reply (packer, &msg->u.append_reply);
      break;
    case RAFT_INSTALL_SNAPSHOT:
      raftpack_put_chunk (packer, &msg->u.chunk);
      break;
    case RAFT_INSTALL_SNAPSHOT_REPLY:
      raftpack_put_chunk_reply (packer, &msg->u.chunk_reply);
      break;
    case RAFT_HELLO:
      msgpack_pack_uint64 (packer, msg->u.hello.peers_digest);
      break;
    case RAFT_HELLO_REPLY:
      packio_put_bool (packer, msg->u.hello_reply.in_group);
      msgpack_pack_uint64 (packer, msg->u.hello_reply.peers_digest);
      packio_put_text (packer, msg->u.hello_reply.leader_address);
      break;
    case RAFT_SILENT_PEERS:
      raftpack_put_silent_peers (packer, &msg->u.silent_peers);
      break;
    case RAFT_LEAVE:
    case RAFT_TIMEOUT_NOW:
    case RAFT_MSG_COUNT:
      break;
    }
}

/* Number of fields of each kind after the common ones.  */
static const uint32_t raftpack_field_counts[RAFT_MSG_COUNT] = {
  [RAFT_PREVOTE] = 3,
  [RAFT_PREVOTE_REPLY] = 2,
  [RAFT_VOTE] = 3,
  [RAFT_VOTE_REPLY] = 2,
  [RAFT_APPEND] = 6,
  [RAFT_APPEND_REPLY] = 6,
  [RAFT_INSTALL_SNAPSHOT] = 8,
  [RAFT_INSTALL_SNAPSHOT_REPLY] = 5,
  [RAFT_TIMEOUT_NOW] = 0,
  [RAFT_HELLO] = 1,
  [RAFT_HELLO_REPLY] = 3,
  [RAFT_LEAVE] = 0,
  [RAFT_SILENT_PEERS] = 1,
};

/* Transfers the ownership of the bytes in BUFFER to *OUT.  */
static int
raftpack_release_buffer (msgpack_sbuffer *buffer, uint8_t **out, size_t *len)
{
  *len = buffer->size;
  *out = (uint8_t *)msgpack_sbuffer_release (buffer);
  return *out == NULL ? SR_ENOMEM : SR_OK;
}

int
raftpack_encode_msg (const struct raft_msg *msg, uint8_t **out, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6 + raftpack_field_counts[msg->kind]);
  msgpack_pack_uint32 (&packer, RAFTPACK_VERSION);
  msgpack_pack_uint32 (&packer, msg->kind);
  msgpack_pack_uint64 (&packer, msg->from);
  msgpack_pack_uint64 (&packer, msg->to);
  msgpack_pack_uint64 (&packer, msg->term);
  packio_put_text (&packer, msg->address);
  raftpack_put_body (&packer, msg);
  return raftpack_release_buffer (&buffer, out, len);
}

int
raftpack_encode_write (const struct raft_write *write, uint8_t **out,
                       size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6);
  msgpack_pack_uint32 (&packer, RAFTPACK_VERSION);
  msgpack_pack_uint64 (&packer, write->hard_state.term);
  msgpack_pack_uint64 (&packer, write->hard_state.voted_for);
  msgpack_pack_uint64 (&packer, write->hard_state.commit_index);
  msgpack_pack_uint64 (&packer, write->truncate_from);
  raftpack_put_entries (&packer, &write->entries);
  return raftpack_release_buffer (&buffer, out, len);
}

int
raftpack_encode_snapshot (const struct raft_snapshot *snapshot, uint8_t **out,
                          size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint32 (&packer, RAFTPACK_VERSION);
  msgpack_pack_uint64 (&packer, snapshot->index);
  msgpack_pack_uint64 (&packer, snapshot->term);
  raftpack_put_members (&packer, &snapshot->members);
  packio_put_bytes (&packer, snapshot->data, snapshot->len);
  return raftpack_release_buffer (&buffer, out, len);
}

/* Reads a binary field of at most MAX_LEN bytes into a malloc()ed buffer; OUT
   and LEN stay unchanged when it is empty.  */
static void
raftpack_get_data (struct packio_reader *reader, size_t max_len, uint8_t **out,
                   size_t *len)
{
  const msgpack_object *field;

  if (!packio_ok (reader) || reader->next >= reader->count)
    {
      reader->failed = true;
      return;
    }
  field = &reader->fields[reader->next++];
  if (field->type != MSGPACK_OBJECT_BIN || field->via.bin.size > max_len)
    {
      reader->failed = true;
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
raftpack_get_members (struct packio_reader *reader,
                      struct raft_members *members)
{
  struct packio_reader nested = packio_get_array (reader);

  if (!packio_ok (&nested) || nested.count % 3 != 0
      || nested.count / 3 > RAFT_MEMBERS_MAX)
    {
      reader->failed = true;
      return;
    }
  members->count = nested.count / 3;
  for (uint32_t i = 0; i < members->count; i++)
    {
      members->list[i].id = packio_get_u64 (&nested);
      packio_get_text (&nested, members->list[i].address, RAFT_ADDRESS_BYTES);
      members->list[i].learner = packio_get_bool (&nested);
      if (members->list[i].id == 0)
        reader->failed = true;
    }
  if (!packio_ok (&nested))
    reader->failed = true;
}

/* Reads one log entry; NULL after an error.  */
static struct raft_entry *
raftpack_get_entry (struct packio_reader *reader)
{
  struct packio_reader nested = packio_get_array (reader);
  struct raft_entry *entry = raft_entry_new (RAFT_ENTRY_NOOP);
  size_t empty_len = 0;

  entry->term = packio_get_u64 (&nested);
  entry->index = packio_get_u64 (&nested);
  entry->timestamp_ms = packio_get_u64 (&nested);
  entry->kind
      = (enum raft_entry_kind)packio_get_u32 (&nested, RAFT_ENTRY_MEMBERSHIP);
  switch (entry->kind)
    {
    case RAFT_ENTRY_COMMAND:
      raftpack_get_data (&nested, RAFTPACK_DATA_BYTES_MAX, &entry->data,
                         &entry->len);
      break;
    case RAFT_ENTRY_NOOP:
      raftpack_get_data (&nested, 0, &entry->data, &empty_len);
      break;
    case RAFT_ENTRY_MEMBERSHIP:
      entry->members = calloc (1, sizeof *entry->members);
      INVARIANT (entry->members != NULL);
      raftpack_get_members (&nested, entry->members);
      break;
    }
  if (packio_ok (&nested) && nested.next == nested.count && entry->term > 0
      && entry->index > 0)
    return entry;
  reader->failed = true;
  raft_entry_free (entry);
  return NULL;
}

/* Reads log entries.  Their indexes must be consecutive from FIRST_INDEX on
   (0: from any index) and their terms must not decrease or exceed MAX_TERM. */
static void
raftpack_get_entries (struct packio_reader *reader, uint64_t first_index,
                      uint64_t max_term, struct list *out)
{
  struct packio_reader nested = packio_get_array (reader);
  uint64_t term = 0;

  while (packio_ok (&nested) && nested.next < nested.count)
    {
      struct raft_entry *entry = raftpack_get_entry (&nested);

      if (entry == NULL)
        break;
      list_push_tail (out, &entry->node);
      if ((first_index != 0 && entry->index != first_index)
          || entry->term < term || entry->term > max_term)
        {
          nested.failed = true;
          break;
        }
      first_index = entry->index + 1;
      term = entry->term;
    }
  if (!packio_ok (&nested))
    reader->failed = true;
}

static void
raftpack_get_append (struct packio_reader *reader, struct raft_msg *msg)
{
  struct raft_append *append = &msg->u.append;

  append->prev_index = packio_get_u64 (reader);
  append->prev_term = packio_get_u64 (reader);
  append->leader_commit = packio_get_u64 (reader);
  append->round = packio_get_u64 (reader);
  append->sent_us = packio_get_u64 (reader);
  if (append->prev_index == UINT64_MAX)
    reader->failed = true;
  raftpack_get_entries (reader, append->prev_index + 1, msg->term,
                        &append->entries);
}

static void
raftpack_get_append_reply (struct packio_reader *reader,
                           struct raft_append_reply *reply)
{
  reply->accepted = packio_get_bool (reader);
  reply->match_index = packio_get_u64 (reader);
  reply->prev_index = packio_get_u64 (reader);
  reply->next_index = packio_get_u64 (reader);
  reply->round = packio_get_u64 (reader);
  reply->sent_us = packio_get_u64 (reader);
}

static void
raftpack_get_chunk (struct packio_reader *reader, struct raft_msg *msg)
{
  struct raft_snapshot_chunk *chunk = &msg->u.chunk;

  chunk->index = packio_get_u64 (reader);
  chunk->term = packio_get_u64 (reader);
  raftpack_get_members (reader, &chunk->members);
  chunk->total = packio_get_u64 (reader);
  chunk->offset = packio_get_u64 (reader);
  chunk->round = packio_get_u64 (reader);
  chunk->sent_us = packio_get_u64 (reader);
  raftpack_get_data (reader, RAFT_SNAPSHOT_CHUNK_BYTES_MAX, &chunk->data,
                     &chunk->len);
  if (chunk->index == 0 || chunk->term == 0 || chunk->term > msg->term
      || chunk->total > RAFTPACK_DATA_BYTES_MAX || chunk->offset > chunk->total
      || chunk->len > chunk->total - chunk->offset)
    reader->failed = true;
}

static void
raftpack_get_silent_peers (struct packio_reader *reader,
                           struct raft_silent_peers *peers)
{
  struct packio_reader nested = packio_get_array (reader);

  if (!packio_ok (&nested) || nested.count % 2 != 0
      || nested.count > 2 * RAFT_MEMBERS_MAX)
    {
      reader->failed = true;
      return;
    }
  peers->count = nested.count / 2;
  for (uint32_t i = 0; i < peers->count; i++)
    {
      peers->list[i].id = packio_get_u64 (&nested);
      peers->list[i].silent_us = packio_get_u64 (&nested);
    }
  if (!packio_ok (&nested))
    reader->failed = true;
}

static void
raftpack_get_body (struct packio_reader *reader, struct raft_msg *msg)
{
  switch (msg->kind)
    {
    case RAFT_PREVOTE:
    case RAFT_VOTE:
      msg->u.vote.last_index = packio_get_u64 (reader);
      msg->u.vote.last_term = packio_get_u64 (reader);
      msg->u.vote.leadership_transfer = packio_get_bool (reader);
      break;
    case RAFT_PREVOTE_REPLY:
    case RAFT_VOTE_REPLY:
      msg->u.vote_reply.request_term = packio_get_u64 (reader);
      msg->u.vote_reply.granted = packio_get_bool (reader);
      break;
    case RAFT_APPEND:
      raftpack_get_append (reader, msg);
      break;
    case RAFT_APPEND_REPLY:
      raftpack_get_append_reply (reader, &msg->u.append_reply);
      break;
    case RAFT_INSTALL_SNAPSHOT:
      raftpack_get_chunk (reader, msg);
      break;
    case RAFT_INSTALL_SNAPSHOT_REPLY:
      msg->u.chunk_reply.index = packio_get_u64 (reader);
      msg->u.chunk_reply.next_offset = packio_get_u64 (reader);
      msg->u.chunk_reply.installed = packio_get_bool (reader);
      msg->u.chunk_reply.round = packio_get_u64 (reader);
      msg->u.chunk_reply.sent_us = packio_get_u64 (reader);
      break;
    case RAFT_HELLO:
      msg->u.hello.peers_digest = packio_get_u64 (reader);
      break;
    case RAFT_HELLO_REPLY:
      msg->u.hello_reply.in_group = packio_get_bool (reader);
      msg->u.hello_reply.peers_digest = packio_get_u64 (reader);
      packio_get_text (reader, msg->u.hello_reply.leader_address,
                       RAFT_ADDRESS_BYTES);
      break;
    case RAFT_SILENT_PEERS:
      raftpack_get_silent_peers (reader, &msg->u.silent_peers);
      break;
    case RAFT_LEAVE:
    case RAFT_TIMEOUT_NOW:
    case RAFT_MSG_COUNT:
      break;
    }
}

/* Unpacks one object that fills DATA and initialises READER to the field after
   the version.  UNPACKED is to be destroyed also after an error.  */
static int
raftpack_unpack (const void *data, size_t len, msgpack_unpacked *unpacked,
                 struct packio_reader *reader)
{
  size_t offset = 0;
  msgpack_unpack_return result;

  msgpack_unpacked_init (unpacked);
  if (!packscan_complete (data, len))
    return SR_EMALFORMED;
  result = msgpack_unpack_next (unpacked, data, len, &offset);
  if (result == MSGPACK_UNPACK_NOMEM_ERROR)
    return SR_ENOMEM;
  if (result != MSGPACK_UNPACK_SUCCESS || offset != len)
    return SR_EMALFORMED;
  packio_reader_init (reader, &unpacked->data);
  if (packio_get_u32 (reader, UINT32_MAX) != RAFTPACK_VERSION)
    return packio_ok (reader) ? SR_EVERSION : SR_EMALFORMED;
  return SR_OK;
}

static bool
raftpack_complete (const struct packio_reader *reader)
{
  return packio_ok (reader) && reader->next == reader->count;
}

int
raftpack_decode_msg (const void *data, size_t len, struct raft_msg **out)
{
  msgpack_unpacked unpacked;
  struct packio_reader reader;
  struct raft_msg *msg;
  int error = raftpack_unpack (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      msg = raft_msg_new (
          (enum raft_msg_kind)packio_get_u32 (&reader, RAFT_MSG_COUNT - 1));
      msg->from = packio_get_u64 (&reader);
      msg->to = packio_get_u64 (&reader);
      msg->term = packio_get_u64 (&reader);
      packio_get_text (&reader, msg->address, sizeof msg->address);
      raftpack_get_body (&reader, msg);
      if (raftpack_complete (&reader) && msg->from != 0)
        *out = msg;
      else
        {
          raft_msg_free (msg);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}

int
raftpack_decode_write (const void *data, size_t len, struct raft_write **out)
{
  msgpack_unpacked unpacked;
  struct packio_reader reader;
  struct raft_write *write;
  int error = raftpack_unpack (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      write = raft_write_new (0);
      write->hard_state.term = packio_get_u64 (&reader);
      write->hard_state.voted_for = packio_get_u64 (&reader);
      write->hard_state.commit_index = packio_get_u64 (&reader);
      write->truncate_from = packio_get_u64 (&reader);
      raftpack_get_entries (&reader, 0, write->hard_state.term,
                            &write->entries);
      if (raftpack_complete (&reader))
        *out = write;
      else
        {
          raft_write_free (write);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}

int
raftpack_decode_snapshot (const void *data, size_t len,
                          struct raft_snapshot **out)
{
  msgpack_unpacked unpacked;
  struct packio_reader reader;
  struct raft_snapshot *snapshot;
  int error = raftpack_unpack (data, len, &unpacked, &reader);

  if (error == SR_OK)
    {
      snapshot = calloc (1, sizeof *snapshot);
      INVARIANT (snapshot != NULL);
      snapshot->index = packio_get_u64 (&reader);
      snapshot->term = packio_get_u64 (&reader);
      raftpack_get_members (&reader, &snapshot->members);
      raftpack_get_data (&reader, RAFTPACK_DATA_BYTES_MAX, &snapshot->data,
                         &snapshot->len);
      if (raftpack_complete (&reader) && snapshot->index > 0)
        *out = snapshot;
      else
        {
          raft_snapshot_unref (snapshot);
          error = SR_EMALFORMED;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return error;
}
