#ifndef TASKS_GATE_STATE_H
#define TASKS_GATE_STATE_H

/**
 * DOC: gate_state - records of the gate task, used by its files only
 */

#include <signal.h>

#include "core/err.h"
#include "core/hash.h"
#include "filters/beside.h"
#include "filters/entry.h"
#include "tasks/gate.h"
#include "tasks/hconn.h"
#include "wire/nodehdr.h"

/* Bytes of a request that are kept, so that it can be sent again.  */
#define GAT_KEEP_BYTES (1024 * 1024)
/* Bytes of a request after which it is passed on before it is whole.  */
#define GAT_START_BYTES (256 * 1024)
/* Bytes of an answer that are held until it is whole, so that a broken one
   is not seen by the caller.  */
#define GAT_HOLD_BYTES (64 * 1024)
#define GAT_TEXT_BYTES 512

struct gate;
struct gat_in;
struct gat_call;
struct gat_serve;
struct gat_out;

/* Who answers a request.  */
enum gat_kind
{
  GAT_KIND_NONE, /* answered at once */
  GAT_KIND_HELD, /* not looked at yet */
  GAT_KIND_CALL,
  GAT_KIND_SERVE,
  GAT_KIND_API,
};

/* A request that came in on a connection, and its answer.  */
struct gat_request
{
  struct lst_node node; /* gat_in->requests, in the order of arrival */
  struct lst_node api_node;
  struct gate *gate;
  struct gat_in *in; /* NULL after the connection has ended */
  enum gat_kind kind;
  union
  {
    struct gat_call *call;
    struct gat_serve *serve;
    uint64_t api; /* number of the request at the control task */
  } u;
  struct hm_head head;
  clk_us arrived;
  struct buf body; /* what is kept of it */
  bool body_whole;
  /* answer */
  struct buf answer; /* not yet handed to the connection */
  bool head_done;
  bool chunked;
  bool answer_whole;
  bool close_after;
};

/* A connection that was accepted.  */
struct gat_in
{
  struct hcn conn;
  struct lst_node node; /* gate->ins */
  struct gate *gate;
  enum gat_port port;
  struct lst requests; /* struct gat_request */
  uint32_t request_count;
  bool starting;     /* what is held is being started */
  bool reading_body; /* of the last request */
  bool last;         /* no further request is taken */
  bool ended;
  struct lop_timer timer;
};

/* One try of a call at one server.  */
struct gat_attempt
{
  struct lst_node node; /* gat_call->attempts */
  struct gat_call *call;
  struct ent_service *service;
  struct chs_server *server;
  struct chs_watch watch;
  struct gat_out *out;
  clk_us started;
  clk_us head_at;
  uint64_t body_sent;
  bool body_done;
  struct hm_head head;
  struct nh_answer told;
  uint64_t received; /* bytes of the answer */
  bool far;          /* the server is in another failure domain */
  bool has_head;
  bool passing; /* the answer is being passed on */
  struct buf answer;
};

/* A request at the node where it arrived.  */
struct gat_call
{
  struct lst_node node; /* gate->calls */
  struct gate *gate;
  struct gat_request *request;
  struct ent_request ent;
  struct lst attempts; /* struct gat_attempt */
  bool started;
  bool may_have_run;
  enum rsn_refusal reason; /* of the last failure */
  uint32_t retry_after_ms;
  uint32_t attempt_count;
  struct lop_timer timer; /* deadline, or the next attempt */
  clk_us again_at;        /* 0: no attempt is due */
};

/* A request at the node beside the server.  */
struct gat_serve
{
  struct lst_node node; /* gate->serves */
  struct gate *gate;
  struct gat_request *request;
  struct nh_request told;
  struct bsd_request bsd;
  struct gat_out *out;
  uint64_t body_sent;
  bool body_done;
  bool admitted; /* the chain has been run */
  bool running;  /* holds a slot */
  bool refused;  /* by the server, which has not run it */
  bool has_head;
  int status; /* of the server's answer */
  clk_us dispatched;
  struct lop_timer overdue; /* while it runs */
};

enum gat_out_state
{
  GAT_OUT_IDLE,
  GAT_OUT_ATTEMPT,
  GAT_OUT_SERVE,
  GAT_OUT_PROBE, /* asks the own server for its health */
};

