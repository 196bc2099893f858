#include <stdlib.h>
#include <string.h>

#include "controllers/cfg.h"
#include "controllers/claim.h"
#include "core/err.h"

/* Selected by the first byte of the input.  */
enum fuzz_target
{
  FUZZ_CFG_APPLY,
  FUZZ_CLAIM_APPLY,
  FUZZ_CFG_RESTORE,
  FUZZ_CLAIM_RESTORE,
  FUZZ_CLAIM_RESULT,
  FUZZ_TARGET_COUNT,
};

/* Sets *ENTRY to the next log entry of the input, which is one byte with the
   length and that many bytes, and advances *DATA past it.  Returns the
   length.  */
static size_t
fuzz_next_entry (const uint8_t **data, size_t *remaining,
                 const uint8_t **entry)
{
  size_t len = (*data)[0];

  if (len > *remaining - 1)
    len = *remaining - 1;
  *entry = *data + 1;
  *data += 1 + len;
  *remaining -= 1 + len;
  return len;
}

static struct cfg *
fuzz_new_cfg (void)
{
  struct cfg *cfg = cfg_new (&(struct cfg_opts){ .results_max = 4 });

  INVARIANT (cfg != NULL);
  return cfg;
}

static struct claim *
fuzz_new_claim (void)
{
  struct claim *claim
      = claim_new (&(struct claim_opts){ .keys_max = 8, .bytes_max = 512 });

  INVARIANT (claim != NULL);
  return claim;
}

/* A copy restored from the snapshot of a state must have the same snapshot. */
static void
fuzz_check_cfg (const struct cfg *cfg)
{
  struct cfg *copy = fuzz_new_cfg ();
  uint8_t *first;
  uint8_t *second;
  size_t first_len;
  size_t second_len;

  INVARIANT (cfg_snapshot (cfg, &first, &first_len) == SR_OK);
  INVARIANT (cfg_restore (copy, first, first_len) == SR_OK);
  INVARIANT (cfg_snapshot (copy, &second, &second_len) == SR_OK);
  INVARIANT (first_len == second_len
             && memcmp (first, second, first_len) == 0);
  free (first);
  free (second);
  cfg_free (copy);
}

static void
fuzz_check_claim (const struct claim *claim)
{
  struct claim *copy = fuzz_new_claim ();
  uint8_t *first;
  uint8_t *second;
  size_t first_len;
  size_t second_len;

  INVARIANT (claim_snapshot (claim, &first, &first_len) == SR_OK);
  INVARIANT (claim_restore (copy, first, first_len) == SR_OK);
  INVARIANT (claim_snapshot (copy, &second, &second_len) == SR_OK);
  INVARIANT (first_len == second_len
             && memcmp (first, second, first_len) == 0);
  INVARIANT (claim_key_count (copy) == claim_key_count (claim)
             && claim_bytes_used (copy) == claim_bytes_used (claim));
  free (first);
  free (second);
  claim_free (copy);
}

static void
fuzz_cfg_apply (const uint8_t *data, size_t remaining)
{
  struct cfg *cfg = fuzz_new_cfg ();
  const uint8_t *entry;

  for (uint64_t index = 1; remaining > 0; index++)
    {
      uint64_t number = cfg_version (cfg).number;
      struct cfg_result result;
      size_t len = fuzz_next_entry (&data, &remaining, &entry);

      (void)cfg_apply (cfg, 1, index, entry, len, &result);
      INVARIANT (cfg_version (cfg).number >= number);
      INVARIANT (cfg_version (cfg).number == number
                 || cfg_version (cfg).index == index);
    }
  fuzz_check_cfg (cfg);
  cfg_free (cfg);
}

static void
fuzz_claim_apply (const uint8_t *data, size_t remaining)
{
  struct claim *claim = fuzz_new_claim ();
  const uint8_t *entry;

  for (uint64_t stamp_ms = 0; remaining > 0; stamp_ms += CLAIM_RUN_MS_MAX / 4)
    {
      struct claim_result result;
      size_t len = fuzz_next_entry (&data, &remaining, &entry);

      (void)claim_apply (claim, stamp_ms, entry, len, &result);
      INVARIANT (claim_key_count (claim) <= 8
                 && claim_bytes_used (claim) <= 512);
    }
  fuzz_check_claim (claim);
  claim_free (claim);
}

/* A snapshot that is accepted must give a usable state.  */
static void
fuzz_cfg_restore (const uint8_t *data, size_t len)
{
  struct cfg *cfg = fuzz_new_cfg ();

  if (cfg_restore (cfg, data, len) == SR_OK)
    fuzz_check_cfg (cfg);
  cfg_free (cfg);
}

static void
fuzz_claim_restore (const uint8_t *data, size_t len)
{
  static const struct claim_command command
      = { .op = CLAIM_CLAIM, .run_ms = 1 };
  struct claim *claim = fuzz_new_claim ();
  struct claim_result result;
  uint8_t *encoded;
  size_t encoded_len;

  INVARIANT (claim_command_encode (&command, &encoded, &encoded_len) == SR_OK);
  if (claim_restore (claim, data, len) == SR_OK)
    {
      fuzz_check_claim (claim);
      (void)claim_apply (claim, UINT64_MAX, encoded, encoded_len, &result);
      fuzz_check_claim (claim);
    }
  free (encoded);
  claim_free (claim);
}

/* The name is given by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  struct claim_result result;

  if (len == 0)
    return 0;
  switch (data[0] % FUZZ_TARGET_COUNT)
    {
    case FUZZ_CFG_APPLY:
      fuzz_cfg_apply (data + 1, len - 1);
      break;
    case FUZZ_CLAIM_APPLY:
      fuzz_claim_apply (data + 1, len - 1);
      break;
    case FUZZ_CFG_RESTORE:
      fuzz_cfg_restore (data + 1, len - 1);
      break;
    case FUZZ_CLAIM_RESTORE:
      fuzz_claim_restore (data + 1, len - 1);
      break;
    case FUZZ_CLAIM_RESULT:
      (void)claim_result_decode (data + 1, len - 1, &result);
      break;
    default:
      break;
    }
  return 0;
}
