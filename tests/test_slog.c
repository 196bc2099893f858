#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "core/clk.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tests/suite.h"
#include "wire/expo.h"
#include "wire/nodehdr.h"

static char output[65536];

/* Reads what the pipe FD holds into OUTPUT; returns its length in bytes.  */
static size_t
read_output (int fd)
{
  ssize_t len = read (fd, output, sizeof output - 1);

  len = len > 0 ? len : 0;
  output[len] = '\0';
  return (size_t)len;
}

/* Guards against log lines that a program cannot split into key=value
   fields.  */
static void
test_line_format (void)
{
  int pipe_fds[2];

  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  slog_set_fd (pipe_fds[1]);
  slog (SLOG_WARNING, "request refused id=%s reason=%s", "a.b", "draining");
  slog (SLOG_INFO, "words only");
  read_output (pipe_fds[0]);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (output, " severity=warning program=sycamorerudder node=- "
                      "msg=\"request refused\" "
                      "id=a.b reason=draining\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "msg=\"words only\"\n"));
  CU_ASSERT_EQUAL (strncmp (output, "time=", 5), 0);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Guards against a severity limit that writes all lines or none.  */
static void
test_severity_limit (void)
{
  int pipe_fds[2];

  CU_ASSERT_EQUAL (slog_severity_from_name ("notice"), SLOG_NOTICE);
  CU_ASSERT_EQUAL (slog_severity_from_name ("loud"), -1);
  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  slog_set_fd (pipe_fds[1]);
  slog_set_severity_max (SLOG_WARNING);
  slog (SLOG_NOTICE, "left out");
  slog (SLOG_WARNING, "written");
  slog_set_severity_max (SLOG_INFO);
  read_output (pipe_fds[0]);
  CU_ASSERT_PTR_NULL (strstr (output, "left out"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "written"));
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Guards against a task that blocks in slog() because the reader of the log
   has stopped reading, and against lines that are dropped without a count in
   the log.  */
static void
test_stalled_reader (void)
{
  uint64_t dropped_before = slog_dropped_count ();
  int pipe_fds[2];
  clk_us start;

  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  CU_ASSERT_EQUAL (fcntl (pipe_fds[1], F_SETPIPE_SZ, 16384), 16384);
  memset (output, 'x', sizeof output);
  CU_ASSERT_EQUAL (write (pipe_fds[1], output, 16384), 16384);
  slog_set_fd (pipe_fds[1]);
  start = clk_now ();
  for (int i = 0; i < 20000; i++)
    slog (SLOG_NOTICE, "flood number=%d", i);
  CU_ASSERT_TRUE (clk_now () - start < clk_s (2));
  CU_ASSERT_TRUE (slog_dropped_count () - dropped_before >= 20000);
  read_output (pipe_fds[0]);
  usleep (1100000);
  slog (SLOG_NOTICE, "another kind");
  read_output (pipe_fds[0]);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (output, "msg=\"log lines left out\" count="));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "msg=\"another kind\""));
  slog_set_fd (STDOUT_FILENO);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Guards against a line that is dropped because another message is logged too
   often.  */
static void
test_rate_limit_by_message (void)
{
  int pipe_fds[2];

  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  slog_set_fd (pipe_fds[1]);
  for (int i = 0; i < 500; i++)
    slog (SLOG_INFO, "common number=%d", i);
  slog (SLOG_INFO, "rare");
  read_output (pipe_fds[0]);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "msg=\"rare\""));
  CU_ASSERT_PTR_NULL (strstr (output, "number=499"));
  slog_set_fd (STDOUT_FILENO);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Guards against histogram buckets that miss a value or are not cumulative. */
static void
test_histogram_buckets (void)
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

/* Guards against header fields between nodes that decode to other values than
   were encoded, and against malformed ones that decode.  */
static void
test_node_fields (void)
{
  struct nodehdr_request request = { .service = "marks",
                                     .importance = 80,
                                     .timeout_ms = 900,
                                     .target_ms = 700,
                                     .timeout_used_fraction = 55,
                                     .route_id = 0xfedcba9876543210u,
                                     .may_have_run = true,
                                     .internal = true };
  struct nodehdr_answer answer = { .outcome = NODEHDR_NOT_RUN,
                                   .reason = REASON_DRAINING,
                                   .retry_after_ms = 1,
                                   .internal_queue_wait_us = 2,
                                   .downstream_queue_wait_us = 3,
                                   .queue_wait_us = 4,
                                   .fan_out = 5,
                                   .load = 6,
                                   .internal = true,
                                   .downstream_queue_wait_age_ms = 7 };
  struct nodehdr_request decoded_request = { 0 };
  struct nodehdr_answer decoded_answer = { 0 };
  char field[NODEHDR_TEXT_BYTES];
  char reencoded[NODEHDR_TEXT_BYTES];

  nodehdr_encode_request (&request, field);
  CU_ASSERT_EQUAL (nodehdr_decode_request (field, &decoded_request), 0);
  nodehdr_encode_request (&decoded_request, reencoded);
  CU_ASSERT_STRING_EQUAL (field, reencoded);
  CU_ASSERT_TRUE (decoded_request.route_id == request.route_id
                  && decoded_request.may_have_run
                  && !decoded_request.idempotent);
  nodehdr_encode_answer (&answer, field);
  CU_ASSERT_EQUAL (nodehdr_decode_answer (field, &decoded_answer), 0);
  nodehdr_encode_answer (&decoded_answer, reencoded);
  CU_ASSERT_STRING_EQUAL (field, reencoded);
  CU_ASSERT_TRUE (decoded_answer.load == 6 && decoded_answer.internal);
  CU_ASSERT_NOT_EQUAL (nodehdr_decode_request ("marks 1 2", &decoded_request),
                       0);
  CU_ASSERT_NOT_EQUAL (
      nodehdr_decode_answer ("9 0 0 0 0 0 0 0 0", &decoded_answer), 0);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "line format", test_line_format },
          { "severity limit", test_severity_limit },
          { "stalled reader does not block", test_stalled_reader },
          { "rate limit by message", test_rate_limit_by_message },
          { "histogram buckets", test_histogram_buckets },
          { "header fields between nodes", test_node_fields },
          { NULL, NULL } };

  return suite_run ("slog", tests);
}
