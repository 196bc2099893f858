#ifndef PROGRAMS_NODE_SETTINGS_H
#define PROGRAMS_NODE_SETTINGS_H

/**
 * DOC: settings - settings of the node from flags and environment variables
 *
 * A flag goes before its environment variable, which has the flag's name in
 * capitals behind SYCAMORERUDDER_.
 */

#include <stdbool.h>
#include <stdint.h>

#define NODE_SETTINGS_TOKEN_BYTES 256
#define NODE_SETTINGS_KEY_BYTES 41

struct node_settings
{
  char *listen;
  char *admin;
  char *peer;
  char *failure_domain;
  char *instance;
  char *join;
  char *data_dir;
  char *operator_token_file;
  char *peer_key_file;
  char *drain_limit_text;
  char *log_severity;
  int control;
  int check_only;
  int platform; /* settings come from the platform's file */
  uint32_t drain_limit_ms;
  char token_buffer[NODE_SETTINGS_TOKEN_BYTES];
  const char *operator_token; /* NULL without a token file */
  char curve_secret_buffer[NODE_SETTINGS_KEY_BYTES];
  char curve_public_buffer[NODE_SETTINGS_KEY_BYTES];
  const char *curve_secret; /* NULL without a key file */
  const char *curve_public;
};

enum node_settings_result
{
  NODE_SETTINGS_RUN,
  NODE_SETTINGS_DONE, /* --help, --version or --check-settings was carried out
                       */
  NODE_SETTINGS_INVALID, /* a line on standard error names the fault */
};

enum node_settings_result node_settings_read (struct node_settings *settings,
                                              int argc, const char **argv);
void node_settings_free (struct node_settings *settings);

#endif
