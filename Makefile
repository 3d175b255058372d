# jujubeswitch: `make` builds, `make check` tests, `make demo` shows the path.
#
# SAN=address,undefined or SAN=thread builds into a folder of its own.

SAN ?=
comma := ,
ifeq ($(SAN),)
B := build
else
B := build/san-$(subst $(comma),-,$(SAN))
SANFLAGS := -fsanitize=$(SAN) -fno-omit-frame-pointer
endif

CC ?= gcc
CXX ?= g++
PKGS := apr-1 libzmq libmicrohttpd libcurl jansson msgpack libxxhash \
	glib-2.0 log4c yajl
# Third-party headers are not ours to keep free of warnings.
PKG_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PKGS)))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lm
WARN := -Wall -Wextra -Werror
CPPFLAGS += -Iinclude -Isrc -D_GNU_SOURCE $(PKG_CFLAGS)
CFLAGS ?= -O2 -g
CXXFLAGS ?= -O2 -g
CFLAGS += -std=c11 $(WARN) -Wmissing-prototypes -Wstrict-prototypes -fPIC \
	-pthread $(SANFLAGS)
CXXFLAGS += -std=c++17 $(WARN) -fPIC -pthread $(SANFLAGS)
LDFLAGS += -pthread $(SANFLAGS)

LIB_C := $(wildcard src/core/*.c src/core/*/*.c src/ports/*.c src/adapters/*.c)
LIB_CXX := $(wildcard src/adapters/*.cpp)
LIB_OBJ := $(LIB_C:%.c=$(B)/%.o) $(LIB_CXX:%.cpp=$(B)/%.o)
CORE_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/core/*.c src/core/*/*.c))
LIB := $(B)/libjujubeswitch.a
SHLIB := $(B)/libjujubeswitch.so

DAEMON_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/daemon/*.c platform/*.c))
CTL_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/ctl/*.c))
COMMON_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard standins/common/*.c))
PROGS := $(B)/jujubed $(B)/jujubectl $(B)/standin-platform \
	$(B)/standin-engine $(B)/standin-service
BENCH := $(B)/jujube-bench $(B)/jujube-slopes $(B)/jujube-hop

CORE_TESTS := $(patsubst %.cc,$(B)/%.o,$(wildcard tests/core/*.cc \
	tests/core/*/*.cc))
