#include "core/reason.h"

#include "core/err.h"

struct rsn_row
{
  const char *name;
  int status;
  const char *type;
  int resend;
};

static const struct rsn_row rsn_rows[RSN_COUNT]
    = { [RSN_NONE] = { "none", 200, "", 0 },
#define RSN_X(symbol, name, status, type, resend)                             \
  [RSN_##symbol] = { name, status, type, resend },
        RSN_REFUSAL_TABLE (RSN_X)
#undef RSN_X
      };

static const char *const rsn_retry_names[RSN_RETRY_COUNT]
    = { [RSN_RETRY_NONE] = "none",
#define RSN_X(symbol, name) [RSN_RETRY_##symbol] = name,
        RSN_RETRY_TABLE (RSN_X)
#undef RSN_X
      };

/* Row of a reason.  */
static const struct rsn_row *
rsn_row (enum rsn_refusal reason)
{
  INVARIANT (reason < RSN_COUNT);
  return &rsn_rows[reason];
}

const char *
rsn_name (enum rsn_refusal reason)
{
  return rsn_row (reason)->name;
}

int
rsn_http_status (enum rsn_refusal reason)
{
  return rsn_row (reason)->status;
}

const char *
rsn_proxy_error (enum rsn_refusal reason)
{
  return rsn_row (reason)->type;
}

int
rsn_resend_helps (enum rsn_refusal reason)
{
  return rsn_row (reason)->resend;
}

const char *
rsn_retry_name (enum rsn_retry reason)
{
  INVARIANT (reason < RSN_RETRY_COUNT);
  return rsn_retry_names[reason];
}

const char *
rsn_run_name (enum rsn_run run)
{
  return run == RSN_NOT_RUN ? "not-run" : "unknown";
}
