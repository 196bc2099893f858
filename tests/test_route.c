#include <stdlib.h>
#include <string.h>

#include "controllers/split.h"
#include "core/route.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static struct rte_route *
add_route (struct rte_table *table, const char *name, const char *host,
           const char *prefix)
{
  struct rte_route *route = calloc (1, sizeof *route);

  snprintf (route->name, sizeof route->name, "%s", name);
  snprintf (route->host, sizeof route->host, "%s", host);
  snprintf (route->prefix, sizeof route->prefix, "%s", prefix);
  lst_init (&route->targets);
  rte_add_route (table, route);
  return route;
}

/* Guards against a request that takes the route of another host, or a shorter
   prefix than the one that fits.  */
static void
test_selection (void)
{
  struct rte_table *table = rte_new ();

  add_route (table, "a", "Stock.example", "/coils/");
  add_route (table, "b", "stock.example", "/coils/red/");
  add_route (table, "c", "other.example", "/");
  CU_ASSERT_STRING_EQUAL (rte_find (table, "stock.example", "/coils/7")->name,
                          "a");
  CU_ASSERT_STRING_EQUAL (
      rte_find (table, "STOCK.example:8080", "/coils/red/7?x=/")->name, "b");
  CU_ASSERT_STRING_EQUAL (
      rte_find (table, "stock.example", "/coils/red")->name, "a");
  CU_ASSERT_PTR_NULL (rte_find (table, "stock.example", "/coil?/coils/"));
  CU_ASSERT_PTR_NULL (rte_find (table, "nobody.example", "/coils/"));
  CU_ASSERT_STRING_EQUAL (rte_find (table, "other.example", "/x")->name, "c");
  rte_free (table);
}

/* Guards against shares that differ from the weights, and against a reset
   that leaves the positions of a table that is gone.  */
static void
test_split (void)
{
  struct rte_table *table = rte_new ();
  struct rte_service *a = rte_add_service (table, "a");
  struct rte_service *b = rte_add_service (table, "b");
  struct rte_service *none = rte_add_service (table, "none");
  struct rte_route *route = add_route (table, "r", "h", "/");
  struct spl *split = spl_new ();
  struct rng rng;
  int picked_a = 0;

  rng_seed (&rng, 3);
  rte_add_target (route, a, 90);
  rte_add_target (route, b, 10);
  rte_add_target (route, none, 0);
  for (int i = 0; i < 1000; i++)
    {
      struct rte_service *service = spl_pick (split, route, &rng);

      CU_ASSERT_PTR_NOT_EQUAL (service, none);
      picked_a += service == a;
    }
  CU_ASSERT_TRUE (picked_a >= 899 && picked_a <= 901);
  for (int i = 0; i < 3; i++)
    {
      spl_reset (split);
      CU_ASSERT_PTR_NOT_NULL (spl_pick (split, route, &rng));
    }
  spl_free (split);
  rte_free (table);
}

int
main (void)
{
  static const struct suite_test tests[] = { { "selection", test_selection },
                                             { "split", test_split },
                                             { NULL, NULL } };

  return suite_run ("route", tests);
}
