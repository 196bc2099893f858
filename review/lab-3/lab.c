/* Stand-ins for the scripts of this review: an HTTP client for single calls, a
   backend server with heartbeats, a client that pipelines, and an operator
   that sends many configurations.  They speak what PROTOCOL.md says.

   lab call METHOD IP PORT PATH [-H FIELD]... [-d FILE] [-t MS]
     prints the status on the first line, then the body; 000 without an answer
   lab free IP PORT
     exits with 0 if the port can be bound
   lab server IP PORT CONTROL_PORT SERVICE ID SLOTS WORK_MS BYTES CUT LOG
     a backend server with heartbeats; the first CUT of 1,000 answers, evenly
     spread, end after four fifths of their bytes; appends a line for each
     request to LOG
   lab pipeline IP PORT HOST CONNECTIONS ROUNDS DEPTH PATH DEADLINE_MS
                [DEPTH PATH DEADLINE_MS] LOG
     sends DEPTH requests for each PATH at once, ROUNDS times on each
     connection, reads the answers and appends a line for each request to LOG
   lab download IP PORT HOST CLIENTS PATH DEADLINE_MS BYTES_PER_S LOG
     CLIENTS clients get PATH twice on a kept connection, first at full speed,
     then at BYTES_PER_S; appends what each got to LOG
   lab changes CONTROL_PORT COUNT ROUTES SERVICE BASE LOG IP...
     sends COUNT configurations of ROUTES routes one after the other, each with
     the one before as its base; prints the last acknowledged version  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 65536
#define READ_BYTES 65536
#define HEARTBEAT_MS 1500
#define ID_BYTES 64

/* A buffered reader of one connection.  */
struct reader
{
  int fd;
  size_t len;
  size_t pos;
  size_t size; /* bytes read at a time, 0 for all that fit */
  char data[READ_BYTES];
};

