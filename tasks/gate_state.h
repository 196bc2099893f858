#ifndef TASKS_GATE_STATE_H
#define TASKS_GATE_STATE_H

/**
 * DOC: gate_state - data structures and internal functions of the gate task
 *
 * A request that arrives from a caller is a call: this node chooses a server
 * and forwards the request to the node on the machine of that server, which
 * may be this node itself.  A request that arrives from a node is a serve:
 * this node admits it and forwards it to the local backend server.  An answer
 * is the HTTP response to a request.
 */

#include <signal.h>

#include "controllers/carried.h"
#include "controllers/held.h"
#include "core/err.h"
#include "core/htable.h"
#include "filters/admit.h"
#include "filters/dispatch.h"
#include "tasks/gate.h"
#include "tasks/hconn.h"
#include "wire/nodehdr.h"

/* A request body is buffered up to this size so that a failed attempt can be
   retried.  */
#define GATE_REPLAY_BODY_BYTES_MAX (1024 * 1024)
/* Request ids that the connections to the backend server remember together. */
#define GATE_CARRIED_IDS_MAX 16384
/* Time for which they are remembered at least, until a configuration with its
   timeouts is present.  */
#define GATE_CARRIED_RETENTION_US clk_s (10)
/* A longer request body is forwarded before all of it has been received.  */
#define GATE_BODY_START_BYTES (256 * 1024)
/* An answer body up to this size is buffered until it is complete, so that a
   truncated one can be retried and does not reach the caller.  */
#define GATE_ANSWER_BUFFER_BYTES (64 * 1024)
/* Buffer for the header fields, or the body, of an answer made by this node.
 */
#define GATE_TEXT_BYTES 512

struct gate;
struct gate_in;
struct gate_call;
struct gate_serve;
struct gate_out;

/* Which part of the gate answers a request.  */
enum gate_request_kind
{
  GATE_KIND_NONE,    /* answered or being started; owns no state in @u */
  GATE_KIND_PENDING, /* pipelined beyond GATE_PIPELINE_MAX; not started */
  GATE_KIND_CALL,    /* forwarded to a node */
  GATE_KIND_SERVE,   /* forwarded to the local backend server */
  GATE_KIND_API,     /* heartbeats, configuration, readiness and metrics */
};

/* A request on an inbound connection, and its answer.  */
struct gate_request
{
  struct list_node node;     /* gate_in->requests, in the order of arrival */
  struct list_node api_node; /* gate->api_requests */
  struct gate *gate;
  struct gate_in *inbound; /* NULL once the request is removed from it */
  enum gate_request_kind kind;
  union
  {
    struct gate_call *call;
    struct gate_serve *serve;
    uint64_t api_id; /* request id in messages to the control task */
  } u;
  struct httpmsg_head head;
  clk_us arrived_at;
  struct buf body; /* received bytes that are still needed */
  bool body_complete;
  /* answer */
  struct buf answer; /* bytes not yet moved to the connection */
  bool head_written;
  bool chunked;
  bool answer_complete;
  bool close_after; /* close the connection after the answer */
};

/* The last answer of the backend server that was written to a connection of
   another node, for the log.  */
struct gate_passed
{
  char id[HTTPMSG_VALUE_BYTES]; /* of the request; empty before the first */
  int status;
  uint64_t connection; /* serial of the connection to the server */
  clk_us at;
};

/* An inbound connection.  */
struct gate_in
{
  struct hconn conn;
  struct list_node node; /* gate->inbound */
  struct gate *gate;
  enum gate_port port;
  struct held_item held;
  struct gate_passed passed; /* last answer on a connection of a node */
  struct list requests;      /* struct gate_request in order of arrival */
  uint32_t request_count;
  bool starting_pending;   /* in gate_in_start_pending() */
  bool reading_body;       /* of the last request */
  bool no_more_requests;   /* further requests are not accepted */
  bool reading_ended;      /* nothing more is read */
  bool ended;              /* its requests are dropped, or about to be */
  struct loop_timer timer; /* header, body or idle timeout */
};

