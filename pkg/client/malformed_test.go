package client

import (
	"encoding/base64"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/canned"
)

// Guards against a malformed answer that is taken for an entry host's: for a result, or
// for proof that a request has not run, after which it is sent again. Its connection
// must not carry another call.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	refusal, err := proto.Marshal(&entry.Refusal{Reason: string(model.ReasonDraining), Execution: entry.Execution_EXECUTION_NOT_RUN})
	if err != nil {
		t.Fatal(err)
	}
	notRun := fmt.Appendf(nil, `{"code":"unavailable","details":[{"type":"toucan.entry.v1.Refusal","value":%q}]}`,
		base64.RawStdEncoding.EncodeToString(refusal))
	for name, reply := range map[string]canned.HTTP2Reply{
		"status 000, not run":        {Status: "000", Header: []string{"content-type", "application/json"}, Body: notRun},
		"status with a plus sign":    {Status: "+200", Header: []string{"content-type", "application/proto"}},
		"name with a blank":          {Status: "200", Header: []string{"content-type", "application/proto", "x-odd name", "v"}},
		"name with a blank, not run": {Status: "503", Header: []string{"content-type", "application/json", "x-odd name", "v"}, Body: notRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := canned.NewServer()
			s.Serve = canned.HTTP2(reply)
			is.NoErr(s.Run(t.Context()))
			defer func() { is.NoErr(s.Close()) }()
			c := New(s.Address())
			defer func() { is.NoErr(c.Close()) }()
			_, err := c.callEntry(t.Context(), &entry.SendRequest{Service: "svc"}, model.Address(s.Address()))
			is.True(err != nil)
			f := classifyError(err, model.Address(s.Address()), false)
			is.Equal(f.reason, ReasonLost)
			is.True(!f.notRun)
			is.True(s.WaitClosed(10 * time.Second)) // the connection of the malformed answer is closed
			_, err = c.Addresses(t.Context(), "svc")
			var failed *Error
			is.True(errors.As(err, &failed))
		})
	}
}
