# make slopes   measures how state, messages and processor time grow with the
#               sizes (under 3 minutes) and writes docs/slopes.toml, which
#               docs/CAPACITY.md quotes.

.PHONY: slopes

slopes: build
	bin/amaranthwell-slopes --output docs/slopes.toml
