#ifndef INCLUDE_SYCAMORERUDDER_H
#define INCLUDE_SYCAMORERUDDER_H

/**
 * DOC: sycamorerudder - public interface of libsycamorerudder
 *
 * Overload control for service call graphs, as a library without sockets.
 * All functions return zero or a negative &enum sr_error unless stated
 * otherwise, and none of them blocks.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define SR_VERSION "0.1.0"

  /**
   * enum sr_error - error numbers returned by the library
   * @SR_OK: success
   * @SR_ENOMEM: out of memory
   * @SR_EINVAL: an argument or a value in a document is not allowed
   * @SR_EMALFORMED: encoded input is truncated or not in the expected format
   * @SR_EVERSION: encoded input has a version that this build does not know
   * @SR_EIO: a file operation failed
   * @SR_EDAMAGED: a stored record does not match its checksum
   * @SR_EFULL: a bounded table, queue or file system is full
   * @SR_ENOENT: no such item
   * @SR_EEXIST: the name is in use
   * @SR_ECONFLICT: the base version is not the version in force
   * @SR_ENOTLEADER: the replica does not lead its group
   * @SR_EAGAIN: the operation would block; try again later
   * @SR_EPERM: the operator's token is missing or wrong
   */
  enum sr_error
  {
    SR_OK = 0,
    SR_ENOMEM = -1,
    SR_EINVAL = -2,
    SR_EMALFORMED = -3,
    SR_EVERSION = -4,
    SR_EIO = -5,
    SR_EDAMAGED = -6,
    SR_EFULL = -7,
    SR_ENOENT = -8,
    SR_EEXIST = -9,
    SR_ECONFLICT = -10,
    SR_ENOTLEADER = -11,
    SR_EAGAIN = -12,
    SR_EPERM = -13,
  };

  /**
   * sr_strerror() - text for an error number
   * @error: value of &enum sr_error
   *
   * Return: a static string, never NULL.
   */
  const char *sr_strerror (int error);

  /**
   * typedef sr_fault_fn - receives one error found in a document
   * @arg: the caller's pointer
   * @path: path of the field, such as "services[0].kinds[1].importance"
   * @text: error message with the allowed values
   */
  typedef void (*sr_fault_fn) (void *arg, const char *path, const char *text);

  /**
   * sr_document_check() - check a configuration document as a whole
   * @text: JSON text, not necessarily terminated by NUL
   * @len: length of @text in bytes
   * @fault: called once for each error, may be NULL
   * @arg: passed to @fault
   *
   * Return: SR_OK, SR_EMALFORMED when @text is not JSON, SR_EVERSION for an
   * unknown format version, SR_EINVAL when at least one field is invalid.
   */
  int sr_document_check (const char *text, size_t len, sr_fault_fn fault,
                         void *arg);

#ifdef __cplusplus
}
#endif

#endif
