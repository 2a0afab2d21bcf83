# Entry points for people and CI. BUILD names the build folder.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test run bench micro format format-check lint clean
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

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	./tools/lint $(BUILD)

clean:
	rm -rf $(BUILD)
