#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "controllers/claim.h"
#include "core/inbox.h"
#include "core/msg.h"
#include "sycamorerudder.h"
#include "tasks/front.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/doc.h"

#define TEXT_BYTES 4096
#define ANSWER_BYTES 512
#define CUTS_MAX 2048
/* Requests that are open at a time: the node looks for the server's process
   for 20 ms before it answers each of them.  */
#define CALLERS 12
/* Attempts of an idempotent request, by the document.  */
#define ATTEMPTS_MAX 3
/* Time in which the node reads the bytes before a reset, which would discard
   them, or the first part of an answer.  */
#define PART_DELAY_US 1000
/* More than the node buffers of an answer that its caller does not read.  */
#define LONG_CHUNKS 2000
#define LONG_CHUNK_BYTES 1000

/* Uploads during which an answer breaks off.  */
#define UPLOAD_PIECE_BYTES (16 * 1024)
#define UPLOAD_PIECE_DELAY_US 100
#define UPLOAD_ANSWER_BYTES (300 * 1024)
#define UPLOAD_UNREAD_WAIT_US 200000

static const char document[]
    = "{\"format\": 1, \"callers\": {\"header\": \"x-caller-id\"},"
      " \"headers\": [\"x-caller-id\"],"
      " \"services\": [{\"name\": \"a\", \"slots\": 64, \"connections\": 64,"
      " \"kinds\": [{\"name\": \"place\", \"method\": \"POST\","
      " \"path\": \"/\", \"importance\": 90, \"idempotent\": false,"
      " \"timeout_ms\": 8000, \"retries\": 1},"
      " {\"name\": \"put\", \"method\": \"PUT\", \"path\": \"/\","
      " \"importance\": 90, \"idempotent\": true, \"timeout_ms\": 8000,"
      " \"retries\": 2},"
      " {\"name\": \"read\", \"method\": \"GET\", \"path\": \"/\","
      " \"importance\": 50, \"idempotent\": true, \"timeout_ms\": 8000,"
      " \"retries\": 2}]}]}";

/* How an answer declares the end of its body.  */
enum framing
{
  FRAMING_LENGTH,
  FRAMING_CHUNKED,
  FRAMING_CLOSE, /* neither: the end of the connection */
  FRAMING_COUNT
};

static const char *const answers[FRAMING_COUNT] = {
  [FRAMING_LENGTH] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                     "Content-Length: 5\r\nETag: \"e\"\r\n\r\nhello",
  [FRAMING_CHUNKED] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                      "Transfer-Encoding: chunked\r\nETag: \"e\"\r\n\r\n"
                      "5\r\nhello\r\n0\r\n\r\n",
  [FRAMING_CLOSE] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                    "ETag: \"e\"\r\n\r\nhello",
};

/* An answer that breaks off, and what became of its request.  */
struct cut
{
  enum framing framing;
  bool reset; /* the connection ends with RST, else with FIN */
  size_t at;  /* bytes sent */
  atomic_int runs;
  atomic_int runs_reused; /* on a connection that has carried another */
  char answer[TEXT_BYTES];
};

/* Requests for all cuts, made by several threads.  */
struct sweep
{
  const char *method;
  bool warm; /* each is made after one that is answered */
  int runs_max;
  unsigned count;
  atomic_uint next;
  atomic_int unanswered; /* of the requests that must be answered */
  struct cut cuts[CUTS_MAX];
};

/* Statuses that are none: status codes have three digits, from 100 to 599.  */
static const char *const bad_statuses[]
    = { "000", "001", "099", "600", "700", "999", "0200", "00200", "20", "2" };
static const char *const good_statuses[]
    = { "200", "204", "299", "404", "499", "500", "599" };

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

static struct sweep sweep;
/* Uploads that have reached the server, and answers to them that have broken
   off.  */
