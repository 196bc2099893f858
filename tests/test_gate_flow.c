#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clk.h"
#include "core/inbox.h"
#include "core/msg.h"
#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define SEEDS 24
#define CONNECTIONS 8
#define PIPELINED_MAX 6
#define BLOCK_BYTES (32 * 1024)
#define HEAD_BYTES 4096
/* Time in which all answers of a run must be there; the sum of the pauses of
   the slowest client is under 1 s.  */
#define RUN_ENDS_US clk_s (8)
#define CONFIG_BYTES (3 * 1024 * 1024)

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",9,2,2,null,2,\"a\"],"
      "[\"u\",\"h\",\"/u/\",\"upload\",9,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":4000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

/* Sizes of bodies: around the limits of the buffers on the way.  */
static const size_t sizes[]
    = { 0,      1,       1000,    16384,   65535,   65536,  65537,
        100000, 131072,  262143,  262144,  300000,  400000, 524288,
        900000, 1048575, 1048576, 1048577, 1300000, 2097152 };

#define SIZE_COUNT (sizeof sizes / sizeof sizes[0])

static struct gate_fixture fixture;
static struct gate_fixture config_fixture;
static atomic_int wrong_bytes;

/* Byte of all bodies of the request with number ID.  */
static char
fill_of (unsigned id)
{
  return (char)('a' + id % 26);
}

/* A connection from which heads and bodies are read.  */
struct stream
{
  int fd;
  useconds_t pause_us; /* before each read */
  size_t len;          /* bytes in @data */
  char data[BLOCK_BYTES];
};

/* Reads more bytes; false when the connection has ended.  */
static bool
stream_fill (struct stream *stream)
{
  ssize_t len;

  if (stream->pause_us > 0)
    usleep (stream->pause_us);
  len = read (stream->fd, stream->data + stream->len,
              sizeof stream->data - stream->len);
  if (len <= 0)
    return false;
  stream->len += (size_t)len;
  return true;
}

static void
stream_drop (struct stream *stream, size_t len)
{
  memmove (stream->data, stream->data + len, stream->len - len);
  stream->len -= len;
}

/* Moves a head to HEAD; false when the connection has ended.  */
static bool
stream_read_head (struct stream *stream, char head[HEAD_BYTES])
{
  char *end;
  size_t len;

  while ((end = memmem (stream->data, stream->len, "\r\n\r\n", 4)) == NULL)
    if (!stream_fill (stream))
      return false;
  len = (size_t)(end - stream->data) + 4;
  memcpy (head, stream->data, len);
  head[len] = '\0';
  stream_drop (stream, len);
  return true;
}

/* Reads the body that HEAD declares; counts bytes other than FILL.  */
static bool
stream_read_body (struct stream *stream, const char *head, char fill)
{
  const char *field = strstr (head, "Content-Length: ");
  size_t left = field != NULL ? strtoul (field + 16, NULL, 10) : 0;

  while (left > 0)
    {
      size_t len;

      if (stream->len == 0 && !stream_fill (stream))
        return false;
      len = stream->len < left ? stream->len : left;
      for (size_t i = 0; i < len; i++)
        wrong_bytes += stream->data[i] != fill;
      stream_drop (stream, len);
      left -= len;
    }
  return true;
}

/* Sends LEN bytes FILL.  */
static bool
send_fill (int fd, char fill, size_t len)
{
  char block[BLOCK_BYTES];

  memset (block, fill, sizeof block);
  while (len > 0)
    {
      ssize_t sent = send (fd, block, len < sizeof block ? len : sizeof block,
                           MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      len -= (size_t)sent;
    }
  return true;
}

/* Answers each request after its whole body has come, with as many bytes as
   the last segment of the path says.  */
static void *
server_serve_connection (void *arg)
{
  struct stream stream = { .fd = (int)(intptr_t)arg };
  char head[HEAD_BYTES];

  while (stream_read_head (&stream, head))
    {
      char *id_field = strstr (head, "X-Sycamorerudder-Request-Id: ");
      unsigned id = id_field != NULL
                        ? (unsigned)strtoul (strchr (id_field, ' '), NULL, 10)
                        : 0;
      size_t bytes = strtoul (strchr (head + 6, '/') + 1, NULL, 10);
      bool health = strstr (head, "GET /health ") != NULL;
      char out[256];

      if (!stream_read_body (&stream, head, fill_of (id)))
        break;
      snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %u\r\n%s"
                "X-Sycamorerudder-Response-Seal: s\r\n"
                "Content-Length: %zu\r\n\r\n",
                id,
                health ? "X-Sycamorerudder-Instance-Id: i-1\r\n"
                         "X-Sycamorerudder-Server-Load: 0,0,64,100\r\n"
                       : "",
                health ? 0 : bytes);
      net_send_text (stream.fd, out);
      if (!health && !send_fill (stream.fd, fill_of (id), bytes))
        break;
    }
  close (stream.fd);
  return NULL;
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 64,
                                    .serve = server_serve_connection };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
}

/* Requests on one connection.  */
struct exchange
{
  struct rng rng;
  struct stream stream;
  unsigned first_id;
  unsigned count;
  size_t answer_bytes[PIPELINED_MAX];
  size_t body_bytes[PIPELINED_MAX];
  unsigned answered;
};

/* Sends the requests of an exchange one after the other, without awaiting the
   answers.  */
