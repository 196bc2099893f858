#include <string.h>

#include "controllers/backend.h"
#include "tests/suite.h"

static struct api_heartbeat
beat (const char *id, uint64_t born_ms, uint64_t sequence,
      enum api_server_state state)
{
  struct api_heartbeat out = { .state = state,
                               .slots = 18,
                               .sequence = sequence,
                               .started_ms = born_ms,
                               .service = "marks",
                               .address = "10.0.0.1:80" };

  snprintf (out.id, sizeof out.id, "%s", id);
  return out;
}

static enum backend_change
take (struct backend *backend, const char *id, uint64_t born_ms,
      uint64_t sequence, enum api_server_state state)
{
  struct api_heartbeat report = beat (id, born_ms, sequence, state);

  return backend_heartbeat (backend, &report, clk_s (1));
}

/* Guards against work that reaches a server after it said that it leaves.  */
static void
test_leaving (void)
{
  struct backend backend = { 0 };
  struct api_deregister leave = { .id = "i-1" };

  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 2, API_SERVER_READY),
                   BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 4, API_SERVER_DRAINING),
                   BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (backend.state, BACKEND_DRAINING);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 3, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 5, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_leave (&backend, &leave), BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (backend.state, BACKEND_DRAINING);
}

/* Guards against a late report of an earlier start at the same address, and a
   server that starts again under its old id.  */
static void
test_starts (void)
{
  struct backend backend = { 0 };

  take (&backend, "i-1", 100, 9, API_SERVER_READY);
  CU_ASSERT_EQUAL (take (&backend, "i-2", 200, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 10, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 11, API_SERVER_DRAINING),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (backend.state, BACKEND_UP);
  CU_ASSERT_STRING_EQUAL (backend.last.id, "i-2");
  CU_ASSERT_EQUAL (take (&backend, "i-2", 300, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (take (&backend, "i-2", 200, 50, API_SERVER_READY),
                   BACKEND_STALE);
}

/* Guards against a leave of another server, and a lost server that stays
   away although it reports.  */
static void
test_lost (void)
{
  struct backend backend = { 0 };
  struct api_deregister other = { .id = "i-9" };
  struct api_deregister earlier = { .id = "i-1", .started_ms = 50 };

  take (&backend, "i-1", 100, 1, API_SERVER_READY);
  CU_ASSERT_EQUAL (backend_leave (&backend, &other), BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_leave (&backend, &earlier), BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_lost (&backend), BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (backend_lost (&backend), BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 100, 2, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (backend.state, BACKEND_UP);
}

/* Guards against a server that starts again, does not tell when, and is taken
   for an earlier one for good; and against the late report of the one before
   it.  */
static void
test_start_not_told (void)
{
  struct backend backend = { 0 };

  CU_ASSERT_EQUAL (take (&backend, "i-1", 0, 7, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (backend_lost (&backend), BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (take (&backend, "i-2", 0, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (take (&backend, "i-1", 0, 8, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_STRING_EQUAL (backend.last.id, "i-2");
  CU_ASSERT_EQUAL (take (&backend, "i-3", 500, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (take (&backend, "i-4", 0, 1, API_SERVER_READY),
                   BACKEND_STALE);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "leaving", test_leaving },
          { "starts", test_starts },
          { "lost", test_lost },
          { "start not told", test_start_not_told },
          { NULL, NULL } };

  return suite_run ("backend", tests);
}
