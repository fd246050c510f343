package boot

import (
	"net/http"
	"testing"
)

// Guards against profiles that are served without the setting, and against ones that can't be taken with it.
func TestProfiles(t *testing.T) {
	t.Parallel()
	off := startRouter(t, standardDocument())
	off.router = "profiles = yes\n"
	on := off.startAgain()
	for name, c := range map[string]struct {
		router *harness
		want   int
	}{
		"off": {off, http.StatusNotFound},
		"on":  {on, http.StatusOK},
	} {
		c.router.eventually("readiness", c.router.ready)
		for _, path := range []string{"", "heap", "goroutine", "profile?seconds=1"} {
			a, err := http.Get("http://" + c.router.admin + "/debug/pprof/" + path)
			if err != nil {
				t.Fatal(err)
			}
			a.Body.Close()
			if a.StatusCode != c.want {
				t.Errorf("%s: %q got %d, want %d", name, path, a.StatusCode, c.want)
			}
		}
	}
}
