package logger

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// ErrorLog returns the error log of an HTTP server. Each of its lines becomes a warning of l with the given message.
func ErrorLog(l zerolog.Logger, message string) *log.Logger {
	return log.New(errorWriter{Logger: l, message: message}, "", 0)
}

// errorWriter logs each write as an error.
type errorWriter struct {
	zerolog.Logger

	message string
}

// Write implements io.Writer. b is one line.
func (w errorWriter) Write(b []byte) (int, error) {
	w.Warn().Str("error", string(bytes.TrimSpace(b))).Msg(w.message)
	return len(b), nil
}
