#include "controllers/claim_code.h"

#include <string.h>

#include "core/bytes.h"
#include "core/err.h"

#define CLAIM_COMMAND_FORMAT 1u
/* Encoded size without the answer, at most.  */
#define CLAIM_COMMAND_OVERHEAD_BYTES 64u
#define CLAIM_RESULT_OVERHEAD_BYTES 8u

int
claim_command_encode (const struct claim_command *command, uint8_t **out,
                      size_t *len)
{
  struct bytes_writer writer;

  if (command->run_ms > CLAIM_RUN_MS_MAX
      || command->retention_hours > CLAIM_RETENTION_HOURS_MAX
      || command->answer_reserve_bytes > CLAIM_ANSWER_BYTES_MAX
      || command->answer_len > CLAIM_ANSWER_BYTES_MAX)
    return SR_EINVAL;
  bytes_writer_init (&writer,
                     command->answer_len + CLAIM_COMMAND_OVERHEAD_BYTES);
  bytes_put_u8 (&writer, CLAIM_COMMAND_FORMAT);
  bytes_put_u8 (&writer, (uint8_t)command->op);
  bytes_put_raw (&writer, command->key, CLAIM_KEY_BYTES);
  bytes_put_raw (&writer, command->attempt, CLAIM_ATTEMPT_BYTES);
  switch (command->op)
    {
    case CLAIM_CLAIM:
      bytes_put_u64 (&writer, command->body_hash);
      bytes_put_u32 (&writer, command->run_ms);
      bytes_put_u32 (&writer, command->retention_hours);
      bytes_put_u32 (&writer, command->keys_max);
      bytes_put_u32 (&writer, command->answer_reserve_bytes);
      break;
    case CLAIM_RELEASE:
      break;
    case CLAIM_OUTCOME:
      bytes_put_u8 (&writer, command->without_answer);
      bytes_put_blob (&writer, command->answer, command->answer_len);
      break;
    }
  return bytes_writer_finish (&writer, out, len);
}

static void
claim_decode_claim (struct bytes_reader *reader, struct claim_command *command)
{
  command->body_hash = bytes_get_u64 (reader);
  command->run_ms = bytes_get_u32 (reader);
  command->retention_hours = bytes_get_u32 (reader);
  command->keys_max = bytes_get_u32 (reader);
  command->answer_reserve_bytes = bytes_get_u32 (reader);
  if (command->run_ms > CLAIM_RUN_MS_MAX
      || command->retention_hours > CLAIM_RETENTION_HOURS_MAX
      || command->answer_reserve_bytes > CLAIM_ANSWER_BYTES_MAX)
    bytes_reader_fail (reader);
}

/* Reads a flag and an answer, which must be empty when the flag is set.  */
static void
claim_decode_answer (struct bytes_reader *reader, bool *without_answer,
                     const uint8_t **answer, size_t *answer_len)
{
  uint8_t without = bytes_get_u8 (reader);

  *answer = bytes_get_blob (reader, CLAIM_ANSWER_BYTES_MAX, answer_len);
  *without_answer = without == 1;
  if (without > 1 || (without == 1 && *answer_len > 0))
    bytes_reader_fail (reader);
}

int
claim_command_decode (const uint8_t *data, size_t len,
                      struct claim_command *command)
{
  struct bytes_reader reader;
  uint8_t op;

  memset (command, 0, sizeof *command);
  bytes_reader_init (&reader, data, len);
  if (bytes_get_u8 (&reader) != CLAIM_COMMAND_FORMAT)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  op = bytes_get_u8 (&reader);
  bytes_get_raw (&reader, command->key, CLAIM_KEY_BYTES);
  bytes_get_raw (&reader, command->attempt, CLAIM_ATTEMPT_BYTES);
  switch (op)
    {
    case CLAIM_CLAIM:
      claim_decode_claim (&reader, command);
      break;
    case CLAIM_RELEASE:
      break;
    case CLAIM_OUTCOME:
      claim_decode_answer (&reader, &command->without_answer, &command->answer,
                           &command->answer_len);
      break;
    default:
      return SR_EMALFORMED;
    }
  command->op = (enum claim_op)op;
  return bytes_reader_finish (&reader);
}

int
claim_result_encode (const struct claim_result *result, uint8_t **out,
                     size_t *len)
{
  struct bytes_writer writer;

  bytes_writer_init (&writer,
                     result->answer_len + CLAIM_RESULT_OVERHEAD_BYTES);
  bytes_put_u8 (&writer, (uint8_t)result->kind);
  bytes_put_u8 (&writer, result->without_answer);
  bytes_put_blob (&writer, result->answer, result->answer_len);
  return bytes_writer_finish (&writer, out, len);
}

int
claim_result_decode (const uint8_t *data, size_t len,
                     struct claim_result *result)
{
  struct bytes_reader reader;
  uint8_t kind;

  memset (result, 0, sizeof *result);
  bytes_reader_init (&reader, data, len);
  kind = bytes_get_u8 (&reader);
  if (kind > CLAIM_NOT_HELD)
    return SR_EMALFORMED;
  result->kind = (enum claim_result_kind)kind;
  claim_decode_answer (&reader, &result->without_answer, &result->answer,
                       &result->answer_len);
  return bytes_reader_finish (&reader);
}
