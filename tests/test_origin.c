#include "controllers/origin.h"
#include "core/rng.h"
#include "tests/suite.h"

/* The service of each node of a deployment.  */
static const char *const node_services[]
    = { "search", "search", "search", "search", "orders", "orders",
        "orders", "sheets", "sheets", "sheets", "marks" };
#define NODES (sizeof node_services / sizeof node_services[0])

static void
set_nodes (struct origin *origins)
{
  CU_ASSERT_EQUAL (origin_init (origins), 0);
  origin_reset_nodes (origins);
  for (size_t i = 0; i < NODES; i++)
    origin_add_node (origins, node_services[i], false);
}

/* Calls of backend servers must not be classified as external, also when
   servers of two services make them.  */
static void
test_internal_route (void)
{
  struct origin origins;
  enum origin_kind kind = ORIGIN_EXTERNAL;

  set_nodes (&origins);
  for (int i = 0; i < 40; i++)
    {
      kind = origin_record_request (&origins, 1, i % 3 ? "orders" : "search",
                                    ORIGIN_EXTERNAL);
      if (i >= 10)
        CU_ASSERT_EQUAL (kind, ORIGIN_INTERNAL);
    }
  CU_ASSERT_EQUAL (kind, ORIGIN_INTERNAL);
  origin_fini (&origins);
}

/* Requests of callers must not be classified as internal, also when one
   service has a single node, or they would not be subject to the limits for
   external requests.  */
static void
test_external_route (void)
{
  uint32_t misclassified = 0;

  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct origin origins;
      struct rng rng;

      rng_seed (&rng, seed);
      set_nodes (&origins);
      for (int i = 0; i < 200; i++)
        {
          const char *service = node_services[rng_below (&rng, NODES)];
          enum origin_kind kind
              = origin_record_request (&origins, 1, service, ORIGIN_EXTERNAL);

          misclassified += i >= 20 && kind == ORIGIN_INTERNAL;
        }
      origin_fini (&origins);
    }
  /* One decision in a hundred.  */
  CU_ASSERT_TRUE (misclassified <= 200 * 180 / 100);
}

/* Guards against requests of callers that count as calls right after the start
   of a node, when only a few of them have arrived: they would go before all
   others.  */
static void
test_first_external_requests (void)
{
  uint32_t misclassified = 0;

  for (uint64_t seed = 1; seed <= 500; seed++)
    {
      struct origin origins;
      struct rng rng;

      rng_seed (&rng, seed);
      set_nodes (&origins);
      for (int i = 0; i < 20; i++)
        misclassified
            += origin_record_request (&origins, 1,
                                      node_services[rng_below (&rng, NODES)],
                                      ORIGIN_EXTERNAL)
               == ORIGIN_INTERNAL;
      origin_fini (&origins);
    }
  /* One decision in a hundred.  */
  CU_ASSERT_TRUE (misclassified <= 500 * 20 / 100);
}

/* Requests stay in their failure domain.  When a service has no node there,
   its nodes elsewhere send no requests to the servers here, and the requests
   of callers must not count as calls for that reason.  Calls must still count
   as such.  */
static void
test_domain_without_a_service (void)
{
  static const char *const near_services[] = { "search", "orders", "marks" };
  struct origin origins;
  struct rng rng;
  enum origin_kind call = ORIGIN_EXTERNAL;
  uint32_t misclassified = 0;

  rng_seed (&rng, 3);
  set_nodes (&origins);
  for (size_t i = 0; i < 3; i++)
    origin_add_node (&origins, near_services[i], true);
  for (int i = 0; i < 400; i++)
    {
      misclassified += i >= 20
                       && origin_record_request (
                              &origins, 1, near_services[rng_below (&rng, 3)],
                              ORIGIN_EXTERNAL)
                              == ORIGIN_INTERNAL;
      call = origin_record_request (&origins, 2, "sheets", ORIGIN_EXTERNAL);
    }
  CU_ASSERT_TRUE (misclassified <= 4);
  CU_ASSERT_EQUAL (call, ORIGIN_INTERNAL);
  origin_fini (&origins);
}

/* A node that has just started has counted no requests.  It must use the
   classification that other nodes report.  */
static void
test_reported (void)
{
  struct origin origins;

  set_nodes (&origins);
  CU_ASSERT_EQUAL (
      origin_record_request (&origins, 1, "orders", ORIGIN_INTERNAL),
      ORIGIN_INTERNAL);
  CU_ASSERT_EQUAL (
      origin_record_request (&origins, 2, "orders", ORIGIN_EXTERNAL),
      ORIGIN_EXTERNAL);
  origin_fini (&origins);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "route of backend servers is internal", test_internal_route },
          { "route of callers is external", test_external_route },
          { "first requests of callers", test_first_external_requests },
          { "failure domain without a service",
            test_domain_without_a_service },
          { "classification by other nodes", test_reported },
          { NULL, NULL } };

  return suite_run ("origin", tests);
}
