# Front door of the build. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
RUNS ?= 200
SECONDS ?= 30

.PHONY: help deps build test golden demo bench fuzz soak format check-format tidy \
        test-asan test-tsan clean

help:
	@grep -E '^## ' Makefile | sed 's/^## //'

## deps          install the Debian packages that the build needs
deps:
	@scripts/install_deps.sh

## build         configure and build everything into $(BUILD)
build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

## test          install, build and run every test
test: build
	@scripts/run_tests.sh $(BUILD)

## golden        write tests/golden/ anew; check the difference before a commit
golden: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) --target bramleymux_tests
	@BRAMLEYMUX_UPDATE_GOLDEN=1 $(BUILD)/bin/bramleymux_tests "[golden]"

## bench         load a local fleet of each policy, compare, report (QUICK=1)
bench: build
	@scripts/bench.sh $(BUILD)

## test-asan     the tests under AddressSanitizer and UBSan
test-asan: deps
	@cmake -S . -B build-asan -G Ninja -DBRAMLEYMUX_SANITIZE=address,undefined >/dev/null
	@cmake --build build-asan -j $(JOBS)
	@scripts/run_tests.sh build-asan

## test-tsan     the tests under ThreadSanitizer
test-tsan: deps
	@cmake -S . -B build-tsan -G Ninja -DBRAMLEYMUX_SANITIZE=thread >/dev/null
	@cmake --build build-tsan -j $(JOBS)
	@scripts/run_tests.sh build-tsan

## fuzz          random sequences over the decision modules (SEED, RUNS)
fuzz: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) --target bramleymux_fuzz
	@FUZZ_SEED=$(SEED) FUZZ_RUNS=$(RUNS) $(BUILD)/bin/bramleymux_fuzz

## soak          random faults on real entry processes (SEED, SECONDS)
soak: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) --target bramleymux_soak
	@$(BUILD)/bin/bramleymux_soak --seed $(SEED) --seconds $(SECONDS)

## format        rewrite the sources with clang-format
format:
	@scripts/format.sh

## check-format  fail when a source is not formatted
check-format:
	@scripts/format.sh --check

## tidy          run clang-tidy over src/, tools/ and platform/
tidy: build
	@scripts/tidy.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan

## demo          start a local fleet and show the system at work
demo: build
	@scripts/demo.sh $(BUILD)
