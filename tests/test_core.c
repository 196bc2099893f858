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

/* Guards against a list that loses or repeats nodes when one is removed
   during a visit.  */
static void
test_list_remove_while_visiting (void)
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

/* Guards against random runs that do not repeat with their seed.  */
static void
test_rng_repeats (void)
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

/* Guards against reasons without a name or with a status that is no error. */
static void
test_reason_rows (void)
{
  for (int i = REASON_NONE + 1; i < REASON_COUNT; i++)
    {
      CU_ASSERT_PTR_NOT_NULL (reason_name ((enum reason_refusal)i));
      CU_ASSERT_TRUE (reason_http_status ((enum reason_refusal)i) >= 400);
      CU_ASSERT_TRUE (strlen (reason_proxy_error ((enum reason_refusal)i))
                      > 0);
    }
}

/* Guards against a kind with a short prefix taking the requests of one with
   a longer prefix.  */
static void
test_kind_longest_prefix (void)
{
  struct model_service service = { .name = "stock" };
  struct model_kind all = { .method = "GET", .path_prefix = "/" };
  struct model_kind coil = { .method = "GET", .path_prefix = "/coils" };

  list_init (&service.kinds);
  list_push_tail (&service.kinds, &all.node);
  list_push_tail (&service.kinds, &coil.node);
  CU_ASSERT_PTR_EQUAL (model_find_kind (&service, "GET", "/coils/7"), &coil);
  CU_ASSERT_PTR_EQUAL (model_find_kind (&service, "GET", "/rope"), &all);
  CU_ASSERT_PTR_NULL (model_find_kind (&service, "POST", "/rope"));
}

/* Guards against error numbers without a text.  */
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
      = { { "list remove while visiting", test_list_remove_while_visiting },
          { "rng repeats", test_rng_repeats },
          { "reason rows", test_reason_rows },
          { "kind longest prefix", test_kind_longest_prefix },
          { "error texts", test_error_texts },
          { NULL, NULL } };

  return suite_run ("core", tests);
}
