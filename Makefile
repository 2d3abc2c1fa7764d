# The two commands of the README, and their parts.
BUILD ?= build
SANITIZED ?= build-sanitized
FUZZED ?= build-fuzzed
# One ccache serves all checkouts of the project.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: setup build test lint format sanitized fuzz demo

setup:
	tools/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD)

lint: build
	tools/lint $(BUILD)

format:
	tools/lint $(BUILD) --fix-format

sanitized: setup
	cmake -S . -B $(SANITIZED) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DJUJUBESTAND_SANITIZE=ON >/dev/null
	cmake --build $(SANITIZED)
	tools/run_tests $(SANITIZED)

fuzz: setup
	cmake -S . -B $(FUZZED) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++ -DJUJUBESTAND_FUZZ=ON >/dev/null
	cmake --build $(FUZZED)
	tools/fuzz $(FUZZED)

test: build
	tools/lint $(BUILD)
	tools/run_tests $(BUILD)
	$(MAKE) sanitized
	$(MAKE) fuzz

demo: build
	tools/demo $(BUILD)
