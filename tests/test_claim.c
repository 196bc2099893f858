#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controllers/claim.h"
#include "core/clk.h"
#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define HOUR_MS (60u * 60 * 1000)
#define RETENTION_MS ((uint64_t)2 * HOUR_MS)

static struct claim *
new_claim (uint32_t keys_max, uint64_t bytes_max)
{
  return claim_new (&(struct claim_opts){ .retention_ms = RETENTION_MS,
                                          .keys_max = keys_max,
                                          .bytes_max = bytes_max });
}

/* Makes a command on key number KEY by attempt number ATTEMPT.  */
static struct claim_command
make_command (enum claim_op op, uint32_t key, uint32_t attempt)
{
  struct claim_command command = { .op = op, .run_ms = 1000 };

  memcpy (command.key, &key, sizeof key);
  memcpy (command.attempt, &attempt, sizeof attempt);
  return command;
}

/* Applies COMMAND at the time NOW, in milliseconds.  The result is encoded and
   decoded again; its answer is valid until the next call.  */
static struct claim_result
apply (struct claim *claim, uint64_t now, const struct claim_command *command)
{
  static uint8_t *encoded;
  struct claim_result result = { 0 };
  uint8_t *data;
  size_t len;

  CU_ASSERT_EQUAL_FATAL (claim_command_encode (command, &data, &len), SR_OK);
  CU_ASSERT_EQUAL (claim_apply (claim, now, data, len, &result), SR_OK);
  free (data);
  free (encoded);
  CU_ASSERT_EQUAL (claim_result_encode (&result, &encoded, &len), SR_OK);
  CU_ASSERT_EQUAL (claim_result_decode (encoded, len - 1, &result),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (claim_result_decode (encoded, len, &result), SR_OK);
  return result;
}

static enum claim_result_kind
apply_op (struct claim *claim, uint64_t now, enum claim_op op, uint32_t key,
          uint32_t attempt)
{
  struct claim_command command = make_command (op, key, attempt);

  command.answer = (const uint8_t *)"answer";
  command.answer_len = 6;
  return apply (claim, now, &command).kind;
}

/* A full store must refuse new claims.  It must not drop keys before their
   retention time has passed, or recorded answers, to make room.  */
static void
test_full (void)
{
  struct claim *claim = new_claim (3, 10);
  struct claim_command command = make_command (CLAIM_CLAIM, 1, 1);
  struct claim_result result;

  command.answer_reserve_bytes = 6;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_GRANTED);
  command = make_command (CLAIM_CLAIM, 2, 1);
  command.answer_reserve_bytes = 5;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_FULL);
  command.answer_reserve_bytes = 3;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_GRANTED);
  /* Key 1 has reserved six of the ten bytes, so that five bytes do not
     fit.  */
  command = make_command (CLAIM_OUTCOME, 2, 1);
  command.answer = (const uint8_t *)"12345";
  command.answer_len = 5;
  result = apply (claim, 0, &command);
  CU_ASSERT (result.kind == CLAIM_RECORDED && result.without_answer);
  command = make_command (CLAIM_CLAIM, 2, 2);
  result = apply (claim, 0, &command);
  CU_ASSERT (result.kind == CLAIM_DONE && result.without_answer);
  CU_ASSERT_EQUAL (apply_op (claim, 0, CLAIM_OUTCOME, 1, 1), CLAIM_RECORDED);
  CU_ASSERT_EQUAL (claim_bytes_used (claim), 6);
  CU_ASSERT_EQUAL (apply_op (claim, 0, CLAIM_CLAIM, 3, 1), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (apply_op (claim, 0, CLAIM_CLAIM, 4, 1), CLAIM_FULL);
  CU_ASSERT_EQUAL (apply_op (claim, RETENTION_MS - 1, CLAIM_CLAIM, 4, 1),
                   CLAIM_FULL);
  CU_ASSERT_EQUAL (apply_op (claim, RETENTION_MS, CLAIM_CLAIM, 4, 1),
                   CLAIM_GRANTED);
  CU_ASSERT_EQUAL (claim_key_count (claim), 1);
  claim_free (claim);
}

/* The limit on keys from the configuration must take effect, up to the limit
   of the store.  When it is lowered, no key may be dropped.  */
