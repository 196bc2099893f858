#include <stdlib.h>
#include <string.h>

#include "filters/entry.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static struct ent_state state;
static clk_us now;

/* A configuration with one route of each kind to the service "orders".  */
static struct mdl *
model_new (void)
{
  struct mdl *model = mdl_new ();
  struct rte_service *service;

  model->routes = rte_new ();
  service = rte_add_service (model->routes, "orders");
  for (int i = 0; i < 2; i++)
    {
      struct rte_route *route = calloc (1, sizeof *route);

      lst_init (&route->targets);
      snprintf (route->name, sizeof route->name, i ? "read" : "place");
      snprintf (route->host, sizeof route->host, "h");
      snprintf (route->prefix, sizeof route->prefix, i ? "/read/" : "/place/");
      route->idempotent = i == 1;
      route->timeout_ms = 1000;
      route->attempts_max = 3;
      route->priority = (uint32_t)(2 * i);
      rte_add_target (route, service, 1);
      rte_add_route (model->routes, route);
    }
  return model;
}

static void
add_server (const char *instance, const char *domain)
{
  struct chs_server server = { .incarnation = 1, .slots = 10 };
  struct ent_service *service = ent_service (&state, "orders", now);

  snprintf (server.instance, sizeof server.instance, "%s", instance);
  snprintf (server.address, sizeof server.address, "10.0.0.1:80");
  snprintf (server.failure_domain, sizeof server.failure_domain, "%s", domain);
  CU_ASSERT_EQUAL (chs_update (service->servers, &server, now), SR_OK);
}

static void
begin (void)
{
  struct ent_opts opts
      = { .failure_domain = "near",
          .budget = { .ratio = 0.2, .slack = 10, .length = clk_s (10) } };

  now = clk_s (100);
  CU_ASSERT_EQUAL (ent_init (&state, &opts), SR_OK);
  ent_configure (&state, model_new ());
  add_server ("n-1", "near");
  add_server ("n-2", "far");
  add_server ("n-3", "far");
}

static struct ent_request
admit (const char *path, enum ent_result_kind expected)
{
  struct ent_request request
      = { .host = "h", .path = path, .wait_ms = 5000, .arrived = now };

  CU_ASSERT_EQUAL (ent_admit (&state, &request, now).kind, expected);
  return request;
}

static enum ent_next_kind
after (struct ent_request *request, enum rsn_refusal reason, enum rsn_run run)
{
  struct ent_failure failure = { .reason = reason, .run = run };

  return ent_after (&state, request, &failure, now).kind;
}

/* Guards against a request that runs twice because its route was read from a
   configuration that had been replaced meanwhile.  */
static void
test_configuration_replaced (void)
{
  struct ent_request request;

  begin ();
  request = admit ("/place/1", ENT_GO);
  CU_ASSERT_EQUAL (ent_choose (&state, &request, now).kind, ENT_GO);
  ent_configure (&state, model_new ());
  ent_configure (&state, model_new ());
  CU_ASSERT_EQUAL (after (&request, RSN_PEER_LOST, RSN_UNKNOWN), ENT_GIVE_UP);
  ent_release (&request);
  ent_fini (&state);
}

/* Guards against a second run of a request that must run once, and a refusal
   to move one that has not run.  */
static void
test_at_most_once (void)
{
  struct ent_request request;

  begin ();
  request = admit ("/place/1", ENT_GO);
  ent_choose (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, RSN_DRAINING, RSN_NOT_RUN), ENT_AGAIN);
  ent_choose (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, RSN_BACKEND_CLOSED, RSN_UNKNOWN),
                   ENT_GIVE_UP);
  ent_release (&request);
  request = admit ("/read/1", ENT_GO);
  ent_choose (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, RSN_BACKEND_CLOSED, RSN_UNKNOWN),
                   ENT_AGAIN);
  ent_release (&request);
  ent_fini (&state);
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
      struct ent_request request = admit ("/read/1", ENT_GO);

      for (int n = 0; n < 3; n++)
        {
          ent_choose (&state, &request, now);
          if (after (&request, RSN_SERVER_REFUSED, RSN_NOT_RUN) != ENT_AGAIN)
            break;
          moved++;
        }
      ent_release (&request);
      now += clk_ms (2);
    }
  CU_ASSERT_TRUE (moved <= 0.2 * 1000 + 10);
  CU_ASSERT_TRUE (moved >= 50);
  ent_fini (&state);
}

/* Guards against a stopping node that takes a request which it cannot see
   through.  */
static void
test_closing (void)
{
  struct ent_request request;

  begin ();
  request = admit ("/read/1", ENT_GO);
  state.closing = true;
  ent_choose (&state, &request, now);
  CU_ASSERT_EQUAL (after (&request, RSN_DRAINING, RSN_NOT_RUN), ENT_GIVE_UP);
  ent_release (&request);
  request = admit ("/read/1", ENT_REFUSE);
  ent_release (&request);
  ent_fini (&state);
}

/* Guards against traffic between failure domains that saves no time that
   anybody needs, and against a slow near server where time is short.  */
static void
test_near_servers (void)
{
  struct ent_request request;
  struct ent_service *service;

  for (int hasty = 0; hasty < 2; hasty++)
    {
      int near = 0;

      begin ();
      service = ent_service (&state, "orders", now);
      service->haste = hasty ? 0.8 : 0.2;
      lst_each (node, chs_servers (service->servers))
        {
          struct chs_server *server
              = lst_entry (node, struct chs_server, node);

          chs_note_run (server, MDL_LONG,
                        strcmp (server->failure_domain, "near") == 0
                            ? clk_ms (180)
                            : clk_ms (100));
        }
      now += clk_s (20); /* cold starts are over */
      for (int i = 0; i < 100; i++)
        {
          request = admit ("/read/1", ENT_GO);
          ent_choose (&state, &request, now);
          near += strcmp (request.server->instance, "n-1") == 0;
          ent_release (&request);
        }
      CU_ASSERT_TRUE (hasty ? near == 0 : near == 100);
      ent_fini (&state);
    }
}

/* Guards against the answer 404 for a route that may exist, before a
   configuration is known.  */
static void
test_refusals (void)
{
  struct ent_request request
      = { .host = "h", .path = "/none/", .wait_ms = 50, .arrived = clk_s (1) };
  struct ent_opts opts = { .failure_domain = "near" };

  CU_ASSERT_EQUAL (ent_init (&state, &opts), SR_OK);
  CU_ASSERT_EQUAL (ent_admit (&state, &request, clk_s (1)).reason,
                   RSN_NOT_READY);
  ent_release (&request);
  ent_configure (&state, model_new ());
  CU_ASSERT_EQUAL (ent_admit (&state, &request, clk_s (1)).reason,
                   RSN_UNKNOWN_SERVICE);
  ent_release (&request);
  request.path = "/read/";
  CU_ASSERT_EQUAL (ent_admit (&state, &request, clk_s (2)).reason,
                   RSN_DEADLINE_QUEUED);
  ent_release (&request);
  ent_fini (&state);
}

/* Guards against calls that are taken for requests of callers until the first
   answer to one of them.  */
static void
test_route_told (void)
{
  struct ent_request request;

  begin ();
  request = admit ("/place/1", ENT_GO);
  CU_ASSERT_FALSE (request.inner);
  ent_learn_route (&state, request.route_id, true);
  ent_release (&request);
  request = admit ("/place/1", ENT_GO);
  CU_ASSERT_TRUE (request.inner);
  ent_release (&request);
  ent_fini (&state);
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
