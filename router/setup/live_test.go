package setup

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// graceFile stands for a settings file that holds a grace period, in ns. With 0 it can't be read.
type graceFile struct{ atomic.Int64 }

// settings returns the settings in the file.
func (f *graceFile) settings() *Settings {
	s := &Settings{Bounds: Bounds{GracePeriod: time.Duration(f.Load())}}
	s.reread = func() (*Settings, error) {
		if f.Load() == 0 {
			return nil, errors.New("not readable")
		}
		return f.settings(), nil
	}
	return s
}

// Guards against bounds that come into force while their file is written, against ones that never do, and against ones
// that take longer than that.
func TestReloadOfChangingFile(t *testing.T) {
	const (
		ms = time.Millisecond
		// old and next are the bounds before and after, part is what is read in between.
		old, next, part = 12 * time.Second, 15 * time.Second, time.Second
	)
	type change struct {
		after  time.Duration
		grace  time.Duration
		signal bool
	}
	tests := map[string]struct {
		changes []change
		// check is the time from the last change until the bounds are looked at.
		check time.Duration
		want  time.Duration
	}{
		"signalled":                           {[]change{{0, next, true}}, settleTime + ms, next},
		"signalled, not settled":              {[]change{{0, next, true}}, settleTime - ms, old},
		"without a signal":                    {[]change{{0, next, false}}, reloadInterval + settleTime + ms, next},
		"a part first":                        {[]change{{0, part, true}, {settleTime - ms, next, true}}, 2 * ms, old},
		"a part, read twice":                  {[]change{{0, part, true}, {settleTime / 2, part, true}}, 2 * ms, old},
		"a part first, then read twice":       {[]change{{0, part, true}, {settleTime - ms, next, true}, {2 * ms, next, true}}, ms, old},
		"a part first, settled":               {[]change{{0, part, true}, {settleTime - ms, next, true}}, settleTime + ms, next},
		"a part first, then the same as ever": {[]change{{0, part, true}, {settleTime - ms, old, true}}, 3 * reloadInterval, old},
		"signalled again and again":           {[]change{{0, next, true}, {settleTime / 2, next, true}, {settleTime / 2, next, true}}, 2 * ms, next},
		"not readable for a moment":           {[]change{{0, next, true}, {settleTime / 2, 0, true}, {ms, next, true}}, settleTime / 2, old},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f graceFile
				f.Store(int64(old))
				signals := make(chan os.Signal, 1)
				v := NewLive(f.settings(), signals, zerolog.Nop())
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- v.Run(ctx) }()
				for _, x := range c.changes {
					time.Sleep(x.after)
					synctest.Wait()
					f.Store(int64(x.grace))
					if x.signal {
						signals <- syscall.SIGHUP
					}
				}
				time.Sleep(c.check)
				synctest.Wait()
				if got := v.Bounds().GracePeriod; got != c.want {
					t.Errorf("grace period %s, want %s", got, c.want)
				}
				stop()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		})
	}
}
