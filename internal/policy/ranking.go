package policy

import "slices"

// Ranking orders candidates by a list of criteria. A later criterion applies
// only to candidates that are equal under all earlier ones.
type Ranking[T any] []func(a, b T) int

// Compare returns a negative number if a ranks before b, a positive number if
// it ranks after b, and 0 if they are equal.
func (r Ranking[T]) Compare(a, b T) int {
	for _, f := range r {
		if c := f(a, b); c != 0 {
			return c
		}
	}
	return 0
}

// Best returns the candidate that ranks first and whether there is one.
func (r Ranking[T]) Best(candidates []T) (T, bool) {
	if len(candidates) == 0 {
		var zero T
		return zero, false
	}
	return slices.MinFunc(candidates, r.Compare), true
}

// FalseFirst returns a criterion that ranks candidates for which the predicate
// is false before the others.
func FalseFirst[T any](predicate func(T) bool) func(a, b T) int {
	return func(a, b T) int {
		switch x, y := predicate(a), predicate(b); {
		case x == y:
			return 0
		case y:
			return -1
		default:
			return 1
		}
	}
}
