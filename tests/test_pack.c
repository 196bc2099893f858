#include <stdlib.h>
#include <string.h>

#include "controllers/quarantine.h"
#include "core/err.h"
#include "tests/suite.h"
#include "wire/pack.h"
#include "wire/record.h"

/* Makes a message of KIND with its fields set; NULL for kinds that have their
   own test.  */
static struct msg *
make_msg (enum msg_kind kind)
{
  struct msg *msg = msg_new (kind);

  msg->stream = 77;
  switch (kind)
    {
    case MSG_OPEN:
      strcpy (msg->u.open.service, "orders");
      strcpy (msg->u.open.method, "POST");
      msg->u.open.path = strdup ("/orders?size=2");
      msg_field_add (&msg->u.open.fields, "traceparent", "00-aa");
      strcpy (msg->u.open.idempotency_key, "k1");
      msg->u.open.retry_allowance = 3;
      msg->u.open.remaining_us = 1500000;
      msg->u.open.body_len = 5;
      break;
    case MSG_BODY:
      msg->u.body.end = true;
      msg->u.body.total = 5;
      msg->u.body.trailer.unused_retry_allowance = 2;
      msg->u.body.data = malloc (5);
      memcpy (msg->u.body.data, "hello", 5);
      msg->u.body.len = 5;
      break;
    case MSG_REFUSE:
      msg->u.refuse.reason = REASON_QUEUE_FULL;
      msg->u.refuse.run = REASON_NOT_RUN;
      break;
    case MSG_HEAD:
      msg->u.head.status = 200;
      msg->u.head.body_len = MSG_LENGTH_UNKNOWN;
      break;
    case MSG_RENEW:
      strcpy (msg->u.renew.record.instance, "n1");
      msg->u.renew.service_count = 1;
      msg->u.renew.services = calloc (1, MODEL_NAME_BYTES);
      strcpy (msg->u.renew.services[0], "stock");
      break;
    case MSG_RENEW_REPLY:
      member_add_item (
          &msg->u.renew_reply.items,
          &(struct member_record){ .instance = "n2", .slots = 9 });
      break;
    case MSG_RAFT:
      msg_free (msg);
      return NULL; /* covered by test_raftpack */
    default:
      break;
    }
  return msg;
}

/* Encodes MSG and decodes it; NULL when either fails.  */
static struct msg *
round_trip (const struct msg *msg)
{
  struct pack_frames frames;
  struct msg *decoded = NULL;

  if (pack_encode (msg, &frames) != SR_OK)
    return NULL;
  pack_decode (frames.header, frames.header_len, frames.payload,
               frames.payload_len, &decoded);
  pack_frames_free (&frames);
  return decoded;
}

/* Every field that is encoded must be decoded, and the reverse.  */
static void
test_round_trip (void)
{
  for (int kind = 0; kind < MSG_WIRE_COUNT; kind++)
    {
      struct msg *msg = make_msg ((enum msg_kind)kind);
      struct msg *decoded;
      struct pack_frames first;
      struct pack_frames second;

      if (msg == NULL)
        continue;
      decoded = round_trip (msg);
      CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
      CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &first), SR_OK);
      CU_ASSERT_EQUAL_FATAL (pack_encode (decoded, &second), SR_OK);
      CU_ASSERT_EQUAL_FATAL (first.header_len, second.header_len);
      CU_ASSERT_EQUAL (memcmp (first.header, second.header, first.header_len),
                       0);
      CU_ASSERT_EQUAL (first.payload_len, second.payload_len);
      pack_frames_free (&first);
      pack_frames_free (&second);
      msg_free (decoded);
      msg_free (msg);
    }
}

/* The decoder must not read past the end of a truncated header, and must
   reject it.  */