static atomic_int upload_runs;
static atomic_int upload_cuts;
/* Requests for a status that have reached the server.  */
static atomic_int status_runs;
static atomic_uint next_key;
/* Answers that are kept for callers that send a request again.  */
static atomic_int recorded_answers;
static struct front *front;
static char listen_address[NET_ADDRESS_BYTES];
static char admin_address[NET_ADDRESS_BYTES];
static char server_address[NET_ADDRESS_BYTES];

/* Whether TEXT, which ends with NUL, is a whole message: as long as it
   declares, or with the last chunk.  */
static bool
is_whole (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "content-length: ");
  const char *chunked = strcasestr (text, "transfer-encoding: chunked");

  if (end == NULL)
    return false;
  /* The server answers these before it has read their bodies.  */
  if (strstr (text, " /upload/") != NULL)
    return true;
  if (chunked != NULL && chunked < end)
    return strstr (end + 2, "\r\n0\r\n\r\n") != NULL;
  return length == NULL || length > end
         || strlen (end + 4) >= strtoul (length + 16, NULL, 10);
}

/* Reads a message; false when the connection ends before its end.  */
static bool
read_message (int fd, char *text, size_t size)
{
  size_t len = 0;
  ssize_t received;

  text[0] = '\0';
  while (!is_whole (text))
    {
      received = read (fd, text + len, size - 1 - len);
      if (received <= 0)
        return false;
      len += (size_t)received;
      text[len] = '\0';
    }
  return true;
}

/* Sends an answer in chunks in two parts, the first of AT bytes.  */
static void
send_in_parts (int fd, size_t at)
{
  const char *text = answers[FRAMING_CHUNKED];

  (void)!write (fd, text, at);
  usleep (PART_DELAY_US);
  net_send_text (fd, text + at);
}

