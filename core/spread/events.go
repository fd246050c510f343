package spread

import (
	"strconv"

	"tarragonvalve.example/core/event"
)

func generationEvent(a *AcceptedDocument) event.Event {
	return event.Event{Kind: event.GenerationInForce, Fields: map[string]string{
		"generation": strconv.FormatUint(uint64(a.Generation), 10),
		"digest":     string(a.Document.Digest),
		"operator":   string(a.Operator),
	}}
}

func haltEvent(h Halt) event.Event {
	return event.Event{Kind: event.VersionHalted, Version: h.Version, Fields: map[string]string{
		"generation": strconv.FormatUint(uint64(h.Generation), 10),
		"by":         string(h.Instance),
		"reason":     h.Reason,
	}}
}

func stepEvent(a rolloutAdvanced) event.Event {
	return event.Event{Kind: event.RolloutAdvanced, Fields: map[string]string{
		"rollout": string(a.rollout),
		"step":    strconv.Itoa(a.step),
	}}
}

func mismatchEvent(a digestMismatch) event.Event {
	return event.Event{Kind: event.WorkRefused, Fields: map[string]string{
		"generation": strconv.FormatUint(uint64(a.generation), 10),
		"digest":     string(a.digest),
		"reason":     "another document under the generation in force",
	}}
}
