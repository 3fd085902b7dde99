# make slopes         measures how memory, messages and processor time grow with
#                     the sizes of the system (under 3 minutes) and writes
#                     docs/slopes.toml.
# make slopes-daemon  measures the process of one entry instance without jobs (under
#                     3 minutes) and writes docs/slopes-daemon.toml.
#
# docs/CAPACITY.md quotes both files.

.PHONY: slopes slopes-daemon

slopes: build
	bin/amaranthwell-slopes --output docs/slopes.toml

slopes-daemon: build
	cmd/amaranthwell-slopes/daemon.sh
