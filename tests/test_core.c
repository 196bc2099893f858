#include <string.h>

#include "core/list.h"
#include "core/model.h"
#include "core/reason.h"
#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

struct item
{
  struct list_node node;
  int value;
};

/* Guards against a list that loses or repeats nodes when the current node is
   removed during an iteration.  */
static void
test_list_remove_while_iterating (void)
{
  struct item items[4] = { 0 };
  struct list list;
  int sum = 0;

  list_init (&list);
  for (int i = 0; i < 4; i++)
    {
      items[i].value = i + 1;
      list_push_tail (&list, &items[i].node);
    }
  list_each (node, &list)
    {
      struct item *item = list_entry (node, struct item, node);

      sum += item->value;
      if (item->value % 2 == 0)
        list_remove (node);
    }
  CU_ASSERT_EQUAL (sum, 10);
  CU_ASSERT_PTR_EQUAL (list_first (&list), &items[0].node);
  CU_ASSERT_PTR_EQUAL (list_last (&list), &items[2].node);
  CU_ASSERT_FALSE (list_is_linked (&items[1].node));
}

/* Guards against seeded runs that cannot be repeated, because the generator
   gives other values for the same seed.  */
static void
test_rng_repeats_with_seed (void)
{
  struct rng a;
  struct rng b;

  rng_seed (&a, 42);
  rng_seed (&b, 42);
  for (int i = 0; i < 100; i++)
    {
      uint32_t value = rng_below (&a, 10);

      CU_ASSERT_TRUE (value < 10);
      CU_ASSERT_EQUAL (value, rng_below (&b, 10));
    }
}

/* Guards against a refusal reason without a name or proxy error, or with an
   HTTP status below 400.  */
static void
test_reasons_are_complete (void)
{
  for (int i = REASON_NONE + 1; i < REASON_COUNT; i++)
    {
      CU_ASSERT_PTR_NOT_NULL (reason_name ((enum reason_refusal)i));
      CU_ASSERT_TRUE (reason_http_status ((enum reason_refusal)i) >= 400);
      CU_ASSERT_TRUE (strlen (reason_proxy_error ((enum reason_refusal)i))
                      > 0);
    }
}

/* Guards against a request that gets the kind of a shorter path prefix
   although a longer one matches.  */
static void
test_longest_prefix_selects_kind (void)
{
  struct model_service service = { .name = "stock" };
  struct model_kind root = { .method = "GET", .path_prefix = "/" };
  struct model_kind coils = { .method = "GET", .path_prefix = "/coils" };

  list_init (&service.kinds);
  list_push_tail (&service.kinds, &root.node);
  list_push_tail (&service.kinds, &coils.node);
  CU_ASSERT_PTR_EQUAL (model_find_kind (&service, "GET", "/coils/7"), &coils);
  CU_ASSERT_PTR_EQUAL (model_find_kind (&service, "GET", "/rope"), &root);
  CU_ASSERT_PTR_NULL (model_find_kind (&service, "POST", "/rope"));
}

/* Guards against error codes without a text.  */
static void
test_error_texts (void)
{
  for (int error = SR_EPERM; error <= SR_OK; error++)
    CU_ASSERT_STRING_NOT_EQUAL (sr_strerror (error), "unknown error");
  CU_ASSERT_STRING_EQUAL (sr_strerror (-1000), "unknown error");
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "list remove while iterating", test_list_remove_while_iterating },
          { "rng repeats with its seed", test_rng_repeats_with_seed },
          { "reasons are complete", test_reasons_are_complete },
          { "longest prefix selects the kind",
            test_longest_prefix_selects_kind },
          { "error texts", test_error_texts },
          { NULL, NULL } };

  return suite_run ("core", tests);
}
