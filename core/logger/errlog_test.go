package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/logger"
)

// Guards against an error log of an HTTP server that nobody sees.
func TestErrorLog(t *testing.T) {
	var b bytes.Buffer
	logger.ErrorLog(zerolog.New(&b), "a server reports an error").Print("http: TLS handshake error\n")
	if s := b.String(); !strings.Contains(s, `"error":"http: TLS handshake error"`) || !strings.Contains(s, `"level":"warn"`) || !strings.Contains(s, `"message":"a server reports an error"`) {
		t.Errorf("got %s", s)
	}
}
