#ifndef WIRE_PACK_H
#define WIRE_PACK_H

/**
 * DOC: pck - encoding of messages between nodes
 *
 * A message has two frames: a msgpack array [version, kind, stream, fields…]
 * and raw bytes (body, command, document), which may be empty.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/msg.h"

#define PACK_VERSION 1
/* Largest frame that a peer may send: a document and its headers.  */
#define PACK_FRAME_BYTES_MAX (2 * 1024 * 1024)

/* The header frame, and the raw frame, which is part of the message unless
   @owned is set.  */
struct pack_frames
{
  char *header;
  size_t header_len;
  const uint8_t *payload;
  size_t payload_len;
  uint8_t *owned_payload;
};

int pack_encode (const struct msg *msg, struct pack_frames *frames);
void pack_frames_free (struct pack_frames *frames);

/**
 * pack_decode() - decode the frames of one message
 * @head: header frame
 * @head_len: its length
 * @raw: raw frame
 * @raw_len: its length
 * @out: the message on success, to be freed with msg_free()
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.
 */
int pack_decode (const void *head, size_t head_len, const void *raw,
                 size_t raw_len, struct msg **out);

#endif
