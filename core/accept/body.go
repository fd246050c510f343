package accept

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
)

// header is the first line of a generation row's body, as JSON. The document's bytes
// follow as they are, since JSON would add a third to their size.
type header struct {
	Digest   envdoc.Digest    `json:"digest"`
	Operator ident.OperatorID `json:"operator"`
	Reason   string           `json:"reason"`
	At       time.Time        `json:"at"`
}

// encode returns the body of the row of a promoted document.
func encode(p Promotion, d *envdoc.Document) ([]byte, error) {
	h, err := json.Marshal(header{Digest: d.Digest, Operator: p.Operator, Reason: p.Reason, At: p.At.UTC()})
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "encode header of generation %d", p.Seen+1)
	}
	return bytes.Join([][]byte{h, p.Body}, []byte{'\n'}), nil
}

// decode returns the document of a generation row. It fails when the document does not
// have the digest in the header.
func decode(r table.Row) (*spread.AcceptedDocument, error) {
	g, err := generationOf(r.Key)
	if err != nil {
		return nil, err
	}
	line, body, ok := bytes.Cut(r.Body, []byte{'\n'})
	if !ok {
		return nil, oops.In("accept").Errorf("decode generation %d: no header line", g)
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return nil, oops.In("accept").Wrapf(err, "decode header of generation %d", g)
	}
	d, err := envdoc.Parse(body)
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "parse generation %d", g)
	}
	if d.Digest != h.Digest {
		return nil, oops.In("accept").Errorf("decode generation %d: digest is %s, header says %s", g, d.Digest, h.Digest)
	}
	return &spread.AcceptedDocument{Generation: g, Document: d, Operator: h.Operator, Reason: h.Reason, At: h.At}, nil
}
