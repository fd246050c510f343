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

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// usage is the resource use of one process since its start.
type usage struct {
	cpu time.Duration
	// resident is in bytes.
	resident float64
	// in and out are the bytes of all read and write calls. For processes that use no disk
	// these are the bytes on sockets, without the headers of TCP and IP.
	in, out float64
	at      time.Time
}

// readUsage reads the use of a process from /proc.
func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name in parentheses may hold spaces. User and system time are fields 14 and 15.
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	u.cpu = time.Duration(number(f[11])+number(f[12])) * clockTick
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

// field returns the number that follows a name at the start of a line, or 0 if there is none.
func field(b []byte, name string) float64 {
	for l := range strings.Lines(string(b)) {
		if r, ok := strings.CutPrefix(l, name); ok {
			return number(strings.Fields(r)[0])
		}
	}
	return 0
}

// number parses a number and returns 0 for an invalid one.
func number(t string) float64 {
	n, err := strconv.ParseFloat(t, 64)
	if err != nil {
		return 0
	}
	return n
}

// resourceUse is the mean resource use per process in a window.
type resourceUse struct {
	// cpu is in percent of a core.
	cpu float64
	// resident is in MB; in and out are in KB per second.
	resident, in, out float64
	// maxCPU is the highest cpu of one process.
	maxCPU float64
}

// cost is the mean resource use per process of each role in a window.
type cost struct {
	entry, agent resourceUse
}

// snapshot reads the use of all processes.
func snapshot(w *world.Deployment) (entries, agents []usage, err error) {
	for _, p := range w.Entries {
		u, err := readUsage(p.PID())
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, u)
	}
	// The order of Addresses is fixed, unlike that of the map of agents.
	for _, u := range w.Addresses.Upstreams {
		v, err := readUsage(w.Agents[u.ID].PID())
		if err != nil {
			return nil, nil, err
		}
		agents = append(agents, v)
	}
	return entries, agents, nil
}

// measureUsage returns the mean resource use per process while do runs.
func measureUsage(w *world.Deployment, do func() error) (cost, error) {
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

// mean returns the mean use per process between two snapshots.
func mean(before, after []usage) resourceUse {
	var r resourceUse
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
