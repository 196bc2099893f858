#ifndef TASKS_FRONT_STATE_H
#define TASKS_FRONT_STATE_H

/**
 * DOC: front_state - internal structures and functions of the front task
 *
 * A call is a request on the node that received it from a caller (call side).
 * Each of its attempts is sent to one node, where it becomes a serve (serve
 * side).  An answer is the HTTP response.
 */

#include <libwebsockets.h>
#include <signal.h>

#include "controllers/held.h"
#include "core/buf.h"
#include "core/err.h"
#include "core/digest.h"
#include "filters/filter.h"
#include "tasks/front.h"
#include "wire/console.h"

/* Maximum body bytes kept to send a request again; also the bytes that are
   hashed.  */
#define FRONT_REPLAY_BODY_BYTES_MAX (256 * 1024)
/* Answer bytes buffered before the answer is written to the caller, so that an
   attempt that fails within a short answer can be retried.  */
#define FRONT_ANSWER_BUFFER_BYTES (32 * 1024)
/* The serve side reports an expired deadline; the call side waits this much
   longer for the report.  */
#define FRONT_DEADLINE_GRACE_US clk_ms (100)
#define FRONT_HASH_BUCKETS 1024
#define FRONT_URI_BYTES 8192
#define FRONT_HEADER_BYTES (16 * 1024)

/* Whose memory a struct front_held stands for.  */
enum front_held_kind
{
  FRONT_HELD_CONN,  /* struct front_conn */
  FRONT_HELD_SERVE, /* struct front_serve */
};

/* An item of the account of what is held for clients.  */
struct front_held
{
  struct held_item item;
  enum front_held_kind kind;
  size_t moved_bytes; /* since the last progress */
};

/* A connection of a caller or an operator, from its acceptance on.  */
struct front_conn
{
  struct front_held held;
  struct list_node closing_node; /* front->closing_conns */
  struct front *front;
  struct lws *wsi;
  struct front_call *call;                   /* or NULL */
  struct front_admin_request *admin_request; /* or NULL */
  bool closing;
  bool *freed; /* set when the record is freed, unless NULL */
};

enum front_call_phase
{
  FRONT_CALL_RECEIVING, /* reading the request body */
  FRONT_CALL_RUNNING,   /* waiting for attempts */
  FRONT_CALL_ANSWERING, /* writing the answer */
  FRONT_CALL_ENDED,     /* answer written; the connection is still open */
};

/* Answer as written to the caller.  */
struct front_call_answer
{
  int status;
  struct list fields;
  int64_t body_len;
  bool chunked;
  bool head_written;
  bool complete; /* all bytes have been received */
  bool aborted;  /* close the connection, because the answer is incomplete */
  struct buf body;
  uint64_t written; /* offset in the body */
};

/* Call side of a request from a caller, or of a child call from the backend
   server of this node.  */
struct front_call
{
  struct list_node node;
  struct front *front;
  struct front_conn *conn;
  struct lws *wsi;
  enum front_call_phase phase;
  struct filter_request req;
  char method[16];
  char path[FRONT_URI_BYTES];
  char caller[MSG_CALLER_BYTES];
  char idempotency_key[MSG_KEY_BYTES];
  char trace_id[64]; /* of the traceparent field */
  struct list fields;
  int64_t body_len;
  struct buf body;
  struct list attempts;
  struct front_attempt *winner; /* its answer is written to the caller */
  enum reason_refusal reason;   /* of the last failed attempt */
  enum reason_run run;
  uint32_t retry_after_ms;
  struct front_call_answer answer;
  lws_sorted_usec_list_t deadline_timer;
  lws_sorted_usec_list_t hedge_timer;
};

/* One attempt of a call at one backend server.  */
struct front_attempt
{
  struct list_node node;      /* call->attempts */
  struct list_node hash_node; /* front->attempt_buckets */
  struct front_call *call;
  struct filter_service *service;
  struct lb_server *server;
  struct lb_watch watch;
  struct msg_endpoint endpoint;
  uint64_t stream;
  uint32_t retry_allowance; /* passed on to the serve side */
  clk_us started_at;
  uint64_t body_sent_bytes; /* offset */
  uint64_t body_credit;     /* offset up to which bytes may be sent */
  uint32_t body_sequence;
  bool body_done;
  bool head_received;
  clk_us head_received_at;
  uint32_t answer_sequence;
  uint64_t answer_bytes;
  uint64_t answer_credited;
};