/* Connections to one address.  */
struct gat_pool
{
  struct hsh_node node; /* gate->pools */
  char address[MEM_ADDRESS_BYTES];
  bool to_server;
  struct lst idle; /* struct gat_out, last used first */
  uint32_t open;
};

/* A connection that was dialled.  */
struct gat_out
{
  struct hcn conn;
  struct lst_node node; /* gat_pool->idle while idle */
  struct gate *gate;
  struct gat_pool *pool;
  enum gat_out_state state;
  union
  {
    struct gat_attempt *attempt;
    struct gat_serve *serve;
  } user;
  struct lop_timer timer; /* dialling, then idle */
  clk_us idle_since;
  clk_us idle_most; /* from Keep-Alive */
  uint32_t strays;  /* answers to other requests */
  bool stray;       /* the answer that is being read is one */
  bool answered;
  bool keep; /* may be used again after this answer */
};

/* What this node adds to the head of a request that it passes on.  */
struct gat_fields
{
  const char *caller; /* service beside which the request arrived */
  clk_us wait;        /* for which the caller of the request still waits */
  const char *name;   /* one more field */
  const char *value;
};

struct gat_listener
{
  struct lop_io io;
  struct lop_timer timer;
  struct gate *gate;
  enum gat_port port;
  bool open;
};

/* Steps of a stop, in their order.  */
enum gat_stop_step
{
  GAT_STOP_ANNOUNCE, /* other nodes are told */
  GAT_STOP_REFUSE,   /* nothing more is run at the own server */
  GAT_STOP_CLOSE,    /* no new request is taken */
  GAT_STOP_WITHDRAW, /* what waits at other nodes is withdrawn */
  GAT_STOP_GIVE_UP,  /* what is unfinished is given up */
  GAT_STOP_END,
  GAT_STOP_STEPS
};

struct gat_stop
{
  clk_us due[GAT_STOP_STEPS];
  clk_us sweep_from;
  enum gat_stop_step done; /* the next step */
};

struct gate
{
  struct gat_opts opts;
  struct lop *loop;
  struct inb *inbox;
  struct inb *peer;
  struct inb *control;
  struct gat_listener listeners[GAT_PORT_COUNT];
  struct ent_state entry;
  struct bsd_state beside;
  struct lst ins;    /* struct gat_in */
  struct lst calls;  /* struct gat_call */
  struct lst serves; /* struct gat_serve */
  struct hsh pools;  /* struct gat_pool */
  struct lst apis;   /* struct gat_request that wait for the control task */
  uint64_t next_api;
  bool confirmed; /* the configuration, by a quorum */
  bool probed;    /* the own server was asked, or need not be */
  struct gat_out *probe;
  char request_port[16]; /* of other nodes; equal on all */
  struct lop_timer tick;
  struct lop_timer admission;
  bool running_admission;
  volatile sig_atomic_t stop_asked;
  volatile sig_atomic_t reload_asked;
  bool stopping;
  struct gat_stop stop;
  clk_us summed_at; /* when the counters were last logged */
  int exit_status;
};

/* gate_listen.c */
int gat_listen (struct gate *gate);

/* gate_in.c */
/* Takes over an accepted socket.  */
void gat_in_open (struct gate *gate, enum gat_port port, int fd);
/* The request takes more of its body.  */
void gat_body_room (struct gat_request *request);
/* Removes the requests that are through, and hands the next one's answer to
   the connection.  */
void gat_in_advance (struct gat_in *in);
/* Ends the connection with what it still carries.  */
void gat_in_end (struct gat_in *in, bool reset);
void gat_in_sweep (struct gate *gate);
/* The id that the caller gave the request.  */
const char *gat_id (const struct gat_request *request);

/* gate_answer.c */
/* Begins an answer; LINES are fields that end with "\r\n" each.  */
void gat_answer (struct gat_request *request, int status, const void *lines,
                 size_t lines_len, int64_t body_len);
void gat_answer_body (struct gat_request *request, const uint8_t *data,
                      size_t len);
void gat_answer_end (struct gat_request *request);
/* The answer cannot be completed: the caller sees it broken off.  */
void gat_answer_break (struct gat_request *request);
/* Whole answer of this node.  */
void gat_answer_own (struct gat_request *request, int status,
                     const char *lines, const char *type, const char *text,
                     size_t len);
