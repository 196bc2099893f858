#ifndef WIRE_PACK_H
#define WIRE_PACK_H

/**
 * DOC: pack - msgpack encoding of messages between nodes
 *
 * A message has two frames: the header, a msgpack array [version, kind,
 * stream, fields…], and the payload, raw bytes (body, command, document) that
 * may be empty.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/msg.h"

#define PACK_VERSION 1
/* Maximum size of a received frame: holds a document and its header.  */
#define PACK_FRAME_BYTES_MAX (2 * 1024 * 1024)

/* The frames of one message.  @payload refers to memory of the message, or is
   the same as @owned_payload when that is set.  */
struct pack_frames
{
  char *header;
  size_t header_len;
  const uint8_t *payload;
  size_t payload_len;
  uint8_t *owned_payload;
};

/**
 * pack_encode() - encode a message
 * @msg: message of a kind below MSG_WIRE_COUNT; must outlive @frames
 * @frames: set on success, to be freed with pack_frames_free()
 *
 * Return: SR_OK, SR_EINVAL for a kind that is not sent between nodes,
 * SR_ENOMEM.
 */
int pack_encode (const struct msg *msg, struct pack_frames *frames);
void pack_frames_free (struct pack_frames *frames);

/**
 * pack_decode() - decode the frames of one message
 * @header: header frame
 * @header_len: its length in bytes
 * @payload: payload frame
 * @payload_len: its length in bytes
 * @out: set to the message on success, to be freed with msg_free()
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EVERSION, SR_ENOMEM.
 */
int pack_decode (const void *header, size_t header_len, const void *payload,
                 size_t payload_len, struct msg **out);

#endif