/* Serve side of a request, on the node of the chosen backend server.  */
struct front_serve
{
  struct list_node node;
  struct list_node hash_node;
  struct front_held held;
  struct front *front;
  struct msg_endpoint endpoint;
  uint64_t stream;
  struct filter_request req;
  char method[16];
  char *path;
  char caller[MSG_CALLER_BYTES];
  char idempotency_key[MSG_KEY_BYTES];
  struct list fields;
  uint8_t attempt_id[RNG_ID_BYTES];
  uint32_t retry_allowance;
  int64_t body_len;
  struct buf body;
  bool body_complete;
  uint32_t body_sequence;
  uint64_t body_credited;
  bool chain_started; /* the filter chain has been started */
  struct hop *hop;
  struct front_backend_conn *conn;
  bool sent_to_backend; /* bytes may have reached the backend server */
  bool redispatched;    /* sent again on a new connection */
  bool detached; /* cancelled by the call side; runs on for the record */
  bool head_sent;
  bool awaiting_record;        /* complete answer, waiting for its record */
  struct list_node probe_node; /* backend->probe_waiters */
  clk_us dispatched_at;
  struct buf answer; /* not sent yet because credit is missing */
  uint64_t answer_credit;
  uint32_t answer_sequence;
  bool answer_complete;
  uint64_t claim_request_id; /* pending proposal, 0 for none */
  int record_status;
  struct list record_fields;
  struct buf record_body;       /* recorded answer, or the one to record */
  enum reason_refusal refusal;  /* sent to the call side when the connection
                                   has ended, or after the probe */
  lws_sorted_usec_list_t timer; /* deadline, then the record */
  lws_sorted_usec_list_t retry_timer; /* claim poll, or silent connection */
};

/* One connection to the backend server.  It has a vhost of its own, so that
   libwebsockets does not share it with another request.  */
struct front_backend_conn
{
  struct list_node node;
  struct front *front;
  struct lws_vhost *vhost;
  char vhost_name[32];
  struct lws *wsi;
  struct lws *previous_wsi; /* handle of the previous request */
  struct front_serve *serve;
  bool reused;       /* opened by an earlier request */
  bool keep_alive;   /* stays open after the answer */
  clk_us idle_since; /* 0: not known to be connected */
  int64_t body_len;
  bool chunked;
  bool head_received;
  uint64_t received_bytes;  /* body bytes of the answer */
  uint64_t body_sent_bytes; /* body bytes of the request */
  bool paused;              /* reading waits for room in the answer buffer */
  /* During a read of the body: the buffer for it, and how far libwebsockets
     has consumed it, or its own buffer of bytes received before.  */
  char *read_buffer;
  char *read_position;
};

/* The backend server of this node.  */
struct front_backend
{
  char service[MODEL_NAME_BYTES];
  char address[MSG_ADDRESS_BYTES];
  char host[MSG_ADDRESS_BYTES];
  int port;
  uint32_t slots;
  uint32_t connections_max; /* declared by the backend server */
  clk_us last_announcement;
  bool leaving;     /* it announced its shutdown */
  struct list idle; /* struct front_backend_conn, most recently used first */
  struct list busy;
  uint32_t conn_count;
  uint32_t vhost_count;
  clk_us stalled_until;      /* no redispatch until then: the server itself is
                                silent */
  struct list probe_waiters; /* struct front_serve whose connections failed */
  struct lws_vhost *probe_vhost;
  bool probing;
  lws_sorted_usec_list_t probe_timer;
};

/* Reply that a request for the console waits for.  */
enum front_console_state
{
  FRONT_CONSOLE_NONE,
  FRONT_CONSOLE_PAGE,  /* the document in force */
  FRONT_CONSOLE_APPLY, /* the result of a change */
};

