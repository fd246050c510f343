package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"testing"

	"tarragonvalve.example/standin/setup"
)

// Guards against slopes that are attributed to the wrong factor, and against a fit with
// fewer different sizes than factors.
func TestFit(t *testing.T) {
	xs := [][]float64{{1, 2, 10}, {1, 4, 10}, {1, 4, 30}, {1, 8, 50}}
	var ys []float64
	for _, x := range xs {
		ys = append(ys, 3+0.5*x[1]+0.25*x[2])
	}
	c, worst, err := fit(xs, ys)
	if err != nil || worst > 1e-9 {
		t.Fatalf("largest difference %g, %v", worst, err)
	}
	for i, want := range []float64{3, 0.5, 0.25} {
		if math.Abs(c[i]-want) > 1e-9 {
			t.Errorf("factor %d is %g, want %g", i, c[i], want)
		}
	}
	if _, _, err := fit([][]float64{xs[0], xs[0], xs[1]}, []float64{1, 2, 3}); !errors.Is(err, errTooFewSizes) {
		t.Errorf("two different sizes for three factors: %v", err)
	}
}

// Guards against sizes that are parsed wrongly or have too many processes for the machine.
func TestParseSize(t *testing.T) {
	for text, want := range map[string]Size{
		"3x12":      {Entries: 3, Agents: 12},
		"20x120x16": {Entries: 20, Agents: 120, Subset: 16},
	} {
		if s, err := ParseSize(text); err != nil || s != want {
			t.Errorf("%s: %v, %v", text, s, err)
		}
	}
	for _, text := range []string{"", "3", "0x12", "3x-1", "ax12", "3x12x1x1", "100x600"} {
		var e *SizeError
		if _, err := ParseSize(text); !errors.As(err, &e) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Guards against settings that are invalid for the stand-in or lack engines.
func TestStandinSettings(t *testing.T) {
	f := fmt.Sprintf("%s/standin.ini", t.TempDir())
	if err := os.WriteFile(f, []byte(standin(7, slowEngines)), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := setup.Read(f, nil)
	if err != nil || len(s.Engines) != 7 || len(s.Engines[0].Loaded) == 0 || s.Engines[0].TokenTime != slowEngines.TokenTime {
		t.Fatalf("%+v, %v", s, err)
	}
}

// Guards against fields of /proc that are read wrongly: the test process has memory and has
// read files.
func TestReadUsageOfOwnProcess(t *testing.T) {
	u, err := readUsage(os.Getpid())
	if err != nil || u.resident < 1<<20 || u.in == 0 {
		t.Fatalf("%+v, %v", u, err)
	}
}
