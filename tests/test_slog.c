#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "core/clk.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tests/suite.h"
#include "wire/expo.h"
#include "wire/nodehdr.h"

static char text[65536];

/* What has been written to the pipe.  */
static size_t
read_all (int fd)
{
  ssize_t len = read (fd, text, sizeof text - 1);

  len = len > 0 ? len : 0;
  text[len] = '\0';
  return (size_t)len;
}

/* Guards against lines that a program cannot take apart.  */
static void
test_format (void)
{
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  slog_set_fd (ends[1]);
  slog (SLOG_WARNING, "request refused id=%s reason=%s", "a.b", "draining");
  slog (SLOG_INFO, "words only");
  read_all (ends[0]);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, " severity=warning program=sycamorerudder node=- "
                    "msg=\"request refused\" "
                    "id=a.b reason=draining\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "msg=\"words only\"\n"));
  CU_ASSERT_EQUAL (strncmp (text, "time=", 5), 0);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a limit that lets everything through, or nothing.  */
static void
test_limit (void)
{
  int ends[2];

  CU_ASSERT_EQUAL (slog_severity_from_name ("notice"), SLOG_NOTICE);
  CU_ASSERT_EQUAL (slog_severity_from_name ("loud"), -1);
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  slog_set_fd (ends[1]);
  slog_set_severity_max (SLOG_WARNING);
  slog (SLOG_NOTICE, "left out");
  slog (SLOG_WARNING, "written");
  slog_set_severity_max (SLOG_INFO);
  read_all (ends[0]);
  CU_ASSERT_PTR_NULL (strstr (text, "left out"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "written"));
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a reader that does not read: no call waits, and the lines
   that are lost are counted and told.  */
static void
test_reader_stops (void)
{
  uint64_t before = slog_dropped_count ();
  int ends[2];
  clk_us from;

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  CU_ASSERT_EQUAL (fcntl (ends[1], F_SETPIPE_SZ, 16384), 16384);
  memset (text, 'x', sizeof text);
  CU_ASSERT_EQUAL (write (ends[1], text, 16384), 16384);
  slog_set_fd (ends[1]);
  from = clk_now ();
  for (int i = 0; i < 20000; i++)
    slog (SLOG_NOTICE, "flood number=%d", i);
  CU_ASSERT_TRUE (clk_now () - from < clk_s (2));
  CU_ASSERT_TRUE (slog_dropped_count () - before >= 20000);
  read_all (ends[0]);
  usleep (1100000);
  slog (SLOG_NOTICE, "another kind");
  read_all (ends[0]);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "msg=\"log lines left out\" count="));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "msg=\"another kind\""));
  slog_set_fd (STDOUT_FILENO);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a flood of one kind that hides another.  */
static void
test_kinds (void)
{
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  slog_set_fd (ends[1]);
  for (int i = 0; i < 500; i++)
    slog (SLOG_INFO, "common number=%d", i);
  slog (SLOG_INFO, "rare");
  read_all (ends[0]);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "msg=\"rare\""));
  CU_ASSERT_PTR_NULL (strstr (text, "number=499"));
  slog_set_fd (STDOUT_FILENO);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against buckets that lose a value or are not cumulative.  */
static void
test_histogram (void)
{
  struct buf out = { 0 };

  hist_add (HIST_CALL, 100);
  hist_add (HIST_CALL, 300);
  hist_add (HIST_CALL, clk_s (3600));
  expo_metrics (&out);
  buf_append (&out, "", 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      (char *)out.data, "rudder_call_seconds_bucket{le=\"0.000250\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      (char *)out.data, "rudder_call_seconds_bucket{le=\"0.000500\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr ((char *)out.data, "rudder_call_seconds_bucket{le=\"+Inf\"} 3"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr ((char *)out.data, "rudder_call_seconds_count 3\n"));
  buf_free (&out);
}

/* Guards against fields between nodes that are read otherwise than they were
   written.  */
static void
test_node_fields (void)
{
  struct nodehdr_request request = { .service = "marks",
                                     .importance = 80,
                                     .timeout_ms = 900,
                                     .target_ms = 700,
                                     .timeout_fraction = 55,
                                     .route_id = 0xfedcba9876543210u,
                                     .may_have_run = true,
                                     .internal = true };
  struct nodehdr_answer answer = { .outcome = NODEHDR_NOT_RUN,
                                   .reason = REASON_DRAINING,
                                   .retry_after_ms = 1,
                                   .internal_wait_us = 2,
                                   .downstream_wait_us = 3,
                                   .queue_us = 4,
                                   .fan_out = 5,
                                   .load = 6,
                                   .internal = true };
  struct nodehdr_request request_read = { 0 };
  struct nodehdr_answer answer_read = { 0 };
  char line[NODEHDR_TEXT_BYTES];
  char again[NODEHDR_TEXT_BYTES];

  nodehdr_encode_request (&request, line);
  CU_ASSERT_EQUAL (nodehdr_decode_request (line, &request_read), 0);
  nodehdr_encode_request (&request_read, again);
  CU_ASSERT_STRING_EQUAL (line, again);
  CU_ASSERT_TRUE (request_read.route_id == request.route_id
                  && request_read.may_have_run && !request_read.idempotent);
  nodehdr_encode_answer (&answer, line);
  CU_ASSERT_EQUAL (nodehdr_decode_answer (line, &answer_read), 0);
  nodehdr_encode_answer (&answer_read, again);
  CU_ASSERT_STRING_EQUAL (line, again);
  CU_ASSERT_TRUE (answer_read.load == 6 && answer_read.internal);
  CU_ASSERT_NOT_EQUAL (nodehdr_decode_request ("marks 1 2", &request_read), 0);
  CU_ASSERT_NOT_EQUAL (
      nodehdr_decode_answer ("9 0 0 0 0 0 0 0 0", &answer_read), 0);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "format", test_format },
          { "limit", test_limit },
          { "reader stops", test_reader_stops },
          { "kinds", test_kinds },
          { "histogram", test_histogram },
          { "fields between nodes", test_node_fields },
          { NULL, NULL } };

  return suite_run ("slog", tests);
}