/* A request on the admin port.  */
struct front_admin_request
{
  struct list_node node;
  struct front *front;
  struct front_conn *conn;
  struct lws *wsi;
  uint64_t id; /* request number at the control task; 0: not sent */
  char method[16];
  char path[256];
  char query[512];
  char host[128];
  bool loopback;
  bool authorized;
  struct buf body;
  int status;
  const char *content_type;
  const char *content_disposition;
  uint64_t version;
  char *text;
  size_t len;
  size_t written;
  bool head_written;
  enum front_console_state console_state;
  bool same_origin; /* the form was sent by a page of this console */
  const char *content_security_policy;
  char *current_document; /* in force when the page is rendered */
  uint64_t current_version;
  struct console_change change;
};

struct front
{
  struct front_opts opts;
  struct lws_context *context;
  struct lws_vhost *listen_vhost;
  struct lws_vhost *admin_vhost;
  struct inbox *inbox;
  struct inbox *peer;
  struct inbox *control;
  struct filter_state state;
  struct front_backend backend;
  struct held held;
  uint64_t conn_bytes;       /* of a connection without a request */
  struct list closing_conns; /* struct front_conn */
  struct list calls;
  struct list serves;
  struct list admin_requests;
  struct list attempt_buckets[FRONT_HASH_BUCKETS];
  struct list serve_buckets[FRONT_HASH_BUCKETS];
  struct list local_messages; /* messages of this task to itself */
  struct list view; /* struct member_item, latest from the control task */
  uint64_t next_stream;
  uint64_t next_request_id;
  lws_sorted_usec_list_t tick_timer;
  lws_sorted_usec_list_t admission_timer;
  volatile sig_atomic_t stop_requests;
  bool stopping;
  bool stopped;
  clk_us stop_deadline;   /* end of the graceful shutdown at the latest */
  clk_us stop_not_before; /* time for other nodes to notice */
  int exit_status;
};

/* front.c: event loop, configuration and shutdown */
/* Sends MSG to another node, or queues it for this task when its endpoint is
   local.  Takes over MSG.  */
void front_send (struct front *front, struct msg *msg);
void front_report_backend (struct front *front);
/* Refuses waiting and new requests for the backend server.  */
void front_drain (struct front *front);
void front_configure_admission (struct front *front);
void front_send_crash_marks (struct front *front);
void front_apply_members (struct front *front);

/* front_held.c: memory that is held for clients, and who gives way */
void front_held_init (struct front *front);
/* Adds CONN or SERVE up again after what it holds has changed.  */
void front_held_update_conn (struct front_conn *conn);
void front_held_update_serve (struct front_serve *serve);
/* Records that LEN bytes came from the client or were written to it.  */
void front_held_record_bytes (struct front *front, struct front_held *held,
                              size_t len);
/* Records that the header of a request has come.  */
void front_held_begin_request (struct front_conn *conn);
/* Drops clients until the rest fits after HELD has grown; returns false when
   HELD itself was dropped, which frees a request of another node.  */
bool front_held_make_room (struct front *front, struct front_held *held);
/* Closes the connections that were dropped; not in a callback of
   libwebsockets.  */
void front_held_close_dropped (struct front *front);
/* Keeps the record of the connection of WSI, and refuses a connection for
   which there is no room.  Called first for each event of a listener's
   connections.  Returns the record if the event is to be handled, else NULL
   and in *RESULT what the callback returns.  USER is the data of the
   request.  */
struct front_conn *front_held_begin_event (struct lws *wsi,
                                           enum lws_callback_reasons reason,
                                           const void *user, int *result);

/* front_http.c: header fields of libwebsockets */
void front_http_copy_token (struct lws *wsi, enum lws_token_indexes token,
                            char *out, size_t size);
/* Copies the method and the percent-encoded path with its query.  Returns
   SR_OK, SR_EFULL or SR_EMALFORMED.  */
int front_http_read_method (struct lws *wsi, char *method, size_t size,
                            char *uri, size_t uri_size);
/* Returns the status of the answer, or SR_EMALFORMED if it is no status
   code.  */
int front_http_status (struct lws *wsi);
/* Returns the Content-Length, or MSG_LENGTH_UNKNOWN if missing or invalid.  */
int64_t front_http_content_length (struct lws *wsi);
/* Append the header fields that are forwarded; SR_EFULL when one is too
   long.  */
