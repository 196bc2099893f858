#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/rng.h"
#include "tests/suite.h"
#include "wire/raftpack.h"

static struct raft_entry *
make_entry (uint64_t term, uint64_t index, enum raft_entry_kind kind)
{
  struct raft_entry *entry = raft_entry_new (kind);

  entry->term = term;
  entry->index = index;
  entry->timestamp_ms = 1000 + index;
  if (kind == RAFT_ENTRY_COMMAND)
    {
      entry->len = 5;
      entry->data = (uint8_t *)strdup ("hello");
    }
  if (kind == RAFT_ENTRY_MEMBERSHIP)
    {
      entry->members = calloc (1, sizeof *entry->members);
      entry->members->count = 2;
      entry->members->list[0].id = 7;
      entry->members->list[1].id = UINT64_MAX;
      entry->members->list[1].learner = true;
      strcpy (entry->members->list[1].address, "127.0.0.1:7001");
    }
  return entry;
}

/* A message of KIND with all fields set to different values.  */
static struct raft_msg *
make_msg (enum raft_msg_kind kind)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = 11;
  msg->to = 12;
  msg->term = 9;
  strcpy (msg->address, "127.0.0.1:7000");
  switch (kind)
    {
    case RAFT_APPEND:
      msg->u.append.prev_index = 4;
      msg->u.append.prev_term = 8;
      msg->u.append.leader_commit = 3;
      msg->u.append.round = 77;
      msg->u.append.sent_us = 123456789;
      for (uint64_t i = 0; i < 3; i++)
        list_push_tail (
            &msg->u.append.entries,
            &make_entry (9, 5 + i, (enum raft_entry_kind) (i % 3))->node);
      break;
    case RAFT_INSTALL_SNAPSHOT:
      msg->u.chunk = (struct raft_snapshot_chunk){
        .index = 5, .term = 9, .total = 10, .offset = 6, .len = 4
      };
      msg->u.chunk.data = (uint8_t *)strdup ("abc");
      break;
    case RAFT_APPEND_REPLY:
      msg->u.append_reply = (struct raft_append_reply){ .match_index = 1,
                                                        .prev_index = 2,
                                                        .next_index = 3,
                                                        .round = 4,
                                                        .sent_us = 5 };
      break;
    default:
      break;
    }
  return msg;
}

/* Guards against fields that are lost, swapped or added by the encoding.  */
static void
test_messages_survive (void)
{
  for (int kind = 0; kind < RAFT_MSG_COUNT; kind++)
    {
      struct raft_msg *msg = make_msg ((enum raft_msg_kind)kind);
      struct raft_msg *back = NULL;
      uint8_t *first = NULL;
      uint8_t *second = NULL;
      size_t first_len;
      size_t second_len;

      CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &first, &first_len), SR_OK);
      CU_ASSERT_EQUAL_FATAL (raftpack_decode_msg (first, first_len, &back),
                             SR_OK);
      CU_ASSERT_EQUAL (back->kind, kind);
      CU_ASSERT_EQUAL (back->term, 9);
      CU_ASSERT_STRING_EQUAL (back->address, "127.0.0.1:7000");
      CU_ASSERT_EQUAL (raftpack_encode_msg (back, &second, &second_len),
                       SR_OK);
      CU_ASSERT_EQUAL (first_len, second_len);
      CU_ASSERT_EQUAL (memcmp (first, second, first_len), 0);
      free (first);
      free (second);
      raft_msg_free (msg);
      raft_msg_free (back);
    }
}

/* Guards against a decoder that reads past the end of truncated or changed
   bytes, or that leaks what it had built (found by the sanitizers).  */
static void
test_damaged_messages (void)
{
  struct rng rng;

  rng_seed (&rng, 5);
  for (int kind = 0; kind < RAFT_MSG_COUNT; kind++)
    {
      struct raft_msg *msg = make_msg ((enum raft_msg_kind)kind);
      uint8_t *data = NULL;
      size_t len;

      CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &data, &len), SR_OK);
      for (size_t cut = 0; cut < len; cut++)
        {
          struct raft_msg *back = NULL;
          uint8_t *part = malloc (cut + 1);

          memcpy (part, data, cut);
          CU_ASSERT_NOT_EQUAL (raftpack_decode_msg (part, cut, &back), SR_OK);
          free (part);
        }
      for (int i = 0; i < 2000; i++)
        {
          struct raft_msg *back = NULL;
          size_t at = rng_below (&rng, (uint32_t)len);
          uint8_t old = data[at];

          data[at] = (uint8_t)rng_below (&rng, 256);
          if (raftpack_decode_msg (data, len, &back) == SR_OK)
            raft_msg_free (back);
          data[at] = old;
        }
      free (data);
      raft_msg_free (msg);
    }
}

