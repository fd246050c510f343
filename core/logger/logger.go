// Package logger creates zerolog loggers: text logs with a prefix for each part of a
// program, and rate-limited JSON logs of decisions.
package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// partField is the field with the name of the part of the program that wrote a line. It
// is printed before the message.
const partField = "part"

// New returns a logger that writes one line of text per event, prefixed with the name
// of the program. An empty or unknown level means info.
func New(w io.Writer, level, program string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	c := zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, partField, zerolog.MessageFieldName},
		FieldsExclude: []string{
			partField,
		},
		FormatPartValueByName: func(v any, _ string) string {
			if v == nil {
				return program + ":"
			}
			return fmt.Sprintf("%s/%v:", program, v)
		},
	}
	return zerolog.New(c).Level(l).With().Timestamp().Logger()
}

// Part returns a logger whose lines have the prefix PROGRAM/PART instead of PROGRAM.
func Part(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str(partField, part).Logger()
}

// WarnFunc returns a function that logs an error as a warning with the given message.
func WarnFunc(l zerolog.Logger, message string) func(error) {
	return func(err error) {
		l.Warn().Err(err).Msg(message)
	}
}