int front_http_read_request_fields (struct lws *wsi, const struct model *model,
                                    struct list *out);
int front_http_read_answer_fields (struct lws *wsi, const struct model *model,
                                   struct list *out);
/* Writes a field at *P; returns nonzero when it does not fit before END.  */
int front_http_add_field (struct lws *wsi, const char *name, const char *value,
                          unsigned char **p, unsigned char *end);
bool front_http_is_loopback (struct lws *wsi);

/* front_call.c: call side of a request */
int front_call_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                             void *user, void *in, size_t len);
/* WINNER: the answer of the attempt was being forwarded.  */
void front_call_handle_attempt_failure (struct front_call *call, bool winner,
                                        const struct msg_refuse *refuse);
/* Handles the head of an answer.  The first attempt with one becomes the
   winner and the others are cancelled; takes over the fields of MSG.  */
void front_call_handle_head (struct front_call *call,
                             struct front_attempt *attempt, struct msg *msg);
/* Handles body bytes of an answer; the last ones end ATTEMPT.  */
void front_call_handle_body (struct front_call *call,
                             struct front_attempt *attempt, struct msg *msg);
/* Cancels all attempts and answers with a refusal; does nothing once the
   answer is being written.  */
void front_call_refuse (struct front_call *call, enum reason_refusal reason,
                        enum reason_run run);
void front_call_trim_body (struct front_call *call);

/* front_request.c: identity of a request */
void front_request_read_identity (struct front_call *call, struct lws *wsi);

/* front_write.c: writing the answer to the caller */
/* Writes the head or the next bytes of the body; returns nonzero to close the
   connection.  */
int front_write_answer (struct front_call *call);

/* front_attempt.c: attempts of a call */
/* Sends the request to the node of SERVER.  */
void front_attempt_start (struct front_call *call, struct lb_server *server,
                          struct filter_service *service);
/* Sends as much of the request body as the credit allows.  */
void front_attempt_send_body (struct front_attempt *attempt);
/* Sends credit once enough of the answer is written to the caller.  */
void front_attempt_send_credit (struct front_attempt *attempt,
                                uint64_t written);
/* Handles a message of a stream from its serve side.  */
void front_attempt_handle_message (struct front *front, struct msg *msg);
/* Sends MSG_CANCEL to the serve side and frees the attempt.  */
void front_attempt_cancel (struct front_attempt *attempt);
/* TRAILER: NULL when the serve side sent none.  Frees the attempt.  */
void front_attempt_end (struct front_attempt *attempt, enum lb_result result,
                        const struct msg_trailer *trailer);
/* Fails all attempts at ENDPOINT.  */
void front_attempt_handle_peer_lost (struct front *front,
                                     const struct msg_endpoint *endpoint);
/* Returns NULL if no attempt has the stream.  */
struct front_attempt *front_attempt_find (struct front *front,
                                          uint64_t stream);

/* front_serve.c: serve side of a request */
/* Handles a message of a stream from its call side.  */
void front_serve_handle_message (struct front *front, struct msg *msg);
/* Cancels all requests from ENDPOINT.  */
void front_serve_handle_peer_lost (struct front *front,
                                   const struct msg_endpoint *endpoint);
/* Starts and refuses queued requests as the admission controller decides.  */
void front_serve_run_admission (struct front *front);
/* Refuses all started requests that were not sent to the backend server.  */
void front_serve_refuse_waiting (struct front *front,
                                 enum reason_refusal reason);
/* Sends a refusal to the call side and frees the request.  */
void front_serve_refuse (struct front_serve *serve, enum reason_refusal reason,
                         enum reason_run run);
/* Continues the filter chain and acts on its result.  */
void front_serve_run_chain (struct front_serve *serve);
/* Sends credit for forwarded body bytes, so that the call side can send
   more.  */
void front_serve_send_credit (struct front_serve *serve);
/* Acts on the result of a filter; may free SERVE.  */
void front_serve_handle_filter_result (struct front_serve *serve,
                                       const struct filter_result *result);
