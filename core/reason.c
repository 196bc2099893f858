#include "core/reason.h"

#include "core/err.h"

struct reason_row
{
  const char *name;
  int http_status;
  const char *proxy_error;
  int retryable;
};

static const struct reason_row reason_rows[REASON_COUNT]
    = { [REASON_NONE] = { "none", 200, "", 0 },
#define REASON_X(symbol, name, status, type, retryable)                       \
  [REASON_##symbol] = { name, status, type, retryable },
        REASON_REFUSAL_TABLE (REASON_X)
#undef REASON_X
      };

static const char *const reason_retry_names[REASON_RETRY_COUNT]
    = { [REASON_RETRY_NONE] = "none",
#define REASON_X(symbol, name) [REASON_RETRY_##symbol] = name,
        REASON_RETRY_TABLE (REASON_X)
#undef REASON_X
      };

static const struct reason_row *
reason_get_row (enum reason_refusal reason)
{
  INVARIANT (reason < REASON_COUNT);
  return &reason_rows[reason];
}

const char *
reason_name (enum reason_refusal reason)
{
  return reason_get_row (reason)->name;
}

int
reason_http_status (enum reason_refusal reason)
{
  return reason_get_row (reason)->http_status;
}

const char *
reason_proxy_error (enum reason_refusal reason)
{
  return reason_get_row (reason)->proxy_error;
}

int
reason_is_retryable (enum reason_refusal reason)
{
  return reason_get_row (reason)->retryable;
}

const char *
reason_retry_name (enum reason_retry reason)
{
  INVARIANT (reason < REASON_RETRY_COUNT);
  return reason_retry_names[reason];
}

const char *
reason_run_name (enum reason_run run)
{
  return run == REASON_NOT_RUN ? "not-run" : "unknown";
}
