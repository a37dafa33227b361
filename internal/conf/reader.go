package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
)

// Problem is a validation failure in a settings file.
type Problem struct {
	// Path is the path of the key, for example "seeds[1]".
	Path string
	// Message describes the problem and the allowed values.
	Message string
}

// ValidationError reports all problems of a settings file.
type ValidationError struct {
	Problems []Problem
}

// Error lists all problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Message)
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// reader reads typed values from a JSON object and collects the problems.
type reader struct {
	fields map[string]json.RawMessage
	// used is the set of keys that have been read; the others are unknown keys.
	used map[string]bool
	// addressPaths maps each address to the paths of the keys that have it.
	addressPaths map[string][]string
	problems     []Problem
	// prefix is the path of the object with a trailing dot, for messages.
	prefix string
}

func newReader(data []byte) (*reader, error) {
	r := &reader{used: map[string]bool{}, addressPaths: map[string][]string{}}
	if err := r.decode(data); err != nil {
		return nil, &ValidationError{Problems: []Problem{{"(file)", err.Error()}}}
	}
	return r, nil
}

// decode reads one JSON object and reports duplicate keys, for which
// encoding/json would silently use the last value.
func (r *reader) decode(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	start, err := d.Token()
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if start != json.Delim('{') {
		return fmt.Errorf("must be a JSON object")
	}
	r.fields = map[string]json.RawMessage{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return fmt.Errorf("not JSON: %w", err)
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return fmt.Errorf("key %v: not JSON: %w", key, err)
		}
		name, _ := key.(string)
		if _, duplicate := r.fields[name]; duplicate {
			r.addProblem(name, "is given twice")
		}
		r.fields[name] = value
	}
	if _, err := d.Token(); err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("has data after the JSON object")
	}
	return nil
}

func (r *reader) addProblem(path, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.prefix + path, fmt.Sprintf(format, args...)})
}

// decodeKey decodes the value of a key into target and reports whether the key was
// present and its value had the right type.
func (r *reader) decodeKey(key string, required bool, target any, allowed string) bool {
	r.used[key] = true
	raw, ok := r.fields[key]
	if !ok {
		if required {
			r.addProblem(key, "is missing; allowed: %s", allowed)
		}
		return false
	}
	if err := json.Unmarshal(raw, target); err != nil || string(raw) == "null" {
		r.addProblem(key, "%s has the wrong type; allowed: %s", raw, allowed)
		return false
	}
	return true
}

const nameAllowed = "1 to 63 of a-z, 0-9, '.' and '-'"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (r *reader) name(key string) string {
	var s string
	if r.decodeKey(key, true, &s, nameAllowed) && !namePattern.MatchString(s) {
		r.addProblem(key, "%q is not a name; allowed: %s", s, nameAllowed)
	}
	return s
}

// names returns the value of an optional key that holds a list of distinct names.
func (r *reader) names(key string, maxNames int) []string {
	var list []string
	allowed := fmt.Sprintf("a list of up to %d distinct names of %s", maxNames, nameAllowed)
	if !r.decodeKey(key, false, &list, allowed) {
		return nil
	}
	if len(list) > maxNames {
		r.addProblem(key, "has %d entries; allowed: %s", len(list), allowed)
	}
	for i, s := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		if !namePattern.MatchString(s) {
			r.addProblem(path, "%q is not a name; allowed: %s", s, nameAllowed)
		}
		if slices.Contains(list[:i], s) {
			r.addProblem(path, "%q is listed twice; allowed: %s", s, allowed)
		}
	}
	return list
}

const addressAllowed = "an IP address with a port from 1 to 65535, such as 10.0.0.1:7100"

func (r *reader) address(key string) string {
	var s string
	if r.decodeKey(key, true, &s, addressAllowed) {
		r.checkAddress(key, s)
	}
	return s
}

