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

#define FAKE_TRACE_BYTES 64
#define FAKE_ID_BYTES 80
#define FAKE_STATE_BYTES 256
#define FAKE_METHOD_BYTES 16

/* What the server does with a request.  */
enum fake_act_kind
{
  FAKE_ACT_ANSWER,
  FAKE_ACT_CRASH,
  FAKE_ACT_TRUNCATE,
  FAKE_ACT_CORRUPT,
  FAKE_ACT_LATE,
  FAKE_ACT_SILENT,
};

struct fake_act
{
  enum fake_act_kind kind;
  union
  {
    uint64_t late_us; /* FAKE_ACT_LATE */
    size_t cut_at;    /* FAKE_ACT_TRUNCATE, set with the answer */
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
enum fake_chunk
{
  FAKE_CHUNK_SIZE,
  FAKE_CHUNK_DATA,
  FAKE_CHUNK_DATA_END,
  FAKE_CHUNK_TRAILER,
  FAKE_CHUNK_DONE,
};

struct fake;

struct fake_request
{
  struct list_node node; /* in queue while FAKE_QUEUED */
  struct fake *fake;
  struct lws *wsi;
  enum fake_phase phase;
  struct fake_act act;
  char method[FAKE_METHOD_BYTES];
  struct tool_answer_facts facts;
  char id[FAKE_ID_BYTES]; /* answers repeat it */
  char trace[FAKE_TRACE_BYTES];
  char state[FAKE_STATE_BYTES];
  uint64_t timeout_ms; /* 0: none */
  clk_us deadline;
  lws_sorted_usec_list_t work_timer;
  lws_sorted_usec_list_t deadline_timer;
  struct tool_client_slot *child;
  struct tool_buf body;
  bool chunked;
  enum fake_chunk chunk;
  char chunk_line[64];
  size_t chunk_line_len;
  size_t chunk_left;
  int status;
  struct tool_buf answer;
  bool head_sent;
  size_t sent;
};

/* Load report that follows the load with a lag.  */
struct fake_report
{
  double shown;
  clk_us shown_at;
};

struct fake_announce
{
  lws_sorted_usec_list_t timer;
  bool busy;
  bool left; /* the node has answered the DELETE, or could not be reached */
  clk_us left_at;
};

struct fake
{
  struct fake_options options;
  struct lws_context *context;
  struct tool_client client;
  struct rng rng;
  clk_us started;
  struct list queue; /* struct fake_request */
  size_t busy;       /* slots in use */
  size_t open;       /* requests that will be answered */
  bool slow;
  bool leaving;
  int journal_fd; /* -1: none */
  struct fake_report report;
  struct fake_announce announce;
};

#endif
