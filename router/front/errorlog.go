package front

import (
	"bytes"

	"github.com/rs/zerolog"
)

// errorLog passes the error log of net/http on. The logger limits the rate of its lines.
type errorLog struct{ zerolog.Logger }

// Write implements io.Writer. b is one message.
func (l errorLog) Write(b []byte) (int, error) {
	l.Warn().Str("error", string(bytes.TrimSpace(b))).Msg("clients' HTTP server reported an error")
	return len(b), nil
}
