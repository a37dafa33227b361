package cmds

import (
	"fmt"
	"strings"

	"toucanpulley.example/pkg/entry"
)

// parseTerms parses arguments of the form field=value.
func parseTerms(args []string) ([]*entry.Term, error) {
	terms := make([]*entry.Term, 0, len(args))
	for _, a := range args {
		field, value, ok := strings.Cut(a, "=")
		if !ok || field == "" {
			return nil, fmt.Errorf("%q is not a term; allowed: field=value", a)
		}
		terms = append(terms, &entry.Term{Field: field, Value: value})
	}
	return terms, nil
}