/* The parts of a message that the stand-ins use.  */
struct head
{
  char first[512];
  int status;
  long length; /* -1: not given */
  int chunked;
  int close;
  char id[ID_BYTES];
  char deadline[32];
  char instance[ID_BYTES];
  int has_seal;
};

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *log_file;

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms (long ms)
{
  struct timespec time = { ms / 1000, (ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

static void
log_line (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  pthread_mutex_lock (&log_lock);
  fprintf (log_file, "%lld ", now_ms ());
  vfprintf (log_file, format, args);
  fputc ('\n', log_file);
  fflush (log_file);
  pthread_mutex_unlock (&log_lock);
  va_end (args);
}

static void
open_log (const char *path)
{
  log_file = fopen (path, "a");
  if (log_file == NULL)
    {
      perror (path);
      exit (2);
    }
}

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static void
set_timeout (int fd, long ms)
{
  struct timeval time = { ms / 1000, (ms % 1000) * 1000 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

static int
dial (const char *ip, int port, long timeout_ms)
{
  struct sockaddr_in address = make_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  set_timeout (fd, timeout_ms);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return -1;
      data += sent;
      len -= (size_t)sent;
    }
  return 0;
}

/* The next byte, or -1 at the end or after an error.  */
static int
read_byte (struct reader *reader)
{
  if (reader->pos == reader->len)
    {
      size_t size = reader->size > 0 ? reader->size : sizeof reader->data;
      ssize_t len = recv (reader->fd, reader->data, size, 0);

      if (len <= 0)
        return -1;
      reader->len = (size_t)len;
      reader->pos = 0;
    }
  return (unsigned char)reader->data[reader->pos++];
}

static int
read_line (struct reader *reader, char *out, size_t size)
{
  size_t len = 0;
  int c;

  while ((c = read_byte (reader)) >= 0 && c != '\n')
    if (c != '\r' && len + 1 < size)
      out[len++] = (char)c;
  out[len] = '\0';
  return c < 0 ? -1 : 0;
}

static const char *
field_value (const char *line, const char *name)
{
  size_t len = strlen (name);

  if (strncasecmp (line, name, len) != 0 || line[len] != ':')
    return NULL;
  return line + len + 1 + strspn (line + len + 1, " ");
}

static int
read_head (struct reader *reader, struct head *head)
{
  char line[4096];
  const char *value;

  memset (head, 0, sizeof *head);
  head->length = -1;
  if (read_line (reader, head->first, sizeof head->first) != 0)
    return -1;
  if (strncmp (head->first, "HTTP/1.", 7) == 0)
    head->status = atoi (head->first + 9);
  while (read_line (reader, line, sizeof line) == 0)
    {
      if (line[0] == '\0')
        return 0;
      if ((value = field_value (line, "Content-Length")) != NULL)
        head->length = atol (value);
      if ((value = field_value (line, "Transfer-Encoding")) != NULL)
        head->chunked = 1;
      if ((value = field_value (line, "Connection")) != NULL)
        head->close = strcasecmp (value, "close") == 0;
      if ((value = field_value (line, "X-Sycamorerudder-Request-Id")) != NULL)
        snprintf (head->id, sizeof head->id, "%s", value);
      if ((value = field_value (line, "X-Sycamorerudder-Deadline-Ms")) != NULL)
        snprintf (head->deadline, sizeof head->deadline, "%s", value);
      if ((value = field_value (line, "X-Sycamorerudder-Expect-Instance"))
          != NULL)
        snprintf (head->instance, sizeof head->instance, "%s", value);
      if (field_value (line, "X-Sycamorerudder-Response-Seal") != NULL)
        head->has_seal = 1;
    }
  return -1;
}

/* Reads a body, to OUT if it is not NULL; -1 if it ends early.  */
static int
read_body (struct reader *reader, const struct head *head, FILE *out)
{
  long left = head->length;
  char line[64];
  int c;

  do
    {
      if (head->chunked)
        {
          if (read_line (reader, line, sizeof line) != 0)
            return -1;
          left = strtol (line, NULL, 16);
        }
      for (long i = 0; left < 0 || i < left; i++)
        {
          if ((c = read_byte (reader)) < 0)
            return left < 0 ? 0 : -1;
          if (out != NULL)
            fputc (c, out);
        }
      if (head->chunked && read_line (reader, line, sizeof line) != 0)
        return -1;
    }
  while (head->chunked && left > 0);
  return 0;
}

static char *
read_file (const char *path, size_t *len)
{
  FILE *file = fopen (path, "r");
  char *data = malloc (4 * 1024 * 1024);

  if (file == NULL || data == NULL)
    exit (2);
  *len = fread (data, 1, 4 * 1024 * 1024, file);
  fclose (file);
  return data;
}

/* Sends one request on a new connection; returns the status, 0 without a
   complete answer.  */
static int
call (const char *ip, int port, const char *method, const char *path,
      const char *fields, const char *body, size_t len, long timeout_ms,
      FILE *out)
{
  struct reader reader = { .fd = dial (ip, port, timeout_ms) };
  char text[HEAD_BYTES];
  struct head head;
  int status = 0;

  if (reader.fd < 0)
    return 0;
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n"
            "%sContent-Length: %zu\r\n\r\n",
            method, path, fields, len);
  if (send_all (reader.fd, text, strlen (text)) == 0
      && send_all (reader.fd, body, len) == 0
      && read_head (&reader, &head) == 0
      && read_body (&reader, &head, out) == 0)
    status = head.status;
  close (reader.fd);
  return status;
}

static int
run_call (int argc, char **argv)
{
  char fields[HEAD_BYTES] = "";
  char *body = "";
  char *answer = NULL;
  size_t answer_len = 0;
  size_t len = 0;
  long timeout_ms = 3000;
  FILE *out = open_memstream (&answer, &answer_len);
  int status;

  for (int i = 6; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "-H") == 0)
        snprintf (fields + strlen (fields), sizeof fields - strlen (fields),
                  "%s\r\n", argv[i + 1]);
      else if (strcmp (argv[i], "-d") == 0)
        body = read_file (argv[i + 1], &len);
      else if (strcmp (argv[i], "-t") == 0)
        timeout_ms = atol (argv[i + 1]);
    }
  status = call (argv[3], atoi (argv[4]), argv[2], argv[5], fields, body, len,
                 timeout_ms, out);
  fclose (out);
  printf ("%03d\n", status);
  fwrite (answer, 1, answer_len, stdout);
  return 0;
}

static int
listen_at (const char *ip, int port)
{
  struct sockaddr_in address = make_address (ip, port);
  int enabled = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, 1024) == 0)
    return fd;
  close (fd);
  return -1;
}

