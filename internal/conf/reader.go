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

// Problem is one thing wrong with a settings file.
type Problem struct {
	// Path names the key, for example "seeds[1]".
	Path string
	// Message tells what is wrong and what is allowed.
	Message string
}

// Invalid is the error of a settings file with problems.
type Invalid struct {
	Problems []Problem
}

// Error lists all problems, one a line.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Message)
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// reader takes typed values out of a JSON object and collects problems.
type reader struct {
	fields map[string]json.RawMessage
	used   map[string]bool
	// places maps each address to the paths that use it.
	places   map[string][]string
	problems []Problem
	// prefix is the path of the object, with a final dot, for messages.
	prefix string
}

func newReader(data []byte) (*reader, error) {
	r := &reader{used: map[string]bool{}, places: map[string][]string{}}
	if err := r.decode(data); err != nil {
		return nil, &Invalid{Problems: []Problem{{"(file)", err.Error()}}}
	}
	return r, nil
}

// decode reads one JSON object and refuses keys that appear twice, which
// encoding/json would drop without a word.
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
		if _, twice := r.fields[name]; twice {
			r.problem(name, "is given twice")
		}
		r.fields[name] = value
	}
	if _, err := d.Token(); err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("has text after the JSON object")
	}
	return nil
}

func (r *reader) problem(path, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.prefix + path, fmt.Sprintf(format, args...)})
}

// take decodes a key into a value and reports whether it was there and valid.
func (r *reader) take(key string, required bool, into any, allowed string) bool {
	r.used[key] = true
	raw, ok := r.fields[key]
	if !ok {
		if required {
			r.problem(key, "is missing; allowed: %s", allowed)
		}
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil || string(raw) == "null" {
		r.problem(key, "%s has the wrong type; allowed: %s", raw, allowed)
		return false
	}
	return true
}

const nameAllowed = "1 to 63 of a-z, 0-9, '.' and '-'"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (r *reader) name(key string) string {
	var s string
	if r.take(key, true, &s, nameAllowed) && !namePattern.MatchString(s) {
		r.problem(key, "%q is not a name; allowed: %s", s, nameAllowed)
	}
	return s
}

// names returns an optional list of distinct names.
func (r *reader) names(key string, most int) []string {
	var list []string
	allowed := fmt.Sprintf("a list of up to %d distinct names of %s", most, nameAllowed)
	if !r.take(key, false, &list, allowed) {
		return nil
	}
	if len(list) > most {
		r.problem(key, "has %d entries; allowed: %s", len(list), allowed)
	}
	for i, s := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		if !namePattern.MatchString(s) {
			r.problem(path, "%q is not a name; allowed: %s", s, nameAllowed)
		}
		if slices.Contains(list[:i], s) {
			r.problem(path, "%q is listed twice; allowed: %s", s, allowed)
		}
	}
	return list
}

const addressAllowed = "an IP address with a port from 1 to 65535, such as 10.0.0.1:7100"

func (r *reader) address(key string) string {
	var s string
	if r.take(key, true, &s, addressAllowed) {
		r.checkAddress(key, s)
	}
	return s
}

func (r *reader) addresses(key string, most int) []string {
	var list []string
	allowed := fmt.Sprintf("a list of up to %d addresses", most)
	if !r.take(key, false, &list, allowed) {
		return nil
	}
	if len(list) > most {
		r.problem(key, "has %d entries; allowed: %s", len(list), allowed)
	}
	for i, s := range list {
		r.checkAddress(fmt.Sprintf("%s[%d]", key, i), s)
	}
	return list
}

func (r *reader) checkAddress(path, s string) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		r.problem(path, "%q is not an address; allowed: %s", s, addressAllowed)
		return
	}
	r.places[s] = append(r.places[s], path)
}

// distinct reports addresses that are used in more than one place.
func (r *reader) distinct() {
	for _, s := range slices.Sorted(maps.Keys(r.places)) {
		if at := r.places[s]; len(at) > 1 {
			r.problem(at[1], "address %s is used by %s already; allowed: an address of its own", s, at[0])
		}
	}
}

func (r *reader) url(key string) string {
	const allowed = "a URL such as http://10.0.0.1:7000"
	var s string
	if r.take(key, true, &s, allowed) {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			r.problem(key, "%q is not a URL; allowed: %s", s, allowed)
		}
	}
	return strings.TrimSuffix(s, "/")
}

func (r *reader) word(key, byDefault string, allowed ...string) string {
	s := byDefault
	list := "one of " + strings.Join(allowed, ", ")
	if r.take(key, false, &s, list) && !slices.Contains(allowed, s) {
		r.problem(key, "%q is not allowed; allowed: %s", s, list)
	}
	return s
}

// number returns an optional whole number from 1 to a bound.
func (r *reader) number(key string, byDefault, high int) int {
	n := byDefault
	allowed := fmt.Sprintf("a whole number from 1 to %d", high)
	if r.take(key, false, &n, allowed) && (n < 1 || n > high) {
		r.problem(key, "%d is out of range; allowed: %s", n, allowed)
	}
	return n
}

// object returns a reader of an optional object; nil without one.
func (r *reader) object(key string) *reader {
	var raw json.RawMessage
	if !r.take(key, false, &raw, "a JSON object") {
		return nil
	}
	o := &reader{used: map[string]bool{}, places: map[string][]string{}, prefix: r.prefix + key + "."}
	if err := o.decode(raw); err != nil {
		r.problem(key, "%v; allowed: a JSON object", err)
		return nil
	}
	return o
}

// include takes over the problems of an object's reader.
func (r *reader) include(o *reader) {
	o.unknown()
	r.problems = append(r.problems, o.problems...)
}

// file returns the name of a file that can be read.
func (r *reader) file(key string) string {
	const allowed = "the name of a file that can be read"
	var name string
	if r.take(key, true, &name, allowed) {
		f, err := os.Open(name)
		if err != nil {
			r.problem(key, "%v; allowed: %s", err, allowed)
			return name
		}
		info, err := f.Stat()
		if err != nil || info.IsDir() {
			r.problem(key, "%q is not a file; allowed: %s", name, allowed)
		}
		_ = f.Close()
	}
	return name
}

// unknown reports keys that no one asked for.
func (r *reader) unknown() {
	for _, key := range slices.Sorted(maps.Keys(r.fields)) {
		if !r.used[key] {
			r.problem(key, "is an unknown key; allowed: %s", strings.Join(slices.Sorted(maps.Keys(r.used)), ", "))
		}
	}
}

// finish reports unknown keys and returns the problems as an error.
func (r *reader) finish() error {
	r.unknown()
	if len(r.problems) > 0 {
		return &Invalid{Problems: r.problems}
	}
	return nil
}
