// Package lanes writes a merged time line as one self-contained HTML page with a
// lane for each process. The page loads nothing and runs no script.
package lanes

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/tarragonvalve/text"
)

//go:embed page.html
var page string

var parsed = template.Must(template.New("page").Parse(page))

// Sizes in pixels.
const (
	left       = 280
	width      = 960
	right      = 20
	laneHeight = 34
	top        = 30
	ticks      = 6
)

type mark struct {
	X, Y  int
	Class string
	Title string
}

type lane struct {
	Y     int
	Line  int
	Name  string
	Class string
}

type tick struct {
	X     int
	Label string
}

type row struct {
	At, Instance, Kind, Class, Request, Account, Version, Details string
}

type view struct {
	Events, Processes int
	Width, Height     int
	Left, Right       int
	Lanes             []lane
	Marks             []mark
	Ticks             []tick
	Rows              []row
	Notes             []string
}

// Write writes the page.
func Write(w io.Writer, r opsapi.EventsReply) error {
	v := view{Events: len(r.Events), Processes: len(r.Sources), Width: left + width + right, Left: left, Right: left + width}
	at := map[string]int{}
	for _, s := range r.Sources {
		at[string(s.Instance)] = len(v.Lanes)
		v.Lanes = append(v.Lanes, newLane(len(v.Lanes), strings.TrimSpace(s.Role+" "+string(s.Instance)), s))
		v.Notes = append(v.Notes, notes(s)...)
	}
	for _, e := range r.Events {
		if _, ok := at[string(e.Instance)]; !ok {
			at[string(e.Instance)] = len(v.Lanes)
			v.Lanes = append(v.Lanes, newLane(len(v.Lanes), string(e.Instance), opsapi.Source{}))
		}
	}
	if r.Truncated {
		v.Notes = append(v.Notes, "Older events were left out by the limit.")
	}
	v.Height = top + len(v.Lanes)*laneHeight
	v.draw(r.Events, at)
	return parsed.Execute(w, v)
}

func newLane(i int, name string, s opsapi.Source) lane {
	l := lane{Y: top + i*laneHeight, Name: name}
	l.Line = l.Y + laneHeight/2
	if s.Problem != "" {
		l.Class = "unreached"
	}
	return l
}

func notes(s opsapi.Source) []string {
	var out []string
	if s.Problem != "" {
		out = append(out, fmt.Sprintf("%s %s: %s", s.Role, s.Instance, s.Problem))
	}
	if s.Overwritten > 0 {
		out = append(out, fmt.Sprintf("%s %s: event ring overflowed, %d events lost", s.Role, s.Instance, s.Overwritten))
	}
	return out
}

func (v *view) draw(es []opsapi.Event, at map[string]int) {
	if len(es) == 0 {
		return
	}
	from := es[0].At
	span := max(es[len(es)-1].At.Sub(from), time.Millisecond)
	for i := range ticks {
		d := span * time.Duration(i) / (ticks - 1)
		v.Ticks = append(v.Ticks, tick{X: left + width*i/(ticks-1), Label: from.Add(d).UTC().Format("15:04:05.000")})
	}
	for _, e := range es {
		c := class(e.Kind)
		d := text.Fields(e.Fields)
		t := e.At.UTC().Format("2006-01-02 15:04:05.000Z")
		v.Marks = append(v.Marks, mark{
			X:     left + int(int64(width)*int64(e.At.Sub(from))/int64(span)),
			Y:     v.Lanes[at[string(e.Instance)]].Line,
			Class: c,
			Title: strings.Join(strings.Fields(t+" "+e.Kind+" "+string(e.Request)+" "+e.Version+" "+d), " "),
		})
		v.Rows = append(v.Rows, row{At: t, Instance: string(e.Instance), Kind: e.Kind, Class: c, Request: string(e.Request), Account: string(e.Account), Version: e.Version, Details: d})
	}
}

// class returns the colour class of a kind of event.
func class(kind string) string {
	switch {
	case strings.HasSuffix(kind, "refused"), strings.HasSuffix(kind, "not-run"), strings.HasSuffix(kind, "lost"), strings.HasSuffix(kind, "dropped"), kind == "version-halted":
		return "bad"
	case strings.HasPrefix(kind, "operator"), strings.HasPrefix(kind, "generation"), strings.HasPrefix(kind, "rollout"), strings.HasPrefix(kind, "lease"):
		return "control"
	default:
		return "traffic"
	}
}
