#ifndef TASKS_GATE_STATE_H
#define TASKS_GATE_STATE_H

/**
 * DOC: gate_state - records of the gate task, used by its files only
 */

#include <signal.h>

#include "core/err.h"
#include "core/htable.h"
#include "filters/admit.h"
#include "filters/dispatch.h"
#include "tasks/gate.h"
#include "tasks/hconn.h"
#include "wire/nodehdr.h"

/* Bytes of a request that are kept, so that it can be sent again.  */
#define GATE_REPLAY_BODY_BYTES_MAX (1024 * 1024)
/* Bytes of a request after which it is passed on before it is whole.  */
#define GATE_BODY_START_BYTES (256 * 1024)
/* Bytes of an answer that are held until it is whole, so that a broken one
   is not seen by the caller.  */
#define GATE_ANSWER_BUFFER_BYTES (64 * 1024)
#define GATE_TEXT_BYTES 512

struct gate;
struct gate_in;
struct gate_call;
struct gate_serve;
struct gate_out;

/* Who answers a request.  */
enum gate_kind
{
  GATE_KIND_NONE,    /* answered at once */
  GATE_KIND_PENDING, /* not looked at yet */
  GATE_KIND_CALL,
  GATE_KIND_SERVE,
  GATE_KIND_API,
};

/* A request that came in on a connection, and its answer.  */
struct gate_request
{
  struct list_node node; /* gate_in->requests, in the order of arrival */
  struct list_node api_node;
  struct gate *gate;
  struct gate_in *inbound; /* NULL after the connection has ended */
  enum gate_kind kind;
  union
  {
    struct gate_call *call;
    struct gate_serve *serve;
    uint64_t api_id; /* number of the request at the control task */
  } u;
  struct httpmsg_head head;
  clk_us arrived_at;
  struct buf body; /* what is kept of it */
  bool body_complete;
  /* answer */
  struct buf answer; /* not yet handed to the connection */
  bool head_written;
  bool chunked;
  bool answer_complete;
  bool close_after;
};

/* A connection that was accepted.  */
struct gate_in
{
  struct hconn conn;
  struct list_node node; /* gate->ins */
  struct gate *gate;
  enum gate_port port;
  struct list requests; /* struct gate_request */
  uint32_t request_count;
  bool starting_pending; /* what is held is being started */
  bool reading_body;     /* of the last request */
  bool no_more_requests; /* no further request is taken */
  bool ended;
  struct loop_timer timer;
};

/* One try of a call at one server.  */
struct gate_attempt
{
  struct list_node node; /* gate_call->attempts */
  struct gate_call *call;
  struct dispatch_service *service;
  struct lb_server *server;
  struct lb_watch watch;
  struct gate_out *outbound;
  clk_us started_at;
  clk_us head_received_at;
  uint64_t body_sent_bytes;
  bool body_done;
  struct httpmsg_head head;
  struct nodehdr_answer node_answer;
  uint64_t received_bytes; /* bytes of the answer */
  bool cross_domain;       /* the server is in another failure domain */
  bool has_head;
  bool forwarding; /* the answer is being passed on */
  struct buf answer_body;
};

/* A request at the node where it arrived.  */
struct gate_call
{
  struct list_node node; /* gate->calls */
  struct gate *gate;
  struct gate_request *request;
  struct dispatch_request dispatch;
  struct list attempts; /* struct gate_attempt */
  bool started;
  bool may_have_run;
  enum reason_refusal reason; /* of the last failure */
  uint32_t retry_after_ms;
  uint32_t attempt_count;
  struct loop_timer timer; /* deadline, or the next attempt */
  clk_us retry_at;         /* 0: no attempt is due */
};

/* A request at the node beside the server.  */
struct gate_serve
{
  struct list_node node; /* gate->serves */
  struct gate *gate;
  struct gate_request *request;
  struct nodehdr_request node_request;
  struct admit_request admit;
  struct gate_out *outbound;
  uint64_t body_sent_bytes;
  bool body_done;
  bool admitted;       /* the chain has been run */
  bool running;        /* holds a slot */
  bool server_refused; /* by the server, which has not run it */
  bool has_head;
  int answer_status; /* of the server's answer */
  clk_us dispatched_at;
  struct loop_timer overdue_timer; /* while it runs */
};

enum gate_out_state
{
  GATE_OUT_IDLE,
  GATE_OUT_ATTEMPT,
  GATE_OUT_SERVE,
  GATE_OUT_PROBE, /* asks the own server for its health */
};

