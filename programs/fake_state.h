#ifndef PROGRAMS_FAKE_STATE_H
#define PROGRAMS_FAKE_STATE_H

/**
 * DOC: fake - state of the fake backend server
 *
 * One thread runs everything: the HTTP server (fsv), the work queue (fwk),
 * child calls and announcements.  A request is owned by the connection that it
 * arrived on.
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

/* What the server does with a request.  */
enum fake_action_kind
{
  FAKE_ACTION_ANSWER,
  FAKE_ACTION_CRASH,
  FAKE_ACTION_TRUNCATE,
  FAKE_ACTION_CORRUPT,
  FAKE_ACTION_LATE,
  FAKE_ACTION_SILENT,
};

struct fake_action
{
  enum fake_action_kind kind;
  union
  {
    uint64_t delay_us;  /* FAKE_ACTION_LATE */
    size_t truncate_at; /* FAKE_ACTION_TRUNCATE, set with the answer */
  } u;
};

enum fake_phase
{
  FAKE_READING,
  FAKE_QUEUED,
  FAKE_RUNNING,
  FAKE_CALLING, /* waits for the child call */
  FAKE_ANSWERING,
  FAKE_SILENT,
};

/* Position in a chunked body.  */
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
  char request_id[FAKE_REQUEST_ID_BYTES]; /* answers repeat it */
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

/* Load report that follows the load with a lag.  */
struct fake_report
{
  double utilization;
  clk_us updated_at;
};

struct fake_announce
{
  lws_sorted_usec_list_t timer;
  bool request_pending;
  bool withdrawn; /* the node has answered the DELETE, or could not be reached
                   */
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
  size_t open_requests; /* requests that will be answered */
  bool slow;
  bool leaving;
  int journal_fd; /* -1: none */
  struct fake_report report;
  struct fake_announce announce;
};

#endif
