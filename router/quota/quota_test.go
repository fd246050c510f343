package quota_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"tarragonvalve.example/router/quota"
)

// endless returns the same byte forever.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// Guards against messages that together use more memory than the limit, memory that isn't
// released, and a message that is truncated without an error.
func TestReadAll(t *testing.T) {
	m := quota.NewMemoryLimit(64 << 10)
	a := m.NewReservation()
	want := strings.Repeat("a", 20_000)
	if b, err := a.ReadAll(strings.NewReader(want), "answer", 20_000); err != nil || string(b) != want {
		t.Errorf("got %d bytes, %v", len(b), err)
	}
	var long *quota.TooLongError
	b := m.NewReservation()
	if _, err := b.ReadAll(bytes.NewReader(make([]byte, 20_001)), "answer", 20_000); !errors.As(err, &long) {
		t.Errorf("one byte over the limit: %v", err)
	}
	b.Free()
	var full *quota.MemoryLimitError
	c := m.NewReservation()
	if _, err := c.ReadAll(endless{}, "answer", 1<<40); !errors.As(err, &full) {
		t.Errorf("endless message: %v", err)
	}
	if u := m.Used(); u > 64<<10 {
		t.Errorf("%d bytes are in use", u)
	}
	for range 2 {
		a.Free()
		c.Free()
	}
	if u := m.Used(); u != 0 {
		t.Errorf("%d bytes are in use after all messages were freed", u)
	}
	cut := errors.New("cut")
	d := m.NewReservation()
	defer d.Free()
	if _, err := d.ReadAll(io.MultiReader(strings.NewReader("a"), failing{cut}), "answer", 10); !errors.Is(err, cut) {
		t.Errorf("truncated message: %v", err)
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Guards against a head that is read beyond its limit, and a body that is limited by it.
func TestReader(t *testing.T) {
	r := quota.NewReader(endless{})
	r.SetLimit("head", 100)
	n, err := io.Copy(io.Discard, r)
	var long *quota.TooLongError
	if n != 100 || !errors.As(err, &long) || long.What != "head" {
		t.Errorf("read %d bytes: %v", n, err)
	}
	r.ClearLimit()
	if n, err := io.CopyN(io.Discard, r, 1000); n != 1000 || err != nil {
		t.Errorf("without a limit: %d bytes, %v", n, err)
	}
}