/* The backend server.  */
static struct
{
  const char *ip;
  int port;
  int control_port;
  const char *service;
  const char *id;
  int slots;
  long work_ms;
  long bytes;
  int cut;
  char *fill;
  long long born;
  int answer_count;
  pthread_mutex_t lock;
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void *
run_heartbeats (void *arg)
{
  char path[128];
  char body[512];

  (void)arg;
  snprintf (path, sizeof path, "/-/Instances.Heartbeat/%s", server.id);
  for (int sequence = 1;; sequence++)
    {
      int len = snprintf (
          body, sizeof body,
          "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z\","
          "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
          "\"cold_remaining_s\":0,\"sequence\":%d,\"born\":%lld}",
          server.service, server.ip, server.port, server.slots, sequence,
          server.born);

      call (server.ip, server.control_port, "POST", path, "", body,
            (size_t)len, 1000, NULL);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* Whether the next answer is one of those that are cut.  */
static int
is_cut (void)
{
  int number;

  pthread_mutex_lock (&server.lock);
  number = server.answer_count++;
  pthread_mutex_unlock (&server.lock);
  return number % 1000 * server.cut / 1000
         != (number % 1000 + 1) * server.cut / 1000;
}

static int
serve_request (struct reader *reader)
{
  char text[1024];
  const char *work;
  long work_ms = server.work_ms;
  struct head head;
  int cut;

  if (read_head (reader, &head) != 0
      || ((head.length > 0 || head.chunked)
          && read_body (reader, &head, NULL) != 0))
    return -1;
  if (strncmp (head.first, "GET /health ", 12) == 0)
    {
      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: %s\r\n"
                "X-Sycamorerudder-Server-Load: 0,0,%d\r\n"
                "Content-Length: 0\r\n\r\n",
                server.id, server.slots);
      return send_all (reader->fd, text, strlen (text));
    }
  if (strcmp (head.instance, server.id) != 0)
    {
      snprintf (text, sizeof text,
                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                "X-Sycamorerudder-Request-Id: %s\r\n"
                "X-Sycamorerudder-Not-Executed: 1\r\n\r\n",
                head.id);
      return send_all (reader->fd, text, strlen (text));
    }
  log_line ("server=%s got id=%s deadline_ms=%s", server.id, head.id,
            head.deadline);
  if ((work = strstr (head.first, "work=")) != NULL)
    work_ms = atol (work + 5);
  sleep_ms (work_ms);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Response-Seal: seal.%s\r\n"
            "X-Sycamorerudder-Server-Load: 1,0,%d\r\n"
            "Content-Length: %ld\r\n\r\n",
            head.id, head.id, server.slots, server.bytes);
  cut = is_cut ();
  if (send_all (reader->fd, text, strlen (text)) != 0
      || send_all (reader->fd, server.fill,
                   (size_t)(cut ? server.bytes * 4 / 5 : server.bytes))
             != 0)
    return -1;
  log_line ("server=%s answered id=%s %s", server.id, head.id,
            cut ? "cut" : "whole");
  return cut ? -1 : 0;
}

static void *
serve_connection (void *arg)
{
  struct reader *reader = arg;

  while (serve_request (reader) == 0)
    continue;
  close (reader->fd);
  free (reader);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, arg) != 0)
    exit (2);
}

static int
run_server (char **argv)
{
  int listener;

  server.ip = argv[2];
  server.port = atoi (argv[3]);
  server.control_port = atoi (argv[4]);
  server.service = argv[5];
  server.id = argv[6];
  server.slots = atoi (argv[7]);
  server.work_ms = atol (argv[8]);
  server.bytes = atol (argv[9]);
  server.cut = atoi (argv[10]);
  server.born = now_ms ();
  server.fill = malloc ((size_t)server.bytes + 1);
  memset (server.fill, 'x', (size_t)server.bytes);
  open_log (argv[11]);
  listener = listen_at (server.ip, server.port);
  if (listener < 0)
    return 2;
  start_thread (run_heartbeats, NULL);
  for (;;)
    {
      struct reader *reader = calloc (1, sizeof *reader);

      reader->fd = accept (listener, NULL, NULL);
      if (reader->fd < 0)
        free (reader);
      else
        start_thread (serve_connection, reader);
    }
}

/* A client connection that pipelines.  */
struct pipeline
{
  const char *ip;
  int port;
  const char *host;
  int number;
  int rounds;
  int group_count;
  char **groups; /* DEPTH PATH DEADLINE_MS of each */
};

