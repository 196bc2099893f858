#include "wire/urlform.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "sycamorerudder.h"

static int
urlform_hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  return tolower ((unsigned char)c) - 'a' + 10;
}

/* Decodes LEN bytes at IN to OUT and adds a NUL.  Returns the address after
   it.  */
static char *
urlform_decode (char *out, const char *in, size_t len)
{
  for (size_t i = 0; i < len; i++, out++)
    {
      *out = in[i];
      if (in[i] == '+')
        *out = ' ';
      else if (in[i] == '%' && len - i > 2
               && isxdigit ((unsigned char)in[i + 1])
               && isxdigit ((unsigned char)in[i + 2]))
        {
          *out = (char)(urlform_hex_value (in[i + 1]) * 16
                        + urlform_hex_value (in[i + 2]));
          i += 2;
        }
      if (*out == '\0')
        *out = '?';
    }
  *out = '\0';
  return out + 1;
}

/* Decodes the "name=value" pair in LEN bytes at IN and appends it.  */
static int
urlform_add_pair (struct urlform *form, const char *in, size_t len)
{
  const char *equals_sign = memchr (in, '=', len);
  size_t name_len = equals_sign == NULL ? len : (size_t)(equals_sign - in);
  size_t value_len = equals_sign == NULL ? 0 : len - name_len - 1;
  struct urlform_pair *pair = malloc (sizeof *pair + len + 2);

  if (pair == NULL)
    return SR_ENOMEM;
  pair->name = (char *)(pair + 1);
  pair->value = urlform_decode (pair->name, in, name_len);
  urlform_decode (pair->value, in + len - value_len, value_len);
  list_push_tail (&form->pairs, &pair->node);
  return SR_OK;
}

int
urlform_parse (struct urlform *form, const char *body, size_t len)
{
  size_t count = 0;
  int error = SR_OK;

  list_init (&form->pairs);
  if (len > URLFORM_BODY_BYTES_MAX)
    return SR_EFULL;
  while (len > 0 && error == SR_OK)
    {
      const char *end = memchr (body, '&', len);
      size_t pair_len = end == NULL ? len : (size_t)(end - body);

      if (pair_len > 0 && ++count > URLFORM_PAIRS_MAX)
        return SR_EFULL;
      if (pair_len > 0)
        error = urlform_add_pair (form, body, pair_len);
      if (end != NULL)
        pair_len++;
      body += pair_len;
      len -= pair_len;
    }
  return error;
}

void
urlform_free (struct urlform *form)
{
  list_each (node, &form->pairs)
    free (list_entry (node, struct urlform_pair, node));
  list_init (&form->pairs);
}

const char *
urlform_get (const struct urlform *form, const char *name)
{
  list_each (node, &form->pairs)
    {
      const struct urlform_pair *pair
          = list_entry (node, struct urlform_pair, node);

      if (strcmp (pair->name, name) == 0)
        return pair->value;
    }
  return NULL;
}
