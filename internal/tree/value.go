package tree

import "strconv"

// Value is the immutable value of a key: an integer or a value of an
// enumeration.
type Value struct {
	enum   string
	number int64
	isEnum bool
}

// Number returns a numeric value.
func Number(n int64) Value { return Value{number: n} }

// Enum returns a value of an enumeration.
func Enum(s string) Value { return Value{enum: s, isEnum: true} }

// AsNumber returns the number. It reports false for a value of an enumeration.
func (v Value) AsNumber() (int64, bool) { return v.number, !v.isEnum }

// AsEnum returns the value of an enumeration. It reports false for a number.
func (v Value) AsEnum() (string, bool) { return v.enum, v.isEnum }

// String returns the value as JSON.
func (v Value) String() string {
	if v.isEnum {
		return strconv.Quote(v.enum)
	}
	return strconv.FormatInt(v.number, 10)
}