ADAPTER_TESTS := $(patsubst %.cc,$(B)/%.o,$(wildcard tests/adapters/*.cc))
PLATFORM_TESTS := $(patsubst %.cc,$(B)/%.o,$(wildcard tests/platform/*.cc))
# What of the daemon is tested by itself.
DAEMON_PARTS := $(B)/src/daemon/relay.o $(B)/src/daemon/sse.o \
	$(B)/src/daemon/assembler.o $(B)/src/daemon/attempt_end.o \
	$(B)/src/daemon/stream_relay.o $(B)/src/daemon/health.o \
	$(B)/src/daemon/gateway_node.o $(B)/src/daemon/gateway_front.o \
	$(B)/src/daemon/gateway_events.o $(B)/src/daemon/gateway_views.o \
	$(B)/src/daemon/inlets.o
# All of jujubectl but its main function.
CTL_PARTS := $(filter-out $(B)/src/ctl/main.o,$(CTL_OBJ))
PLATFORM_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
SYSTEM_TESTS := $(patsubst %.cc,$(B)/%.o,$(wildcard tests/system/*.cc))
EXAMPLES := $(patsubst examples/%.c,$(B)/example-%,$(wildcard examples/*.c))

all: $(LIB) $(SHLIB) $(PROGS) $(BENCH) $(EXAMPLES)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) -I. $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^
$(SHLIB): $(LIB_OBJ)
	$(CXX) -shared $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(B)/jujubed: $(DAEMON_OBJ) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)
$(B)/jujubectl: $(CTL_OBJ) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)
$(B)/jujube-bench: $(patsubst %.c,$(B)/%.o,$(wildcard bench/*.c)) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)
$(B)/jujube-slopes: $(patsubst %.c,$(B)/%.o,$(wildcard bench/slopes/*.c)) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)
$(B)/jujube-hop: $(patsubst %.c,$(B)/%.o,$(wildcard bench/hop/*.c)) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)
$(B)/example-%: $(B)/examples/%.o $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

define STANDIN
$(B)/standin-$(1): $$(patsubst %.c,$(B)/%.o,$$(wildcard standins/$(1)/*.c)) \
	$(COMMON_OBJ)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(PKG_LIBS)
endef
$(foreach s,platform engine service,$(eval $(call STANDIN,$(s))))

$(B)/test-core: $(CORE_TESTS) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(PKG_LIBS)
$(B)/test-adapters: $(ADAPTER_TESTS) $(PLATFORM_TESTS) $(PLATFORM_OBJ) \
	$(DAEMON_PARTS) $(CTL_PARTS) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(PKG_LIBS)
$(B)/test-system: $(SYSTEM_TESTS) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(PKG_LIBS)

# Crowds, the soak and the figures under failure: real processes.
HARNESS := $(B)/tests/system/harness.o $(B)/tests/system/ports.o
$(B)/soak: $(patsubst %.cc,$(B)/%.o,$(wildcard tests/soak/*.cc)) $(HARNESS) \
	$(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest $(PKG_LIBS)
$(B)/figures: $(patsubst %.cc,$(B)/%.o,$(wildcard tests/figures/*.cc)) \
	$(HARNESS) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(PKG_LIBS)
$(B)/test-crowd: $(patsubst %.cc,$(B)/%.o,$(wildcard tests/crowd/*.cc)) \
	$(HARNESS) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(PKG_LIBS)
# One test at a time: memory and descriptors of a process are checked.
test-crowd: all $(B)/test-crowd
	JUJUBE_BIN=$(B) $(B)/test-crowd
soak: all $(B)/soak
	JUJUBE_BIN=$(B) scripts/soak
figures: all $(B)/figures
	JUJUBE_BIN=$(B) $(B)/figures

# Tests run in virtual time, so shards compete for nothing but the processor.
test-core: $(B)/test-core
	scripts/run-shards $(B)/test-core 4
test-adapters: $(B)/test-adapters
	$(B)/test-adapters
# In four processes side by side; each test waits for most of its time.
test-system: all $(B)/test-system
	JUJUBE_BIN=$(B) scripts/run-shards $(B)/test-system 4
TEST_TARGETS := test-core $(if $(ADAPTER_TESTS),test-adapters) \
	$(if $(SYSTEM_TESTS),test-system)
check: all $(TEST_TARGETS)

# What runs under the sanitizers: the core (its threads are the adapters'
# business), the adapters, and real processes on the paths with most threads.
SANITIZED_SYSTEM ?= BatchFailure.*:OnceFailure.*:AnswerFailure.*
# Every part runs, also after a failure of one before it.
sanitized: all $(B)/test-core $(B)/test-adapters $(B)/test-system
	rc=0; \
	TSAN_OPTIONS="suppressions=scripts/tsan.supp history_size=7" \
	    $(B)/test-adapters || rc=1; \
	$(if $(findstring thread,$(SAN)),,scripts/run-shards $(B)/test-core 4 \
	    --gtest_filter=-*Model* || rc=1;) \
	JUJUBE_BIN=$(B) JUJUBE_PATIENCE=4 \
	    TSAN_OPTIONS="suppressions=scripts/tsan.supp" \
	    scripts/run-shards $(B)/test-system 4 \
	    --gtest_filter='$(SANITIZED_SYSTEM)' || rc=1; \
	exit $$rc

check-bench: $(B)/jujube-bench
	$(B)/jujube-bench --messages
	$(B)/jujube-bench --check examples/scenarios/bounds.toml --runs 4

bench: $(B)/jujube-bench
	$(B)/jujube-bench --all examples/scenarios --runs 4

slopes: $(B)/jujube-slopes
	$(B)/jujube-slopes --check bench/slopes/bounds.txt
bench-hop: all
	JUJUBE_BIN=$(B) scripts/bench-hop
bench-control: all
	JUJUBE_BIN=$(B) scripts/bench-control

docs:
	mkdir -p build/doc
	doxygen Doxyfile

plots: $(B)/jujube-bench
	JUJUBE_BIN=$(B) scripts/plots

demo: all
	JUJUBE_BIN=$(B) scripts/demo

FORMAT_FILES := $(shell git ls-files -co --exclude-standard \
	'*.c' '*.h' '*.cc' '*.cpp')
format:
	clang-format -i $(FORMAT_FILES)
check-format:
	clang-format --dry-run -Werror $(FORMAT_FILES)
# A seed is the same series wherever it runs.
check-draws:
	scripts/check-draws $(FORMAT_FILES)
TIDY_FILES := $(wildcard src/*/*.c src/*/*/*.c platform/*.c standins/*/*.c bench/*.c bench/*/*.c)
check-tidy:
	printf '%s\n' $(TIDY_FILES) | xargs -P 6 -n 4 sh -c \
	    'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=c11 2>/dev/null' tidy

# Fuzz targets need clang; CI runs each for a fixed number of runs and seed.
FUZZ_RUNS ?= 20000
$(B)/fuzz/%.o: %.c
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -I. -std=c11 -O1 -g -fsanitize=fuzzer-no-link,address \
	    -MMD -MP -c -o $@ $<
$(B)/fuzz/%.o: %.cpp
	@mkdir -p $(@D)
	clang++ $(CPPFLAGS) -std=c++17 -O1 -g \
	    -fsanitize=fuzzer-no-link,address -MMD -MP -c -o $@ $<
FUZZ_LIB := $(patsubst %.c,$(B)/fuzz/%.o,$(LIB_C) \
	src/daemon/sse.c src/daemon/assembler.c $(wildcard platform/*.c)) \
	$(patsubst %.cpp,$(B)/fuzz/%.o,$(LIB_CXX))
FUZZ_NAMES := $(patsubst tests/fuzz/%.c,%,$(wildcard tests/fuzz/*.c))
$(B)/fuzz-%: $(B)/fuzz/tests/fuzz/%.o $(FUZZ_LIB)
	clang++ -fsanitize=fuzzer,address -pthread -o $@ $^ $(PKG_LIBS)
fuzz: $(FUZZ_NAMES:%=$(B)/fuzz-%)
	for f in $(FUZZ_NAMES); do \
	    mkdir -p $(B)/corpus/$$f; seeds=tests/fuzz/corpus/$$f; \
	    [ -d $$seeds ] || seeds=; \
	    $(B)/fuzz-$$f -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 \
		-close_fd_mask=3 $(B)/corpus/$$f $$seeds || exit 1; done

clean:
	rm -rf build

.PHONY: docs plots slopes bench-hop bench-control soak figures bench sanitized check-bench fuzz all check demo test-core test-adapters test-system test-crowd \
	format \
	check-format check-draws check-tidy clean
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)
