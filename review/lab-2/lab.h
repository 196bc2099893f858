#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

/* Stand-ins for the platform, the operator, backend servers and clients, for
   the scripts of this review.  All addresses are loopback addresses; all ports
   are free ones, the same on all machines.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define LAB_CORE "core"
#define LAB_SIDE "sidecar"

/* A machine with one process of the system.  */
struct lab_machine
{
  char name[64];
  char ip[32];
  char zone[16];
  const char *class;
  const char *service; /* of the server beside a sidecar */
  pid_t pid;           /* 0 when the process does not run */
  int starts;
};

/* Answer to a call.  STATUS is 0 without a complete answer.  */
struct lab_answer
{
  int status;
  char *body; /* zero-terminated, to be freed */
  size_t len;
  bool sent; /* the whole request was written */
};

/* Prepares the temporary folder, the ports and record.txt in FOLDER.  */
void lab_begin (const char *folder);
/* Ends all processes, removes the temporary folder, and exits.  */
void lab_end (int status);
/* Exits with 2: the case could not run.  */
void lab_cannot_run (const char *why);
/* Whether the disruption is to be played.  */
bool lab_trouble (void);

/* Seconds since lab_begin().  */
double lab_now (void);
void lab_sleep (double seconds);
/* Writes a line to record.txt and to standard output.  */
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* record.txt, for lines that are not to be seen on standard output.  */
FILE *lab_record_file (void);
/* Whether starts and ends of processes are left out of the record.  */
void lab_quiet (bool quiet);

int lab_port_control (void);
int lab_port_outbound (void);
int lab_port_server (void);
int lab_port_ready (void);

/* Sets the addresses that settings written from now on name as seeds.  */
void lab_seeds (const struct lab_machine *const *machines, int count);
/* Writes the settings of a machine and starts its process.  */
void lab_start (struct lab_machine *machine, bool bootstrap);
/* Sends SIGTERM, and SIGKILL after grace_s; waits for the end.  */
void lab_terminate (struct lab_machine *machine);
/* Kills the process and waits for its end.  */
void lab_kill (struct lab_machine *machine);
/* Whether the process still runs; collects it if it has ended.  */
bool lab_runs (struct lab_machine *machine);
/* Removes what the machine has on its disk.  */
void lab_lose_disk (const struct lab_machine *machine);
/* Memory of the process in MiB, 0 if it does not run.  */
double lab_memory_mib (const struct lab_machine *machine);

/* One HTTP call on a new connection.  FIELDS are header lines, each with
   CRLF.  */
struct lab_answer lab_call (const char *ip, int port, const char *method,
                            const char *path, const char *fields,
                            const char *body, size_t len, double timeout_s);
/* Like lab_call(), and frees the body; returns the status.  */
int lab_status (const char *ip, int port, const char *method, const char *path,
                const char *fields, const char *body, size_t len,
                double timeout_s);

/* Operator: sends a configuration.  */
int lab_replace (const struct lab_machine *machine, unsigned base,
                 const char *document, size_t len);
/* Operator: reads the configuration; returns its version, 0 if none came, -1
   with a status of 5xx.  */
long lab_get (const struct lab_machine *machine);

/* A configuration with one idempotent route "/look/" and one non-idempotent
   route "/order/" to service "app", and MORE further routes, of VERSION.  To be
   freed.  */
char *lab_document (unsigned version, int more, size_t *len);

/* A backend server, which follows PROTOCOL.md: it echoes the request id, runs
   a request only if it is the expected instance, and answers the health path
   at once.  */
struct lab_server
{
  const struct lab_machine *machine;
  char id[32];
  double work_s;
  double heartbeat_s;
  unsigned long long born_ms;
  /* Called when a request begins to run, and when it has ended: STATUS is 0 if
     the server could not answer any more.  */
  void (*begun) (struct lab_server *server, const char *id, const char *path);
  void (*ended) (struct lab_server *server, const char *id, int status);
  /* internal */
  volatile bool leaving;  /* reports no more, and is not healthy */
  volatile bool stopped;
  volatile double beat_at; /* time of the last acknowledged heartbeat */
  volatile int sequence;
  int listener;
};

void lab_server_start (struct lab_server *server);
/* Sends the call that ends the registration; returns its status.  */
int lab_server_deregister (struct lab_server *server);
/* Ends the server: its connections are closed.  */
void lab_server_stop (struct lab_server *server);

#endif