/* Sends a long answer in chunks; WHOLE: with the last one.  */
static void
send_long (int fd, bool whole)
{
  char chunk[LONG_CHUNK_BYTES + 16];

  net_send_text (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  snprintf (chunk, sizeof chunk, "%x\r\n%0*d\r\n", LONG_CHUNK_BYTES,
            LONG_CHUNK_BYTES, 1);
  for (int i = 0; i < LONG_CHUNKS; i++)
    net_send_text (fd, chunk);
  if (whole)
    net_send_text (fd, "0\r\n\r\n");
}

/* Writes a long answer without end to OUT; returns the bytes before its body.
 */
static size_t
write_long_answer (char *out, enum framing framing)
{
  static const char *const fields[FRAMING_COUNT]
      = { [FRAMING_LENGTH] = "Content-Length: 9000000\r\n",
          [FRAMING_CHUNKED] = "Transfer-Encoding: chunked\r\n",
          [FRAMING_CLOSE] = "" };
  size_t head_len
      = (size_t)sprintf (out, "HTTP/1.1 200 OK\r\n%s\r\n", fields[framing]);
  size_t len = head_len;

  while (len < UPLOAD_ANSWER_BYTES - LONG_CHUNK_BYTES - 16)
    {
      if (framing == FRAMING_CHUNKED)
        len += (size_t)sprintf (out + len, "%x\r\n", LONG_CHUNK_BYTES);
      memset (out + len, 'x', LONG_CHUNK_BYTES);
      len += LONG_CHUNK_BYTES;
      if (framing == FRAMING_CHUNKED)
        len += (size_t)sprintf (out + len, "\r\n");
    }
  return head_len;
}

/* Answers an upload with the beginning of an answer that PATH selects,
   "/upload/FRAMING/RESET/DELAY/AT", and ends the connection: by a reset, or by
   closing it while bytes of the upload are unread.  */
static void
send_cut_during_upload (int fd, const char *path)
{
  struct linger reset = { .l_onoff = 1 };
  char *out = malloc (UPLOAD_ANSWER_BYTES);
  unsigned framing = 0;
  unsigned by_reset = 0;
  unsigned delay_us = 0;
  size_t at = 0;
  int unread = 0;

  sscanf (path, "/upload/%u/%u/%u/%zu ", &framing, &by_reset, &delay_us, &at);
  upload_runs++;
  write_long_answer (out, (enum framing)framing);
  (void)!write (fd, out, at);
  free (out);
  usleep (delay_us);
  if (by_reset != 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else
    for (int i = 0; i < UPLOAD_UNREAD_WAIT_US / 100 && unread == 0; i++)
      if (ioctl (fd, FIONREAD, &unread) != 0 || unread == 0)
        usleep (100);
  upload_cuts++;
}

/* Answers with the status that PATH selects, "/status/STATUS/VERSION".  */
static void
send_status (int fd, const char *path)
{
  char status[16] = "";
  char version[16] = "";
  char out[ANSWER_BYTES];

  sscanf (path, "/status/%15[^/]/%15s", status, version);
  status_runs++;
  snprintf (out, sizeof out,
            "HTTP/%s %s Odd 200\r\nContent-Length: %s\r\n\r\n", version,
            status, strcmp (status, "204") == 0 ? "0" : "5\r\nETag: \"e\"");
  net_send_text (fd, out);
  if (strcmp (status, "204") != 0)
    net_send_text (fd, "hello");
}

/* Answers without a body, with the status and the framing that PATH selects,
   "/bare/STATUS/FRAMING/BODY"; BODY: the body that it must not have follows.
 */
static void
send_bare (int fd, const char *path)
{
  const char *answer;
  const char *end;
  unsigned status = 0;
  unsigned framing = 0;
  unsigned body = 0;
  char out[ANSWER_BYTES];

  sscanf (path, "/bare/%u/%u/%u ", &status, &framing, &body);
  status_runs++;
  answer = strstr (answers[framing % FRAMING_COUNT], "\r\n");
  end = strstr (answer, "\r\n\r\n") + 4;
  snprintf (out, sizeof out, "HTTP/1.1 %u Odd%.*s", status,
            body != 0 ? (int)strlen (answer) : (int)(end - answer), answer);
  net_send_text (fd, out);
}

/* Serves one connection of the backend server and closes it.  */
static void *
serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  struct linger reset = { .l_onoff = 1 };
  char text[TEXT_BYTES];

  for (int count = 0; read_message (fd, text, sizeof text); count++)
    {
      const char *path = strstr (text, " /cut/");
      struct cut *cut;
      size_t at;
      unsigned whole;
      unsigned closes;

      if (sscanf (text, "GET /parts/%zu/%u ", &at, &closes) == 2)
        {
          send_in_parts (fd, at);
          if (closes != 0)
            break;
          continue;
        }
      if (sscanf (text, "GET /long/%u/%u ", &whole, &closes) == 2)
        {
          send_long (fd, whole != 0);
          if (closes != 0)
            break;
          continue;
        }
      if (strstr (text, " /upload/") != NULL)
        {
          send_cut_during_upload (fd, strstr (text, "/upload/"));
          break;
        }
      if (strstr (text, " /status/") != NULL)
        {
          send_status (fd, strstr (text, "/status/"));
          continue;
        }
      if (strstr (text, " /bare/") != NULL)
        {
          send_bare (fd, strstr (text, "/bare/"));
          continue;
        }
      if (path == NULL)
        {
          net_send_text (fd, answers[FRAMING_LENGTH]);
          continue;
        }
      cut = &sweep.cuts[strtoul (path + 6, NULL, 10) % CUTS_MAX];
      cut->runs++;
      cut->runs_reused += count > 0;
      (void)!write (fd, answers[cut->framing], cut->at);
      if (cut->reset)
        {
          usleep (PART_DELAY_US);
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
      break;
    }
  close (fd);
  return NULL;
}

/* Plays the control task: applies the commands of claims at once.  */
static void *
run_control (void *arg)
{
  struct inbox *inbox = arg;
  struct claim_opts opts = { .keys_max = 10000,
                             .bytes_max = 1024 * 1024 * 1024,
                             .retention_ms = 3600 * 1000 };
  struct claim *claim = claim_new (&opts);

  for (;;)
    {
      struct list messages;
      struct list_node *node;

      list_init (&messages);
      inbox_drain_until (inbox, clk_now () + clk_s (1), &messages);
      while ((node = list_pop_head (&messages)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);
          struct claim_result result;

          if (msg->kind == MSG_CLAIM
              && claim_apply (claim, clk_now () / CLK_US_PER_MS,
                              msg->u.propose.data, msg->u.propose.len, &result)
                     == SR_OK)
            {
              struct msg *reply = msg_new (MSG_RESULT);

              recorded_answers += result.kind == CLAIM_RECORDED;
              reply->u.result.request_id = msg->u.propose.request_id;
              (void)claim_result_encode (&result, &reply->u.result.data,
                                         &reply->u.result.len);
              inbox_put (front_inbox (front), reply);
            }
          msg_free (msg);
        }
    }
  return NULL;
}

static void *
run_front (void *arg)
{
  (void)arg;
  front_run (front);
  return NULL;
}

/* Makes a request at ADDRESS; returns whether a whole answer came.  */
static bool
make_request (const char *address, const char *method, const char *path,
              const char *body, char answer[TEXT_BYTES])
{
  char text[1024];
  int fd = net_connect (address);
  bool whole;

  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: a\r\nX-Caller-Id: c\r\n"
            "Idempotency-Key: k%u\r\nContent-Length: %zu\r\n\r\n%s",
            method, path, next_key++, strlen (body), body);
  net_send_text (fd, text);
  whole = read_message (fd, answer, TEXT_BYTES);
  close (fd);
  return whole;
}

static bool
is_served (const char *method)
{
  char answer[TEXT_BYTES];

  return make_request (listen_address, method, "/ok", "", answer)
         && strncmp (answer, "HTTP/1.1 200 ", 13) == 0
         && strstr (answer, "\r\n\r\nhello") != NULL;
}

/* Announces the backend server, which counts as down without it.  */
static void
announce_server (void)
{
  char body[256];
  char answer[TEXT_BYTES];

  snprintf (body, sizeof body,
            "{\"service\":\"a\",\"address\":\"%s\",\"slots\":64,"
            "\"connections\":64}",
            server_address);
  CU_ASSERT_TRUE (
      make_request (admin_address, "PUT", "/v1/backend", body, answer));
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 2", 10), 0);
}

static void
start_front (void)
{
  struct front_opts opts = { .peer_address = "127.0.0.1:1",
                             .instance = "n-1",
                             .failure_domain = "d" };
  struct inbox_opts inbox_opts = { .wake = INBOX_WAKE_CONDITION };
  struct inbox *control = inbox_new (&inbox_opts);
  struct inbox *peer = inbox_new (&inbox_opts);
  struct msg *model = msg_new (MSG_MODEL);
  pthread_t thread;
  int listener = net_bind (server_address);

  close (net_bind (listen_address));
  close (net_bind (admin_address));
  opts.listen_address = listen_address;
  opts.admin_address = admin_address;
  front = front_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (front);
  front_attach (front, peer, control);
  CU_ASSERT_EQUAL_FATAL (doc_parse (document, strlen (document), NULL, NULL,
                                    &model->u.model.model),
                         SR_OK);
  model->u.model.confirmed = true;
  inbox_put (front_inbox (front), model);
  net_serve (listener, serve_connection);
  pthread_create (&thread, NULL, run_control, control);
  pthread_detach (thread);
  pthread_create (&thread, NULL, run_front, NULL);
  pthread_detach (thread);
  usleep (100000);
  announce_server ();
  usleep (100000);
  CU_ASSERT_TRUE_FATAL (is_served ("GET"));
  CU_ASSERT_TRUE_FATAL (is_served ("POST"));
}

/* Makes the requests of the sweep that no other thread has made.  */
static void *
make_sweep_requests (void *arg)
{
  unsigned index;

  (void)arg;
  while ((index = sweep.next++) < sweep.count)
    {
      char path[64];

      if (sweep.warm && !is_served (sweep.method))
        sweep.unanswered++;
      snprintf (path, sizeof path, "/cut/%u", index);
      (void)make_request (listen_address, sweep.method, path, "",
                          sweep.cuts[index].answer);
    }
  return NULL;
}

/* Lists all cuts: all framings, after each byte before the end, by FIN and by
   RST.  */
static void
list_cuts (void)
{
  memset (&sweep, 0, sizeof sweep);
  for (int i = 0; i < 2 * FRAMING_COUNT; i++)
    {
      const char *text = answers[i / 2];
      size_t whole = strlen (text);

      /* An end by FIN is the declared end of such a body.  */
      if (i / 2 == FRAMING_CLOSE && i % 2 == 0)
        whole = (size_t)(strstr (text, "\r\n\r\n") - text) + 4;
      for (size_t at = 0; at < whole; at++)
        {
          struct cut *cut = &sweep.cuts[sweep.count++ % CUTS_MAX];

          cut->framing = (enum framing) (i / 2);
          cut->reset = i % 2 != 0;
          cut->at = at;
        }
    }
  CU_ASSERT_TRUE_FATAL (sweep.count <= CUTS_MAX);
}

/* Makes a request for each cut.  The caller must learn that it may have run,
   and it must have reached the server at most as often as it may.  */
static void
run_sweep (const char *method, bool warm, int runs_max)
{
  pthread_t threads[CALLERS];
  int runs = 0;
  unsigned reused = 0;

  list_cuts ();
  sweep.method = method;
  sweep.warm = warm;
  sweep.runs_max = runs_max;
  announce_server ();
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, make_sweep_requests, NULL);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  for (unsigned i = 0; i < sweep.count; i++)
    {
      const struct cut *cut = &sweep.cuts[i];
      unsigned long long seed
          = ((unsigned long long)cut->framing * 2 + cut->reset) * 1000
            + cut->at;

      SUITE_SEEDED (strncmp (cut->answer, "HTTP/1.1 502 ", 13) == 0, seed);
      SUITE_SEEDED (strstr (cut->answer, "; unknown\"") != NULL, seed);
      SUITE_SEEDED (strstr (cut->answer, "hello") == NULL, seed);
      SUITE_SEEDED (cut->runs >= 1 && cut->runs <= runs_max, seed);
      runs += cut->runs;
      reused += cut->runs_reused > 0;
    }
  printf (" %s%s: %u cuts, %d requests reached the server, %u cuts on a reused"
          " connection;",
          method, warm ? " warm" : "", sweep.count, runs, reused);
  CU_ASSERT_TRUE (!warm || reused >= sweep.count / 2);
  CU_ASSERT_EQUAL (sweep.unanswered, 0);
  announce_server ();
  CU_ASSERT_TRUE (is_served (method));
}