/* Connections to one address.  */
struct gate_pool
{
  struct htable_node node; /* gate->pools */
  char address[MEMBER_ADDRESS_BYTES];
  bool to_server;
  struct list idle; /* struct gate_out, last used first */
  uint32_t open_count;
};

/* A connection that was dialled.  */
struct gate_out
{
  struct hconn conn;
  struct list_node node; /* gate_pool->idle while idle */
  struct gate *gate;
  struct gate_pool *pool;
  enum gate_out_state state;
  union
  {
    struct gate_attempt *attempt;
    struct gate_serve *serve;
  } user;
  struct loop_timer timer; /* dialling, then idle */
  clk_us idle_since;
  clk_us idle_max;           /* from Keep-Alive */
  uint32_t mismatched_count; /* answers to other requests */
  bool mismatched;           /* the answer that is being read is one */
  bool answer_complete;
  bool reusable; /* may be used again after this answer */
};

/* What this node adds to the head of a request that it passes on.  */
struct gate_added_fields
{
  const char *caller_service; /* service beside which the request arrived */
  clk_us time_left;       /* for which the caller of the request still waits */
  const char *extra_name; /* one more field */
  const char *extra_value;
};

struct gate_listener
{
  struct loop_io io;
  struct loop_timer timer;
  struct gate *gate;
  enum gate_port port;
  bool open;
};

/* Steps of a stop, in their order.  */
enum gate_stop_step
{
  GATE_STOP_ANNOUNCE, /* other nodes are told */
  GATE_STOP_REFUSE,   /* nothing more is run at the own server */
  GATE_STOP_CLOSE,    /* no new request is taken */
  GATE_STOP_WITHDRAW, /* what waits at other nodes is withdrawn */
  GATE_STOP_GIVE_UP,  /* what is unfinished is given up */
  GATE_STOP_END,
  GATE_STOP_STEP_COUNT
};

struct gate_stop
{
  clk_us due[GATE_STOP_STEP_COUNT];
  clk_us close_idle_at;
  enum gate_stop_step next; /* the next step */
};

struct gate
{
  struct gate_opts opts;
  struct loop *loop;
  struct inbox *inbox;
  struct inbox *peer;
  struct inbox *control;
  struct gate_listener listeners[GATE_PORT_COUNT];
  struct dispatch_state dispatch;
  struct admit_state admit;
  struct list inbound; /* struct gate_in */
  struct list calls;   /* struct gate_call */
  struct list serves;  /* struct gate_serve */
  struct htable pools; /* struct gate_pool */
  struct list
      api_requests; /* struct gate_request that wait for the control task */
  uint64_t next_api_id;
  bool config_confirmed; /* the configuration, by a quorum */
  bool probe_done;       /* the own server was asked, or need not be */
  struct gate_out *probe;
  char node_port[16]; /* of other nodes; equal on all */
  struct loop_timer tick_timer;
  struct loop_timer admission_timer;
  bool admission_running;
  volatile sig_atomic_t stop_requested;
  volatile sig_atomic_t reload_requested;
  bool stopping;
  struct gate_stop stop;
  clk_us traffic_logged_at; /* when the counters were last logged */
  int exit_status;
};

/* gate_listen.c */
int gate_listen (struct gate *gate);

/* gate_in.c */
/* Takes over an accepted socket.  */
void gate_in_open (struct gate *gate, enum gate_port port, int fd);
/* The request takes more of its body.  */
void gate_in_resume_body (struct gate_request *request);
/* Removes the requests that are through, and hands the next one's answer to
   the connection.  */
void gate_in_flush_answers (struct gate_in *in);
/* Ends the connection with what it still carries.  */
void gate_in_close (struct gate_in *in, bool reset);
void gate_in_close_idle (struct gate *gate);
/* The id that the caller gave the request.  */
const char *gate_request_id (const struct gate_request *request);

/* gate_answer.c */
/* Begins an answer; LINES are fields that end with "\r\n" each.  */
void gate_answer (struct gate_request *request, int status, const void *lines,
                  size_t lines_len, int64_t body_len);
void gate_answer_body (struct gate_request *request, const uint8_t *data,
                       size_t len);
void gate_answer_end (struct gate_request *request);
/* The answer cannot be completed: the caller sees it broken off.  */
void gate_answer_abort (struct gate_request *request);
/* Whole answer of this node.  */
void gate_answer_own (struct gate_request *request, int status,
                      const char *lines, const char *type, const char *text,
                      size_t len);
bool gate_answer_full (const struct gate_request *request);

