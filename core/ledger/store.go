package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// partitionPeriod is the time that one partition of batches covers. The times of its
// receipts and not the time of its write decide on a batch's partition, so that a batch
// stored after an outage is found with the time that it bills.
const partitionPeriod = time.Hour

// maxReceiptSkew is the longest time between the receipts of one request. The entry's
// and the agent's receipt may lie on different sides of the start or the end of a bill's
// time range, so Load reads this much beyond both.
const maxReceiptSkew = time.Hour

// maxBatchBytes bounds the body of a batch, which keeps its row below the table's limit
// of 400 KB.
const maxBatchBytes = 256 << 10

// partition returns the partition of a receipt by the receipt's time.
func partition(t time.Time) string {
	return "bill/" + t.UTC().Truncate(partitionPeriod).Format("2006-01-02T15")
}

// batch is a row of receipts, which is created and then never changed. A batch whose
// write has an unknown outcome is written again with the same key and token.
type batch struct {
	write table.Write
	ids   []ID
}

// newBatch returns a batch of those receipts that belong to the same partition as the
// first one, up to limit receipts and maxBatchBytes.
func newBatch(instance ident.InstanceID, sequence uint64, rs []Receipt, limit int) (*batch, error) {
	b := &batch{}
	var body bytes.Buffer
	var p string
	for i := range rs {
		if len(b.ids) == limit {
			break
		}
		at := partition(rs[i].At)
		if p == "" {
			p = at
		}
		if at != p {
			continue
		}
		line, err := json.Marshal(&rs[i])
		if err != nil {
			return nil, oops.In("ledger").Wrapf(err, "encode receipt of %s", rs[i].Request)
		}
		if body.Len() > 0 && body.Len()+len(line) > maxBatchBytes {
			break
		}
		body.Write(line)
		body.WriteByte('\n')
		b.ids = append(b.ids, rs[i].ID())
	}
	b.write = table.Write{
		Key:   table.Key{Partition: p, Sort: fmt.Sprintf("%s/%020d", instance, sequence)},
		Token: table.NewWriteToken(),
		Body:  body.Bytes(),
	}
	return b, nil
}

// Load returns the receipts of the requests whose billing receipt has a time in [from,
// to). Bills of adjoining time ranges therefore never share a request.
func Load(ctx context.Context, c table.Client, from, to time.Time) ([]Receipt, error) {
	var all []Receipt
	end := to.Add(maxReceiptSkew)
	for t := from.Add(-maxReceiptSkew).UTC().Truncate(partitionPeriod); t.Before(end); t = t.Add(partitionPeriod) {
		rows, err := c.List(ctx, table.Query{Partition: partition(t)})
		if err != nil {
			return nil, oops.In("ledger").Wrapf(err, "read receipts of %s", partition(t))
		}
		for _, r := range rows {
			rs, err := decode(r)
			if err != nil {
				return nil, err
			}
			all = append(all, rs...)
		}
	}
	return inWindow(all, from, to), nil
}

// inWindow returns the receipts of the requests whose billing receipt has a time in
// [from, to). The receipts of a request without a billing receipt count by their own
// times.
func inWindow(all []Receipt, from, to time.Time) []Receipt {
	billing := billingReceipts(all)
	var out []Receipt
	for _, r := range all {
		at := r.At
		if b, ok := billing[r.Request]; ok {
			at = b.At
		}
		if !at.Before(from) && at.Before(to) {
			out = append(out, r)
		}
	}
	return out
}

// decode returns the receipts of a batch, one in each line of the row's body.
func decode(row table.Row) ([]Receipt, error) {
	var out []Receipt
	for line := range bytes.Lines(row.Body) {
		var r Receipt
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, oops.In("ledger").Wrapf(err, "decode batch %s/%s", row.Key.Partition, row.Key.Sort)
		}
		out = append(out, r)
	}
	return out, nil
}