/* Guards against whole answers in chunks that count as broken off: their parts
   arrive apart, and the connection ends after them or not.  */
static void
test_answers_in_parts (void)
{
  size_t len = strlen (answers[FRAMING_CHUNKED]);

  announce_server ();
  for (size_t i = 0; i < 2 * len; i++)
    {
      char path[64];
      char answer[TEXT_BYTES];

      snprintf (path, sizeof path, "/parts/%zu/%zu", i / 2, i % 2);
      SUITE_SEEDED (make_request (listen_address, "GET", path, "", answer), i);
      SUITE_SEEDED (strncmp (answer, "HTTP/1.1 200 ", 13) == 0, i);
      SUITE_SEEDED (strstr (answer, "\r\nhello\r\n0\r\n\r\n") != NULL, i);
    }
}

/* Reads an answer until its last chunk or the end of the connection; returns
   whether it has the last chunk, and the bytes read in *LEN.  */
static bool
read_to_last_chunk (int fd, size_t *len)
{
  static const char last[] = "\r\n0\r\n\r\n";
  static char text[LONG_CHUNKS * (LONG_CHUNK_BYTES + 64)];
  size_t last_len = strlen (last);
  ssize_t received;

  *len = 0;
  while ((received = read (fd, text + *len, sizeof text - *len)) > 0)
    {
      *len += (size_t)received;
      if (*len >= last_len
          && memcmp (text + *len - last_len, last, last_len) == 0)
        return true;
    }
  return false;
}

