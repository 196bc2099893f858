#ifndef PROGRAMS_FAKE_STATE_H
#define PROGRAMS_FAKE_STATE_H

/**
 * DOC: fake_state - internal state of the fake backend server
 *
 * One thread runs the HTTP server (fake_server), the queue of requests
 * (fake_work), child calls and announcements.  A request is owned by the
 * connection on which it arrived.
 */

#include <libwebsockets.h>
#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"
#include "core/rng.h"
#include "programs/fake_options.h"
#include "programs/tool_answer.h"
#include "programs/tool_client.h"

#define FAKE_TRACEPARENT_BYTES 64
#define FAKE_REQUEST_ID_BYTES 80
#define FAKE_TRACESTATE_BYTES 256
#define FAKE_METHOD_BYTES 16

/* How the server handles a request.  */
enum fake_action_kind
{
  FAKE_ACTION_ANSWER,
  FAKE_ACTION_CRASH,
  FAKE_ACTION_TRUNCATE,
  FAKE_ACTION_CORRUPT,
  FAKE_ACTION_LATE,
  FAKE_ACTION_SILENT,
  FAKE_ACTION_REFUSE,
};

struct fake_action
{
  enum fake_action_kind kind;
  union
  {
    uint64_t delay_us;  /* FAKE_ACTION_LATE */
    size_t truncate_at; /* FAKE_ACTION_TRUNCATE, in bytes */
  } u;
};

enum fake_phase
{
  FAKE_READING,
  FAKE_QUEUED,
  FAKE_RUNNING,
  FAKE_CALLING, /* child call in progress */
  FAKE_ANSWERING,
  FAKE_SILENT,
};

/* What the decoder of a chunked body expects next.  */
enum fake_chunk_state
{
  FAKE_CHUNK_SIZE,
  FAKE_CHUNK_DATA,
  FAKE_CHUNK_DATA_END,
  FAKE_CHUNK_TRAILER,
  FAKE_CHUNK_DONE,
};

struct fake_state;

struct fake_request
{
  struct list_node node; /* in queue while FAKE_QUEUED */
  struct fake_state *fake;
  struct lws *wsi;
  enum fake_phase phase;
  struct fake_action action;
  char method[FAKE_METHOD_BYTES];
  struct tool_answer_echo echo;
  char request_id[FAKE_REQUEST_ID_BYTES]; /* value of --id-field, echoed */
  char traceparent[FAKE_TRACEPARENT_BYTES];
  char tracestate[FAKE_TRACESTATE_BYTES];
  uint64_t timeout_ms; /* 0: none */
  clk_us deadline;
  lws_sorted_usec_list_t work_timer;
  lws_sorted_usec_list_t deadline_timer;
  struct tool_client_slot *child;
  struct tool_buf body;
  bool chunked;
  enum fake_chunk_state chunk_state;
  char chunk_line[64];
  size_t chunk_line_len;
  size_t chunk_remaining;
  int status;
  struct tool_buf answer;
  bool head_sent;
  size_t sent_bytes;
};

/* Reported load, which lags behind the actual one.  */
struct fake_report
{
  double utilization;
  clk_us updated_at;
};

struct fake_announce
{
  lws_sorted_usec_list_t timer;
  bool request_pending;
  bool withdrawn; /* DELETE has ended, or there is no node */
  clk_us withdrawn_at;
};

struct fake_state
{
  struct fake_options options;
  struct lws_context *context;
  struct tool_client_pool client;
  struct rng rng;
  clk_us started;
  struct list queue; /* struct fake_request */
  size_t slots_in_use;
  size_t open_requests; /* queued, running or being answered */
  bool slow;
  bool leaving;
  int journal_fd; /* -1: none */
  struct fake_report report;
  struct fake_announce announce;
};

#endif
