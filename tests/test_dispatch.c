#include <stdlib.h>
#include <string.h>

#include "filters/dispatch.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static struct dispatch_state state;
static clk_us now;

/* A configuration with a non-idempotent and an idempotent route to the service
   "orders".  */
static struct model *
make_model (void)
{
  struct model *model = model_new ();
  struct route_service *service;

  model->routes = route_table_new ();
  service = route_add_service (model->routes, "orders");
  for (int i = 0; i < 2; i++)
    {
      struct route_entry *route = calloc (1, sizeof *route);

      list_init (&route->targets);
      snprintf (route->name, sizeof route->name, i ? "read" : "place");
      snprintf (route->host, sizeof route->host, "h");
      snprintf (route->prefix, sizeof route->prefix, i ? "/read/" : "/place/");
      route->idempotent = i == 1;
      route->timeout_ms = 1000;
      route->attempts_max = 3;
      route->priority = (uint32_t)(2 * i);
      route_add_target (route, service, 1);
      route_add_entry (model->routes, route);
    }
  return model;
}

static void
add_server (const char *instance, const char *domain)
{
  struct lb_server server = { .incarnation = 1, .slots = 10 };
  struct dispatch_service *service
      = dispatch_get_service (&state, "orders", now);

  snprintf (server.instance, sizeof server.instance, "%s", instance);
  snprintf (server.address, sizeof server.address, "10.0.0.1:80");
  snprintf (server.failure_domain, sizeof server.failure_domain, "%s", domain);
  CU_ASSERT_EQUAL (lb_update (service->servers, &server, now), SR_OK);
}

static void
set_up (void)
{
  struct dispatch_opts opts
      = { .failure_domain = "near",
          .budget
          = { .ratio = 0.2, .retries_min = 10, .window = clk_s (10) } };

  now = clk_s (100);
  CU_ASSERT_EQUAL (dispatch_init (&state, &opts), SR_OK);
  dispatch_configure (&state, make_model ());
  add_server ("n-1", "near");
  add_server ("n-2", "far");
  add_server ("n-3", "far");
}

static struct dispatch_request
run_chain (const char *path, enum dispatch_result_kind expected)
{
  struct dispatch_request request = {
    .host = "h", .path = path, .caller_timeout_ms = 5000, .arrived = now
  };

  CU_ASSERT_EQUAL (dispatch_run_chain (&state, &request, now).kind, expected);
  return request;
}

static enum dispatch_retry_kind
decide_retry (struct dispatch_request *request, enum reason_refusal reason,
              enum reason_run run)
{
  struct dispatch_failure failure = { .reason = reason, .run = run };

  return dispatch_decide_retry (&state, request, &failure, now).kind;
}

/* A request that may have run must not run again when the configuration is
   replaced while it is open.  Its route, which is not idempotent, must be read
   from the configuration with which it was admitted.  */
static void
test_replaced_configuration (void)
{
  struct dispatch_request request;

  set_up ();
  request = run_chain ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                   DISPATCH_CONTINUE);
  dispatch_configure (&state, make_model ());
  dispatch_configure (&state, make_model ());
  CU_ASSERT_EQUAL (
      decide_retry (&request, REASON_PEER_LOST, REASON_RUN_UNKNOWN),
      DISPATCH_GIVE_UP);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* A request that is not idempotent must not be retried once it may have run,
   and must be retried when it has not run.  An idempotent one may be retried
   in both cases.  */
