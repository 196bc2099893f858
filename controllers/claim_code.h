#ifndef CONTROLLERS_CLAIM_CODE_H
#define CONTROLLERS_CLAIM_CODE_H

/**
 * DOC: claim_code - binary encoding of claim commands and results
 */

#include "controllers/claim.h"

/* Decodes a command; its answer points into DATA.  Returns SR_OK,
   SR_EMALFORMED, SR_EVERSION.  */
int claim_command_decode (const uint8_t *data, size_t len,
                          struct claim_command *command);

#endif
