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
#define KEEP_MS ((uint64_t)2 * HOUR_MS)

static struct claim *
new_clm (uint32_t keys_max, uint64_t bytes_max)
{
  return claim_new (&(struct claim_opts){
      .keep_ms = KEEP_MS, .keys_max = keys_max, .bytes_max = bytes_max });
}

/* A command on key number KEY by attempt number ATTEMPT.  */
static struct claim_command
command (enum claim_op op, uint32_t key, uint32_t attempt)
{
  struct claim_command command = { .op = op, .run_ms = 1000 };

  memcpy (command.key, &key, sizeof key);
  memcpy (command.attempt, &attempt, sizeof attempt);
  return command;
}

/* Applies COMMAND at NOW; the result has gone through its encoded form, and
   its answer is valid until the next call.  */
static struct claim_result
apply (struct claim *claim, uint64_t now, const struct claim_command *command)
{
  static uint8_t *kept;
  struct claim_result result = { 0 };
  uint8_t *data;
  size_t len;

  CU_ASSERT_EQUAL_FATAL (claim_encode (command, &data, &len), SR_OK);
  CU_ASSERT_EQUAL (claim_apply (claim, now, data, len, &result), SR_OK);
  free (data);
  free (kept);
  CU_ASSERT_EQUAL (claim_result_encode (&result, &kept, &len), SR_OK);
  CU_ASSERT_EQUAL (claim_result_decode (kept, len - 1, &result),
                   SR_EMALFORMED);
  CU_ASSERT_EQUAL (claim_result_decode (kept, len, &result), SR_OK);
  return result;
}

static enum claim_result_kind
kind (struct claim *claim, uint64_t now, enum claim_op op, uint32_t key,
      uint32_t attempt)
{
  struct claim_command c = command (op, key, attempt);

  c.answer = (const uint8_t *)"answer";
  c.answer_len = 6;
  return apply (claim, now, &c).kind;
}

/* Guards against a full store that forgets keys or answers to make room.  */
static void
test_full (void)
{
  struct claim *claim = new_clm (3, 10);
  struct claim_command c = command (CLAIM_CLAIM, 1, 1);
  struct claim_result result;

  c.answer_reserve = 6;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_GRANTED);
  c = command (CLAIM_CLAIM, 2, 1);
  c.answer_reserve = 5;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_FULL);
  c.answer_reserve = 3;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_GRANTED);
  /* Five bytes do not fit besides the six reserved for key 1.  */
  c = command (CLAIM_OUTCOME, 2, 1);
  c.answer = (const uint8_t *)"12345";
  c.answer_len = 5;
  result = apply (claim, 0, &c);
  CU_ASSERT (result.kind == CLAIM_RECORDED && result.without_answer);
  c = command (CLAIM_CLAIM, 2, 2);
  result = apply (claim, 0, &c);
  CU_ASSERT (result.kind == CLAIM_DONE && result.without_answer);
  CU_ASSERT_EQUAL (kind (claim, 0, CLAIM_OUTCOME, 1, 1), CLAIM_RECORDED);
  CU_ASSERT_EQUAL (claim_bytes_used (claim), 6);
  CU_ASSERT_EQUAL (kind (claim, 0, CLAIM_CLAIM, 3, 1), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (kind (claim, 0, CLAIM_CLAIM, 4, 1), CLAIM_FULL);
  CU_ASSERT_EQUAL (kind (claim, KEEP_MS - 1, CLAIM_CLAIM, 4, 1), CLAIM_FULL);
  CU_ASSERT_EQUAL (kind (claim, KEEP_MS, CLAIM_CLAIM, 4, 1), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (claim_key_count (claim), 1);
  claim_free (claim);
}

/* Guards against a bound of the configuration without effect, and against one
   that forgets keys when it is lowered.  */
static void
test_keys_max (void)
{
  struct claim *claim = new_clm (5, 1000);
  struct claim_command c;

  for (uint32_t key = 1; key <= 3; key++)
    {
      c = command (CLAIM_CLAIM, key, 1);
      c.keys_max = 3;
      CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_GRANTED);
    }
  c = command (CLAIM_CLAIM, 4, 1);
  c.keys_max = 3;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_FULL);
  c.keys_max = 2;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_FULL);
  c = command (CLAIM_CLAIM, 3, 2);
  c.keys_max = 2;
  CU_ASSERT_EQUAL (apply (claim, 0, &c).kind, CLAIM_IN_PROGRESS);
  CU_ASSERT_EQUAL (claim_key_count (claim), 3);
  for (uint32_t key = 4; key <= 6; key++)
    {
      c = command (CLAIM_CLAIM, key, 1);
      c.keys_max = 100;
      CU_ASSERT_EQUAL (apply (claim, 0, &c).kind,
                       key < 6 ? CLAIM_GRANTED : CLAIM_FULL);
    }
  claim_free (claim);
}