static void *
send_requests (void *arg)
{
  struct exchange *exchange = arg;

  for (unsigned i = 0; i < exchange->count; i++)
    {
      unsigned id = exchange->first_id + i;
      char text[512];

      snprintf (text, sizeof text,
                "%s /%s/%zu HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n"
                "X-Sycamorerudder-Request-Id: %u\r\n"
                "X-Sycamorerudder-Deadline-Ms: 9000\r\n\r\n",
                exchange->body_bytes[i] > 0 ? "POST" : "GET",
                exchange->body_bytes[i] > 0 ? "u" : "r",
                exchange->answer_bytes[i], exchange->body_bytes[i], id);
      if (send (exchange->stream.fd, text, strlen (text), MSG_NOSIGNAL) < 0
          || !send_fill (exchange->stream.fd, fill_of (id),
                         exchange->body_bytes[i]))
        break;
    }
  return NULL;
}

/* Reads the answers of an exchange.  */
static void *
read_answers (void *arg)
{
  struct exchange *exchange = arg;
  char head[HEAD_BYTES];

  for (unsigned i = 0; i < exchange->count; i++)
    {
      char expected[64];

      snprintf (expected, sizeof expected, "Request-Id: %u\r\n",
                exchange->first_id + i);
      if (!stream_read_head (&exchange->stream, head)
          || strncmp (head, "HTTP/1.1 200 ", 13) != 0
          || strstr (head, expected) == NULL
          || !stream_read_body (&exchange->stream, head,
                                fill_of (exchange->first_id + i)))
        break;
      exchange->answered++;
    }
  return NULL;
}

/* Draws the requests of an exchange: a pipeline of reads or, as a caller may
   not send these before an answer, one upload.  */
static void
draw_exchange (struct exchange *exchange, unsigned seed, unsigned index)
{
  static const useconds_t pauses_us[] = { 0, 0, 200, 1000 };

  memset (exchange, 0, sizeof *exchange);
  rng_seed (&exchange->rng, seed * 1000 + index);
  exchange->first_id = (seed * CONNECTIONS + index) * PIPELINED_MAX + 1;
  exchange->count = 1;
  if (rng_below (&exchange->rng, 3) == 0)
    exchange->body_bytes[0] = sizes[rng_below (&exchange->rng, SIZE_COUNT)];
  else
    exchange->count = 1 + rng_below (&exchange->rng, PIPELINED_MAX);
  for (unsigned i = 0; i < exchange->count; i++)
    exchange->answer_bytes[i] = sizes[rng_below (&exchange->rng, SIZE_COUNT)];
  exchange->stream.fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  exchange->stream.pause_us = pauses_us[rng_below (&exchange->rng, 4)];
}

/* Guards against a read that was paused and is not resumed: requests with long
   bodies and answers, pipelined and read at different rates, must all be
   answered in full.  Half of the runs begin with new connections to the
   server.  */
static void
test_bodies_of_all_sizes (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      static struct exchange exchanges[CONNECTIONS];
      pthread_t senders[CONNECTIONS];
      pthread_t readers[CONNECTIONS];
      clk_us start = clk_now ();

      for (unsigned i = 0; i < CONNECTIONS; i++)
        {
          draw_exchange (&exchanges[i], seed, i);
          pthread_create (&senders[i], NULL, send_requests, &exchanges[i]);
          pthread_create (&readers[i], NULL, read_answers, &exchanges[i]);
        }
      for (unsigned i = 0; i < CONNECTIONS; i++)
        {
          pthread_join (readers[i], NULL);
          shutdown (exchanges[i].stream.fd, SHUT_RDWR);
          pthread_join (senders[i], NULL);
          close (exchanges[i].stream.fd);
        }
      for (unsigned i = 0; i < CONNECTIONS; i++)
        SUITE_SEEDED (exchanges[i].answered == exchanges[i].count, seed);
      SUITE_SEEDED (wrong_bytes == 0, seed);
      SUITE_SEEDED (clk_now () - start < RUN_ENDS_US, seed);
    }
}

/* Guards against a long configuration whose sender waits for ever, because the
   read of it is paused; the control task must get all of it.  */
static void
test_long_configuration (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (1),
                                    .slots = 4,
                                    .serve = server_serve_connection };
  char *body = malloc (CONFIG_BYTES + 1);
  size_t len = sizeof document - 1;
  clk_us start;
  size_t received = 0;
  char text[256];
  int fd;

  gate_fixture_start (&config_fixture, &opts);
  /* White space is allowed after the document.  */
  memset (body, ' ', CONFIG_BYTES);
  memcpy (body, document, len);
  body[CONFIG_BYTES] = '\0';
  snprintf (text, sizeof text,
            "POST /-/Config.Replace HTTP/1.1\r\nHost: n\r\n"
            "X-Sycamorerudder-Base-Version: r0\r\n"
            "Content-Length: %d\r\n\r\n",
            CONFIG_BYTES);
  fd = net_connect (config_fixture.addresses[GATE_PORT_CONTROL]);
  net_send_text (fd, text);
  net_send_text (fd, body);
  start = clk_now ();
  while (received == 0 && clk_now () < start + clk_s (3))
    {
      struct list messages;
      struct list_node *node;

      usleep (10000);
      list_init (&messages);
      inbox_drain (config_fixture.nodes[0].control, &messages);
      while ((node = list_pop_head (&messages)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          if (msg->kind == MSG_ADMIN)
            received = msg->u.admin.len;
          msg_free (msg);
        }
    }
  CU_ASSERT_EQUAL (received, CONFIG_BYTES);
  close (fd);
  free (body);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "bodies of all sizes", test_bodies_of_all_sizes },
          { "long configuration", test_long_configuration },
          { NULL, NULL } };

  return suite_run ("gate_flow", tests);
}
