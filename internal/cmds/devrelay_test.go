package cmds

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a site of the users' platform that does not start, or whose
// response covers fewer shards than the site has.
func TestDevOnThePlatform(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	is.Equal(Run([]string{"dev", "-platform", "-query", "ajrak"}, &out, &errs), 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(lines[0], "200 OK")
	is.Equal(strings.Count(out.String(), ".shard-"), 6) // parts named in the headers
	records := lines[len(lines)-5:]
	for i, r := range records {
		is.Equal(len(r), 16)
		is.True(i == 0 || records[i-1] >= r) // descending order
	}
	is.Equal(errs.String(), "")
}
