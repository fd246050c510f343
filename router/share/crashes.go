package share

import (
	"time"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/poison"
)

// encodeCrashes encodes times as ages, like encodeSamples. It returns nil for an empty report.
func encodeCrashes(r poison.Report, now time.Time) *CrashReport {
	if len(r.Suspicions)+len(r.Survived)+len(r.Quarantines) == 0 {
		return nil
	}
	m := &CrashReport{}
	for _, s := range r.Suspicions {
		m.Suspicions = append(m.Suspicions, &Suspicion{
			Part: uint64(s.Part), Request: uint64(s.Request), Upstream: encodeIncarnation(s.Upstream), Began: s.Began, AgeMs: ageMs(s.At, now),
		})
	}
	for _, s := range r.Survived {
		m.Survived = append(m.Survived, &SurvivedPart{Part: uint64(s.Part), AgeMs: ageMs(s.At, now)})
	}
	for _, q := range r.Quarantines {
		x := &Quarantine{AgeMs: ageMs(q.At, now)}
		for _, p := range q.Parts {
			x.Parts = append(x.Parts, uint64(p))
		}
		m.Quarantines = append(m.Quarantines, x)
	}
	return m
}

func decodeCrashes(m *CrashReport, now time.Time) poison.Report {
	var r poison.Report
	for _, s := range m.GetSuspicions() {
		r.Suspicions = append(r.Suspicions, poison.Suspicion{
			Part: crash.Part(s.GetPart()), Request: crash.RequestHash(s.GetRequest()), Upstream: decodeIncarnation(s.GetUpstream()), Began: s.GetBegan(), At: timeOf(s.GetAgeMs(), now),
		})
	}
	for _, s := range m.GetSurvived() {
		r.Survived = append(r.Survived, poison.SurvivedPart{Part: crash.Part(s.GetPart()), At: timeOf(s.GetAgeMs(), now)})
	}
	for _, q := range m.GetQuarantines() {
		x := poison.Quarantine{At: timeOf(q.GetAgeMs(), now)}
		for _, p := range q.GetParts() {
			x.Parts = append(x.Parts, crash.Part(p))
		}
		r.Quarantines = append(r.Quarantines, x)
	}
	return r
}
