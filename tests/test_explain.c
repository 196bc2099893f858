#include <string.h>

#include "programs/ctl_explain.h"
#include "tests/suite.h"

static char output[8192];

static enum ctl_opts_exit_status
explain (const char *lines, const char *id)
{
  FILE *in = fmemopen ((void *)(uintptr_t)lines, strlen (lines), "r");
  FILE *out = fmemopen (output, sizeof output, "w");
  enum ctl_opts_exit_status status = ctl_explain_lines (in, id, out, stdout);

  fclose (out);
  fclose (in);
  return status;
}

/* Guards against a trace that contains lines of another request whose id
   begins with the same characters, or that is not sorted by time.  */
static void
test_trace (void)
{
  static const char lines[]
      = "time=10.020 severity=info program=p node=n-1 msg=\"request refused\" "
        "id=q7 reason=upstream-shed pressure_ms=90\n"
        "time=10.011 severity=info program=p node=n-2 msg=\"run refused\" "
        "id=q7 reason=upstream-shed running=4\n"
        "time=10.005 severity=info program=p node=n-1 msg=\"request refused\" "
        "id=q77 reason=malformed\n"
        "time=10.001 severity=info program=p node=n-3 msg=\"run cancelled\" "
        "id=q7.4.2 reason=caller-left\n";
  char *first;
  char *second;

  CU_ASSERT_EQUAL (explain (lines, "q7"), CTL_OPTS_EXIT_OK);
  CU_ASSERT_PTR_NULL (strstr (output, "malformed"));
  first = strstr (output, "n-3");
  second = strstr (output, "n-2");
  CU_ASSERT_TRUE (first != NULL && second != NULL && first < second);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "+0.010 s  n-2"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (output, "cause: upstream-shed: the downstream services"));
}

/* Guards against a cause that is not the reason of the refusal which the
   caller received, but that of a failed attempt or of a call.  Also: a missing
   route, and an id that no line mentions.  */
static void
test_causes (void)
{
  CU_ASSERT_EQUAL (explain ("time=1.000 node=a msg=\"attempt failed\" id=x "
                            "reason=peer-lost run=unknown\n"
                            "time=1.100 node=a msg=\"request refused\" id=x "
                            "reason=deadline-running\n"
                            "time=1.200 node=b msg=\"run cancelled\" id=x "
                            "reason=caller-left\n",
                            "x"),
                   CTL_OPTS_EXIT_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "cause: deadline-running:"));
  CU_ASSERT_EQUAL (explain ("time=1.0 node=a msg=\"request refused\" id=y "
                            "reason=unknown-service status=404\n",
                            "y"),
                   CTL_OPTS_EXIT_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "cause: unknown-service: no route"));
  CU_ASSERT_EQUAL (explain ("time=1.0 node=a msg=\"started\"\n", "y"),
                   CTL_OPTS_EXIT_FAILED);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "lines of one request, sorted by time", test_trace },
          { "cause of a refusal", test_causes },
          { NULL, NULL } };

  return suite_run ("explain", tests);
}
