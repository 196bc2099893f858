#include <stdlib.h>
#include <string.h>

#include "controllers/split.h"
#include "core/route.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static struct route_entry *
add_route (struct route_table *table, const char *name, const char *host,
           const char *prefix)
{
  struct route_entry *route = calloc (1, sizeof *route);

  snprintf (route->name, sizeof route->name, "%s", name);
  snprintf (route->host, sizeof route->host, "%s", host);
  snprintf (route->prefix, sizeof route->prefix, "%s", prefix);
  list_init (&route->targets);
  route_add_entry (table, route);
  return route;
}

/* Guards against a request that gets the route of another host, or of a
   shorter prefix although a longer one matches.  */
static void
test_route_selection (void)
{
  struct route_table *table = route_table_new ();

  add_route (table, "a", "Stock.example", "/coils/");
  add_route (table, "b", "stock.example", "/coils/red/");
  add_route (table, "c", "other.example", "/");
  CU_ASSERT_STRING_EQUAL (
      route_find (table, "stock.example", "/coils/7")->name, "a");
  CU_ASSERT_STRING_EQUAL (
      route_find (table, "STOCK.example:8080", "/coils/red/7?x=/")->name, "b");
  CU_ASSERT_STRING_EQUAL (
      route_find (table, "stock.example", "/coils/red")->name, "a");
  CU_ASSERT_PTR_NULL (route_find (table, "stock.example", "/coil?/coils/"));
  CU_ASSERT_PTR_NULL (route_find (table, "nobody.example", "/coils/"));
  CU_ASSERT_STRING_EQUAL (route_find (table, "other.example", "/x")->name,
                          "c");
  route_table_free (table);
}

/* Guards against traffic shares that differ from the weights, and against a
   reset that keeps positions of a route table that was freed.  */
static void
test_traffic_split (void)
{
  struct route_table *table = route_table_new ();
  struct route_service *a = route_add_service (table, "a");
  struct route_service *b = route_add_service (table, "b");
  struct route_service *unused = route_add_service (table, "none");
  struct route_entry *route = add_route (table, "r", "h", "/");
  struct split *split = split_new ();
  struct rng rng;
  int picked_a_count = 0;

  rng_seed (&rng, 3);
  route_add_target (route, a, 90);
  route_add_target (route, b, 10);
  route_add_target (route, unused, 0);
  for (int i = 0; i < 1000; i++)
    {
      struct route_service *service = split_pick (split, route, &rng);

      CU_ASSERT_PTR_NOT_EQUAL (service, unused);
      picked_a_count += service == a;
    }
  CU_ASSERT_TRUE (picked_a_count >= 899 && picked_a_count <= 901);
  for (int i = 0; i < 3; i++)
    {
      split_reset (split);
      CU_ASSERT_PTR_NOT_NULL (split_pick (split, route, &rng));
    }
  split_free (split);
  route_table_free (table);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "route selection", test_route_selection },
          { "traffic split follows the weights", test_traffic_split },
          { NULL, NULL } };

  return suite_run ("route", tests);
}
