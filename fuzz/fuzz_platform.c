/* Decodes what backend servers, operators and other nodes send to the gate,
   and the settings file.  The first byte of the input selects the decoder.  */
#include <stdlib.h>
#include <string.h>

#include "core/model.h"
#include "platform/platform.h"
#include "platform/wire.h"
#include "wire/nodehdr.h"

enum decoder
{
  DECODE_HEARTBEAT,
  DECODE_DEREGISTER,
  DECODE_CHANGE,
  DECODE_SETTINGS,
  DECODE_NODE_REQUEST,
  DECODE_NODE_ANSWER,
  DECODER_COUNT
};

/* Decodes a call; a heartbeat that is accepted must name a server that can be
   connected to.  */
static void
decode_call (const char *target, const char *text, size_t len)
{
  struct api_call call;

  platform_adapter ()->decode ("POST", target, "r1", text, len, &call);
  if (call.kind == API_HEARTBEAT
      && (call.u.heartbeat.slots == 0
          || strchr (call.u.heartbeat.address, ':') == NULL))
    abort ();
}

static void
decode_document (const char *text, size_t len)
{
  struct model *model = NULL;
  char fault[API_FAULT_BYTES] = "";

  decode_call (PLATFORM_ENDPOINT_REPLACE_CONFIG, text, len);
  platform_check_document (text, len, &model, fault);
  model_unref (model);
  platform_parse_document (text, len, &model, fault);
  model_unref (model);
}

static void
decode_settings (const char *text, size_t len)
{
  struct platform_settings settings;
  char fault[API_FAULT_BYTES] = "";

  platform_parse_settings (text, len, &settings, fault);
}

/* The name is given by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct nodehdr_request request;
  struct nodehdr_answer answer;
  char *text;

  if (size < 1)
    return 0;
  text = malloc (size);
  if (text == NULL)
    return 0;
  memcpy (text, data + 1, size - 1);
  text[size - 1] = '\0';
  switch ((enum decoder) (data[0] % DECODER_COUNT))
    {
    case DECODE_HEARTBEAT:
      decode_call (PLATFORM_ENDPOINT_HEARTBEAT "i-7", text, size - 1);
      break;
    case DECODE_DEREGISTER:
      decode_call (PLATFORM_ENDPOINT_DEREGISTER "i-7", text, size - 1);
      break;
    case DECODE_CHANGE:
      decode_document (text, size - 1);
      break;
    case DECODE_SETTINGS:
      decode_settings (text, size - 1);
      break;
    case DECODE_NODE_REQUEST:
      nodehdr_decode_request (text, &request);
      break;
    case DECODE_NODE_ANSWER:
      nodehdr_decode_answer (text, &answer);
      break;
    case DECODER_COUNT:
      break;
    }
  free (text);
  return 0;
}
