package tree

import (
	"strings"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// Kind is the level of a node in the settings tree.
type Kind uint8

// Kinds of nodes, from the root down.
const (
	KindRoot Kind = iota
	KindAccount
	KindService
	KindScope
)

// String returns the name used in logs and JSON.
func (k Kind) String() string {
	return [...]string{"root", "account", "service", "scope"}[k]
}

// Path identifies a node: "/", "/account", "/account/service" or
// "/account/service/scope".
type Path string

// Root is the path of the tree's root.
const Root Path = "/"

// maxNameBytes is the maximum length of a path element.
const maxNameBytes = 63

// isValidName reports whether a path element consists of 1 to 63 lower-case
// letters, digits and hyphens and does not start with a hyphen.
func isValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' {
		return false
	}
	for _, b := range []byte(s) {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}

// ParsePath validates the syntax of a path.
func ParsePath(s string) (Path, error) {
	if s == string(Root) {
		return Root, nil
	}
	names := strings.Split(s, "/")
	if names[0] != "" || len(names) < 2 || len(names) > 4 {
		return "", fault.New("parse path", "",
			"%q is not a settings path; allowed: /, /account, /account/service, /account/service/scope", s)
	}
	for _, n := range names[1:] {
		if !isValidName(n) {
			return "", fault.New("parse path", "",
				"%q in path %q is not a name; allowed: 1 to 63 of a-z, 0-9 and '-', not starting with '-'", n, s)
		}
	}
	return Path(s), nil
}

// AccountPath returns the path of a client account.
func AccountPath(a model.ClientAccount) Path { return Path("/" + string(a)) }

// ServicePath returns the path of a service of a client account.
func ServicePath(a model.ClientAccount, s model.ServiceName) Path {
	return AccountPath(a) + Path("/"+string(s))
}

// ScopePath returns the path of a search scope, or that of the service if the
// scope is empty.
func ScopePath(a model.ClientAccount, s model.ServiceName, c model.ScopeName) Path {
	if c == "" {
		return ServicePath(a, s)
	}
	return ServicePath(a, s) + Path("/"+string(c))
}

// Kind returns the level of the path.
func (p Path) Kind() Kind {
	if p == Root {
		return KindRoot
	}
	return Kind(strings.Count(string(p), "/"))
}

// Parent returns the path one level up; the root is its own parent.
func (p Path) Parent() Path {
	i := strings.LastIndexByte(string(p), '/')
	if i <= 0 {
		return Root
	}
	return p[:i]
}

// IsWithin reports whether p equals other or is one of its descendants.
func (p Path) IsWithin(other Path) bool {
	return p == other || other == Root || strings.HasPrefix(string(p), string(other)+"/")
}
