#include <stdio.h>
#include <string.h>

#include "core/digest.h"
#include "filters/chain.h"

/* Key of a child call without one, from the key of the chain's entry.  */
static void
flt_derive_key (struct flt_request *request)
{
  struct dig_part parts[] = {
    { request->chain_key, strlen (request->chain_key) },
    { request->service_name, strlen (request->service_name) },
    { request->kind->name, strlen (request->kind->name) },
    { request->path, strlen (request->path) },
    { &request->body_hash, sizeof request->body_hash },
  };
  uint8_t digest[DIG_BYTES];

  dig_128 (parts, sizeof parts / sizeof parts[0], digest);
  dig_text (digest, sizeof digest, request->claim_key);
}

struct flt_result
flt_key (struct flt_request *request)
{
  if (request->chain_key[0] == '\0')
    snprintf (request->chain_key, sizeof request->chain_key, "%s",
              request->key);
  if (request->kind->idempotent)
    return flt_continue ();
  if (!request->body_whole)
    return flt_refuse (RSN_BODY_TOO_LARGE, RSN_NOT_RUN);
  if (request->key[0] != '\0')
    snprintf (request->claim_key, sizeof request->claim_key, "%s",
              request->key);
  else if (request->chain_key[0] != '\0')
    flt_derive_key (request);
  else
    return flt_refuse (RSN_KEY_REQUIRED, RSN_NOT_RUN);
  return flt_continue ();
}
