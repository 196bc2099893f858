#include <string.h>

#include "tests/suite.h"
#include "wire/tracestate.h"

/* Guards against a hop id that is read from inside the member of another
   vendor: the calls of that request would count as those of another one.  */
static void
test_find (void)
{
  CU_ASSERT_PTR_NULL (tracestate_find (""));
  CU_ASSERT_PTR_NULL (tracestate_find ("a=rudder=00,b=1"));
  CU_ASSERT_PTR_NULL (tracestate_find ("norudder=00"));
  CU_ASSERT_PTR_NULL (tracestate_find (" ,,"));
  CU_ASSERT_STRING_EQUAL (tracestate_find ("rudder=17"), "17");
  CU_ASSERT_STRING_EQUAL (tracestate_find ("a=rudder=00, \trudder=17,b=1"),
                          "17,b=1");
}

/* Guards against members of other vendors that are lost, cut or repeated.  */
static void
test_append_others (void)
{
  char out[32] = "rudder=17";

  tracestate_append_others ("rudder=16, a=rudder=1 ,,b=2", out, sizeof out);
  CU_ASSERT_STRING_EQUAL (out, "rudder=17,a=rudder=1 ,b=2");
  strcpy (out, "rudder=17");
  tracestate_append_others ("a=1,b=00000000000000000000", out, sizeof out);
  CU_ASSERT_STRING_EQUAL (out, "rudder=17,a=1");
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "member of this system", test_find },
          { "members of other vendors", test_append_others },
          { NULL, NULL } };

  return suite_run ("tracestate", tests);
}
