#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "wire/console.h"
#include "wire/doc.h"

/* The name is given by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
ignore_fault (void *arg, const char *path, const char *text)
{
  (void)arg;
  INVARIANT (path[0] != '\0' && text[0] != '\0');
}

/* The canonical text of a valid document must be valid, and equal to its own
   canonical text.  */
static void
read_document (const char *text, size_t len)
{
  struct model *model = NULL;
  char *canonical;
  char *canonical_again;

  if (doc_parse (text, len, ignore_fault, NULL, &model) != SR_OK)
    {
      INVARIANT (model == NULL);
      return;
    }
  model_unref (model);
  canonical = doc_canonical (text, len);
  INVARIANT (canonical != NULL);
  canonical_again = doc_canonical (canonical, strlen (canonical));
  INVARIANT (canonical_again != NULL
             && strcmp (canonical, canonical_again) == 0);
  free (canonical);
  free (canonical_again);
}

/* A change or download that the console returns must be a valid document.  */
static void
read_form (const char *body, size_t len)
{
  struct console_request request
      = { .kind = CONSOLE_SUBMIT, .new_change_id = "1" };
  struct console_response response;

  request.u.submit.body = body;
  request.u.submit.len = len;
  INVARIANT (console_respond (&request, &response) == SR_OK);
  switch (response.kind)
    {
    case CONSOLE_PAGE:
      break;
    case CONSOLE_DOWNLOAD:
      INVARIANT (sr_document_check (response.u.download.document,
                                    response.u.download.len, NULL, NULL)
                 == SR_OK);
      break;
    case CONSOLE_APPLY:
      INVARIANT (sr_document_check (response.u.apply.document,
                                    response.u.apply.len, NULL, NULL)
                 == SR_OK);
      break;
    }
  console_response_free (&response);
}

/* Input that begins with "{" is read as a document, other input as a form.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data;

  if (size > 0 && data[0] == '{')
    read_document (text, size);
  else
    read_form (text, size);
  return 0;
}
