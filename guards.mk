# make guards  breaks each guard of tools/guards/guards.toml in a copy of the
#              files and checks that its test fails (about 10 minutes).

.PHONY: guards

guards:
	go run -C tools ./guards $(GUARD)
