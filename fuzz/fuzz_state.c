#include <stdlib.h>
#include <string.h>

#include "controllers/cfg.h"
#include "controllers/clm.h"
#include "core/err.h"

/* What the first byte chooses.  */
enum fuzz_target
{
  FUZZ_CFG_APPLY,
  FUZZ_CLM_APPLY,
  FUZZ_CFG_RESTORE,
  FUZZ_CLM_RESTORE,
  FUZZ_CLM_RESULT,
  FUZZ_TARGET_COUNT,
};

/* Takes the next piece of the input: one byte of length and so many bytes, so
   that one input holds several log entries.  */
static size_t
fuzz_piece (const uint8_t **data, size_t *left, const uint8_t **piece)
{
  size_t len = (*data)[0];

  if (len > *left - 1)
    len = *left - 1;
  *piece = *data + 1;
  *data += 1 + len;
  *left -= 1 + len;
  return len;
}

static struct cfg *
fuzz_new_cfg (void)
{
  struct cfg *cfg = cfg_new (&(struct cfg_opts){ .results_kept = 4 });

  INVARIANT (cfg != NULL);
  return cfg;
}

static struct clm *
fuzz_new_clm (void)
{
  struct clm *clm
      = clm_new (&(struct clm_opts){ .keys_max = 8, .bytes_max = 512 });

  INVARIANT (clm != NULL);
  return clm;
}

/* A state that was reached must survive its own snapshot.  */
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
fuzz_check_clm (const struct clm *clm)
{
  struct clm *copy = fuzz_new_clm ();
  uint8_t *first;
  uint8_t *second;
  size_t first_len;
  size_t second_len;

  INVARIANT (clm_snapshot (clm, &first, &first_len) == SR_OK);
  INVARIANT (clm_restore (copy, first, first_len) == SR_OK);
  INVARIANT (clm_snapshot (copy, &second, &second_len) == SR_OK);
  INVARIANT (first_len == second_len
             && memcmp (first, second, first_len) == 0);
  INVARIANT (clm_keys (copy) == clm_keys (clm)
             && clm_bytes (copy) == clm_bytes (clm));
  free (first);
  free (second);
  clm_free (copy);
}

static void
fuzz_cfg_apply (const uint8_t *data, size_t left)
{
  struct cfg *cfg = fuzz_new_cfg ();
  const uint8_t *piece;

  for (uint64_t index = 1; left > 0; index++)
    {
      uint64_t number = cfg_version (cfg).number;
      struct cfg_result result;
      size_t len = fuzz_piece (&data, &left, &piece);

      (void)cfg_apply (cfg, 1, index, piece, len, &result);
      INVARIANT (cfg_version (cfg).number - number <= 1);
    }
  fuzz_check_cfg (cfg);
  cfg_free (cfg);
}

static void
fuzz_clm_apply (const uint8_t *data, size_t left)
{
  struct clm *clm = fuzz_new_clm ();
  const uint8_t *piece;

  for (uint64_t stamp = 0; left > 0; stamp += CLM_RUN_MS_MAX / 4)
    {
      struct clm_result result;
      size_t len = fuzz_piece (&data, &left, &piece);

      (void)clm_apply (clm, stamp, piece, len, &result);
      INVARIANT (clm_keys (clm) <= 8 && clm_bytes (clm) <= 512);
    }
  fuzz_check_clm (clm);
  clm_free (clm);
}

/* A snapshot that is taken must work as a state.  */
static void
fuzz_cfg_restore (const uint8_t *data, size_t len)
{
  struct cfg *cfg = fuzz_new_cfg ();

  if (cfg_restore (cfg, data, len) == SR_OK)
    fuzz_check_cfg (cfg);
  cfg_free (cfg);
}

static void
fuzz_clm_restore (const uint8_t *data, size_t len)
{
  static const struct clm_command command = { .op = CLM_CLAIM, .run_ms = 1 };
  struct clm *clm = fuzz_new_clm ();
  struct clm_result result;
  uint8_t *claim;
  size_t claim_len;

  INVARIANT (clm_encode (&command, &claim, &claim_len) == SR_OK);
  if (clm_restore (clm, data, len) == SR_OK)
    {
      fuzz_check_clm (clm);
      (void)clm_apply (clm, UINT64_MAX, claim, claim_len, &result);
      fuzz_check_clm (clm);
    }
  free (claim);
  clm_free (clm);
}

/* The name is set by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  struct clm_result result;

  if (len == 0)
    return 0;
  switch (data[0] % FUZZ_TARGET_COUNT)
    {
    case FUZZ_CFG_APPLY:
      fuzz_cfg_apply (data + 1, len - 1);
      break;
    case FUZZ_CLM_APPLY:
      fuzz_clm_apply (data + 1, len - 1);
      break;
    case FUZZ_CFG_RESTORE:
      fuzz_cfg_restore (data + 1, len - 1);
      break;
    case FUZZ_CLM_RESTORE:
      fuzz_clm_restore (data + 1, len - 1);
      break;
    case FUZZ_CLM_RESULT:
      (void)clm_result_decode (data + 1, len - 1, &result);
      break;
    default:
      break;
    }
  return 0;
}
