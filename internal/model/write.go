package model

// WriteResult is the outcome of a conditional write to the platform.
type WriteResult uint8

// Results of a write.
const (
	// WriteUnknown means that the write may have taken effect or may still do so.
	WriteUnknown WriteResult = iota
	WriteAccepted
	// WriteConflict means that the write had no effect because the object had
	// another version.
	WriteConflict
	// WriteFailed means that the write had no effect because the platform could
	// not be reached or rejected the call.
	WriteFailed
)

// String returns the name used in metrics.
func (r WriteResult) String() string { return [...]string{"lost", "ok", "conflict", "unavailable"}[r] }