/* Guards against truncated input being taken or changing the state.  */
static void
test_truncated (void)
{
  struct claim *claim = new_clm (10, 1000);
  struct claim_command c = command (CLAIM_OUTCOME, 1, 1);
  struct claim_result result;
  uint8_t *data;
  size_t len;

  c.answer = (const uint8_t *)"answer";
  c.answer_len = 6;
  for (int op = CLAIM_CLAIM; op <= CLAIM_OUTCOME; op++)
    {
      c.op = (enum claim_op)op;
      CU_ASSERT_EQUAL (claim_encode (&c, &data, &len), SR_OK);
      for (size_t cut = 0; cut < len; cut++)
        CU_ASSERT_EQUAL (claim_apply (claim, 1, data, cut, &result),
                         SR_EMALFORMED);
      free (data);
    }
  CU_ASSERT_EQUAL (claim_key_count (claim), 0);
  kind (claim, 1, CLAIM_CLAIM, 1, 1);
  kind (claim, 1, CLAIM_OUTCOME, 1, 1);
  kind (claim, 1, CLAIM_CLAIM, 2, 1);
  CU_ASSERT_EQUAL (claim_snapshot (claim, &data, &len), SR_OK);
  for (size_t cut = 0; cut < len; cut++)
    CU_ASSERT_EQUAL (claim_restore (claim, data, cut), SR_EMALFORMED);
  CU_ASSERT_EQUAL (claim_key_count (claim), 2);
  free (data);
  claim_free (claim);
}

/* The reference model: an array of keys, searched in full.  */
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
  uint64_t body;
  uint64_t claimed;
  uint64_t run;
  uint64_t keep;
  uint32_t bytes;      /* recorded or reserved */
  uint32_t granted_to; /* 0: nobody since the last release */
};

struct model
{
  struct model_key keys[KEYS];
  uint64_t now;
};

static void
model_expire (struct model *model, uint64_t stamp)
{
  model->now = stamp > model->now ? stamp : model->now;
  for (int i = 0; i < KEYS; i++)
    if (model->keys[i].used
        && model->now - model->keys[i].claimed >= model->keys[i].keep)
      model->keys[i] = (struct model_key){ 0 };
}

static uint32_t
model_bytes (const struct model *model, uint32_t *used)
{
  uint32_t bytes = 0;

  *used = 0;
  for (int i = 0; i < KEYS; i++)
    {
      bytes += model->keys[i].bytes;
      *used += model->keys[i].used;
    }
  return bytes;
}

static enum claim_result_kind
model_claim (struct model *model, struct model_key *key, uint32_t attempt,
             const struct claim_command *c)
{
  uint32_t used;
  uint32_t bytes = model_bytes (model, &used);

  if (key->used && key->body != c->body_hash)
    return CLAIM_MISMATCH;
  if (key->used && key->done)
    return CLAIM_DONE;
  if (key->used && model->now >= key->claimed + key->run)
    return CLAIM_UNKNOWN;
  if (key->used)
    return key->attempt == attempt ? CLAIM_GRANTED : CLAIM_IN_PROGRESS;
  if (used == KEYS_MAX || bytes == BYTES_MAX
      || bytes + c->answer_reserve > BYTES_MAX)
    return CLAIM_FULL;
  key->used = true;
  key->attempt = attempt;
  key->body = c->body_hash;
  key->claimed = model->now;
  key->run = c->run_ms;
  key->keep = c->keep_hours > 0 ? c->keep_hours * HOUR_MS : KEEP_MS;
  key->bytes = c->answer_reserve;
  return CLAIM_GRANTED;
}

static enum claim_result_kind
model_apply (struct model *model, uint32_t n, uint32_t attempt,
             const struct claim_command *c)
{
  struct model_key *key = &model->keys[n];
  uint32_t used;

  if (c->op == CLAIM_CLAIM)
    return model_claim (model, key, attempt, c);
  if (!key->used || key->attempt != attempt)
    return CLAIM_NOT_HELD;
  if (c->op == CLAIM_RELEASE)
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
          = model_bytes (model, &used) + c->answer_len > BYTES_MAX;
      key->bytes = key->without_answer ? 0 : (uint32_t)c->answer_len;
    }
  key->done = true;
  return CLAIM_RECORDED;
}

