#include <stdlib.h>
#include <string.h>

#include "controllers/quarantine.h"
#include "core/err.h"
#include "tests/suite.h"
#include "wire/pack.h"
#include "wire/record.h"

/* A message of each kind with every field set.  */
static struct msg *
sample (enum msg_kind kind)
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
      return NULL; /* covered by test_reppack */
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
  struct msg *out = NULL;

  if (pack_encode (msg, &frames) != SR_OK)
    return NULL;
  pack_decode (frames.header, frames.header_len, frames.payload,
               frames.payload_len, &out);
  pack_frames_free (&frames);
  return out;
}

/* Guards against a field that is written and not read, or the reverse.  */
static void
test_round_trip (void)
{
  for (int kind = 0; kind < MSG_WIRE_COUNT; kind++)
    {
      struct msg *msg = sample ((enum msg_kind)kind);
      struct msg *out;
      struct pack_frames a;
      struct pack_frames b;

      if (msg == NULL)
        continue;
      out = round_trip (msg);
      CU_ASSERT_PTR_NOT_NULL_FATAL (out);
      CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &a), SR_OK);
      CU_ASSERT_EQUAL_FATAL (pack_encode (out, &b), SR_OK);
      CU_ASSERT_EQUAL_FATAL (a.header_len, b.header_len);
      CU_ASSERT_EQUAL (memcmp (a.header, b.header, a.header_len), 0);
      CU_ASSERT_EQUAL (a.payload_len, b.payload_len);
      pack_frames_free (&a);
      pack_frames_free (&b);
      msg_free (out);
      msg_free (msg);
    }
}

/* Guards against reading past the end of a truncated message.  */
static void
test_truncated (void)
{
  for (int kind = 0; kind < MSG_WIRE_COUNT; kind++)
    {
      struct msg *msg = sample ((enum msg_kind)kind);
      struct pack_frames frames;

      if (msg == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
      for (size_t len = 0; len < frames.header_len; len++)
        {
          char *copy = malloc (len + 1);
          struct msg *out = NULL;

          memcpy (copy, frames.header, len);
          CU_ASSERT_NOT_EQUAL (pack_decode (copy, len, frames.payload,
                                            frames.payload_len, &out),
                               SR_OK);
          CU_ASSERT_PTR_NULL (out);
          free (copy);
        }
      pack_frames_free (&frames);
      msg_free (msg);
    }
}

/* Guards against misreading a message of another version.  */
static void
test_other_version (void)
{
  struct msg *msg = msg_new (MSG_PING);
  struct pack_frames frames;
  struct msg *out = NULL;

  CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
  frames.header[1] = PACK_VERSION + 1;
  CU_ASSERT_EQUAL (
      pack_decode (frames.header, frames.header_len, NULL, 0, &out),
      SR_EVERSION);
  CU_ASSERT_PTR_NULL (out);
  pack_frames_free (&frames);
  msg_free (msg);
}

/* Guards against a part that is larger than the flow control window allows. */
static void
test_body_too_large (void)
{
  struct msg *msg = msg_new (MSG_BODY);
  struct pack_frames frames;
  struct msg *out = NULL;

  msg->u.body.len = MSG_BODY_BYTES_MAX + 1;
  msg->u.body.data = calloc (1, msg->u.body.len);
  CU_ASSERT_EQUAL_FATAL (pack_encode (msg, &frames), SR_OK);
  CU_ASSERT_EQUAL (pack_decode (frames.header, frames.header_len,
                                frames.payload, frames.payload_len, &out),
                   SR_EMALFORMED);
  pack_frames_free (&frames);
  msg_free (msg);
}

/* Guards against a recorded answer that differs from the one given.  */
static void
test_record (void)
{
  struct record_answer answer = { .status = 201, .body_recorded = true };
  struct record_answer read;
  uint8_t *data = NULL;
  size_t len = 0;

  list_init (&answer.fields);
  msg_field_add (&answer.fields, "content-type", "text/plain");
  buf_append (&answer.body, "stored", 6);
  CU_ASSERT_EQUAL_FATAL (record_encode (&answer, &data, &len), SR_OK);
  CU_ASSERT_EQUAL_FATAL (record_decode (data, len, &read), SR_OK);
  CU_ASSERT_EQUAL (read.status, 201);
  CU_ASSERT_EQUAL (read.body.len, 6);
  CU_ASSERT_STRING_EQUAL (msg_field_get (&read.fields, "content-type"),
                          "text/plain");
  record_free (&read);
  CU_ASSERT_EQUAL (record_decode (data, len - 1, &read), SR_EMALFORMED);
  free (data);
  record_free (&answer);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "round trip", test_round_trip },
          { "truncated", test_truncated },
          { "other version", test_other_version },
          { "body too large", test_body_too_large },
          { "record", test_record },
          { NULL, NULL } };

  return suite_run ("pack", tests);
}
