#ifndef PROGRAMS_NODE_SETTINGS_H
#define PROGRAMS_NODE_SETTINGS_H

/**
 * DOC: node_settings - settings from flags and environment variables
 *
 * A flag takes precedence over its environment variable, which is
 * SYCAMORERUDDER_ with the name of the flag in capitals, such as
 * SYCAMORERUDDER_DATA_DIR for --data-dir.
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
  char *memory_text;
  char *log_severity;
  int control;
  int check_only;
  int platform; /* take the settings from the platform's file */
  uint32_t drain_limit_ms;
  uint32_t memory_mb;
  char token_buffer[NODE_SETTINGS_TOKEN_BYTES];
  const char *operator_token; /* NULL without a token file */
  char curve_secret_buffer[NODE_SETTINGS_KEY_BYTES];
  char curve_public_buffer[NODE_SETTINGS_KEY_BYTES];
  const char *curve_secret; /* NULL without a key file */
  const char *curve_public;
};

enum node_settings_result
{
  NODE_SETTINGS_RUN,     /* run the node */
  NODE_SETTINGS_DONE,    /* --version or --check-settings was handled; exit */
  NODE_SETTINGS_INVALID, /* the invalid setting was printed */
};

/* Reads and validates the flags, the variables and the files that they name
   into SETTINGS, which is zero-initialized.  */
enum node_settings_result node_settings_read (struct node_settings *settings,
                                              int argc, const char **argv);
void node_settings_free (struct node_settings *settings);

#endif
