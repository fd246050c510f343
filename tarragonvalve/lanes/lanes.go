// Package lanes writes a merged time line as a self-contained HTML page with a lane
// for each process. The page loads no other resource and runs no script.
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
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// Sizes in pixels, except for tickCount, which is the number of time labels.
const (
	leftMargin    = 280
	timelineWidth = 960
	rightMargin   = 20
	laneHeight    = 34
	topMargin     = 30
	tickCount     = 6
)

// The types below are the data of the template page.html, which refers to their fields
// by name.

// mark is the dot of an event.
type mark struct {
	X, Y  int
	Class string
	Title string
}

// lane is the line of a process. Y is its upper edge, and Line the height of its middle.
type lane struct {
	Y     int
	Line  int
	Name  string
	Class string
}

// tick is a label of the time axis.
type tick struct {
	X     int
	Label string
}

// row is an event in the table below the lanes.
type row struct {
	At, Instance, Kind, Class, Request, Account, Version, Details string
}

// pageData is the data of the whole page.
type pageData struct {
	Events, Processes int
	Width, Height     int
	Left, Right       int
	Lanes             []lane
	Marks             []mark
	Ticks             []tick
	Rows              []row
	Notes             []string
}

// Write writes the page. Processes get a lane even if they returned no events or were
// not reached.
func Write(w io.Writer, r opsapi.EventsReply) error {
	v := pageData{Events: len(r.Events), Processes: len(r.Sources), Width: leftMargin + timelineWidth + rightMargin, Left: leftMargin, Right: leftMargin + timelineWidth}
	laneIndex := map[string]int{}
	for _, s := range r.Sources {
		laneIndex[string(s.Instance)] = len(v.Lanes)
		v.Lanes = append(v.Lanes, newLane(len(v.Lanes), strings.TrimSpace(s.Role+" "+string(s.Instance)), s))
		v.Notes = append(v.Notes, notes(s)...)
	}
	for _, e := range r.Events {
		if _, ok := laneIndex[string(e.Instance)]; !ok {
			laneIndex[string(e.Instance)] = len(v.Lanes)
			v.Lanes = append(v.Lanes, newLane(len(v.Lanes), string(e.Instance), opsapi.Source{}))
		}
	}
	if r.Truncated {
		v.Notes = append(v.Notes, "Older events were left out by the limit.")
	}
	v.Height = topMargin + len(v.Lanes)*laneHeight
	v.addEvents(r.Events, laneIndex)
	return pageTemplate.Execute(w, v)
}

// newLane returns the lane at index i.
func newLane(i int, name string, s opsapi.Source) lane {
	l := lane{Y: topMargin + i*laneHeight, Name: name}
	l.Line = l.Y + laneHeight/2
	if s.Problem != "" {
		l.Class = "unreached"
	}
	return l
}

// notes describes which events of a process are missing.
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

// addEvents adds the time axis, and a mark and a table row for each event. Events must be
// sorted by time; laneIndex holds the index of each instance's lane.
func (v *pageData) addEvents(es []opsapi.Event, laneIndex map[string]int) {
	if len(es) == 0 {
		return
	}
	from := es[0].At
	span := max(es[len(es)-1].At.Sub(from), time.Millisecond)
	for i := range tickCount {
		d := span * time.Duration(i) / (tickCount - 1)
		v.Ticks = append(v.Ticks, tick{X: leftMargin + timelineWidth*i/(tickCount-1), Label: from.Add(d).UTC().Format("15:04:05.000")})
	}
	for _, e := range es {
		c := eventClass(e.Kind)
		d := text.Fields(e.Fields)
		t := e.At.UTC().Format("2006-01-02 15:04:05.000Z")
		v.Marks = append(v.Marks, mark{
			X:     leftMargin + int(int64(timelineWidth)*int64(e.At.Sub(from))/int64(span)),
			Y:     v.Lanes[laneIndex[string(e.Instance)]].Line,
			Class: c,
			Title: strings.Join(strings.Fields(t+" "+e.Kind+" "+string(e.Request)+" "+e.Version+" "+d), " "),
		})
		v.Rows = append(v.Rows, row{At: t, Instance: string(e.Instance), Kind: e.Kind, Class: c, Request: string(e.Request), Account: string(e.Account), Version: e.Version, Details: d})
	}
}

// eventClass returns the CSS class that sets the colour of a kind of event.
func eventClass(kind string) string {
	switch {
	case strings.HasSuffix(kind, "refused"), strings.HasSuffix(kind, "not-run"), strings.HasSuffix(kind, "lost"), strings.HasSuffix(kind, "dropped"), kind == "version-halted":
		return "bad"
	case strings.HasPrefix(kind, "operator"), strings.HasPrefix(kind, "generation"), strings.HasPrefix(kind, "rollout"), strings.HasPrefix(kind, "lease"):
		return "control"
	default:
		return "traffic"
	}
}