/* Guards against the same for an answer of which the caller has the beginning
   already, and which waits in the node for a caller that reads late: with the
   last chunk it is whole, without it the caller must not get one.  */
static void
test_long_answers (void)
{
  announce_server ();
  for (unsigned i = 0; i < 12; i++)
    {
      bool whole = i % 3 != 2;
      char text[256];
      size_t len;
      int fd = net_connect (listen_address);

      snprintf (text, sizeof text,
                "GET /long/%d/%d HTTP/1.1\r\nHost: a\r\n"
                "X-Caller-Id: c\r\n\r\n",
                (int)whole, i % 3 != 0);
      net_send_text (fd, text);
      usleep (i / 3 * 30000);
      SUITE_SEEDED (read_to_last_chunk (fd, &len) == whole, i);
      SUITE_SEEDED (!whole || len > LONG_CHUNKS * LONG_CHUNK_BYTES, i);
      close (fd);
    }
}

/* Guards against an answer that the server has begun and not finished, in its
   head or its body, and that the caller gets as a whole one, and against "not
   run" for a request that has reached the server.  */
static void
test_cut_answers (void)
{
  run_sweep ("GET", false, ATTEMPTS_MAX);
  run_sweep ("GET", true, ATTEMPTS_MAX);
}

/* Guards against the same for requests that must not run twice, against a
   second run of them, and against an incomplete answer that is kept for a
   caller that sends its request again.  */