static void
read_answers (struct pipeline *pipeline, struct reader *reader, int round,
              int count, int *closed)
{
  for (int i = 0; i < count; i++)
    {
      struct head head = { 0 };

      if (*closed || read_head (reader, &head) != 0
          || read_body (reader, &head, NULL) != 0)
        {
          *closed = 1;
          log_line ("client no-answer id=c%dr%dn%d", pipeline->number, round,
                    i);
          continue;
        }
      log_line ("client answer id=c%dr%dn%d status=%d", pipeline->number,
                round, i, head.status);
      *closed = head.close;
    }
}

static void *
run_connection (void *arg)
{
  struct pipeline *pipeline = arg;
  struct reader *reader = calloc (1, sizeof *reader);
  char *text = malloc (1024 * 1024);
  int closed = 1;

  reader->fd = -1;
  for (int round = 0; round < pipeline->rounds; round++)
    {
      size_t len = 0;
      int count = 0;

      if (closed)
        {
          if (reader->fd >= 0)
            close (reader->fd);
          reader->fd = dial (pipeline->ip, pipeline->port, 20000);
          reader->len = reader->pos = 0;
          closed = reader->fd < 0;
        }
      for (int group = 0; group < pipeline->group_count; group++)
        for (int i = 0; i < atoi (pipeline->groups[3 * group]); i++, count++)
          {
            len += (size_t)sprintf (
                text + len,
                "GET %s HTTP/1.1\r\nHost: %s\r\n"
                "X-Sycamorerudder-Request-Id: c%dr%dn%d\r\n"
                "X-Sycamorerudder-Deadline-Ms: %s\r\n\r\n",
                pipeline->groups[3 * group + 1], pipeline->host,
                pipeline->number, round, count,
                pipeline->groups[3 * group + 2]);
            log_line ("client sent id=c%dr%dn%d deadline_ms=%s",
                      pipeline->number, round, count,
                      pipeline->groups[3 * group + 2]);
          }
      if (!closed)
        closed = send_all (reader->fd, text, len) != 0;
      read_answers (pipeline, reader, round, count, &closed);
    }
  close (reader->fd);
  free (text);
  free (reader);
  return NULL;
}

