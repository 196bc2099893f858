#ifndef CONTROLLERS_CLAIM_CODE_H
#define CONTROLLERS_CLAIM_CODE_H

/**
 * DOC: clm_code - binary form of claim commands and results
 */

#include "controllers/claim.h"

/* Decodes a command whose answer points into DATA.  Returns SR_OK,
   SR_EMALFORMED, SR_EVERSION.  */
int claim_decode (const uint8_t *data, size_t len,
                  struct claim_command *command);

#endif
