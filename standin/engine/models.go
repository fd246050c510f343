package engine

import (
	"math/rand/v2"
	"sync"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/setup"
)

// Models holds the settings of each version on all engines, with overrides that take effect
// while the version serves. It is safe for concurrent use.
type Models struct {
	mu        sync.Mutex
	settings  map[ident.VersionRef]setup.Version
	overrides map[ident.VersionRef]Override
	rng       *rand.Rand
}

// Override replaces settings of a version, to make it worse or slower; nil fields keep theirs.
type Override struct {
	Quality   *float64 `json:"quality"`
	Slowness  *float64 `json:"slowness"`
	ErrorRate *float64 `json:"error-rate"`
}

// NewModels returns the given versions without overrides.
func NewModels(s map[ident.VersionRef]setup.Version) *Models {
	return &Models{settings: s, overrides: map[ident.VersionRef]Override{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// SetOverride sets the override of a version; the zero value removes it.
func (m *Models) SetOverride(r ident.VersionRef, c Override) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.overrides[r] = c
}

// Current returns the settings of a version with its override. A version without settings
// gets defaults.
func (m *Models) Current(r ident.VersionRef) setup.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.settings[r]
	if !ok {
		v = setup.Version{Quality: 0.9, MeanTokens: 40, Slowness: 1}
	}
	c := m.overrides[r]
	if c.Quality != nil {
		v.Quality = *c.Quality
	}
	if c.Slowness != nil {
		v.Slowness = *c.Slowness
	}
	if c.ErrorRate != nil {
		v.ErrorRate = *c.ErrorRate
	}
	return v
}

// sampleError decides at random, with the probability ErrorRate, whether a request fails.
func (m *Models) sampleError(v setup.Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return v.ErrorRate > 0 && m.rng.Float64() < v.ErrorRate
}

// Answer returns the answer of a version with its current settings.
func (m *Models) Answer(r ident.VersionRef, ms []answer.Message, maxTokens int) *answer.Answer {
	v := m.Current(r)
	return answer.Compute(answer.Settings{Ref: r, Quality: v.Quality, MeanTokens: v.MeanTokens}, ms, maxTokens)
}