/* One attempt of a call at one server.  */
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
  bool body_done; /* all of the request body was written */
  struct httpmsg_head head;
  struct nodehdr_answer node_answer;
  uint64_t received_bytes; /* of the answer body */
  bool cross_domain;       /* the server is in another failure domain */
  bool has_head;
  bool forwarding; /* the head of the answer was written to the caller */
  struct buf answer_body; /* buffered while not @forwarding */
};

/* A request at the node where it arrived from a caller.  */
struct gate_call
{
  struct list_node node; /* gate->calls */
  struct gate *gate;
  struct gate_request *request;
  struct dispatch_request dispatch; /* state of the filter chain */
  struct list attempts;             /* struct gate_attempt */
  bool started;                     /* the first attempt was made */
  bool may_have_run;
  enum reason_refusal reason; /* of the failure to report to the caller */
  uint32_t retry_after_ms;
  uint32_t attempt_count;
  struct loop_timer timer; /* route deadline, or delayed retry */
  clk_us retry_at;         /* 0: no delayed retry is scheduled */
};

/* A request at the node on the machine of the chosen backend server.  */
struct gate_serve
{
  struct list_node node; /* gate->serves */
  struct gate *gate;
  struct gate_request *request;
  struct nodehdr_request node_request;
  struct admit_request admit; /* state of the filter chain */
  struct gate_out *outbound;
  uint64_t body_sent_bytes;
  bool body_done;      /* all of the request body was written */
  bool admitted;       /* the admission chain has been run */
  bool running;        /* holds a slot */
  bool server_refused; /* the backend server refused without running it */
  bool has_head;
  int answer_status; /* HTTP status of the backend server */
  clk_us dispatched_at;
  struct loop_timer overdue_timer; /* a while after the deadline */
};

/* What an outbound connection is used for.  */
enum gate_out_state
{
  GATE_OUT_IDLE,
  GATE_OUT_ATTEMPT,
  GATE_OUT_SERVE,
  GATE_OUT_PROBE, /* health check of the local backend server */
};

/* Outbound connections to one address.  */
struct gate_pool
{
  struct htable_node node; /* gate->pools */
  char address[MEMBER_ADDRESS_BYTES];
  bool to_server;      /* a backend server, not a node */
  struct list idle;    /* struct gate_out, last used first */
  uint32_t open_count; /* idle or in use */
};

/* An outbound connection.  */
struct gate_out
{
  struct hconn conn;
  struct list_node node; /* gate_pool->idle while idle */
  struct gate *gate;
  struct gate_pool *pool;
  uint64_t serial; /* unique in the process; identifies it in log lines */
  uint32_t request_count;      /* requests sent on it */
  struct carried_conn carried; /* of a connection to the backend server */
  enum gate_out_state state;
  union
  {
    struct gate_attempt *attempt;
    struct gate_serve *serve;
  } user;
  struct loop_timer timer; /* connect timeout, then idle timeout */
  clk_us idle_since;
  clk_us idle_max; /* from Keep-Alive or the default; 0: not reused */
  uint32_t mismatched_count; /* answers to other requests that were skipped
                                before the answer to the current one */
  bool mismatched;           /* the answer being read belongs to another */
  bool answer_complete;
  bool reusable; /* the answer permits keep-alive */
};

/* Health checks of the backend server after the start of the node.  */
struct gate_probe
{
  bool started;              /* the first one is sent, or none is needed */
  struct gate_out *outbound; /* connection of the one in progress, or NULL */
  /* Server that has failed the newest one, empty for none.  */
  char failed_id[API_ID_BYTES];
  /* Its newest heartbeat with the state "ready", which counts if the next
     check is passed; its id is empty when there is none.  */
  struct api_heartbeat held;
};

/* A request that ran at the backend server when its connection ended.  */
struct gate_crash_candidate
{
  struct list_node node; /* gate->crash_candidates */
  uint64_t fingerprint;
  clk_us dispatched_at;
  clk_us lost_at;
};

