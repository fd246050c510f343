package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"tarragonvalve.example/core/logger"
)

// Guards against lines without the prefix of their part, and lines below the level.
func TestPrefix(t *testing.T) {
	var b bytes.Buffer
	l := logger.New(&b, "warn", "entry")
	l.Info().Msg("hidden")
	p := logger.Part(l, "spread")
	p.Warn().Str("row", "x").Msg("table poll failed")
	l.Error().Msg("stopped")
	got := b.String()
	if strings.Contains(got, "hidden") || strings.Count(got, "\n") != 2 ||
		!strings.Contains(got, "WRN entry/spread: table poll failed row=x\n") ||
		!strings.Contains(got, "ERR entry: stopped\n") {
		t.Errorf("got:\n%s", got)
	}
}
