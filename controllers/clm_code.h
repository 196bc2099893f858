#ifndef CONTROLLERS_CLM_CODE_H
#define CONTROLLERS_CLM_CODE_H

/**
 * DOC: clm_code - binary form of claim commands and results
 */

#include "controllers/clm.h"

/* Decodes a command whose answer points into DATA.  Returns SR_OK,
   SR_EMALFORMED, SR_EVERSION.  */
int clm_decode (const uint8_t *data, size_t len, struct clm_command *command);

#endif
