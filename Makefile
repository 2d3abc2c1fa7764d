# The two commands of the README, and their parts.
BUILD ?= build
SANITIZED ?= build-sanitized
# One ccache serves all checkouts of the project.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: setup build test lint format sanitized demo

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

test: build
	tools/lint $(BUILD)
	tools/run_tests $(BUILD)
	$(MAKE) sanitized

demo: build
	tools/demo $(BUILD)