static void
test_cut_answers_run_once (void)
{
  int recorded_before = recorded_answers;

  run_sweep ("POST", false, 1);
  /* That of the request after the sweep.  */
  CU_ASSERT_EQUAL (recorded_answers - recorded_before, 1);
  run_sweep ("POST", true, 1);
}

/* Asks for each status.  The caller must learn of a bad one that the request
   may have run, and the request must have reached the server at most as often
   as it may.  */
static void
run_statuses (const char *method, int runs_max)
{
  static const char *const versions[] = { "1.1", "1.0" };
  char path[64];
  char answer[TEXT_BYTES];
  int total = 0;

  announce_server ();
  for (size_t i = 0; i < 4 * COUNT_OF (bad_statuses); i++)
    {
      int runs_before = status_runs;
      int runs;

      if (i % 2 != 0)
        SUITE_SEEDED (is_served (method), i);
      snprintf (path, sizeof path, "/status/%s/%s", bad_statuses[i / 4],
                versions[i / 2 % 2]);
      SUITE_SEEDED (make_request (listen_address, method, path, "", answer),
                    i);
      SUITE_SEEDED (strncmp (answer, "HTTP/1.1 502 ", 13) == 0, i);
      SUITE_SEEDED (strstr (answer, "; unknown\"") != NULL, i);
      SUITE_SEEDED (strstr (answer, "hello") == NULL, i);
      runs = status_runs - runs_before;
      SUITE_SEEDED (runs >= 1 && runs <= runs_max, i);
      total += runs;
    }
  printf (" %s: %zu requests, %d reached the server;", method,
          4 * COUNT_OF (bad_statuses), total);
  announce_server ();
  for (size_t i = 0; i < COUNT_OF (good_statuses); i++)
    {
      snprintf (path, sizeof path, "/status/%s/1.1", good_statuses[i]);
      SUITE_SEEDED (make_request (listen_address, method, path, "", answer),
                    i);
      SUITE_SEEDED (strncmp (answer + 9, good_statuses[i], 3) == 0, i);
    }
  CU_ASSERT_TRUE (is_served (method));
}

/* Guards against a status that is none, as of a server in trouble, and that
   the caller gets as an answer, against a second run of a request that must
   not run twice, and against such an answer that is kept for resends.  */
