package engine

import (
	"math/rand/v2"
	"sync"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/setup"
)

// Models holds how each version behaves on all engines. Turning a version bad
// replaces its settings while it serves. It is safe for concurrent use.
type Models struct {
	mu        sync.Mutex
	settings  map[ident.VersionRef]setup.Version
	overrides map[ident.VersionRef]Override
	rng       *rand.Rand
}

// Override is what turning a version bad changes; nil fields keep the settings.
type Override struct {
	Quality   *float64 `json:"quality"`
	Slowness  *float64 `json:"slowness"`
	ErrorRate *float64 `json:"error-rate"`
}

// NewModels returns the versions with their settings.
func NewModels(s map[ident.VersionRef]setup.Version) *Models {
	return &Models{settings: s, overrides: map[ident.VersionRef]Override{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// SetOverride changes a version; the zero change makes it good again.
func (m *Models) SetOverride(r ident.VersionRef, c Override) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.overrides[r] = c
}

// Current returns how a version behaves now.
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

// sampleError draws whether a request of a version sampleError.
func (m *Models) sampleError(v setup.Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return v.ErrorRate > 0 && m.rng.Float64() < v.ErrorRate
}

// Answer returns the answer of a version as it behaves now.
func (m *Models) Answer(r ident.VersionRef, ms []answer.Message, maxTokens int) *answer.Answer {
	v := m.Current(r)
	return answer.Compute(answer.Settings{Ref: r, Quality: v.Quality, MeanTokens: v.MeanTokens}, ms, maxTokens)
}