static void
test_keys_max (void)
{
  struct claim *claim = new_claim (5, 1000);
  struct claim_command command;

  for (uint32_t key = 1; key <= 3; key++)
    {
      command = make_command (CLAIM_CLAIM, key, 1);
      command.keys_max = 3;
      CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_GRANTED);
    }
  command = make_command (CLAIM_CLAIM, 4, 1);
  command.keys_max = 3;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_FULL);
  command.keys_max = 2;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_FULL);
  command = make_command (CLAIM_CLAIM, 3, 2);
  command.keys_max = 2;
  CU_ASSERT_EQUAL (apply (claim, 0, &command).kind, CLAIM_IN_PROGRESS);
  CU_ASSERT_EQUAL (claim_key_count (claim), 3);
  for (uint32_t key = 4; key <= 6; key++)
    {
      command = make_command (CLAIM_CLAIM, key, 1);
      command.keys_max = 100;
      CU_ASSERT_EQUAL (apply (claim, 0, &command).kind,
                       key < 6 ? CLAIM_GRANTED : CLAIM_FULL);
    }
  claim_free (claim);
}

/* Truncated commands and snapshots must be rejected and must leave the state
   unchanged.  */
static void
test_truncated_input (void)
{
  struct claim *claim = new_claim (10, 1000);
  struct claim_command command = make_command (CLAIM_OUTCOME, 1, 1);
  struct claim_result result;
  uint8_t *data;
  size_t len;

  command.answer = (const uint8_t *)"answer";
  command.answer_len = 6;
  for (int op = CLAIM_CLAIM; op <= CLAIM_OUTCOME; op++)
    {
      command.op = (enum claim_op)op;
      CU_ASSERT_EQUAL (claim_command_encode (&command, &data, &len), SR_OK);
      for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
        CU_ASSERT_EQUAL (claim_apply (claim, 1, data, truncated_len, &result),
                         SR_EMALFORMED);
      free (data);
    }
  CU_ASSERT_EQUAL (claim_key_count (claim), 0);
  apply_op (claim, 1, CLAIM_CLAIM, 1, 1);
  apply_op (claim, 1, CLAIM_OUTCOME, 1, 1);
  apply_op (claim, 1, CLAIM_CLAIM, 2, 1);
  CU_ASSERT_EQUAL (claim_snapshot (claim, &data, &len), SR_OK);
  for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
    CU_ASSERT_EQUAL (claim_restore (claim, data, truncated_len),
                     SR_EMALFORMED);
  CU_ASSERT_EQUAL (claim_key_count (claim), 2);
  free (data);
  claim_free (claim);
}

/* The reference model: an array of keys, searched linearly.  */
enum
{
  KEYS = 24,
  KEYS_MAX = 20,
  BYTES_MAX = 200,
  STEPS = 3000
};

struct model_key
{
  bool used;
  bool done;
  bool without_answer;
  uint32_t attempt;
  uint64_t body_hash;
  uint64_t claimed_ms;
  uint64_t run_ms;
  uint64_t retention_ms;
  uint32_t bytes;           /* recorded or reserved */
  uint32_t granted_attempt; /* last attempt that was granted the key; 0 for
                               none since the last release */
};

struct model
{
  struct model_key keys[KEYS];
  uint64_t now_ms;
};

static void
model_expire (struct model *model, uint64_t stamp_ms)
{
  model->now_ms = stamp_ms > model->now_ms ? stamp_ms : model->now_ms;
  for (int i = 0; i < KEYS; i++)
    if (model->keys[i].used
        && model->now_ms - model->keys[i].claimed_ms
               >= model->keys[i].retention_ms)
      model->keys[i] = (struct model_key){ 0 };
}

static uint32_t
model_bytes (const struct model *model, uint32_t *key_count)
{
  uint32_t bytes = 0;

  *key_count = 0;
  for (int i = 0; i < KEYS; i++)
    {
      bytes += model->keys[i].bytes;
      *key_count += model->keys[i].used;
    }
  return bytes;
}

