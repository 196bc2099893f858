#include "controllers/clm_code.h"

#include <string.h>

#include "core/bytes.h"
#include "core/err.h"

#define CLM_COMMAND_FORMAT 1u
/* Encoded bytes besides the answer.  */
#define CLM_COMMAND_OVERHEAD 64u
#define CLM_RESULT_OVERHEAD 8u

int
clm_encode (const struct clm_command *command, uint8_t **out, size_t *len)
{
  struct byt_writer writer;

  if (command->run_ms > CLM_RUN_MS_MAX
      || command->keep_hours > CLM_KEEP_HOURS_MAX
      || command->answer_reserve > CLM_ANSWER_BYTES_MAX
      || command->answer_len > CLM_ANSWER_BYTES_MAX)
    return SR_EINVAL;
  byt_write_begin (&writer, command->answer_len + CLM_COMMAND_OVERHEAD);
  byt_put_u8 (&writer, CLM_COMMAND_FORMAT);
  byt_put_u8 (&writer, (uint8_t)command->op);
  byt_put_raw (&writer, command->key, CLM_KEY_BYTES);
  byt_put_raw (&writer, command->attempt, CLM_ATTEMPT_BYTES);
  switch (command->op)
    {
    case CLM_CLAIM:
      byt_put_u64 (&writer, command->body_hash);
      byt_put_u32 (&writer, command->run_ms);
      byt_put_u32 (&writer, command->keep_hours);
      byt_put_u32 (&writer, command->keys_max);
      byt_put_u32 (&writer, command->answer_reserve);
      break;
    case CLM_RELEASE:
      break;
    case CLM_OUTCOME:
      byt_put_u8 (&writer, command->without_answer);
      byt_put_blob (&writer, command->answer, command->answer_len);
      break;
    }
  return byt_write_end (&writer, out, len);
}

static void
clm_decode_claim (struct byt_reader *reader, struct clm_command *command)
{
  command->body_hash = byt_get_u64 (reader);
  command->run_ms = byt_get_u32 (reader);
  command->keep_hours = byt_get_u32 (reader);
  command->keys_max = byt_get_u32 (reader);
  command->answer_reserve = byt_get_u32 (reader);
  if (command->run_ms > CLM_RUN_MS_MAX
      || command->keep_hours > CLM_KEEP_HOURS_MAX
      || command->answer_reserve > CLM_ANSWER_BYTES_MAX)
    byt_reject (reader);
}

/* Reads a truth value and an answer, which is empty when the value is true. */
static void
clm_decode_answer (struct byt_reader *reader, bool *without_answer,
                   const uint8_t **answer, size_t *answer_len)
{
  uint8_t without = byt_get_u8 (reader);

  *answer = byt_get_blob (reader, CLM_ANSWER_BYTES_MAX, answer_len);
  *without_answer = without == 1;
  if (without > 1 || (without == 1 && *answer_len > 0))
    byt_reject (reader);
}

int
clm_decode (const uint8_t *data, size_t len, struct clm_command *command)
{
  struct byt_reader reader;
  uint8_t op;

  memset (command, 0, sizeof *command);
  byt_read_begin (&reader, data, len);
  if (byt_get_u8 (&reader) != CLM_COMMAND_FORMAT)
    return len == 0 ? SR_EMALFORMED : SR_EVERSION;
  op = byt_get_u8 (&reader);
  byt_get_raw (&reader, command->key, CLM_KEY_BYTES);
  byt_get_raw (&reader, command->attempt, CLM_ATTEMPT_BYTES);
  switch (op)
    {
    case CLM_CLAIM:
      clm_decode_claim (&reader, command);
      break;
    case CLM_RELEASE:
      break;
    case CLM_OUTCOME:
      clm_decode_answer (&reader, &command->without_answer, &command->answer,
                         &command->answer_len);
      break;
    default:
      return SR_EMALFORMED;
    }
  command->op = (enum clm_op)op;
  return byt_read_end (&reader);
}

int
clm_result_encode (const struct clm_result *result, uint8_t **out, size_t *len)
{
  struct byt_writer writer;

  byt_write_begin (&writer, result->answer_len + CLM_RESULT_OVERHEAD);
  byt_put_u8 (&writer, (uint8_t)result->kind);
  byt_put_u8 (&writer, result->without_answer);
  byt_put_blob (&writer, result->answer, result->answer_len);
  return byt_write_end (&writer, out, len);
}

int
clm_result_decode (const uint8_t *data, size_t len, struct clm_result *result)
{
  struct byt_reader reader;
  uint8_t kind;

  memset (result, 0, sizeof *result);
  byt_read_begin (&reader, data, len);
  kind = byt_get_u8 (&reader);
  if (kind > CLM_NOT_HELD)
    return SR_EMALFORMED;
  result->kind = (enum clm_result_kind)kind;
  clm_decode_answer (&reader, &result->without_answer, &result->answer,
                     &result->answer_len);
  return byt_read_end (&reader);
}
