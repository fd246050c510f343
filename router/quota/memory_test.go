package quota_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"tarragonvalve.example/router/quota"
)

// Guards against long answers that leave no room for ordinary ones whose requests were sent already.
func TestRoomForOrdinaryAnswer(t *testing.T) {
	l := quota.NewMemoryLimit(1 << 20)
	var ordinary []*quota.Reservation
	for range 50 {
		m, err := l.ReserveAnswer(nil)
		if err != nil {
			t.Fatal(err)
		}
		m.SetOwner("a")
		ordinary = append(ordinary, m)
	}
	for range 20 {
		m, err := l.ReserveAnswer(nil)
		if err != nil {
			t.Fatal(err)
		}
		defer m.Free()
		m.SetOwner("a")
		var full *quota.MemoryLimitError
		if _, err := m.ReadAll(endless{}, "answer", 1<<40); !errors.As(err, &full) {
			t.Errorf("endless answer: %v", err)
		}
	}
	for i, m := range ordinary {
		if b, err := m.ReadAll(strings.NewReader("ok"), "answer", 1<<20); err != nil || string(b) != "ok" {
			t.Errorf("ordinary answer %d: got %q, %v", i, b, err)
		}
		m.Free()
	}
}

// Guards against a request that is sent though there is no room for its answer.
func TestReserveAnswerFull(t *testing.T) {
	l := quota.NewMemoryLimit(64 << 10)
	var full *quota.MemoryLimitError
	n := 0
	for ; n < 100; n++ {
		if _, err := l.ReserveAnswer(nil); err != nil {
			if !errors.As(err, &full) {
				t.Error(err)
			}
			break
		}
	}
	if n != 16 || l.Used() > 64<<10 {
		t.Errorf("%d answers of 4 KiB have room in 64 KiB, %d bytes are in use", n, l.Used())
	}
}

// unit is a reader of n bytes that calls then and goes on endlessly, or ends if then is nil.
type unit struct {
	n    int
	then func()
}

func (u *unit) Read(b []byte) (int, error) {
	if u.n <= 0 {
		if u.then != nil {
			u.then()
			u.then = nil
		}
		return 0, errors.New("ended")
	}
	n := min(len(b), u.n)
	u.n -= n
	return n, nil
}

// Guards against an upstream whose long answers take the room of another's: its longest gives way.
func TestLongestGivesWay(t *testing.T) {
	l := quota.NewMemoryLimit(1 << 20) // 512 KiB are for long answers
	evicted := map[string]bool{}
	read := func(name string, owner quota.Owner, n int, then func()) error {
		m, err := l.ReserveAnswer(func(error) { evicted[name] = true })
		if err != nil {
			t.Fatal(err)
		}
		defer m.Free()
		m.SetOwner(owner)
		_, err = m.ReadAll(&unit{n: n, then: then}, "answer", 1<<30)
		return err
	}
	var full *quota.MemoryLimitError
	// In the middle of the two answers of "a", 128 and 256 KiB, "b" reads one that needs 256 KiB.
	err := read("short", "a", 100<<10, func() {
		inner := read("long", "a", 200<<10, func() {
			if err := read("other", "b", 200<<10, nil); errors.As(err, &full) {
				t.Errorf("the other's answer gave way: %v", err)
			}
		})
		if !errors.As(inner, &full) {
			t.Errorf("the longest did not give way: %v", inner)
		}
	})
	if errors.As(err, &full) {
		t.Errorf("the shorter answer gave way: %v", err)
	}
	if got := fmt.Sprint(evicted); got != "map[long:true]" {
		t.Errorf("evicted: %s, want only the longest", got)
	}
	if u := l.Used(); u != 0 {
		t.Errorf("%d bytes are in use after all were freed", u)
	}
}
