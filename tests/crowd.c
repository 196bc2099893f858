/* A crowd of clients for scripts/mesh_crowd.sh: opens connections, sends on
   each what the options say, and holds them open until the process is killed.
   It sends as fast as the other side reads and never waits for a time.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/err.h"
#include "programs/tool_opt.h"

#define CROWD_PROGRAM "crowd"
#define CROWD_HEAD_BYTES 1024
#define CROWD_BLOCK_BYTES (64 * 1024)
#define CROWD_CHUNK_LINE_BYTES 24
#define CROWD_EVENTS 64
#define CROWD_STATUS_BYTES 96

/* What follows the header fields of a request.  */
enum crowd_body_kind
{
  CROWD_BODY_NONE,
  CROWD_BODY_LENGTH, /* a body with a length */
  CROWD_BODY_CHUNKS, /* a chunked body */
  CROWD_BODY_FIELD,  /* a header field that does not end */
};

struct crowd_body
{
  enum crowd_body_kind kind;
  union
  {
    uint64_t announced; /* CROWD_BODY_LENGTH: the length in the header */
    uint64_t chunk_len; /* CROWD_BODY_CHUNKS */
  } u;
  uint64_t sent_len; /* bytes that are sent, whatever was announced */
  bool finished;     /* CROWD_BODY_CHUNKS: the end of the body is sent */
};

struct crowd_options
{
  struct tool_opt_address address;
  uint64_t connections;
  uint64_t requests; /* on each connection, without waiting for answers */
  char *method;
  char *path;
  struct tool_opt_list fields;
  char *id_field;
  char *status_path;
  bool read_answers;
  struct crowd_body body;
};

struct crowd_connection
{
  int fd; /* -1: ended by the other side */
  bool connected;
  uint64_t request; /* number of the request that is being sent */
  uint64_t offset;  /* in this request */
  char head[CROWD_HEAD_BYTES];
  size_t head_len;
};

struct crowd
{
  struct crowd_options options;
  struct crowd_connection *connections;
  int epoll_fd;
  int status_fd; /* -1: none */
  char block[CROWD_BLOCK_BYTES + CROWD_CHUNK_LINE_BYTES];
  size_t block_len;  /* the bytes after the head repeat with this period */
  uint64_t body_len; /* bytes after the head, without the tail */
  const char *tail;
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t connected_count;
  uint64_t sent_count;  /* connections on which all was sent */
  uint64_t ended_count; /* connections that the other side has ended */
};

/* Fills the block with chunks and sets the length of the whole body, without
   its end.  */
static void
crowd_build_chunks (struct crowd *crowd)
{
  const struct crowd_body *body = &crowd->options.body;
  char line[CROWD_CHUNK_LINE_BYTES];
  size_t line_len = (size_t)snprintf (line, sizeof line, "%llx\r\n",
                                      (unsigned long long)body->u.chunk_len);
  size_t chunk_len = line_len + body->u.chunk_len + 2;

  do
    {
      memcpy (crowd->block + crowd->block_len, line, line_len);
      memset (crowd->block + crowd->block_len + line_len, 'x',
              body->u.chunk_len);
      crowd->block_len += chunk_len;
      memcpy (crowd->block + crowd->block_len - 2, "\r\n", 2);
    }
  while (crowd->block_len + chunk_len <= sizeof crowd->block);
  crowd->body_len = body->sent_len / body->u.chunk_len * chunk_len;
  if (body->finished)
    crowd->tail = "0\r\n\r\n";
}

static void
crowd_build_body (struct crowd *crowd)
{
  crowd->tail = "";
  switch (crowd->options.body.kind)
    {
    case CROWD_BODY_NONE:
      return;
    case CROWD_BODY_CHUNKS:
      crowd_build_chunks (crowd);
      return;
    case CROWD_BODY_LENGTH:
    case CROWD_BODY_FIELD:
      memset (crowd->block, 'x', CROWD_BLOCK_BYTES);
      crowd->block_len = CROWD_BLOCK_BYTES;
      crowd->body_len = crowd->options.body.sent_len;
      return;
    }
}

