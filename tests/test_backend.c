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

/* Deregisters ID at BACKEND.  */
static enum backend_change
deregister_server (struct backend *backend, const char *id,
                   uint64_t started_ms)
{
  struct api_deregister deregister = { .started_ms = started_ms };

  snprintf (deregister.id, sizeof deregister.id, "%s", id);
  return backend_apply_deregister (backend, &deregister);
}

/* Guards against a deregistration that is acknowledged and ignored: a node
   that has just started knows the server from a health check, which gives no
   start time.  If the server has started again since, its heartbeat counts. */
static void
test_deregistration_after_health_check (void)
{
  struct backend backend = { 0 };

  apply_heartbeat (&backend, "i-1", 0, 0, API_SERVER_READY);
  CU_ASSERT_EQUAL (deregister_server (&backend, "i-1", 100),
                   BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (backend.state, BACKEND_DRAINING);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 9, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 0, 0, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 200, 1, API_SERVER_READY),
                   BACKEND_STARTED);
}

/* Guards against the same where the deregistration comes before the node knows
   any server: neither the health check nor a late heartbeat may make the
   server available.  */
static void
test_deregistration_of_unknown_server (void)
{
  struct backend backend = { 0 };

  deregister_server (&backend, "i-1", 100);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 0, 0, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 7, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_NOT_EQUAL (backend.state, BACKEND_UP);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-2", 200, 1, API_SERVER_READY),
                   BACKEND_STARTED);
}

/* Guards against a server that leaves before the first heartbeat of its new
   start arrives, and is used under the start before it.  */
static void
test_deregistration_of_later_start (void)
{
  struct backend backend = { 0 };

  apply_heartbeat (&backend, "i-1", 100, 5, API_SERVER_READY);
  CU_ASSERT_EQUAL (deregister_server (&backend, "i-1", 200),
                   BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 6, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 200, 1, API_SERVER_READY),
                   BACKEND_STALE);
}

/* Guards against a draining heartbeat that is acknowledged and ignored because
   one with a higher sequence number has overtaken it, or because its server is
   not the current one.  */
static void
test_late_draining_heartbeat (void)
{
  struct backend backend = { 0 };

  apply_heartbeat (&backend, "i-1", 100, 6, API_SERVER_READY);
  CU_ASSERT_EQUAL (
      apply_heartbeat (&backend, "i-1", 100, 5, API_SERVER_DRAINING),
      BACKEND_WITHDRAWN);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 100, 7, API_SERVER_READY),
                   BACKEND_STALE);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-2", 200, 1, API_SERVER_READY),
                   BACKEND_STARTED);
  apply_heartbeat (&backend, "i-2", 150, 9, API_SERVER_DRAINING);
  CU_ASSERT_EQUAL (backend.state, BACKEND_UP);
}

/* Guards against a withdrawn server that is forgotten because another one
   reports for long that it drains.  */
static void
test_long_drain (void)
{
  struct backend backend = { 0 };

  apply_heartbeat (&backend, "i-1", 0, 1, API_SERVER_READY);
  deregister_server (&backend, "i-1", 0);
  for (uint64_t i = 1; i <= 3 * BACKEND_PAST_MAX; i++)
    apply_heartbeat (&backend, "i-2", 0, i, API_SERVER_DRAINING);
  CU_ASSERT_EQUAL (apply_heartbeat (&backend, "i-1", 0, 9, API_SERVER_READY),
                   BACKEND_STALE);
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
          { "deregistration after a health check",
            test_deregistration_after_health_check },
          { "deregistration of an unknown server",
            test_deregistration_of_unknown_server },
          { "deregistration of a later start",
            test_deregistration_of_later_start },
          { "late draining heartbeat", test_late_draining_heartbeat },
          { "long drain", test_long_drain },
          { "unknown start time", test_unknown_start_time },
          { NULL, NULL } };

  return suite_run ("backend", tests);
}
