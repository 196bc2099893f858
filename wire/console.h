#ifndef WIRE_CONSOLE_H
#define WIRE_CONSOLE_H

/**
 * DOC: con - the operators' console
 *
 * Turns requests for the console into pages, downloads and changes to apply;
 * it opens no sockets.  The pages work without scripts.
 *
 * The form is edited at will, then reviewed against the version in force.
 * The page of the review holds the whole change (document, base version and
 * change id) in hidden fields, so that sending it again is safe.  A new
 * review gets a new change id, because a change id stands for one document.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONSOLE_CHANGE_ID_BYTES 64
#define CONSOLE_TOKEN_BYTES 512

/* For the answer's fields Content-Type, Content-Security-Policy and, with a
   download, Content-Disposition.  */
#define CONSOLE_PAGE_TYPE "text/html; charset=utf-8"
#define CONSOLE_PAGE_POLICY                                                   \
  "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "       \
  "frame-ancestors 'none'; base-uri 'none'"
#define CONSOLE_DOWNLOAD_TYPE "application/json"
#define CONSOLE_DOWNLOAD_DISPOSITION                                          \
  "attachment; filename=\"sycamorerudder.json\""

/* The version in force.  */
struct console_current
{
  uint64_t version;     /* 0 when there is no document yet */
  const char *document; /* not read when there is none */
  size_t len;
};

/* A change to the document, as sent by the page of a review.  */
struct console_change
{
  uint64_t base;
  char change_id[CONSOLE_CHANGE_ID_BYTES];
  char
      token[CONSOLE_TOKEN_BYTES]; /* operator's token as typed; may be empty */
  char *document;                 /* checked; malloc()ed, ends with NUL */
  size_t len;
};

enum console_outcome
{
  CONSOLE_ACCEPTED,
  CONSOLE_CONFLICT,
  CONSOLE_DENIED,      /* token missing or wrong */
  CONSOLE_UNAVAILABLE, /* what became of the change is not known */
};

enum console_request_kind
{
  CONSOLE_SHOW,   /* GET /console */
  CONSOLE_SUBMIT, /* POST /console */
  CONSOLE_RESULT, /* the node has tried to apply a change */
};

/**
 * struct console_request - what a page is asked for
 * @kind: which member of @u is in use; CONSOLE_SHOW has none
 * @in_force: version in force
 * @fresh_id: random change id for a review, such as 32 hex digits
 */
struct console_request
{
  enum console_request_kind kind;
  struct console_current current;
  const char *new_change_id;
  union
  {
    struct
    {
      const char *body; /* application/x-www-form-urlencoded */
      size_t len;
    } submit;
    struct
    {
      enum console_outcome outcome;
      uint64_t version; /* accepted, or in force at the conflict */
      const struct console_change *change;
    } result;
  } u;
};

enum console_response_kind
{
  CONSOLE_PAGE,
  CONSOLE_DOWNLOAD,
  CONSOLE_APPLY, /* the node applies the change and asks for its CONSOLE_RESULT
                  */
};

struct console_response
{
  enum console_response_kind kind;
  union
  {
    struct
    {
      int status; /* HTTP status */
      char *html;
      size_t len;
    } page;
    struct
    {
      char *document; /* canonical, with a line end */
      size_t len;
    } download;
    struct console_change apply;
  } u;
};

/**
 * console_page() - answer a request
 * @request: request
 * @response: set on success, released with console_response_free()
 *
 * Return: SR_OK, SR_ENOMEM.
 */
int console_page (const struct console_request *request,
                  struct console_response *response);

void console_response_free (struct console_response *response);

/**
 * console_same_origin() - whether a form comes from a page of this console
 * @origin: field Origin of the POST, NULL when absent
 * @host: field Host of the POST, NULL when absent
 *
 * A page of another site could otherwise send a form to the admin port of a
 * browser's own machine.  A name in @host other than "localhost" is refused,
 * because such a site can let its own name resolve to this address.
 */
bool console_same_origin (const char *origin, const char *host);

#endif