/* Decodes MSG after encoding and frees it.  */
static int
decode_again (struct raft_msg *msg)
{
  struct raft_msg *back = NULL;
  uint8_t *data = NULL;
  size_t len;
  int error = raftpack_encode_msg (msg, &data, &len);

  if (error == SR_OK)
    error = raftpack_decode_msg (data, len, &back);
  raft_msg_free (back);
  raft_msg_free (msg);
  free (data);
  return error;
}

/* Guards against well-encoded messages that would break an invariant of the
   log: gaps, falling terms, terms above the sender's, chunks past the end.  */
static void
test_inconsistent_messages (void)
{
  struct raft_msg *msg = make_msg (RAFT_APPEND);
  struct raft_entry *first = list_entry (list_first (&msg->u.append.entries),
                                         struct raft_entry, node);

  first->index++;
  CU_ASSERT_EQUAL (decode_again (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_APPEND);
  msg->term = 8;
  CU_ASSERT_EQUAL (decode_again (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_APPEND);
  list_entry (list_last (&msg->u.append.entries), struct raft_entry, node)
      ->term
      = 8;
  CU_ASSERT_EQUAL (decode_again (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_INSTALL_SNAPSHOT);
  msg->u.chunk.offset = 7;
  CU_ASSERT_EQUAL (decode_again (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_VOTE);
  msg->from = 0;
  CU_ASSERT_EQUAL (decode_again (msg), SR_EMALFORMED);
}

/* Guards against a few bytes that announce millions of elements and make the
   decoder reserve memory for them.  */
static void
test_announced_counts (void)
{
  static const uint8_t array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01 };
  static const uint8_t map[] = { 0xdf, 0x7f, 0xff, 0xff, 0xff, 0x01 };
  static const uint8_t nested[] = { 0x92, 0x01, 0xdc, 0xff, 0xff, 0x01 };
  static const uint8_t bytes[] = { 0x92, 0x01, 0xc6, 0xff, 0xff, 0xff, 0xff };
  struct raft_msg *out = NULL;

  CU_ASSERT_EQUAL (raftpack_decode_msg (array, sizeof array, &out),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (map, sizeof map, &out), SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (nested, sizeof nested, &out),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (bytes, sizeof bytes, &out),
                   SR_EMALFORMED);
}

/* Guards against a newer format that is read as if it were this one.  */
static void
test_version (void)
{
  struct raft_msg *msg = make_msg (RAFT_VOTE);
  struct raft_msg *back = NULL;
  uint8_t *data = NULL;
  size_t len;

  CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &data, &len), SR_OK);
  data[1] = RAFTPACK_VERSION + 1;
  CU_ASSERT_EQUAL (raftpack_decode_msg (data, len, &back), SR_EVERSION);
  free (data);
  raft_msg_free (msg);
}

/* Guards against records that come back different from the files.  */
static void
test_records_survive (void)
{
  struct wal_write *write = wal_write_new (1);
  struct raft_snapshot snapshot = { .index = 5, .term = 2, .len = 3 };
  struct raft_snapshot *snapshot_back = NULL;
  struct wal_write *back = NULL;
  uint8_t *data = NULL;
  size_t len;

  write->hard_state = (struct raft_hard_state){ .term = 3,
                                                .voted_for = 4,
                                                .commit_index = 5 };
  write->truncate_from = 6;
  list_push_tail (&write->entries,
                  &make_entry (3, 6, RAFT_ENTRY_MEMBERSHIP)->node);
  CU_ASSERT_EQUAL (raftpack_encode_write (write, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (raftpack_decode_write (data, len, &back), SR_OK);
  CU_ASSERT_EQUAL (back->hard_state.voted_for, 4);
  CU_ASSERT_EQUAL (back->truncate_from, 6);
  CU_ASSERT_EQUAL (
      list_entry (list_first (&back->entries), struct raft_entry, node)
          ->members->list[1]
          .id,
      UINT64_MAX);
  free (data);
  wal_write_free (write);
  wal_write_free (back);
  snapshot.data = (uint8_t *)strdup ("xy");
  CU_ASSERT_EQUAL (raftpack_encode_snapshot (&snapshot, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (raftpack_decode_snapshot (data, len, &snapshot_back),
                         SR_OK);
  CU_ASSERT_EQUAL (snapshot_back->len, 3);
  CU_ASSERT_STRING_EQUAL ((char *)snapshot_back->data, "xy");
  free (data);
  free (snapshot.data);
  raft_snapshot_unref (snapshot_back);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "messages survive", test_messages_survive },
          { "damaged messages", test_damaged_messages },
          { "inconsistent messages", test_inconsistent_messages },
          { "announced counts", test_announced_counts },
          { "version", test_version },
          { "records survive", test_records_survive },
          { NULL, NULL } };

  return suite_run ("reppack", tests);
}
