#ifndef WIRE_CONSOLE_H
#define WIRE_CONSOLE_H

/**
 * DOC: console - HTML console of the operators, without scripts
 *
 * Computes the response to a request: a page, a download or a change that the
 * node is to apply.  It opens no sockets.
 *
 * The operator edits a form, then reviews the difference to the current
 * version.  The review page holds the whole change (document, base version and
 * change id) in hidden fields, so that submitting it again is safe.  Each
 * review has a new change id, because a change id identifies one document.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONSOLE_CHANGE_ID_BYTES 64
#define CONSOLE_TOKEN_BYTES 512

/* Values of the response fields Content-Type, Content-Security-Policy and, for
   a download, Content-Disposition.  */
#define CONSOLE_PAGE_TYPE "text/html; charset=utf-8"
#define CONSOLE_PAGE_POLICY                                                   \
  "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "       \
  "frame-ancestors 'none'; base-uri 'none'"
#define CONSOLE_DOWNLOAD_TYPE "application/json"
#define CONSOLE_DOWNLOAD_DISPOSITION                                          \
  "attachment; filename=\"sycamorerudder.json\""

/* The current version of the document.  */
struct console_current
{
  uint64_t version;     /* 0: there is no document yet */
  const char *document; /* not read when @version is 0 */
  size_t len;
};

/* A change to the document, as submitted by the review page.  */
struct console_change
{
  uint64_t base; /* version that the change is based on */
  char change_id[CONSOLE_CHANGE_ID_BYTES];
  char token[CONSOLE_TOKEN_BYTES]; /* as the operator entered it, or empty */
  char *document;                  /* validated; malloc()ed, ends with NUL */
  size_t len;
};

/* Result of a change.  */
enum console_outcome
{
  CONSOLE_ACCEPTED,
  CONSOLE_CONFLICT,    /* the base is not the current version */
  CONSOLE_DENIED,      /* token missing or wrong */
  CONSOLE_UNAVAILABLE, /* not known whether the change was accepted */
};

enum console_request_kind
{
  CONSOLE_SHOW,   /* GET /console */
  CONSOLE_SUBMIT, /* POST /console */
  CONSOLE_RESULT, /* the node has applied a change or failed to */
};

/**
 * struct console_request - request to the console
 * @kind: which member of @u is in use; CONSOLE_SHOW has none
 * @current: current version
 * @new_change_id: random change id for a review, such as 32 hex digits
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
      uint64_t version; /* accepted, or the current one after a conflict */
      const struct console_change *change;
    } result;
  } u;
};

enum console_response_kind
{
  CONSOLE_PAGE,
  CONSOLE_DOWNLOAD,
  CONSOLE_APPLY, /* the node is to apply the change, then to request
                    CONSOLE_RESULT */
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
      char *document; /* canonical, ends with a newline */
      size_t len;
    } download;
    struct console_change apply;
  } u;
};

/**
 * console_respond() - compute the response to a request
 * @request: request
 * @response: set on success, to be released with console_response_free()
 *
 * Return: SR_OK, SR_ENOMEM.
 */
int console_respond (const struct console_request *request,
                     struct console_response *response);

void console_response_free (struct console_response *response);

/**
 * console_same_origin() - check the origin of a submitted form
 * @origin: field Origin of the POST, NULL when absent
 * @host: field Host of the POST, NULL when absent
 *
 * Protects against cross-site request forgery: a page of another site could
 * submit a form to the admin port on the operator's own machine.  A host name
 * other than "localhost" is rejected, because another site can make its own
 * name resolve to this address (DNS rebinding).
 *
 * Return: true when the form comes from a page of this console.
 */
bool console_same_origin (const char *origin, const char *host);

#endif