static void
test_at_most_once (void)
{
  struct dispatch_request request;

  set_up ();
  request = run_chain ("/place/1", DISPATCH_CONTINUE);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (decide_retry (&request, REASON_DRAINING, REASON_NOT_RUN),
                   DISPATCH_RETRY_NOW);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (
      decide_retry (&request, REASON_BACKEND_CLOSED, REASON_RUN_UNKNOWN),
      DISPATCH_GIVE_UP);
  dispatch_release (&request);
  request = run_chain ("/read/1", DISPATCH_CONTINUE);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (
      decide_retry (&request, REASON_BACKEND_CLOSED, REASON_RUN_UNKNOWN),
      DISPATCH_RETRY_NOW);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* When the backend servers themselves refuse all requests, retries multiply
   the load on them.  Every attempt that reaches a server counts against the
   retry budget, whoever refuses it.  */
static void
test_servers_refuse (void)
{
  int retries = 0;

  set_up ();
  for (int i = 0; i < 1000; i++)
    {
      struct dispatch_request request
          = run_chain ("/read/1", DISPATCH_CONTINUE);

      for (int attempt = 0; attempt < 3; attempt++)
        {
          dispatch_choose_server (&state, &request, now);
          if (decide_retry (&request, REASON_SERVER_REFUSED, REASON_NOT_RUN)
              != DISPATCH_RETRY_NOW)
            break;
          retries++;
        }
      dispatch_release (&request);
      now += clk_ms (2);
    }
  CU_ASSERT_TRUE (retries <= 0.2 * 1000 + 10);
  CU_ASSERT_TRUE (retries >= 50);
  dispatch_fini (&state);
}

/* A node that shuts down must not accept a request, nor retry one, because it
   may not be able to finish it.  */
static void
test_shutdown (void)
{
  struct dispatch_request request;

  set_up ();
  request = run_chain ("/read/1", DISPATCH_CONTINUE);
  state.stopping = true;
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (decide_retry (&request, REASON_DRAINING, REASON_NOT_RUN),
                   DISPATCH_GIVE_UP);
  dispatch_release (&request);
  request = run_chain ("/read/1", DISPATCH_REFUSE);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Late in a shutdown a request must not be sent to a server when it would
   probably be cut off at the end: with twice its average duration left for one
   that must not run twice, with its average duration for another one.  The
   first attempt may come long after the request, when its body is complete.
   Calls of a run are always sent.  */
static void
test_time_left_in_shutdown (void)
{
  static const char *const paths[] = { "/place/1", "/read/1" };
  static const int durations[] = { 2, 1 };
  const clk_us average = clk_ms (250);

  for (int i = 0; i < 2; i++)
    for (int enough = 0; enough < 2; enough++)
      {
        clk_us needed = (clk_us)durations[i] * average;
        struct dispatch_request request;

        set_up ();
        dispatch_get_service (&state, "orders", now)->timeout_used_fraction
            = 0.25;
        request = run_chain (paths[i], DISPATCH_CONTINUE);
        state.stop_at = now + needed + clk_ms (enough ? 5 : -5);
        CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                         enough ? DISPATCH_CONTINUE : DISPATCH_REFUSE);
        request.internal = true;
        CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                         DISPATCH_CONTINUE);
        dispatch_release (&request);
        dispatch_fini (&state);
      }
}

/* A request in progress when the node shuts down must be sent again when its
   server is lost, as long as there is time before the end: another server of
   the service can still answer it.  */
