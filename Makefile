# Entry points for people and CI. BUILD names the build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test run bench control-cost micro format format-check lint clean
all: build

packages:
	./tools/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	./tools/run-tests $(BUILD)

run: build
	./tools/run-demo $(BUILD)

# BENCH passes flags, such as BENCH='--seeds 5 --seconds 20'.
bench: build
	./$(BUILD)/galenaroute-bench $(BENCH)

# Cost of idle daemons by fleet size; run nothing else beside it.
control-cost: build
	./$(BUILD)/galenaroute-control-cost $(CONTROL_COST)

micro: build
	./$(BUILD)/galenaroute-microbench $(MICRO)

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	./tools/lint $(BUILD)

clean:
	rm -rf $(BUILD)