/* gate_pool.c */
struct gate_pool *gate_pool_get (struct gate *gate, const char *address,
                                 bool to_server);
/* Frees a pool that has no connection; servers come back at other
   addresses.  */
void gate_pool_free_unused (struct gate *gate, struct gate_pool *pool);

/* gate_out.c */
/* A connection for one request, or NULL.  FRESH: not one that was idle for
   long.  */
struct gate_out *gate_out_acquire (struct gate *gate, const char *address,
                                   bool to_server, bool fresh);
/* The request has ended; KEEP: the connection may carry another one.  */
void gate_out_release (struct gate_out *out, bool keep);
/* Writes the head of a request.  */
void gate_out_write_request (struct gate_out *out,
                             const struct gate_request *request,
                             const struct gate_added_fields *fields);
/* Writes the part of a request's body after *SENT that fits; sets *DONE once
   all of it has been written.  */
void gate_out_write_body (struct gate_out *out, struct gate_request *request,
                          uint64_t *sent, bool *done);

/* gate_call.c */
void gate_call_free (struct gate_call *call);
/* An attempt has failed: moves on, waits, or gives up.  */
void gate_call_handle_attempt_failure (struct gate_call *call,
                                       const struct dispatch_failure *failure);
void gate_call_begin (struct gate_request *request);
void gate_call_forward_body (struct gate_call *call);
void gate_call_cancel (struct gate_call *call);
/* Ends a call whose answer has begun and cannot be completed.  */
void gate_call_abort (struct gate_call *call);
/* Asks other nodes to refuse what waits there; what runs goes on.  */
void gate_call_withdraw_all (struct gate *gate);
/* Answers all that is unfinished, so that the answers behind it on the same
   connections get out.  */
void gate_call_give_up_all (struct gate *gate);
void gate_call_resume_answer (struct gate_call *call);

/* gate_attempt.c */
/* Tries the server that was chosen.  */
void gate_attempt_start (struct gate_call *call);
/* Nobody waits for the attempt any more.  */
void gate_attempt_cancel (struct gate_attempt *attempt);
int gate_attempt_handle_head (struct gate_attempt *attempt,
                              struct httpmsg_head *head);
int gate_attempt_handle_body (struct gate_attempt *attempt,
                              const uint8_t *data, size_t len);
void gate_attempt_handle_end (struct gate_attempt *attempt);
void gate_attempt_handle_drained (struct gate_attempt *attempt);
void gate_attempt_fail (struct gate_attempt *attempt,
                        enum reason_refusal reason, enum reason_run run);

/* gate_serve.c */
void gate_serve_begin (struct gate_request *request);
void gate_serve_forward_body (struct gate_serve *serve);
void gate_serve_cancel (struct gate_serve *serve);
void gate_serve_withdraw (struct gate_serve *serve);
int gate_serve_handle_head (struct gate_serve *serve,
                            struct httpmsg_head *head);
int gate_serve_handle_body (struct gate_serve *serve, const uint8_t *data,
                            size_t len);
void gate_serve_handle_end (struct gate_serve *serve);
void gate_serve_handle_drained (struct gate_serve *serve);
void gate_serve_fail (struct gate_serve *serve, enum reason_refusal reason,
                      enum reason_run run);
void gate_serve_resume_answer (struct gate_serve *serve);
void gate_serve_run_admission (struct gate *gate);
/* Refuses all that wait for a slot.  */
void gate_serve_refuse_waiting (struct gate *gate, enum reason_refusal reason);
double gate_downstream_wait_us (struct gate *gate);

/* gate_api.c */
void gate_api_begin (struct gate_request *request);
void gate_api_run (struct gate_request *request);
void gate_api_handle_reply (struct gate *gate, struct msg_admin_reply *reply);
void gate_handle_backend_change (struct gate *gate,
                                 enum backend_change change);
void gate_mark_backend_lost (struct gate *gate, const char *why);
void gate_report_backend (struct gate *gate);

/* gate_probe.c */
void gate_probe_start (struct gate *gate);
int gate_probe_handle_head (struct gate *gate, struct httpmsg_head *head);
void gate_probe_handle_end (struct gate *gate);

/* gate_stop.c */
void gate_stop_begin (struct gate *gate);
/* Carries out the steps that are due; returns whether the process may end.  */
bool gate_stop_run (struct gate *gate, clk_us now);
bool gate_stop_done (const struct gate *gate, enum gate_stop_step step);

/* gate.c */
bool gate_ready (const struct gate *gate);

#endif
