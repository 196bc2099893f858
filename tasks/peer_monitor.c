#include "tasks/peer_monitor.h"

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#define PEER_MONITOR_EVENTS                                                   \
  (ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED)

void *
peer_monitor_open (void *context, void *socket)
{
  char endpoint[64];
  void *monitor = zmq_socket (context, ZMQ_PAIR);
  int linger = 0;

  if (monitor == NULL)
    return NULL;
  zmq_setsockopt (monitor, ZMQ_LINGER, &linger, sizeof linger);
  /* The address of an open socket is unique in its process.  */
  snprintf (endpoint, sizeof endpoint, "inproc://monitor-%p", socket);
  if (zmq_socket_monitor (socket, endpoint, PEER_MONITOR_EVENTS) == 0
      && zmq_connect (monitor, endpoint) == 0)
    return monitor;
  zmq_close (monitor);
  return NULL;
}

void
peer_monitor_close (void *monitor, void *socket)
{
  if (monitor == NULL)
    return;
  zmq_socket_monitor (socket, NULL, 0);
  zmq_close (monitor);
}

/* Reads one event message: a frame with the event number (16 bits) and its
   value, and a frame with the endpoint.  Returns the event number, or 0 when
   there is no message.  */
static uint16_t
peer_monitor_read (void *monitor)
{
  uint16_t event = 0;
  zmq_msg_t frame;

  zmq_msg_init (&frame);
  if (zmq_msg_recv (&frame, monitor, ZMQ_DONTWAIT) >= 0)
    {
      memcpy (&event, zmq_msg_data (&frame), sizeof event);
      zmq_msg_recv (&frame, monitor, ZMQ_DONTWAIT);
    }
  zmq_msg_close (&frame);
  return event;
}

enum peer_monitor_event
peer_monitor_next (void *monitor)
{
  if (monitor == NULL)
    return PEER_MONITOR_NONE;
  switch (peer_monitor_read (monitor))
    {
    case 0:
      return PEER_MONITOR_NONE;
    case ZMQ_EVENT_HANDSHAKE_SUCCEEDED:
      return PEER_MONITOR_ESTABLISHED;
    default:
      return PEER_MONITOR_ENDED;
    }
}