func (r *reader) addresses(key string, maxAddresses int) []string {
	var list []string
	allowed := fmt.Sprintf("a list of up to %d addresses", maxAddresses)
	if !r.decodeKey(key, false, &list, allowed) {
		return nil
	}
	if len(list) > maxAddresses {
		r.addProblem(key, "has %d entries; allowed: %s", len(list), allowed)
	}
	for i, s := range list {
		r.checkAddress(fmt.Sprintf("%s[%d]", key, i), s)
	}
	return list
}

func (r *reader) checkAddress(path, s string) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		r.addProblem(path, "%q is not an address; allowed: %s", s, addressAllowed)
		return
	}
	r.addressPaths[s] = append(r.addressPaths[s], path)
}

// checkDistinctAddresses reports addresses that are used by more than one key.
func (r *reader) checkDistinctAddresses() {
	for _, s := range slices.Sorted(maps.Keys(r.addressPaths)) {
		if paths := r.addressPaths[s]; len(paths) > 1 {
			r.addProblem(paths[1], "address %s is already used by %s; allowed: an address of its own", s, paths[0])
		}
	}
}

func (r *reader) url(key string) string {
	const allowed = "a URL such as http://10.0.0.1:7000"
	var s string
	if r.decodeKey(key, true, &s, allowed) {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			r.addProblem(key, "%q is not a URL; allowed: %s", s, allowed)
		}
	}
	return strings.TrimSuffix(s, "/")
}

func (r *reader) enum(key, defaultValue string, allowed ...string) string {
	s := defaultValue
	list := "one of " + strings.Join(allowed, ", ")
	if r.decodeKey(key, false, &s, list) && !slices.Contains(allowed, s) {
		r.addProblem(key, "%q is not allowed; allowed: %s", s, list)
	}
	return s
}

// integer returns the value of an optional key that holds a whole number from 1 to
// maximum.
func (r *reader) integer(key string, defaultValue, maximum int) int {
	n := defaultValue
	allowed := fmt.Sprintf("a whole number from 1 to %d", maximum)
	if r.decodeKey(key, false, &n, allowed) && (n < 1 || n > maximum) {
		r.addProblem(key, "%d is out of range; allowed: %s", n, allowed)
	}
	return n
}

// object returns a reader of the object at an optional key, or nil.
func (r *reader) object(key string) *reader {
	var raw json.RawMessage
	if !r.decodeKey(key, false, &raw, "a JSON object") {
		return nil
	}
	o := &reader{used: map[string]bool{}, addressPaths: map[string][]string{}, prefix: r.prefix + key + "."}
	if err := o.decode(raw); err != nil {
		r.addProblem(key, "%v; allowed: a JSON object", err)
		return nil
	}
	return o
}

// addProblems adds the problems of the reader of a nested object.
func (r *reader) addProblems(o *reader) {
	o.checkUnknownKeys()
	r.problems = append(r.problems, o.problems...)
}

// file returns the value of a required key that names a readable file.
func (r *reader) file(key string) string {
	const allowed = "the name of a file that can be read"
	var name string
	if r.decodeKey(key, true, &name, allowed) {
		f, err := os.Open(name)
		if err != nil {
			r.addProblem(key, "%v; allowed: %s", err, allowed)
			return name
		}
		info, err := f.Stat()
		if err != nil || info.IsDir() {
			r.addProblem(key, "%q is not a file; allowed: %s", name, allowed)
		}
		_ = f.Close()
	}
	return name
}

// checkUnknownKeys reports keys that have not been read.
func (r *reader) checkUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(r.fields)) {
		if !r.used[key] {
			r.addProblem(key, "is an unknown key; allowed: %s", strings.Join(slices.Sorted(maps.Keys(r.used)), ", "))
		}
	}
}

// err checks for unknown keys and returns all problems as an error, or nil.
func (r *reader) err() error {
	r.checkUnknownKeys()
	if len(r.problems) > 0 {
		return &ValidationError{Problems: r.problems}
	}
	return nil
}
