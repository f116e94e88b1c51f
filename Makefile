# Shortcuts for the CMake build and the project scripts. `make help` lists the targets.
BUILD ?= build
SEED ?= 1
SECONDS ?= 30
DEPLOYMENT ?= poolside
SCRATCH ?= build-mutants
PREFIX ?= /usr/local
export DEPLOYMENT

.PHONY: mutants all deps configure build test demo bench soak capacity format lint layout install clean help
all: build

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

deps: ## install the Debian packages that are missing
	@sh src/build-scripts/install_packages.sh

configure: deps
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release

build: configure ## build library, daemons, tools and tests
	@cmake --build $(BUILD)

test: build ## run all tests with ctest
	@cd $(BUILD) && ctest --output-on-failure -j 4

demo: build ## run a local deployment (DEPLOYMENT=poolside|dala) and print a report
	@python3 src/build-scripts/demo.py --build $(BUILD) --deployment $(DEPLOYMENT)

bench: build ## run the benchmarks (compare figures within one run only)
	@python3 src/build-scripts/bench.py --build $(BUILD)

soak: build ## run the soak test with seeded faults (SEED=n SECONDS=n)
	@python3 testsuite/soak.py --build $(BUILD) --seed $(SEED) --seconds $(SECONDS)

mutants: build ## run the mutation tests (SCRATCH=directory)
	@python3 testsuite/mutants.py $(SCRATCH)

capacity: build ## regenerate the measurements behind docs/CAPACITY.md
	@python3 src/build-scripts/capacity.py --build $(BUILD)

format: ## reformat the sources
	@git ls-files '*.cpp' '*.h' | xargs clang-format -i

lint: configure ## check format, layout, settings reference and clang-tidy
	@sh src/build-scripts/lint.sh $(BUILD)

layout: ## check package order, classes per header and file sizes
	@python3 src/build-scripts/check_layout.py

install: build ## install library, headers, CMake package, daemons and lavctl
	@cmake --install $(BUILD) --prefix $(PREFIX)

clean:
	@rm -rf $(BUILD)
