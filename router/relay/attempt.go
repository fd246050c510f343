package relay

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/probe"
	"tarragonvalve.example/router/speed"
)

// attempt is one send of the request to an upstream, until its response has ended.
type attempt struct {
	*request
	upstream *fleet.Upstream
	// began is when the upstream was chosen, before the request was sent.
	began time.Time
	// placement counts the attempt as a part of the upstream's load.
	placement *place.Attempt
	// progress watches for an unresponsive upstream and for long pauses between events.
	progress *probe.Attempt
	// verdict tracks whether the upstream survives the request.
	verdict *crash.Attempt
	// responseTimer ends the attempt if its response doesn't begin in time and the request can be
	// retried elsewhere. Time in which this process didn't run doesn't count.
	responseTimer *clock.Timer
	// status is that of the response; 0 before its headers.
	status int
	// serviceSize is the number of the service's upstreams.
	serviceSize int
	// nominal is the predicted time until the response for an upstream of usual speed.
	nominal time.Duration
	// target, promptTokens, resumes and waitingThen describe the attempt for the observations of its upstream's speed;
	// waitingThen is the number of requests that waited there when the response's headers were sent.
	target       speed.Target
	promptTokens ident.Tokens
	resumes      bool
	waitingThen  int
}

// headersReceived records the arrival of the response's headers.
func (o *attempt) headersReceived() {
	now := time.Now()
	o.progress.HeadReceived(now)
	if o.Canary.MeasuresLate(now) {
		o.placement.ResponseStartedLate(now)
		return
	}
	o.placement.ResponseStarted(now)
}

// eventReceived records the arrival of an event of the response.
func (o *attempt) eventReceived() {
	now := time.Now()
	o.progress.BodyReceived(now)
	o.verdict.Received(now)
}

// connectionLost records that the upstream ended the connection before its answer was complete,
// and has the upstream checked.
func (o *attempt) connectionLost() {
	if o.verdict.Lost(time.Now()) {
		o.crashes++
	}
	o.Probe.ConnectionLost(o.upstream)
}

// finish releases the attempt and records whether its upstream served it well. It must be
// called once, unless release is called instead.
func (o *attempt) finish(ok bool) {
	o.release()
	// An attempt that failed without an error status says nothing of its upstream while this process is late: the answer
	// may have come in time.
	if ok || o.status >= http.StatusInternalServerError || o.Lateness() < late.Level {
		o.Balancer.RecordOutcome(o.upstream.ID, ok, o.serviceSize, time.Now())
		o.reportResult(o.upstream, !ok)
	}
	if o.trial {
		o.recordTrial(ok)
	}
}

// release ends the attempt without a verdict on the upstream, such as when the client leaves.
func (o *attempt) release() {
	o.responseTimer.Stop()
	o.progress.Done()
	o.verdict.End(time.Now())
	o.placement.End()
}
