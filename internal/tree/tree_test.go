package tree

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a child that loses an inherited value, or whose own value does
// not override it.
func TestChildInheritsUnlessItOverrides(t *testing.T) {
	is := is.New(t)
	tr, err := FromNodes([]Node{
		{Path: "/dastkar/jury-desk/portfolios", Values: map[Key]Value{KeyTimeout: Number(900)}},
		{Path: "/dastkar/jury-desk"},
		{Path: "/dastkar", Values: map[Key]Value{KeyTimeout: Number(700), KeyCutOff: Enum("early")}},
	})
	is.NoErr(err)
	values, err := tr.Explain("/dastkar/jury-desk/portfolios")
	is.NoErr(err)
	got := map[Key]EffectiveValue{}
	for _, v := range values {
		got[v.Key] = v
	}
	is.Equal(got[KeyTimeout], EffectiveValue{KeyTimeout, Number(900), "/dastkar/jury-desk/portfolios"})
	is.Equal(got[KeyCutOff], EffectiveValue{KeyCutOff, Enum("early"), "/dastkar"})
	is.Equal(got[KeyWeight], EffectiveValue{KeyWeight, Number(1), ""})
	is.Equal(tr.Effective("/dastkar/jury-desk").Timeout.Milliseconds(), int64(700))
	is.True(tr.Effective("/dastkar/jury-desk/portfolios").CutOffEarly)
}

// Guards against accepting invalid values, and against errors that do not name
// the path and the allowed values.
func TestInvalidSettingsNamePathAndAllowedValues(t *testing.T) {
	base, err := New().WithNode("/a")
	is.New(t).NoErr(err)
	tests := []struct {
		name  string
		apply func() error
		want  []string
	}{
		{"out of range", func() error { _, e := base.WithValue("/a", KeyTimeout, Number(0)); return e }, []string{"/a timeoutMs", "1 to 60000"}},
		{"wrong type", func() error { _, e := base.WithValue("/a", KeyTimeout, Enum("x")); return e }, []string{"/a timeoutMs", "whole number"}},
		{"unknown enum value", func() error { _, e := base.WithValue("/a", KeyCutOff, Enum("x")); return e }, []string{"/a cutOff", "full, early"}},
		{"unknown key", func() error { _, e := base.WithValue("/a", "colour", Number(1)); return e }, []string{"/a colour", "unknown key"}},
		{"level too deep", func() error { _, e := base.WithValue("/a", KeySubset, Number(2)); return e }, []string{"/a subset", "root"}},
		{"no parent", func() error { _, e := base.WithNode("/b/c"); return e }, []string{"/b/c", "create /b"}},
		{"invalid name", func() error { _, e := base.WithNode("/A b"); return e }, []string{"A b", "a-z"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.apply()
			for _, w := range tc.want {
				is.New(t).True(err != nil && strings.Contains(err.Error(), w)) // the message names the path
			}
		})
	}
}