/* Header fields that this node adds to a request that it forwards.  */
struct gate_added_fields
{
  const char *caller_service; /* service of the node where it arrived */
  clk_us time_left;           /* until the caller's deadline */
  const char *extra_name;     /* another field */
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

/* Steps of a graceful shutdown, in order.  */
enum gate_stop_step
{
  GATE_STOP_ANNOUNCE, /* report the backend server as draining */
  GATE_STOP_REFUSE,   /* refuse requests for the local backend server */
  GATE_STOP_CLOSE,    /* refuse all new requests */
  GATE_STOP_WITHDRAW, /* withdraw requests queued at other nodes */
  GATE_STOP_GIVE_UP,  /* answer or abort the remaining calls */
  GATE_STOP_END,
  GATE_STOP_STEP_COUNT
};

struct gate_stop
{
  clk_us due[GATE_STOP_STEP_COUNT]; /* times of the steps */
  clk_us close_idle_at;
  enum gate_stop_step next;
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
  struct suspects suspects;
  struct list crash_candidates; /* struct gate_crash_candidate of the current
                                   server, by dispatch time */
  uint32_t crash_candidate_count;
  bool crash_marks_changed; /* since they were sent to the control task */
  struct list inbound;      /* struct gate_in */
  uint32_t inbound_count;
  struct list lingering;        /* struct hconn of inbound connections */
  struct held held;             /* what the inbound connections hold */
  clk_us held_trimmed_at;       /* last time that all bodies were trimmed */
  struct hconn_windows windows; /* of all connections */
  struct list calls;            /* struct gate_call */
  struct list serves;           /* struct gate_serve */
  struct htable pools;          /* struct gate_pool */
  uint64_t out_serial;          /* serial of the newest outbound connection */
  struct carried carried;       /* requests on connections to the server */
  /* struct gate_request awaiting a reply of the control task */
  struct list api_requests;
  uint64_t next_api_id;
  bool config_confirmed; /* a quorum has confirmed the configuration */
  struct gate_probe probe;
  char node_port[16]; /* port of GATE_PORT_NODES, the same on all nodes */
  struct loop_timer tick_timer;
  struct loop_timer admission_timer;
  bool admission_running;               /* in gate_serve_run_admission() */
  volatile sig_atomic_t stop_requested; /* set by signal handlers */
  volatile sig_atomic_t reload_requested;
  bool stopping;
  struct gate_stop stop;
  clk_us traffic_logged_at;
  int exit_status;
};

/* gate_listen.c */
/* Opens the listeners.  SR_OK, or SR_EIO after a log line.  */
int gate_listen (struct gate *gate);

/* gate_in.c */
/* Creates an inbound connection; takes over the accepted socket FD.  */
void gate_in_open (struct gate *gate, enum gate_port port, int fd);
/* Pauses reading while the body buffer of REQUEST is full, resumes it
   otherwise.  */
void gate_in_resume_body (struct gate_request *request);
/* Writes the answers that are next in order, removes requests that are
   complete, and starts pending ones.  */
void gate_in_flush_answers (struct gate_in *inbound);
/* Drops all requests and closes the connection; RESET sends a TCP reset.  */
void gate_in_close (struct gate_in *inbound, bool reset);
/* Closes the idle connections of callers: those without a request and without
   unsent bytes of an answer.  */
void gate_in_close_idle (struct gate *gate);
/* Refuses the request that is being received, which no server has got, or
   closes the connection.  */
void gate_in_give_way (struct gate_in *inbound);
/* Drops the requests that wait behind others of their connection, which is
   closed after the answers to these; the caller may send them again.  */
void gate_in_drop_pending (struct gate_in *inbound);
/* Whether bytes of an answer are unsent on any connection.  */
bool gate_in_has_unsent (const struct gate *gate);
/* Records that the answer of SERVE was written to its connection.  */
void gate_in_record_passed (const struct gate_serve *serve);
/* Request id sent by the caller, or "-".  */
const char *gate_request_id (const struct gate_request *request);

/* gate_held.c */
/* Initializes the account of what the inbound connections hold.  */
void gate_held_init (struct gate *gate);
/* Applies changed options of the gate.  */
void gate_held_reload (struct gate *gate);
/* Updates the account of a connection.  */
void gate_held_update (struct gate_in *inbound);
/* Makes room after INBOUND has grown; ends other connections, or INBOUND.  To
   be called with no request or connection in use by the caller.  */
void gate_held_make_room (struct gate_in *inbound);
/* Periodic work: ends connections that have stopped moving while too much is
   held.  */
void gate_held_tick (struct gate *gate);
/* Whether no more of the body of REQUEST is to be buffered.  */
bool gate_held_body_is_full (const struct gate_request *request);

/* gate_answer.c */
/**
 * gate_answer_begin() - write the head of an answer
 * @request: request without an answer so far
 * @status: HTTP status
 * @lines: header fields, each terminated by "\r\n"
 * @lines_len: bytes of @lines
 * @body_len: bytes of the body, or HTTPMSG_LENGTH_UNKNOWN
 */
void gate_answer_begin (struct gate_request *request, int status,
                        const void *lines, size_t lines_len, int64_t body_len);
/* Writes LEN bytes of the body.  */
void gate_answer_body (struct gate_request *request, const uint8_t *data,
                       size_t len);
/* Completes the answer of a request without a call or serve; may free
   REQUEST.  */
void gate_answer_end (struct gate_request *request);
/* Resets the connection, so that the incomplete answer is not taken for a
   complete one; frees REQUEST, and cancels what it owns.  */
void gate_answer_abort (struct gate_request *request);
/* Writes a complete answer generated by this node; TYPE is the Content-Type,
   TEXT the body of LEN bytes.  May free REQUEST.  */
void gate_answer_local (struct gate_request *request, int status,
                        const char *lines, const char *type, const char *text,
                        size_t len);
/* Pauses reading the answer from its source while too many of its bytes are
   unsent, resumes it otherwise.  To be called whenever bytes are added, were
   sent, or can be sent since the request is the first of its connection.  */
void gate_answer_update_reading (struct gate_request *request);

/* gate_pool.c */
/* Pool of ADDRESS; created if there is none.  */
struct gate_pool *gate_pool_get (struct gate *gate, const char *address,
                                 bool to_server);
/* Frees a pool without connections, because restarted servers appear at new
   addresses.  */
void gate_pool_free_unused (struct gate *gate, struct gate_pool *pool);

/* gate_out.c */
/* What a connection is needed for.  */
struct gate_out_opts
{
  const char *address;    /* IP:PORT */
  bool to_server;         /* a backend server, not a node, is at @address */
  bool fresh;             /* do not reuse a connection that was idle for longer
                             than GATE_FRESH_IDLE_US */
  bool replaceable;       /* the request can be sent again elsewhere if the
                             connection is silent */
  clk_us time_left;       /* until the deadline of the request */
  const char *request_id; /* of the request to be sent, may be empty */
};

/**
 * gate_out_acquire() - reuse an idle connection or open a new one
 * @gate: gate
 * @opts: what it is needed for
 *
 * A backend server may send an answer a second time, later, and the id in it
 * does not tell whether it belongs to the first or to the second sending of a
 * request.  So a connection to the server carries each id once, and a request
 * without an id is sent on a new connection.
 *
 * Return: a connection for one request, or NULL if connect() failed at once.
 */
struct gate_out *gate_out_acquire (struct gate *gate,
                                   const struct gate_out_opts *opts);
/* Whether REQUEST is short enough to be received without being read, so that
   only silence delays its acknowledgement.  */
bool gate_out_is_replaceable (const struct gate_request *request);
/* Returns the connection to its pool, or closes it if KEEP is false or the
   answer does not permit reuse.  */
void gate_out_release (struct gate_out *outbound, bool keep);
/* Pauses or resumes reading the answer.  */
void gate_out_pause_reading (struct gate_out *outbound, bool paused);
/* Writes the request line and header of REQUEST, with FIELDS added.  */
void gate_out_write_request (struct gate_out *outbound,
                             const struct gate_request *request,
                             const struct gate_added_fields *fields);
/* Writes the buffered request body from offset *SENT on unless the send buffer
   is full; sets *DONE once all of the body has been written.  */
void gate_out_write_body (struct gate_out *outbound,
                          struct gate_request *request, uint64_t *sent,
                          bool *done);

/* gate_call.c */
/* Cancels the attempts of the call, detaches it from its request and frees
   it.  */
void gate_call_free (struct gate_call *call);
/* Retries the call now or later, or refuses it.  */
void gate_call_handle_attempt_failure (struct gate_call *call,
                                       const struct dispatch_failure *failure);
/* Runs the dispatch filters on a request whose head has been received.  */
void gate_call_begin (struct gate_request *request);
/* Forwards the buffered request body; makes the first attempt once the body
   is complete or GATE_BODY_START_BYTES long.  */
void gate_call_forward_body (struct gate_call *call);
/* Drops body bytes that every attempt has sent if no more can be buffered.  */
void gate_call_trim_body (struct gate_call *call);
/* Refuses a call that has made no attempt, because memory is short.  */
void gate_call_give_way (struct gate_call *call);
/* Cancels the call because its inbound connection has ended.  */
void gate_call_cancel (struct gate_call *call);
/* Ends a call whose answer has begun and cannot be completed.  */
void gate_call_abort (struct gate_call *call);
/* Refuses the call for REASON, or aborts it if its answer has begun.  */
void gate_call_fail (struct gate_call *call, enum reason_refusal reason);
/* Half-closes the connections of attempts without an answer, so that other
   nodes refuse the requests that are still queued; running ones continue.  */
void gate_call_withdraw_all (struct gate *gate);
/* Refuses or aborts all calls, so that complete answers queued behind them on
   the same connections are sent.  */
void gate_call_give_up_all (struct gate *gate);
/* Pauses or resumes reading the answers of the attempts; called by
   gate_answer_update_reading() only.  */
void gate_call_pause_answer (struct gate_call *call, bool paused);

/* gate_attempt.c */
/* Sends the request to the node of the chosen server.  */
void gate_attempt_start (struct gate_call *call);
/* Closes the connection of the attempt, which cancels it at the other node and
   at the backend server.  */
void gate_attempt_cancel (struct gate_attempt *attempt);
/* Handle the answer of the other node.  Return SR_OK, or SR_EMALFORMED to fail
   the connection.  */
int gate_attempt_handle_head (struct gate_attempt *attempt,
                              struct httpmsg_head *head);
int gate_attempt_handle_body (struct gate_attempt *attempt,
                              const uint8_t *data, size_t len);
void gate_attempt_handle_end (struct gate_attempt *attempt);
void gate_attempt_handle_drained (struct gate_attempt *attempt);
/* Ends an attempt whose connection failed; RUN tells whether the request may
   have run.  */
void gate_attempt_fail (struct gate_attempt *attempt,
                        enum reason_refusal reason, enum reason_run run);

/* gate_serve.c */
/* Decodes the fields that the other node added to a request.  */
void gate_serve_begin (struct gate_request *request);
/* Forwards the buffered request body; runs the admission filters first, once
   the body is complete or GATE_BODY_START_BYTES long.  */
void gate_serve_forward_body (struct gate_serve *serve);
/* Drops body bytes that were sent if no more can be buffered.  */
void gate_serve_trim_body (struct gate_serve *serve);
/* Refuses a request that is not admitted yet, because memory is short.  */
void gate_serve_give_way (struct gate_serve *serve);
/* Cancels the request because its inbound connection has ended.  */
void gate_serve_cancel (struct gate_serve *serve);
/* Refuses the request if it is not running yet, because the other node has
   half-closed its connection.  */
void gate_serve_withdraw (struct gate_serve *serve);
/* Handle the answer of the backend server.  Return SR_OK, or SR_EMALFORMED to
   fail the connection.  */
int gate_serve_handle_head (struct gate_serve *serve,
                            struct httpmsg_head *head);
int gate_serve_handle_body (struct gate_serve *serve, const uint8_t *data,
                            size_t len);
void gate_serve_handle_end (struct gate_serve *serve);
void gate_serve_handle_drained (struct gate_serve *serve);
/* Ends a request that cannot be completed, for example because the connection
   to the backend server failed: refuses it for REASON, or aborts its answer
   if that has begun.  */
void gate_serve_fail (struct gate_serve *serve, enum reason_refusal reason,
                      enum reason_run run);
/* Pauses or resumes reading the answer of the backend server; called by
   gate_answer_update_reading() only.  */
void gate_serve_pause_answer (struct gate_serve *serve, bool paused);
/* Dispatches queued requests to free slots, and refuses those that the queue
   drops.  */
void gate_serve_run_admission (struct gate *gate);
/* Refuses all requests that wait for a slot.  */
void gate_serve_refuse_waiting (struct gate *gate, enum reason_refusal reason);

/* gate_api.c */
/* Marks a request whose head has been received as an API request.  */
void gate_api_begin (struct gate_request *request);
/* Decodes and answers an API request whose body is complete.  */
void gate_api_run (struct gate_request *request);
/* Answers the request that a reply of the control task belongs to.  */
void gate_api_handle_reply (struct gate *gate, struct msg_admin_reply *reply);
/* Applies a state change of the local backend server to admission and reports
   it to the control task.  */
void gate_handle_backend_change (struct gate *gate,
                                 enum backend_change change);
/* Marks the local backend server as lost; REASON is logged.  */
void gate_mark_backend_lost (struct gate *gate, const char *reason);
/* Sends the state of the local backend server to the control task.  */
void gate_report_backend (struct gate *gate);

/* gate_probe.c */
/* Starts the first health check once a configuration is present; does nothing
   if it was done or is not needed.  */
void gate_probe_start (struct gate *gate);
/* Whether HEARTBEAT contradicts a failed health check soon after the start of
   the node.  It is held back then, and applied if the server passes another
   check, which is started.  */
bool gate_probe_hold (struct gate *gate,
                      const struct api_heartbeat *heartbeat);
/* Handles the answer to a health check, and closes the connection, because the
   body is not needed and may be endless.  Returns SR_EAGAIN, so that no more
   of it is parsed.  */
int gate_probe_handle_head (struct gate *gate,
                            const struct httpmsg_head *head);

/* gate_crash.c: which requests crash the backend server */
int gate_crash_init (struct gate *gate);
void gate_crash_fini (struct gate *gate);
/* Fingerprint of REQUEST, which CALLER_SERVICE sends: over the body, or over
   the first GATE_BODY_START_BYTES of a long one.  To be called before any of
   the body is dropped.  */
uint64_t gate_crash_fingerprint (const struct gate_request *request,
                                 const char *caller_service);
/* Records that the connection of SERVE to the server has ended without an
   answer.  */
void gate_crash_add_candidate (struct gate_serve *serve);
/* Records that the server has answered SERVE: it is alive, and the request is
   harmless.  */
void gate_crash_record_answer (struct gate_serve *serve);
/* Marks the candidates, because their server is lost.  */
void gate_crash_confirm (struct gate *gate);
/* Imports marks of other nodes.  */
void gate_crash_import (struct gate *gate, const struct list *marks);
/* Periodic work: sends changed marks to the control task.  */
void gate_crash_tick (struct gate *gate, clk_us now);

/* gate_stop.c */
/* Starts a graceful shutdown.  */
void gate_stop_begin (struct gate *gate);
/* Carries out the steps that are due; returns whether the process may end.  */
bool gate_stop_run (struct gate *gate, clk_us now);
/* Whether STEP of a graceful shutdown has been carried out.  */
bool gate_stop_done (const struct gate *gate, enum gate_stop_step step);

/* gate.c */
/* Whether this node has a configuration and is not shutting down.  */
bool gate_is_ready (const struct gate *gate);

#endif