static void
test_status_of_server (void)
{
  int recorded_before;

  run_statuses ("GET", ATTEMPTS_MAX);
  recorded_before = recorded_answers;
  run_statuses ("POST", 1);
  /* Those of the other requests.  */
  CU_ASSERT_EQUAL (recorded_answers - recorded_before,
                   2 * COUNT_OF (bad_statuses) + COUNT_OF (good_statuses) + 1);
}

/* An upload, and what its caller sees.  */
struct upload
{
  int fd;
  size_t body_bytes;
  bool held;   /* the last piece comes after the end of the answer */
  bool failed; /* the connection was reset */
  size_t answer_len;
  char answer[2 * UPLOAD_ANSWER_BYTES];
};

/* Writes the body of an upload.  */
static void *
write_upload (void *arg)
{
  static const char piece[UPLOAD_PIECE_BYTES];
  struct upload *upload = arg;
  int cuts_before = upload_cuts;
  size_t sent = 0;

  while (sent < upload->body_bytes)
    {
      bool last = upload->body_bytes - sent <= sizeof piece;
      size_t len = last ? upload->body_bytes - sent : sizeof piece;
      ssize_t written;

      for (int i = 0;
           upload->held && last && upload_cuts == cuts_before && i < 4000; i++)
        usleep (1000);
      written = write (upload->fd, piece, len);
      if (written <= 0)
        {
          upload->failed = true;
          break;
        }
      sent += (size_t)written;
      usleep (UPLOAD_PIECE_DELAY_US);
    }
  return NULL;
}

static void
make_upload (struct upload *upload, const char *method, const char *path)
{
  pthread_t writer;
  char text[512];
  ssize_t received;

  upload->fd = net_connect (listen_address);
  upload->failed = false;
  upload->answer_len = 0;
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: a\r\nX-Caller-Id: c\r\n"
            "Connection: close\r\nIdempotency-Key: k%u\r\n"
            "Content-Length: %zu\r\n\r\n",
            method, path, next_key++, upload->body_bytes);
  net_send_text (upload->fd, text);
  pthread_create (&writer, NULL, write_upload, upload);
  do
    {
      received = read (upload->fd, upload->answer + upload->answer_len,
                       sizeof upload->answer - 1 - upload->answer_len);
      if (received > 0)
        upload->answer_len += (size_t)received;
      upload->answer[upload->answer_len] = '\0';
    }
  while (received > 0
         && !(strncmp (upload->answer, "HTTP/1.1 502 ", 13) == 0
              && is_whole (upload->answer)));
  pthread_join (writer, NULL);
  close (upload->fd);
}

/* Makes uploads for all answers that break off: in their head, after it, and
   in their body.  The caller must learn that the request may have run, or see
   that the answer breaks off; and it must have reached the server at most as
   often as it may.  */
