#ifndef TESTS_GATE_FIXTURE_H
#define TESTS_GATE_FIXTURE_H

/**
 * DOC: gate_fixture - a gate task and its backend server in a test
 *
 * The gate has the users' platform as adapter.  Its backend server is one of
 * service "a", and the only one unless there is a second gate with its own.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/platform.h"
#include "tasks/gate.h"
#include "tests/net.h"
#include "wire/nodehdr.h"

#define GATE_FIXTURE_ID_BYTES 64
#define GATE_FIXTURE_ANSWER_BYTES 512

/* A configuration with one route, /r/ of host "h", whose requests can be sent
   again.  */
static const char gate_fixture_document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",2,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

struct gate_fixture_opts
{
  const char *document;     /* the configuration */
  clk_us stop_limit;        /* longest time of a graceful shutdown */
  uint32_t slots;           /* of each backend server */
  bool second;              /* start a second gate and server */
  uint32_t descriptors_max; /* 0: 512 */
  uint64_t memory_bytes; /* of the process as the gate is told; 0: default */
  /* Serves one connection of the backend server and closes it; the argument is
     its descriptor.  */
  void *(*serve) (void *fd);
};

/* A gate and its backend server.  */
struct gate_fixture_node
{
  struct gate_opts opts;
  struct gate *gate;
  struct inbox *control; /* gets the messages of the gate */
  pthread_t thread;
  char addresses[GATE_PORT_COUNT][NET_ADDRESS_BYTES];
  int server_listener;
  char server_address[NET_ADDRESS_BYTES];
};

struct gate_fixture
{
  struct gate_fixture_opts opts;
  struct gate_fixture_node nodes[2];
  struct gate *gate; /* of the first node; below, too */
  pthread_t gate_thread;
  char (*addresses)[NET_ADDRESS_BYTES];
  const char *server_address;
};

/* Reads a request with its body; returns false when the connection has
   ended.  */
static inline bool
gate_fixture_read_request (int fd, char *text, size_t size)
{
  size_t len = 0;

  for (;;)
    {
      char *head_end = memmem (text, len, "\r\n\r\n", 4);
      char *length_field = memmem (text, len, "Content-Length: ", 16);
      ssize_t received;

      if (head_end != NULL)
        {
          size_t head_len = (size_t)(head_end - text) + 4;
          size_t body_len = length_field != NULL && length_field < head_end
                                ? strtoul (length_field + 16, NULL, 10)
                                : 0;

          if (memmem (text, head_len, "chunked", 7) != NULL)
            body_len = memmem (head_end, len - (size_t)(head_end - text),
                               "0\r\n\r\n", 5)
                               != NULL
                           ? 0
                           : SIZE_MAX / 2;
          if (len >= head_len + body_len)
            {
              text[len] = '\0';
              return true;
            }
        }
      received = read (fd, text + len, size - 1 - len);
      if (received <= 0)
        return false;
      len += (size_t)received;
    }
}

/* Copies the id of REQUEST to ID, "" if it has none.  */
static inline void
gate_fixture_read_id (const char *request, char id[GATE_FIXTURE_ID_BYTES])
{
  const char *field = strstr (request, "X-Sycamorerudder-Request-Id: ");

  id[0] = '\0';
  if (field != NULL)
    sscanf (field, "X-Sycamorerudder-Request-Id: %63s", id);
}

/* Writes the head of the answer 200 to REQUEST, of a server with SLOTS slots,
   and the text BODY, which may be the beginning of a body of BODY_LEN bytes.
 */
