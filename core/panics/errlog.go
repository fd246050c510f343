package panics

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// ErrorLog returns the error log of an HTTP server. Each of its lines becomes a warning of l.
func ErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(lineWriter{l}, "", 0)
}

// lineWriter logs each write as a line.
type lineWriter struct{ log zerolog.Logger }

func (w lineWriter) Write(b []byte) (int, error) {
	w.log.Warn().Bytes("error", bytes.TrimRight(b, "\n")).Msg("the HTTP server reports an error")
	return len(b), nil
}
