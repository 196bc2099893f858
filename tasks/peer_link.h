#ifndef TASKS_PEER_LINK_H
#define TASKS_PEER_LINK_H

/**
 * DOC: peer_link - failure detector for the connection to one remote node
 *
 * Tracks the open streams, the messages that the node has to answer and the
 * time of the last message, and decides when to ping the node and when the
 * connection counts as lost.  Does no I/O.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

/* Time without a received message after which a ping is sent while streams are
   open or an answer is due.  */
#define PEER_LINK_PING_US clk_ms (250)
/* Time without a sent message after which a ping keeps the link alive for the
   other node.  */
#define PEER_LINK_KEEPALIVE_US clk_ms (750)
/* Time without a message after which a node that serves our requests counts as
   lost.  */
#define PEER_LINK_LOST_US clk_ms (1000)
/* Time without a message after which a node whose requests we serve counts as
   lost.  */
#define PEER_LINK_INBOUND_LOST_US clk_ms (3000)

struct peer_link_stream
{
  struct list_node node;
  uint64_t id;
};

struct peer_link_opts
{
  clk_us lost_after; /* silence with open streams */
  /* Silence without streams while an answer is due.  Doubles with each loss
     until an answer arrives, so that a node that is suspended is not flooded
     with new connections.  */
  clk_us answer_timeout;
  clk_us answer_timeout_max;
  /* The same maximum for an established connection.  Its node is alive; the
     answer may wait behind a long message on a slow link, and a shorter time
     would begin that message again and again.  */
  clk_us slow_timeout_max;
};

struct peer_link
{
  struct peer_link_opts opts;
  struct list streams; /* struct peer_link_stream */
  clk_us last_received;
  clk_us last_sent;
  clk_us last_ping;
  clk_us answer_due_since; /* first message sent that is not answered, or 0 */
  bool resumed;            /* the wait for it was restarted */
  uint32_t losses;         /* since the last answer */
  bool connected;          /* the connection is established */
};

enum peer_link_action
{
  PEER_LINK_IDLE, /* nothing to do */
  PEER_LINK_PING, /* send a ping */
  PEER_LINK_LOST, /* report the node as lost */
};

void peer_link_init (struct peer_link *link, const struct peer_link_opts *opts,
                     clk_us now);

/* Records a message that the node has to answer.  */
void peer_link_expect_answer (struct peer_link *link, clk_us now);

/* Records a received message.  ANSWERS: it answers one of ours, which tells
   that those arrive, too.  */
void peer_link_receive (struct peer_link *link, bool answers, clk_us now);

/* Records the loss of the connection, which ends its streams.  */
void peer_link_lose (struct peer_link *link, clk_us now);

/* Restarts the wait for a due answer, once, after this process stood still: it
   may have arrived meanwhile.  */
void peer_link_resume (struct peer_link *link, clk_us now);

/* Returns the time for which the node has owed a message, or 0.  */
clk_us peer_link_silence (const struct peer_link *link, clk_us now);
void peer_link_add_stream (struct peer_link *link, uint64_t stream,
                           clk_us now);
void peer_link_remove_stream (struct peer_link *link, uint64_t stream);

/* Removes all streams.  */
void peer_link_clear (struct peer_link *link);

/* Returns what is due at NOW; PEER_LINK_IDLE while no stream is open and no
   answer is due.  */
enum peer_link_action peer_link_check (const struct peer_link *link,
                                       clk_us now);

#endif
