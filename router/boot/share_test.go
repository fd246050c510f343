package boot

import (
	"slices"
	"testing"

	"tarragonvalve.example/router/setup"
)

// Guards against seeds that ask each other in a cycle, and against routers that first ask a
// seed of another network although one of their own network exists.
func TestPeerOrder(t *testing.T) {
	seeds := []string{"10.1.0.1:9", "10.2.0.1:9", "10.3.0.1:9"}
	tests := map[string]struct {
		share string
		want  []string
		first string
	}{
		"first seed":        {"10.1.0.1:9", nil, ""},
		"third seed":        {"10.3.0.1:9", seeds[:2], "10.1.0.1:9"},
		"network of a seed": {"10.2.0.7:9", seeds, "10.2.0.1:9"},
		"no seed's network": {"10.4.0.7:9", seeds, ""},
		"no own address":    {"", seeds, ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ps, err := newPeerClients(&setup.Settings{Instance: "r", Share: c.share, Seeds: slices.Clone(seeds)})
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, p := range ps {
				got = append(got, p.Address())
			}
			if c.first != "" && got[0] != c.first {
				t.Errorf("asks %v first, want %s", got, c.first)
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("asks %v, want %v", got, c.want)
			}
		})
	}
}
