# make guards  removes each guard of tools/guards/guards.toml, one at a time, in a
#              copy of the files, and checks that its test then fails (about 10
#              minutes). GUARD is a regular expression that selects guards by name.

.PHONY: guards

guards:
	go run -C tools ./guards $(GUARD)