bool gat_answer_full (const struct gat_request *request);

/* gate_pool.c */
struct gat_pool *gat_pool_get (struct gate *gate, const char *address,
                               bool to_server);
/* Frees a pool that has no connection; servers come back at other
   addresses.  */
void gat_pool_drop (struct gate *gate, struct gat_pool *pool);

/* gate_out.c */
/* A connection for one request, or NULL.  FRESH: not one that was idle for
   long.  */
struct gat_out *gat_out_take (struct gate *gate, const char *address,
                              bool to_server, bool fresh);
/* The request has ended; KEEP: the connection may carry another one.  */
void gat_out_give (struct gat_out *out, bool keep);
/* Writes the head of a request.  */
void gat_out_request (struct gat_out *out, const struct gat_request *request,
                      const struct gat_fields *fields);
/* Writes the part of a request's body after *SENT that fits; sets *DONE once
   all of it has been written.  */
void gat_out_body (struct gat_out *out, struct gat_request *request,
                   uint64_t *sent, bool *done);

/* gate_call.c */
void gat_call_free (struct gat_call *call);
/* An attempt has failed: moves on, waits, or gives up.  */
void gat_call_failed (struct gat_call *call,
                      const struct ent_failure *failure);
void gat_call_head (struct gat_request *request);
void gat_call_body (struct gat_call *call);
void gat_call_gone (struct gat_call *call);
/* Ends a call whose answer has begun and cannot be completed.  */
void gat_call_break (struct gat_call *call);
/* Asks other nodes to refuse what waits there; what runs goes on.  */
void gat_call_withdraw_all (struct gate *gate);
/* Answers all that is unfinished, so that the answers behind it on the same
   connections get out.  */
void gat_call_give_up_all (struct gate *gate);
void gat_call_room (struct gat_call *call);

/* gate_attempt.c */
/* Tries the server that was chosen.  */
void gat_attempt_start (struct gat_call *call);
/* Nobody waits for the attempt any more.  */
void gat_attempt_drop (struct gat_attempt *attempt);
int gat_attempt_head (struct gat_attempt *attempt, struct hm_head *head);
int gat_attempt_body (struct gat_attempt *attempt, const uint8_t *data,
                      size_t len);
void gat_attempt_whole (struct gat_attempt *attempt);
void gat_attempt_drained (struct gat_attempt *attempt);
void gat_attempt_lost (struct gat_attempt *attempt, enum rsn_refusal reason,
                       enum rsn_run run);

/* gate_serve.c */
void gat_serve_head (struct gat_request *request);
void gat_serve_body (struct gat_serve *serve);
void gat_serve_gone (struct gat_serve *serve);
void gat_serve_withdraw (struct gat_serve *serve);
int gat_serve_answer_head (struct gat_serve *serve, struct hm_head *head);
int gat_serve_answer_body (struct gat_serve *serve, const uint8_t *data,
                           size_t len);
void gat_serve_answer_whole (struct gat_serve *serve);
void gat_serve_drained (struct gat_serve *serve);
void gat_serve_lost (struct gat_serve *serve, enum rsn_refusal reason,
                     enum rsn_run run);
void gat_serve_room (struct gat_serve *serve);
void gat_serve_run (struct gate *gate);
/* Refuses all that wait for a slot.  */
void gat_serve_refuse_waiting (struct gate *gate, enum rsn_refusal reason);
double gat_below_pressure (struct gate *gate);

/* gate_api.c */
void gat_api_head (struct gat_request *request);
void gat_api_run (struct gat_request *request);
void gat_api_reply (struct gate *gate, struct msg_admin_reply *reply);
void gat_backend_changed (struct gate *gate, enum bkd_change change);
void gat_backend_lost (struct gate *gate, const char *why);
void gat_report_backend (struct gate *gate);

/* gate_probe.c */
void gat_probe_start (struct gate *gate);
int gat_probe_head (struct gate *gate, struct hm_head *head);
void gat_probe_over (struct gate *gate);

/* gate_stop.c */
void gat_stop_begin (struct gate *gate);
/* Carries out the steps that are due; returns whether the process may end.  */
bool gat_stop_run (struct gate *gate, clk_us now);
bool gat_stop_done (const struct gate *gate, enum gat_stop_step step);

/* gate.c */
bool gat_ready (const struct gate *gate);

#endif
