// Package logger sets up zerolog with a fixed prefix for each part of a program.
package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// partField holds the name of the part that a line comes from; it precedes the message.
const partField = "part"

// New returns a logger of a program that writes one line of text per event. An
// unknown level counts as info.
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

// Part returns a logger whose lines carry the prefix of a part.
func Part(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str(partField, part).Logger()
}

// WarnFunc returns a function that logs errors as warnings with a message.
func WarnFunc(l zerolog.Logger, message string) func(error) {
	return func(err error) {
		l.Warn().Err(err).Msg(message)
	}
}
