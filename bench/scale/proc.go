package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/bench/world"
)

// tick is the unit of processor time in /proc/PID/stat.
const tick = 10 * time.Millisecond

// usage is what one process has used since its start.
type usage struct {
	cpu time.Duration
	// resident is in bytes.
	resident float64
	// in and out count the bytes of all read and write calls. Without a disk these
	// are the bytes of sockets, without the headers of TCP and IP.
	in, out float64
	at      time.Time
}

func read(pid int) (usage, error) {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name in parentheses may hold spaces. User and system time are fields 14 and 15.
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	u.cpu = time.Duration(number(f[11])+number(f[12])) * tick
	b, err = os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	u.resident = 1024 * field(b, "VmRSS:")
	b, err = os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	u.in, u.out = field(b, "rchar:"), field(b, "wchar:")
	return u, nil
}

// field returns the number after a name at the start of a line.
func field(b []byte, name string) float64 {
	for l := range strings.Lines(string(b)) {
		if r, ok := strings.CutPrefix(l, name); ok {
			return number(strings.Fields(r)[0])
		}
	}
	return 0
}

func number(t string) float64 {
	n, err := strconv.ParseFloat(t, 64)
	if err != nil {
		return 0
	}
	return n
}

// rates is the use of one process, or the mean of several, in a window.
type rates struct {
	// cpu is in percent of a core.
	cpu float64
	// resident is in MB; in and out are in KB per second.
	resident, in, out float64
	maxCPU            float64
}

// cost is the use of the processes of each role in a window.
type cost struct {
	entry, agent rates
}

// snapshot reads all processes.
func snapshot(w *world.World) (entries, agents []usage, err error) {
	for _, p := range w.Entries {
		u, err := read(p.PID())
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, u)
	}
	// Addresses has a fixed order, which the map of agents has not.
	for _, u := range w.Addresses.Upstreams {
		v, err := read(w.Agents[u.ID].PID())
		if err != nil {
			return nil, nil, err
		}
		agents = append(agents, v)
	}
	return entries, agents, nil
}

// during returns the mean use per process while a function runs.
func during(w *world.World, do func() error) (cost, error) {
	e1, a1, err := snapshot(w)
	if err != nil {
		return cost{}, err
	}
	if err := do(); err != nil {
		return cost{}, err
	}
	e2, a2, err := snapshot(w)
	if err != nil {
		return cost{}, err
	}
	return cost{entry: mean(e1, e2), agent: mean(a1, a2)}, nil
}

func mean(before, after []usage) rates {
	var r rates
	n := float64(len(before))
	for i, b := range before {
		a := after[i]
		s := a.at.Sub(b.at).Seconds()
		c := 100 * (a.cpu - b.cpu).Seconds() / s
		r.cpu += c / n
		r.maxCPU = max(r.maxCPU, c)
		r.resident += a.resident / (1 << 20) / n
		r.in += (a.in - b.in) / 1000 / s / n
		r.out += (a.out - b.out) / 1000 / s / n
	}
	return r
}