static void
run_uploads (const char *method, int runs_max)
{
  static const size_t bodies[] = { 400 * 1024, 1024 * 1024 };
  static struct upload upload;
  static char answer[UPLOAD_ANSWER_BYTES];
  int runs_before = upload_runs;
  int refused = 0;
  int count = 0;

  for (unsigned i = 0; i < 8 * FRAMING_COUNT; i++)
    {
      size_t head_len = write_long_answer (answer, (enum framing) (i / 8));
      const size_t positions[] = { 0,
                                   9,
                                   head_len - 1,
                                   head_len,
                                   head_len + 5,
                                   head_len + 3000,
                                   head_len + 100000,
                                   head_len + 250000 };

      for (size_t j = 0; j < COUNT_OF (positions); j++)
        {
          unsigned long long seed = i * 1000000ull + positions[j];
          int runs = upload_runs;
          char path[64];

          announce_server ();
          snprintf (path, sizeof path, "/upload/%u/%u/%u/%zu", i / 8, i % 2,
                    i / 2 % 2 * 3000, positions[j]);
          /* The node sends a request that must not run twice when it has the
             whole body, which is shorter then.  */
          upload.held = runs_max > 1;
          upload.body_bytes = upload.held ? bodies[i / 4 % 2] : 200 * 1024;
          make_upload (&upload, method, path);
          runs = upload_runs - runs;
          count++;
          SUITE_SEEDED (runs >= 1 && runs <= runs_max, seed);
          if (strncmp (upload.answer, "HTTP/1.1 502 ", 13) == 0)
            {
              SUITE_SEEDED (strstr (upload.answer, "; unknown\"") != NULL,
                            seed);
              SUITE_SEEDED (strstr (upload.answer, "xx") == NULL, seed);
              refused++;
              continue;
            }
          SUITE_SEEDED (positions[j] > head_len, seed);
          SUITE_SEEDED (upload.failed || upload.answer_len > 0, seed);
          SUITE_SEEDED (upload.answer_len == 0
                            || strstr (upload.answer, "chunked\r\n") != NULL
                            || strstr (upload.answer, "9000000\r\n") != NULL,
                        seed);
          SUITE_SEEDED (strstr (upload.answer, "\r\n0\r\n") == NULL, seed);
        }
    }
  printf (" %s: %d uploads, %d requests reached the server, %d refused;",
          method, count, upload_runs - runs_before, refused);
  announce_server ();
  CU_ASSERT_TRUE (is_served (method));
}

/* Guards against the part of an answer that the caller gets as a whole one:
   the server answers at once, while the upload is being written, and resets or
   closes the connection.  And against a caller that gets no answer, because
   the node has stopped reading the upload.  */
static void
test_cut_during_upload (void)
{
  int recorded_before = recorded_answers;

  run_uploads ("POST", 1);
  /* That of the request after the uploads.  */
  CU_ASSERT_EQUAL (recorded_answers - recorded_before, 1);
  run_uploads ("PUT", ATTEMPTS_MAX);
}

/* Guards against an answer without a body (status 204 or 304) whose fields do
   not say so, and for whose body the node waits until the timeout of its
   request, and against fields that let the caller wait.  */
static void
test_answers_without_body (void)
{
  static const char *const statuses[] = { "204", "304" };
  static const char *const methods[] = { "GET", "POST", "PUT" };
  char answer[TEXT_BYTES];
  char expected[32];
  char path[64];

  announce_server ();
  for (int i = 0; i < 2 * 2 * 3 * FRAMING_COUNT; i++)
    {
      const char *method = methods[i / 4 % 3];
      int runs_before = status_runs;
      bool whole;

      snprintf (path, sizeof path, "/bare/%s/%d/%d", statuses[i % 2], i / 12,
                i / 2 % 2);
      snprintf (expected, sizeof expected, "HTTP/1.1 %s ", statuses[i % 2]);
      whole = make_request (listen_address, method, path, "", answer);
      SUITE_SEEDED (whole, i);
      SUITE_SEEDED (strncmp (answer, expected, strlen (expected)) == 0, i);
      SUITE_SEEDED (strcasestr (answer, "etag: \"e\"") != NULL, i);
      SUITE_SEEDED (strcasestr (answer, "content-length: ") == NULL, i);
      SUITE_SEEDED (strcasestr (answer, "transfer-encoding: ") == NULL, i);
      SUITE_SEEDED (strcmp (strstr (answer, "\r\n\r\n"), "\r\n\r\n") == 0, i);
      SUITE_SEEDED (status_runs - runs_before == 1, i);
      SUITE_SEEDED (is_served (method), i);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_front },
          { "answers in parts", test_answers_in_parts },
          { "long answers", test_long_answers },
          { "status of the server out of range", test_status_of_server },
          { "answers without a body", test_answers_without_body },
          { "answers cut during an upload", test_cut_during_upload },
          { "answers cut by the server", test_cut_answers },
          { "answers to non-idempotent requests", test_cut_answers_run_once },
          { NULL, NULL } };

  /* The server writes to connections that the node may have closed.  */
  signal (SIGPIPE, SIG_IGN);
  return suite_run ("front_head", tests);
}