static void
test_retries_in_shutdown (void)
{
  struct dispatch_request request;

  set_up ();
  state.stop_at = now + clk_ms (500);
  request = run_chain ("/read/1", DISPATCH_CONTINUE);
  dispatch_choose_server (&state, &request, now);
  state.stopping = true;
  CU_ASSERT_EQUAL (
      decide_retry (&request, REASON_PEER_LOST, REASON_RUN_UNKNOWN),
      DISPATCH_RETRY_NOW);
  now = state.stop_at;
  CU_ASSERT_EQUAL (
      decide_retry (&request, REASON_PEER_LOST, REASON_RUN_UNKNOWN),
      DISPATCH_GIVE_UP);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Requests must stay in the failure domain of the node as long as its server
   meets the time limit, to save traffic between domains.  When little time is
   left, the faster servers of other domains must be used.  */
static void
test_failure_domains (void)
{
  struct dispatch_request request;
  struct dispatch_service *service;

  for (int short_of_time = 0; short_of_time < 2; short_of_time++)
    {
      int near_picks = 0;

      set_up ();
      service = dispatch_get_service (&state, "orders", now);
      service->timeout_used_fraction = short_of_time ? 0.8 : 0.2;
      list_each (node, lb_servers (service->servers))
        {
          struct lb_server *server = list_entry (node, struct lb_server, node);

          lb_record_service_time (server, MODEL_COST_LONG,
                                  strcmp (server->failure_domain, "near") == 0
                                      ? clk_ms (180)
                                      : clk_ms (100));
        }
      now += clk_s (20); /* the slow start of the servers is over */
      for (int i = 0; i < 100; i++)
        {
          request = run_chain ("/read/1", DISPATCH_CONTINUE);
          dispatch_choose_server (&state, &request, now);
          near_picks += strcmp (request.server->instance, "n-1") == 0;
          dispatch_release (&request);
        }
      CU_ASSERT_TRUE (short_of_time ? near_picks == 0 : near_picks == 100);
      dispatch_fini (&state);
    }
}

/* Before the first configuration, a request must be refused as not ready and
   not with status 404, because its route may exist.  With a configuration, a
   request without a route must be refused as unknown, and one without enough
   time left by its deadline.  */
static void
test_refusals (void)
{
  struct dispatch_request request = { .host = "h",
                                      .path = "/none/",
                                      .caller_timeout_ms = 50,
                                      .arrived = clk_s (1) };
  struct dispatch_opts opts = { .failure_domain = "near" };

  CU_ASSERT_EQUAL (dispatch_init (&state, &opts), SR_OK);
  CU_ASSERT_EQUAL (dispatch_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_NOT_READY);
  dispatch_release (&request);
  dispatch_configure (&state, make_model ());
  CU_ASSERT_EQUAL (dispatch_run_chain (&state, &request, clk_s (1)).reason,
                   REASON_UNKNOWN_SERVICE);
  dispatch_release (&request);
  request.path = "/read/";
  CU_ASSERT_EQUAL (dispatch_run_chain (&state, &request, clk_s (2)).reason,
                   REASON_DEADLINE_QUEUED);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* When all nodes start together, the callers of a node without a configuration
   must not come back before it can have one, because they retry only a few
   times, nor much later.  */
static void
test_not_ready (void)
{
  struct dispatch_request request = { .host = "h",
                                      .path = "/read/",
                                      .caller_timeout_ms = 5000,
                                      .arrived = clk_s (1) };
  struct dispatch_opts opts
      = { .failure_domain = "near", .started_at = clk_s (1) };
  struct dispatch_result result;

  CU_ASSERT_EQUAL (dispatch_init (&state, &opts), SR_OK);
  for (clk_us uptime = 0; uptime < clk_s (4); uptime += clk_ms (50))
    {
      clk_us retry_at;

      result = dispatch_run_chain (&state, &request, clk_s (1) + uptime);
      retry_at = uptime + clk_ms (result.retry_after_ms);
      CU_ASSERT_EQUAL (result.reason, REASON_NOT_READY);
      CU_ASSERT_TRUE (retry_at >= clk_ms (1300));
      CU_ASSERT_TRUE (retry_at <= clk_ms (1700)
                      || retry_at <= uptime + clk_ms (600));
      dispatch_release (&request);
    }
  dispatch_fini (&state);
}

/* Before the first answer for a route, its requests count as external.  After
   another node has reported the route as internal, they must count as
   internal, or calls would be limited like requests of callers.  */
static void
test_reported_route (void)
{
  struct dispatch_request request;

  set_up ();
  request = run_chain ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_FALSE (request.internal);
  dispatch_set_route_internal (&state, request.route_id, true);
  dispatch_release (&request);
  request = run_chain ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_TRUE (request.internal);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Counts a call of the local backend server to "orders", and records the
   report on its answer.  */
static void
record_call (struct dispatch_state *node, clk_us called_at,
             const struct dispatch_report *report)
{
  struct dispatch_request request = {
    .host = "h", .path = "/read/1", .caller_timeout_ms = 5000, .arrived = now
  };

  CU_ASSERT_EQUAL (dispatch_run_chain (node, &request, now).kind,
                   DISPATCH_CONTINUE);
  CU_ASSERT_EQUAL (dispatch_choose_server (node, &request, now).kind,
                   DISPATCH_CONTINUE);
  request.service->called_at = called_at;
  dispatch_record_report (node, &request, report, now);
  dispatch_release (&request);
}

/* Guards against chains that are refused for good after one overload: two
   services call each other, each reports the queue wait downstream that the
   other one has reported, and so an old wait circulates and never expires.  */
static void
test_cycle_of_services (void)
{
  struct dispatch_report report
      = { .internal_queue_wait_us = 200000, .answered = true };
  struct dispatch_state nodes[2];
  clk_us overload_ended;

  for (int i = 0; i < 2; i++)
    {
      set_up ();
      nodes[i] = state;
      list_init (&nodes[i].services);
      list_splice_tail (&nodes[i].services, &state.services);
    }
  for (int i = 0; i < 100; i++, now += clk_ms (10))
    record_call (&nodes[0], now, &report);
  CU_ASSERT_TRUE (dispatch_max_queue_wait (&nodes[0], now).wait_us > 150000);
  overload_ended = now;
  for (int i = 0; now < overload_ended + clk_s (2); i++, now += clk_ms (1))
    {
      struct dispatch_queue_wait wait
          = dispatch_max_queue_wait (&nodes[i % 2], now);

      report = (struct dispatch_report){ .downstream_queue_wait_us
                                         = (uint32_t)wait.wait_us,
                                         .downstream_queue_wait_age = wait.age,
                                         .answered = true };
      /* Nearly all of the time passes on the way.  */
      now += clk_ms (9);
      record_call (&nodes[1 - i % 2], now, &report);
    }
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (dispatch_max_queue_wait (&nodes[i], now).wait_us < 1000);
      dispatch_fini (&nodes[i]);
    }
}

/* Guards against a report with an impossible age, after which no other report
   would count, so that chains would not be limited any more.  */
static void
test_impossible_age (void)
{
  struct dispatch_report report
      = { .downstream_queue_wait_us = 200000,
          .downstream_queue_wait_age = clk_s (1000000),
          .answered = true };

  set_up ();
  record_call (&state, now, &report);
  CU_ASSERT_TRUE (dispatch_max_queue_wait (&state, now).wait_us == 0);
  report = (struct dispatch_report){ .internal_queue_wait_us = 200000,
                                     .answered = true };
  for (int i = 0; i < 100; i++, now += clk_ms (10))
    record_call (&state, now, &report);
  CU_ASSERT_TRUE (dispatch_max_queue_wait (&state, now).wait_us > 150000);
  dispatch_fini (&state);
}

/* Guards against the queue wait of a service that the backend server has
   stopped calling, or never called: a route that was taken for an internal one
   for a moment must not make its service a downstream one for good.  */
static void
test_service_no_longer_called (void)
{
  struct dispatch_report report
      = { .internal_queue_wait_us = 200000, .answered = true };
  clk_us called_at;

  set_up ();
  called_at = now;
  for (int i = 0; i < 400; i++, now += clk_ms (10))
    record_call (&state, called_at, &report);
  CU_ASSERT_TRUE (dispatch_max_queue_wait (&state, now).wait_us == 0);
  record_call (&state, now, &report);
  CU_ASSERT_TRUE (dispatch_max_queue_wait (&state, now).wait_us > 150000);
  dispatch_fini (&state);
}

/* Guards against a request that has crashed several servers and is sent to the
   next one: no attempt starts, and a suspect is not sent again after a run
   that may have lost a server.  */
static void
test_quarantined_request (void)
{
  struct quarantine_opts quarantine
      = { .duration = clk_s (300), .fingerprints_max = 8, .servers_min = 3 };
  struct dispatch_failure lost
      = { .reason = REASON_BACKEND_CLOSED, .run = REASON_RUN_UNKNOWN };
  struct suspects suspects = { .marks = quarantine_new (&quarantine) };
  struct dispatch_request request;
  struct dispatch_result result;

  set_up ();
  state.opts.suspects = &suspects;
  add_server ("s-1", "near");
  add_server ("s-2", "near");
  add_server ("s-3", "near");
  request = run_chain ("/read/1", DISPATCH_CONTINUE);
  request.fingerprint = 5;
  quarantine_add_mark (suspects.marks, 5, "a", now);
  CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                   DISPATCH_CONTINUE);
  CU_ASSERT_EQUAL (dispatch_decide_retry (&state, &request, &lost, now).kind,
                   DISPATCH_RETRY_NOW);
  quarantine_add_mark (suspects.marks, 5, "b", now);
  CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                   DISPATCH_CONTINUE);
  CU_ASSERT_EQUAL (dispatch_decide_retry (&state, &request, &lost, now).kind,
                   DISPATCH_GIVE_UP);
  quarantine_add_mark (suspects.marks, 5, "c", now);
  result = dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (result.kind, DISPATCH_REFUSE);
  CU_ASSERT_EQUAL (result.reason, REASON_QUARANTINED);
  CU_ASSERT_EQUAL (result.retry_after_ms, 300000);
  dispatch_release (&request);
  dispatch_fini (&state);
  quarantine_free (suspects.marks);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "no second run after a new configuration", test_replaced_configuration },
    { "non-idempotent request runs at most once", test_at_most_once },
    { "retry budget when servers refuse", test_servers_refuse },
    { "no requests during shutdown", test_shutdown },
    { "time left in a shutdown", test_time_left_in_shutdown },
    { "retries in a shutdown", test_retries_in_shutdown },
    { "quarantined request", test_quarantined_request },
    { "other failure domains only when time is short", test_failure_domains },
    { "refusals without configuration, route or time", test_refusals },
    { "return of callers before the first configuration", test_not_ready },
    { "route reported as internal", test_reported_route },
    { "old queue wait in a cycle of services", test_cycle_of_services },
    { "report with an impossible age", test_impossible_age },
    { "queue wait of a service no longer called",
      test_service_no_longer_called },
    { NULL, NULL }
  };

  return suite_run ("dispatch", tests);
}