/* Moves the state of *CLM to a new state machine by a snapshot, and checks
   that the copy gives the same snapshot.  */
static void
replace_by_snapshot (struct claim **claim)
{
  struct claim *copy = new_clm (KEYS_MAX, BYTES_MAX);
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
random_command (struct rng *rng, uint32_t n, uint32_t attempt)
{
  static uint8_t answer[60];
  enum claim_op op = (enum claim_op)rng_below (rng, 3);
  struct claim_command c = command (op, n, attempt);

  if (op == CLAIM_CLAIM)
    {
      c.body_hash = rng_below (rng, 12) == 0;
      c.run_ms = rng_below (rng, 40) * 60 * 1000;
      c.keep_hours = rng_below (rng, 4);
      c.answer_reserve = rng_below (rng, 40);
    }
  memset (answer, (int)attempt, sizeof answer);
  c.answer = answer;
  c.answer_len = op == CLAIM_OUTCOME ? rng_below (rng, sizeof answer) : 0;
  return c;
}

/* Guards against a key that is granted to two attempts without a release in
   between, over resends, releases, expiry and restarts, and against any other
   difference from the model.  */
static void
run_random (uint64_t seed)
{
  struct claim *claim = new_clm (KEYS_MAX, BYTES_MAX);
  struct model model = { .now = 0 };
  struct rng rng;
  uint64_t clock = 1;

  rng_seed (&rng, seed);
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t n = rng_below (&rng, KEYS);
      uint32_t attempt = 1 + rng_below (&rng, 3);
      struct claim_command c = random_command (&rng, n, attempt);
      struct model_key *key = &model.keys[n];
      uint32_t used;
      struct claim_result result;

      /* A new leader's clock may be behind by some minutes.  */
      clock += rng_below (&rng, 2 * 60 * 1000);
      clock -= rng_below (&rng, 50) == 0 && clock > HOUR_MS ? HOUR_MS / 20 : 0;
      model_expire (&model, clock);
      result = apply (claim, clock, &c);
      if (result.kind == CLAIM_GRANTED)
        {
          SUITE_SEEDED (key->granted_to == 0 || key->granted_to == attempt,
                        seed);
          key->granted_to = attempt;
        }
      SUITE_SEEDED (result.kind == model_apply (&model, n, attempt, &c), seed);
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
      SUITE_SEEDED (claim_bytes_used (claim) == model_bytes (&model, &used),
                    seed);
      SUITE_SEEDED (claim_key_count (claim) == used, seed);
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
allocated (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Applies OP to COUNT keys; prints the mean and longest time of one.  */
static void
measure_op (struct claim *claim, enum claim_op op, uint32_t count)
{
  static const uint8_t answer[200];
  clk_us start = clk_now ();
  clk_us last = start;
  clk_us longest = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct claim_command c = command (op, i, 1);
      struct claim_result result;
      uint8_t *data;
      size_t len;
      clk_us now;

      c.answer = answer;
      c.answer_len = op == CLAIM_OUTCOME ? sizeof answer : 0;
      if (claim_encode (&c, &data, &len) != SR_OK
          || claim_apply (claim, 1, data, len, &result) != SR_OK)
        abort ();
      free (data);
      now = clk_now ();
      longest = now - last > longest ? now - last : longest;
      last = now;
    }
  printf (" mean_ns=%.0f longest_us=%u",
          1000.0 * (double)(last - start) / count, (unsigned)longest);
}

/* Prints memory and times for COUNT keys with answers of 200 bytes.  */
static void
measure (uint32_t count)
{
  struct claim *claim = new_clm (count, UINT64_MAX / 2);
  size_t before = allocated ();
  clk_us start;
  uint8_t *data;
  size_t len;

  printf ("keys=%u claim:", count);
  measure_op (claim, CLAIM_CLAIM, count);
  printf (" bytes_per_key=%zu outcome:", (allocated () - before) / count);
  measure_op (claim, CLAIM_OUTCOME, count);
  printf (" bytes_per_key=%zu", (allocated () - before) / count);
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
      = { { "full", test_full },
          { "keys_max of a claim", test_keys_max },
          { "truncated", test_truncated },
          { "random against a model", test_random },
          { NULL, NULL } };

  if (argc > 1 && strcmp (argv[1], "measure") == 0)
    {
      for (uint32_t count = 10000; count <= 1000000; count *= 10)
        measure (count);
      return 0;
    }
  return suite_run ("clm", tests);
}
