#ifndef CORE_DECIMAL_H
#define CORE_DECIMAL_H

/**
 * DOC: decimal - unsigned decimal numbers in texts of other programs
 */

#include <stdint.h>

/**
 * decimal_parse() - parse a text that consists of decimal digits
 * @text: text, or NULL
 * @max: largest value that the caller can hold
 * @number: set on success, unchanged otherwise
 *
 * Return: SR_OK; SR_EMALFORMED for an empty text or one with another
 * character, also a sign or a space; SR_EINVAL for a value above @max.
 */
int decimal_parse (const char *text, uint64_t max, uint64_t *number);

#endif