static inline void
gate_fixture_write_answer (char out[GATE_FIXTURE_ANSWER_BYTES],
                           const char *request, unsigned slots,
                           const char *body, size_t body_len)
{
  char id[GATE_FIXTURE_ID_BYTES];

  gate_fixture_read_id (request, id);
  snprintf (out, GATE_FIXTURE_ANSWER_BYTES,
            "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Instance-Id: i-1\r\n"
            "X-Sycamorerudder-Server-Load: 0,0,%u,100\r\n"
            "X-Sycamorerudder-Response-Seal: s\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            id, slots, body_len, body);
}

/* Answers REQUEST with 200 and the body "ok".  */
static inline void
gate_fixture_answer (int fd, const char *request)
{
  char out[GATE_FIXTURE_ANSWER_BYTES];

  gate_fixture_write_answer (out, request, 4, "ok", 2);
  net_send_text (fd, out);
}

/* Connects to the port for nodes and sends a GET with the id ID and the fields
   of REQUEST, as another node does.  */
static inline int
gate_fixture_send_as_node (const struct gate_fixture *fixture, const char *id,
                           const struct nodehdr_request *request)
{
  int fd = net_connect (fixture->addresses[GATE_PORT_NODES]);
  char field[NODEHDR_TEXT_BYTES];
  char text[512];

  nodehdr_encode_request (request, field);
  snprintf (text, sizeof text,
            "GET /r/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
            "X-Sycamorerudder-Caller-Service: z\r\n"
            "X-Sycamorerudder-Deadline-Ms: %u\r\n"
            "X-Sycamorerudder-Request-Id: %s\r\n\r\n",
            NODEHDR_REQUEST_FIELD, field, (unsigned)request->timeout_ms, id);
  net_send_text (fd, text);
  return fd;
}

static inline void *
gate_fixture_run (void *arg)
{
  struct gate_fixture_node *node = arg;

  gate_run (node->gate);
  return NULL;
}

/* Gives the gate its configuration, and the list of members, of which all have
   a server.  */
static inline void
gate_fixture_configure (const struct gate_fixture *fixture,
                        const struct gate_fixture_node *node)
{
  const char *document = fixture->opts.document;
  struct msg *model = msg_new (MSG_MODEL);
  struct msg *view = msg_new (MSG_VIEW);
  char fault[API_FAULT_BYTES];

  CU_ASSERT_EQUAL_FATAL (platform_parse_document (document, strlen (document),
                                                  &model->u.model.model,
                                                  fault),
                         SR_OK);
  model->u.model.confirmed = true;
  for (int i = 0; i <= (int)fixture->opts.second; i++)
    {
      struct member_record record = { .service = "a",
                                      .failure_domain = "d",
                                      .slots = fixture->opts.slots,
                                      .state = MEMBER_SERVING,
                                      .incarnation = 1 };

      snprintf (record.instance, sizeof record.instance, "n-%d", i + 1);
      snprintf (record.address, sizeof record.address, "127.0.0.%d:1", i + 1);
      member_add_item (&view->u.items, &record);
    }
  inbox_put (gate_inbox (node->gate), model);
  inbox_put (gate_inbox (node->gate), view);
}

/* Starts the node with INDEX and its backend server.  Nodes find each other at
   the same port of different addresses.  */
static inline void
gate_fixture_start_node (struct gate_fixture *fixture, int index)
{
  static const char *const instances[] = { "n-1", "n-2" };
  struct gate_fixture_node *node = &fixture->nodes[index];
  struct gate_opts *gate = &node->opts;
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };

  node->server_listener = net_bind (node->server_address);
  net_serve (node->server_listener, fixture->opts.serve);
  for (int i = 0; i < GATE_PORT_COUNT; i++)
    {
      close (net_bind (node->addresses[i]));
      gate->listen_addresses[i] = node->addresses[i];
    }
  if (index > 0)
    snprintf (node->addresses[GATE_PORT_NODES], NET_ADDRESS_BYTES,
              "127.0.0.%d%s", index + 1,
              strchr (fixture->addresses[GATE_PORT_NODES], ':'));
  gate->instance = instances[index];
  gate->failure_domain = "d";
  gate->peer_address = "127.0.0.1:1";
  gate->service = "a";
  gate->backend_address = node->server_address;
  gate->adapter = platform_adapter ();
  gate->retry_budget = (struct budget_opts){ .ratio = 1,
                                             .retries_min = 100,
                                             .window = clk_s (10) };
  gate->stop_limit = fixture->opts.stop_limit;
  gate->heartbeat_interval = clk_s (60);
  gate->descriptors_max = fixture->opts.descriptors_max != 0
                              ? fixture->opts.descriptors_max
                              : 512;
  gate->memory_bytes = fixture->opts.memory_bytes;
  node->gate = gate_new (gate);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->gate);
  node->control = inbox_new (&inbox);
  gate_attach (node->gate, node->control, node->control);
  gate_fixture_configure (fixture, node);
  pthread_create (&node->thread, NULL, gate_fixture_run, node);
}

/* Starts the gates and their backend servers.  FIXTURE must outlive the use
   of all.  */
static inline void
gate_fixture_start (struct gate_fixture *fixture,
                    const struct gate_fixture_opts *opts)
{
  fixture->opts = *opts;
  fixture->addresses = fixture->nodes[0].addresses;
  fixture->server_address = fixture->nodes[0].server_address;
  gate_fixture_start_node (fixture, 0);
  if (opts->second)
    gate_fixture_start_node (fixture, 1);
  fixture->gate = fixture->nodes[0].gate;
  fixture->gate_thread = fixture->nodes[0].thread;
}

#endif
