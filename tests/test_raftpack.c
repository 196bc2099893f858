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

/* Makes a message of KIND with different values in its fields.  */
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
    case RAFT_SILENT_PEERS:
      msg->u.silent_peers = (struct raft_silent_peers){
        .count = 2, .list = { { 21, 1000000 }, { 22, UINT64_MAX } }
      };
      break;
    default:
      break;
    }
  return msg;
}

/* No field may be lost, swapped or added by the encoding.  */
static void
test_msg_round_trip (void)
{
  for (int kind = 0; kind < RAFT_MSG_COUNT; kind++)
    {
      struct raft_msg *msg = make_msg ((enum raft_msg_kind)kind);
      struct raft_msg *decoded = NULL;
      uint8_t *first = NULL;
      uint8_t *second = NULL;
      size_t first_len;
      size_t second_len;

      CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &first, &first_len), SR_OK);
      CU_ASSERT_EQUAL_FATAL (raftpack_decode_msg (first, first_len, &decoded),
                             SR_OK);
      CU_ASSERT_EQUAL (decoded->kind, kind);
      CU_ASSERT_EQUAL (decoded->term, 9);
      CU_ASSERT_STRING_EQUAL (decoded->address, "127.0.0.1:7000");
      CU_ASSERT_EQUAL (raftpack_encode_msg (decoded, &second, &second_len),
                       SR_OK);
      CU_ASSERT_EQUAL (first_len, second_len);
      CU_ASSERT_EQUAL (memcmp (first, second, first_len), 0);
      free (first);
      free (second);
      raft_msg_free (msg);
      raft_msg_free (decoded);
    }
}

/* On truncated or changed bytes, the decoder must neither read past the end
   nor leak what it has built; the sanitizers report both.  */
static void
test_corrupt_messages (void)
{
  struct rng rng;

  rng_seed (&rng, 5);
  for (int kind = 0; kind < RAFT_MSG_COUNT; kind++)
    {
      struct raft_msg *msg = make_msg ((enum raft_msg_kind)kind);
      uint8_t *data = NULL;
      size_t len;

      CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &data, &len), SR_OK);
      for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
        {
          struct raft_msg *decoded = NULL;
          uint8_t *copy = malloc (truncated_len + 1);

          memcpy (copy, data, truncated_len);
          CU_ASSERT_NOT_EQUAL (
              raftpack_decode_msg (copy, truncated_len, &decoded), SR_OK);
          free (copy);
        }
      for (int i = 0; i < 2000; i++)
        {
          struct raft_msg *decoded = NULL;
          size_t offset = rng_below (&rng, (uint32_t)len);
          uint8_t original = data[offset];

          data[offset] = (uint8_t)rng_below (&rng, 256);
          if (raftpack_decode_msg (data, len, &decoded) == SR_OK)
            raft_msg_free (decoded);
          data[offset] = original;
        }
      free (data);
      raft_msg_free (msg);
    }
}

/* Encodes MSG, decodes the result and frees both.  Returns the error.  */
static int
round_trip (struct raft_msg *msg)
{
  struct raft_msg *decoded = NULL;
  uint8_t *data = NULL;
  size_t len;
  int error = raftpack_encode_msg (msg, &data, &len);

  if (error == SR_OK)
    error = raftpack_decode_msg (data, len, &decoded);
  raft_msg_free (decoded);
  raft_msg_free (msg);
  free (data);
  return error;
}

/* Well-encoded messages that violate an invariant of the log must be rejected:
   gaps between entries, decreasing terms, entries with a higher term than the
   sender's, snapshot chunks beyond the end, no sender.  */
