#include <stdio.h>

#include "log/places.h"
#include "tests/suite.h"

/* Guards against replicas of one region that count as several, and against an
   address that keeps the place of the replica that had it before.  */
static void
test_places (void)
{
  struct places *places = places_new ();
  struct place a;
  struct place b;
  struct place c;
  struct place other;

  CU_ASSERT_FALSE (places_find (places, "a1", &a));
  places_set_domain (places, "a1", "a");
  places_set_domain (places, "a2", "a");
  places_set_domain (places, "b1", "b");
  places_set_domain (places, "c1", "c");
  CU_ASSERT_TRUE (places_find (places, "a1", &a));
  CU_ASSERT_TRUE (places_find (places, "a2", &other));
  CU_ASSERT_TRUE (places_find (places, "b1", &b));
  CU_ASSERT_TRUE (places_find (places, "c1", &c));
  CU_ASSERT (a.domain == other.domain && a.region == other.region);
  CU_ASSERT (a.domain != b.domain && a.region != b.region);
  /* The regions may come after the addresses.  */
  places_set_region (places, "a", "east");
  places_set_region (places, "b", "east");
  places_set_region (places, "c", "west");
  CU_ASSERT_TRUE (places_find (places, "a1", &a));
  CU_ASSERT_TRUE (places_find (places, "b1", &b));
  CU_ASSERT_TRUE (places_find (places, "c1", &c));
  CU_ASSERT (a.domain != b.domain && a.region == b.region);
  CU_ASSERT (a.region != c.region);
  places_set_domain (places, "a1", "c");
  CU_ASSERT_TRUE (places_find (places, "a1", &a));
  CU_ASSERT (a.domain == c.domain && a.region == c.region);
  places_free (places);
}

/* Guards against memory that grows with each replica that is replaced.  */
static void
test_many_addresses (void)
{
  struct places *places = places_new ();
  struct place place;
  char name[32];

  for (unsigned i = 0; i < PLACES_ADDRESSES_MAX; i++)
    {
      snprintf (name, sizeof name, "r%u", i);
      places_set_domain (places, name, "a");
    }
  places_set_domain (places, "r0", "b");
  places_set_domain (places, "new", "a");
  CU_ASSERT_TRUE (places_find (places, "new", &place));
  CU_ASSERT_TRUE (places_find (places, "r0", &place));
  CU_ASSERT_FALSE (places_find (places, "r1", &place));
  CU_ASSERT_TRUE (places_find (places, "r2", &place));
  places_free (places);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "failure domains and regions", test_places },
          { "the oldest address gives way", test_many_addresses },
          { NULL, NULL } };

  return suite_run ("places", tests);
}
