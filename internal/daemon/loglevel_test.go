package daemon

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

// Guards against a log level in the settings tree that has no effect at run time
// or that stays in effect after it was unset.
func TestLogLevelFollowsTheSettingsTree(t *testing.T) {
	is := is.New(t)
	d := New(conf.Settings{LogLevel: "warn"})
	d.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, IndependentLevels: true})
	set, err := tree.New().WithValue(tree.Root, tree.KeyLogLevel, tree.Enum("debug"))
	is.NoErr(err)
	d.applyLogLevel(view.New().WithSettings(2, set))
	is.Equal(d.Log.GetLevel(), hclog.Debug)
	d.applyLogLevel(view.New().WithSettings(3, tree.New()))
	is.Equal(d.Log.GetLevel(), hclog.Warn)
}