static void
crowd_add_head (struct crowd_connection *connection, const char *name,
                const char *value)
{
  size_t left = sizeof connection->head - connection->head_len;
  int len = snprintf (connection->head + connection->head_len, left, "%s%s",
                      name, value);

  INVARIANT (len >= 0 && (size_t)len < left);
  connection->head_len += (size_t)len;
}

/* Writes the head of the next request of CONNECTION.  */
static void
crowd_build_head (const struct crowd *crowd,
                  struct crowd_connection *connection)
{
  const struct crowd_options *options = &crowd->options;
  char number[64];

  connection->head_len = 0;
  connection->offset = 0;
  crowd_add_head (connection, options->method, " ");
  crowd_add_head (connection, options->path, " HTTP/1.1\r\n");
  for (size_t i = 0; i < options->fields.count; i++)
    crowd_add_head (connection, options->fields.items[i], "\r\n");
  if (options->id_field != NULL)
    {
      snprintf (number, sizeof number, ": crowd-%d-%zu-%llu\r\n",
                (int)getpid (), (size_t)(connection - crowd->connections),
                (unsigned long long)connection->request);
      crowd_add_head (connection, options->id_field, number);
    }
  switch (options->body.kind)
    {
    case CROWD_BODY_NONE:
      crowd_add_head (connection, "\r\n", "");
      return;
    case CROWD_BODY_LENGTH:
      snprintf (number, sizeof number, "%llu\r\n\r\n",
                (unsigned long long)options->body.u.announced);
      crowd_add_head (connection, "Content-Length: ", number);
      return;
    case CROWD_BODY_CHUNKS:
      crowd_add_head (connection, "Transfer-Encoding: chunked\r\n\r\n", "");
      return;
    case CROWD_BODY_FIELD:
      crowd_add_head (connection, "X-Fill: ", "");
      return;
    }
}

/* Sets *BYTES to the next bytes of CONNECTION and returns their number, 0 at
   the end of the request.  */
static size_t
crowd_next_bytes (const struct crowd *crowd,
                  const struct crowd_connection *connection,
                  const char **bytes)
{
  uint64_t offset = connection->offset;
  uint64_t left;
  size_t at;

  if (offset < connection->head_len)
    {
      *bytes = connection->head + offset;
      return connection->head_len - offset;
    }
  offset -= connection->head_len;
  if (offset >= crowd->body_len)
    {
      offset -= crowd->body_len;
      *bytes = crowd->tail + offset;
      return strlen (crowd->tail) - offset;
    }
  left = crowd->body_len - offset;
  at = offset % crowd->block_len;
  *bytes = crowd->block + at;
  return left < crowd->block_len - at ? left : crowd->block_len - at;
}

static void
crowd_end (struct crowd *crowd, struct crowd_connection *connection)
{
  close (connection->fd);
  connection->fd = -1;
  crowd->ended_count++;
}

static void
crowd_watch (const struct crowd *crowd, struct crowd_connection *connection,
             int operation, uint32_t events)
{
  struct epoll_event event
      = { .events = events | EPOLLRDHUP, .data.ptr = connection };

  if (crowd->options.read_answers)
    event.events |= EPOLLIN;
  INVARIANT (epoll_ctl (crowd->epoll_fd, operation, connection->fd, &event)
             == 0);
}

static void
crowd_send (struct crowd *crowd, struct crowd_connection *connection)
{
  const char *bytes;
  size_t len;
  ssize_t sent;

  while (connection->request < crowd->options.requests)
    {
      len = crowd_next_bytes (crowd, connection, &bytes);
      if (len == 0)
        {
          connection->request++;
          crowd_build_head (crowd, connection);
          continue;
        }
      sent = send (connection->fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno == EAGAIN)
        return;
      if (sent < 0)
        {
          crowd_end (crowd, connection);
          return;
        }
      connection->offset += (uint64_t)sent;
      crowd->sent_bytes += (uint64_t)sent;
    }
  crowd->sent_count++;
  crowd_watch (crowd, connection, EPOLL_CTL_MOD, 0);
}

