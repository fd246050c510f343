package setup

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const example = "../testdata/entry.ini"

// Guards against an example file that the program refuses or reads differently.
func TestExample(t *testing.T) {
	s, err := Read(example, []string{"TARRAGONVALVE_ENTRY_DOMAIN=ege-b"}, map[string]string{"callers.max-open": "7"})
	if err != nil {
		t.Fatal(err)
	}
	if s.Entry.Domain != "ege-b" || s.Callers.MaxOpen != 7 || s.Links.OtherDomainDelay != 500*time.Microsecond {
		t.Errorf("read %+v %+v %+v", s.Entry, s.Callers, s.Links)
	}
	if len(s.Sessions.Keys) != 1 || len(s.Operators) != 1 || len(s.Instances.Static) != 1 || s.Instances.Static[0].Upstream != "ege-a-engine-1" {
		t.Errorf("read %d keys, %+v, %+v", len(s.Sessions.Keys), s.Operators, s.Instances.Static)
	}
}

// Guards against wrong settings that are accepted, against reporting only the first
// problem, and against secrets in the error.
func TestProblems(t *testing.T) {
	p := filepath.Join(t.TempDir(), "entry.ini")
	text := `[entry]
domain =
callers = localhost:80
isolation-limit = 0s
[sessions]
keys = k1:short
[table]
endpoint = http://127.0.0.1:1
name = t
access-key = a
[control]
environment = e
[instances]
url = ftp://x
agents = engine=127.0.0.1:1
entries = somewhere
[policy]
plans = magic
upstreams = magic
detector-alpha = 1
[admin]
operators = ops:root:x
[tls]
cert = c.pem
[extra]
key = 1
`
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Chdir(filepath.Dir(p))
	_, err := Read("entry.ini", nil, nil)
	if err == nil {
		t.Fatal("accepted")
	}
	goldie.New(t, goldie.WithFixtureDir(fixtures)).Assert(t, "problems", []byte(err.Error()+"\n"))
}

// fixtures is an absolute path, since the test changes its working directory.
var fixtures = func() string {
	d, _ := os.Getwd()
	return filepath.Join(d, "testdata")
}()

// Guards against a listener that closes while load balancers still send requests: they stop after two failed health checks
// a second apart, of which the first may come a second after the notice and each may take some time.
func TestDrainNoticeHasMargin(t *testing.T) {
	const checks, margin = 2 * time.Second, 500 * time.Millisecond
	if d := Default().Entry.DrainNotice; d < checks+margin {
		t.Errorf("the drain notice is %s, want %s and a margin", d, checks)
	}
}
