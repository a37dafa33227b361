// Package heads rejects HTTP responses whose head breaks the message format although
// net/http accepts it.
//
// Such a response must not be used in any part: it may come from a sender that fails,
// and other recipients may read another status or body in the same bytes.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = heads.Check(response)
//	}
package heads

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Check returns an error if a response has no valid status code.
func Check(r *http.Response) error {
	// Status has the code as it was sent. Its conversion to a number accepts signs.
	code, _, _ := strings.Cut(r.Status, " ")
	if !ValidStatus(r.StatusCode) || code != strconv.Itoa(r.StatusCode) {
		return fmt.Errorf("malformed response: invalid status code %q", code)
	}
	return nil
}

// ValidStatus reports whether a status code is in the range of valid codes (RFC 9110,
// section 15).
func ValidStatus(code int) bool { return code >= 100 && code <= 599 }
