/* Stand-ins for the platform, its operator, its servers and its clients, for
   the scripts of the review.  All addresses are loopback addresses: each
   machine has its own, and the ports are the same on all machines.  */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_CORES 3
#define LAB_NODES_MAX 12

struct lab_node
{
  char name[32];
  char ip[32];
  char zone[8];
  char service[32]; /* of the server on the machine; empty on core machines */
  bool core;
  bool first_start; /* "bootstrap" of its settings */
  pid_t pid;        /* 0: not running */
};

/* A request as a server has read it.  */
struct lab_request
{
  char method[16];
  char path[256];
  char id[128];
  char caller[64];
  char expected_id[64];
  long deadline_ms;
  char *body;
  size_t body_len;
  bool keep_alive;
};

struct lab_server;
/* Answers REQUEST on FD; returns false to close the connection.  */
typedef bool lab_handler (struct lab_server *server, int fd,
                          struct lab_request *request);

/* A server of a service on a machine.  */
struct lab_server
{
  struct lab_node *node;
  char id[32];
  int slots;
  uint64_t born_ms;
  lab_handler *handler;
  void *arg;
  volatile bool beats;   /* sends a heartbeat each heartbeat_s */
  volatile bool leaving; /* its health path answers 503 */
  volatile long sequence;
  volatile int listen_fd;
  volatile int runs; /* requests that it began to run */
};

/* The answer to a request.  */
struct lab_answer
{
  int status; /* 0: none */
  char head[8192];
  char *body;
  size_t body_len;
  long declared_len; /* Content-Length; -1: none */
  bool complete;
  bool reset; /* the connection ended with an error */
  double seconds;
};

extern struct lab_node lab_nodes[LAB_NODES_MAX];
extern int lab_trouble; /* 0: without the disruption */
extern int lab_port_outbound, lab_port_inbound, lab_port_ready,
    lab_port_control, lab_port_app;

/* Opens DIR/record.txt and a temporary folder; chooses addresses and ports.
   The program ends with 2 after SECONDS.  */
void lab_open (const char *dir, int seconds);
/* Writes a line with the time since lab_open() to the record.  */
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
double lab_now (void);
void lab_sleep (double seconds);
/* Ends all processes, removes the folder and exits: 1 broken, 0 held, 2 the
   case could not run.  */
void lab_end (int status) __attribute__ ((noreturn));

/* Adds the core machines, and starts them.  */
void lab_start_core (void);
/* Adds a sidecar machine with a server of SERVICE; does not start it.  */
struct lab_node *lab_add_node (const char *service, const char *zone);
void lab_start (struct lab_node *node);
/* Sends SIGNAL; lab_reap() waits for the end of the process.  */
void lab_signal (struct lab_node *node, int signal);
/* Whether the process ended within SECONDS; STATUS as of waitpid().  */
bool lab_reap (struct lab_node *node, double seconds, int *status);
/* Prints the lines of the node's log that contain TEXT to the record.  */
void lab_record_log (struct lab_node *node, const char *text, int lines_max);

/* Sends the configuration ROWS (routes) and SERVICES (names, comma separated)
   as VERSION on top of BASE until it is acknowledged.  */
bool lab_configure (int base, int version, const char *rows,
                    const char *services, double seconds);
/* Reads the configuration back; returns the status, 0 without an answer.  */
int lab_read_configuration (struct lab_node *node);
/* Waits until the node answers its readiness check with 200.  */
bool lab_wait_ready (struct lab_node *node, double seconds);

/* Starts a server; it reports to its node.  */
void lab_start_server (struct lab_server *server, struct lab_node *node,
                       const char *id, lab_handler *handler, void *arg);
/* Sends one report; returns the HTTP status, 0 without an answer.  */
int lab_heartbeat (struct lab_server *server, const char *state);
int lab_deregister (struct lab_server *server);
/* Writes the answer of a server with its receipt.  */
bool lab_answer_server (int fd, const struct lab_request *request, int status,
                        const void *body, size_t len);

/* Connects to the outbound address of NODE.  */
int lab_connect (const char *ip, int port, double seconds);
bool lab_write (int fd, const void *data, size_t len);
/* Formats a request; returns its length.  */
int lab_format_request (char *out, size_t size, const char *method,
                        const char *host, const char *path, const char *id,
                        long deadline_ms, size_t body_len);
/* Reads one answer, at most BYTES_PER_S (0: at full speed).  */
void lab_read_answer (int fd, struct lab_answer *answer, double bytes_per_s,
                      double seconds);
/* One request of a client at NODE on a connection of its own.  */
void lab_request (struct lab_node *node, const char *method, const char *host,
                  const char *path, const char *id, long deadline_ms,
                  const void *body, size_t body_len,
                  struct lab_answer *answer);
void lab_answer_free (struct lab_answer *answer);
/* Value of a header field in HEAD, "" without it.  */
const char *lab_field (const char *head, const char *name, char *out,
                       size_t size);
/* Starts THREAD detached.  */
void lab_thread (void *(*thread) (void *), void *arg);

#endif
