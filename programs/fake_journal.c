#include "programs/fake_journal.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"

#define FAKE_JOURNAL_LINE_BYTES 1024
#define FAKE_JOURNAL_FILE_MODE 0644

int
fake_journal_open (struct fake_state *fake)
{
  fake->journal_fd = -1;
  if (fake->options.journal == NULL)
    return SR_OK;
  fake->journal_fd
      = open (fake->options.journal, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
              FAKE_JOURNAL_FILE_MODE);
  return fake->journal_fd < 0 ? SR_EIO : SR_OK;
}

static void
fake_journal_write_line (const struct fake_state *fake, const char *line,
                         int len)
{
  if (len > 0 && len < FAKE_JOURNAL_LINE_BYTES
      && write (fake->journal_fd, line, (size_t)len) != (ssize_t)len)
    slog (SLOG_ERR, "cannot write to the journal file=%s",
          fake->options.journal);
}

static const char *
fake_journal_value (const char *value)
{
  return value[0] != '\0' ? value : "-";
}

void
fake_journal_write_event (const struct fake_request *request,
                          const char *event)
{
  const struct tool_answer_echo *echo = &request->echo;
  char line[FAKE_JOURNAL_LINE_BYTES];
  int len;

  if (request->fake->journal_fd < 0)
    return;
  len = snprintf (line, sizeof line,
                  "%" PRIu64 " %s %s %s key=%s trace=%s caller=%s "
                  "body=%016" PRIx64 "\n",
                  clk_wall_ms (), event, request->method, echo->path,
                  fake_journal_value (echo->key),
                  fake_journal_value (request->traceparent),
                  fake_journal_value (echo->caller), echo->body_hash);
  fake_journal_write_line (request->fake, line, len);
}

void
fake_journal_write_mark (const struct fake_state *fake, const char *mark)
{
  char line[FAKE_JOURNAL_LINE_BYTES];
  int len;

  if (fake->journal_fd < 0)
    return;
  len = snprintf (line, sizeof line, "%" PRIu64 " %s\n", clk_wall_ms (), mark);
  fake_journal_write_line (fake, line, len);
}
