# Targets: build, test, run, benchmark, format, lint, clean.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: build test run benchmark format lint clean install

install:
	.ci/install

build: install
	cmake -S . -B $(BUILD) -G Ninja -DRADISHRAIL_WERROR=ON > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

test: build
	tools/run_tests $(BUILD)

run: build
	tools/demo $(BUILD)

benchmark: build
	benchmark/run $(BUILD)

format:
	.ci/format --fix

lint: build
	RADISHRAIL_BUILD_DIR=$(BUILD) .ci/lint

clean:
	rm -rf $(BUILD) $(BUILD).cmake.log
