#include <stdio.h>
#include <string.h>

#include "core/digest.h"
#include "filters/filter.h"

/* Derives the key of a child call without one from the key of the call
   chain.  */
static void
filter_derive_key (struct filter_request *request)
{
  struct digest_part parts[] = {
    { request->chain_key, strlen (request->chain_key) },
    { request->service_name, strlen (request->service_name) },
    { request->kind->name, strlen (request->kind->name) },
    { request->path, strlen (request->path) },
    { &request->body_hash, sizeof request->body_hash },
  };
  uint8_t digest[DIGEST_BYTES];

  digest_128 (parts, sizeof parts / sizeof parts[0], digest);
  digest_hex (digest, sizeof digest, request->claim_key);
}

/* Sets the key of the call chain, and the claim key of a non-idempotent
   request, whose body must be stored as a whole so that it can be hashed.  */
struct filter_result
filter_key (struct filter_request *request)
{
  if (request->chain_key[0] == '\0')
    snprintf (request->chain_key, sizeof request->chain_key, "%s",
              request->key);
  if (request->kind->idempotent)
    return filter_continue ();
  if (!request->body_complete)
    return filter_refuse (REASON_BODY_TOO_LARGE, REASON_NOT_RUN);
  if (request->key[0] != '\0')
    snprintf (request->claim_key, sizeof request->claim_key, "%s",
              request->key);
  else if (request->chain_key[0] != '\0')
    filter_derive_key (request);
  else
    return filter_refuse (REASON_KEY_REQUIRED, REASON_NOT_RUN);
  return filter_continue ();
}