static enum claim_result_kind
model_claim (struct model *model, struct model_key *key, uint32_t attempt,
             const struct claim_command *command)
{
  uint32_t key_count;
  uint32_t bytes = model_bytes (model, &key_count);

  if (key->used && key->body_hash != command->body_hash)
    return CLAIM_MISMATCH;
  if (key->used && key->done)
    return CLAIM_DONE;
  if (key->used && model->now_ms >= key->claimed_ms + key->run_ms)
    return CLAIM_UNKNOWN;
  if (key->used)
    return key->attempt == attempt ? CLAIM_GRANTED : CLAIM_IN_PROGRESS;
  if (key_count == KEYS_MAX || bytes == BYTES_MAX
      || bytes + command->answer_reserve_bytes > BYTES_MAX)
    return CLAIM_FULL;
  key->used = true;
  key->attempt = attempt;
  key->body_hash = command->body_hash;
  key->claimed_ms = model->now_ms;
  key->run_ms = command->run_ms;
  key->retention_ms = command->retention_hours > 0
                          ? command->retention_hours * HOUR_MS
                          : RETENTION_MS;
  key->bytes = command->answer_reserve_bytes;
  return CLAIM_GRANTED;
}

static enum claim_result_kind
model_apply (struct model *model, uint32_t key_index, uint32_t attempt,
             const struct claim_command *command)
{
  struct model_key *key = &model->keys[key_index];
  uint32_t key_count;

  if (command->op == CLAIM_CLAIM)
    return model_claim (model, key, attempt, command);
  if (!key->used || key->attempt != attempt)
    return CLAIM_NOT_HELD;
  if (command->op == CLAIM_RELEASE)
    {
      if (key->done)
        return CLAIM_NOT_HELD;
      *key = (struct model_key){ 0 };
      return CLAIM_RELEASED;
    }
  if (!key->done)
    {
      key->bytes = 0;
      key->without_answer
          = model_bytes (model, &key_count) + command->answer_len > BYTES_MAX;
      key->bytes = key->without_answer ? 0 : (uint32_t)command->answer_len;
    }
  key->done = true;
  return CLAIM_RECORDED;
}

/* Replaces *CLAIM by a new state machine restored from its snapshot, and
   checks that both have the same snapshot.  */
static void
replace_by_snapshot (struct claim **claim)
{
  struct claim *copy = new_claim (KEYS_MAX, BYTES_MAX);
  uint8_t *data[2];
  size_t len[2];

  CU_ASSERT_EQUAL (claim_snapshot (*claim, &data[0], &len[0]), SR_OK);
  CU_ASSERT_EQUAL_FATAL (claim_restore (copy, data[0], len[0]), SR_OK);
  CU_ASSERT_EQUAL (claim_snapshot (copy, &data[1], &len[1]), SR_OK);
  CU_ASSERT (len[0] == len[1] && memcmp (data[0], data[1], len[0]) == 0);
  free (data[0]);
  free (data[1]);
  claim_free (*claim);
  *claim = copy;
}

static struct claim_command
random_command (struct rng *rng, uint32_t key_index, uint32_t attempt)
{
  static uint8_t answer[60];
  enum claim_op op = (enum claim_op)rng_below (rng, 3);
  struct claim_command command = make_command (op, key_index, attempt);

  if (op == CLAIM_CLAIM)
    {
      command.body_hash = rng_below (rng, 12) == 0;
      command.run_ms = rng_below (rng, 40) * 60 * 1000;
      command.retention_hours = rng_below (rng, 4);
      command.answer_reserve_bytes = rng_below (rng, 40);
    }
  memset (answer, (int)attempt, sizeof answer);
  command.answer = answer;
  command.answer_len
      = op == CLAIM_OUTCOME ? rng_below (rng, sizeof answer) : 0;
  return command;
}

/* Compares random claims, releases and outcomes with the model, with repeated
   commands, expired keys and restored snapshots.  A key that is granted to two
   attempts without a release in between would let a request run twice.  */