static void
test_inconsistent_messages (void)
{
  struct raft_msg *msg = make_msg (RAFT_APPEND);
  struct raft_entry *first = list_entry (list_first (&msg->u.append.entries),
                                         struct raft_entry, node);

  first->index++;
  CU_ASSERT_EQUAL (round_trip (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_APPEND);
  msg->term = 8;
  CU_ASSERT_EQUAL (round_trip (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_APPEND);
  list_entry (list_last (&msg->u.append.entries), struct raft_entry, node)
      ->term
      = 8;
  CU_ASSERT_EQUAL (round_trip (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_INSTALL_SNAPSHOT);
  msg->u.chunk.offset = 7;
  CU_ASSERT_EQUAL (round_trip (msg), SR_EMALFORMED);
  msg = make_msg (RAFT_VOTE);
  msg->from = 0;
  CU_ASSERT_EQUAL (round_trip (msg), SR_EMALFORMED);
}

/* A few bytes that declare millions of elements must not make the decoder
   allocate memory for them.  */
static void
test_declared_counts (void)
{
  static const uint8_t array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01 };
  static const uint8_t map[] = { 0xdf, 0x7f, 0xff, 0xff, 0xff, 0x01 };
  static const uint8_t nested[] = { 0x92, 0x01, 0xdc, 0xff, 0xff, 0x01 };
  static const uint8_t bytes[] = { 0x92, 0x01, 0xc6, 0xff, 0xff, 0xff, 0xff };
  struct raft_msg *decoded = NULL;

  CU_ASSERT_EQUAL (raftpack_decode_msg (array, sizeof array, &decoded),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (map, sizeof map, &decoded),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (nested, sizeof nested, &decoded),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (raftpack_decode_msg (bytes, sizeof bytes, &decoded),
                   SR_EMALFORMED);
}

/* A newer format must be rejected, not misread.  */
static void
test_version (void)
{
  struct raft_msg *msg = make_msg (RAFT_VOTE);
  struct raft_msg *decoded = NULL;
  uint8_t *data = NULL;
  size_t len;

  CU_ASSERT_EQUAL (raftpack_encode_msg (msg, &data, &len), SR_OK);
  data[1] = RAFTPACK_VERSION + 1;
  CU_ASSERT_EQUAL (raftpack_decode_msg (data, len, &decoded), SR_EVERSION);
  free (data);
  raft_msg_free (msg);
}

/* Records must be read from the files of the data directory as they were
   written.  */
static void
test_record_round_trip (void)
{
  struct raft_write *write = raft_write_new (1);
  struct raft_snapshot snapshot = { .index = 5, .term = 2, .len = 3 };
  struct raft_snapshot *decoded_snapshot = NULL;
  struct raft_write *decoded = NULL;
  uint8_t *data = NULL;
  size_t len;

  write->hard_state = (struct raft_hard_state){ .term = 3,
                                                .voted_for = 4,
                                                .commit_index = 5 };
  write->truncate_from = 6;
  list_push_tail (&write->entries,
                  &make_entry (3, 6, RAFT_ENTRY_MEMBERSHIP)->node);
  CU_ASSERT_EQUAL (raftpack_encode_write (write, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (raftpack_decode_write (data, len, &decoded), SR_OK);
  CU_ASSERT_EQUAL (decoded->hard_state.voted_for, 4);
  CU_ASSERT_EQUAL (decoded->truncate_from, 6);
  CU_ASSERT_EQUAL (
      list_entry (list_first (&decoded->entries), struct raft_entry, node)
          ->members->list[1]
          .id,
      UINT64_MAX);
  free (data);
  raft_write_free (write);
  raft_write_free (decoded);
  snapshot.data = (uint8_t *)strdup ("xy");
  CU_ASSERT_EQUAL (raftpack_encode_snapshot (&snapshot, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (
      raftpack_decode_snapshot (data, len, &decoded_snapshot), SR_OK);
  CU_ASSERT_EQUAL (decoded_snapshot->len, 3);
  CU_ASSERT_STRING_EQUAL ((char *)decoded_snapshot->data, "xy");
  free (data);
  free (snapshot.data);
  raft_snapshot_unref (decoded_snapshot);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "encoded messages decode to the same", test_msg_round_trip },
          { "truncated and changed messages", test_corrupt_messages },
          { "messages that violate the log", test_inconsistent_messages },
          { "declared counts without content", test_declared_counts },
          { "newer version is rejected", test_version },
          { "encoded records decode to the same", test_record_round_trip },
          { NULL, NULL } };

  return suite_run ("raftpack", tests);
}
