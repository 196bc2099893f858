CC = gcc
PKGS = libwebsockets libzmq msgpack jansson popt libxxhash
CSTD = -std=c11 -D_POSIX_C_SOURCE=200809L -D_GNU_SOURCE
WARN = -Wall -Wextra -Werror
OPT = -O2 -g
CFLAGS = $(CSTD) $(WARN) $(OPT) $(SANITIZE) -pthread -I. -Iinclude
LIBS = -lwebsockets -lzmq -lmsgpackc -ljansson -lxxhash -lpopt -lhttp_parser \
	-lm
# scripts/check and scripts/fuzz set BUILD, OPT and SANITIZE (compiler flags) for
# builds with sanitizers.
BUILD = build

LIB_SRC = $(wildcard core/*.c filters/*.c controllers/*.c log/*.c wire/*.c \
	tasks/*.c platform/*.c programs/*_*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libsycamorerudder.a
PROGRAMS = sycamorerudder-node rudderctl rudder-load rudder-fake \
	rudder-relay
PROGRAM_BIN = $(patsubst %,$(BUILD)/%,$(filter \
	$(basename $(notdir $(wildcard programs/*.c))),$(PROGRAMS)))
TEST_SRC = $(wildcard tests/test_*.c)
TEST_BIN = $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
SOURCES = $(wildcard include/*.h core/*.[ch] filters/*.[ch] \
	controllers/*.[ch] log/*.[ch] wire/*.[ch] tasks/*.[ch] platform/*.[ch] \
	programs/*.[ch] bench/*.[ch] tests/*.[ch] fuzz/*.[ch])
# Preloaded into nodes by scripts/mesh_relay.sh, never linked.
REDIRECT = $(BUILD)/tests/redirect_connect.so
# The crowds of clients of scripts/mesh_crowd.sh and tests/mesh_crowd_own.sh.
CROWD = $(BUILD)/tests/crowd $(BUILD)/tests/crowd_clients
BENCH_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/*.c))

all: $(LIB) $(PROGRAM_BIN)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	rm -f $@
	ar rcs $@ $^

# A program links the objects with its own prefix (programs/load_*.c for
# rudder-load) and those of programs/tool_*.c that it uses.
TOOL_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/tool_*.c))
TOOLS = $(BUILD)/libtools.a
program_prefix = $(patsubst rudder-%,%,$(patsubst sycamorerudder-%,%,$(1)))
program_objects = $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/$(call program_prefix,$(1))_*.c))

$(TOOLS): $(TOOL_OBJ)
	rm -f $@
	ar rcs $@ $^

.SECONDEXPANSION:
$(BUILD)/%: $(BUILD)/programs/%.o $$(call program_objects,$$*) $(TOOLS) $(LIB)
	$(CC) $(CFLAGS) $(filter %.o,$^) $(TOOLS) $(LIB) $(LIBS) \
		-lgsl -lgslcblas -lm -o $@

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(LIB)
	$(CC) $(CFLAGS) $< $(LIB) $(LIBS) -lcunit -o $@

$(BUILD)/tests/%.so: tests/%.c
	@mkdir -p $(@D)
	$(CC) $(CSTD) $(WARN) $(OPT) -shared -fPIC $< -o $@

$(BUILD)/rudder-bench: $(BENCH_OBJ) $(LIB)
	$(CC) $(CFLAGS) $(BENCH_OBJ) $(LIB) $(LIBS) -o $@

tests: $(TEST_BIN) $(REDIRECT) $(CROWD)

setup:
	@scripts/setup

demo: setup
	@$(MAKE) --no-print-directory all
	@scripts/demo

check: setup
	@scripts/check

bench: setup
	@scripts/bench

# SEED is the seed of the random numbers; SECONDS is the duration (for "fuzz"
# that of all targets together).
soak: setup
	@$(MAKE) --no-print-directory all $(REDIRECT)
	@scripts/soak "$(or $(SEED),1)" "$(or $(SECONDS),60)"

soak-gate: setup
	@$(MAKE) --no-print-directory all $(REDIRECT)
	@scripts/soak-gate "$(or $(SEED),1)" "$(or $(SECONDS),60)"

fuzz: setup
	@scripts/fuzz "$(or $(SECONDS),60)"

lint:
	@scripts/lint

format:
	clang-format -i $(SOURCES)

print-sources:
	@echo $(SOURCES)

clean:
	rm -rf build build-sanitize build-fuzz

.PHONY: all tests setup demo check bench soak soak-gate fuzz lint format \
	clean print-sources
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
