package conf

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against settings that make the parser panic, or that change when they are
// encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"host":null,"lanes":1e9,"seeds":[""]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		is := is.New(t)
		doc := map[string]any{
			"host": s.Host, "failureDomain": s.FailureDomain, "region": s.Region, "entryAddress": s.Entry,
			"peerAddress": s.Peer, "platform": s.Platform, "logLevel": s.LogLevel, "lanes": s.Lanes,
		}
		if s.Seeds != nil {
			doc["seeds"] = s.Seeds
		}
		value, err := json.Marshal(doc)
		is.NoErr(err)
		again, err := Parse(value)
		is.NoErr(err)
		is.Equal(again, s)
	})
}
