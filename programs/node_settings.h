#ifndef PROGRAMS_NODE_SETTINGS_H
#define PROGRAMS_NODE_SETTINGS_H

/**
 * DOC: nst - settings of the node from flags and environment variables
 *
 * A flag goes before its environment variable, which has the flag's name in
 * capitals behind SYCAMORERUDDER_.
 */

#include <stdbool.h>
#include <stdint.h>

#define NST_TOKEN_BYTES 256
#define NST_KEY_BYTES 41

struct nst
{
  char *listen;
  char *admin;
  char *peer;
  char *failure_domain;
  char *instance;
  char *join;
  char *data_dir;
  char *token_file;
  char *curve_file;
  char *drain_limit;
  char *log_severity;
  int control;
  int check;
  int platform; /* settings come from the platform's file */
  uint32_t drain_limit_ms;
  char token[NST_TOKEN_BYTES];
  const char *operator_token; /* NULL without a token file */
  char secret[NST_KEY_BYTES];
  char public[NST_KEY_BYTES];
  const char *curve_secret; /* NULL without a key file */
  const char *curve_public;
};

enum nst_result
{
  NST_RUN,
  NST_DONE,  /* --help, --version or --check-settings was carried out */
  NST_WRONG, /* a line on standard error names the fault */
};

enum nst_result nst_read (struct nst *settings, int argc, const char **argv);
void nst_free (struct nst *settings);

#endif