static void
run_random (uint64_t seed)
{
  struct claim *claim = new_claim (KEYS_MAX, BYTES_MAX);
  struct model model = { .now_ms = 0 };
  struct rng rng;
  uint64_t clock_ms = 1;

  rng_seed (&rng, seed);
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t key_index = rng_below (&rng, KEYS);
      uint32_t attempt = 1 + rng_below (&rng, 3);
      struct claim_command command = random_command (&rng, key_index, attempt);
      struct model_key *key = &model.keys[key_index];
      uint32_t key_count;
      struct claim_result result;

      /* The clock of a new leader may be some minutes behind.  */
      clock_ms += rng_below (&rng, 2 * 60 * 1000);
      clock_ms -= rng_below (&rng, 50) == 0 && clock_ms > HOUR_MS
                      ? HOUR_MS / 20
                      : 0;
      model_expire (&model, clock_ms);
      result = apply (claim, clock_ms, &command);
      if (result.kind == CLAIM_GRANTED)
        {
          SUITE_SEEDED (key->granted_attempt == 0
                            || key->granted_attempt == attempt,
                        seed);
          key->granted_attempt = attempt;
        }
      SUITE_SEEDED (result.kind
                        == model_apply (&model, key_index, attempt, &command),
                    seed);
      SUITE_SEEDED (
          result.without_answer
              == ((result.kind == CLAIM_DONE || result.kind == CLAIM_RECORDED)
                  && key->without_answer),
          seed);
      SUITE_SEEDED (
          result.kind != CLAIM_DONE || result.answer_len == key->bytes, seed);
      SUITE_SEEDED (result.answer_len == 0
                        || result.answer[result.answer_len - 1]
                               == key->attempt,
                    seed);
      SUITE_SEEDED (
          claim_bytes_used (claim) == model_bytes (&model, &key_count), seed);
      SUITE_SEEDED (claim_key_count (claim) == key_count, seed);
      if (rng_below (&rng, 40) == 0)
        replace_by_snapshot (&claim);
    }
  claim_free (claim);
}

static void
test_random (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    run_random (seed);
}

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Applies OP to COUNT keys; prints the mean and maximum time of one.  */
static void
measure_op (struct claim *claim, enum claim_op op, uint32_t count)
{
  static const uint8_t answer[200];
  clk_us start = clk_now ();
  clk_us previous = start;
  clk_us max_us = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct claim_command command = make_command (op, i, 1);
      struct claim_result result;
      uint8_t *data;
      size_t len;
      clk_us now;

      command.answer = answer;
      command.answer_len = op == CLAIM_OUTCOME ? sizeof answer : 0;
      if (claim_command_encode (&command, &data, &len) != SR_OK
          || claim_apply (claim, 1, data, len, &result) != SR_OK)
        abort ();
      free (data);
      now = clk_now ();
      max_us = now - previous > max_us ? now - previous : max_us;
      previous = now;
    }
  printf (" mean_ns=%.0f longest_us=%u",
          1000.0 * (double)(previous - start) / count, (unsigned)max_us);
}

/* Prints memory and times for COUNT keys with answers of 200 bytes.  */
static void
measure (uint32_t count)
{
  struct claim *claim = new_claim (count, UINT64_MAX / 2);
  size_t allocated_before = allocated_bytes ();
  clk_us start;
  uint8_t *data;
  size_t len;

  printf ("keys=%u claim:", count);
  measure_op (claim, CLAIM_CLAIM, count);
  printf (" bytes_per_key=%zu outcome:",
          (allocated_bytes () - allocated_before) / count);
  measure_op (claim, CLAIM_OUTCOME, count);
  printf (" bytes_per_key=%zu",
          (allocated_bytes () - allocated_before) / count);
  start = clk_now ();
  if (claim_snapshot (claim, &data, &len) != SR_OK)
    abort ();
  printf (" snapshot: bytes_per_key=%zu ms=%u", len / count,
          (unsigned)((clk_now () - start) / CLK_US_PER_MS));
  start = clk_now ();
  if (claim_restore (claim, data, len) != SR_OK)
    abort ();
  printf (" restore: ms=%u\n",
          (unsigned)((clk_now () - start) / CLK_US_PER_MS));
  free (data);
  claim_free (claim);
}

int
main (int argc, char **argv)
{
  static const struct suite_test tests[]
      = { { "full store keeps keys and answers", test_full },
          { "limit on keys from the configuration", test_keys_max },
          { "truncated input is rejected", test_truncated_input },
          { "random commands against a model", test_random },
          { NULL, NULL } };

  if (argc > 1 && strcmp (argv[1], "measure") == 0)
    {
      for (uint32_t count = 10000; count <= 1000000; count *= 10)
        measure (count);
      return 0;
    }
  return suite_run ("claim", tests);
}
