#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "wire/console.h"
#include "wire/doc.h"

/* libFuzzer fixes the name.  NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
ignore_fault (void *arg, const char *path, const char *text)
{
  (void)arg;
  INVARIANT (path[0] != '\0' && text[0] != '\0');
}

/* A document that is accepted must have a canonical text that is accepted
   and is its own canonical text.  */
static void
read_document (const char *text, size_t len)
{
  struct model *model = NULL;
  char *once;
  char *twice;

  if (doc_parse (text, len, ignore_fault, NULL, &model) != SR_OK)
    {
      INVARIANT (model == NULL);
      return;
    }
  model_unref (model);
  once = doc_canonical (text, len);
  INVARIANT (once != NULL);
  twice = doc_canonical (once, strlen (once));
  INVARIANT (twice != NULL && strcmp (once, twice) == 0);
  free (once);
  free (twice);
}

/* A change or download that the console hands out must be a document that is
   accepted.  */
static void
read_form (const char *body, size_t len)
{
  struct console_request request
      = { .kind = CONSOLE_SUBMIT, .new_change_id = "1" };
  struct console_response response;

  request.u.submit.body = body;
  request.u.submit.len = len;
  INVARIANT (console_page (&request, &response) == SR_OK);
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

/* Input that begins as a JSON object is a document, other input a form.  */
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