/* Drops what was received.  Returns false when the other side has ended the
   connection.  */
static bool
crowd_receive (struct crowd *crowd, struct crowd_connection *connection)
{
  static char buffer[CROWD_BLOCK_BYTES];
  ssize_t len = recv (connection->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  if (len > 0)
    crowd->received_bytes += (uint64_t)len;
  return len > 0 || (len < 0 && errno == EAGAIN);
}

static void
crowd_handle_event (struct crowd *crowd, const struct epoll_event *event)
{
  struct crowd_connection *connection = event->data.ptr;

  if ((event->events & EPOLLIN) != 0)
    {
      if (!crowd_receive (crowd, connection))
        {
          crowd_end (crowd, connection);
          return;
        }
    }
  else if ((event->events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
    {
      crowd_end (crowd, connection);
      return;
    }
  if ((event->events & EPOLLOUT) == 0)
    return;
  if (!connection->connected)
    crowd->connected_count++;
  connection->connected = true;
  crowd_send (crowd, connection);
}

/* Replaces the status file's line, which has a fixed length.  */
static void
crowd_write_status (const struct crowd *crowd)
{
  char line[CROWD_STATUS_BYTES + 1];
  char text[CROWD_STATUS_BYTES];

  snprintf (text, sizeof text,
            "connected=%llu sent=%llu ended=%llu bytes=%llu received=%llu",
            (unsigned long long)crowd->connected_count,
            (unsigned long long)crowd->sent_count,
            (unsigned long long)crowd->ended_count,
            (unsigned long long)crowd->sent_bytes,
            (unsigned long long)crowd->received_bytes);
  snprintf (line, sizeof line, "%-*s\n", CROWD_STATUS_BYTES - 1, text);
  if (crowd->status_fd >= 0
      && pwrite (crowd->status_fd, line, CROWD_STATUS_BYTES, 0) < 0)
    perror (CROWD_PROGRAM);
}

static void
crowd_connect (struct crowd *crowd, struct crowd_connection *connection)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (crowd->options.address.port) };

  inet_pton (AF_INET, crowd->options.address.ip, &address.sin_addr);
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  INVARIANT (connection->fd >= 0);
  crowd_build_head (crowd, connection);
  if (connect (connection->fd, (struct sockaddr *)&address, sizeof address)
          != 0
      && errno != EINPROGRESS)
    {
      crowd_end (crowd, connection);
      return;
    }
  crowd_watch (crowd, connection, EPOLL_CTL_ADD, EPOLLOUT);
}

static void
crowd_run (struct crowd *crowd)
{
  struct epoll_event events[CROWD_EVENTS];
  int count;

  for (;;)
    {
      crowd_write_status (crowd);
      count = epoll_wait (crowd->epoll_fd, events, CROWD_EVENTS, -1);
      for (int i = 0; i < count; i++)
        crowd_handle_event (crowd, &events[i]);
    }
}

/* Derives the kind of the body from the options that were given.  */
static void
crowd_set_body (struct crowd_options *options, uint64_t announced,
                uint64_t chunk_len, bool unfinished_field)
{
  struct crowd_body *body = &options->body;

  if (announced > 0)
    {
      body->kind = CROWD_BODY_LENGTH;
      body->u.announced = announced;
    }
  else if (chunk_len > 0)
    {
      body->kind = CROWD_BODY_CHUNKS;
      body->u.chunk_len = chunk_len;
    }
  else if (unfinished_field)
    body->kind = CROWD_BODY_FIELD;
}

static void
crowd_parse_options (struct crowd_options *options, int argc,
                     const char **argv)
{
  uint64_t announced = 0;
  uint64_t chunk_len = 0;
  bool unfinished_field = false;
  struct tool_opt_spec specs[] = {
    { .name = "to",
      .kind = TOOL_OPT_ADDRESS,
      .dest.address = &options->address,
      .arg = "IP:PORT",
      .help = "address to connect to" },
    { .name = "connections",
      .kind = TOOL_OPT_NUMBER,
      .dest.number = &options->connections,
      .min = 1,
      .max = 10000,
      .arg = "N",
      .help = "connections" },
    { .name = "requests",
      .kind = TOOL_OPT_NUMBER,
      .dest.number = &options->requests,
      .max = 10000,
      .arg = "N",
      .help = "requests on each connection, without waiting for answers" },
    { .name = "method",
      .kind = TOOL_OPT_TEXT,
      .dest.text = &options->method,
      .arg = "NAME",
      .help = "method" },
    { .name = "path",
      .kind = TOOL_OPT_TEXT,
      .dest.text = &options->path,
      .arg = "PATH",
      .help = "request target" },
    { .name = "field",
      .kind = TOOL_OPT_LIST,
      .dest.list = &options->fields,
      .arg = "NAME: VALUE",
      .help = "header field; repeatable" },
    { .name = "id-field",
      .kind = TOOL_OPT_TEXT,
      .dest.text = &options->id_field,
      .arg = "NAME",
      .help = "header field that gets a new value with each request" },
    { .name = "length",
      .kind = TOOL_OPT_NUMBER,
      .dest.number = &announced,
      .max = INT64_MAX,
      .arg = "BYTES",
      .help = "announce a body of this length" },
    { .name = "chunk",
      .kind = TOOL_OPT_NUMBER,
      .dest.number = &chunk_len,
      .max = CROWD_BLOCK_BYTES - CROWD_CHUNK_LINE_BYTES,
      .arg = "BYTES",
      .help = "send the body in chunks of this length" },
    { .name = "unfinished-field",
      .kind = TOOL_OPT_FLAG,
      .dest.flag = &unfinished_field,
      .help = "send a header field that does not end instead of a body" },
    { .name = "send",
      .kind = TOOL_OPT_NUMBER,
      .dest.number = &options->body.sent_len,
      .max = INT64_MAX,
      .arg = "BYTES",
      .help = "bytes of the body that are sent" },
    { .name = "finish",
      .kind = TOOL_OPT_FLAG,
      .dest.flag = &options->body.finished,
      .help = "send the end of a body in chunks" },
    { .name = "read",
      .kind = TOOL_OPT_FLAG,
      .dest.flag = &options->read_answers,
      .help = "read the answers" },
    { .name = "status",
      .kind = TOOL_OPT_TEXT,
      .dest.text = &options->status_path,
      .arg = "FILE",
      .help = "file that holds the current counts" },
    { .kind = TOOL_OPT_END },
  };

  tool_opt_parse (CROWD_PROGRAM, specs, argc, argv);
  if (options->address.port == 0)
    tool_opt_fail (CROWD_PROGRAM, "to", "", "IP:PORT");
  crowd_set_body (options, announced, chunk_len, unfinished_field);
}

int
main (int argc, const char **argv)
{
  static char method[] = "GET";
  static char path[] = "/";
  static struct crowd crowd = {
    .options
    = { .connections = 1, .requests = 1, .method = method, .path = path },
    .status_fd = -1
  };

  crowd_parse_options (&crowd.options, argc, argv);
  if (crowd.options.status_path != NULL)
    crowd.status_fd
        = open (crowd.options.status_path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
  crowd_build_body (&crowd);
  crowd.connections
      = calloc (crowd.options.connections, sizeof *crowd.connections);
  crowd.epoll_fd = epoll_create1 (0);
  INVARIANT (crowd.connections != NULL && crowd.epoll_fd >= 0);
  for (uint64_t i = 0; i < crowd.options.connections; i++)
    crowd_connect (&crowd, &crowd.connections[i]);
  crowd_run (&crowd);
  return 0;
}
