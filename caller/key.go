package caller

// A Key identifies a submission. Its text form is opaque to callers.
type Key string
