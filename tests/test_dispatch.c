#include <stdlib.h>
#include <string.h>

#include "filters/dispatch.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static struct dispatch_state state;
static clk_us now;

/* A configuration with one route of each kind to the service "orders".  */
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
begin (void)
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
admit (const char *path, enum dispatch_result_kind expected)
{
  struct dispatch_request request = {
    .host = "h", .path = path, .caller_timeout_ms = 5000, .arrived = now
  };

  CU_ASSERT_EQUAL (dispatch_run_chain (&state, &request, now).kind, expected);
  return request;
}

static enum dispatch_next_kind
after (struct dispatch_request *request, enum reason_refusal reason,
       enum reason_run run)
{
  struct dispatch_failure failure = { .reason = reason, .run = run };

  return dispatch_decide_retry (&state, request, &failure, now).kind;
}

/* Guards against a request that runs twice because its route was read from a
   configuration that had been replaced meanwhile.  */
static void
test_configuration_replaced (void)
{
  struct dispatch_request request;

  begin ();
  request = admit ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_EQUAL (dispatch_choose_server (&state, &request, now).kind,
                   DISPATCH_CONTINUE);
  dispatch_configure (&state, make_model ());
  dispatch_configure (&state, make_model ());
  CU_ASSERT_EQUAL (after (&request, REASON_PEER_LOST, REASON_RUN_UNKNOWN),
                   DISPATCH_GIVE_UP);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Guards against a second run of a request that must run once, and a refusal
   to move one that has not run.  */
static void
test_at_most_once (void)
{
  struct dispatch_request request;

  begin ();
  request = admit ("/place/1", DISPATCH_CONTINUE);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, REASON_DRAINING, REASON_NOT_RUN),
                   DISPATCH_RETRY_NOW);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, REASON_BACKEND_CLOSED, REASON_RUN_UNKNOWN),
                   DISPATCH_GIVE_UP);
  dispatch_release (&request);
  request = admit ("/read/1", DISPATCH_CONTINUE);
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, REASON_BACKEND_CLOSED, REASON_RUN_UNKNOWN),
                   DISPATCH_RETRY_NOW);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Guards against a flood at servers that refuse everything themselves: what
   reaches a server counts, whoever refuses.  */
static void
test_servers_that_shed (void)
{
  int moved = 0;

  begin ();
  for (int i = 0; i < 1000; i++)
    {
      struct dispatch_request request = admit ("/read/1", DISPATCH_CONTINUE);

      for (int n = 0; n < 3; n++)
        {
          dispatch_choose_server (&state, &request, now);
          if (after (&request, REASON_SERVER_REFUSED, REASON_NOT_RUN)
              != DISPATCH_RETRY_NOW)
            break;
          moved++;
        }
      dispatch_release (&request);
      now += clk_ms (2);
    }
  CU_ASSERT_TRUE (moved <= 0.2 * 1000 + 10);
  CU_ASSERT_TRUE (moved >= 50);
  dispatch_fini (&state);
}

/* Guards against a stopping node that takes a request which it cannot see
   through.  */
static void
test_closing (void)
{
  struct dispatch_request request;

  begin ();
  request = admit ("/read/1", DISPATCH_CONTINUE);
  state.stopping = true;
  dispatch_choose_server (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, REASON_DRAINING, REASON_NOT_RUN),
                   DISPATCH_GIVE_UP);
  dispatch_release (&request);
  request = admit ("/read/1", DISPATCH_REFUSE);
  dispatch_release (&request);
  dispatch_fini (&state);
}

/* Guards against traffic between failure domains that saves no time that
   anybody needs, and against a slow near server where time is short.  */
static void
test_near_servers (void)
{
  struct dispatch_request request;
  struct dispatch_service *service;

  for (int hasty = 0; hasty < 2; hasty++)
    {
      int near = 0;

      begin ();
      service = dispatch_get_service (&state, "orders", now);
      service->timeout_fraction = hasty ? 0.8 : 0.2;
      list_each (node, lb_servers (service->servers))
        {
          struct lb_server *server = list_entry (node, struct lb_server, node);

          lb_record_run (server, MODEL_COST_LONG,
                         strcmp (server->failure_domain, "near") == 0
                             ? clk_ms (180)
                             : clk_ms (100));
        }
      now += clk_s (20); /* cold starts are over */
      for (int i = 0; i < 100; i++)
        {
          request = admit ("/read/1", DISPATCH_CONTINUE);
          dispatch_choose_server (&state, &request, now);
          near += strcmp (request.server->instance, "n-1") == 0;
          dispatch_release (&request);
        }
      CU_ASSERT_TRUE (hasty ? near == 0 : near == 100);
      dispatch_fini (&state);
    }
}

/* Guards against the answer 404 for a route that may exist, before a
   configuration is known.  */
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

/* Guards against calls that are taken for requests of callers until the first
   answer to one of them.  */
static void
test_route_told (void)
{
  struct dispatch_request request;

  begin ();
  request = admit ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_FALSE (request.internal);
  dispatch_set_route_internal (&state, request.route_id, true);
  dispatch_release (&request);
  request = admit ("/place/1", DISPATCH_CONTINUE);
  CU_ASSERT_TRUE (request.internal);
  dispatch_release (&request);
  dispatch_fini (&state);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "configuration replaced", test_configuration_replaced },
          { "at most once", test_at_most_once },
          { "servers that shed", test_servers_that_shed },
          { "closing", test_closing },
          { "near servers", test_near_servers },
          { "refusals", test_refusals },
          { "route told", test_route_told },
          { NULL, NULL } };

  return suite_run ("entry", tests);
}