void front_serve_handle_timer (lws_sorted_usec_list_t *timer);
void front_serve_free (struct front_serve *serve);

/* front_answer.c: answer sent to the call side */
/* Sends the head of the answer.  Takes over FIELDS if the answer is to be
   recorded.  */
void front_answer_send_head (struct front_serve *serve, int status,
                             struct list *fields, int64_t body_len);
/* Appends bytes to the body and sends as many as the credit allows.  */
void front_answer_append (struct front_serve *serve, const void *data,
                          size_t len);
/* Handles the end of the answer from the backend server or from the record;
   may free SERVE.  */
void front_answer_complete (struct front_serve *serve);
/* Sends as much of the answer as the credit allows; frees the request after
   the end.  */
void front_answer_send (struct front_serve *serve);
/* Sets the load level and the unused retry allowance.  */
void front_answer_fill_trailer (struct front_serve *serve,
                                struct msg_trailer *trailer);
/* Creates a message to the call side.  */
struct msg *front_serve_new_msg (const struct front_serve *serve,
                                 enum msg_kind kind);
/* Whether the answer buffer is not full.  */
bool front_answer_has_room (const struct front_serve *serve);

/* front_claim.c: claims of non-idempotent requests */
/* Requests the claim unless a proposal is pending.  */
void front_claim_request (struct front_serve *serve);
/* Handles the result of a claim or of the record of an answer.  */
void front_claim_handle_result (struct front *front, struct msg *msg);
void front_claim_release (struct front_serve *serve);
void front_claim_record_answer (struct front_serve *serve);

/* front_backend.c: connection pool to the backend server */
int front_backend_lws_callback (struct lws *wsi,
                                enum lws_callback_reasons reason, void *user,
                                void *in, size_t len);
/* Sends the request on an idle connection, or on a new one if required or if
   NEW_CONNECTION.  Returns false when no connection is available.  */
bool front_backend_dispatch (struct front_serve *serve, bool new_connection);
/* Continues writing the request body after more of it has arrived.  */
void front_backend_resume_write (struct front_serve *serve);
/* Continues reading the answer once its buffer has room.  */
void front_backend_resume_read (struct front_serve *serve);
/* Closes the connection of a request that has not ended.  */
void front_backend_abandon (struct front_serve *serve);
/* Frees the connection records.  */
void front_backend_free (struct front *front);

/* front_health.c: announcements and probes of the backend server */
int front_health_lws_callback (struct lws *wsi,
                               enum lws_callback_reasons reason, void *user,
                               void *in, size_t len);
/* Probes the server process, then refuses the request with the result.  */
void front_health_await_probe (struct front_serve *serve);
/* Handles an announcement of the backend server.  Returns SR_OK, or SR_EINVAL
   when ADDRESS is not IP:PORT.  */
int front_health_handle_announcement (struct front *front, const char *service,
                                      const char *address, uint32_t slots,
                                      uint32_t connections_max);
/* Handles the announcement that the backend server shuts down.  */
void front_health_handle_leave (struct front *front);
/* Marks the server as down after a time without an announcement.  */
void front_health_check_announcement (struct front *front, clk_us now);
/* Marks the server as down and refuses the requests that wait for it; REASON
   is logged.  */
void front_health_mark_down (struct front *front, const char *reason);

/* front_console.c: web console */
/* Starts a request for the console, which needs the document in force.  */
void front_console_start (struct front_admin_request *request);
/* Renders the page for the reply of the control task; may take over its text.
 */
void front_console_handle_reply (struct front_admin_request *request,
                                 struct msg_admin_reply *reply);
void front_console_free (struct front_admin_request *request);

/* front_admin.c: admin API */
void front_admin_answer (struct front_admin_request *request, int status,
                         const char *type, char *text);
void front_admin_answer_error (struct front_admin_request *request, int status,
                               const char *text);
void front_admin_forward (struct front_admin_request *request,
                          enum msg_admin_op op);
bool front_admin_equal_constant_time (const char *a, const char *b);
int front_admin_lws_callback (struct lws *wsi,
                              enum lws_callback_reasons reason, void *user,
                              void *in, size_t len);
void front_admin_handle_reply (struct front *front, struct msg *msg);

#endif
