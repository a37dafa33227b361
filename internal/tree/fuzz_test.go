package tree

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// FuzzParsePath guards against panics, and against accepting a path that is not
// its parent's path followed by one name.
func FuzzParsePath(f *testing.F) {
	for _, s := range []string{"/", "/a", "/a/b-1/c", "//", "/a/", "a", "/-a", "/a/b/c/d", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := ParsePath(s)
		if err != nil {
			return
		}
		is := is.New(t)
		is.Equal(string(p), s)
		is.True(p.Kind() <= KindScope)
		is.True(p.IsWithin(p.Parent()))
		if p == Root {
			return
		}
		is.Equal(p.Parent().Kind()+1, p.Kind())
		is.Equal(strings.TrimSuffix(string(p.Parent()), "/")+s[strings.LastIndexByte(s, '/'):], s)
	})
}
