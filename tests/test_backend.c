#include <string.h>

#include "controllers/backend.h"
#include "tests/suite.h"

static struct api_heartbeat
make_heartbeat (const char *id, uint64_t started_ms, uint64_t sequence,
                enum api_server_state state)
{
  struct api_heartbeat heartbeat = { .state = state,
                                     .slots = 18,
                                     .sequence = sequence,
                                     .started_ms = started_ms,
                                     .service = "marks",
                                     .address = "10.0.0.1:80" };

  snprintf (heartbeat.id, sizeof heartbeat.id, "%s", id);
  return heartbeat;
}

static enum backend_change
apply_heartbeat (struct backend *backend, const char *id, uint64_t started_ms,
                 uint64_t sequence, enum api_server_state state)
{
  struct api_heartbeat heartbeat
      = make_heartbeat (id, started_ms, sequence, state);

  return backend_apply_heartbeat (backend, &heartbeat, clk_s (1));
}

/* Requests must not be sent to a server that drains.  A late heartbeat with
   the state "ready" must not make it available again.  */
static void
test_draining (void)
{
  struct backend backend = { 0 };
  struct api_deregister deregister = { .id = "i-1" };

  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 2, API_SERVER_READY),
                   BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (
      apply_heartbeat (&backend, "i-1", 100, 4, API_SERVER_DRAINING),
      BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (backend.state, BACKEND_DRAINING);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 3, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 5, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_apply_deregister (&backend, &deregister),
                   BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (backend.state, BACKEND_DRAINING);
}

/* Late heartbeats of an earlier incarnation, from another server id or an
   earlier start under the same id, must not replace those of the current
   one.  */
static void
test_incarnations (void)
{
  struct backend backend = { 0 };

  apply_heartbeat (&backend, "i-1", 100, 9, API_SERVER_READY);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-2", 200, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (
      apply_heartbeat (&backend, "i-1", 100, 10, API_SERVER_READY),
      BACKEND_STALE);
  CU_ASSERT_EQUAL (
      apply_heartbeat (&backend, "i-1", 100, 11, API_SERVER_DRAINING),
      BACKEND_STALE);
  CU_ASSERT_EQUAL (backend.state, BACKEND_UP);
  CU_ASSERT_STRING_EQUAL (backend.last_heartbeat.id, "i-2");
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-2", 300, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (
      apply_heartbeat (&backend, "i-2", 200, 50, API_SERVER_READY),
      BACKEND_STALE);
}

/* A deregistration of another server or an earlier incarnation must not
   withdraw the server.  A lost server must become available with its next
   heartbeat.  */
static void
test_lost_server (void)
{
  struct backend backend = { 0 };
  struct api_deregister other = { .id = "i-9" };
  struct api_deregister earlier = { .id = "i-1", .started_ms = 50 };

  apply_heartbeat (&backend, "i-1", 100, 1, API_SERVER_READY);
  CU_ASSERT_EQUAL (backend_apply_deregister (&backend, &other), BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_apply_deregister (&backend, &earlier),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (backend_mark_lost (&backend), BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (backend_mark_lost (&backend), BACKEND_UNCHANGED);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 2, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (backend.state, BACKEND_UP);
}

/* A server may send no start time.  A new one must not be ignored as an
   earlier incarnation, and late heartbeats of the one before it must be.
   After a heartbeat with a start time, one without is outdated.  */
static void
test_unknown_start_time (void)
{
  struct backend backend = { 0 };

  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 0, 7, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (backend_mark_lost (&backend), BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-2", 0, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 0, 8, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_STRING_EQUAL (backend.last_heartbeat.id, "i-2");
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-3", 500, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-4", 0, 1, API_SERVER_READY),
                   BACKEND_STALE);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "draining server stays withdrawn", test_draining },
          { "heartbeats of earlier incarnations", test_incarnations },
          { "lost server is available after a heartbeat", test_lost_server },
          { "unknown start time", test_unknown_start_time },
          { NULL, NULL } };

  return suite_run ("backend", tests);
}