static int
run_pipeline (int argc, char **argv)
{
  int count = atoi (argv[5]);
  pthread_t *threads = calloc ((size_t)count, sizeof *threads);
  struct pipeline *pipelines = calloc ((size_t)count, sizeof *pipelines);

  open_log (argv[argc - 1]);
  for (int i = 0; i < count; i++)
    {
      pipelines[i] = (struct pipeline){ .ip = argv[2],
                                        .port = atoi (argv[3]),
                                        .host = argv[4],
                                        .number = i,
                                        .rounds = atoi (argv[6]),
                                        .group_count = (argc - 8) / 3,
                                        .groups = argv + 7 };
      pthread_create (&threads[i], NULL, run_connection, &pipelines[i]);
    }
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

/* A client that reads its second answer slowly, over a link with segments of
   1,460 bytes and a small window.  */
struct download
{
  const char *ip;
  int port;
  const char *host;
  int number;
  const char *path;
  const char *deadline_ms;
  long rate;
};

static int
dial_narrow (const char *ip, int port)
{
  struct sockaddr_in address = make_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int window = 16 * 1024;
  int segment = 1460;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  set_timeout (fd, 20000);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends request NUMBER and reads its answer, at RATE bytes a second, 0 for full
   speed; returns whether it was whole.  */
static int
get_answer (const struct download *download, struct reader *reader, int number,
            long rate)
{
  long long sent_at = now_ms ();
  char text[1024];
  struct head head;
  long got = 0;
  int whole;

  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: %s\r\n"
            "X-Sycamorerudder-Request-Id: c%dn%d\r\n"
            "X-Sycamorerudder-Deadline-Ms: %s\r\n\r\n",
            download->path, download->host, download->number, number,
            download->deadline_ms);
  log_line ("client sent id=c%dn%d deadline_ms=%s", download->number, number,
            download->deadline_ms);
  if (send_all (reader->fd, text, strlen (text)) != 0
      || read_head (reader, &head) != 0 || head.length < 0)
    {
      log_line ("client no-answer id=c%dn%d", download->number, number);
      return 0;
    }
  while (got < head.length && read_byte (reader) >= 0)
    {
      got++;
      if (rate > 0 && got % (rate / 10) == 0)
        sleep_ms (100);
    }
  whole = got == head.length;
  log_line ("client %s id=c%dn%d status=%d got=%ld of=%ld after_ms=%lld",
            whole ? "whole" : "cut", download->number, number, head.status,
            got, head.length, now_ms () - sent_at);
  return whole && head.status == 200;
}

static void *
run_download (void *arg)
{
  struct download *download = arg;
  struct reader *reader = calloc (1, sizeof *reader);

  reader->fd = dial_narrow (download->ip, download->port);
  reader->size = 1024;
  if (reader->fd >= 0 && get_answer (download, reader, 1, 0))
    get_answer (download, reader, 2, download->rate);
  close (reader->fd);
  free (reader);
  return NULL;
}

static int
run_downloads (char **argv)
{
  int count = atoi (argv[5]);
  pthread_t *threads = calloc ((size_t)count, sizeof *threads);
  struct download *downloads = calloc ((size_t)count, sizeof *downloads);

  open_log (argv[9]);
  for (int i = 0; i < count; i++)
    {
      downloads[i] = (struct download){ argv[2], atoi (argv[3]), argv[4],
                                        i,       argv[6],        argv[7],
                                        atol (argv[8]) };
      pthread_create (&threads[i], NULL, run_download, &downloads[i]);
    }
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

/* Writes a configuration like that of the pages: names of the same length, and
   one service for all routes.  */
static size_t
make_configuration (char *out, int version, int routes, const char *service)
{
  size_t len = (size_t)sprintf (
      out,
      "{\"version\":\"r%d\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],"
      "\"rows\":[",
      version);

  for (int i = 0; i < routes; i++)
    len += (size_t)sprintf (
        out + len,
        "%s[\"r-n2c%05d\",\"hulo%05d.example\",\"/leny%05d/\","
        "\"idempotent\",1.2,2,2,[{\"service\":\"%s\",\"weight\":100}],2,"
        "null]",
        i > 0 ? "," : "", i, i, i, service);
  len += (size_t)sprintf (
      out + len,
      "]},\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"%s\","
      "\"/health\",316,\"h1\",false]]},\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}",
      service);
  return len;
}

static int
run_changes (int argc, char **argv)
{
  int port = atoi (argv[2]);
  int count = atoi (argv[3]);
  int routes = atoi (argv[4]);
  int base = atoi (argv[6]);
  int ip_count = argc - 8;
  char *body = malloc (4 * 1024 * 1024);
  char fields[128];

  open_log (argv[7]);
  for (int i = 0; i < count; i++)
    {
      size_t len = make_configuration (body, base + 1, routes, argv[5]);
      long long give_up_at = now_ms () + 20000;
      int status = 0;

      snprintf (fields, sizeof fields,
                "X-Sycamorerudder-Base-Version: r%d\r\n"
                "Content-Type: application/json\r\n",
                base);
      for (int attempt = 0; status != 200 && now_ms () < give_up_at; attempt++)
        {
          if (attempt > 0)
            sleep_ms (200);
          status = call (argv[8 + (i + attempt) % ip_count], port, "POST",
                         "/-/Config.Replace", fields, body, len, 4000, NULL);
        }
      if (status != 200)
        {
          log_line ("operator change version=r%d status=%d given up",
                    base + 1, status);
          break;
        }
      base++;
      if (i % 50 == 0 || i + 1 == count)
        log_line ("operator change version=r%d acknowledged bytes=%zu", base,
                  len);
    }
  printf ("%d\n", base);
  return 0;
}

int
main (int argc, char **argv)
{
  const char *mode = argc > 1 ? argv[1] : "";

  signal (SIGPIPE, SIG_IGN);
  if (strcmp (mode, "call") == 0 && argc >= 6)
    return run_call (argc, argv);
  if (strcmp (mode, "free") == 0 && argc == 4)
    return listen_at (argv[2], atoi (argv[3])) >= 0 ? 0 : 1;
  if (strcmp (mode, "server") == 0 && argc == 12)
    return run_server (argv);
  if (strcmp (mode, "pipeline") == 0 && argc >= 11 && (argc - 8) % 3 == 0)
    return run_pipeline (argc, argv);
  if (strcmp (mode, "download") == 0 && argc == 10)
    return run_downloads (argv);
  if (strcmp (mode, "changes") == 0 && argc >= 9)
    return run_changes (argc, argv);
  fprintf (stderr, "usage: see the comment at the start of lab.c\n");
  return 2;
}
