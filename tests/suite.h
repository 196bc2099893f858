#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

/**
 * DOC: suite - runs one CUnit suite as a program
 */

#include <stdio.h>

#include <CUnit/Basic.h>

struct suite_test
{
  const char *name;
  CU_TestFunc run;
};

/* Asserts that COND holds, as CU_ASSERT_FATAL() does; on a failure prints
   SEED, which repeats the run.  A seeded run stops at the first failure,
   because later ones follow from it and CUnit needs quadratic time to list
   many.  */
#define SUITE_SEEDED(cond, seed)                                              \
  do                                                                          \
    {                                                                         \
      int suite_passed = (cond) ? 1 : 0;                                      \
                                                                              \
      if (!suite_passed)                                                      \
        printf (" seed=%llu", (unsigned long long)(seed));                    \
      CU_assertImplementation (suite_passed, __LINE__, #cond, __FILE__, "",   \
                               CU_TRUE);                                      \
    }                                                                         \
  while (0)

/* Runs TESTS, which end with an entry without a name.  Returns the exit status
   of the program: 0 when all have passed.  */
static inline int
suite_run (const char *name, const struct suite_test *tests)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite (name, NULL, NULL);
  if (suite == NULL)
    return 1;
  for (; tests->name != NULL; tests++)
    if (CU_add_test (suite, tests->name, tests->run) == NULL)
      return 1;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

#endif