static void
test_truncated_header (void)
{
  for (int kind = 0; kind < MSG_WIRE_COUNT; kind++)
    {
      struct msg *msg = make_msg ((enum msg_kind)kind);
      struct pack_frames frames;

      if (msg == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
      for (size_t len = 0; len < frames.header_len; len++)
        {
          char *copy = malloc (len + 1);
          struct msg *decoded = NULL;

          memcpy (copy, frames.header, len);
          CU_ASSERT_NOT_EQUAL (pack_decode (copy, len, frames.payload,
                                            frames.payload_len, &decoded),
                               SR_OK);
          CU_ASSERT_PTR_NULL (decoded);
          free (copy);
        }
      pack_frames_free (&frames);
      msg_free (msg);
    }
}

/* A message of another version must be rejected, not misread.  */
static void
test_other_version (void)
{
  struct msg *msg = msg_new (MSG_PING);
  struct pack_frames frames;
  struct msg *decoded = NULL;

  CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
  frames.header[1] = PACK_VERSION + 1;
  CU_ASSERT_EQUAL (
      pack_decode (frames.header, frames.header_len, NULL, 0, &decoded),
      SR_EVERSION);
  CU_ASSERT_PTR_NULL (decoded);
  pack_frames_free (&frames);
  msg_free (msg);
}

/* A body part larger than the flow control window allows must be rejected.  */
static void
test_body_too_large (void)
{
  struct msg *msg = msg_new (MSG_BODY);
  struct pack_frames frames;
  struct msg *decoded = NULL;

  msg->u.body.len = MSG_BODY_BYTES_MAX + 1;
  msg->u.body.data = calloc (1, msg->u.body.len);
  CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
  CU_ASSERT_EQUAL (pack_decode (frames.header, frames.header_len,
                                frames.payload, frames.payload_len, &decoded),
                   SR_EMALFORMED);
  pack_frames_free (&frames);
  msg_free (msg);
}

/* A recorded response must be decoded as it was encoded, so that a repeated
   request gets the same answer.  */
static void
test_recorded_response (void)
{
  struct record_answer answer = { .status = 201, .body_recorded = true };
  struct record_answer decoded;
  uint8_t *data = NULL;
  size_t len = 0;

  list_init (&answer.fields);
  msg_field_add (&answer.fields, "content-type", "text/plain");
  buf_append (&answer.body, "stored", 6);
  CU_ASSERT_EQUAL_FATAL (record_encode (&answer, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (record_decode (data, len, &decoded), SR_OK);
  CU_ASSERT_EQUAL (decoded.status, 201);
  CU_ASSERT_EQUAL (decoded.body.len, 6);
  CU_ASSERT_STRING_EQUAL (msg_field_get (&decoded.fields, "content-type"),
                          "text/plain");
  record_free (&decoded);
  CU_ASSERT_EQUAL (record_decode (data, len - 1, &decoded), SR_EMALFORMED);
  free (data);
  record_free (&answer);
}

/* Guards against a status that is none, out of the head of another node, in
   the answer to a caller.  */
static void
test_status_out_of_range (void)
{
  static const struct
  {
    int status;
    bool valid;
  } rows[] = { { 0, false },  { 1, false },   { 20, false },
               { 99, false }, { 600, false }, { 999, false },
               { 100, true }, { 204, true },  { 599, true } };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct msg *msg = make_msg (MSG_HEAD);
      struct msg *decoded;

      msg->u.head.status = rows[i].status;
      decoded = round_trip (msg);
      SUITE_SEEDED ((decoded != NULL) == rows[i].valid, i);
      if (decoded != NULL)
        msg_free (decoded);
      msg_free (msg);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "encoded messages decode to the same", test_round_trip },
          { "truncated header is rejected", test_truncated_header },
          { "other version is rejected", test_other_version },
          { "body part above the limit is rejected", test_body_too_large },
          { "recorded response", test_recorded_response },
          { "status out of range", test_status_out_of_range },
          { NULL, NULL } };

  return suite_run ("pack", tests);
}
