// Package heads rejects HTTP responses whose head breaks the message format although
// net/http accepts it.
//
// Such a response must not be used in any part: it may come from a sender that fails,
// and other recipients may read another status or body in the same bytes.
//
// # Usage
//
//	response, err := heads.ReadResponse(reader, request, maxHeadBytes)
//	if err != nil {
//		return err // the connection must be closed
//	}
//	body, err := io.ReadAll(response.Body)
//
// A client that leaves its connections to net/http uses a Transport:
//
//	client := &http.Client{Transport: heads.Transport{Next: &http.Transport{}}}
package heads

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

var errMalformed = errors.New("malformed response")

// isTokenChar holds the characters of a token (RFC 9110, section 5.6.2).
var isTokenChar = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

// Check returns an error if a response has no valid status code, a control byte in its
// status line, or a field whose name is no token.
func Check(r *http.Response) error {
	// Status has the code as it was sent. Its conversion to a number accepts signs.
	code, _, _ := strings.Cut(r.Status, " ")
	if !ValidStatus(r.StatusCode) || code != strconv.Itoa(r.StatusCode) {
		return fmt.Errorf("%w: invalid status code %q", errMalformed, code)
	}
	if strings.ContainsFunc(r.Status, func(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }) {
		return fmt.Errorf("%w: control byte in the status %q", errMalformed, r.Status)
	}
	return checkNames(r.Header)
}

// ValidStatus reports whether a status code is in the range of valid codes (RFC 9110,
// section 15).
func ValidStatus(code int) bool { return code >= 100 && code <= 599 }

func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("%w: invalid field name %q", errMalformed, name)
		}
	}
	return nil
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !isTokenChar[c] {
			return false
		}
	}
	return s != ""
}
